//! The clock of an instance.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the start of the process, with the time that the machine was suspended.
///
/// What an instance believes grows old while its machine is suspended, and the monotonic clock
/// that timers use stands still then. See `clock_gettime(2)`, `CLOCK_BOOTTIME`.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        boot_time().saturating_sub(self.start)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}
