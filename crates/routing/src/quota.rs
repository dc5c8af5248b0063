//! Token bucket limits of customers, which apply to the whole fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::pace::{PACE_TIME, Pace};
use crate::running_total::{REPORT_WINDOW, RunningTotal};
use crate::{CustomerCharges, OverLimit, Quota};

/// Maximum number of customers whose charges are reported in one message.
const MAX_REPORTED_CUSTOMERS: usize = 400;

/// Fraction of a bucket from which a customer that exceeded its limit is paced less, up to the full bucket,
/// at which it is not paced.
const UNPACED_LEVEL: f64 = 0.5;

/// Maximum time after which a caller is asked to retry, in seconds.
const MAX_RETRY_AFTER_S: f64 = 60.0;

/// The outcome of charging a request or reserving tokens for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The tokens were charged or reserved, or the customer has no limit.
    Allowed,
    /// The request exceeds the limit of its customer; nothing was charged or reserved.
    OverLimit(OverLimit),
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// Level if nothing but the known charges has been deducted.
    level: f64,
    /// Level that this part of the fleet may use while it does not reach the whole fleet.
    part: Option<f64>,
    refilled_at: Duration,
    /// Pacing since the customer exceeded its limit.
    pace: Option<Pace>,
    /// Tokens charged by this instance since its start.
    charged: RunningTotal,
    /// Tokens reserved for requests that wait at this instance and are not charged yet.
    pending: u64,
}

/// The token buckets of all customers.
///
/// Every instance keeps a bucket of the full size for each customer. It deducts its own charges
/// immediately, and those of its peers and of the other zones when they are reported. While the
/// fleet is partitioned, each side uses and refills the fraction of the buckets that corresponds to
/// its share of the instances, so that all sides together do not exceed the limit.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    buckets: BTreeMap<SmolStr, Bucket>,
    /// Charges of each source to each customer, according to its last message. A source is a peer
    /// of this zone or the delegate of another zone.
    reported: BTreeMap<(SmolStr, SmolStr), u64>,
    /// Time of the first message of each source.
    first_message: BTreeMap<SmolStr, Duration>,
    /// Charges of the peers of this zone to each customer since this instance started.
    zone_peers: BTreeMap<SmolStr, RunningTotal>,
    /// Charges of the other zones to each customer since this instance started.
    other_zones: BTreeMap<SmolStr, RunningTotal>,
    fleet_share: FleetShare,
    /// Random number in `0.0..1.0`; see [`Pace`].
    phase: f64,
    /// Whether the next buckets are empty, as the process before may have used them up.
    follows_another: bool,
}

/// Reachable fraction of the fleet; 1 until it is set.
#[derive(Clone, Copy, Debug)]
struct FleetShare(f64);

impl Default for FleetShare {
    fn default() -> Self {
        Self(1.0)
    }
}

impl QuotaLedger {
    /// Creates the ledger of a process that follows another one, whose charges are not known any more.
    pub fn following_another() -> Self {
        Self {
            follows_another: true,
            ..Self::default()
        }
    }

    /// Applies the limits of a configuration.
    ///
    /// New buckets are full, except the first ones of a process that follows another one, which are
    /// empty. Buckets of customers that have no limit any more are removed.
    pub fn configure(
        &mut self,
        now: Duration,
        quotas: impl Iterator<Item = (SmolStr, Option<Quota>)>,
    ) {
        let quotas: BTreeMap<_, _> = quotas.collect();
        self.buckets
            .retain(|name, _| quotas.get(name).is_some_and(Option::is_some));
        let follows_another = std::mem::take(&mut self.follows_another);
        for (name, quota) in quotas {
            let Some(quota) = quota else { continue };
            let fleet_share = self.fleet_share.0;
            let level = if follows_another { 0.0 } else { quota.burst };
            let bucket = self.buckets.entry(name).or_insert(Bucket {
                quota,
                level,
                part: (fleet_share < 1.0).then_some(level * fleet_share),
                refilled_at: now,
                pace: None,
                charged: RunningTotal::default(),
                pending: 0,
            });
            bucket.refill(now, fleet_share);
            bucket.quota = quota;
            bucket.level = bucket.level.min(quota.burst);
            bucket.part = bucket.part.map(|part| part.min(quota.burst));
        }
    }

