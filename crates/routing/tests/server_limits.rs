//! Servers in need: those that name a limit of requests per second from all instances together, and
//! those that ask an instance for a pause.

mod common;

use std::time::Duration;

use common::{entry, pick};
use jacinthlever_routing::{
    Delegate, LimitChange, LimitStatement, Member, MemberStatus, Membership, NamedLimit,
    PermitCall, PermitLedger, RequestedPause, ServerPool, ZoneDigest,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: Duration = Duration::from_secs(10);

/// Window in which a server counts, and the time after which its limit is binding.
const WINDOW_S: f64 = 4.0;
const NOTICE_S: f64 = 3.0;

fn call(rate: f64, sent_before: u32) -> PermitCall {
    PermitCall {
        server: "i-1".into(),
        rate,
        requests: u32::from(sent_before == 0),
        sent_before,
        is_cold: false,
    }
}

/// Random demand on a server that names a limit at time 0.
struct Demand {
    rng: ChaCha8Rng,
    rate: f64,
    /// Times of the requests that have reached the server, in seconds.
    received: Vec<f64>,
    /// Number of requests in the second before the limit was named.
    sent_before: u32,
}

impl Demand {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rate = rng.random_range(0.0..60.0);
        Self {
            rng,
            rate,
            received: Vec::new(),
            sent_before: 0,
        }
    }

    /// Adds the requests of the second before the limit was named. There are no more than the first
    /// window has space for.
    fn start(&mut self) {
        let space = 1.5 * self.rate * WINDOW_S;
        self.sent_before = self.rng.random_range(0..=space as u32);
        for _ in 0..self.sent_before {
            self.received.push(self.rng.random_range(-1.0..0.0));
        }
    }

    /// Reports these requests in parts to an instance that grants permits.
    fn report(&mut self, time: f64, ledger: &mut PermitLedger) {
        let mut left = self.sent_before;
        while left > 0 {
            let part = self.rng.random_range(1..=left);
            let _wait = ledger.take(at(time), 1.0, &call(self.rate, part));
            left -= part;
        }
    }

    /// Returns the time of the next call for a permit; phases of many calls follow phases of few.
    fn next(&mut self, after: f64) -> f64 {
        let is_busy = ((after * 0.7) as u64).is_multiple_of(2);
        let gap = if is_busy { 0.004 } else { 0.4 };
        after + self.rng.random_range(0.0..gap)
    }

    fn check(&mut self, seed: u64) {
        self.received.sort_by(f64::total_cmp);
        let allowed = 1.5 * self.rate * WINDOW_S + 5.0;
        for end in self.received.iter().filter(|at| **at >= NOTICE_S) {
            let in_window = |at: &&f64| **at <= *end && **at > *end - WINDOW_S;
            let count = self.received.iter().filter(in_window).count();
            assert!(
                count as f64 <= allowed,
                "seed {seed}: {count} requests of {allowed} in the window that ends at {end} s"
            );
        }
    }
}

/// Converts a time after the limit was named into one of the instance's clock.
fn at(seconds: f64) -> Duration {
    NOW + Duration::from_secs_f64(seconds)
}

#[test]
fn any_demand_keeps_to_the_limit_also_in_the_window_that_begins_before_it() {
    for seed in 0..2000 {
        let mut demand = Demand::new(seed);
        let mut ledger = PermitLedger::default();
        demand.start();
        demand.report(0.01, &mut ledger);
        let mut time = 0.02;
        while time < 15.0 {
            if ledger.take(at(time), 1.0, &call(demand.rate, 0)).is_ok() {
                demand.received.push(time);
            }
            time = demand.next(time);
        }
        demand.check(seed);
    }
}

#[test]
fn another_instance_that_takes_over_the_permits_exceeds_no_limit() {
    for seed in 0..2000 {
        let mut demand = Demand::new(seed);
        let mut ledgers = [PermitLedger::default(), PermitLedger::default()];
        demand.start();
        demand.report(0.01, &mut ledgers[0]);
        let begin = demand.rng.random_range(0.5..10.0);
        // Instances learn of the new delegate one after the other.
        let end = begin + demand.rng.random_range(0.0..1.5);
        if begin < NOTICE_S {
            demand.report(begin, &mut ledgers[1]);
        }
        let mut time = 0.02;
        while time < 15.0 {
            let is_new = time >= end || time >= begin && demand.rng.random_bool(0.5);
            let ledger = &mut ledgers[usize::from(is_new)];
            if ledger.take(at(time), 1.0, &call(demand.rate, 0)).is_ok() {
                demand.received.push(time);
            }
            time = demand.next(time);
        }
        demand.check(seed);
    }
}

