//! Counts the tokens that customers were granted recently.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Time constant with which a grant is forgotten, in seconds. An instance may grant each of several
/// customers less than one generation a second; a shorter time would tell them apart by chance.
const DECAY_S: f64 = 5.0;

/// Tokens below which a customer is no longer kept.
const MIN_TOKENS: f64 = 1.0;

/// Ratio of what a customer was granted to the mean of all, both by weight, above which it has more
/// than its share. Differences below it are chance.
const ABOVE_SHARE_RATIO: f64 = 1.25;

/// What a customer was granted.
#[derive(Clone, Copy, Debug)]
struct Granted {
    tokens: f64,
    weight: f64,
}

/// The tokens of a service that each customer was granted at this instance, which decay with time.
#[derive(Clone, Debug, Default)]
pub struct CustomerShares {
    granted: BTreeMap<SmolStr, Granted>,
    as_of: Duration,
}

impl CustomerShares {
    /// Adds tokens that a customer was granted.
    pub fn add(&mut self, now: Duration, customer: &SmolStr, weight: f64, tokens: u64) {
        let kept = self.kept(now);
        self.as_of = self.as_of.max(now);
        self.granted.retain(|_, granted| {
            granted.tokens *= kept;
            granted.tokens >= MIN_TOKENS
        });
        let new = Granted {
            tokens: 0.0,
            weight,
        };
        let granted = self.granted.entry(customer.clone()).or_insert(new);
        granted.tokens += tokens as f64;
        granted.weight = weight;
    }

    /// Returns the tokens that a customer was granted recently.
    pub fn granted(&self, now: Duration, customer: &str) -> f64 {
        let granted = self.granted.get(customer).map_or(0.0, |g| g.tokens);
        granted * self.kept(now)
    }

    /// Whether a customer was granted clearly more than its share of all that was granted recently.
    pub fn is_above_share(&self, customer: &str) -> bool {
        let Some(own) = self.granted.get(customer) else {
            return false;
        };
        let all = || self.granted.values();
        let tokens: f64 = all().map(|g| g.tokens).sum();
        let weight: f64 = all().map(|g| g.weight).sum();
        own.tokens / own.weight > ABOVE_SHARE_RATIO * tokens / weight
    }

    /// Returns the part of what was granted that is not forgotten since the last grant.
    fn kept(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.as_of).as_secs_f64() / DECAY_S).exp()
    }
}