    /// Sets the reachable fraction of the fleet, between 0 and 1.
    ///
    /// The fraction of each bucket that this side may use changes with it. A loss of instances is
    /// noticed late, so what this side has charged since then counts against its new fraction.
    pub fn set_fleet_share(&mut self, now: Duration, fleet_share: f64) {
        let before = std::mem::replace(&mut self.fleet_share, FleetShare(fleet_share)).0;
        if before == fleet_share {
            return;
        }
        let recent = |totals: &BTreeMap<SmolStr, RunningTotal>, name: &SmolStr| {
            totals.get(name).map_or(0.0, |total| total.recent(now))
        };
        for (name, bucket) in &mut self.buckets {
            bucket.refill(now, before);
            // Some of the others' charges are by instances that are not reached any more.
            let others = recent(&self.zone_peers, name) + recent(&self.other_zones, name);
            let recent = bucket.charged.recent(now) + fleet_share * others;
            bucket.set_share(before, fleet_share, recent.max(0.0));
        }
    }

    /// Sets with which request of a paced customer this instance begins to admit, a random number in
    /// `0.0..1.0`: instances that began with the same one would admit at the same moments.
    pub fn set_phase(&mut self, phase: f64) {
        self.phase = phase;
    }

    /// Returns the tokens that the whole fleet charges to a customer a second, as far as that is known.
    fn recent_rate(&self, now: Duration, customer: &str) -> f64 {
        let others = [&self.zone_peers, &self.other_zones];
        let others = others.iter().filter_map(|totals| totals.get(customer));
        let own = self.buckets.get(customer).map(|bucket| &bucket.charged);
        let recent: f64 = others.chain(own).map(|total| total.recent(now)).sum();
        recent.max(0.0) / REPORT_WINDOW.as_secs_f64()
    }

