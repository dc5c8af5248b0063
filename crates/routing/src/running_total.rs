//! A count that grows, and what it was a moment ago.

use std::collections::VecDeque;
use std::time::Duration;

/// How long a change is told: several reports, so that a lost one does no harm.
pub const TOLD_FOR: Duration = Duration::from_millis(1500);

/// Changes that are closer together are kept as one.
const STEP: Duration = Duration::from_millis(250);

/// Tokens that a customer was charged since the start, with its latest changes.
#[derive(Clone, Debug, Default)]
pub struct RunningTotal {
    total: u64,
    /// When changes began that are still told, each with the total before it; the oldest first.
    changes: VecDeque<(Duration, u64)>,
}

impl RunningTotal {
    /// Takes in a charge, or a refund if it is negative.
    pub fn change(&mut self, now: Duration, tokens: i64) {
        self.forget(now);
        if self.changes.back().is_none_or(|(at, _)| now >= *at + STEP) {
            self.changes.push_back((now, self.total));
        }
        self.total = self.total.saturating_add_signed(tokens);
    }

    /// Returns the total.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns what the total was before the changes that are still told.
    pub fn before(&self, now: Duration) -> u64 {
        let told = self.changes.iter().find(|(at, _)| now < *at + TOLD_FOR);
        told.map_or(self.total, |(_, before)| *before)
    }

    fn forget(&mut self, now: Duration) {
        while self
            .changes
            .front()
            .is_some_and(|(at, _)| now >= *at + TOLD_FOR)
        {
            self.changes.pop_front();
        }
    }
}
