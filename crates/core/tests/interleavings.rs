//! Seeded random schedules of kills, pauses, network cuts, losses and table faults.
//!
//! Each schedule drives a small fleet with customers over their rates and bookings that are sent
//! several times, and then checks every invariant. A failure names its seed; run one alone with
//! `SEED=n cargo test -p jacinthlever-core --test interleavings`.

use std::time::Duration;

use jacinthlever_core::OperatorRequest;
use jacinthlever_fakes::{
    Deployment, RouterKind, Script, TableFaults, World, invariant_violations,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Default number of schedules.
const SCHEDULES: u64 = 120;

/// Duration of the faults of one schedule.
const FAULT_TIME: Duration = Duration::from_secs(24);

/// Time for the fleet to settle after the faults.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// Maximum clock drift of an instance, in parts per million; far worse than a quartz clock.
const MAX_DRIFT_PPM: i64 = 2_000;

fn seeds() -> Vec<u64> {
    match std::env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok())
    {
        Some(seed) => vec![seed],
        None => (1..=schedules()).collect(),
    }
}

/// Returns the number of schedules; `SCHEDULES=n` runs more of them than CI does.
fn schedules() -> u64 {
    let wanted = std::env::var("SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok());
    wanted.unwrap_or(SCHEDULES)
}

#[test]
fn no_schedule_violates_an_invariant() {
    let mut failures = Vec::new();
    for seed in seeds() {
        let problems = run(seed);
        if !problems.is_empty() {
            failures.push(format!("seed {seed}: {}", problems.join("; ")));
        }
    }
    assert!(
        failures.is_empty(),
        "{} schedules violate invariants:\n{}",
        failures.len(),
        failures.join("\n")
    );
}

fn run(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut deployment = Deployment::cuenca();
    deployment.instances = 4;
    deployment.prefill_engines = 2;
    deployment.decode_engines = 3;
    // Limits so small that the customers reach them and every token counts.
    for customer in &mut deployment.customers {
        customer.rate = 2_000.0;
        customer.burst = 4_000.0;
    }
    let mut world = World::new(deployment, RouterKind::Core, seed);
    for instance in 0..world.instances.len() {
        world.set_clock_drift(instance, rng.random_range(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM));
    }
    assert!(world.settle(), "seed {seed} did not settle");
    let start = world.now;
    schedule_load(&mut world, &mut rng);
    while world.now < start + FAULT_TIME {
        world.run_for(Duration::from_millis(rng.random_range(100..1_500)));
        apply_random_fault(&mut world, &mut rng);
    }
    end_faults(&mut world);
    world.run_for(SETTLE_TIME);
    let mut problems = invariant_violations(&mut world);
    problems.extend(unsettled_state(&world));
    problems
}

fn schedule_load(world: &mut World, rng: &mut ChaCha8Rng) {
    let end = world.now + FAULT_TIME;
    let mut at = world.now;
    let mut count = 0;
    while at < end {
        at += Duration::from_millis(rng.random_range(5..80));
        count += 1;
        let instance = rng.random_range(0..world.instances.len());
        let content = count.to_string();
        match rng.random_range(0..4) {
            0 => {
                let key = format!("booking-{count}");
                for send in 0..rng.random_range(1..4) {
                    let again = at + Duration::from_millis(rng.random_range(0..3_000) * send);
                    let instance = rng.random_range(0..world.instances.len());
                    let script = Script::plain("key-of-river", "/bookings/new", false, Some(&key));
                    world.submit_at(again, instance, script.content(&content));
                }
            }
            _ => {
                let max = rng.random_range(10..200);
                let length = rng.random_range(1..=max);
                let mut script =
                    Script::model("key-of-hill", rng.random_range(10..600), length, max);
                if rng.random_range(0..8) == 0 {
                    let after = rng.random_range(0..2_000);
                    script.disconnects_after = Some(Duration::from_millis(after));
                }
                world.submit_at(at, instance, script.content(&content));
            }
        }
    }
}

fn apply_random_fault(world: &mut World, rng: &mut ChaCha8Rng) {
    let instance = rng.random_range(0..world.instances.len());
    let is_up = world.instances[instance].router.is_some();
    match rng.random_range(0..12) {
        0 if is_up => world.kill(instance),
        1 if !is_up => world.restart(instance),
        2 if is_up => world.pause(instance),
        3 | 4 => resume_all(world),
        5 => {
            world.table_faults = TableFaults {
                down: rng.random_range(0..4) == 0,
                slow: Duration::from_millis(rng.random_range(0..700)),
                lost_replies_percent: rng.random_range(0..40),
                late_writes_percent: rng.random_range(0..30),
            };
        }
        6 => world.table_faults = TableFaults::default(),
        7 => {
            let other = rng.random_range(0..world.instances.len());
            let (a, b) = (
                world.instances[instance].id.clone(),
                world.instances[other].id.clone(),
            );
            world.network.cut(&a, &b);
        }
        8 => {
            let id = world.instances[instance].id.clone();
            world.network.cut(&id, "table");
        }
        9 => world.network.heal(),
        10 => {
            let id = format!("decode-{}", rng.random_range(0..3));
            world.crash_engine(&id);
        }
        _ => {
            for n in 0..3 {
                world.restart_engine(&format!("decode-{n}"));
            }
            if rng.random_range(0..6) == 0 && is_up {
                world.submit_operator_request(instance, OperatorRequest::Drain);
            }
        }
    }
}

fn resume_all(world: &mut World) {
    for instance in 0..world.instances.len() {
        if world.instances[instance].paused {
            world.resume(instance);
        }
    }
}

/// Ends every fault, so that the fleet must settle.
fn end_faults(world: &mut World) {
    resume_all(world);
    world.network.heal();
    world.table_faults = TableFaults::default();
    for instance in 0..world.instances.len() {
        if world.instances[instance].router.is_none() || world.instances[instance].stopped {
            world.restart(instance);
        }
    }
    for n in 0..3 {
        world.restart_engine(&format!("decode-{n}"));
    }
}

/// Checks that after all faults every partition has an owner and every connected caller its answer.
fn unsettled_state(world: &World) -> Vec<String> {
    let mut problems = Vec::new();
    let cores = world
        .instances
        .iter()
        .filter_map(|instance| instance.core());
    let owned: usize = cores.map(|core| core.owned_partitions()).sum();
    // An instance that was draining when the faults ended has handed over its partitions by now.
    if owned != jacinthlever_core::PARTITION_COUNT as usize {
        problems.push(format!("{owned} partitions are owned"));
    }
    let running: usize = world
        .instances
        .iter()
        .filter_map(|instance| instance.core())
        .map(|core| core.running())
        .sum();
    if running > 0 {
        let cores = world
            .instances
            .iter()
            .filter_map(|instance| instance.core());
        let described: Vec<String> = cores.flat_map(|core| core.describe_running()).collect();
        problems.push(format!(
            "{running} requests are still running: {described:?}"
        ));
    }
    problems
}
