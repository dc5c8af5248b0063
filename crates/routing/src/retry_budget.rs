//! Limits how often requests are retried, so that failures do not multiply the load.

use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the budget that is used, so that the fleet stays within it under uneven traffic.
const USABLE_FRACTION: f64 = 0.8;

/// A retry budget for one service over a sliding window.
///
/// Each instance counts its own requests and uses an equal part of the fixed allowance, so the
/// instances together stay within the budget of the fleet without exchanging messages.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    allowance: f64,
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

/// What a retry budget permits and what is used of it, over the present window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUse {
    /// Number of requests of callers.
    pub requests: usize,
    /// Number of retries.
    pub retries: usize,
    /// Number of retries that may be made.
    pub usable: f64,
    /// Retries that may be made in addition to the ratio.
    pub allowance: f64,
}

impl RetryBudget {
    /// Creates a budget that permits `ratio` retries per request plus `allowance` retries in each
    /// `window`.
    pub fn new(window: Duration, ratio: f64, allowance: f64) -> Self {
        Self {
            window,
            ratio,
            allowance,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Sets the fixed part of the budget, which depends on the number of instances.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.allowance = allowance;
    }

    /// Records a request of a caller, which increases the budget.
    pub fn record_request(&mut self, now: Duration) {
        self.requests.push_back(now);
        self.remove_expired(now);
    }

    /// Undoes the record of the latest request, which another instance records.
    pub fn withdraw_request(&mut self) {
        self.requests.pop_back();
    }

    /// Takes one retry out of the budget, or returns `false` if the budget is used up.
    pub fn try_spend(&mut self, now: Duration) -> bool {
        let used = self.current_use(now);
        if used.retries as f64 + 1.0 > used.usable {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns what is permitted and used in the window that ends now.
    pub fn current_use(&mut self, now: Duration) -> BudgetUse {
        self.remove_expired(now);
        let requests = self.requests.len();
        BudgetUse {
            requests,
            retries: self.retries.len(),
            usable: USABLE_FRACTION * (self.ratio * requests as f64 + self.allowance),
            allowance: self.allowance,
        }
    }

    /// Puts back the retry that was spent last, as it was not made.
    pub fn put_back(&mut self) {
        self.retries.pop_back();
    }

    fn remove_expired(&mut self, now: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|t| *t + self.window < now) {
                times.pop_front();
            }
        }
    }
}
