//! Long outages of the table, and what the fleet asks of it in calm.

use std::time::Duration;

use jacinthlever_core::{CallerId, CoreSettings};
use jacinthlever_fakes::{
    Deployment, FakeInstance, RouterKind, Script, World, invariant_violations,
};
use jacinthlever_types::{InstanceId, ZoneId};

/// The table service takes several hundred writes a second; well under that is a third of 300.
const WRITES_PER_SECOND: f64 = 100.0;

/// The table service takes about two thousand reads a second; well under that is half.
const READS_PER_SECOND: f64 = 1_000.0;

/// Instances to design for.
const DESIGN_INSTANCES: usize = 330;

fn world(instances: usize, seed: u64) -> World {
    let mut deployment = Deployment::cuenca();
    deployment.instances = instances;
    let mut world = World::new(deployment, RouterKind::Core, seed);
    assert!(world.settle());
    world
}

#[test]
fn ten_minutes_without_the_table_refuse_nobody_inside_its_rate() {
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
fn without_table_and_peers_a_holder_stops_at_the_end_of_its_term() {
    let mut world = world(6, 2);
    let others: Vec<_> = (0..5).map(|n| format!("instance-{n}")).collect();
    for other in &others {
        world.network.cut("instance-5", other);
    }
    world.network.cut("instance-5", "table");
    world.run_for(Duration::from_secs(4));
    let core = world.instances[5].core().expect("it is up");
    assert_eq!(core.owned_partitions(), 0);
}

#[test]
fn with_both_heirs_lost_a_holder_stops_when_the_table_is_away() {
    let mut world = world(3, 3);
    world.table_faults.down = true;
    world.run_for(Duration::from_secs(10));
    assert!(
        world.instances[0].core().expect("up").owned_partitions() > 0,
        "its heirs promise"
    );
    world.kill(1);
    world.kill(2);
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.instances[0].core().expect("up").owned_partitions(), 0);
}

#[test]
fn an_instance_that_dies_is_out_of_where_answers_in_seconds() {
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

/// Returns reads and writes a second in calm.
fn table_use(instances: usize) -> (f64, f64) {
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

/// Returns reads and writes a second as the periods of the protocols have them.
fn expected_use(instances: usize) -> (f64, f64) {
    let settings = CoreSettings::new(InstanceId::new("i"), ZoneId::new("z"), "a".into());
    let term = settings.lease_term(instances);
    let fleet_read = (term / 4).min(settings.poll_interval);
    let per_second = |period: Duration| instances as f64 / period.as_secs_f64();
    (
        per_second(fleet_read) + per_second(settings.poll_interval),
        per_second(term / 3),
    )
}

/// Lease terms grow with the fleet, so the use does not grow in a line. The counts of three sizes
/// must follow the periods, and the periods then give the use at the design size.
#[test]
fn the_table_is_asked_little_at_6_instances_and_at_330() {
    for instances in [6, 24, 48] {
        let (reads, writes) = table_use(instances);
        let (expected_reads, expected_writes) = expected_use(instances);
        println!("{instances} instances: {reads:.1} reads/s, {writes:.1} writes/s");
        // A period is stretched by the wait for its answer and for the next tick.
        assert!(
            (0.75..=1.01).contains(&(reads / expected_reads)),
            "{reads} {expected_reads}"
        );
        assert!(
            (0.75..=1.01).contains(&(writes / expected_writes)),
            "{writes} {expected_writes}"
        );
    }
    let (reads, writes) = expected_use(DESIGN_INSTANCES);
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
    let per_node_second = (world.peer_messages - before) as f64 / 10.0 / 40.0;
    // Heartbeats go to 8 neighbours twice a second; a full mesh would take 78 messages.
    assert!(
        per_node_second < 20.0,
        "{per_node_second} messages a second from each instance"
    );
    let heard = world
        .instances
        .iter()
        .filter_map(FakeInstance::core)
        .all(|core| core.is_ready());
    assert!(heard);
}
