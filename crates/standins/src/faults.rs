//! Faults that a test turns on.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::server::lock;
use crate::{Exchange, ServerRequest};

/// Path of the control that sets faults.
pub const FAULTS_PATH: &str = "/_faults";

/// What a stand-in does wrong; all off by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Cuts every connection without an answer and without effect.
    pub down: bool,
    /// Waits before it acts, in milliseconds.
    pub slow_ms: u64,
    /// Acts on this many requests and cuts their connections before the answer.
    pub lose_replies: u32,
    /// Accepts requests and then sends nothing.
    pub stall: bool,
    /// Refuses new work as full.
    pub full: bool,
    /// Multiplies the time that work takes, in percent; 0 counts as 100.
    pub pace_percent: u64,
    /// Breaks this many streams after their third token.
    pub break_streams: u32,
    /// Sends this many lines with the name of another request.
    pub cross_lines: u32,
    /// Stalls the export of KV cache.
    pub stall_export: bool,
}

/// Faults shared between the threads of a stand-in.
#[derive(Clone, Debug, Default)]
pub struct SharedFaults(Arc<Mutex<Faults>>);

impl SharedFaults {
    /// Returns the faults that are on.
    pub fn get(&self) -> Faults {
        lock(&self.0).clone()
    }

    /// Replaces the faults.
    pub fn set(&self, faults: Faults) {
        *lock(&self.0) = faults;
    }

    /// Uses up one of a number of faults; false if none is left.
    pub fn take(&self, counter: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut faults = lock(&self.0);
        let counter = counter(&mut faults);
        let left = *counter > 0;
        *counter = counter.saturating_sub(1);
        left
    }

    /// Answers the control path; false if the request is for another.
    pub fn control(&self, request: &ServerRequest, exchange: &mut Exchange) -> bool {
        if request.path != FAULTS_PATH {
            return false;
        }
        let sent = match serde_json::from_slice(&request.body) {
            Ok(faults) => {
                self.set(faults);
                exchange.json(200, &self.get())
            }
            Err(error) => exchange.answer(400, "text/plain", error.to_string().as_bytes()),
        };
        // Whoever asked may have left; the faults are set all the same.
        let _ = sent;
        true
    }

    /// Does what the faults say before a request is acted on; false if it must not be.
    pub fn before(&self, exchange: &mut Exchange) -> bool {
        let faults = self.get();
        if faults.down {
            exchange.cut();
            return false;
        }
        thread::sleep(Duration::from_millis(faults.slow_ms));
        true
    }

    /// Returns a duration multiplied by the pace.
    pub fn paced(&self, time: Duration) -> Duration {
        match self.get().pace_percent {
            0 => time,
            percent => time * percent as u32 / 100,
        }
    }
}
