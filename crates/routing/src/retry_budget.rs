//! Bounds how often requests are sent again, so that failures do not multiply load.

use std::collections::VecDeque;
use std::time::Duration;

/// Part of the fleet's budget that is used, so that uneven traffic stays inside it.
const USED_PART: f64 = 0.8;

/// A budget of repeated sends to one service over a sliding window.
///
/// Each instance counts its own requests and takes an equal part of the fixed allowance, so the
/// parts sum to less than the whole without any message between instances.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    allowance: f64,
    requests: VecDeque<Duration>,
    resends: VecDeque<Duration>,
}

impl RetryBudget {
    /// Makes a budget of `ratio` resends a request plus `allowance` in each `window`.
    pub fn new(window: Duration, ratio: f64, allowance: f64) -> Self {
        Self {
            window,
            ratio,
            allowance,
            requests: VecDeque::new(),
            resends: VecDeque::new(),
        }
    }

    /// Sets the fixed part of the budget, when the number of instances has changed.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.allowance = allowance;
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Duration) {
        self.requests.push_back(now);
        self.forget(now);
    }

    /// Takes one resend out of the budget; false if none is left.
    pub fn try_spend(&mut self, now: Duration) -> bool {
        self.forget(now);
        let most = USED_PART * (self.ratio * self.requests.len() as f64 + self.allowance);
        if self.resends.len() as f64 + 1.0 > most {
            return false;
        }
        self.resends.push_back(now);
        true
    }

    fn forget(&mut self, now: Duration) {
        for times in [&mut self.requests, &mut self.resends] {
            while times.front().is_some_and(|t| *t + self.window < now) {
                times.pop_front();
            }
        }
    }
}
