//! Bounds retries to a part of the requests, so that failures do not multiply load.

/// Retries earned by each request.
const EARNED: f64 = 0.2;

/// Retries that can be saved up.
const SAVED: f64 = 32.0;

/// A budget of retries; see Beyer et al., "Site Reliability Engineering", 2016, chapter 22.
#[derive(Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: SAVED }
    }
}

impl RetryBudget {
    /// Takes in that a request has come.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(SAVED);
    }

    /// Spends one retry; false if none is left.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
