//! The retries of a fleet stay within the budget while its instances restart, whoever makes them and
//! whenever. Every instance makes all the retries that it may, in storms of failures.

use std::time::Duration;

use jacinthlever_routing::{AllowanceShare, RetryBudget};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;

/// Step of the simulation, and its length in steps.
const STEP: Duration = Duration::from_millis(100);
const STEPS: usize = 600;

/// Steps of a window.
const WINDOW_STEPS: usize = 100;

/// How the instances restart.
#[derive(Clone, Copy, Debug)]
enum Restarts {
    None,
    /// Some at a time, one group each second, over and over.
    InTurn,
    /// All of them at the same moment, several times.
    AllAtOnce,
    /// Each one at random, some of them again within the same window.
    Random,
}

struct Process {
    budget: RetryBudget,
    share: AllowanceShare,
    /// When it has read the registrations.
    knows_fleet_from: Duration,
}

impl Process {
    fn start(now: Duration, full_from: Duration, rng: &mut ChaCha8Rng) -> Self {
        Self {
            budget: RetryBudget::new(WINDOW, RATIO, 0.0, full_from),
            share: AllowanceShare::new(WINDOW),
            knows_fleet_from: now + Duration::from_millis(rng.random_range(0..1500)),
        }
    }

    fn try_retry(&mut self, now: Duration) -> bool {
        let is_granted = self.budget.try_hold(now);
        if is_granted {
            self.budget.spend(now);
        }
        is_granted
    }
}

/// Counts of a simulated fleet in each step.
struct Counts {
    requests: Vec<usize>,
    retries: Vec<usize>,
}

impl Counts {
    fn sum(counts: &[usize], from: usize) -> usize {
        let until = (from + WINDOW_STEPS + 1).min(counts.len());
        counts[from..until].iter().sum()
    }

    /// Returns the largest ratio of retries to those that are allowed, over all windows.
    fn worst(&self, allowance: f64) -> f64 {
        let ratios = (0..STEPS).map(|from| {
            let earlier = [0, WINDOW_STEPS / 2, WINDOW_STEPS];
            let requests = earlier.map(|n| Self::sum(&self.requests, from.saturating_sub(n)));
            let requests = requests.into_iter().max().unwrap_or(0);
            let allowed = RATIO * requests as f64 + allowance;
            Self::sum(&self.retries, from) as f64 / allowed
        });
        ratios.fold(0.0, f64::max)
    }
}

fn is_restarted(
    restarts: Restarts,
    step: usize,
    n: usize,
    size: usize,
    rng: &mut ChaCha8Rng,
) -> bool {
    match restarts {
        Restarts::None => false,
        Restarts::InTurn => {
            let group = size.div_ceil(8);
            step.is_multiple_of(10) && n / group == step / 10 % 8
        }
        Restarts::AllAtOnce => step % 150 == 99,
        Restarts::Random => rng.random_bool(0.01),
    }
}

fn simulate(size: usize, allowance: f64, restarts: Restarts, seed: u64) -> Counts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rates: Vec<f64> = (0..size).map(|_| rng.random_range(0.2..4.0)).collect();
    let mut fleet: Vec<Process> = (0..size)
        .map(|_| Process::start(Duration::ZERO, Duration::ZERO, &mut rng))
        .collect();
    let mut counts = Counts {
        requests: vec![0; STEPS],
        retries: vec![0; STEPS],
    };
    let mut storm_until = 0;
    for step in 0..STEPS {
        let now = STEP * step as u32;
        // The first windows have no failures, so that everything may be used at once later.
        if step > 2 * WINDOW_STEPS && rng.random_bool(0.02) {
            storm_until = step + rng.random_range(1..100);
        }
        for n in 0..size {
            if is_restarted(restarts, step, n, size, &mut rng) {
                fleet[n] = Process::start(now, now + WINDOW, &mut rng);
            }
            let process = &mut fleet[n];
            if now >= process.knows_fleet_from {
                // Others may seem to be gone for less than a window.
                let known = if step % 80 < 20 { size / 2 } else { size };
                process.share.record_size(now, known.max(1));
            }
            let part = allowance * process.share.fraction();
            process.budget.set_allowance(part);
            if rng.random_bool((rates[n] * STEP.as_secs_f64()).min(1.0)) {
                process.budget.record_request(now);
                counts.requests[step] += 1;
            }
            while step < storm_until && process.try_retry(now) {
                counts.retries[step] += 1;
            }
        }
    }
    counts
}

/// Guards against shares that add up to more than the whole, and against processes that use again what
/// those before them have used.
#[test]
fn retries_of_a_fleet_stay_within_the_budget_over_restarts() {
    let all = [
        Restarts::None,
        Restarts::InTurn,
        Restarts::AllAtOnce,
        Restarts::Random,
    ];
    for (size, allowance, seeds) in [(6, 52.0, 40), (64, 168.0, 10), (330, 700.0, 2)] {
        for restarts in all {
            for seed in 0..seeds {
                let worst = simulate(size, allowance, restarts, seed).worst(allowance);
                assert!(
                    worst <= 1.0,
                    "{size} instances, {restarts:?}, seed {seed}: {worst:.2} of what is allowed"
                );
            }
        }
    }
}

/// Guards against a budget that a sound fleet cannot use.
#[test]
fn a_fleet_that_does_not_restart_uses_most_of_the_budget() {
    for (size, allowance) in [(6, 52.0), (64, 168.0)] {
        let worst = simulate(size, allowance, Restarts::None, 1).worst(allowance);
        assert!(
            worst > 0.5,
            "{size} instances: {worst:.2} of what is allowed"
        );
    }
}
