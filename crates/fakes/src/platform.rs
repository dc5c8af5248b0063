//! Faults of the fake platform services.

use std::time::Duration;

/// What the fake table service does wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableFaults {
    /// Answers nothing and does nothing.
    pub down: bool,
    /// Extra time that every operation takes.
    pub slow: Duration,
    /// Part of the writes whose reply is lost after they took effect, in percent.
    pub lost_replies_percent: u64,
    /// Part of the writes that take effect only seconds after their sender has given up, in
    /// percent.
    pub late_writes_percent: u64,
}

impl TableFaults {
    /// Time after which an instance gives an operation up.
    pub const TIMEOUT: Duration = Duration::from_secs(1);

    /// Time that a late write spends on its way.
    pub const LATE: Duration = Duration::from_millis(2_700);
}