    /// Charges a request to a customer if the limit allows it.
    pub fn charge(&mut self, now: Duration, customer: &str, tokens: u64) -> QuotaDecision {
        let fleet_share = self.fleet_share.0;
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return QuotaDecision::Allowed;
        };
        let decision = bucket.decide(now, fleet_share, tokens, 0);
        if decision == QuotaDecision::Allowed {
            bucket.deduct(tokens as f64);
            bucket.charged.add(now, tokens as i64);
        }
        decision
    }

    /// Reserves tokens for a request that waits, if the limit of its customer allows it in addition
    /// to the requests that wait here already.
    ///
    /// Nothing is charged and nothing is reported to peers, so a request that gets no capacity in
    /// the end uses up no tokens on any instance. When the request is about to be sent, the
    /// reservation is released with [`QuotaLedger::release_pending`], and the request is charged
    /// with [`QuotaLedger::charge`].
    pub fn reserve_pending(&mut self, now: Duration, customer: &str, tokens: u64) -> QuotaDecision {
        let fleet_share = self.fleet_share.0;
        let rate = self.recent_rate(now, customer);
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return QuotaDecision::Allowed;
        };
        let decision = bucket.decide(now, fleet_share, tokens, bucket.pending);
        let decision = bucket.pace(now, fleet_share, rate, self.phase, decision);
        if decision == QuotaDecision::Allowed {
            bucket.pending += tokens;
        }
        decision
    }

    /// Releases tokens that were reserved with [`QuotaLedger::reserve_pending`].
    pub fn release_pending(&mut self, customer: &str, tokens: u64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.pending = bucket.pending.saturating_sub(tokens);
        }
    }

    /// Refunds the charge of a request that has not run.
    pub fn refund(&mut self, now: Duration, customer: &str, tokens: u64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.deduct(-(tokens as f64));
            bucket.charged.add(now, -(tokens as i64));
        }
    }

    /// Returns the charges of this instance since its start, for customers with recent changes.
    pub fn recent_charges(&self, now: Duration) -> Vec<CustomerCharges> {
        let own = self.buckets.iter();
        recently_charged(own.map(|(name, b)| (name, b.charged.total(), b.charged.before(now))))
    }

    /// Records the time of the first message of a source, whether or not it reports charges.
    pub fn record_source(&mut self, now: Duration, source: &str) {
        if !self.first_message.contains_key(source) {
            self.first_message.insert(SmolStr::new(source), now);
        }
    }

    /// Whether all charges of a peer count at an instance, given the times since their starts: the peer
    /// started later or, as when all instances are started together, little earlier. An instance does
    /// not know then what a peer charged between its own start and the peer's first report.
    pub fn counts_all_charges(peer_uptime: Duration, uptime: Duration) -> bool {
        peer_uptime < uptime + REPORT_WINDOW
    }

    /// Applies the charges of a peer of this zone to a customer since the start of the peer.
    ///
    /// `is_younger` is whether all charges of the peer count; see
    /// [`QuotaLedger::counts_all_charges`]. Otherwise its first message may contain charges that predate
    /// the bucket of this instance, so at most the recent changes count.
    pub fn apply_peer_charges(
        &mut self,
        now: Duration,
        peer: &str,
        charged: &CustomerCharges,
        is_younger: bool,
    ) {
        let change = self.update_reported(now, peer, charged, is_younger);
        let peers = self.zone_peers.entry(charged.customer.clone()).or_default();
        if change != 0 {
            peers.add(now, change);
        }
        self.debit(now, &charged.customer, change);
    }

    /// Applies the charges of all instances of another zone, as counted by its delegate.
    pub fn apply_zone_charges(&mut self, now: Duration, delegate: &str, charged: &CustomerCharges) {
        let change = self.update_reported(now, delegate, charged, false);
        let zones = self
            .other_zones
            .entry(charged.customer.clone())
            .or_default();
        if change != 0 {
            zones.add(now, change);
        }
        self.debit(now, &charged.customer, change);
    }

    /// Returns the charges of this zone as counted by this instance, for customers with recent
    /// changes.
    pub fn recent_zone_charges(&self, now: Duration) -> Vec<CustomerCharges> {
        let idle = RunningTotal::default();
        recently_charged(self.buckets.iter().map(|(name, bucket)| {
            let (own, peers) = (&bucket.charged, self.zone_peers.get(name).unwrap_or(&idle));
            let total = own.total() + peers.total();
            (name, total, own.before(now) + peers.before(now))
        }))
    }

    /// Returns the tokens that a source has charged to a customer since its last report.
    ///
    /// Once a source has been known for the whole report window, it cannot have charged anything
    /// that it did not report. If it then reports a customer for the first time, all reported
    /// changes count. If the source is new here, the changes may be older than its first message
    /// and may have been reported by another source already, so none of them count.
    fn update_reported(
        &mut self,
        now: Duration,
        source: &str,
        charged: &CustomerCharges,
        is_younger: bool,
    ) -> i64 {
        let since = self.first_message.get(source).copied().unwrap_or(now);
        let key = (SmolStr::new(source), charged.customer.clone());
        let known = self.reported.insert(key, charged.total);
        let known = known.unwrap_or(match is_younger {
            true => 0,
            false if now >= since + REPORT_WINDOW => charged.before,
            false => charged.total,
        });
        // A refund at the source lowers its total.
        charged.total as i64 - known as i64
    }

    fn debit(&mut self, now: Duration, customer: &str, tokens: i64) {
        let fleet_share = self.fleet_share.0;
        let rate = self.recent_rate(now, customer);
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.refill(now, fleet_share);
            bucket.deduct(tokens as f64);
            let is_over = bucket.usable() < 0.0;
            bucket.update_pace(now, fleet_share, rate, self.phase, is_over);
        }
    }

    /// Removes the counts of a peer that has restarted, since it counts from zero again.
    pub fn forget_peer(&mut self, peer: &str) {
        self.reported.retain(|(name, _), _| name != peer);
        self.first_message.remove(peer);
    }
}

/// Returns the customers with recent changes; if they are too many for one message, only those with
/// the largest changes.
fn recently_charged<'a>(
    totals: impl Iterator<Item = (&'a SmolStr, u64, u64)>,
) -> Vec<CustomerCharges> {
    let changed = totals.filter(|(_, total, before)| total != before);
    let mut recent: Vec<CustomerCharges> = changed
        .map(|(customer, total, before)| CustomerCharges {
            customer: customer.clone(),
            total,
            before,
        })
        .collect();
    if recent.len() > MAX_REPORTED_CUSTOMERS {
        recent.sort_by_key(|c| std::cmp::Reverse(c.total.abs_diff(c.before)));
        recent.truncate(MAX_REPORTED_CUSTOMERS);
    }
    recent
}

