//! Limits of customers, counted in tokens over the whole fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::running_total::{RunningTotal, TOLD_FOR};
use crate::{CustomerCharges, OverLimit, Quota};

/// Most customers whose charges go into one message.
const MOST_TOLD: usize = 400;

/// Longest time after which a caller is told to come back, in seconds.
const MOST_WAIT_S: f64 = 60.0;

/// Whether a request may go on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The tokens were charged, or set aside.
    Allowed,
    /// The customer is over its limit.
    OverLimit(OverLimit),
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    filled: Duration,
    /// Tokens that this instance has charged since its start.
    charged: RunningTotal,
    /// Tokens of requests here that wait and are not charged yet.
    reserve_pending: u64,
}

/// The buckets of all customers.
///
/// Every instance keeps the whole bucket of each customer and takes out what it charges itself at
/// once, and what its peers and the other zones have charged when it hears of it. While only a part
/// of the fleet hears each other, the bucket fills by that part, so that the parts together give
/// the whole.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    buckets: BTreeMap<SmolStr, Bucket>,
    /// What each source has charged to each customer, as of its last message.
    heard: BTreeMap<(SmolStr, SmolStr), u64>,
    /// When each source was first heard.
    listening: BTreeMap<SmolStr, Duration>,
    /// What the peers of this zone have charged to each customer since this instance started.
    near: BTreeMap<SmolStr, RunningTotal>,
    share: Share,
}

#[derive(Clone, Copy, Debug)]
struct Share(f64);

impl Default for Share {
    fn default() -> Self {
        Self(1.0)
    }
}

impl QuotaLedger {
    /// Applies the limits of a configuration.
    pub fn configure(
        &mut self,
        now: Duration,
        quotas: impl Iterator<Item = (SmolStr, Option<Quota>)>,
    ) {
        let quotas: BTreeMap<_, _> = quotas.collect();
        self.buckets
            .retain(|name, _| quotas.get(name).is_some_and(Option::is_some));
        for (name, quota) in quotas {
            let Some(quota) = quota else { continue };
            let share = self.share.0;
            let bucket = self.buckets.entry(name).or_insert(Bucket {
                quota,
                level: quota.burst,
                filled: now,
                charged: RunningTotal::default(),
                reserve_pending: 0,
            });
            bucket.fill(now, share);
            bucket.quota = quota;
            bucket.level = bucket.level.min(quota.burst);
        }
    }

    /// Sets which part of the fleet hears each other, between 0 and 1.
    pub fn set_fleet_share(&mut self, now: Duration, share: f64) {
        for bucket in self.buckets.values_mut() {
            bucket.fill(now, self.share.0);
        }
        self.share = Share(share);
    }

