//! Cold backend servers, which crash when all instances together send them more than they tolerate.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{entry, pick};
use jacinthlever_routing::{
    ColdChange, ColdSource, Coldness, Delegate, LimitStatement, Member, MemberStatus, Membership,
    PermitCall, PermitLedger, ServerKey, ServerPool, ZoneDigest, report_interval,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};

/// Requests per second that a cold server tolerates.
const COLD_RATE: f64 = 18.0;

/// Requests that may reach a cold server in any one second.
const BOUND: usize = 32;

/// Part of the requests that it tolerates which it must get while demand is far higher and nothing
/// fails.
const USED_SHARE: f64 = 0.5;

/// Zones of the instances; the cold server is in the first one.
const ZONES: [&str; 3] = ["a", "b", "c"];

const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(16);

/// Requests per second for the server from all instances together.
const DEMAND: f64 = 400.0;

/// Part of the messages between instances that are lost, and the longest delay of the others.
const LOST_MESSAGES: f64 = 0.03;
const MAX_DELAY: Duration = Duration::from_millis(40);

/// Longest time from a permit to the arrival of the request.
const MAX_SEND_TIME: Duration = Duration::from_millis(150);

/// Time for which a server is not picked after a refusal, at least and at most.
const WAITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// What happens to the instances of a fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
    /// Nothing, but that some learn late that the server is cold.
    LateNews,
    /// The delegate of the server's zone ends, and its successors one after the other.
    DelegatesEnd,
    /// All instances are killed at once and start again within a second.
    AllRestart,
    /// Some instances are killed and start again, at any time.
    SomeRestart,
    /// The zones are cut off from each other, and reach each other again.
    ZonesCut,
    /// Every instance is cut off from every other one, and reaches them again.
    AllCut,
}

const TROUBLES: [Trouble; 6] = [
    Trouble::LateNews,
    Trouble::DelegatesEnd,
    Trouble::AllRestart,
    Trouble::SomeRestart,
    Trouble::ZonesCut,
    Trouble::AllCut,
];

/// A running process of an instance.
struct Process {
    started: Duration,
    members: Membership,
    ledger: PermitLedger,
    pool: ServerPool,
    server: Option<ServerKey>,
    /// When it learns that the server is cold.
    news_at: Duration,
    next_report: Duration,
    next_digest: Duration,
}

/// A message to an instance, which arrives at a time.
enum Message {
    Report(usize),
    Digest(usize, ZoneDigest),
    /// Call of an instance for a permit.
    Call(usize, PermitCall),
    /// Answer to a call that was made at a time.
    Answer(Duration, Result<(), Duration>),
}

/// The instances of a fleet, which send to one cold server.
struct Fleet {
    rng: ChaCha8Rng,
    trouble: Trouble,
    now: Duration,
    processes: Vec<Option<Process>>,
    starts: BTreeMap<Duration, Vec<usize>>,
    messages: BTreeMap<Duration, Vec<(usize, Message)>>,
    arrivals: Vec<Duration>,
    /// Time from which to which instances are cut off from each other.
    cut: (Duration, Duration),
}

fn name(n: usize) -> SmolStr {
    format_smolstr!("i-{n:03}")
}

fn zone(n: usize) -> SmolStr {
    SmolStr::new(ZONES[n % ZONES.len()])
}

