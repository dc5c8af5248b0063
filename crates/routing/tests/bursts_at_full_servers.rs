//! Bursts of small requests before few servers with short queues, which refuse requests when they are
//! full, from many instances of which each sees only a few answers.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use common::{entry, pick};
use jacinthlever_routing::{
    CallOutcome, LoadOrigin, LoadStatement, MAX_DIGEST_LOADS, PickParams, ServerKey, ServerPool,
    max_reported_loads, report_interval,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVERS: usize = 3;
const ZONES: [&str; 3] = ["a", "b", "c"];
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const RATE: f64 = 227.0;
const LENGTH_MS: u64 = 8000;
const INSTANCES: [usize; 5] = [2, 6, 20, 40, 85];
const SEEDS: u64 = 10;

/// Time after which a refused caller comes back, and how often it does.
const RETRY_AFTER_US: u64 = 300_000;
const MAX_RETURNS: u32 = 3;

/// Time for which a burst lasts, every two seconds.
const BURST_MS: u64 = 700;

/// Time from an instance to a server, or to another instance.
const HOP_US: u64 = 700;
const DIGEST_INTERVAL_MS: u64 = 300;
const LOST_MESSAGES: f64 = 0.03;

/// Retries that the fleet may make for each request.
const RETRY_RATIO: f64 = 0.2;
const RETRY_ALLOWANCE: f64 = 52.0;

/// Which servers state false figures.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Figures {
    True,
    /// One server states no load, one a hundredfold one, and the slowdowns are random.
    False,
    /// No server states its slowdown.
    NoSlowdown,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    instances: usize,
    work_ms: f64,
    /// Latency target, as a multiple of the work.
    target_factor: f64,
    /// Load in a burst, as a multiple of the usual one.
    burst: f64,
    /// Slowdown of the first server in the second half of the run.
    slowdown: f64,
    figures: Figures,
    /// Whether the instances share what they hear, and place by cost.
    is_shared: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    /// A refused caller comes back, for the given time.
    Return(u32),
    /// A caller's request, by its number, is placed at its instance.
    Place(usize),
    /// A request reaches a server.
    Send(usize, usize),
    /// A server has carried out a request.
    Done(usize, usize),
    /// The answer to a request from a server, with its load, reaches the instance.
    Answer(usize, usize, bool, u32),
    Report(usize),
    Digest(usize),
}

struct Request {
    instance: usize,
    arrived: u64,
    tried: Vec<ServerKey>,
    has_waited: bool,
    sent: u64,
    /// How often the caller has come back after a refusal.
    returns: u32,
}

#[derive(Default)]
struct Backend {
    running: usize,
    queue: Vec<usize>,
}

#[derive(Debug, Default)]
struct Tally {
    arrivals: usize,
    callers: usize,
    /// Sends that a server refused.
    turned_away: usize,
    /// Requests that no server took.
    refused: usize,
    on_time: usize,
}

struct Fleet {
    load: Load,
    rng: ChaCha8Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    pools: Vec<ServerPool>,
    keys: Vec<ServerKey>,
    reported: Vec<Duration>,
    backends: Vec<Backend>,
    requests: Vec<Request>,
    /// Retries that are left.
    retries: f64,
    tally: Tally,
}

fn time(us: u64) -> Duration {
    Duration::from_micros(us)
}

fn server_id(server: usize) -> String {
    format!("server-{server}")
}

impl Fleet {
    fn new(load: Load, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut pools: Vec<ServerPool> = Vec::new();
        let mut keys = Vec::new();
        for _ in 0..load.instances {
            let mut pool = ServerPool::default();
            let servers = ZONES.iter().enumerate();
            let registered =
                servers.map(|(i, zone)| pool.register(entry(&server_id(i), zone, None)));
            keys = registered.collect();
            pools.push(pool);
        }
        let mut events = BinaryHeap::from([Reverse((0, Event::Arrival))]);
        if load.is_shared {
            for instance in 0..load.instances {
                events.push(Reverse((
                    rng.random_range(0..300_000),
                    Event::Report(instance),
                )));
            }
            for zone in 0..ZONES.len().min(load.instances) {
                events.push(Reverse((rng.random_range(0..300_000), Event::Digest(zone))));
            }
        }
        Self {
            reported: vec![Duration::ZERO; load.instances],
            load,
            rng,
            now: 0,
            events,
            pools,
            keys,
            backends: (0..SERVERS).map(|_| Backend::default()).collect(),
            requests: Vec::new(),
            retries: RETRY_ALLOWANCE,
            tally: Tally::default(),
        }
    }

