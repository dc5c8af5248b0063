//! The shares of an allowance add up to no more than the whole while the fleet changes.

use std::time::Duration;

use jacinthlever_routing::{AllowanceShare, Member, Membership};

const WINDOW: Duration = Duration::from_secs(10);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn member(n: usize) -> Member {
    Member {
        caller_address: format!("10.0.0.{n}:80").into(),
        peer_address: format!("10.0.0.{n}:76").into(),
        zone: "north".into(),
    }
}

/// Guards against an instance that uses the allowance of the whole fleet since it knows no other one yet.
#[test]
fn an_instance_that_knows_no_registrations_has_no_share() {
    let mut members = Membership::new("i-0".into(), "north".into());
    assert_eq!(members.largest_size(secs(1)), None);
    assert!(AllowanceShare::new(WINDOW).fraction() <= 0.0);
    members.set_registered(
        (0..6)
            .map(|n| (format!("i-{n}").into(), member(n)))
            .collect(),
    );
    assert_eq!(members.largest_size(secs(1)), Some(6));
}

/// Guards against shares that grow as soon as an instance is gone, which may have used its own.
#[test]
fn a_share_grows_a_window_after_the_fleet_has_become_smaller() {
    let mut share = AllowanceShare::new(WINDOW);
    share.record_size(secs(0), 4);
    for s in 1..40 {
        share.record_size(secs(s), 2);
        let expected = if s <= 11 { 0.25 } else { 0.5 };
        assert!((share.fraction() - expected).abs() < 1e-9, "at {s} s");
    }
}

/// Guards against a delegate that has just started and reports a part of its zone.
#[test]
fn a_size_that_is_too_small_for_a_while_changes_nothing() {
    let mut share = AllowanceShare::new(WINDOW);
    for s in 0..40 {
        let known = if (20..25).contains(&s) { 3 } else { 64 };
        share.record_size(secs(s), known);
        assert!((share.fraction() - 1.0 / 64.0).abs() < 1e-9, "at {s} s");
    }
}

#[test]
fn a_share_shrinks_at_once() {
    let mut share = AllowanceShare::new(WINDOW);
    share.record_size(secs(0), 6);
    share.record_size(secs(20), 12);
    assert!((share.fraction() - 1.0 / 12.0).abs() < 1e-9);
}
