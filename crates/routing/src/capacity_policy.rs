//! How long a generation waits for engine memory, and when a refused caller may come back.

use std::time::Duration;

/// Part of the latency target that is kept for the prefill and the way of the first event.
const PREFILL_PART: f64 = 0.25;

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY: Duration = Duration::from_millis(400);

/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY: Duration = Duration::from_secs(4);

/// Decides about generations that wait for engine memory.
#[derive(Clone, Copy, Debug)]
pub struct CapacityPolicy {
    /// Time within which the first event is on time.
    pub target_latency: Duration,
}

impl CapacityPolicy {
    /// Returns until when a request waits whose search for engines began at `since`.
    pub fn wait_deadline(&self, since: Duration, time_left: Duration) -> Duration {
        let usable = self.target_latency.mul_f64(1.0 - PREFILL_PART);
        since + usable.min(time_left / 2)
    }

    /// Returns when a refused caller may come back; `draw` is a uniform random number below 1.
    ///
    /// The draw spreads callers that were refused together.
    pub fn retry_after(&self, time_left: Duration, draw: f64) -> Duration {
        let most = (time_left / 3).min(MAX_RETRY).max(MIN_RETRY);
        MIN_RETRY + (most - MIN_RETRY).mul_f64(0.5 + 0.5 * draw)
    }
}