impl Bucket {
    /// Decides whether a request is within the limit while other requests have reserved `pending`
    /// tokens.
    fn decide(
        &mut self,
        now: Duration,
        fleet_share: f64,
        tokens: u64,
        pending: u64,
    ) -> QuotaDecision {
        self.refill(now, fleet_share);
        // A request larger than the burst is allowed when the bucket is full. One request may be
        // larger than the whole burst of a small part of the fleet, so there it is allowed while any
        // tokens are left, and later ones wait until it is made up for.
        let needed = match self.part {
            Some(_) => 0.0,
            None => (tokens as f64).min(self.quota.burst),
        };
        let level = self.usable() - pending as f64;
        if level >= needed {
            return QuotaDecision::Allowed;
        }
        // The minimum avoids a division by zero.
        let rate = (self.quota.rate * fleet_share).max(1.0);
        let wait_s = ((needed - level) / rate).min(MAX_RETRY_AFTER_S);
        QuotaDecision::OverLimit(OverLimit {
            retry_after: Duration::from_secs_f64(wait_s),
            quota: self.quota,
            level,
            fleet_share,
        })
    }

    fn refill(&mut self, now: Duration, fleet_share: f64) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now.max(self.refilled_at);
        self.level = (self.level + elapsed * self.quota.rate).min(self.quota.burst);
        let max = self.quota.burst * fleet_share;
        self.part = self
            .part
            .map(|part| (part + elapsed * self.quota.rate * fleet_share).min(max));
    }

    /// Refuses part of the requests that the bucket allows, if the customer has exceeded its limit and
    /// still sends more than its rate. `rate` are the tokens that the fleet charges to it a second.
    fn pace(
        &mut self,
        now: Duration,
        fleet_share: f64,
        rate: f64,
        phase: f64,
        decision: QuotaDecision,
    ) -> QuotaDecision {
        let is_over = decision != QuotaDecision::Allowed;
        self.update_pace(now, fleet_share, rate, phase, is_over);
        let level = self.usable();
        let spare = self.spare(fleet_share);
        let Some(pace) = &mut self.pace else {
            return decision;
        };
        if is_over || pace.admits(spare) {
            return decision;
        }
        QuotaDecision::OverLimit(OverLimit {
            retry_after: PACE_TIME.mul_f64(1.0 - pace.admitted),
            quota: self.quota,
            level,
            fleet_share,
        })
    }

    /// Begins, adjusts or ends the pacing of the customer. Instances that get none of its requests do so
    /// as well, when others report their charges, so that all admit the same part.
    fn update_pace(
        &mut self,
        now: Duration,
        fleet_share: f64,
        rate: f64,
        phase: f64,
        is_over: bool,
    ) {
        let allowed_rate = (self.quota.rate * fleet_share).max(1.0);
        if self.pace.is_none() && is_over {
            self.pace = Some(Pace::new(now, phase));
        }
        let spare = self.spare(fleet_share);
        if let Some(pace) = &mut self.pace {
            pace.update(now, is_over, rate / pace.admitted_with(spare), allowed_rate);
            if pace.admitted >= 1.0 && spare > 0.0 {
                self.pace = None;
            }
        }
    }

    /// Returns how far the bucket is filled above [`UNPACED_LEVEL`], from 0 to 1 for a full one.
    fn spare(&self, fleet_share: f64) -> f64 {
        let full = (self.quota.burst * fleet_share).max(1.0);
        ((self.usable() / full - UNPACED_LEVEL) / (1.0 - UNPACED_LEVEL)).clamp(0.0, 1.0)
    }

    /// Returns the level that this side may use.
    fn usable(&self) -> f64 {
        self.part.unwrap_or(self.level)
    }

    /// Deducts charged tokens or, if `tokens` is negative, returns them.
    fn deduct(&mut self, tokens: f64) {
        self.level = (self.level - tokens).min(self.quota.burst);
        self.part = self.part.map(|part| (part - tokens).min(self.quota.burst));
    }

    /// Changes the fraction of the bucket that this side may use from `before` to `share`; `recent`
    /// are the tokens that this side has charged lately.
    ///
    /// If the fraction falls by the factor `f`, the side would have had `f` of the level before the
    /// recent charges, and `f` of what was refilled since: that leaves `f * (part + recent) - recent`.
    /// If it rises, the instances that were reached now bring their own parts. They are taken for as
    /// large as this one, except that their debts are not known from this one's: they are deducted when
    /// they are reported.
    fn set_share(&mut self, before: f64, share: f64, recent: f64) {
        if share >= 1.0 {
            // The charges of the instances that were not reached have been deducted from the level.
            self.part = None;
            return;
        }
        let part = self.part.unwrap_or(self.level);
        let factor = share / before;
        self.part = Some(if factor < 1.0 {
            factor * (part + recent) - recent
        } else {
            part.max(0.0) * factor + part.min(0.0)
        });
    }
}
