//! A time for which a backend server names a limit, and the check that it is kept.

use std::time::Duration;

/// Window in which a server counts its requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after a limit is named from which it is binding.
const NOTICE: Duration = Duration::from_secs(3);

/// A limit that a server names for a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitPeriod {
    /// Requests per second from all instances together.
    pub rate: f64,
    /// When the server begins to name it.
    pub from: Duration,
    /// When the server stops to name it.
    pub until: Duration,
}

impl LimitPeriod {
    /// Returns a description of the first window with more than one and a half times the limit and
    /// five requests more, given the times of all requests that the server received, in order.
    pub fn violation(&self, received: &[Duration]) -> Option<String> {
        let allowed = 1.5 * self.rate * WINDOW.as_secs_f64() + 5.0;
        let in_period = |at: &&Duration| (self.from..self.until).contains(*at);
        let counted: Vec<Duration> = received.iter().filter(in_period).copied().collect();
        let ends = counted.iter().filter(|at| **at >= self.from + NOTICE);
        ends.map(|end| {
            let in_window = |at: &&Duration| **at <= *end && **at + WINDOW > *end;
            (end, counted.iter().filter(in_window).count())
        })
        .find(|(_, count)| *count as f64 > allowed)
        .map(|(end, count)| {
            let rate = self.rate;
            format!("{count} requests in 4 s until {end:?} at a limit of {rate:.1} per second")
        })
    }
}
