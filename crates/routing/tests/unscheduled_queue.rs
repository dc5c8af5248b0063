//! Waiting generations while scheduling is off: order, waits and retry times are those of before.

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthlever_routing::{CapacityPolicy, WaiterId, WaitingGeneration, WaitingQueue};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

/// Number of generations that request reservations concurrently.
const HEADS: usize = 3;

fn generation(rng: &mut ChaCha8Rng, now: Duration) -> WaitingGeneration {
    WaitingGeneration {
        service: SmolStr::new(["one", "other"][rng.random_range(0..2)]),
        customer: SmolStr::new(["first", "second"][rng.random_range(0..2)]),
        weight: 1.0,
        tokens: rng.random_range(1_000..4_000),
        priority: rng.random_range(0..3),
        began: now.saturating_sub(Duration::from_millis(rng.random_range(0..9_000))),
        since: now,
        until: now + Duration::from_millis(rng.random_range(0..20) * 75),
        is_late: rng.random_bool(0.3),
        gives_way: rng.random_bool(0.5),
    }
}

/// The order by which generations were served before there was any other: by priority, then by the
/// time at which they stop waiting, then by arrival, over all services.
#[test]
fn the_order_is_by_priority_then_deadline_then_arrival() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = WaitingQueue::default();
        let mut order: BTreeSet<(u8, Duration, usize)> = BTreeSet::new();
        let mut ids: Vec<WaiterId> = Vec::new();
        for step in 0..2_000 {
            let now = Duration::from_millis(20 * step);
            if rng.random_bool(0.5) {
                let generation = generation(&mut rng, now);
                order.insert((generation.priority, generation.until, ids.len()));
                ids.push(queue.enqueue(generation));
            } else if let Some(n) = (!order.is_empty()).then(|| rng.random_range(0..order.len())) {
                let gone = *order.iter().nth(n).expect("it is in the queue");
                queue.record_no_room(now, ids[gone.2]);
                if rng.random_bool(0.5) {
                    queue.record_grant(now, ids[gone.2]);
                }
                order.remove(&gone);
                queue.remove(now, ids[gone.2]);
            }
            assert_eq!(queue.len(), order.len());
            for (position, (_, _, n)) in order.iter().enumerate() {
                assert_eq!(queue.is_turn(now, ids[*n]), position < HEADS, "seed {seed}");
                assert_eq!(queue.expected_wait(now, ids[*n]), None);
                assert!(!queue.is_turn_too_late(now, ids[*n]));
            }
            assert_eq!(queue.drain_time(now, "one"), None);
        }
    }
}

#[test]
fn without_an_estimate_the_retry_time_is_spread_over_the_time_left() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..1_000 {
        let policy = CapacityPolicy {
            target_latency: Duration::from_millis(rng.random_range(100..3_000)),
        };
        let left = Duration::from_millis(rng.random_range(0..20_000));
        let draw = rng.random_range(0.0..1.0);
        let least = Duration::from_millis(400);
        let most = (left / 3).min(Duration::from_secs(4)).max(least);
        let expected = least + (most - least).mul_f64(0.5 + 0.5 * draw);
        assert_eq!(policy.retry_after_queue(left, None, draw), expected);
    }
}

/// Guards against what was learned while scheduling was on and stays in force.
#[test]
fn an_estimate_is_forgotten_when_scheduling_is_turned_off() {
    let mut queue = WaitingQueue::default();
    queue.set_scheduling(true);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for n in 0..10 {
        let now = Duration::from_millis(100 * n);
        let waiting = WaitingGeneration {
            service: SmolStr::new("one"),
            ..generation(&mut rng, now)
        };
        let id = queue.enqueue(waiting);
        queue.record_no_room(now, id);
        queue.record_grant(now + Duration::from_millis(50), id);
        queue.remove(now + Duration::from_millis(50), id);
    }
    let now = Duration::from_secs(1);
    assert!(queue.drain_time(now, "one").is_some());
    queue.set_scheduling(false);
    assert_eq!(queue.drain_time(now, "one"), None);
}
