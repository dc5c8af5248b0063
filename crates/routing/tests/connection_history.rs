//! Checks on which connections a call may be sent, so that its answer can be told from copies of earlier ones.

use jacinthlever_routing::{CallIdentity, ConnectionHistory};

const FIRST: CallIdentity = CallIdentity::Request("first");
const OTHER: CallIdentity = CallIdentity::Request("other");

// Guards against a copy of a refusal that is taken for the refusal of the same request's next send.
#[test]
fn a_connection_carries_each_request_once() {
    let mut history = ConnectionHistory::default();
    assert!(history.may_carry(FIRST));
    history.record(FIRST);
    assert!(!history.may_carry(FIRST));
    assert!(history.may_carry(OTHER));
    history.record(OTHER);
    assert!(!history.may_carry(FIRST) && !history.may_carry(OTHER));
    assert_eq!(history.calls(), 2);
}

// Guards against a copy of a control call's answer that is taken for the answer to the next one.
#[test]
fn a_connection_carries_one_nameless_call() {
    let mut history = ConnectionHistory::default();
    history.record(FIRST);
    assert!(history.may_carry(CallIdentity::Nameless));
    history.record(CallIdentity::Nameless);
    assert!(!history.may_carry(CallIdentity::Nameless));
    assert!(history.may_carry(OTHER), "its answer names it");
}

// Guards against a history that grows with the age of its connection.
#[test]
fn a_connection_that_has_carried_many_requests_is_not_reused() {
    let mut history = ConnectionHistory::default();
    let ids = (0..10_000).map(|n| format!("r-{n}"));
    let carried = ids
        .take_while(|id| {
            let may_carry = history.may_carry(CallIdentity::Request(id));
            history.record(CallIdentity::Request(id));
            may_carry
        })
        .count();
    assert!(history.is_full());
    assert!((100..1000).contains(&carried), "{carried}");
}
