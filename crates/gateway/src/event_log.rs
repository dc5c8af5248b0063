//! Structured log lines, of which only so many are written a second.

use std::cell::{Cell, RefCell};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Map, Value};

use crate::{Clock, EventCode, log_queue};

/// Maximum sustained rate of lines, in lines per second.
const MAX_LINES_PER_S: f64 = 400.0;

/// Maximum number of lines in a burst, after a time with few lines.
const MAX_BURST_LINES: f64 = 800.0;

/// Log of the events of an instance.
///
/// Lines that exceed the rate limit, or the queue of the process's log, are dropped and counted, so that no request
/// waits for a log line.
pub struct EventLog {
    clock: Clock,
    allowance: Cell<f64>,
    refilled_at: Cell<Duration>,
    dropped: Cell<u64>,
    scratch: RefCell<Map<String, Value>>,
}

impl EventLog {
    /// Creates a log.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            allowance: Cell::new(MAX_BURST_LINES),
            refilled_at: Cell::new(Duration::ZERO),
            dropped: Cell::new(0),
            scratch: RefCell::new(Map::new()),
        }
    }

    /// Logs an event with its fields, unless the rate limit or the queue is exceeded.
    pub fn log<const N: usize>(&self, code: EventCode, fields: [(&str, Value); N]) {
        if !self.try_spend_line() {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let dropped = self.dropped.replace(0) + log_queue::take_dropped();
        if dropped > 0 {
            self.write(EventCode::LinesDropped, [("lines", dropped.into())]);
        }
        self.write(code, fields);
    }

    fn write<const N: usize>(&self, code: EventCode, fields: [(&str, Value); N]) {
        let mut line = self.scratch.borrow_mut();
        line.clear();
        line.insert("at_ms".into(), unix_ms().into());
        line.insert("code".into(), code.number().into());
        line.insert("event".into(), format!("{code:?}").into());
        for (name, value) in fields {
            line.insert(name.into(), value);
        }
        log::info!("{}", Value::Object(line.clone()));
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
