//! Structured log lines, written by a separate thread.

use std::cell::{Cell, RefCell};
use std::io;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use serde_json::{Map, Value};

use crate::{Clock, EventCode};

/// Maximum number of lines that wait for the writing thread.
const MAX_QUEUED_LINES: usize = 2048;

/// Maximum sustained rate of lines, in lines per second.
const MAX_LINES_PER_S: f64 = 400.0;

/// Maximum number of lines in a burst, after a time with few lines.
const MAX_BURST_LINES: f64 = 800.0;

/// Pause between two batches of lines, so that the thread writes many lines per wake-up.
const BATCH_INTERVAL: Duration = Duration::from_millis(25);

/// Log of the events of an instance, with a bounded queue to the thread that writes the lines.
///
/// Lines that exceed the rate limit or the queue are dropped and counted, so that no request waits
/// for a log line.
pub struct EventLog {
    lines: Sender<String>,
    clock: Clock,
    allowance: Cell<f64>,
    refilled_at: Cell<Duration>,
    dropped: Cell<u64>,
    scratch: RefCell<Map<String, Value>>,
}

impl EventLog {
    /// Creates a log and starts its writing thread.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
    pub fn spawn(clock: Clock) -> io::Result<Self> {
        let (tx, rx) = bounded(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name("journal".into())
            .spawn(move || write_lines(&rx))?;
        Ok(Self {
            lines: tx,
            clock,
            allowance: Cell::new(MAX_BURST_LINES),
            refilled_at: Cell::new(Duration::ZERO),
            dropped: Cell::new(0),
            scratch: RefCell::new(Map::new()),
        })
    }

    /// Logs an event with its fields, unless the rate limit or the queue is exceeded.
    pub fn log<const N: usize>(&self, code: EventCode, fields: [(&str, Value); N]) {
        if !self.try_spend_line() {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let dropped = self.dropped.replace(0);
        if dropped > 0 {
            self.enqueue(EventCode::LinesDropped, [("lines", dropped.into())]);
        }
        self.enqueue(code, fields);
    }

    fn enqueue<const N: usize>(&self, code: EventCode, fields: [(&str, Value); N]) {
        let mut line = self.scratch.borrow_mut();
        line.clear();
        line.insert("at_ms".into(), unix_ms().into());
        line.insert("code".into(), code.number().into());
        line.insert("event".into(), format!("{code:?}").into());
        for (name, value) in fields {
            line.insert(name.into(), value);
        }
        let text = Value::Object(line.clone()).to_string();
        if let Err(TrySendError::Full(_)) = self.lines.try_send(text) {
            self.dropped.set(self.dropped.get() + 1);
        }
    }

    fn try_spend_line(&self) -> bool {
        let now = self.clock.now();
        let elapsed = now.saturating_sub(self.refilled_at.replace(now));
        let refill = elapsed.as_secs_f64() * MAX_LINES_PER_S;
        let level = (self.allowance.get() + refill).min(MAX_BURST_LINES);
        let is_allowed = level >= 1.0;
        self.allowance
            .set(if is_allowed { level - 1.0 } else { level });
        is_allowed
    }
}

/// Returns the current time in milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |t| t.as_millis() as u64)
}

fn write_lines(lines: &Receiver<String>) {
    while let Ok(line) = lines.recv() {
        log::info!("{line}");
        while let Ok(line) = lines.try_recv() {
            log::info!("{line}");
        }
        thread::sleep(BATCH_INTERVAL);
    }
}
