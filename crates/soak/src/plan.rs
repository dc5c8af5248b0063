//! Which faults strike when, drawn from a seed.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{Fault, Harm, LinkFault, ServerFault, StoreFault};

/// Mean time between two faults.
const MEAN_GAP: Duration = Duration::from_millis(700);

/// Shortest time for which a fault lasts.
const SHORTEST: Duration = Duration::from_millis(300);

/// Longest time for which a fault lasts.
const LONGEST: Duration = Duration::from_millis(6000);

/// How many of each there are to be struck.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// Instances of the system.
    pub instances: usize,
    /// Backend servers.
    pub servers: usize,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Strike {
    /// When it begins, from the start of the traffic.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What strikes.
    pub fault: Fault,
}

/// All faults of a run, in the order of their times; they overlap as the seed has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The faults.
    pub strikes: Vec<Strike>,
}

impl Plan {
    /// Draws the faults of a run that lasts for `length`; equal seeds give equal plans.
    pub fn draw(seed: u64, length: Duration, fleet: Fleet) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut strikes = Vec::new();
        let mut at = MEAN_GAP;
        while at < length {
            let lasts = rng.random_range(SHORTEST.as_millis()..LONGEST.as_millis());
            strikes.push(Strike {
                at,
                lasts: Duration::from_millis(lasts as u64).min(length - at),
                fault: fault(&mut rng, fleet),
            });
            // Some faults strike together.
            let gap = if rng.random_bool(0.2) {
                0.0
            } else {
                rng.random_range(0.2..2.3)
            };
            at += MEAN_GAP.mul_f64(gap);
        }
        Self { strikes }
    }
}

fn fault(rng: &mut ChaCha8Rng, fleet: Fleet) -> Fault {
    let instance = rng.random_range(0..fleet.instances);
    let server = rng.random_range(0..fleet.servers);
    match rng.random_range(0..20) {
        0..3 => Fault::Kill { instance },
        3..5 => Fault::Stop { instance },
        5..8 => Fault::Pause { instance },
        8 => Fault::Reload { instance },
        9 if rng.random_bool(0.3) => Fault::KillAll,
        9..12 => Fault::Link(LinkFault::Store { instance }, harm(rng)),
        12..14 => Fault::Link(LinkFault::Server { server }, harm(rng)),
        14..16 => Fault::Store(store_fault(rng)),
        16..19 => Fault::Server {
            server,
            how: server_fault(rng),
        },
        _ => Fault::Withdraw,
    }
}

fn harm(rng: &mut ChaCha8Rng) -> Harm {
    match rng.random_range(0..5) {
        0 => Harm::Delay(Duration::from_millis(rng.random_range(5..400))),
        1 => Harm::Reset,
        2 => Harm::Silent,
        3 => Harm::NothingThere,
        _ => Harm::NothingBack,
    }
}

fn store_fault(rng: &mut ChaCha8Rng) -> StoreFault {
    match rng.random_range(0..4) {
        0 => StoreFault::Busy,
        1 => StoreFault::Silent,
        2 => StoreFault::LostAnswers,
        _ => StoreFault::Late,
    }
}

fn server_fault(rng: &mut ChaCha8Rng) -> ServerFault {
    match rng.random_range(0..4) {
        0 => ServerFault::Failing,
        1 => ServerFault::Full,
        2 => ServerFault::Crossed,
        _ => ServerFault::Broken,
    }
}
