//! The estimate of a generation's wait, and what follows from it.

use std::time::Duration;

use jacinthlever_routing::{CapacityEstimate, CapacityPolicy, Customer, FleetConfig, Quota};
use smol_str::SmolStr;

const POLICY: CapacityPolicy = CapacityPolicy {
    target_latency: Duration::from_secs(2),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Records a grant every 100 ms of the range, while others wait.
fn record_grants(estimate: &mut CapacityEstimate, range: std::ops::Range<u64>) {
    for at in range.step_by(100) {
        estimate.record_queue(ms(at));
        estimate.record_grant(ms(at + 100));
    }
}

#[test]
fn fewer_than_three_grants_give_no_estimate() {
    let mut estimate = CapacityEstimate::default();
    assert_eq!(estimate.time_for(ms(0), 1), None);
    record_grants(&mut estimate, 0..200);
    assert_eq!(estimate.time_for(ms(200), 1), None);
    record_grants(&mut estimate, 200..300);
    assert_eq!(estimate.time_for(ms(300), 1), Some(ms(100)));
    let later = ms(300) + Duration::from_secs(2);
    assert_eq!(estimate.time_for(later, 1), None);
}

/// Guards against the rate of a light load, which is that of the demand, taken for the capacity when
/// a burst arrives.
#[test]
fn time_without_a_queue_does_not_count() {
    let mut estimate = CapacityEstimate::default();
    for at in (0..2_000).step_by(500) {
        estimate.record_grant(ms(at));
    }
    assert_eq!(estimate.time_for(ms(2_000), 1), None);
    record_grants(&mut estimate, 2_000..2_500);
    estimate.record_empty_queue(ms(2_500));
    assert_eq!(estimate.time_for(ms(3_500), 10), Some(ms(1_000)));
}

/// Guards against a rate that holds long after the capacity has changed.
#[test]
fn the_estimate_follows_the_capacity_within_its_window() {
    let mut estimate = CapacityEstimate::default();
    record_grants(&mut estimate, 0..3_000);
    for at in (3_000..5_000).step_by(400) {
        estimate.record_grant(ms(at + 400));
    }
    assert_eq!(estimate.time_for(ms(5_000), 1), Some(ms(400)));
    let least = estimate.least_time_for(ms(5_000), 1).expect("an estimate");
    assert!(
        least < ms(200),
        "five grants are little evidence: {least:?}"
    );
}

#[test]
fn a_refused_caller_comes_back_when_the_queue_is_served() {
    let after = |left, queue, draw| POLICY.retry_after_queue(ms(left), Some(ms(queue)), draw);
    assert_eq!(after(12_000, 2_000, 0.0), ms(1_500));
    assert_eq!(after(12_000, 2_000, 1.0), ms(2_500));
    assert_eq!(after(12_000, 100, 0.5), ms(400));
    assert_eq!(after(6_000, 9_000, 0.5), ms(2_000));
    assert_eq!(after(14_000, 9_000, 0.5), ms(4_000));
}

/// Guards against first requests that give way to others since their deadline is a little shorter than
/// what the route allows.
#[test]
fn a_caller_retries_if_it_states_clearly_less_than_the_route_allows() {
    let timeout = ms(14_000);
    assert!(!POLICY.is_late_retry(timeout, timeout));
    assert!(!POLICY.is_late_retry(timeout, ms(11_800)));
    assert!(POLICY.is_late_retry(timeout, ms(11_799)));
    assert_eq!(POLICY.late_wait_deadline(ms(1_000), ms(8_000)), ms(5_000));
}

#[test]
fn the_weight_of_a_customer_is_the_rate_of_its_limit() {
    let mut config = FleetConfig::default();
    assert_eq!(config.capacity_weight(None), 1.0);
    for (name, rate) in [
        ("small", Some(1_000.0)),
        ("large", Some(3_000.0)),
        ("any", None),
    ] {
        let quota = rate.map(|rate| Quota {
            rate,
            burst: rate,
            default_tokens: 1,
        });
        let customer = Customer {
            name: SmolStr::new(name),
            priority: None,
            quota,
        };
        config.customers.insert(SmolStr::new(name), customer);
    }
    assert_eq!(config.capacity_weight(Some("small")), 1_000.0);
    assert_eq!(config.capacity_weight(Some("large")), 3_000.0);
    assert_eq!(config.capacity_weight(Some("any")), 2_000.0);
    assert_eq!(config.capacity_weight(None), 2_000.0);
}
