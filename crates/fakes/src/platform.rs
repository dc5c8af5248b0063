//! Faults of the fake platform services.

use std::time::Duration;

/// Faults of the fake table service.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableFaults {
    /// Neither executes nor answers operations.
    pub down: bool,
    /// Additional one-way latency of every operation.
    pub slow: Duration,
    /// Share of the writes that take effect but whose reply is lost, in percent.
    pub lost_replies_percent: u64,
    /// Share of the writes that take effect only seconds after their sender has given up, in
    /// percent.
    pub late_writes_percent: u64,
}

impl TableFaults {
    /// Time after which an instance gives up on an operation.
    pub const TIMEOUT: Duration = Duration::from_secs(1);

    /// Time until a late write takes effect.
    pub const LATE_WRITE_DELAY: Duration = Duration::from_millis(2_700);
}
