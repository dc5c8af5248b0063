//! Calls that must not be repeated run at most once through crashes, takeovers and outages.

use std::time::Duration;

use jacinthlever_core::{CallerId, OperatorRequest};
use jacinthlever_fakes::{Deployment, End, RouterKind, Script, World, invariant_violations};

/// Time within which every call is answered, whichever faults occur.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

/// Time within which a takeover completes.
const TAKEOVER_TIME: Duration = Duration::from_secs(6);

fn world(seed: u64) -> World {
    let mut world = World::new(Deployment::cuenca(), RouterKind::Core, seed);
    assert!(world.settle());
    world
}

fn booking(key: &str) -> Script {
    Script::plain("key-of-river", "/bookings/new", false, Some(key)).content(key)
}

/// Requests an idempotency token from an instance.
fn token(world: &mut World, instance: usize) -> String {
    let asked = world.submit(instance, Script::caller_addresses("key-of-river"));
    world.run_for(Duration::from_millis(100));
    match &world.outcome(asked).end {
        Some(End::Json(body)) => body["ticket"]
            .as_str()
            .expect("the answer has a token")
            .to_owned(),
        other => panic!("no idempotency token in the answer: {other:?}"),
    }
}

/// Returns the instance that owns the customer's partition, the first in the address answer.
fn owner(world: &mut World) -> usize {
    let asked = world.submit(0, Script::caller_addresses("key-of-river"));
    world.run_for(Duration::from_millis(100));
    match &world.outcome(asked).end {
        Some(End::Json(body)) => {
            let address = body["addresses"][0]
                .as_str()
                .expect("the answer has an address");
            address
                .trim_start_matches("callers-")
                .parse()
                .expect("the address ends in a number")
        }
        other => panic!("no address in the answer: {other:?}"),
    }
}

fn other_than(instance: usize) -> usize {
    (instance + 1) % 6
}

fn assert_invariants(world: &mut World) {
    assert_eq!(invariant_violations(world), Vec::<String>::new());
}

fn runs(world: &World, callers: &[CallerId]) -> usize {
    world.runs_of(callers)
}

#[test]
fn concurrent_sends_to_two_instances_run_once_and_get_the_same_outcome() {
    for seed in 1..=10 {
        let mut world = world(seed);
        let callers = [world.submit(0, booking("k")), world.submit(3, booking("k"))];
        world.run_for(ANSWER_TIMEOUT);
        assert_eq!(runs(&world, &callers), 1);
        let ends: Vec<_> = callers
            .iter()
            .map(|c| world.outcome(*c).end.clone())
            .collect();
        assert!(ends.contains(&Some(End::Plain)), "{ends:?}");
        assert!(
            ends.iter().any(|end| matches!(end, Some(End::Recorded(_)))),
            "{ends:?}"
        );
        assert_invariants(&mut world);
    }
}

#[test]
fn the_same_key_with_another_body_is_refused() {
    let mut world = world(1);
    let first = world.submit(0, booking("k"));
    world.run_for(Duration::from_secs(1));
    let second = world.submit(0, booking("k").content("another house"));
    world.run_for(ANSWER_TIMEOUT);
    assert_eq!(world.outcome(second).code(), "claim_mismatch");
    assert!(world.outcome(second).reported_not_run());
    assert_eq!(runs(&world, &[first, second]), 1);
}

#[test]
fn a_retry_after_an_instance_crash_at_any_moment_never_runs_the_call_again() {
    // The call takes about 20 ms in all: write the idempotency record, run, store the outcome.
    for moment in 0..40 {
        let mut world = world(moment);
        let first = world.submit(1, booking("k"));
        world.run_for(Duration::from_millis(moment));
        world.kill(1);
        let again = world.submit(2, booking("k"));
        world.run_for(ANSWER_TIMEOUT);
        assert!(runs(&world, &[first, again]) <= 1, "moment {moment}");
        let outcome = world.outcome(again);
        let ran_before = runs(&world, &[first]) == 1;
        if outcome.reported_not_run() {
            assert!(
                !ran_before,
                "moment {moment}: not_run for a call that had run: {outcome:?}"
            );
        }
        assert_invariants(&mut world);
    }
}

#[test]
fn an_idempotency_record_whose_write_reply_is_lost_is_settled() {
    let mut world = world(2);
    world.table_faults.lost_replies_percent = 100;
    let caller = world.submit(1, booking("k"));
    world.run_for(Duration::from_millis(500));
    world.table_faults.lost_replies_percent = 0;
    world.run_for(ANSWER_TIMEOUT);
    assert_eq!(world.outcome(caller).end, Some(End::Plain));
    assert_eq!(runs(&world, &[caller]), 1);
}

#[test]
fn bookings_with_a_token_continue_while_the_table_is_down() {
    for seed in 1..=5 {
        let mut world = world(seed);
        let token = token(&mut world, 0);
        world.table_faults.down = true;
        world.run_for(Duration::from_secs(5));
        let key = format!("{token}.house-1");
        let callers = [
            world.submit(2, booking(&key)),
            world.submit(4, booking(&key)),
        ];
        world.run_for(Duration::from_secs(3));
        let later = world.submit(5, booking(&key));
        world.run_for(Duration::from_secs(3));
        assert_eq!(runs(&world, &[callers[0], callers[1], later]), 1);
        assert!(
            matches!(world.outcome(later).end, Some(End::Recorded(_))),
            "seed {seed}: {:?}",
            world.outcome(later)
        );
        world.table_faults.down = false;
        world.run_for(ANSWER_TIMEOUT);
        assert_invariants(&mut world);
    }
}

