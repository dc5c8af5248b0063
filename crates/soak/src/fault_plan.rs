//! A random schedule of faults, generated from a seed.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{Fault, Impairment, LinkFault, Restraint, ServerFault, StoreFault};

/// Mean time between the starts of two faults.
const MEAN_INTERVAL: Duration = Duration::from_millis(700);

/// Minimum duration of a fault.
const MIN_DURATION: Duration = Duration::from_millis(300);

/// Maximum duration of a fault.
const MAX_DURATION: Duration = Duration::from_millis(6000);

/// Minimum duration of a limit that a server names: longer than the time until it is binding.
const MIN_LIMIT_DURATION: Duration = Duration::from_millis(5500);

/// Probability that a server names a limit when others do.
const LIMITED_SHARE: f64 = 0.8;

/// Probability that a server falls silent when others do.
const SILENT_SHARE: f64 = 0.8;

/// Fraction of the servers that fail in a storm.
const STORM_SHARE: f64 = 0.8;

/// Maximum time for which a server is silent.
const MAX_SILENCE: Duration = Duration::from_millis(2500);

/// Number of the last event after which a stream may fall silent.
const MAX_SILENT_AFTER: u64 = 5;

/// Minimum duration of a cut of instances from all servers.
const MIN_CUT_DURATION: Duration = Duration::from_millis(3000);

/// Duration of a time in which all servers repeat answers, and the time until the next one. Refusals in it draw
/// on the retry budget, which has to last.
const COPIES_MS: std::ops::Range<u64> = 600..1600;
const BETWEEN_COPIES_MS: std::ops::Range<u64> = 800..2400;

/// Duration of an evacuation: longer than the time until it must be obeyed.
const EVACUATION_MS: std::ops::Range<u64> = 7500..9500;

/// Seeds of runs with removed registrations.
const REMOVAL_SEEDS: std::ops::Range<u64> = 63_000..64_000;

/// Time for which a server that is not registered goes on serving.
const REMOVAL_TIME: Duration = Duration::from_millis(5500);

/// Plain servers, of which one at a time is removed and up to two are gone.
const PLAIN_SERVERS: usize = 3;

/// Time until instances that are asked to stop have nothing to do and exit; they are started again then.
const STOP_MS: std::ops::Range<u64> = 3000..4500;

/// Forms of a cut of instances from all servers.
pub const CUT_FORMS: [Impairment; 5] = [
    Impairment::Stall,
    Impairment::Reset,
    Impairment::Refuse,
    Impairment::RefuseNew,
    Impairment::StallConnects,
];

/// The number of processes into which faults can be injected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetSize {
    /// Number of instances of the system.
    pub instances: usize,
    /// Number of backend servers.
    pub servers: usize,
}

/// A fault with its start time and duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    /// Time at which the fault starts, since the start of the traffic.
    pub at: Duration,
    /// Time for which the fault lasts.
    pub duration: Duration,
    /// Fault that is injected.
    pub fault: Fault,
}

/// All faults of a run, ordered by their start times; they may overlap.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultPlan {
    /// Faults of the run, ordered by their start times.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Generates the faults of a run that lasts for `length`; equal seeds give equal plans.
    pub fn generate(seed: u64, length: Duration, fleet: FleetSize) -> Self {
        if Self::has_removals(seed) {
            return Self {
                faults: removals(seed, length),
            };
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = MEAN_INTERVAL;
        while at < length {
            let duration_ms = rng.random_range(MIN_DURATION.as_millis()..MAX_DURATION.as_millis());
            faults.push(PlannedFault {
                at,
                duration: Duration::from_millis(duration_ms as u64).min(length - at),
                fault: random_fault(&mut rng, fleet),
            });
            // One fault in five starts at the same time as the fault before it.
            let factor = if rng.random_bool(0.2) {
                0.0
            } else {
                rng.random_range(0.2..2.3)
            };
            at += MEAN_INTERVAL.mul_f64(factor);
        }
        faults.extend(named_limits(seed, length, fleet));
        faults.extend(restore(seed, length));
        faults.extend(restraints(seed, length, fleet));
        let silences = silences(seed, length, fleet, &faults);
        faults.extend(silences);
        faults.extend(reconfigurations(seed, length));
        faults.extend(server_cuts(seed, length, fleet));
        faults.extend(storms(seed, length, fleet));
        faults.extend(evacuations(seed, length));
        faults.extend(repeated_answers(seed, length, fleet));
        faults.sort_by_key(|planned| planned.at);
        Self { faults }
    }

    /// Whether runs with this seed remove registrations while the store watchers of a zone restart, and nothing else:
    /// other faults would excuse late requests.
    pub fn has_removals(seed: u64) -> bool {
        REMOVAL_SEEDS.contains(&seed)
    }

    /// Whether the operator evacuates a zone in runs with this seed. Half of these runs have a restore of
    /// the store.
    pub fn has_evacuations(seed: u64) -> bool {
        seed % 4 >= 2 && !Self::has_removals(seed)
    }
}

