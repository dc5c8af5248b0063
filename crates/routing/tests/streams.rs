//! Events that come in pieces, and requests that are sent again.

use std::time::Duration;

use jacinthlever_routing::{EventSplitter, Fingerprint, RetryBudget, SuspectRequests};

#[test]
fn events_come_whole_wherever_the_pieces_are_cut() {
    let body = b"id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for at in 0..=body.len() {
        let mut splitter = EventSplitter::default();
        let mut events = splitter.push(&body[..at]).unwrap_or_default();
        events.extend(splitter.push(&body[at..]).unwrap_or_default());
        let ids: Vec<_> = events.iter().filter_map(|e| e.id).collect();
        assert_eq!(ids, [1, 2, 3], "cut at {at}");
        let whole: Vec<u8> = events.into_iter().flat_map(|e| e.bytes).collect();
        assert_eq!(whole, body);
        assert!(!splitter.has_partial());
    }
}

#[test]
fn an_event_that_has_not_ended_is_kept_back() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(events.map(|e| e.len()), Some(1));
    assert!(splitter.has_partial());
}

#[test]
fn an_event_without_end_is_a_fault() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; 100_000];
    assert!(splitter.push(&piece).is_some());
    assert!(splitter.push(&piece).is_some());
    assert!(splitter.push(&piece).is_none());
}

#[test]
fn a_request_that_crashed_two_servers_is_poison_for_a_while() {
    let mut list = SuspectRequests::default();
    let request = Fingerprint(7);
    let secs = Duration::from_secs;
    assert_eq!(list.record_crash(secs(1), request), 1);
    assert!(!list.is_quarantined(secs(1), request));
    assert_eq!(list.record_crash(secs(3), request), 2);
    assert!(list.is_quarantined(secs(4), request));
    assert!(!list.is_quarantined(secs(4), Fingerprint(8)));
    assert!(!list.is_quarantined(secs(300), request));
}

#[test]
fn crashes_that_peers_saw_count() {
    let mut list = SuspectRequests::default();
    list.merge_crashes(Duration::ZERO, Fingerprint(7), 2);
    assert!(list.is_quarantined(Duration::from_secs(1), Fingerprint(7)));
}

#[test]
fn the_parts_of_a_resend_budget_sum_to_less_than_the_whole() {
    let (instances, requests) = (6_u32, 300_u32);
    let (ratio, allowance) = (0.2, 52.0);
    let window = Duration::from_secs(10);
    let mut resends = 0;
    for _ in 0..instances {
        let part = allowance / f64::from(instances);
        let mut budget = RetryBudget::new(window, ratio, part);
        for n in 0..requests / instances {
            let now = Duration::from_millis(u64::from(n) * 100);
            budget.record_request(now);
            resends += u32::from(budget.try_spend(now)) + u32::from(budget.try_spend(now));
        }
    }
    let allowed = ratio * f64::from(requests) + allowance;
    assert!(f64::from(resends) <= allowed, "{resends} of {allowed}");
    assert!(resends > 0);
}
