//! Faults that a test can inject.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::server::lock;
use crate::{Exchange, ServerRequest};

/// Path of the control request that replaces the active faults.
pub const FAULTS_PATH: &str = "/_faults";

/// Faults of a stand-in; none is active by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Closes every connection without acting on the request or answering it.
    pub down: bool,
    /// Delay before a request is acted on, in milliseconds.
    pub slow_ms: u64,
    /// Number of requests to act on and then close the connection instead of answering.
    pub lose_replies: u32,
    /// Accepts requests but sends nothing.
    pub stall: bool,
    /// Refuses new work as if the capacity were used up.
    pub full: bool,
    /// Duration of work as a percentage of the normal one; 0 counts as 100.
    pub pace_percent: u64,
    /// Number of streams to break after their third token.
    pub break_streams: u32,
    /// Number of lines to send with the identifier of another request.
    pub cross_lines: u32,
    /// Accepts exports of KV cache but sends nothing.
    pub stall_export: bool,
}

/// Active faults, shared between the threads of a stand-in.
#[derive(Clone, Debug, Default)]
pub struct SharedFaults(Arc<Mutex<Faults>>);

impl SharedFaults {
    /// Returns the active faults.
    pub fn get(&self) -> Faults {
        lock(&self.0).clone()
    }

    /// Replaces the active faults.
    pub fn set(&self, faults: Faults) {
        *lock(&self.0) = faults;
    }

    /// Decrements a counter of faults; returns whether it was above zero.
    pub fn consume(&self, counter: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut faults = lock(&self.0);
        let counter = counter(&mut faults);
        let left = *counter > 0;
        *counter = counter.saturating_sub(1);
        left
    }

    /// Handles a request to [`FAULTS_PATH`]; returns false if the request has another path.
    pub fn handle_control(&self, request: &ServerRequest, exchange: &mut Exchange) -> bool {
        if request.path != FAULTS_PATH {
            return false;
        }
        let sent = match serde_json::from_slice(&request.body) {
            Ok(faults) => {
                self.set(faults);
                exchange.respond_json(200, &self.get())
            }
            Err(error) => exchange.respond(400, "text/plain", error.to_string().as_bytes()),
        };
        // The client may have disconnected; the faults are replaced all the same.
        let _ = sent;
        true
    }

    /// Applies the faults that come before a request is acted on; returns false if it must not be.
    pub fn apply_before(&self, exchange: &mut Exchange) -> bool {
        let faults = self.get();
        if faults.down {
            exchange.close();
            return false;
        }
        thread::sleep(Duration::from_millis(faults.slow_ms));
        true
    }

    /// Returns a duration scaled by [`Faults::pace_percent`].
    pub fn scaled(&self, time: Duration) -> Duration {
        match self.get().pace_percent {
            0 => time,
            percent => time * percent as u32 / 100,
        }
    }
}
