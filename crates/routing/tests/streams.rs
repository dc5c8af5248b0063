//! Events that arrive in chunks, suspect requests and retries.

use std::time::Duration;

use jacinthlever_routing::{EventSplitter, Fingerprint, RetryBudget, StreamFault, SuspectRequests};

#[test]
fn events_are_complete_wherever_the_chunks_are_split() {
    let body = b"id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for at in 0..=body.len() {
        let mut splitter = EventSplitter::default();
        let mut events = splitter.push(&body[..at]).unwrap_or_default();
        events.extend(splitter.push(&body[at..]).unwrap_or_default());
        let ids: Vec<_> = events.iter().filter_map(|e| e.id).collect();
        assert_eq!(ids, [1, 2, 3], "split at {at}");
        let joined: Vec<u8> = events.into_iter().flat_map(|e| e.bytes).collect();
        assert_eq!(joined, body);
        assert_eq!(splitter.end(false), Ok(()));
    }
}

#[test]
fn an_incomplete_event_is_not_returned() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(events.map(|e| e.len()), Ok(1));
    assert_eq!(splitter.end(true), Err(StreamFault::BrokenOff));
}

#[test]
fn an_event_that_exceeds_the_maximum_size_is_refused() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 100_000];
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_ok());
    assert_eq!(splitter.push(&chunk), Err(StreamFault::Malformed));
}

// Guards against tiny events that each keep memory for all that follow them, with which a server used up
// the memory of the machine.
#[test]
fn tiny_events_take_memory_in_proportion_to_their_bytes() {
    let chunk = vec![b'\n'; 16 * 1024];
    let events = EventSplitter::default().push(&chunk).unwrap_or_default();
    assert_eq!(events.len(), chunk.len() / 2);
    let capacity: usize = events.iter().map(|event| event.bytes.capacity()).sum();
    assert!(capacity <= 4 * chunk.len(), "{capacity} bytes");
}

// Guards against bytes with blank lines that are forwarded as events.
#[test]
fn a_line_that_is_no_field_is_refused() {
    let push = |bytes: &[u8]| EventSplitter::default().push(bytes).is_ok();
    assert!(push(b": comment\nid: 1\nweight-versions:7\ndata\n\n"));
    assert!(push("\u{feff}id: 1\ndata: a\n\n".as_bytes()));
    assert!(!push(b"junk\n\n"));
    assert!(!push(b"id: 1\n\xff: x\n\n"));
    assert!(!push(
        b"HTTP/1.1 500 Error: failed\r\nContent-Type: text/plain\r\n\r\n"
    ));
    assert!(!push(b"{\"error\": \"failed\"}\n\n"));
}

// Guards against runs that are joined to a stream although they do not go on after its last event.
#[test]
fn a_run_goes_on_after_the_last_event() {
    let event = |id: u64| format!("id: {id}\ndata: x\n\n");
    let error = "event: error\ndata: failed\n\n".to_string();
    let first = || EventSplitter::first(None);
    let (taken_up, joined) = (
        || EventSplitter::first(Some(30)),
        || EventSplitter::joined(Some(30)),
    );
    let cases = [
        (first(), event(15) + &event(30) + &event(31), None),
        (first(), event(1) + &error, None),
        (first(), event(2) + &event(2), Some(StreamFault::OutOfOrder)),
        (first(), event(2) + &event(1), Some(StreamFault::OutOfOrder)),
        (taken_up(), event(45), None),
        (taken_up(), event(30), Some(StreamFault::OutOfOrder)),
        (joined(), ": wait\n\n".to_string() + &event(45), None),
        (joined(), event(15), Some(StreamFault::OutOfOrder)),
        (joined(), error, Some(StreamFault::Unnumbered)),
        (EventSplitter::joined(None), event(15), None),
    ];
    for (mut splitter, body, expected) in cases {
        assert_eq!(splitter.push(body.as_bytes()).err(), expected, "{body}");
    }
}

// Guards against runs without an event that end a stream as if it were complete.
#[test]
fn a_run_without_an_event_is_complete_only_if_its_server_says_so() {
    for (splitter, is_delimited, is_complete) in [
        (EventSplitter::first(None), true, true),
        (EventSplitter::first(Some(30)), true, true),
        (EventSplitter::first(None), false, false),
        (EventSplitter::joined(Some(30)), true, false),
    ] {
        let ended = splitter.end(is_delimited);
        assert_eq!(ended.is_ok(), is_complete, "{splitter:?} {is_delimited}");
    }
    let mut splitter = EventSplitter::first(None);
    assert_eq!(splitter.push(b": wait\n\n").map(|e| e.len()), Ok(1));
    assert_eq!(splitter.end(false), Err(StreamFault::NoEvent));
}

#[test]
fn a_request_that_crashed_two_servers_is_quarantined_for_a_time() {
    let mut suspects = SuspectRequests::default();
    let request = Fingerprint(7);
    let secs = Duration::from_secs;
    assert_eq!(suspects.record_crash(secs(1), request), 1);
    assert!(!suspects.is_quarantined(secs(1), request));
    assert_eq!(suspects.record_crash(secs(3), request), 2);
    assert!(suspects.is_quarantined(secs(4), request));
    assert!(!suspects.is_quarantined(secs(4), Fingerprint(8)));
    assert!(!suspects.is_quarantined(secs(300), request));
}

#[test]
fn crashes_recorded_by_peers_count() {
    let mut suspects = SuspectRequests::default();
    suspects.merge_crashes(Duration::ZERO, Fingerprint(7), 2);
    assert!(suspects.is_quarantined(Duration::from_secs(1), Fingerprint(7)));
}

#[test]
fn the_retries_of_all_instances_stay_within_the_budget() {
    let (instances, requests) = (6_u32, 300_u32);
    let (ratio, allowance) = (0.2, 52.0);
    let window = Duration::from_secs(10);
    let mut retries = 0;
    for _ in 0..instances {
        let share = allowance / f64::from(instances);
        let mut budget = RetryBudget::new(window, ratio, share, Duration::ZERO);
        for n in 0..requests / instances {
            let now = Duration::from_millis(u64::from(n) * 100);
            budget.record_request(now);
            for _ in 0..2 {
                if budget.try_hold(now) {
                    budget.spend(now);
                    retries += 1;
                }
            }
        }
    }
    let allowed = ratio * f64::from(requests) + allowance;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
    assert!(retries > 0);
}

// Guards against suspects that instances report to each other for ever.
#[test]
fn a_suspect_request_is_not_reported_once_its_time_is_over() {
    let mut suspects = SuspectRequests::default();
    let start = Duration::ZERO;
    suspects.merge_crashes(start, Fingerprint(7), 2);
    suspects.merge_crashes(start, Fingerprint(7), 1);
    let reported: Vec<_> = suspects.suspects(start).collect();
    assert_eq!(reported, [(Fingerprint(7), 2)]);
    let later = Duration::from_secs(24 * 3600);
    assert_eq!(suspects.suspects(later).count(), 0);
    suspects.merge_crashes(later, Fingerprint(7), 1);
    let reported: Vec<_> = suspects.suspects(later).collect();
    assert_eq!(reported, [(Fingerprint(7), 1)]);
}
