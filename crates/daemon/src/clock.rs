//! The clock of the tokio runtime, which tests can pause and advance.

use std::time::Duration;

use tokio::time::Instant;

/// Clock that measures the time since the start of an instance.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