fn member(n: usize) -> Member {
    Member {
        caller_address: format_smolstr!("c-{n}"),
        peer_address: format_smolstr!("{n}"),
        zone: zone(n),
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Fleet {
    fn new(size: usize, trouble: Trouble, seed: u64) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            trouble,
            now: Duration::ZERO,
            processes: (0..size).map(|_| None).collect(),
            starts: BTreeMap::new(),
            messages: BTreeMap::new(),
            arrivals: Vec::new(),
            cut: (ms(6000), ms(11_000)),
        };
        for n in 0..size {
            let at = ms(fleet.rng.random_range(0..1000));
            fleet.start_at(at, n);
        }
        fleet
    }

    fn start_at(&mut self, at: Duration, n: usize) {
        let at = STEP * (at.as_millis() / STEP.as_millis()) as u32;
        self.starts.entry(at).or_default().push(n);
    }

    fn random(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.random())
    }

    fn start(&mut self, n: usize) {
        let mut members = Membership::new(name(n), zone(n));
        let others = (0..self.processes.len()).filter(|other| *other != n);
        for other in others {
            members.register(Duration::ZERO, name(other), member(other));
        }
        let all = (0..self.processes.len()).map(|n| (name(n), member(n)));
        members.set_registered(all.collect());
        let late = match self.trouble {
            Trouble::LateNews => ms(3000),
            _ => ms(200),
        };
        let process = Process {
            started: self.now,
            members,
            ledger: PermitLedger::with_phase(self.rng.random()),
            pool: ServerPool::default(),
            server: None,
            news_at: self.now + self.random(late),
            next_report: self.now + self.random(ms(150)),
            next_digest: self.now + self.random(ms(150)),
        };
        self.processes[n] = Some(process);
    }

    fn cause_trouble(&mut self) {
        let size = self.processes.len();
        let now = self.now.as_millis();
        match self.trouble {
            Trouble::DelegatesEnd if now >= 4000 && now.is_multiple_of(2000) => {
                let mut local = (0..size).step_by(ZONES.len());
                if let Some(first) = local.find(|n| self.processes[*n].is_some()) {
                    self.processes[first] = None;
                }
            }
            Trouble::AllRestart if now == 6000 => {
                for n in 0..size {
                    self.processes[n] = None;
                    let after = self.random(ms(1000));
                    self.start_at(self.now + STEP + after, n);
                }
            }
            Trouble::SomeRestart if (3000..10_000).contains(&now) && now.is_multiple_of(300) => {
                let n = match self.rng.random_bool(0.5) {
                    true => 0,
                    false => self.rng.random_range(0..size),
                };
                if self.processes[n].take().is_some() {
                    let after = self.random(ms(3000));
                    self.start_at(self.now + STEP + after, n);
                }
            }
            _ => {}
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let is_time = self.now >= self.cut.0 && self.now < self.cut.1;
        is_time
            && match self.trouble {
                Trouble::ZonesCut => zone(from) != zone(to),
                Trouble::AllCut => true,
                _ => false,
            }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.is_cut(from, to) || self.rng.random_bool(LOST_MESSAGES) {
            return;
        }
        let at = self.now + STEP + self.random(MAX_DELAY);
        self.messages.entry(at).or_default().push((to, message));
    }

    /// Sends the reports and digests that are due.
    fn gossip(&mut self) {
        let size = self.processes.len();
        let interval = report_interval(size / ZONES.len());
        for n in 0..size {
            let now = self.now;
            let Some(process) = &mut self.processes[n] else {
                continue;
            };
            let uptime = now - process.started;
            let reports = now >= process.next_report;
            if reports {
                process.next_report = now + interval;
            }
            let is_due = now >= process.next_digest;
            if is_due {
                process.next_digest = now + ms(300);
            }
            let digests = is_due && process.members.is_delegate(uptime);
            if !reports && !digests {
                continue;
            }
            let digest = ZoneDigest {
                delegate: name(n),
                address: format_smolstr!("{n}"),
                size: process.members.zone_size(uptime),
                reachable: process.members.zone_reachable(uptime),
                ready: Vec::new(),
                lost: BTreeMap::new(),
                made_ms: now.as_millis() as u64,
            };
            for to in (0..size).filter(|to| *to != n) {
                if reports && zone(to) == zone(n) {
                    self.send(n, to, Message::Report(n));
                }
                if digests && zone(to) != zone(n) {
                    self.send(n, to, Message::Digest(n, digest.clone()));
                }
            }
        }
    }

    fn deliver(&mut self) {
        let later = self.messages.split_off(&(self.now + ms(1)));
        let due = std::mem::replace(&mut self.messages, later);
        for (to, message) in due.into_values().flatten() {
            self.receive(to, message);
        }
    }

    fn receive(&mut self, n: usize, message: Message) {
        let now = self.now;
        let Some(process) = &mut self.processes[n] else {
            return;
        };
        let uptime = now - process.started;
        match message {
            Message::Report(from) => {
                let status = MemberStatus {
                    incarnation: 1,
                    is_ready: true,
                    forwards_digests: true,
                };
                let members = &mut process.members;
                members.record_report(uptime, &name(from), member(from), status);
            }
            Message::Digest(from, digest) => {
                process.members.record_digest(uptime, &zone(from), digest);
            }
            Message::Call(from, call) => {
                let granted = process.grant(now, &call);
                self.send(n, from, Message::Answer(now, granted));
            }
            Message::Answer(at, Ok(())) if now <= at + ms(60) => self.arrive(),
            Message::Answer(_, granted) => {
                let wait = granted.err().unwrap_or(WAITS.0);
                process.wait(now, wait);
            }
        }
    }

    fn arrive(&mut self) {
        let at = self.now + self.random(MAX_SEND_TIME);
        self.arrivals.push(at);
    }

    /// Has instances ask for permits for the requests that reach them.
    fn ask(&mut self) {
        let size = self.processes.len();
        let chance = DEMAND * STEP.as_secs_f64() / size as f64;
        for n in 0..size {
            let now = self.now;
            let requests = chance as usize + usize::from(self.rng.random_bool(chance.fract()));
            for _ in 0..requests {
                let Some((call, delegate)) = self.processes[n].as_mut().and_then(|p| p.call(now))
                else {
                    continue;
                };
                match delegate {
                    Delegate::Own => {
                        let process = self.processes[n].as_mut().expect("running process");
                        match process.grant(now, &call) {
                            Ok(()) => self.arrive(),
                            Err(wait) => process.wait(now, wait),
                        }
                    }
                    Delegate::Peer(address) => {
                        // Until the answer, no further call is made for this server.
                        let process = self.processes[n].as_mut().expect("running process");
                        process.wait(now, WAITS.0);
                        let to = address.parse().expect("number of an instance");
                        self.send(n, to, Message::Call(n, call));
                    }
                }
            }
        }
    }

    fn run(&mut self) {
        while self.now < LENGTH {
            for n in self.starts.remove(&self.now).unwrap_or_default() {
                self.start(n);
            }
            self.cause_trouble();
            self.deliver();
            self.gossip();
            self.ask();
            self.now += STEP;
        }
        self.arrivals.sort();
    }

    /// Returns the largest number of requests that have arrived in one second.
    fn most_in_a_second(&self) -> usize {
        let windows = self.arrivals.iter().enumerate().map(|(first, at)| {
            let end = *at + Duration::from_secs(1);
            self.arrivals[first..].partition_point(|at| *at < end)
        });
        windows.max().unwrap_or(0)
    }

    fn arrived_between(&self, from: Duration, to: Duration) -> usize {
        let arrivals = self.arrivals.iter();
        arrivals.filter(|at| **at >= from && **at < to).count()
    }
}