    fn target(&self) -> Duration {
        Duration::from_secs_f64(self.load.work_ms * self.load.target_factor / 1000.0)
    }

    fn run(mut self) -> Tally {
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > LENGTH_MS * 1000 {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.tally
    }

    fn later(&mut self, us: u64, event: Event) {
        self.events.push(Reverse((self.now + us, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Return(returns) => self.admit(returns),
            Event::Place(request) => self.place(request),
            Event::Send(request, server) => self.receive(request, server),
            Event::Done(request, server) => self.finish(request, server),
            Event::Answer(request, server, is_taken, load) => {
                self.answer(request, server, is_taken, load);
            }
            Event::Report(instance) => self.report(instance),
            Event::Digest(zone) => self.digest(zone),
        }
    }

    fn arrive(&mut self) {
        let is_burst = (self.now / 1000) % 2000 < BURST_MS;
        let rate = if is_burst {
            RATE * self.load.burst
        } else {
            RATE
        };
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.later((gap * 1e6) as u64, Event::Arrival);
        self.admit(0);
    }

    fn admit(&mut self, returns: u32) {
        let instance = self.rng.random_range(0..self.load.instances);
        self.requests.push(Request {
            instance,
            arrived: self.now,
            tried: Vec::new(),
            has_waited: false,
            sent: 0,
            returns,
        });
        self.tally.arrivals += 1;
        self.tally.callers += usize::from(returns == 0);
        self.place(self.requests.len() - 1);
    }

    fn place(&mut self, index: usize) {
        let (now, target) = (time(self.now), self.target());
        let request = &mut self.requests[index];
        let zone = ZONES[request.instance % ZONES.len()];
        let pool = &mut self.pools[request.instance];
        if self.load.is_shared && !request.has_waited {
            let params = PickParams {
                zone,
                ..pick(now, &[])
            };
            let left = (time(request.arrived) + target).saturating_sub(now);
            if let Some(wait) = pool.wait_while_full(&params, left, self.rng.random()) {
                request.has_waited = true;
                request.tried.clear();
                return self.later(wait.as_micros() as u64, Event::Place(index));
            }
        }
        let params = PickParams {
            zone,
            ..pick(now, &request.tried)
        };
        let draw = || self.rng.random();
        let picked = match self.load.is_shared {
            true => pool.pick_plain_by_cost(&params, draw),
            false => pool.pick_plain(&params, draw),
        };
        let is_retry = request.sent > 0;
        let Some(key) = picked.filter(|_| !is_retry || self.retries >= 1.0) else {
            self.tally.refused += 1;
            if request.returns < MAX_RETURNS {
                let returns = request.returns + 1;
                self.later(RETRY_AFTER_US, Event::Return(returns));
            }
            return;
        };
        self.retries += if is_retry { -1.0 } else { RETRY_RATIO };
        request.tried.push(key);
        request.sent = self.now;
        pool.get_mut(key).expect("a server").in_flight += 1;
        let server = self.keys.iter().position(|k| *k == key).expect("a key");
        self.later(HOP_US, Event::Send(index, server));
    }

    fn receive(&mut self, request: usize, server: usize) {
        let backend = &mut self.backends[server];
        if backend.running < SLOTS {
            backend.running += 1;
            return self.start(request, server);
        }
        if backend.queue.len() < QUEUE {
            return backend.queue.push(request);
        }
        self.tally.turned_away += 1;
        self.send_answer(request, server, false);
    }

    fn slowdown(&self, server: usize) -> f64 {
        let is_slow = server == 0 && self.now > LENGTH_MS * 500;
        if is_slow { self.load.slowdown } else { 1.0 }
    }

    fn start(&mut self, request: usize, server: usize) {
        let spread = 0.7 + 0.6 * self.rng.random::<f64>();
        let work = self.load.work_ms * 1000.0 * spread * self.slowdown(server);
        self.later(work as u64, Event::Done(request, server));
    }

    fn finish(&mut self, request: usize, server: usize) {
        let backend = &mut self.backends[server];
        match backend.queue.is_empty() {
            true => backend.running -= 1,
            false => {
                let next = backend.queue.remove(0);
                self.start(next, server);
            }
        }
        self.send_answer(request, server, true);
    }

    fn send_answer(&mut self, request: usize, server: usize, is_taken: bool) {
        let backend = &self.backends[server];
        let load = (backend.running + backend.queue.len()) as u32;
        let load = match (self.load.figures, server) {
            (Figures::False, 1) => load * 100,
            (Figures::False, 2) => 0,
            _ => load,
        };
        self.later(HOP_US, Event::Answer(request, server, is_taken, load));
    }

    fn answer(&mut self, index: usize, server: usize, is_taken: bool, load: u32) {
        let slowdown = match self.load.figures {
            Figures::True => Some(self.slowdown(server)),
            Figures::False => Some(0.2 + 3.0 * self.rng.random::<f64>()),
            Figures::NoSlowdown => None,
        };
        let (now, target) = (time(self.now), self.target());
        let request = &self.requests[index];
        let pool = &mut self.pools[request.instance];
        let known = pool.get_mut(self.keys[server]).expect("a server");
        known.in_flight -= 1;
        let statement = LoadStatement {
            load,
            slowdown,
            stated_at: now,
        };
        known.record_load(statement, LoadOrigin::Own);
        let outcome = match is_taken {
            true => CallOutcome::Answered {
                latency: time(self.now - request.sent),
            },
            false => CallOutcome::NoCapacity,
        };
        known.record_outcome(now, outcome);
        match is_taken {
            true => {
                let is_on_time = now <= time(request.arrived) + target;
                self.tally.on_time += usize::from(is_on_time);
            }
            false => self.place(index),
        }
    }

    /// Sends the loads that an instance knows to `to`, of which each message may be lost.
    fn share(&mut self, from: usize, origin: LoadOrigin, to: &[usize], late_us: u64) {
        let now = time(self.now);
        let since = self.reported[from];
        let max = match origin {
            LoadOrigin::Own => max_reported_loads(to.len(), report_interval(to.len() + 1)),
            _ => MAX_DIGEST_LOADS,
        };
        let loads = self.pools[from].loads_to_share(now, since, origin, max, |_| true);
        for peer in to {
            if self.rng.random::<f64>() < LOST_MESSAGES {
                continue;
            }
            for (id, statement) in &loads {
                // What is late has another age at its receiver than the one that it states.
                let stated_at = statement.stated_at + time(late_us);
                let statement = LoadStatement {
                    stated_at,
                    ..*statement
                };
                let origin = match origin {
                    LoadOrigin::Own => LoadOrigin::Zone,
                    _ => LoadOrigin::OtherZone,
                };
                self.pools[*peer].merge_load(id, statement, origin);
            }
        }
    }

    fn report(&mut self, instance: usize) {
        let zone = instance % ZONES.len();
        let all = 0..self.load.instances;
        let peers: Vec<usize> = all
            .filter(|i| i % ZONES.len() == zone && *i != instance)
            .collect();
        self.share(instance, LoadOrigin::Own, &peers, HOP_US);
        self.reported[instance] = time(self.now);
        let interval = report_interval(peers.len() + 1).as_micros() as u64;
        self.later(interval, Event::Report(instance));
    }

    fn digest(&mut self, zone: usize) {
        let all = 0..self.load.instances;
        let others: Vec<usize> = all.filter(|i| i % ZONES.len() != zone).collect();
        let since = std::mem::take(&mut self.reported[zone]);
        self.share(zone, LoadOrigin::Zone, &others, HOP_US);
        self.reported[zone] = since;
        self.later(DIGEST_INTERVAL_MS * 1000, Event::Digest(zone));
    }
}

/// Sums of runs with several seeds, without and with shared loads.
fn compare(load: Load) -> [Tally; 2] {
    [false, true].map(|is_shared| {
        let mut sum = Tally::default();
        for seed in 0..SEEDS {
            let tally = Fleet::new(Load { is_shared, ..load }, seed).run();
            sum.arrivals += tally.arrivals;
            sum.callers += tally.callers;
            sum.turned_away += tally.turned_away;
            sum.refused += tally.refused;
            sum.on_time += tally.on_time;
        }
        sum
    })
}

impl Tally {
    /// Sends that were refused, as a share of the arrivals.
    fn turned_away(&self) -> f64 {
        self.turned_away as f64 / self.arrivals as f64
    }

    /// Callers that got their answer on time.
    fn on_time(&self) -> f64 {
        self.on_time as f64 / self.callers as f64
    }
}

const USUAL: Load = Load {
    instances: 2,
    work_ms: 30.0,
    target_factor: 5.0,
    burst: 2.0,
    slowdown: 1.0,
    figures: Figures::True,
    is_shared: false,
};

/// Guards against instances that all send to the server which was the least loaded one.
#[test]
fn bursts_within_the_capacity_are_not_turned_away() {
    for instances in INSTANCES {
        for burst in [1.5, 2.0] {
            let load = Load {
                instances,
                burst,
                ..USUAL
            };
            let [_, shared] = compare(load);
            assert!(shared.turned_away() < 0.002, "{load:?}: {shared:?}");
            assert!(shared.on_time() > 0.99, "{load:?}: {shared:?}");
        }
    }
}

/// Guards against servers that are sent as much as faster ones, which instances with few answers learn
/// too late.
#[test]
fn a_server_that_slows_down_in_a_burst_is_sent_less() {
    for instances in INSTANCES {
        for figures in [Figures::True, Figures::NoSlowdown] {
            let load = Load {
                instances,
                slowdown: 3.0,
                figures,
                ..USUAL
            };
            let [apart, shared] = compare(load);
            let worst = apart.turned_away() / 3.0 + 0.001;
            assert!(
                shared.turned_away() < worst,
                "{load:?}: {apart:?} {shared:?}"
            );
            let late = [&apart, &shared].map(|tally| 1.0 - tally.on_time());
            assert!(late[1] < 0.7 * late[0], "{load:?}: {apart:?} {shared:?}");
        }
    }
}

/// Guards against figures that draw the requests of the whole fleet to one server: one states no load,
/// one a hundredfold one, and the slowdowns are random.
#[test]
fn false_figures_cause_no_refusals() {
    for instances in INSTANCES {
        let load = Load {
            instances,
            figures: Figures::False,
            ..USUAL
        };
        let [apart, shared] = compare(load);
        assert!(
            shared.refused * 1000 < shared.arrivals,
            "{load:?}: {shared:?}"
        );
        let worst = apart.turned_away() + 0.02;
        assert!(
            shared.turned_away() < worst,
            "{load:?}: {apart:?} {shared:?}"
        );
        assert!(shared.on_time() > 0.97, "{load:?}: {apart:?} {shared:?}");
    }
}

/// Guards against waits and shared loads that make it worse when nothing helps: demand is half above the
/// capacity in bursts.
#[test]
fn bursts_above_the_capacity_are_served_as_without_shared_loads() {
    let (mut apart, mut shared) = (0.0, 0.0);
    for instances in INSTANCES {
        let tallies = compare(Load {
            instances,
            work_ms: 60.0,
            ..USUAL
        });
        apart += tallies[0].on_time() / INSTANCES.len() as f64;
        shared += tallies[1].on_time() / INSTANCES.len() as f64;
    }
    assert!(shared > apart - 0.03, "{apart} {shared}");
}

/// Guards against callers that are refused although a server has room again long before their target.
#[test]
fn requests_with_long_targets_wait_for_full_servers() {
    for instances in [20, 40, 85] {
        let load = Load {
            instances,
            target_factor: 30.0,
            burst: 3.0,
            ..USUAL
        };
        let [apart, shared] = compare(load);
        assert!(
            shared.refused * 2 < apart.refused,
            "{load:?}: {apart:?} {shared:?}"
        );
        assert!(shared.on_time() > 0.99, "{load:?}: {shared:?}");
    }
}
