//! Checks the token bucket against an exact log of the used tokens.

use std::time::Duration;

use jacinthlever_core::{Bucket, BucketRecord, Limiter, PartitionId, PartitionRecord};
use jacinthlever_types::{CustomerId, CustomerRow, InstanceId, RequestId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// An operation on a bucket; each follows a pause.
#[derive(Clone, Debug)]
enum Op {
    Charge(u64),
    /// Settles one of the pending charges with a share of its tokens, in percent.
    Settle(usize, u64),
    SetLimits(f64, f64),
    HandOver,
}

fn ops() -> impl Strategy<Value = Vec<(u64, Op)>> {
    let op = prop_oneof![
        4 => (1u64..400).prop_map(Op::Charge),
        4 => (any::<usize>(), 0u64..=100).prop_map(|(which, share)| Op::Settle(which, share)),
        1 => (1.0f64..500.0, 1.0f64..500.0).prop_map(|(rate, burst)| Op::SetLimits(rate, burst)),
        1 => Just(Op::HandOver),
    ];
    prop::collection::vec((0u64..1_500, op), 1..120)
}

/// One charge in the exact log.
#[derive(Clone, Copy, Debug)]
struct Logged {
    at: Duration,
    tokens: f64,
}

/// Limits that apply from a time on.
#[derive(Clone, Copy, Debug)]
struct LimitPeriod {
    from: Duration,
    rate: f64,
    burst: f64,
}

/// Checks every window that begins and ends with a charge; describes the first overrun.
fn find_overrun(log: &[Logged], limits: &[LimitPeriod]) -> Option<String> {
    for (first, start) in log.iter().enumerate() {
        let mut used = 0.0;
        for end in &log[first..] {
            used += end.tokens;
            let allowed = allowed(limits, start.at, end.at);
            if used > allowed + 1e-3 {
                return Some(format!(
                    "{used} tokens used, {allowed} allowed from {:?} to {:?}",
                    start.at, end.at
                ));
            }
        }
    }
    None
}

/// Returns the tokens that a window allows: the largest burst that applied in it, plus every rate
/// that applied times the length for which it did.
fn allowed(limits: &[LimitPeriod], start: Duration, end: Duration) -> f64 {
    let mut total = 0.0;
    let mut burst = 0.0f64;
    for (number, period) in limits.iter().enumerate() {
        let until = limits
            .get(number + 1)
            .map_or(end, |next| next.from.min(end));
        let from = period.from.max(start);
        if period.from <= end && until >= start {
            burst = burst.max(period.burst);
            total += period.rate * until.saturating_sub(from).as_secs_f64();
        }
    }
    burst + total
}

fn id(number: u64) -> RequestId {
    RequestId {
        instance: InstanceId::new("i"),
        incarnation: 1,
        number,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// No window of settled charges exceeds burst plus rate times length, regardless of refunds,
    /// edits and handovers in it.
    #[test]
    fn no_window_exceeds_burst_and_rate(ops in ops()) {
        let mut row = CustomerRow { rate: 100.0, burst: 300.0, weight: 1.0 };
        let mut now = Duration::ZERO;
        let mut bucket = Bucket::full(&row, now);
        let mut limits = vec![LimitPeriod { from: now, rate: row.rate, burst: row.burst }];
        let mut log: Vec<Logged> = Vec::new();
        let mut pending: Vec<(u64, usize)> = Vec::new();
        for (number, (pause, op)) in ops.into_iter().enumerate() {
            now += Duration::from_millis(pause);
            match op {
                Op::Charge(tokens) => {
                    let number = number as u64;
                    if bucket.charge(&id(number), tokens, now).is_ok() {
                        pending.push((number, log.len()));
                        log.push(Logged { at: now, tokens: tokens as f64 });
                    }
                }
                Op::Settle(which, share) if !pending.is_empty() => {
                    let (number, entry) = pending.remove(which % pending.len());
                    let used = (log[entry].tokens as u64) * share / 100;
                    bucket.settle(&id(number), used, now);
                    log[entry].tokens = used as f64;
                }
                Op::Settle(..) => {}
                Op::SetLimits(rate, burst) => {
                    row = CustomerRow { rate, burst, weight: 1.0 };
                    bucket.set_limits(&row, now);
                    limits.push(LimitPeriod { from: now, rate, burst });
                }
                Op::HandOver => {
                    let text = serde_json::to_string(&bucket.to_record(now)).unwrap();
                    let record: BucketRecord = serde_json::from_str(&text).unwrap();
                    bucket = Bucket::from_record(&row, record, now);
                }
            }
        }
        prop_assert_eq!(find_overrun(&log, &limits), None);
    }

    /// A refund is available in full: with nothing pending, the bucket has the same level as one
    /// that was charged only the used tokens, or is full.
    #[test]
    fn a_single_refund_is_exact(charge in 1u64..300, share in 0u64..=100, pause in 0u64..5_000) {
        let row = CustomerRow { rate: 100.0, burst: 300.0, weight: 1.0 };
        let later = Duration::from_millis(pause);
        let used = charge * share / 100;
        let mut settled = Bucket::full(&row, Duration::ZERO);
        settled.charge(&id(1), charge, Duration::ZERO).unwrap();
        settled.settle(&id(1), used, later);
        let mut exact = Bucket::full(&row, Duration::ZERO);
        exact.charge(&id(1), used, Duration::ZERO).unwrap();
        prop_assert!((settled.level(later) - exact.level(later)).abs() < 1e-6);
    }
}

#[test]
fn a_charge_over_the_burst_is_never_possible() {
    let row = CustomerRow {
        rate: 100.0,
        burst: 300.0,
        weight: 1.0,
    };
    let mut bucket = Bucket::full(&row, Duration::ZERO);
    assert_eq!(bucket.charge(&id(1), 301, Duration::ZERO), Err(None));
    assert_eq!(bucket.charge(&id(2), 300, Duration::ZERO), Ok(true));
    let wait = bucket.charge(&id(3), 50, Duration::ZERO);
    assert_eq!(wait, Err(Some(Duration::from_millis(500))));
}

#[test]
fn a_repeated_charge_counts_once() {
    let row = CustomerRow {
        rate: 100.0,
        burst: 300.0,
        weight: 1.0,
    };
    let mut bucket = Bucket::full(&row, Duration::ZERO);
    assert_eq!(bucket.charge(&id(1), 200, Duration::ZERO), Ok(true));
    assert_eq!(bucket.charge(&id(1), 200, Duration::ZERO), Ok(false));
    assert_eq!(bucket.level(Duration::ZERO), 100.0);
}

#[test]
fn an_unclean_takeover_starts_with_an_empty_bucket() {
    let customer = CustomerId::new("north");
    let row = CustomerRow {
        rate: 100.0,
        burst: 300.0,
        weight: 1.0,
    };
    let mut limiter = Limiter::default();
    let acquired_at = Duration::from_secs(10);
    limiter.acquire(
        PartitionId::of(&customer),
        PartitionRecord::default(),
        true,
        acquired_at,
    );
    assert_eq!(limiter.level(&customer, &row, acquired_at), Some(0.0));
    assert_eq!(
        limiter.level(&customer, &row, acquired_at + Duration::from_secs(1)),
        Some(100.0)
    );
}

#[test]
fn a_release_hands_over_levels_and_pending_charges() {
    let customer = CustomerId::new("north");
    let row = CustomerRow {
        rate: 100.0,
        burst: 300.0,
        weight: 1.0,
    };
    let partition = PartitionId::of(&customer);
    let now = Duration::from_secs(1);
    let mut old_owner = Limiter::default();
    old_owner.acquire(partition, PartitionRecord::default(), false, Duration::ZERO);
    old_owner.charge(&customer, &row, &id(1), 250, now).unwrap();
    let buckets = old_owner.start_release(partition, [(&customer, &row)], now);
    assert!(
        old_owner.charge(&customer, &row, &id(2), 10, now).is_err(),
        "the old owner stops before it hands over"
    );
    let mut new_owner = Limiter::default();
    new_owner.acquire(
        partition,
        PartitionRecord {
            buckets,
            ..PartitionRecord::default()
        },
        false,
        now,
    );
    assert_eq!(new_owner.level(&customer, &row, now), Some(50.0));
    new_owner.settle(&customer, &id(1), 100, now);
    assert_eq!(new_owner.level(&customer, &row, now), Some(200.0));
}
