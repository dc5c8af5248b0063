//! The exact log of charges that limits are checked against.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::CustomerId;
use smol_str::SmolStr;

/// Slack for rounding, in tokens.
const EPSILON_TOKENS: f64 = 1e-3;

/// A window in which a customer got more than its rate and burst.
#[derive(Clone, Debug, PartialEq)]
pub struct Overrun {
    /// The customer.
    pub customer: CustomerId,
    /// End of the window.
    pub at: Duration,
    /// Tokens over the bound.
    pub tokens: f64,
}

#[derive(Clone, Debug)]
struct Charge {
    customer: CustomerId,
    at: Duration,
    used: Option<u64>,
}

/// Every charge of every customer, with what was used in the end.
#[derive(Debug, Default)]
pub struct LimitAudit {
    /// By the text of the request's name.
    charges: BTreeMap<SmolStr, Charge>,
}

impl LimitAudit {
    /// Notes a charge; a repeated one counts once.
    pub fn charged(&mut self, customer: CustomerId, id: SmolStr, at: Duration) {
        let charge = Charge {
            customer,
            at,
            used: None,
        };
        self.charges.entry(id).or_insert(charge);
    }

    /// Notes the tokens that a request has used in all.
    pub fn used(&mut self, id: &str, tokens: u64) {
        if let Some(charge) = self.charges.get_mut(id) {
            charge.used = Some(tokens);
        }
    }

    /// Returns the number of charges.
    pub fn len(&self) -> usize {
        self.charges.len()
    }

    /// Whether nothing was charged.
    pub fn is_empty(&self) -> bool {
        self.charges.is_empty()
    }

    /// Checks every window of a customer against `burst + rate * length`.
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
            // A request of which nothing is known reached no engine.
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
