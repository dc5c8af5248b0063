//! Limits how often requests are retried, so that failures do not multiply the load.

use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the budget that is used. The rest is left to the process that follows this one, and to
/// uneven traffic.
const USABLE_FRACTION: f64 = 0.8;

/// A retry budget for one service over a sliding window.
///
/// Each instance counts its own requests and uses an equal part of the fixed allowance, so the
/// instances together stay within the budget of the fleet without exchanging messages.
///
/// What a process has used is gone with it. The one that follows it may use the rest of the ratio in its
/// first window, for its own requests, and nothing of the allowance; see `docs/design/retries.md`.
///
/// A retry is held before it is made, since it may need other resources first, and counts from then
/// on. It is spent, and leaves the window later, by the time at which it is sent.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    allowance: f64,
    /// When no retry of the process before can be in the window any more.
    full_from: Duration,
    requests: VecDeque<Duration>,
    held: usize,
    spent: VecDeque<Duration>,
}

/// What a retry budget permits and what is used of it, over the present window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUse {
    /// Number of requests of callers.
    pub requests: usize,
    /// Number of retries that are held or spent.
    pub retries: usize,
    /// Number of retries that may be held or spent.
    pub usable: f64,
    /// Retries that may be made in addition to the ratio.
    pub allowance: f64,
}

impl RetryBudget {
    /// Creates a budget that permits `ratio` retries per request plus `allowance` retries in each
    /// `window`. Before `full_from`, the process before this one may have used its part.
    pub fn new(window: Duration, ratio: f64, allowance: f64, full_from: Duration) -> Self {
        Self {
            window,
            ratio,
            allowance,
            full_from,
            requests: VecDeque::new(),
            held: 0,
            spent: VecDeque::new(),
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

    /// Holds a retry, or returns `false` if the budget is used up.
    pub fn try_hold(&mut self, now: Duration) -> bool {
        let used = self.current_use(now);
        let is_granted = used.retries as f64 + 1.0 <= used.usable;
        self.held += usize::from(is_granted);
        is_granted
    }

    /// Returns a held retry, which was not made.
    pub fn release(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    /// Records that a held retry is being sent.
    pub fn spend(&mut self, now: Duration) {
        self.release();
        self.spent.push_back(now);
    }

    /// Undoes [`Self::spend`] at a time: the retry is held again.
    pub fn undo_spend(&mut self, at: Duration) {
        self.held += 1;
        // It may have left the window.
        if let Some(index) = self.spent.iter().rposition(|time| *time == at) {
            self.spent.remove(index);
        }
    }

    /// Returns what is permitted and used in the window that ends now.
    pub fn current_use(&mut self, now: Duration) -> BudgetUse {
        self.remove_expired(now);
        let requests = self.requests.len();
        let by_ratio = self.ratio * requests as f64;
        let (usable, allowance) = match now < self.full_from {
            true => ((1.0 - USABLE_FRACTION) * by_ratio, 0.0),
            false => (
                USABLE_FRACTION * (by_ratio + self.allowance),
                self.allowance,
            ),
        };
        BudgetUse {
            requests,
            retries: self.held + self.spent.len(),
            usable,
            allowance,
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        for times in [&mut self.requests, &mut self.spent] {
            while times.front().is_some_and(|t| *t + self.window < now) {
                times.pop_front();
            }
        }
    }
}
