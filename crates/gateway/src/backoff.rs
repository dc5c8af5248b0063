//! Pauses between failed calls to the store.

use std::time::Duration;

/// First pause after a failed call; doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Growing pauses between failed calls, spread so that instances do not call together.
#[derive(Default)]
pub struct Backoff(Option<Duration>);

impl Backoff {
    /// Returns the next pause; `draw` is a uniform random number below 1.
    pub fn next_delay(&mut self, draw: f64) -> Duration {
        let pause = self.0.map_or(FIRST_PAUSE, |p| (p * 2).min(MAX_PAUSE));
        self.0 = Some(pause);
        pause.mul_f64(0.5 + 0.5 * draw)
    }
}
