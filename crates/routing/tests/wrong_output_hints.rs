//! Generations whose hints of the output are right in the median and often far off, against engine memory
//! that is reserved by them.

use std::time::Duration;

use jacinthlever_routing::OutputEstimates;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ROUTE: &str = "answers";
const CUSTOMER: &str = "crews";
const MAX_OUTPUT: u64 = 4000;

fn learn(estimates: &mut OutputEstimates, customer: &str, hint: u64, outputs: &[u64]) {
    for output in outputs {
        estimates.record(Duration::ZERO, ROUTE, customer, hint, *output);
    }
}

fn expected(estimates: &OutputEstimates, customer: &str, hint: u64) -> u64 {
    estimates.expected(ROUTE, customer, Some(hint), MAX_OUTPUT)
}

/// Guards against a change for deployments and customers without samples.
#[test]
fn without_samples_the_fixed_margin_applies() {
    let mut estimates = OutputEstimates::default();
    learn(&mut estimates, CUSTOMER, 70, &[70; 7]);
    for hint in [None, Some(0), Some(1), Some(70), Some(3500), Some(u64::MAX)] {
        let unlearned = OutputEstimates::unlearned(hint, MAX_OUTPUT);
        let margin = |hint: u64| ((hint as f64 * 1.4) as u64).min(MAX_OUTPUT);
        assert_eq!(unlearned, hint.map_or(MAX_OUTPUT, margin));
        let learned = estimates.expected(ROUTE, CUSTOMER, hint, MAX_OUTPUT);
        assert_eq!(learned, unlearned);
    }
}

/// Guards against reservations below the hint or without bound, and against hints of one customer that
/// change the reservations of another one.
#[test]
fn the_learned_margin_has_bounds_and_belongs_to_one_customer() {
    let mut estimates = OutputEstimates::default();
    learn(&mut estimates, "exact", 70, &[70; 40]);
    learn(&mut estimates, "short", 70, &[7; 40]);
    learn(&mut estimates, "long", 70, &[700; 40]);
    assert_eq!(expected(&estimates, "exact", 70), 70);
    assert_eq!(expected(&estimates, "short", 70), 70);
    assert_eq!(expected(&estimates, "long", 70), 140);
    assert_eq!(expected(&estimates, "long", 3000), 4000);
    let unlearned = OutputEstimates::unlearned(Some(700), MAX_OUTPUT);
    assert_eq!(expected(&estimates, "long", 700), unlearned);
    assert_eq!(estimates.expected(ROUTE, "long", Some(70), 100), 100);
    assert_eq!(estimates.expected("other", "long", Some(70), 1000), 98);
}

/// Guards against a caller whose hints change and are reserved as before.
#[test]
fn recent_outputs_replace_earlier_ones() {
    let mut estimates = OutputEstimates::default();
    learn(&mut estimates, CUSTOMER, 70, &[140; 500]);
    learn(&mut estimates, CUSTOMER, 70, &[70; 32]);
    assert_eq!(expected(&estimates, CUSTOMER, 70), 70);
}

/// Guards against memory that grows with the names in requests.
#[test]
fn groups_that_are_not_used_are_dropped() {
    let mut estimates = OutputEstimates::default();
    for i in 0..3000_u64 {
        let (at, customer) = (Duration::from_secs(i), format!("customer-{i}"));
        for _ in 0..10 {
            estimates.record(at, ROUTE, &customer, 70, 70);
        }
    }
    assert_eq!(expected(&estimates, "customer-2999", 70), 70);
    assert_eq!(expected(&estimates, "customer-10", 70), 98);
}

/// Guards against a factor that reserves more than the fixed margin while it covers fewer outputs: the
/// hints are right in the median, with a narrow or a wide spread, and one in twenty is ten times off.
#[test]
fn hints_that_are_often_off_are_reserved_by_their_spread() {
    for (spread, seed) in [(0.05, 1), (0.05, 2), (0.8, 3), (0.8, 4)] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut estimates = OutputEstimates::default();
        let (mut covered, mut reserved, mut fixed) = (0, 0, 0);
        for i in 0..2000 {
            let hint = rng.random_range(64..128_u64);
            let ratio = match rng.random::<f64>() {
                draw if draw < 0.025 => 0.1,
                draw if draw < 0.05 => 10.0,
                _ => 1.0 + spread * (2.0 * rng.random::<f64>() - 1.0),
            };
            let output = (hint as f64 * ratio) as u64;
            if i >= 100 {
                let estimate = expected(&estimates, CUSTOMER, hint);
                covered += usize::from(output <= estimate);
                reserved += estimate;
                fixed += OutputEstimates::unlearned(Some(hint), MAX_OUTPUT);
            }
            estimates.record(Duration::ZERO, ROUTE, CUSTOMER, hint, output);
        }
        assert!((1330..1710).contains(&covered), "{spread}: {covered}");
        let ratio = reserved as f64 / fixed as f64;
        let bounds = if spread < 0.1 { 0.7..0.8 } else { 0.9..1.1 };
        assert!(bounds.contains(&ratio), "{spread}: {ratio}");
    }
}
