//! Simulates generations that wait for engine memory at several instances, with callers that retry;
//! not every test file uses all of it.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthlever_routing::{CapacityPolicy, WaiterId, WaitingGeneration, WaitingQueue};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Interval at which a waiting generation looks for room; the product has the same.
const ASK_INTERVAL: Duration = Duration::from_millis(60);

/// Time for which a caller waits for its answer, over all attempts.
pub const TIMEOUT: Duration = Duration::from_secs(14);

/// Time left below which a caller does not come back.
const MIN_TIME_LEFT: Duration = Duration::from_secs(1);

/// Mean time for which a generation holds its memory, in seconds.
const HOLD_S: f64 = 1.2;

/// Tokens of a generation.
const TOKENS: u64 = 3_100;

/// Share of the refusals at once that are left out, to see what would have come of them.
const PROBE_SHARE: f64 = 0.1;

/// Seeds that each test runs.
pub const SEEDS: std::ops::Range<u64> = 0..6;

/// A customer and its load.
#[derive(Clone, Debug)]
pub struct Source {
    pub customer: &'static str,
    pub weight: f64,
    pub priority: u8,
    /// New requests per second, by the time in seconds since the start.
    pub rate: fn(f64) -> f64,
}

/// A run of the simulation.
#[derive(Clone, Debug)]
pub struct Load {
    pub instances: usize,
    pub target: Duration,
    pub sources: Vec<Source>,
    /// Generations that the engines run at a time, by the time in seconds since the start.
    pub slots: fn(f64) -> f64,
    pub is_scheduling: bool,
    /// When all instances restart: they forget everything, and what waits there is lost.
    pub restart_at: Option<Duration>,
    /// Time for which new requests arrive.
    pub time: Duration,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    pub source: usize,
    pub began: Duration,
    pub served: Option<Duration>,
    pub refusals: usize,
    /// Refusals by the estimate.
    pub early_refusals: usize,
    /// When it was first refused by the estimate.
    pub refused_early_at: Option<Duration>,
}

impl Request {
    /// Whether memory was obtained in time for an answer within the latency target.
    pub fn is_on_time(&self, target: Duration) -> bool {
        self.served
            .is_some_and(|at| at <= self.began + target.mul_f64(0.8))
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub requests: Vec<Request>,
    pub attempts: usize,
    pub early_refusals: usize,
    /// Refusals at once that were left out, and how many of them obtained memory after all.
    pub probes: usize,
    pub served_probes: usize,
}

impl Outcome {
    /// Returns the share of the requests for which `is_so` holds.
    pub fn share(&self, is_so: impl Fn(&Request) -> bool) -> f64 {
        let count = self.requests.iter().filter(|r| is_so(r)).count();
        count as f64 / self.requests.len().max(1) as f64
    }

    /// Returns the share of the requests of a source for which `is_so` holds.
    pub fn share_of(&self, source: usize, is_so: impl Fn(&Request) -> bool) -> f64 {
        let own = || self.requests.iter().filter(|r| r.source == source);
        own().filter(|r| is_so(r)).count() as f64 / own().count().max(1) as f64
    }

    /// Returns the share of all attempts that the estimate refused although they would have obtained
    /// memory while they wait.
    pub fn wrong_refusals(&self) -> f64 {
        let wrong = self.served_probes as f64 / self.probes.max(1) as f64;
        self.early_refusals as f64 * wrong / self.attempts.max(1) as f64
    }
}

struct Waiting {
    request: usize,
    until: Duration,
    next_ask: Duration,
    is_probe: bool,
}

#[derive(Default)]
struct Instance {
    queue: WaitingQueue,
    waiting: BTreeMap<WaiterId, Waiting>,
}

struct World<'a> {
    load: &'a Load,
    rng: ChaCha8Rng,
    now: Duration,
    instances: Vec<Instance>,
    /// Ends of the running generations, and the instances that reserved their memory.
    running: BTreeSet<Reverse<(Duration, usize, usize)>>,
    /// Attempts to come, by time.
    arrivals: BTreeSet<(Duration, usize)>,
    outcome: Outcome,
}

impl Load {
    /// Runs the load; the result depends on nothing but the load and the seed.
    pub fn run(&self, seed: u64) -> Outcome {
        let mut world = World {
            load: self,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            instances: Vec::new(),
            running: BTreeSet::new(),
            arrivals: BTreeSet::new(),
            outcome: Outcome::default(),
        };
        world.start_instances();
        while world.now < self.time + TIMEOUT {
            world.step();
        }
        world.outcome
    }
}

