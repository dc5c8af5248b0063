//! Configuration edits: races, lost replies, restarts, and the time until they apply everywhere.

use std::time::Duration;

use jacinthlever_core::{OperatorId, OperatorReply, OperatorRequest, RowChange};
use jacinthlever_fakes::{Deployment, FakeInstance, RouterKind, Script, TableFaults, World};
use jacinthlever_types::{RowKey, RowKind};
use serde_json::{Value, json};

/// Time within which an accepted edit must apply on every instance.
const MAX_EDIT_DELAY: Duration = Duration::from_secs(4);

fn world(seed: u64) -> World {
    let mut world = World::new(Deployment::cuenca(), RouterKind::Core, seed);
    assert!(world.settle());
    world
}

fn hill_row() -> RowKey {
    RowKey::new(RowKind::Customer, "hill")
}

fn limits(rate: f64) -> Value {
    json!({"rate": rate, "burst": 1_000.0, "weight": 1.0})
}

fn edit(
    world: &mut World,
    instance: usize,
    id: &str,
    version: Option<u64>,
    rate: f64,
) -> OperatorId {
    let change = RowChange {
        key: hill_row(),
        version,
        value: Some(limits(rate)),
    };
    world.submit_operator_request(
        instance,
        OperatorRequest::Edit {
            edit: id.into(),
            changes: vec![change],
        },
    )
}

fn reply(world: &World, operator: OperatorId) -> Option<&OperatorReply> {
    world
        .operator_replies
        .get(&operator)
        .map(|(_, reply)| reply)
}

fn revision(world: &World, operator: OperatorId) -> u64 {
    match reply(world, operator) {
        Some(OperatorReply::Json(body)) => body["revision"]
            .as_u64()
            .expect("the answer has a revision"),
        other => panic!("not accepted: {other:?}"),
    }
}

fn is_applied_everywhere(world: &World, revision: u64) -> bool {
    let mut cores = world.instances.iter().filter_map(FakeInstance::core);
    cores.all(|core| core.revision() >= revision)
}

fn rate_in_table(world: &World) -> Value {
    let (_, value) = world.table.current(&hill_row().table_key());
    value.expect("the row exists")["rate"].clone()
}

#[test]
fn concurrent_edits_of_a_row_get_one_success_and_one_conflict_with_both_values() {
    for seed in 1..=10 {
        let mut world = world(seed);
        let (version, _) = world.table.current(&hill_row().table_key());
        let one = edit(&mut world, 0, "one", Some(version), 111.0);
        let other = edit(&mut world, 3, "other", Some(version), 222.0);
        world.run_for(MAX_EDIT_DELAY);
        let replies = [reply(&world, one), reply(&world, other)];
        let accepted = replies
            .iter()
            .filter(|r| matches!(r, Some(OperatorReply::Json(_))))
            .count();
        assert_eq!(accepted, 1, "seed {seed}: {replies:?}");
        let conflict = replies.into_iter().flatten().find_map(|reply| match reply {
            OperatorReply::Conflict(rows) => Some(rows["conflicts"][0].clone()),
            _ => None,
        });
        let conflict = conflict.expect("one edit is answered with the conflict");
        assert_eq!(conflict["row"], json!("customer/hill"));
        assert_eq!(conflict["theirs"]["rate"], rate_in_table(&world));
        assert_ne!(conflict["yours"]["rate"], conflict["theirs"]["rate"]);
    }
}

#[test]
fn concurrent_edits_of_different_rows_are_both_accepted() {
    let mut world = world(1);
    let one = edit(&mut world, 0, "one", None, 111.0);
    let change = RowChange {
        key: RowKey::new(RowKind::Customer, "river"),
        version: None,
        value: Some(limits(222.0)),
    };
    let request = OperatorRequest::Edit {
        edit: "other".into(),
        changes: vec![change],
    };
    let other = world.submit_operator_request(3, request);
    world.run_for(MAX_EDIT_DELAY);
    assert_ne!(revision(&world, one), revision(&world, other));
}

#[test]
fn a_lost_reply_is_settled_without_a_second_write() {
    let mut world = world(2);
    world.table_faults.lost_replies_percent = 100;
    let operator = edit(&mut world, 1, "once", None, 111.0);
    world.run_for(Duration::from_millis(600));
    world.table_faults = TableFaults::default();
    world.run_for(MAX_EDIT_DELAY);
    let (version, _) = world.table.current(&hill_row().table_key());
    assert_eq!(
        revision(&world, operator),
        version,
        "the first write is the accepted one, without a second"
    );
    assert!(is_applied_everywhere(&world, version));
}

