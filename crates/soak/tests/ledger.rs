//! The ledger reports each kind of violation that it checks for.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_soak::{CallerOutcome, Ledger, Limit, Run, SentRequest};

const GRACE_PERIOD: Duration = Duration::from_secs(5);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn sent(at: Duration, is_idempotent: bool) -> SentRequest {
    SentRequest {
        at,
        customer: "crews".into(),
        tokens: 100,
        is_idempotent,
        service: "plain".into(),
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
    ledger.violations(&BTreeMap::new(), GRACE_PERIOD)
}

#[test]
fn a_request_that_runs_once_and_is_answered_is_no_violation() {
    let mut ledger = Ledger::default();
    ledger.record_sent("r".into(), sent(secs(1), false));
    ledger.record_run("r".into(), run("crews"));
    ledger.record_outcome("r".into(), CallerOutcome::Complete);
    assert_eq!(violations(&ledger), [""; 0]);
}

#[test]
fn a_non_idempotent_request_that_runs_twice_is_reported() {
    let mut ledger = Ledger::default();
    for (id, is_idempotent) in [("book", false), ("look", true)] {
        ledger.record_sent(id.into(), sent(secs(1), is_idempotent));
        ledger.record_run(id.into(), run("crews"));
        ledger.record_run(id.into(), run("crews"));
    }
    assert_eq!(violations(&ledger), ["book: ran 2 times"]);
}

#[test]
fn a_request_refused_as_not_run_that_has_run_is_reported() {
    let mut ledger = Ledger::default();
    ledger.record_sent("r".into(), sent(secs(1), true));
    ledger.record_run("r".into(), run("crews"));
    ledger.record_outcome("r".into(), CallerOutcome::NotRun);
    assert_eq!(violations(&ledger).len(), 1);
}

#[test]
fn a_run_for_another_customer_or_of_an_unsent_request_is_reported() {
    let mut ledger = Ledger::default();
    ledger.record_sent("r".into(), sent(secs(1), true));
    ledger.record_run("r".into(), run("others"));
    ledger.record_run("stray".into(), run("crews"));
    assert_eq!(violations(&ledger).len(), 2);
}

#[test]
fn use_of_a_revoked_key_is_reported_until_it_is_granted_again() {
    let mut ledger = Ledger::default();
    ledger.record_revocation("crews".into(), secs(10));
    ledger.record_grant("crews", secs(20));
    for (id, at) in [("soon", 14), ("late", 16), ("again", 21)] {
        ledger.record_sent(id.into(), sent(secs(at), true));
        ledger.record_run(id.into(), run("crews"));
    }
    let found = violations(&ledger);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with("late"));
}

/// Guards against a ledger that ends only the last of several revocations when the key is granted
/// again. The plans of seeds 106, 123, 148 and 150 revoked the key twice before granting it.
#[test]
fn one_grant_ends_all_earlier_revocations() {
    let mut ledger = Ledger::default();
    ledger.record_revocation("crews".into(), secs(10));
    ledger.record_revocation("crews".into(), secs(12));
    ledger.record_grant("crews", secs(13));
    ledger.record_sent("granted".into(), sent(secs(25), true));
    ledger.record_run("granted".into(), run("crews"));
    assert_eq!(violations(&ledger), [""; 0]);
    ledger.record_revocation("crews".into(), secs(30));
    ledger.record_sent("late".into(), sent(secs(36), true));
    ledger.record_run("late".into(), run("crews"));
    assert_eq!(violations(&ledger).len(), 1);
}

#[test]
fn a_customer_over_its_limit_in_any_window_is_reported() {
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
        ledger.record_sent(id.into(), sent(secs(at), true));
        ledger.record_run(id.into(), run("crews"));
    }
    assert_eq!(ledger.violations(&limits, GRACE_PERIOD), [""; 0]);
    ledger.record_sent("c".into(), sent(secs(15), true));
    ledger.record_run("c".into(), run("crews"));
    assert_eq!(ledger.violations(&limits, GRACE_PERIOD).len(), 1);
}

#[test]
fn requests_have_ended_if_all_that_were_sent_until_a_time_have_outcomes() {
    let mut ledger = Ledger::default();
    for (id, at) in [("early", 1), ("late", 3)] {
        ledger.record_sent(id.into(), sent(secs(at), true));
    }
    assert!(!ledger.have_ended(secs(2)));
    ledger.record_outcome("early".into(), CallerOutcome::Unknown);
    assert!(ledger.have_ended(secs(2)));
    assert!(!ledger.have_ended(secs(3)));
}