#[test]
fn parts_of_a_fleet_that_are_cut_off_from_each_other_share_the_limit() {
    let share = 0.25;
    for seed in 0..500 {
        let mut demand = Demand::new(seed);
        let mut ledgers = [PermitLedger::default(), PermitLedger::default()];
        let shares = [share, 1.0 - share];
        let mut time = 0.02;
        while time < 15.0 {
            let side = usize::from(demand.rng.random_bool(0.5));
            if ledgers[side]
                .take(at(time), shares[side], &call(demand.rate, 0))
                .is_ok()
            {
                demand.received.push(time);
            }
            time = demand.next(time);
        }
        demand.check(seed);
    }
}

// A limit that is kept by refusing too much wastes the capacity that the server still has.
#[test]
fn steady_demand_above_the_limit_uses_it() {
    for rate in [0.5, 1.0, 4.7, 20.0, 300.0] {
        let mut ledger = PermitLedger::default();
        let times = (0..20_000).map(|n| f64::from(n) / 1000.0);
        let granted = times.filter(|time| ledger.take(at(*time), 1.0, &call(rate, 0)).is_ok());
        let granted = granted.count() as f64;
        assert!(
            granted >= 0.9 * rate * 20.0 - 1.0,
            "{granted} permits in 20 s at {rate} per second"
        );
    }
}

#[test]
fn a_limit_of_zero_leaves_permits_for_the_request_whose_answer_can_lift_it() {
    let mut ledger = PermitLedger::default();
    let times = (0..200).map(|n| f64::from(n) / 10.0);
    let granted = times.filter(|time| ledger.take(at(*time), 1.0, &call(0.0, 0)).is_ok());
    assert!((2..=5).contains(&granted.count()));
}

#[test]
fn a_refusal_says_when_the_next_permit_is_due() {
    let mut ledger = PermitLedger::default();
    assert!(ledger.take(NOW, 1.0, &call(2.0, 0)).is_err());
    let due = ledger.take(NOW, 1.0, &call(2.0, 0));
    assert_eq!(due, Err(Duration::from_millis(500)));
    assert!(ledger.take(at(0.5), 1.0, &call(2.0, 0)).is_ok());
}

fn statement(rate: Option<f64>, stated_ms: u64) -> LimitStatement {
    LimitStatement { rate, stated_ms }
}

#[test]
fn an_answer_to_an_earlier_request_lifts_no_limit() {
    let mut limit = NamedLimit::default();
    let ms = Duration::from_millis;
    let named = limit.record_answer(ms(110), ms(100), statement(Some(5.0), 1100));
    assert_eq!(named, Some(LimitChange::Named));
    let crossing = limit.record_answer(ms(120), ms(105), statement(None, 1105));
    assert_eq!((crossing, limit.rate()), (None, Some(5.0)));
    let lifted = limit.record_answer(ms(140), ms(130), statement(None, 1130));
    assert_eq!(lifted, Some(LimitChange::Lifted));
    assert_eq!(limit.rate(), None);
}

#[test]
fn the_latest_statement_prevails_in_any_order_of_messages() {
    let statements = [
        statement(Some(5.0), 1000),
        statement(Some(3.0), 1200),
        statement(None, 1500),
        statement(Some(8.0), 1700),
    ];
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut limit = NamedLimit::default();
        for _ in 0..30 {
            limit.merge(statements[rng.random_range(0..3)]);
        }
        limit.merge(statements[3]);
        limit.merge(statements[rng.random_range(0..3)]);
        assert_eq!(limit.rate(), Some(8.0), "seed {seed}");
    }
}

#[test]
fn a_server_that_names_a_limit_is_picked_when_the_others_are_busy() {
    let mut pool = ServerPool::default();
    let limited = pool.register(entry("i-1", "a", None));
    let other = pool.register(entry("i-2", "b", None));
    pool.merge_limit("i-1", statement(Some(5.0), 1000));
    assert_eq!(pool.pick_plain(&pick(NOW, &[]), || 0.0), Some(other));
    for _ in 0..4 {
        pool.get_mut(other).expect("known server").in_flight += 1;
    }
    assert_eq!(pool.pick_plain(&pick(NOW, &[]), || 0.0), Some(limited));
    pool.get_mut(limited).expect("known server").permits_from = at(0.3);
    assert_eq!(pool.pick_plain(&pick(NOW, &[]), || 0.0), Some(other));
    assert_eq!(pool.wait_for_service(NOW, "service"), None);
}