/// Returns removals of registrations, each beside a kill or a planned stop of one or both of the first two instances, which
/// watch the store for their zone, or beside none. The history may be discarded with the removal. The rounds overlap.
fn removals(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(500..1500));
    for round in 0.. {
        if at + MIN_LIMIT_DURATION > length {
            break;
        }
        let is_stop = rng.random_bool(0.4);
        let both = rng.random_range(0..4);
        let down = match is_stop {
            true => Duration::from_millis(rng.random_range(STOP_MS)),
            false => Duration::from_millis(rng.random_range(100..800)),
        };
        for instance in 0..both.min(2) {
            let fault = match is_stop {
                true => Fault::Stop { instance },
                false => Fault::Kill { instance },
            };
            faults.push(PlannedFault {
                at,
                duration: down.min(length - at),
                fault,
            });
        }
        let removed_at = at + down.mul_f64(rng.random_range(0.0..1.1));
        faults.push(PlannedFault {
            at: removed_at,
            duration: REMOVAL_TIME.min(length.saturating_sub(removed_at)),
            fault: Fault::Remove {
                server: round % PLAIN_SERVERS,
                is_discarded: rng.random_bool(0.3),
            },
        });
        at = removed_at + Duration::from_millis(rng.random_range(2800..4000));
    }
    faults.sort_by_key(|planned| planned.at);
    faults
}

/// Returns, for every second seed, a restore of the store from a copy.
///
/// It has a generator of its own, so that the other faults of a seed stay the same.
fn restore(seed: u64, length: Duration) -> Option<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let at = length.mul_f64(rng.random_range(0.3..0.8));
    let duration = Duration::from_millis(rng.random_range(200..1500));
    (seed.is_multiple_of(2)).then_some(PlannedFault {
        at,
        duration,
        fault: Fault::Store(StoreFault::Restore),
    })
}

/// Returns a pause that one server asks for and a departure of another one.
///
/// They have a generator of their own, so that the other faults of a seed stay the same.
fn restraints(seed: u64, length: Duration, fleet: FleetSize) -> [PlannedFault; 2] {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(16));
    let pause = Duration::from_millis(rng.random_range(1000..3000));
    let server = rng.random_range(0..fleet.servers);
    let other = (server + rng.random_range(1..fleet.servers)) % fleet.servers;
    let restraints = [(server, Restraint::Pause(pause)), (other, Restraint::Leave)];
    restraints.map(|(server, restraint)| {
        let duration = length.mul_f64(rng.random_range(0.3..0.6));
        PlannedFault {
            at: (length - duration).mul_f64(rng.random_range(0.0..1.0)),
            duration,
            fault: Fault::Server {
                server,
                fault: ServerFault::Restrain(restraint),
            },
        }
    })
}

/// Returns the limits that servers name during a run, many of them at the same time: with few of
/// them the others take the requests.
///
/// They have a generator of their own, so that the other faults of a seed stay the same.
fn named_limits(seed: u64, length: Duration, fleet: FleetSize) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..2000));
    while at + MIN_LIMIT_DURATION < length {
        let duration = (length - at).min(MIN_LIMIT_DURATION * rng.random_range(1..3));
        for server in 0..fleet.servers {
            if rng.random_bool(LIMITED_SHARE) {
                let fault = ServerFault::NameLimit(rng.random_range(0.0..4.0));
                faults.push(PlannedFault {
                    at,
                    duration,
                    fault: Fault::Server { server, fault },
                });
            }
        }
        at += duration.mul_f64(rng.random_range(1.1..1.6));
    }
    faults
}

