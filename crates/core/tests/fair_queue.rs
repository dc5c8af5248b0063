//! Fair shares between customers and the bounded priority of urgent requests.

use std::collections::BTreeMap;

use jacinthlever_core::{FairQueue, MAX_CREDIT_TOKENS, URGENT_LEAD_TOKENS};
use jacinthlever_types::{Class, CustomerId};

const COST: f64 = 100.0;

fn customer(name: &str) -> CustomerId {
    CustomerId::new(name)
}

/// Keeps every customer backlogged and returns the tokens granted to each.
fn serve(weights: &[(&str, f64, Class)], grants: usize) -> BTreeMap<String, f64> {
    let mut queue = FairQueue::default();
    let mut served = BTreeMap::new();
    let push = |queue: &mut FairQueue<usize>, n: usize| {
        let (name, weight, class) = weights[n];
        queue.push(&customer(name), weight, class, COST, n, false);
    };
    for n in 0..weights.len() {
        push(&mut queue, n);
        push(&mut queue, n);
    }
    for _ in 0..grants {
        let n = queue.pop().expect("a request is queued");
        *served.entry(weights[n].0.to_owned()).or_default() += COST;
        push(&mut queue, n);
    }
    served
}

#[test]
fn backlogged_customers_are_served_by_weight() {
    let weights = [
        ("a", 4.0, Class::Patient),
        ("b", 2.0, Class::Patient),
        ("c", 1.0, Class::Patient),
    ];
    let served = serve(&weights, 7_000);
    for (name, share) in [("a", 4.0), ("b", 2.0), ("c", 1.0)] {
        let expected = 7_000.0 * COST * share / 7.0;
        assert!(
            (served[name] - expected).abs() <= 2.0 * COST,
            "{name}: {}",
            served[name]
        );
    }
}

#[test]
fn urgent_requests_go_first_without_starving_others() {
    let weights = [
        ("urgent", 1.0, Class::Urgent),
        ("patient", 1.0, Class::Patient),
    ];
    let lead = (URGENT_LEAD_TOKENS / COST) as usize;
    let first = serve(&weights, lead);
    assert_eq!(
        first.get("patient"),
        None,
        "urgent requests use up their lead first"
    );
    let served = serve(&weights, 10_000);
    let gap = served["urgent"] - served["patient"];
    assert!(
        (0.0..=URGENT_LEAD_TOKENS + 2.0 * COST).contains(&gap),
        "{gap}"
    );
}

#[test]
fn the_queue_is_work_conserving() {
    let mut queue = FairQueue::default();
    queue.push(&customer("a"), 1.0, Class::Patient, 1e9, 1, false);
    assert_eq!(queue.pop(), Some(1));
    queue.push(&customer("a"), 1.0, Class::Patient, 1e9, 2, false);
    assert_eq!(
        queue.pop(),
        Some(2),
        "a customer over its share is served if no other is waiting"
    );
    assert_eq!(queue.pop(), None);
}

#[test]
fn an_idle_customer_accumulates_at_most_the_maximum_credit() {
    let mut queue = FairQueue::default();
    for n in 0..2_000 {
        queue.push(&customer("busy"), 1.0, Class::Patient, COST, n, false);
        queue.pop();
    }
    for n in 0..1_000 {
        queue.push(&customer("idle"), 1.0, Class::Patient, COST, n, false);
        queue.push(
            &customer("busy"),
            1.0,
            Class::Patient,
            COST,
            10_000 + n,
            false,
        );
    }
    let mut in_a_row = 0.0;
    while queue.pop().is_some_and(|n| n < 10_000) {
        in_a_row += COST;
    }
    assert!(
        in_a_row <= MAX_CREDIT_TOKENS + 2.0 * COST,
        "{in_a_row} tokens in a row"
    );
}

#[test]
fn a_retry_goes_before_other_requests_of_its_customer() {
    let mut queue = FairQueue::default();
    queue.push(&customer("a"), 1.0, Class::Patient, COST, 1, false);
    queue.push(&customer("a"), 1.0, Class::Patient, COST, 2, true);
    assert_eq!(queue.pop(), Some(2));
}

#[test]
fn tokens_before_counts_the_tokens_queued_ahead() {
    let mut queue = FairQueue::default();
    let (a, b) = (customer("a"), customer("b"));
    assert_eq!(queue.tokens_before(&a, 1.0, Class::Patient), 0.0);
    for n in 0..10 {
        queue.push(&a, 1.0, Class::Patient, 1_000.0, n, false);
    }
    assert!(queue.tokens_before(&a, 1.0, Class::Patient) >= 10_000.0);
    assert!(
        queue.tokens_before(&b, 1.0, Class::Patient) <= 1_000.0,
        "requests of another customer do not count"
    );
}
