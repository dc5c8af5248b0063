//! A generation that waits for engine memory.

use std::time::Duration;

use smol_str::SmolStr;

/// A generation that waits for engine memory, with what its place in the queue depends on.
#[derive(Clone, Debug)]
pub struct WaitingGeneration {
    /// Name of the service.
    pub service: SmolStr,
    /// Name of the customer; empty on public routes.
    pub customer: SmolStr,
    /// Share of the customer, relative to those of other customers; above 0.
    pub weight: f64,
    /// Engine memory that it needs, in tokens.
    pub tokens: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// When the caller's time began: its first attempt, as far as its deadline tells.
    pub began: Duration,
    /// When it began to wait here.
    pub since: Duration,
    /// Time at which it stops waiting.
    pub until: Duration,
    /// Whether its latency target has passed already.
    pub is_late: bool,
    /// Whether it gives way to generations at other instances; not if it continues a stream.
    pub gives_way: bool,
}

impl WaitingGeneration {
    /// Whether it has waited for more than half of the time for which it may wait.
    pub fn is_overdue(&self, now: Duration) -> bool {
        now > self.since + self.until.saturating_sub(self.since) / 2
    }
}
