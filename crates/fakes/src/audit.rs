//! An exact log of charges, which the limits are checked against.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::CustomerId;
use smol_str::SmolStr;

/// Tolerance for rounding, in tokens.
const EPSILON_TOKENS: f64 = 1e-3;

/// A window in which a customer used more than its rate and burst allow.
#[derive(Clone, Debug, PartialEq)]
pub struct Overrun {
    /// The customer that exceeded its limit.
    pub customer: CustomerId,
    /// End of the window.
    pub at: Duration,
    /// Tokens above the bound.
    pub tokens: f64,
}

#[derive(Clone, Debug)]
struct Charge {
    customer: CustomerId,
    at: Duration,
    used: Option<u64>,
}

/// Every charge of every customer, with the tokens that were used in the end.
#[derive(Debug, Default)]
pub struct LimitAudit {
    /// By the text of the request's id.
    charges: BTreeMap<SmolStr, Charge>,
}

impl LimitAudit {
    /// Records a charge; a repeated one counts once.
    pub fn record_charge(&mut self, customer: CustomerId, id: SmolStr, at: Duration) {
        let charge = Charge {
            customer,
            at,
            used: None,
        };
        self.charges.entry(id).or_insert(charge);
    }

    /// Records the total number of tokens that a request has used.
    pub fn record_use(&mut self, id: &str, tokens: u64) {
        if let Some(charge) = self.charges.get_mut(id) {
            charge.used = Some(tokens);
        }
    }

    /// Returns the number of charges.
    pub fn len(&self) -> usize {
        self.charges.len()
    }

    /// Whether no charge was recorded.
    pub fn is_empty(&self) -> bool {
        self.charges.is_empty()
    }

    /// Checks every time window of a customer against `burst + rate * length`.
    ///
    /// A leaky bucket that drains at the rate holds the largest excess of all windows that end now,
    /// so one pass over the charges checks all windows.
    pub fn overrun(&self, customer: &CustomerId, rate: f64, burst: f64) -> Option<Overrun> {
        let of_customer = self
            .charges
            .values()
            .filter(|charge| charge.customer == *customer);
        let mut charges: Vec<&Charge> = of_customer.collect();
        charges.sort_by_key(|charge| charge.at);
        let mut excess = 0.0f64;
        let mut last = Duration::ZERO;
        for charge in charges {
            excess = (excess - rate * (charge.at - last).as_secs_f64()).max(0.0);
            last = charge.at;
            // A request without a recorded use did not reach an engine.
            excess += charge.used.unwrap_or_default() as f64;
            if excess > burst + EPSILON_TOKENS {
                let customer = customer.clone();
                return Some(Overrun {
                    customer,
                    at: charge.at,
                    tokens: excess - burst,
                });
            }
        }
        None
    }
}