/// Returns series of silences of several servers at the same time, with a reload or a stop of an
/// instance beside some of them.
///
/// A server that names a limit or asks for a restraint is silent in streams only, since the checks of
/// both expect that its answers arrive at once. The silences have a generator of their own, so that the
/// other faults of a seed stay the same.
fn silences(
    seed: u64,
    length: Duration,
    fleet: FleetSize,
    others: &[PlannedFault],
) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(48));
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(300..1200));
    while at + MAX_SILENCE < length {
        for server in 0..fleet.servers {
            let time = Duration::from_millis(rng.random_range(800..=2500));
            let is_silent = rng.random_bool(SILENT_SHARE);
            let form = rng.random_range(0..5);
            let after = rng.random_range(1..=MAX_SILENT_AFTER);
            let fault = match form {
                0 => Fault::Link(LinkFault::Server { server }, Impairment::Stall),
                1 => Fault::Server {
                    server,
                    fault: ServerFault::SilentAnswers(time),
                },
                _ => Fault::Server {
                    server,
                    fault: ServerFault::SilentStreams { after, time },
                },
            };
            let planned = PlannedFault {
                at,
                duration: time,
                fault,
            };
            let is_free = form > 1 || !asks_for_something(others, server, &planned);
            if is_silent && is_free {
                faults.push(planned);
            }
        }
        let instance = rng.random_range(0..fleet.instances);
        let beside = match rng.random_range(0..10) {
            0..5 => Some(Fault::Reload { instance }),
            5..7 => Some(Fault::Stop { instance }),
            _ => None,
        };
        faults.extend(beside.map(|fault| PlannedFault {
            at: at + Duration::from_millis(rng.random_range(0..1000)),
            duration: (length - at - Duration::from_secs(1)).min(MAX_DURATION),
            fault,
        }));
        at += Duration::from_millis(rng.random_range(1500..3500));
    }
    faults
}

/// Whether a server names a limit or asks for a restraint while a silence or an answer that it delays
/// may last.
fn asks_for_something(others: &[PlannedFault], server: usize, silence: &PlannedFault) -> bool {
    let until = silence.at + silence.duration + MAX_SILENCE;
    others.iter().any(|other| {
        let asks = matches!(
            other.fault,
            Fault::Server {
                server: s,
                fault: ServerFault::NameLimit(_) | ServerFault::Restrain(_),
            } if s == server
        );
        asks && other.at < until && silence.at < other.at + other.duration
    })
}

/// Returns changes of the configuration that keep routes, services and keys, one a second.
///
/// They have a generator of their own, so that the other faults of a seed stay the same.
fn reconfigurations(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(32));
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(200..1800));
    while at < length {
        faults.push(PlannedFault {
            at,
            duration: Duration::ZERO,
            fault: Fault::Reconfigure,
        });
        at += Duration::from_millis(rng.random_range(200..1800));
    }
    faults
}

/// Returns, for two of three seeds, cuts of some instances, but never of all, from all servers, one after
/// the other. The faults of one cut have equal times.
///
/// They have a generator of their own, so that the other faults of a seed stay the same.
fn server_cuts(seed: u64, length: Duration, fleet: FleetSize) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(16));
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(500..3000));
    if seed.is_multiple_of(3) || fleet.instances < 2 {
        return faults;
    }
    while at + MIN_CUT_DURATION <= length {
        let range = MIN_CUT_DURATION.as_millis()..=MAX_DURATION.as_millis();
        let duration = Duration::from_millis(rng.random_range(range) as u64).min(length - at);
        let form = CUT_FORMS[rng.random_range(0..CUT_FORMS.len())];
        let count = rng.random_range(1..fleet.instances);
        let mut instances: Vec<usize> = (0..fleet.instances).collect();
        for _ in count..fleet.instances {
            instances.swap_remove(rng.random_range(0..instances.len()));
        }
        faults.extend(instances.into_iter().map(|instance| PlannedFault {
            at,
            duration,
            fault: Fault::Link(LinkFault::Servers { instance }, form),
        }));
        at += duration + Duration::from_millis(rng.random_range(500..2500));
    }
    faults
}