impl World<'_> {
    fn start_instances(&mut self) {
        let lost: Vec<Waiting> = self
            .instances
            .drain(..)
            .flat_map(|instance| instance.waiting.into_values())
            .collect();
        for waiting in lost {
            self.arrivals
                .insert((self.now + Duration::from_millis(500), waiting.request));
        }
        for _ in 0..self.load.instances {
            let mut instance = Instance::default();
            instance.queue.set_scheduling(self.load.is_scheduling);
            self.instances.push(instance);
        }
    }

    fn step(&mut self) {
        if self
            .load
            .restart_at
            .is_some_and(|at| at == self.now && !at.is_zero())
        {
            self.start_instances();
        }
        let t = self.now.as_secs_f64();
        if self.now < self.load.time {
            for (n, source) in self.load.sources.iter().enumerate() {
                let mean = (source.rate)(t) * STEP.as_secs_f64();
                // A sum of Bernoulli draws stands for the Poisson arrivals of many callers.
                for _ in 0..8 {
                    if self.rng.random_bool((mean / 8.0).min(1.0)) {
                        self.arrivals
                            .insert((self.now, self.outcome.requests.len()));
                        self.outcome.requests.push(Request {
                            source: n,
                            began: self.now,
                            served: None,
                            refusals: 0,
                            early_refusals: 0,
                            refused_early_at: None,
                        });
                    }
                }
            }
        }
        while let Some((at, request)) = self.arrivals.first().copied() {
            if at > self.now {
                break;
            }
            self.arrivals.pop_first();
            self.arrive(request);
        }
        while let Some(Reverse((end, _, instance))) = self.running.last().copied() {
            if end > self.now {
                break;
            }
            self.running.pop_last();
            for waiting in self.instances[instance].waiting.values_mut() {
                waiting.next_ask = self.now;
            }
        }
        let mut order: Vec<usize> = (0..self.instances.len()).collect();
        order.shuffle(&mut self.rng);
        for instance in order {
            self.serve(instance);
        }
        self.now += STEP;
    }

    fn has_room(&self) -> bool {
        (self.running.len() as f64) < (self.load.slots)(self.now.as_secs_f64())
    }

    fn policy(&self) -> CapacityPolicy {
        CapacityPolicy {
            target_latency: self.load.target,
        }
    }

    fn arrive(&mut self, request: usize) {
        let now = self.now;
        let (began, source) = {
            let r = &self.outcome.requests[request];
            (r.began, &self.load.sources[r.source])
        };
        let left = (began + TIMEOUT).saturating_sub(now);
        let policy = self.policy();
        let is_late = self.load.is_scheduling && policy.is_late_retry(TIMEOUT, left);
        let until = match is_late {
            true => policy.late_wait_deadline(now, left),
            false => policy.wait_deadline(now, left),
        };
        let n = self.rng.random_range(0..self.instances.len());
        let has_room = self.has_room();
        let queue = &mut self.instances[n].queue;
        let id = queue.enqueue(WaitingGeneration {
            service: SmolStr::new("service"),
            customer: SmolStr::new(source.customer),
            weight: source.weight,
            tokens: TOKENS,
            priority: source.priority,
            began,
            since: now,
            until,
            is_late,
            gives_way: true,
        });
        self.outcome.attempts += 1;
        let is_refused = !has_room && queue.is_turn_too_late(now, id);
        let is_probe = is_refused && self.rng.random_bool(PROBE_SHARE);
        if is_refused && !is_probe {
            self.outcome.early_refusals += 1;
            let r = &mut self.outcome.requests[request];
            r.early_refusals += 1;
            r.refused_early_at.get_or_insert(now);
            self.refuse(n, id, request);
            return;
        }
        self.outcome.probes += usize::from(is_probe);
        let waiting = Waiting {
            request,
            until,
            next_ask: now,
            is_probe,
        };
        self.instances[n].waiting.insert(id, waiting);
    }

    fn refuse(&mut self, n: usize, id: WaiterId, request: usize) {
        let r = &mut self.outcome.requests[request];
        r.refusals += 1;
        let left = (r.began + TIMEOUT).saturating_sub(self.now);
        let queue = &mut self.instances[n].queue;
        let drain = queue.drain_time(self.now, "service");
        let draw = self.rng.random_range(0.0..1.0);
        let policy = CapacityPolicy {
            target_latency: self.load.target,
        };
        let after = policy.retry_after_queue(left, drain, draw);
        queue.remove(self.now, id);
        let after = after.min(left / 3);
        if left.saturating_sub(after) >= MIN_TIME_LEFT {
            self.arrivals.insert((self.now + after, request));
        }
    }

    fn serve(&mut self, n: usize) {
        let now = self.now;
        let ids: Vec<WaiterId> = self.instances[n].waiting.keys().copied().collect();
        let mut due: Vec<WaiterId> = ids
            .into_iter()
            .filter(|id| self.instances[n].waiting[id].next_ask <= now)
            .collect();
        due.shuffle(&mut self.rng);
        for id in due {
            let has_room = self.has_room();
            let instance = &mut self.instances[n];
            if instance.queue.is_turn(now, id) && has_room {
                instance.queue.record_grant(now, id);
                instance.queue.remove(now, id);
                let waiting = instance.waiting.remove(&id).expect("it waits");
                self.outcome.served_probes += usize::from(waiting.is_probe);
                self.outcome.requests[waiting.request].served = Some(now);
                let hold = self.rng.random_range(0.5 * HOLD_S..1.5 * HOLD_S);
                let end = now + Duration::from_secs_f64(hold);
                self.running.insert(Reverse((end, waiting.request, n)));
                continue;
            }
            instance.queue.record_no_room(now, id);
            let waiting = instance.waiting.get_mut(&id).expect("it waits");
            waiting.next_ask = now + ASK_INTERVAL;
            if now >= waiting.until {
                let request = waiting.request;
                instance.waiting.remove(&id);
                self.refuse(n, id, request);
            }
        }
    }
}

/// Runs a load with all seeds.
pub fn run_all(load: &Load) -> Vec<Outcome> {
    SEEDS.map(|seed| load.run(seed)).collect()
}

/// Runs a load with all seeds, with scheduling off.
pub fn run_all_unscheduled(load: &Load) -> Vec<Outcome> {
    run_all(&Load {
        is_scheduling: false,
        ..load.clone()
    })
}

/// Returns the mean of a figure.
pub fn mean(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
}
