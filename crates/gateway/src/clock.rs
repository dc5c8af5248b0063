//! Clock of an instance, which also counts the time in which the machine is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Clock of the time since the start of the process, including time in which the machine is
/// suspended.
///
/// The state of an instance also becomes outdated while its machine is suspended, but the monotonic
/// clock that timers use does not advance then. See `clock_gettime(2)`, `CLOCK_BOOTTIME`.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Returns the time since the clock was started.
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
