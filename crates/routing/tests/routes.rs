//! Routes and customers of requests, and waiting times of generations.

use std::time::Duration;

use jacinthlever_routing::{
    CapacityPolicy, Customer, Destination, FleetConfig, Route, RouteKind, Service,
};
use smol_str::SmolStr;

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: SmolStr::new(prefix),
        host: SmolStr::new(host),
        path_prefix: SmolStr::new(prefix),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(900),
        event_gap_target: Duration::from_millis(300),
        priority: 1,
        destinations: Vec::new(),
        max_attempts: 2,
        is_public: false,
        is_resumable: false,
    }
}

fn config() -> FleetConfig {
    FleetConfig {
        routes: vec![
            route("one", "/book/"),
            route("one", "/book/crew/"),
            route("two", "/"),
        ],
        ..FleetConfig::default()
    }
}

#[test]
fn the_longest_matching_prefix_of_the_host_wins() {
    let config = config();
    let name = |host, path| config.route(host, path).map(|r| r.name.as_str());
    assert_eq!(name("one", "/book/crew/7"), Some("/book/crew/"));
    assert_eq!(name("one", "/book/crews"), Some("/book/"));
    assert_eq!(name("one", "/book"), None);
    assert_eq!(name("two", "/book/crew/7"), Some("/"));
    assert_eq!(name("three", "/"), None);
}

#[test]
fn a_traffic_split_gives_each_service_its_share() {
    let mut route = route("one", "/");
    for (service, weight) in [("most", 90_000), ("none", 0), ("few", 10_000)] {
        let service = SmolStr::new(service);
        route.destinations.push(Destination { service, weight });
    }
    let draws = (0..1_000).map(|n| f64::from(n) / 1_000.0);
    let picked: Vec<&str> = draws
        .filter_map(|draw| route.pick_destination(draw).map(SmolStr::as_str))
        .collect();
    let count = |name| picked.iter().filter(|picked| **picked == name).count();
    assert_eq!((count("most"), count("none"), count("few")), (900, 0, 100));
}

#[test]
fn a_key_belongs_to_its_customer_only() {
    let mut config = config();
    let customer = Customer {
        name: SmolStr::new("crews"),
        priority: None,
        quota: None,
    };
    config.customers.insert(customer.name.clone(), customer);
    config.keys.insert("k".into(), "crews".into());
    config.keys.insert("orphaned".into(), "removed".into());
    let name = |key| config.customer_by_key(key).map(|c| c.name.as_str());
    assert_eq!(name("k"), Some("crews"));
    assert_eq!(name("orphaned"), None);
    assert_eq!(name("other"), None);
}

#[test]
fn a_generation_stops_waiting_when_it_can_no_longer_be_on_time() {
    let policy = CapacityPolicy {
        target_latency: Duration::from_millis(900),
    };
    let since = Duration::from_secs(5);
    let wait = |left| policy.wait_deadline(since, Duration::from_millis(left));
    let until = |ms| since + Duration::from_millis(ms);
    assert_eq!(wait(14_000), until(675));
    assert_eq!(wait(600), until(300));
}

#[test]
fn retries_of_callers_refused_at_the_same_time_are_spread() {
    let policy = CapacityPolicy {
        target_latency: Duration::from_millis(900),
    };
    let left = Duration::from_secs(12);
    let first = policy.retry_after(left, 0.0);
    let last = policy.retry_after(left, 0.999);
    assert!(last - first >= Duration::from_secs(1));
    assert!(
        last <= left / 3,
        "a caller is asked to retry within a third of its remaining time"
    );
}

/// The connection limit of a server applies to the whole fleet, whatever its size.
#[test]
fn idle_connections_of_all_instances_leave_connections_for_calls() {
    let service = Service {
        health_path: "/health".into(),
        max_connections: 96,
        engine: None,
        cold_rate: None,
    };
    assert_eq!(service.max_idle_connections(6), 8);
    for instances in 1..400 {
        assert!(service.max_idle_connections(instances) * instances <= 48);
    }
}
