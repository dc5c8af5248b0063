//! Long outages of the table, and the load that the fleet puts on it without faults.

use std::time::Duration;

use jacinthlever_core::{CallerId, CoreSettings};
use jacinthlever_fakes::{
    Deployment, FakeInstance, RouterKind, Script, World, invariant_violations,
};
use jacinthlever_types::{InstanceId, ZoneId};

/// Bound on the writes per second. The table service handles several hundred; the bound leaves a
/// wide margin at a third of 300.
const WRITES_PER_SECOND: f64 = 100.0;

/// Bound on the reads per second. The table service handles about two thousand; the bound leaves a
/// wide margin at half of that.
const READS_PER_SECOND: f64 = 1_000.0;

/// Number of instances that the design must support.
const DESIGN_INSTANCES: usize = 330;

fn world(instances: usize, seed: u64) -> World {
    let mut deployment = Deployment::cuenca();
    deployment.instances = instances;
    let mut world = World::new(deployment, RouterKind::Core, seed);
    assert!(world.settle());
    world
}

#[test]
fn ten_minutes_without_the_table_refuse_no_customer_within_its_rate() {
    let mut world = world(6, 1);
    world.table_faults.down = true;
    let mut callers: Vec<CallerId> = Vec::new();
    for second in 0..600u64 {
        for customer in ["north", "hill", "river"] {
            let script = Script::model(&format!("key-of-{customer}"), 200, 10, 20);
            let script = script.content(format!("{customer}-{second}"));
            callers.push(world.submit(second as usize % 6, script));
        }
        world.run_for(Duration::from_secs(1));
    }
    world.run_for(Duration::from_secs(5));
    for caller in callers {
        assert!(
            world.outcome(caller).is_complete(),
            "{:?}",
            world.outcome(caller)
        );
    }
    assert_eq!(invariant_violations(&mut world), Vec::<String>::new());
}

#[test]
fn without_table_and_peers_an_owner_stops_at_the_end_of_its_lease_term() {
    let mut world = world(6, 2);
    let others: Vec<_> = (0..5).map(|n| format!("instance-{n}")).collect();
    for other in &others {
        world.network.cut("instance-5", other);
    }
    world.network.cut("instance-5", "table");
    world.run_for(Duration::from_secs(4));
    let core = world.instances[5].core().expect("the instance is up");
    assert_eq!(core.owned_partitions(), 0);
}

#[test]
fn with_both_successors_lost_an_owner_stops_while_the_table_is_down() {
    let mut world = world(3, 3);
    world.table_faults.down = true;
    world.run_for(Duration::from_secs(10));
    assert!(
        world.instances[0]
            .core()
            .expect("the instance is up")
            .owned_partitions()
            > 0,
        "its successors extend its term by promises"
    );
    world.kill(1);
    world.kill(2);
    world.run_for(Duration::from_secs(4));
    assert_eq!(
        world.instances[0]
            .core()
            .expect("the instance is up")
            .owned_partitions(),
        0
    );
}

#[test]
fn a_dead_instance_disappears_from_address_answers_within_seconds() {
    let mut world = world(6, 4);
    world.kill(3);
    world.run_for(Duration::from_secs(4));
    let asked: Vec<CallerId> = [0, 1, 2, 4, 5]
        .map(|instance| world.submit(instance, Script::caller_addresses("key-of-hill")))
        .into();
    world.run_for(Duration::from_secs(1));
    for caller in asked {
        let end = format!("{:?}", world.outcome(caller).end);
        assert!(end.contains("callers-"), "{end}");
        assert!(!end.contains("callers-3"), "{end}");
    }
}

/// Returns the measured reads and writes per second without faults.
fn table_load(instances: usize) -> (f64, f64) {
    let mut world = world(instances, 5);
    world.run_for(Duration::from_secs(20));
    let before = world.table.counts;
    let length = Duration::from_secs(30);
    world.run_for(length);
    let after = world.table.counts;
    let per_second = |count: u64| count as f64 / length.as_secs_f64();
    (
        per_second(after.reads - before.reads),
        per_second(after.writes - before.writes),
    )
}

/// Returns the reads and writes per second that follow from the periods of the protocols.
fn expected_table_load(instances: usize) -> (f64, f64) {
    let settings = CoreSettings::new(InstanceId::new("i"), ZoneId::new("z"), "a".into());
    let term = settings.lease_term(instances);
    let fleet_read = (term / 4).min(settings.poll_interval);
    let per_second = |period: Duration| instances as f64 / period.as_secs_f64();
    (
        per_second(fleet_read) + per_second(settings.poll_interval),
        per_second(term / 3),
    )
}

/// Lease terms grow with the fleet, so the load does not grow linearly. The counts at three sizes
/// must match the periods, which then give the load at the design size.
#[test]
fn the_load_on_the_table_stays_low_at_6_instances_and_at_330() {
    for instances in [6, 24, 48] {
        let (reads, writes) = table_load(instances);
        let (expected_reads, expected_writes) = expected_table_load(instances);
        println!("{instances} instances: {reads:.1} reads/s, {writes:.1} writes/s");
        // Waiting for the answer and for the next tick lengthens each period.
        assert!(
            (0.75..=1.01).contains(&(reads / expected_reads)),
            "{reads} {expected_reads}"
        );
        assert!(
            (0.75..=1.01).contains(&(writes / expected_writes)),
            "{writes} {expected_writes}"
        );
    }
    let (reads, writes) = expected_table_load(DESIGN_INSTANCES);
    println!(
        "{DESIGN_INSTANCES} instances, from the periods: {reads:.0} reads/s, {writes:.0} writes/s"
    );
    assert!(reads < READS_PER_SECOND, "{reads} reads a second");
    assert!(writes < WRITES_PER_SECOND, "{writes} writes a second");
}

#[test]
fn a_large_fleet_has_no_full_mesh() {
    let mut world = world(40, 6);
    world.run_for(Duration::from_secs(10));
    let before = world.peer_messages;
    world.run_for(Duration::from_secs(10));
    let per_instance_second = (world.peer_messages - before) as f64 / 10.0 / 40.0;
    // Heartbeats go to 8 neighbours twice a second; a full mesh would take 78 messages.
    assert!(
        per_instance_second < 20.0,
        "{per_instance_second} messages a second from each instance"
    );
    let all_ready = world
        .instances
        .iter()
        .filter_map(FakeInstance::core)
        .all(|core| core.is_ready());
    assert!(all_ready);
}