impl Process {
    /// Returns a call for a permit and who grants it; `None` while the server is not picked or this
    /// instance has not learned that it is cold.
    fn call(&mut self, now: Duration) -> Option<(PermitCall, Delegate)> {
        if now < self.news_at {
            return None;
        }
        if self.server.is_none() {
            let rates = BTreeMap::from([("service".into(), COLD_RATE)]);
            self.pool.set_cold_rates(rates);
            let key = self.pool.register(entry("s-1", "a", None));
            let server = self.pool.get_mut(key)?;
            server.coldness.record_registration(now, LENGTH, 1);
            self.server = Some(key);
        }
        let server = self.server?;
        let picked = self.pool.pick_plain(&pick(now, &[]), || 0.0)?;
        assert_eq!(picked, server);
        let call = PermitCall {
            server: "s-1".into(),
            rate: self.pool.rate_limit(now, server)?,
            requests: 1,
            sent_before: 0,
            is_cold: self.pool.is_cold(now, server),
        };
        let delegate = self.members.delegate_of(now - self.started, "a");
        Some((call, delegate))
    }

    fn grant(&mut self, now: Duration, call: &PermitCall) -> Result<(), Duration> {
        let share = self.members.cold_permit_share(now - self.started);
        share.map_or(Err(WAITS.0), |share| self.ledger.take(now, share, call))
    }

    fn wait(&mut self, now: Duration, wait: Duration) {
        if let Some(server) = self.server.and_then(|key| self.pool.get_mut(key)) {
            server.permits_from = now + wait.clamp(WAITS.0, WAITS.1);
        }
    }
}

/// Runs fleets with a number of instances through all troubles.
fn check_fleets(size: usize, seeds: u64) {
    for trouble in TROUBLES {
        for seed in 0..seeds {
            let mut fleet = Fleet::new(size, trouble, seed);
            fleet.run();
            let most = fleet.most_in_a_second();
            let case = format!("{size} instances, {trouble:?}, seed {seed}");
            assert!(most <= BOUND, "{case}: {most} requests in a second");
            let calm = fleet.arrived_between(ms(2000), ms(4000));
            // Instances that learn late send less at first.
            if trouble != Trouble::LateNews && trouble != Trouble::SomeRestart {
                let least = USED_SHARE * COLD_RATE * 2.0;
                assert!(calm as f64 >= least, "{case}: {calm} requests in 2 s");
            }
            let last = fleet.arrived_between(LENGTH - ms(3000), LENGTH);
            assert!(last >= 10, "{case}: {last} requests in the last 3 s");
        }
    }
}

