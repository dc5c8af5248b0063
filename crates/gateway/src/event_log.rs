//! Structured log lines, written by a thread of their own.

use std::cell::{Cell, RefCell};
use std::io;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use serde_json::{Map, Value};

use crate::{Clock, EventCode};

/// Lines that may wait to be written.
const WAITING: usize = 2048;

/// Lines a second over a longer time.
const LINES_PER_S: f64 = 400.0;

/// Lines at once after a quiet time.
const LINES_AT_ONCE: f64 = 800.0;

/// Pause between two rounds of writing, so that one wake-up writes many lines.
const ROUND: Duration = Duration::from_millis(25);

/// Where the lines of an instance go: a bounded ring to the thread that writes them.
///
/// A full ring or too many lines a second lose lines and count them; no request waits for a line.
pub struct EventLog {
    lines: Sender<String>,
    clock: Clock,
    allowance: Cell<f64>,
    refilled: Cell<Duration>,
    dropped: Cell<u64>,
    scratch: RefCell<Map<String, Value>>,
}

impl EventLog {
    /// Starts the writing thread.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
    pub fn spawn(clock: Clock) -> io::Result<Self> {
        let (tx, rx) = bounded(WAITING);
        thread::Builder::new()
            .name("journal".into())
            .spawn(move || write_all(&rx))?;
        Ok(Self {
            lines: tx,
            clock,
            allowance: Cell::new(LINES_AT_ONCE),
            refilled: Cell::new(Duration::ZERO),
            dropped: Cell::new(0),
            scratch: RefCell::new(Map::new()),
        })
    }

    /// Writes a line with an event and its fields.
    pub fn log<const N: usize>(&self, code: EventCode, fields: [(&str, Value); N]) {
        if !self.may_write() {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let dropped = self.dropped.replace(0);
        if dropped > 0 {
            self.put(EventCode::LinesDropped, [("lines", dropped.into())]);
        }
        self.put(code, fields);
    }

    fn put<const N: usize>(&self, code: EventCode, fields: [(&str, Value); N]) {
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

    fn may_write(&self) -> bool {
        let now = self.clock.now();
        let elapsed = now.saturating_sub(self.refilled.replace(now));
        let refill = elapsed.as_secs_f64() * LINES_PER_S;
        let level = (self.allowance.get() + refill).min(LINES_AT_ONCE);
        let may = level >= 1.0;
        self.allowance.set(if may { level - 1.0 } else { level });
        may
    }
}

/// Returns the time of day in milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |t| t.as_millis() as u64)
}

fn write_all(lines: &Receiver<String>) {
    while let Ok(line) = lines.recv() {
        log::info!("{line}");
        while let Ok(line) = lines.try_recv() {
            log::info!("{line}");
        }
        thread::sleep(ROUND);
    }
}