#[test]
fn bookings_continue_for_ten_minutes_without_the_table() {
    let mut world = world(3);
    let token = token(&mut world, 0);
    world.table_faults.down = true;
    let mut callers = Vec::new();
    for minute in 0..10 {
        let key = format!("{token}.minute-{minute}");
        callers.push(world.submit(minute % 6, booking(&key)));
        world.run_for(Duration::from_secs(60));
    }
    for caller in &callers {
        assert_eq!(world.outcome(*caller).end, Some(End::Plain));
    }
    assert_eq!(runs(&world, &callers), callers.len());
}

#[test]
fn after_an_unclean_takeover_an_old_token_without_a_record_may_have_run() {
    let mut world = world(4);
    let token = token(&mut world, 0);
    let owner = owner(&mut world);
    world.table_faults.down = true;
    world.run_for(Duration::from_secs(2));
    let key = format!("{token}.house-1");
    let first = world.submit(other_than(owner), booking(&key));
    world.run_for(Duration::from_secs(1));
    assert_eq!(runs(&world, &[first]), 1);
    // The owner is killed while its idempotency record is only in its memory, since the table is
    // down.
    world.kill(owner);
    world.table_faults.down = false;
    world.run_for(TAKEOVER_TIME);
    let again = world.submit(other_than(owner), booking(&key));
    world.run_for(ANSWER_TIMEOUT);
    assert_eq!(runs(&world, &[first, again]), 1);
    assert_eq!(world.outcome(again).code(), "claim_pending");
    assert!(!world.outcome(again).reported_not_run());
}

#[test]
fn after_an_unclean_takeover_a_stored_idempotency_record_returns_its_outcome() {
    let mut world = world(5);
    let token = token(&mut world, 0);
    let owner = owner(&mut world);
    let key = format!("{token}.house-1");
    let first = world.submit(other_than(owner), booking(&key));
    world.run_for(Duration::from_secs(2));
    world.kill(owner);
    world.run_for(TAKEOVER_TIME);
    let again = world.submit(other_than(owner), booking(&key));
    world.run_for(ANSWER_TIMEOUT);
    assert_eq!(runs(&world, &[first, again]), 1);
    assert!(matches!(world.outcome(again).end, Some(End::Recorded(_))));
}

#[test]
fn after_a_clean_handover_an_old_token_stays_valid() {
    let mut world = world(6);
    let token = token(&mut world, 0);
    let owner = owner(&mut world);
    let used = format!("{token}.house-1");
    let first = world.submit(other_than(owner), booking(&used));
    world.run_for(Duration::from_secs(1));
    world.submit_operator_request(owner, OperatorRequest::Drain);
    world.run_for(TAKEOVER_TIME);
    let again = world.submit(other_than(owner), booking(&used));
    let fresh = world.submit(other_than(owner), booking(&format!("{token}.house-2")));
    world.run_for(ANSWER_TIMEOUT);
    assert!(matches!(world.outcome(again).end, Some(End::Recorded(_))));
    assert_eq!(world.outcome(fresh).end, Some(End::Plain));
    assert_eq!(runs(&world, &[first, again]), 1);
}

#[test]
fn an_owner_paused_past_its_lease_grants_nothing_after_it_resumes() {
    for seed in 1..=5 {
        let mut world = world(seed);
        let token = token(&mut world, 0);
        let owner = owner(&mut world);
        let key = format!("{token}.house-1");
        world.pause(owner);
        // The idempotency request reaches the paused owner and waits there.
        let first = world.submit(other_than(owner), booking(&key));
        world.run_for(TAKEOVER_TIME);
        let second = world.submit(other_than(other_than(owner)), booking(&key));
        world.run_for(Duration::from_secs(2));
        world.resume(owner);
        world.run_for(ANSWER_TIMEOUT);
        assert!(runs(&world, &[first, second]) <= 1, "seed {seed}");
        assert_invariants(&mut world);
    }
}

#[test]
fn a_call_that_reached_no_worker_releases_its_idempotency_key() {
    let mut world = world(7);
    for worker in ["scheduling-0", "scheduling-1", "scheduling-2"] {
        world.worker_mut(worker).expect("the worker exists").up = false;
    }
    let first = world.submit(0, booking("k"));
    world.run_for(ANSWER_TIMEOUT);
    assert!(
        world.outcome(first).reported_not_run(),
        "{:?}",
        world.outcome(first)
    );
    for worker in ["scheduling-0", "scheduling-1", "scheduling-2"] {
        world.worker_mut(worker).expect("the worker exists").up = true;
    }
    let second = world.submit(3, booking("k"));
    world.run_for(ANSWER_TIMEOUT);
    assert_eq!(world.outcome(second).end, Some(End::Plain));
}

#[test]
fn a_call_without_a_key_is_sent_once_even_if_its_worker_crashes() {
    let mut world = world(8);
    let script = Script::plain("key-of-river", "/bookings/new", false, None);
    let callers: Vec<CallerId> = (0..30)
        .map(|n| world.submit(n % 6, script.clone()))
        .collect();
    world.run_for(Duration::from_millis(8));
    world.crash_worker("scheduling-1");
    world.run_for(ANSWER_TIMEOUT);
    for caller in &callers {
        assert!(runs(&world, &[*caller]) <= 1);
    }
    assert_invariants(&mut world);
}
