//! Calls that may not be repeated, through crashes, takeovers and outages.

use std::time::Duration;

use jacinthlever_core::{CallerId, OperatorRequest};
use jacinthlever_fakes::{Deployment, End, RouterKind, Script, World, invariant_violations};

/// Time for a call to be answered, whatever happens to it.
const ANSWERED: Duration = Duration::from_secs(12);

/// Time for a takeover.
const TAKEOVER: Duration = Duration::from_secs(6);

fn world(seed: u64) -> World {
    let mut world = World::new(Deployment::cuenca(), RouterKind::Core, seed);
    assert!(world.settle());
    world
}

fn booking(key: &str) -> Script {
    Script::plain("key-of-river", "/bookings/new", false, Some(key)).content(key)
}

/// Takes a ticket from an instance.
fn ticket(world: &mut World, instance: usize) -> String {
    let asked = world.submit(instance, Script::caller_addresses("key-of-river"));
    world.run_for(Duration::from_millis(100));
    match &world.outcome(asked).end {
        Some(End::Json(body)) => body["ticket"].as_str().expect("a ticket").to_owned(),
        other => panic!("no ticket: {other:?}"),
    }
}

/// Returns the instance that holds the slot of the customer, which `where` names first.
fn holder(world: &mut World) -> usize {
    let asked = world.submit(0, Script::caller_addresses("key-of-river"));
    world.run_for(Duration::from_millis(100));
    match &world.outcome(asked).end {
        Some(End::Json(body)) => {
            let address = body["addresses"][0].as_str().expect("an address");
            address
                .trim_start_matches("callers-")
                .parse()
                .expect("a number")
        }
        other => panic!("no address: {other:?}"),
    }
}

fn other_than(instance: usize) -> usize {
    (instance + 1) % 6
}

fn assert_promises(world: &mut World) {
    assert_eq!(invariant_violations(world), Vec::<String>::new());
}

fn runs(world: &World, callers: &[CallerId]) -> usize {
    world.runs_of(callers)
}

#[test]
fn two_sends_at_once_to_two_instances_run_once_and_get_the_same_outcome() {
    for seed in 1..=10 {
        let mut world = world(seed);
        let callers = [world.submit(0, booking("k")), world.submit(3, booking("k"))];
        world.run_for(ANSWERED);
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
        assert_promises(&mut world);
    }
}

#[test]
fn the_same_key_with_another_body_is_refused() {
    let mut world = world(1);
    let first = world.submit(0, booking("k"));
    world.run_for(Duration::from_secs(1));
    let second = world.submit(0, booking("k").content("another house"));
    world.run_for(ANSWERED);
    assert_eq!(world.outcome(second).code(), "claim_mismatch");
    assert!(world.outcome(second).reported_not_run());
    assert_eq!(runs(&world, &[first, second]), 1);
}

#[test]
fn a_send_after_a_crash_of_the_instance_at_any_moment_never_runs_again() {
    // The call takes about 20 ms in all: claim, run, record.
    for moment in 0..40 {
        let mut world = world(moment);
        let first = world.submit(1, booking("k"));
        world.run_for(Duration::from_millis(moment));
        world.kill(1);
        let again = world.submit(2, booking("k"));
        world.run_for(ANSWERED);
        assert!(runs(&world, &[first, again]) <= 1, "moment {moment}");
        let outcome = world.outcome(again);
        let ran_before = runs(&world, &[first]) == 1;
        if outcome.reported_not_run() {
            assert!(!ran_before, "moment {moment}: a false not_run: {outcome:?}");
        }
        assert_promises(&mut world);
    }
}

#[test]
fn a_lost_reply_of_the_table_on_the_claim_is_settled() {
    let mut world = world(2);
    world.table_faults.lost_replies_percent = 100;
    let caller = world.submit(1, booking("k"));
    world.run_for(Duration::from_millis(500));
    world.table_faults.lost_replies_percent = 0;
    world.run_for(ANSWERED);
    assert_eq!(world.outcome(caller).end, Some(End::Plain));
    assert_eq!(runs(&world, &[caller]), 1);
}

#[test]
fn bookings_with_a_ticket_go_on_while_the_table_is_away() {
    for seed in 1..=5 {
        let mut world = world(seed);
        let ticket = ticket(&mut world, 0);
        world.table_faults.down = true;
        world.run_for(Duration::from_secs(5));
        let key = format!("{ticket}.house-1");
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
        world.run_for(ANSWERED);
        assert_promises(&mut world);
    }
}

#[test]
fn bookings_go_on_through_ten_minutes_without_the_table() {
    let mut world = world(3);
    let ticket = ticket(&mut world, 0);
    world.table_faults.down = true;
    let mut callers = Vec::new();
    for minute in 0..10 {
        let key = format!("{ticket}.minute-{minute}");
        callers.push(world.submit(minute % 6, booking(&key)));
        world.run_for(Duration::from_secs(60));
    }
    for caller in &callers {
        assert_eq!(world.outcome(*caller).end, Some(End::Plain));
    }
    assert_eq!(runs(&world, &callers), callers.len());
}

