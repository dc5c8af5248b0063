//! Limits retries to a fraction of the requests, so that failures do not multiply the load.

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;

/// Maximum number of retries in the budget.
const MAX_RETRIES: f64 = 32.0;

/// A budget of retries; see Beyer et al., "Site Reliability Engineering", 2016, chapter 22.
#[derive(Debug)]
pub struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            available: MAX_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Adds to the budget for a request that has arrived.
    pub fn earn(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn spend(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
