//! The ledger finds each broken promise that it is there for.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_soak::{Answered, Ledger, Limit, Run, Sent};

const REVOKE: Duration = Duration::from_secs(5);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn sent(at: Duration, is_idempotent: bool) -> Sent {
    Sent {
        at,
        customer: "crews".into(),
        tokens: 100,
        is_idempotent,
    }
}

fn run(customer: &str) -> Run {
    Run {
        server: "one".into(),
        customer: customer.into(),
        has_key: false,
    }
}

fn violations(ledger: &Ledger) -> Vec<String> {
    ledger.violations(&BTreeMap::new(), REVOKE)
}

#[test]
fn a_clean_run_breaks_nothing() {
    let mut ledger = Ledger::default();
    ledger.sent("r".into(), sent(secs(1), false));
    ledger.ran("r".into(), run("crews"));
    ledger.answered("r".into(), Answered::Whole);
    assert_eq!(violations(&ledger), [""; 0]);
}

#[test]
fn a_booking_that_runs_twice_is_found() {
    let mut ledger = Ledger::default();
    for (id, is_idempotent) in [("book", false), ("look", true)] {
        ledger.sent(id.into(), sent(secs(1), is_idempotent));
        ledger.ran(id.into(), run("crews"));
        ledger.ran(id.into(), run("crews"));
    }
    assert_eq!(violations(&ledger), ["book: ran 2 times"]);
}

#[test]
fn an_untrue_refusal_is_found() {
    let mut ledger = Ledger::default();
    ledger.sent("r".into(), sent(secs(1), true));
    ledger.ran("r".into(), run("crews"));
    ledger.answered("r".into(), Answered::NotRun);
    assert_eq!(violations(&ledger).len(), 1);
}

#[test]
fn a_run_for_another_customer_or_of_nobody_is_found() {
    let mut ledger = Ledger::default();
    ledger.sent("r".into(), sent(secs(1), true));
    ledger.ran("r".into(), run("others"));
    ledger.ran("stray".into(), run("crews"));
    assert_eq!(violations(&ledger).len(), 2);
}

#[test]
fn a_withdrawn_key_that_still_works_is_found_until_it_is_granted_again() {
    let mut ledger = Ledger::default();
    ledger.withdrawn("crews".into(), secs(10));
    ledger.granted("crews", secs(20));
    for (id, at) in [("soon", 14), ("late", 16), ("again", 21)] {
        ledger.sent(id.into(), sent(secs(at), true));
        ledger.ran(id.into(), run("crews"));
    }
    let found = violations(&ledger);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with("late"));
}

/// Seeds 106, 123, 148 and 150 withdrew the key again before they granted it.
#[test]
fn a_key_that_was_withdrawn_twice_is_granted_once() {
    let mut ledger = Ledger::default();
    ledger.withdrawn("crews".into(), secs(10));
    ledger.withdrawn("crews".into(), secs(12));
    ledger.granted("crews", secs(13));
    ledger.sent("granted".into(), sent(secs(25), true));
    ledger.ran("granted".into(), run("crews"));
    assert_eq!(violations(&ledger), [""; 0]);
    ledger.withdrawn("crews".into(), secs(30));
    ledger.sent("late".into(), sent(secs(36), true));
    ledger.ran("late".into(), run("crews"));
    assert_eq!(violations(&ledger).len(), 1);
}

#[test]
fn a_customer_over_its_limit_is_found_in_any_window() {
    let limit = Limit {
        rate: 10.0,
        burst: 100.0,
        window: secs(10),
        overshoot: 0.0,
        slack: 50.0,
    };
    let limits = BTreeMap::from([("crews".into(), limit)]);
    let mut ledger = Ledger::default();
    for (id, at) in [("a", 5), ("b", 14)] {
        ledger.sent(id.into(), sent(secs(at), true));
        ledger.ran(id.into(), run("crews"));
    }
    assert_eq!(ledger.violations(&limits, REVOKE), [""; 0]);
    ledger.sent("c".into(), sent(secs(15), true));
    ledger.ran("c".into(), run("crews"));
    assert_eq!(ledger.violations(&limits, REVOKE).len(), 1);
}
