//! The limit on repeats counts the arrivals of each request as servers see them.

use std::time::Duration;

use jacinthlever_soak::{Arrival, RetryLimit};

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    allowance: 1.0,
    window: Duration::from_secs(10),
};

fn arrival(at_s: u64, request: &str, is_complete_prefill: bool) -> Arrival {
    Arrival {
        at: Duration::from_secs(at_s),
        request: request.into(),
        is_complete_prefill,
    }
}

#[test]
fn a_prefill_and_its_decode_are_no_repeat() {
    let arrivals = [arrival(1, "r", true), arrival(2, "r", false)];
    assert!(RetryLimit::repeats(&arrivals).is_empty());
}

#[test]
fn every_arrival_after_a_failed_prefill_is_a_repeat() {
    let failed = [arrival(1, "r", false), arrival(2, "r", false)];
    assert_eq!(RetryLimit::repeats(&failed), [Duration::from_secs(2)]);
    let repeated = [
        arrival(1, "r", false),
        arrival(2, "r", true),
        arrival(3, "r", true),
        arrival(4, "r", false),
    ];
    let expected = [Duration::from_secs(3), Duration::from_secs(4)];
    assert_eq!(RetryLimit::repeats(&repeated), expected);
}

#[test]
fn repeats_of_one_window_are_reported_and_those_of_two_are_not() {
    let requests = [Duration::ZERO; 5];
    let arrivals = |second: u64| {
        let requests = ["a", "b", "c"];
        let times = [1, 2, second];
        let firsts = requests.map(|r| arrival(0, r, false));
        let repeats = (0..3).map(|n| arrival(times[n], requests[n], false));
        firsts.into_iter().chain(repeats).collect::<Vec<_>>()
    };
    assert!(LIMIT.violation(&requests, &arrivals(9)).is_some());
    assert!(LIMIT.violation(&requests, &arrivals(13)).is_none());
}

#[test]
fn the_window_before_counts_for_the_requests() {
    let requests = [Duration::from_secs(1); 10];
    let mut arrivals: Vec<Arrival> = ["a", "b", "c"].map(|r| arrival(1, r, false)).into();
    arrivals.extend(["a", "b", "c"].map(|r| arrival(11, r, false)));
    assert!(LIMIT.violation(&requests, &arrivals).is_none());
    assert!(LIMIT.violation(&requests[..5], &arrivals).is_some());
}
