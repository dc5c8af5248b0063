//! Limits how long a generation waits for engine memory, and when a refused caller may retry.

use std::time::Duration;

/// Fraction of the latency target that is reserved for the prefill and for sending the first event.
const PREFILL_FRACTION: f64 = 0.25;

/// Minimum time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Maximum time after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Sets the deadlines of generations that wait for engine memory.
#[derive(Clone, Copy, Debug)]
pub struct CapacityPolicy {
    /// Time within which the first event counts as on time.
    pub target_latency: Duration,
}

impl CapacityPolicy {
    /// Returns the time at which a request that waits for an engine since `since` is refused.
    ///
    /// `time_left` is the time that remains until the request's own deadline; at most half of it is
    /// spent waiting.
    pub fn wait_deadline(&self, since: Duration, time_left: Duration) -> Duration {
        let usable = self.target_latency.mul_f64(1.0 - PREFILL_FRACTION);
        since + usable.min(time_left / 2)
    }

    /// Returns the time after which a refused caller may retry: at most a third of `time_left`, but
    /// at least 400 ms.
    ///
    /// `draw` is a uniform random number in `0.0..1.0`, which spreads the retries of callers that
    /// were refused at the same time.
    pub fn retry_after(&self, time_left: Duration, draw: f64) -> Duration {
        let max = (time_left / 3).min(MAX_RETRY_AFTER).max(MIN_RETRY_AFTER);
        MIN_RETRY_AFTER + (max - MIN_RETRY_AFTER).mul_f64(0.5 + 0.5 * draw)
    }
}
