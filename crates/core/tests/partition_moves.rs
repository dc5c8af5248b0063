//! Partition moves whose writes take effect long after their sender has given up.

use std::time::Duration;

use jacinthlever_fakes::{
    Deployment, FakeInstance, RouterKind, Script, TableFaults, World, invariant_violations,
};
use jacinthlever_types::CustomerId;

/// Customer whose partition is moved.
const CUSTOMER: &str = "hill";

/// Its rate, in tokens per second: low enough that the refill does not hide tokens granted twice.
const RATE: f64 = 1_000.0;

/// Its burst, in tokens.
const BURST: f64 = 100_000.0;

/// Time in which its empty bucket refills.
const REFILL_TIME: Duration = Duration::from_secs(101);

/// Number of requests that together ask for more than the burst.
const REQUESTS_OVER_BURST: usize = 60;

fn world(seed: u64) -> World {
    let mut deployment = Deployment::cuenca();
    for customer in &mut deployment.customers {
        if customer.name == CUSTOMER {
            (customer.rate, customer.burst) = (RATE, BURST);
        }
    }
    let mut world = World::new(deployment, RouterKind::Core, seed);
    assert!(world.settle());
    world
}

fn owners(world: &World) -> Vec<usize> {
    let customer = CustomerId::new(CUSTOMER);
    let cores = world
        .instances
        .iter()
        .enumerate()
        .filter_map(|(n, instance)| Some((n, instance.core()?)));
    cores
        .filter(|(_, core)| core.is_authoritative_for(&customer))
        .map(|(n, _)| n)
        .collect()
}

/// Sends requests of 2,010 tokens each.
fn burst(world: &mut World, instance: usize, count: usize, name: &str) {
    for number in 0..count {
        let script = Script::model(&format!("key-of-{CUSTOMER}"), 2_000, 10, 10);
        world.submit(instance, script.content(format!("{name}-{number}")));
    }
}

fn set_late_writes(world: &mut World, percent: u64) {
    world.table_faults = TableFaults {
        late_writes_percent: percent,
        ..TableFaults::default()
    };
}

#[test]
fn a_release_that_takes_effect_late_grants_no_token_twice() {
    for seed in 1..=8 {
        let mut world = world(seed);
        let first = owners(&world)[0];
        world.kill(first);
        world.run_for(Duration::from_secs(7));
        let second = owners(&world)[0];
        assert_ne!(first, second);
        // Its bucket is full again before the first owner restarts and gets the partition back.
        world.run_for(REFILL_TIME);
        world.restart(first);
        world.run_until(Duration::from_secs(4), |world| {
            world.instances[first]
                .core()
                .is_some_and(|core| core.is_ready())
        });
        set_late_writes(&mut world, 100);
        // Nothing has been charged when the release is sent, so it hands over a full bucket.
        let sent = world.run_until(Duration::from_secs(6), |world| owners(world).is_empty());
        assert!(sent, "seed {seed}: no partition was released");
        world.run_for(Duration::from_millis(900));
        // An owner that abandoned the release would charge until its next poll a few milliseconds
        // later.
        for round in 0..750 {
            world.run_for(Duration::from_millis(4));
            burst(&mut world, second, 6, &format!("early-{round}"));
        }
        set_late_writes(&mut world, 0);
        for round in 0..20 {
            world.run_for(Duration::from_millis(200));
            burst(
                &mut world,
                second,
                REQUESTS_OVER_BURST,
                &format!("late-{round}"),
            );
        }
        world.run_for(Duration::from_secs(20));
        assert_eq!(
            invariant_violations(&mut world),
            Vec::<String>::new(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_takeover_that_takes_effect_late_leaves_one_owner() {
    for seed in 1..=8 {
        let mut world = world(seed);
        let owner = owners(&world)[0];
        let name = world.instances[owner].id.clone();
        world.run_for(Duration::from_secs(3));
        // The owner is paused until its successors take over, by writes that take effect late.
        world.network.cut(&name, "table");
        world.pause(owner);
        world.run_for(Duration::from_millis(500));
        set_late_writes(&mut world, 100);
        world.run_for(Duration::from_millis(900));
        // It resumes without the table and can continue only if its successors promise.
        world.resume(owner);
        for round in 0..60 {
            world.run_for(Duration::from_millis(100));
            burst(
                &mut world,
                owner,
                REQUESTS_OVER_BURST,
                &format!("old-{round}"),
            );
            burst(
                &mut world,
                (owner + 1) % 6,
                REQUESTS_OVER_BURST,
                &format!("new-{round}"),
            );
            assert!(
                owners(&world).len() <= 1,
                "seed {seed}: {:?}",
                owners(&world)
            );
        }
        set_late_writes(&mut world, 0);
        world.network.heal();
        world.run_for(Duration::from_secs(25));
        assert_eq!(
            invariant_violations(&mut world),
            Vec::<String>::new(),
            "seed {seed}"
        );
        let owned: usize = world
            .instances
            .iter()
            .filter_map(FakeInstance::core)
            .map(|core| core.owned_partitions())
            .sum();
        assert_eq!(owned, jacinthlever_core::PARTITION_COUNT as usize);
    }
}
