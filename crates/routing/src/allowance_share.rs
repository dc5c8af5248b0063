//! The part of one instance in an allowance that holds for all instances together.

use std::collections::VecDeque;
use std::time::Duration;

/// An equal part of an allowance that the instances of the fleet may use in each window.
///
/// The parts add up to no more than the whole in every window, without messages between instances: see
/// `docs/design/retries.md`, "Shares".
#[derive(Debug, Default)]
pub struct AllowanceShare {
    window: Duration,
    /// Sizes of the fleet, each with the time since which no larger one was recorded.
    sizes: VecDeque<(Duration, usize)>,
}

impl AllowanceShare {
    /// Creates the share of an allowance for each `window`; it is zero until the size of the fleet is
    /// known.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            sizes: VecDeque::new(),
        }
    }

    /// Records the number of instances in the fleet, this one included, that are known now.
    pub fn record_size(&mut self, now: Duration, instances: usize) {
        while self.sizes.back().is_some_and(|(_, s)| *s < instances) {
            self.sizes.pop_back();
        }
        if self.sizes.back().is_none_or(|(_, s)| *s > instances) {
            self.sizes.push_back((now, instances));
        }
        // A size counts for a window after the fleet has become smaller.
        while self
            .sizes
            .get(1)
            .is_some_and(|(at, _)| *at + self.window < now)
        {
            self.sizes.pop_front();
        }
    }

    /// Returns the fraction of the allowance, from 0 to 1. An instance that is gone may have used its
    /// part within the window, so the largest size in it counts.
    pub fn fraction(&self) -> f64 {
        let largest = self.sizes.front();
        largest.map_or(0.0, |(_, size)| 1.0 / (*size).max(1) as f64)
    }
}
