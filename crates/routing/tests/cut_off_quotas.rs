//! A customer that presses on its limit while many instances are cut off from all others.

use std::time::Duration;

use jacinthlever_routing::{Quota, QuotaDecision, QuotaLedger};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

const CUSTOMER: &str = "crews";

const QUOTA: Quota = Quota {
    rate: 176_000.0,
    burst: 176_000.0,
    default_tokens: 200,
};

/// Tokens that the operators accept in a window of 8 s: a tenth more than the limit, and 140,000.
const WINDOW_S: f64 = 8.0;
const ALLOWED: f64 = (QUOTA.rate * WINDOW_S + QUOTA.burst) * 1.1 + 140_000.0;

const INSTANCES: usize = 64;
const STEP_MS: u64 = 10;
const REPORT_INTERVAL_MS: u64 = 550;

/// Time without reports after which an instance counts as unreachable.
const DETECTION_MS: u64 = 1200;

/// Time after which an instance that is cut off from the store as well refuses all keys.
const KEY_VERIFICATION_MS: u64 = 4300;

/// The instances of a fleet, with the messages between them.
struct Fleet {
    rng: ChaCha8Rng,
    ledgers: Vec<QuotaLedger>,
    /// When the instance is cut off, and when it is connected again, in milliseconds.
    cuts: Vec<Option<(u64, u64)>>,
    /// Time in milliseconds and tokens of the requests that were accepted.
    charges: Vec<(u64, f64)>,
    /// Number of requests that arrived with a key that could be verified.
    requests: usize,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let customer = (SmolStr::new(CUSTOMER), Some(QUOTA));
        let ledgers = (0..INSTANCES).map(|_| {
            let mut ledger = QuotaLedger::default();
            ledger.configure(Duration::ZERO, [customer.clone()].into_iter());
            ledger
        });
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            ledgers: ledgers.collect(),
            cuts: vec![None; INSTANCES],
            charges: Vec::new(),
            requests: 0,
        }
    }

    fn is_cut(&self, n: usize, now: u64) -> bool {
        self.cuts[n].is_some_and(|(from, until)| (from..until).contains(&now))
    }

    /// Requests of the customer arrive everywhere, `demand` tokens per second in all.
    fn receive(&mut self, now: u64, demand: f64) {
        let at = Duration::from_millis(now);
        for n in 0..INSTANCES {
            let is_key_verified = self.cuts[n]
                .is_none_or(|(from, until)| !(from + KEY_VERIFICATION_MS..until).contains(&now));
            let tokens = self.rng.random_range(500..8000);
            let mean = 4250.0 * INSTANCES as f64;
            let probability = demand * STEP_MS as f64 / 1000.0 / mean;
            if !is_key_verified || !self.rng.random_bool(probability) {
                continue;
            }
            self.requests += 1;
            let decision = self.ledgers[n].charge(at, CUSTOMER, tokens);
            if decision == QuotaDecision::Allowed {
                self.charges.push((now, tokens as f64));
            }
        }
    }

    /// Sends the reports of this moment, each instance at its own phase.
    fn report(&mut self, now: u64) {
        let at = Duration::from_millis(now);
        for n in 0..INSTANCES {
            let phase = n as u64 * 83 % REPORT_INTERVAL_MS / STEP_MS * STEP_MS;
            if now % REPORT_INTERVAL_MS != phase || self.is_cut(n, now) {
                continue;
            }
            let charges = self.ledgers[n].recent_charges(at);
            for peer in (0..INSTANCES).filter(|peer| *peer != n) {
                if self.is_cut(peer, now) {
                    continue;
                }
                let ledger = &mut self.ledgers[peer];
                ledger.record_source(at, &n.to_string());
                for charged in &charges {
                    ledger.apply_peer_charges(at, &n.to_string(), charged, false);
                }
            }
        }
    }

    /// Sets the share of the fleet that each instance reaches, once it has noticed a change.
    fn notice(&mut self, now: u64) {
        let at = Duration::from_millis(now);
        let has_noticed = |(from, until)| (from + DETECTION_MS..until + 100).contains(&now);
        let gone = self.cuts.iter().flatten().filter(|c| has_noticed(**c));
        let connected = (INSTANCES - gone.count()) as f64 / INSTANCES as f64;
        for n in 0..INSTANCES {
            let share = match self.cuts[n] {
                Some(cut) if has_noticed(cut) => 1.0 / INSTANCES as f64,
                Some(cut) if (cut.0..cut.1).contains(&now) => 1.0,
                _ => connected,
            };
            self.ledgers[n].set_fleet_share(at, share);
        }
    }

    fn check(&self, seed: u64) {
        for (n, (end, _)) in self.charges.iter().enumerate() {
            let from = end.saturating_sub((WINDOW_S * 1000.0) as u64);
            let window = self.charges[..=n].iter().filter(|(at, _)| *at > from);
            let tokens: f64 = window.map(|(_, tokens)| tokens).sum();
            assert!(
                tokens <= ALLOWED,
                "seed {seed}: {tokens} tokens of {ALLOWED} until {end} ms"
            );
        }
    }
}

// Guards against instances that are cut off and go on with the whole level of the bucket, and with
// all that it was refilled with before they noticed the cut.
#[test]
fn instances_that_are_cut_off_while_a_customer_presses_keep_its_limit() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed);
        let pressing_from = fleet.rng.random_range(3000..7000);
        let cut_from = pressing_from + fleet.rng.random_range(0..2500);
        let cut_until = cut_from + 8000;
        let share = fleet.rng.random_range(0.1..0.6);
        for n in 0..INSTANCES {
            if fleet.rng.random_bool(share) {
                fleet.cuts[n] = Some((cut_from, cut_until));
            }
        }
        for now in (0..24_000).step_by(STEP_MS as usize) {
            let is_pressing = (pressing_from..pressing_from + 12_000).contains(&now);
            fleet.notice(now);
            fleet.report(now);
            fleet.receive(now, QUOTA.rate * if is_pressing { 3.5 } else { 0.5 });
        }
        fleet.check(seed);
    }
}

// Guards against parts of the fleet that keep the limit by refusing a customer far below it.
#[test]
fn a_customer_below_its_limit_is_served_while_instances_are_cut_off() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed);
        for n in 0..INSTANCES / 2 {
            fleet.cuts[n] = Some((3000, 11_000));
        }
        for now in (0..14_000).step_by(STEP_MS as usize) {
            fleet.notice(now);
            fleet.report(now);
            fleet.receive(now, QUOTA.rate * 0.3);
        }
        let (served, requests) = (fleet.charges.len(), fleet.requests);
        assert!(
            served * 100 >= requests * 95,
            "seed {seed}: {served} of {requests} requests served"
        );
    }
}