#[test]
fn callers_wait_for_the_first_permit_if_all_servers_are_at_their_limits() {
    let mut pool = ServerPool::default();
    for (id, wait) in [("i-1", 0.9), ("i-2", 0.4)] {
        let key = pool.register(entry(id, "a", None));
        pool.merge_limit(id, statement(Some(5.0), 1000));
        pool.get_mut(key).expect("known server").permits_from = at(wait);
    }
    assert_eq!(pool.pick_plain(&pick(NOW, &[]), || 0.0), None);
    let wait = pool.wait_for_service(NOW, "service");
    assert_eq!(wait, Some(Duration::from_millis(400)));
}

#[test]
fn one_request_ends_a_pause_before_the_others_return() {
    let mut pool = ServerPool::default();
    let key = pool.register(entry("i-1", "a", None));
    let mut pause = |now: f64, action: fn(&mut RequestedPause, Duration)| {
        let server = pool.get_mut(key).expect("known server");
        action(&mut server.requested_pause, at(now));
        pool.wait_for_service(at(now), "service")
    };
    let wait = pause(0.0, |pause, now| pause.start(now + Duration::from_secs(2)));
    assert_eq!(wait, Some(Duration::from_secs(2)));
    let crossing = |pause: &mut RequestedPause, now| assert!(!pause.record_answer(now));
    assert_eq!(pause(0.5, crossing), Some(Duration::from_millis(1500)));
    assert_eq!(pause(2.0, |_, _| {}), None);
    let wait = pause(2.1, |pause, now| pause.record_send(now));
    assert_eq!(wait, Some(Duration::from_secs(1)));
    let answer = |pause: &mut RequestedPause, _| assert!(pause.record_answer(at(2.1)));
    assert_eq!(pause(2.2, answer), None);
    assert_eq!(pause(2.3, |pause, now| pause.record_send(now)), None);
}

#[test]
fn a_probe_without_an_answer_keeps_the_others_back_for_a_second_only() {
    let mut pause = RequestedPause::default();
    pause.start(at(2.0));
    pause.record_send(at(2.5));
    assert_eq!(pause.wait(at(3.0)), Some(Duration::from_millis(500)));
    assert_eq!(pause.wait(at(3.5)), None);
}

// Two instances that both grant the permits of a server would together grant twice its limit.
#[test]
fn all_instances_agree_on_the_one_that_grants_permits() {
    let zones = ["east", "north", "west"];
    let name = |zone: &str, n: usize| format!("{zone}-{n}");
    let view = |own_zone: &str, own: usize, cut: Option<&str>| {
        let own_name = name(own_zone, own).into();
        let mut members = Membership::new(own_name, own_zone.into());
        for n in (0..3).filter(|n| *n != own) {
            let member = Member {
                caller_address: "c".into(),
                peer_address: name(own_zone, n).into(),
                zone: own_zone.into(),
            };
            let status = MemberStatus {
                incarnation: 1,
                is_ready: true,
                forwards_digests: true,
            };
            members.record_report(NOW, &name(own_zone, n).into(), member, status);
        }
        for zone in zones.iter().filter(|z| Some(**z) != cut) {
            let digest = ZoneDigest {
                delegate: name(zone, 0).into(),
                address: name(zone, 0).into(),
                size: 3,
                reachable: 3,
                ready: Vec::new(),
                lost: Default::default(),
                made_ms: 0,
            };
            members.record_digest(NOW, &(*zone).into(), digest);
        }
        match members.delegate_of(NOW, "west") {
            Delegate::Own => name(own_zone, own),
            Delegate::Peer(address) => address.to_string(),
        }
    };
    for zone in zones {
        for n in 0..3 {
            assert_eq!(view(zone, n, None), "west-0");
        }
    }
    for zone in ["east", "north"] {
        for n in 0..3 {
            assert_eq!(view(zone, n, Some("west")), "east-0", "{zone}-{n}");
        }
    }
}