/// Returns, for one of eight seeds, times at which most servers fail what they get, while instances
/// restart over and over: each process could repeat as much as the one before it.
///
/// They have a generator of their own, so that the other faults of a seed stay the same.
fn storms(seed: u64, length: Duration, fleet: FleetSize) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(48));
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(1000..2000));
    if seed % 8 != 7 {
        return faults;
    }
    while at < length {
        let duration = Duration::from_millis(rng.random_range(2000..6000)).min(length - at);
        for server in 0..fleet.servers {
            if rng.random_bool(STORM_SHARE) {
                let fault = random_server_fault(&mut rng);
                faults.push(PlannedFault {
                    at,
                    duration,
                    fault: Fault::Server { server, fault },
                });
            }
        }
        for _ in 0..fleet.instances {
            let instance = rng.random_range(0..fleet.instances);
            let killed_at = at + duration.mul_f64(rng.random_range(0.0..1.0));
            let down = Duration::from_millis(rng.random_range(20..400));
            faults.push(PlannedFault {
                at: killed_at,
                duration: down.min(length - killed_at),
                fault: Fault::Kill { instance },
            });
        }
        at += duration + Duration::from_millis(rng.random_range(0..800));
    }
    faults
}

/// Returns, for every other pair of seeds, evacuations of a zone, one after the other.
///
/// They have a generator of their own, so that the other faults of a seed stay the same.
fn evacuations(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(8));
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(100..800));
    let shortest = Duration::from_millis(EVACUATION_MS.start);
    while FaultPlan::has_evacuations(seed) && at + shortest <= length {
        let duration = Duration::from_millis(rng.random_range(EVACUATION_MS)).min(length - at);
        faults.push(PlannedFault {
            at,
            duration,
            fault: Fault::Evacuate,
        });
        at += duration + Duration::from_millis(rng.random_range(100..1500));
    }
    faults
}

/// Returns, for two of five seeds, times in which all servers send copies of earlier answers: a request is sent
/// again to a server that has refused it only if all of its service have.
///
/// They have a generator of their own, so that the other faults of a seed stay the same.
fn repeated_answers(seed: u64, length: Duration, fleet: FleetSize) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(8));
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(BETWEEN_COPIES_MS));
    while matches!(seed % 5, 2 | 3) && at < length {
        let duration = Duration::from_millis(rng.random_range(COPIES_MS)).min(length - at);
        faults.extend((0..fleet.servers).map(|server| PlannedFault {
            at,
            duration,
            fault: Fault::Server {
                server,
                fault: ServerFault::RepeatAnswers,
            },
        }));
        at += duration + Duration::from_millis(rng.random_range(BETWEEN_COPIES_MS));
    }
    faults
}

fn random_fault(rng: &mut ChaCha8Rng, fleet: FleetSize) -> Fault {
    let instance = rng.random_range(0..fleet.instances);
    let server = rng.random_range(0..fleet.servers);
    match rng.random_range(0..20) {
        0..3 => Fault::Kill { instance },
        3..5 => Fault::Stop { instance },
        5..8 => Fault::Pause { instance },
        8 => Fault::Reload { instance },
        9 if rng.random_bool(0.3) => Fault::KillAll,
        9..12 => Fault::Link(LinkFault::Store { instance }, random_impairment(rng)),
        12..14 => Fault::Link(LinkFault::Server { server }, random_impairment(rng)),
        14..16 => Fault::Store(random_store_fault(rng)),
        16..19 => Fault::Server {
            server,
            fault: random_server_fault(rng),
        },
        _ => Fault::RevokeKey,
    }
}

fn random_impairment(rng: &mut ChaCha8Rng) -> Impairment {
    match rng.random_range(0..5) {
        0 => Impairment::Delay(Duration::from_millis(rng.random_range(5..400))),
        1 => Impairment::Reset,
        2 => Impairment::Stall,
        3 => Impairment::StallToTarget,
        _ => Impairment::StallFromTarget,
    }
}

fn random_store_fault(rng: &mut ChaCha8Rng) -> StoreFault {
    match rng.random_range(0..4) {
        0 => StoreFault::RefuseCalls,
        1 => StoreFault::Unresponsive,
        2 => StoreFault::LoseResponses,
        _ => StoreFault::DelayWrites,
    }
}

fn random_server_fault(rng: &mut ChaCha8Rng) -> ServerFault {
    match rng.random_range(0..4) {
        0 => ServerFault::FailRequests,
        1 => ServerFault::NoCapacity,
        2 => ServerFault::MismatchResponses,
        _ => ServerFault::TruncateResponses,
    }
}
