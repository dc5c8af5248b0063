//! Delays after failed calls to the store.

use std::time::Duration;

/// Delay after the first failed call; doubles up to [`MAX_DELAY`].
const INITIAL_DELAY: Duration = Duration::from_millis(60);

/// Maximum delay after a failed call.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Exponential backoff with jitter, so that instances do not repeat failed calls at the same time.
#[derive(Default)]
pub struct Backoff(Option<Duration>);

impl Backoff {
    /// Returns the next delay; `jitter` is a uniform random number from 0 to below 1.
    pub fn next_delay(&mut self, jitter: f64) -> Duration {
        let delay = self.0.map_or(INITIAL_DELAY, |d| (d * 2).min(MAX_DELAY));
        self.0 = Some(delay);
        delay.mul_f64(0.5 + 0.5 * jitter)
    }
}