    /// Charges a request of a customer, if its limit allows it.
    pub fn charge(&mut self, now: Duration, customer: &str, tokens: u64) -> QuotaDecision {
        let share = self.share.0;
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return QuotaDecision::Allowed;
        };
        let decision = bucket.decide(now, share, tokens, 0);
        if decision == QuotaDecision::Allowed {
            bucket.level -= tokens as f64;
            bucket.charged.change(now, tokens as i64);
        }
        decision
    }

    /// Sets tokens aside for a request that waits, if its customer's limit allows it and all that
    /// wait here already.
    ///
    /// Nothing is charged, so peers do not take it out of their buckets: a request that finds no
    /// room in the end has cost its customer nothing anywhere. It is charged with
    /// [`QuotaLedger::charge`], after [`QuotaLedger::release_pending`], when it is about to be sent.
    pub fn reserve_pending(&mut self, now: Duration, customer: &str, tokens: u64) -> QuotaDecision {
        let share = self.share.0;
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return QuotaDecision::Allowed;
        };
        let decision = bucket.decide(now, share, tokens, bucket.reserve_pending);
        if decision == QuotaDecision::Allowed {
            bucket.reserve_pending += tokens;
        }
        decision
    }

    /// Releases tokens that were set aside.
    pub fn release_pending(&mut self, customer: &str, tokens: u64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.reserve_pending = bucket.reserve_pending.saturating_sub(tokens);
        }
    }

    /// Gives back the charge of a request that has not run.
    pub fn refund(&mut self, now: Duration, customer: &str, tokens: u64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level = (bucket.level + tokens as f64).min(bucket.quota.burst);
            bucket.charged.change(now, -(tokens as i64));
        }
    }

    /// Returns what this instance has charged since its start, for customers with late changes.
    pub fn recent_charges(&self, now: Duration) -> Vec<CustomerCharges> {
        let own = self.buckets.iter();
        told(own.map(|(name, b)| (name, b.charged.total(), b.charged.before(now))))
    }

    /// Takes in that a message of a source came, whatever it tells of charges.
    pub fn record_source(&mut self, now: Duration, source: &str) {
        if !self.listening.contains_key(source) {
            self.listening.insert(SmolStr::new(source), now);
        }
    }

    /// Takes in what a peer of this zone has charged to a customer since the peer's start.
    ///
    /// Of a peer that is new here but not new itself, only late changes count: what it charged
    /// before was no business of this instance's bucket.
    pub fn apply_peer_charges(
        &mut self,
        now: Duration,
        peer: &str,
        charged: &CustomerCharges,
        is_young: bool,
    ) {
        let change = self.take_change(now, peer, charged, is_young);
        let near = self.near.entry(charged.customer.clone()).or_default();
        if change != 0 {
            near.change(now, change);
        }
        self.debit(now, &charged.customer, change);
    }

    /// Takes in what a whole other zone has charged, as its speaker has counted.
    pub fn apply_zone_charges(&mut self, now: Duration, speaker: &str, charged: &CustomerCharges) {
        let change = self.take_change(now, speaker, charged, false);
        self.debit(now, &charged.customer, change);
    }

    /// Returns what this zone has charged, as this instance has counted, for customers with late
    /// changes.
    pub fn recent_zone_charges(&self, now: Duration) -> Vec<CustomerCharges> {
        let idle = RunningTotal::default();
        told(self.buckets.iter().map(|(name, bucket)| {
            let (own, near) = (&bucket.charged, self.near.get(name).unwrap_or(&idle));
            let total = own.total() + near.total();
            (name, total, own.before(now) + near.before(now))
        }))
    }

    /// Returns the tokens that a source has charged to a customer since it was last heard of.
    ///
    /// A source that has been listened to for as long as changes are told has charged nothing that
    /// it did not tell, so of a customer that it never named all told changes count. Of one that is
    /// new here they may be older, and may have been told by another.
    fn take_change(
        &mut self,
        now: Duration,
        source: &str,
        charged: &CustomerCharges,
        young: bool,
    ) -> i64 {
        let since = self.listening.get(source).copied().unwrap_or(now);
        let key = (SmolStr::new(source), charged.customer.clone());
        let known = self.heard.insert(key, charged.total);
        let known = known.unwrap_or(match young {
            true => 0,
            false if now >= since + TOLD_FOR => charged.before,
            false => charged.total,
        });
        // A refund at the source makes its count go back.
        charged.total as i64 - known as i64
    }

    fn debit(&mut self, now: Duration, customer: &str, tokens: i64) {
        let share = self.share.0;
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.fill(now, share);
            bucket.level = (bucket.level - tokens as f64).min(bucket.quota.burst);
        }
    }

    /// Forgets the counts of a peer that has started anew.
    pub fn forget_peer(&mut self, peer: &str) {
        self.heard.retain(|(name, _), _| name != peer);
        self.listening.remove(peer);
    }
}

/// Returns the customers with late changes; those with the largest, if there are too many.
fn told<'a>(totals: impl Iterator<Item = (&'a SmolStr, u64, u64)>) -> Vec<CustomerCharges> {
    let changed = totals.filter(|(_, total, before)| total != before);
    let mut told: Vec<CustomerCharges> = changed
        .map(|(customer, total, before)| CustomerCharges {
            customer: customer.clone(),
            total,
            before,
        })
        .collect();
    if told.len() > MOST_TOLD {
        told.sort_by_key(|c| std::cmp::Reverse(c.total.abs_diff(c.before)));
        told.truncate(MOST_TOLD);
    }
    told
}

impl Bucket {
    /// Decides whether a request fits while others have `reserve_pending` tokens.
    fn decide(
        &mut self,
        now: Duration,
        share: f64,
        tokens: u64,
        reserve_pending: u64,
    ) -> QuotaDecision {
        self.fill(now, share);
        // A request larger than the burst waits for a full bucket.
        let needed = (tokens as f64).min(self.quota.burst);
        let level = self.level - reserve_pending as f64;
        if level >= needed {
            return QuotaDecision::Allowed;
        }
        let rate = (self.quota.rate * share).max(1.0);
        let wait_s = ((needed - level) / rate).min(MOST_WAIT_S);
        QuotaDecision::OverLimit(OverLimit {
            retry_after: Duration::from_secs_f64(wait_s),
            quota: self.quota,
            level,
            fleet_share: share,
        })
    }

    fn fill(&mut self, now: Duration, share: f64) {
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = now.max(self.filled);
        self.level = (self.level + elapsed * self.quota.rate * share).min(self.quota.burst);
    }
}