#[test]
fn after_an_unclean_takeover_an_old_ticket_without_a_record_may_have_run() {
    let mut world = world(4);
    let ticket = ticket(&mut world, 0);
    let holder = holder(&mut world);
    world.table_faults.down = true;
    world.run_for(Duration::from_secs(2));
    let key = format!("{ticket}.house-1");
    let first = world.submit(other_than(holder), booking(&key));
    world.run_for(Duration::from_secs(1));
    assert_eq!(runs(&world, &[first]), 1);
    // The holder dies with a claim that no record tells of.
    world.kill(holder);
    world.table_faults.down = false;
    world.run_for(TAKEOVER);
    let again = world.submit(other_than(holder), booking(&key));
    world.run_for(ANSWERED);
    assert_eq!(runs(&world, &[first, again]), 1);
    assert_eq!(world.outcome(again).code(), "claim_pending");
    assert!(!world.outcome(again).reported_not_run());
}

#[test]
fn after_an_unclean_takeover_a_recorded_claim_gives_its_outcome() {
    let mut world = world(5);
    let ticket = ticket(&mut world, 0);
    let holder = holder(&mut world);
    let key = format!("{ticket}.house-1");
    let first = world.submit(other_than(holder), booking(&key));
    world.run_for(Duration::from_secs(2));
    world.kill(holder);
    world.run_for(TAKEOVER);
    let again = world.submit(other_than(holder), booking(&key));
    world.run_for(ANSWERED);
    assert_eq!(runs(&world, &[first, again]), 1);
    assert!(matches!(world.outcome(again).end, Some(End::Recorded(_))));
}

#[test]
fn after_a_clean_handover_an_old_ticket_goes_on() {
    let mut world = world(6);
    let ticket = ticket(&mut world, 0);
    let holder = holder(&mut world);
    let used = format!("{ticket}.house-1");
    let first = world.submit(other_than(holder), booking(&used));
    world.run_for(Duration::from_secs(1));
    world.submit_operator_request(holder, OperatorRequest::Drain);
    world.run_for(TAKEOVER);
    let again = world.submit(other_than(holder), booking(&used));
    let fresh = world.submit(other_than(holder), booking(&format!("{ticket}.house-2")));
    world.run_for(ANSWERED);
    assert!(matches!(world.outcome(again).end, Some(End::Recorded(_))));
    assert_eq!(world.outcome(fresh).end, Some(End::Plain));
    assert_eq!(runs(&world, &[first, again]), 1);
}

#[test]
fn a_holder_that_was_frozen_past_its_lease_grants_nothing_when_it_wakes() {
    for seed in 1..=5 {
        let mut world = world(seed);
        let ticket = ticket(&mut world, 0);
        let holder = holder(&mut world);
        let key = format!("{ticket}.house-1");
        world.pause(holder);
        // The claim reaches the frozen holder and waits there.
        let first = world.submit(other_than(holder), booking(&key));
        world.run_for(TAKEOVER);
        let second = world.submit(other_than(other_than(holder)), booking(&key));
        world.run_for(Duration::from_secs(2));
        world.resume(holder);
        world.run_for(ANSWERED);
        assert!(runs(&world, &[first, second]) <= 1, "seed {seed}");
        assert_promises(&mut world);
    }
}

#[test]
fn a_call_that_reached_no_worker_frees_its_key() {
    let mut world = world(7);
    for worker in ["scheduling-0", "scheduling-1", "scheduling-2"] {
        world.worker_mut(worker).expect("a worker").up = false;
    }
    let first = world.submit(0, booking("k"));
    world.run_for(ANSWERED);
    assert!(
        world.outcome(first).reported_not_run(),
        "{:?}",
        world.outcome(first)
    );
    for worker in ["scheduling-0", "scheduling-1", "scheduling-2"] {
        world.worker_mut(worker).expect("a worker").up = true;
    }
    let second = world.submit(3, booking("k"));
    world.run_for(ANSWERED);
    assert_eq!(world.outcome(second).end, Some(End::Plain));
}

#[test]
fn a_call_without_a_key_is_sent_once_also_if_its_worker_crashes() {
    let mut world = world(8);
    let script = Script::plain("key-of-river", "/bookings/new", false, None);
    let callers: Vec<CallerId> = (0..30)
        .map(|n| world.submit(n % 6, script.clone()))
        .collect();
    world.run_for(Duration::from_millis(8));
    world.crash_worker("scheduling-1");
    world.run_for(ANSWERED);
    for caller in &callers {
        assert!(runs(&world, &[*caller]) <= 1);
    }
    assert_promises(&mut world);
}
