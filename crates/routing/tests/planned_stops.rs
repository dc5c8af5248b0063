//! Which requests may begin while an instance stops.

use std::time::Duration;

use jacinthlever_routing::{PlannedStop, Route, RouteKind, RunTimes};
use smol_str::SmolStr;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn route(kind: RouteKind) -> Route {
    Route {
        name: SmolStr::new("book"),
        host: SmolStr::default(),
        path_prefix: SmolStr::default(),
        kind,
        timeout: MS(10_000),
        target_latency: MS(100),
        event_gap_target: MS(300),
        priority: 1,
        destinations: Vec::new(),
        max_attempts: 2,
        is_public: false,
        is_resumable: false,
    }
}

#[test]
fn the_times_of_a_stop_are_in_order_for_each_grace_period() {
    for grace in [0, 100, 500, 700, 2000, 2900, 3200, 8000, 60_000] {
        let began = MS(5000);
        let stop = PlannedStop::new(began, MS(grace));
        let times = [
            began,
            stop.close_connections_at(),
            stop.answer_by(),
            stop.exit_by(),
            began + MS(grace),
        ];
        assert!(times.is_sorted(), "{grace}: {times:?}");
        assert!(began <= stop.stop_accepting_at(), "{grace}");
        assert!(stop.stop_accepting_at() <= stop.exit_by(), "{grace}");
    }
}

#[test]
fn a_request_begins_only_if_it_is_expected_to_end_before_the_stop() {
    let stop = PlannedStop::new(MS(0), MS(8000));
    let answer_by = stop.answer_by();
    let late = MS(20_000);
    assert_eq!(stop.begin_by(late, Some(MS(1000))), answer_by - MS(1000));
    assert_eq!(stop.begin_by(late, None), Duration::ZERO);
    // Its own deadline ends it in time.
    assert_eq!(stop.begin_by(MS(7000), None), MS(7000));
    let ended = stop.ended_at(MS(3000));
    assert!(ended.begin_by(late, Some(MS(1000))) < MS(3000));
}

#[test]
fn the_expected_run_time_follows_what_requests_of_the_route_took() {
    let mut times = RunTimes::default();
    let unsafe_route = route(RouteKind::Unsafe);
    assert_eq!(times.expected(&unsafe_route), None);
    times.record(&unsafe_route.name, MS(1000));
    assert_eq!(times.expected(&unsafe_route), Some(MS(3000)));
    // More is risked for what may be repeated.
    assert_eq!(times.expected(&route(RouteKind::Safe)), Some(MS(2000)));
    for _ in 0..60 {
        times.record(&unsafe_route.name, MS(400));
    }
    let expected = times.expected(&unsafe_route).expect("no estimate");
    assert!((MS(400)..MS(420)).contains(&expected), "{expected:?}");
    for _ in 0..60 {
        times.record(&unsafe_route.name, MS(1));
    }
    assert_eq!(times.expected(&unsafe_route), Some(MS(100)));
    times.retain(|_| false);
    assert_eq!(times.expected(&unsafe_route), None);
}