#[test]
fn a_repeated_edit_is_accepted_as_the_same_edit() {
    let mut world = world(3);
    let first = edit(&mut world, 0, "same", None, 111.0);
    world.run_for(MAX_EDIT_DELAY);
    let between = edit(&mut world, 0, "later", None, 333.0);
    world.run_for(MAX_EDIT_DELAY);
    let again = edit(&mut world, 4, "same", None, 111.0);
    world.run_for(MAX_EDIT_DELAY);
    assert_eq!(revision(&world, first), revision(&world, again));
    assert!(revision(&world, between) > revision(&world, first));
    assert_eq!(
        rate_in_table(&world),
        json!(333.0),
        "the repeat must not undo the later edit"
    );
}

#[test]
fn an_invalid_edit_is_refused_with_its_problems() {
    let mut world = world(4);
    let bad = edit(&mut world, 0, "bad", None, -1.0);
    let change = RowChange {
        key: hill_row(),
        version: None,
        value: None,
    };
    let request = OperatorRequest::Edit {
        edit: "dangling".into(),
        changes: vec![change],
    };
    let dangling = world.submit_operator_request(0, request);
    world.run_for(MAX_EDIT_DELAY);
    for operator in [bad, dangling] {
        match reply(&world, operator) {
            Some(OperatorReply::Invalid(problems)) => assert!(!problems.is_empty()),
            other => panic!("accepted: {other:?}"),
        }
    }
}

#[test]
fn an_edit_applies_everywhere_even_if_the_table_goes_down_right_after_it() {
    for seed in 1..=10 {
        let mut world = world(seed);
        let operator = edit(&mut world, 2, "now", None, 111.0);
        let answered = world.run_until(MAX_EDIT_DELAY, |world| reply(world, operator).is_some());
        assert!(answered);
        world.table_faults.down = true;
        let revision = revision(&world, operator);
        assert!(
            world.run_until(MAX_EDIT_DELAY, |world| is_applied_everywhere(
                world, revision
            )),
            "seed {seed}"
        );
    }
}

#[test]
fn an_instance_cut_off_from_the_table_receives_edits_from_its_peers() {
    let mut world = world(5);
    world.network.cut("instance-4", "table");
    world.run_for(Duration::from_secs(3));
    let operator = edit(&mut world, 0, "from-peers", None, 111.0);
    assert!(world.run_until(MAX_EDIT_DELAY, |world| reply(world, operator).is_some()));
    let revision = revision(&world, operator);
    assert!(
        world.run_until(MAX_EDIT_DELAY, |world| is_applied_everywhere(
            world, revision
        ))
    );
}

/// Runs the simulation and asserts that no ready instance goes back to an older configuration.
fn assert_revisions_never_decrease(world: &mut World, length: Duration, seen: &mut [u64]) {
    let until = world.now + length;
    while world.now < until {
        world.run_for(Duration::from_millis(20));
        for (instance, seen) in world.instances.iter().zip(seen.iter_mut()) {
            let Some(core) = instance.core().filter(|core| core.is_ready()) else {
                continue;
            };
            assert!(
                core.revision() >= *seen,
                "{} went back to revision {}",
                instance.id,
                core.revision()
            );
            *seen = core.revision();
        }
    }
}

#[test]
fn no_instance_goes_back_to_an_older_revision_even_after_a_restart() {
    for seed in 1..=5 {
        let mut world = world(seed);
        let mut seen = vec![0; world.instances.len()];
        for round in 0..6 {
            edit(
                &mut world,
                round % 6,
                &format!("round-{round}"),
                None,
                100.0 + round as f64,
            );
            assert_revisions_never_decrease(&mut world, Duration::from_secs(2), &mut seen);
            let instance = (round + 3) % 6;
            world.kill(instance);
            // When it restarts, the snapshot may be old and the table slow or down.
            world.table_faults.down = round % 2 == 0;
            world.table_faults.slow = Duration::from_millis(300);
            world.restart(instance);
            assert_revisions_never_decrease(&mut world, Duration::from_secs(3), &mut seen);
            world.table_faults = TableFaults::default();
        }
    }
}

#[test]
fn an_instance_that_starts_without_the_table_becomes_ready_through_its_peers() {
    let mut world = world(6);
    world.kill(2);
    world.table_faults.down = true;
    world.restart(2);
    let ready = |world: &World| {
        world.instances[2]
            .core()
            .is_some_and(|core| core.is_ready())
    };
    assert!(world.run_until(MAX_EDIT_DELAY, ready));
}

#[test]
fn an_instance_that_starts_alone_without_the_table_does_not_serve() {
    let mut world = world(7);
    (0..6).for_each(|instance| world.kill(instance));
    world.table_faults.down = true;
    world.restart(0);
    world.run_for(Duration::from_secs(5));
    let caller = world.submit(0, Script::model("key-of-hill", 10, 5, 5));
    world.run_for(Duration::from_secs(5));
    assert_eq!(world.outcome(caller).code(), "cut_off");
    assert!(world.outcome(caller).reported_not_run());
}