// Guard against cold servers that crash, since the instances of a fleet send them more than they tolerate
// while the delegate changes, instances start or are cut off; and against cold servers that get no work.
#[test]
fn cold_servers_of_small_fleets_get_what_they_tolerate_and_no_more() {
    for size in [2, 3, 6, 12] {
        check_fleets(size, 30);
    }
}

#[test]
fn cold_servers_of_a_grown_fleet_get_what_they_tolerate_and_no_more() {
    check_fleets(64, 3);
}

#[test]
fn cold_servers_of_the_largest_fleet_get_what_they_tolerate_and_no_more() {
    check_fleets(330, 1);
}

// Guards against requests beyond the bound for any rate of a service, also if a request needs two permits.
#[test]
fn two_delegates_with_demand_of_any_size_keep_to_the_bound() {
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let cold_rate: f64 = rng.random_range(0.1..60.0);
        let bound = cold_rate * 1.5 + 5.0;
        let mut pool = ServerPool::default();
        pool.set_cold_rates(BTreeMap::from([("service".into(), cold_rate)]));
        let key = pool.register(entry("s-1", "a", None));
        let server = pool.get_mut(key).expect("known server");
        server.coldness.record_registration(ms(0), LENGTH, 1);
        let rate = pool.rate_limit(ms(1), key).expect("cold server");
        let mut ledgers = [0.3, 0.9].map(PermitLedger::with_phase);
        let begin = rng.random_range(2000..6000);
        let end = begin + rng.random_range(0..2000);
        let mut granted = Vec::new();
        for now in 0..10_000 {
            if !rng.random_bool(0.7) {
                continue;
            }
            let is_new = now >= end || now >= begin && rng.random_bool(0.5);
            let call = PermitCall {
                server: "s-1".into(),
                rate,
                requests: rng.random_range(1..=2),
                sent_before: 0,
                is_cold: true,
            };
            let ledger = &mut ledgers[usize::from(is_new)];
            if ledger.take(ms(now), 1.0, &call).is_ok() {
                granted.extend((0..call.requests).map(|_| now));
            }
        }
        for (first, at) in granted.iter().enumerate() {
            let count = granted[first..].partition_point(|later| *later < at + 1000);
            assert!(
                count as f64 <= bound,
                "seed {seed}: {count} requests of {bound} from {at} ms on"
            );
        }
    }
}

// Guards against parts of the fleet that all grant their first permit at the same moment, since they were cut
// off from each other together.
#[test]
fn many_parts_that_are_cut_off_together_do_not_grant_together() {
    let (parts, rate) = (330, 0.6 * COLD_RATE);
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ledgers = (0..parts).map(|_| PermitLedger::with_phase(rng.random()));
        let mut ledgers: Vec<_> = ledgers.collect();
        let call = PermitCall {
            server: "s-1".into(),
            rate,
            requests: 1,
            sent_before: 0,
            is_cold: true,
        };
        let mut granted = Vec::new();
        for now in (0..90_000).step_by(100) {
            for ledger in &mut ledgers {
                if ledger.take(ms(now), 1.0 / f64::from(parts), &call).is_ok() {
                    granted.push(now);
                }
            }
        }
        for (first, at) in granted.iter().enumerate() {
            let count = granted[first..].partition_point(|later| *later < at + 1000);
            assert!(count <= BOUND, "seed {seed}: {count} from {at} ms on");
        }
        let least = rate * 45.0;
        assert!(granted.len() as f64 >= least, "{} permits", granted.len());
    }
}

/// Returns a pool with a server that a registration has stated to be cold for 20 s from 10 s on.
fn cold_pool(cold_rate: Option<f64>) -> (ServerPool, ServerKey) {
    let mut pool = ServerPool::default();
    let rates = cold_rate.map(|rate| (SmolStr::new("service"), rate));
    pool.set_cold_rates(rates.into_iter().collect());
    let key = pool.register(entry("s-1", "a", None));
    let server = pool.get_mut(key).expect("known server");
    server
        .coldness
        .record_registration(ms(10_000), ms(20_000), 7);
    (pool, key)
}

// Guards against a cold server that is treated as one without a limit.
#[test]
fn a_cold_server_is_limited_until_it_is_warm() {
    let (pool, key) = cold_pool(Some(18.0));
    let limit = |now| pool.rate_limit(ms(now), key);
    let cold = limit(29_999).expect("a limit");
    assert!((cold - 10.8).abs() < 1e-9, "{cold}");
    assert_eq!(limit(30_000), None);
    assert_eq!(
        (pool.cold_servers(ms(20_000)), pool.cold_servers(ms(30_000))),
        (1, 0)
    );
}

