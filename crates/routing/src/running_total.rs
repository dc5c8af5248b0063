//! A running total of charges that also remembers its recent values.

use std::collections::VecDeque;
use std::time::Duration;

/// Time for which a change is reported to peers. It spans several reports, so that the loss of one
/// report loses no change.
pub const REPORT_WINDOW: Duration = Duration::from_millis(1500);

/// Changes within this time are merged into one.
const MERGE_WINDOW: Duration = Duration::from_millis(250);

/// The tokens charged to a customer since the start of the process, and their recent changes.
#[derive(Clone, Debug, Default)]
pub struct RunningTotal {
    total: u64,
    /// Start times of the changes that are still reported, each with the total before the change;
    /// the oldest comes first.
    changes: VecDeque<(Duration, u64)>,
}

impl RunningTotal {
    /// Adds a charge, or a refund if `tokens` is negative.
    pub fn add(&mut self, now: Duration, tokens: i64) {
        self.remove_expired(now);
        if self
            .changes
            .back()
            .is_none_or(|(at, _)| now >= *at + MERGE_WINDOW)
        {
            self.changes.push_back((now, self.total));
        }
        self.total = self.total.saturating_add_signed(tokens);
    }

    /// Returns the current total.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the total before the changes that are still reported.
    pub fn before(&self, now: Duration) -> u64 {
        let oldest = self
            .changes
            .iter()
            .find(|(at, _)| now < *at + REPORT_WINDOW);
        oldest.map_or(self.total, |(_, before)| *before)
    }

    /// Returns the sum of the changes that are still reported.
    pub fn recent(&self, now: Duration) -> f64 {
        self.total as f64 - self.before(now) as f64
    }

    fn remove_expired(&mut self, now: Duration) {
        while self
            .changes
            .front()
            .is_some_and(|(at, _)| now >= *at + REPORT_WINDOW)
        {
            self.changes.pop_front();
        }
    }
}