// Guards against a change for services that state no rate for cold servers.
#[test]
fn a_cold_server_of_a_service_without_a_rate_is_not_limited() {
    let (mut pool, key) = cold_pool(None);
    let now = ms(11_000);
    assert_eq!(pool.rate_limit(now, key), None);
    assert_eq!(pool.cold_servers(now), 0);
    assert_eq!(pool.take_cold_changes(now), []);
    pool.get_mut(key).expect("known server").permits_from = ms(12_000);
    assert_eq!(pool.pick_plain(&pick(now, &[]), || 0.0), Some(key));
}

// Guards against the higher one of two limits.
#[test]
fn the_lower_one_of_two_limits_applies() {
    let (mut pool, key) = cold_pool(Some(18.0));
    let mut limit = |rate| {
        let statement = LimitStatement {
            rate: Some(rate),
            stated_ms: 1000,
        };
        pool.merge_limit("s-1", statement);
        pool.rate_limit(ms(11_000), key).expect("a limit")
    };
    assert_eq!(limit(4.0), 4.0);
    assert!(limit(40.0) < 11.0);
}

// Guards against requests for a cold server that wait although another server has room, and against a cold
// server that costs more than others: if a whole zone is cold, the others could not take all of its work.
#[test]
fn a_cold_server_is_picked_like_others_and_not_while_it_waits_for_permits() {
    let (mut pool, cold) = cold_pool(Some(18.0));
    let warm = pool.register(entry("s-2", "b", None));
    let now = ms(11_000);
    // The warm server is in another zone, so it is picked only for a clearly higher load of the other one.
    pool.get_mut(cold).expect("known server").in_flight = 4;
    assert_eq!(pool.pick_plain(&pick(now, &[]), || 0.0), Some(warm));
    pool.get_mut(warm).expect("known server").in_flight = 2;
    assert_eq!(pool.pick_plain(&pick(now, &[]), || 0.0), Some(cold));
    pool.get_mut(cold).expect("known server").permits_from = ms(11_100);
    assert_eq!(pool.pick_plain(&pick(now, &[]), || 0.0), Some(warm));
    assert_eq!(pool.pick_plain(&pick(now, &[warm]), || 0.0), None);
}

// Guards against a registration that is read again, as after an outage of the store, and counts anew.
#[test]
fn the_latest_statement_holds() {
    let mut coldness = Coldness::default();
    coldness.record_registration(ms(1000), ms(20_000), 7);
    assert!(coldness.is_cold(ms(20_999)) && !coldness.is_cold(ms(21_000)));
    coldness.record_registration(ms(2000), ms(20_000), 7);
    assert!(!coldness.is_cold(ms(21_000)));
    coldness.record_answer(ms(3000), ms(2900), ms(0));
    assert!(!coldness.is_cold(ms(3000)));
    coldness.record_registration(ms(4000), ms(20_000), 7);
    assert!(!coldness.is_cold(ms(4000)));
    coldness.record_answer(ms(5000), ms(4900), ms(1500));
    assert!(coldness.is_cold(ms(6499)) && !coldness.is_cold(ms(6500)));
    coldness.record_registration(ms(6000), ms(8000), 8);
    assert!(coldness.is_cold(ms(13_999)));
    // The request was sent before the registration was applied, so either may be the later one.
    coldness.record_answer(ms(6010), ms(5990), ms(0));
    assert!(coldness.is_cold(ms(13_999)));
    coldness.record_answer(ms(6020), ms(5995), ms(30_000));
    assert!(coldness.is_cold(ms(36_019)));
    coldness.record_answer(ms(7000), ms(6990), Duration::MAX);
    assert!(!coldness.is_cold(Duration::from_secs(3607)));
}

// Guards against changes that are logged twice or not at all.
#[test]
fn each_change_is_reported_once() {
    let (mut pool, key) = cold_pool(Some(18.0));
    let cold = ColdChange::Cold(ms(20_000), ColdSource::Registration);
    assert_eq!(pool.take_cold_changes(ms(10_000)), [("s-1".into(), cold)]);
    assert_eq!(pool.take_cold_changes(ms(11_000)), []);
    let warm = [(SmolStr::new("s-1"), ColdChange::Warm)];
    assert_eq!(pool.take_cold_changes(ms(30_000)), warm);
    let server = pool.get_mut(key).expect("known server");
    server
        .coldness
        .record_answer(ms(31_000), ms(30_900), ms(5000));
    let again = ColdChange::Cold(ms(5000), ColdSource::Answer);
    assert_eq!(pool.take_cold_changes(ms(31_000)), [("s-1".into(), again)]);
}
