//! The account of an instance's memory: its bounds, and what is shed when it is short.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_routing::{HoldingId, HoldingUse, MemoryLedger, SMALL_BYTES};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 200;
const CAPACITY: usize = 8 * 1024 * 1024;
const LARGEST: usize = CAPACITY / 2;
const SEGMENT: usize = 16 * 1024;
const MS: Duration = Duration::from_millis(1);

fn ledger() -> MemoryLedger {
    let mut ledger = MemoryLedger::default();
    ledger.set_capacity(CAPACITY);
    ledger
}

/// Adds `bytes` in segments; returns what was shed for them, or `None` if they were refused.
fn fill(ledger: &mut MemoryLedger, now: Duration, id: HoldingId, bytes: usize) -> Option<usize> {
    let mut count = 0;
    for _ in 0..bytes.div_ceil(SEGMENT) {
        let (shed, grown) = ledger.grow(now, id, SEGMENT);
        ledger.record_progress(now, id, SEGMENT);
        count += shed.len();
        grown.ok()?;
    }
    Some(count)
}

/// Guards against bytes that are lost from the account or counted twice, and against a sum over the capacity.
#[test]
fn the_sum_of_all_holdings_stays_within_the_capacity() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut ledger = ledger();
        let mut model: BTreeMap<HoldingId, (usize, HoldingUse)> = BTreeMap::new();
        let mut now = Duration::ZERO;
        for _ in 0..2000 {
            now += MS * rng.random_range(0..40);
            let nth = rng.random_range(0..model.len().max(1));
            let id = model.keys().nth(nth).copied();
            match (rng.random_range(0..10), id) {
                (0 | 1, _) | (_, None) => {
                    let announced = rng.random_bool(0.5).then(|| rng.random_range(0..LARGEST));
                    let id = ledger.open(now, HoldingUse::Receiving, announced);
                    model.insert(id, (0, HoldingUse::Receiving));
                }
                (2, Some(id)) => {
                    ledger.release(id);
                    model.remove(&id);
                }
                (3, Some(id)) => {
                    let usage =
                        [HoldingUse::Processing, HoldingUse::Sending][rng.random_range(0..2_usize)];
                    ledger.set_use(now, id, usage);
                    model.insert(id, (model[&id].0, usage));
                }
                (_, Some(id)) => {
                    let bytes = rng.random_range(1..=256 * 1024);
                    ledger.record_progress(now, id, bytes);
                    let (shed, grown) = ledger.grow(now, id, bytes);
                    for other in shed {
                        let (_, usage) = model.remove(&other).expect("shed twice");
                        assert_ne!(usage, HoldingUse::Processing, "seed {seed}");
                        assert_ne!(other, id, "seed {seed}");
                    }
                    if grown.is_ok() {
                        model.entry(id).and_modify(|(held, _)| *held += bytes);
                    }
                }
            }
            let sum: usize = model.values().map(|(held, _)| held).sum();
            assert_eq!(ledger.held(), sum, "seed {seed}");
            assert!(sum <= CAPACITY, "seed {seed}");
            let large = model.values().map(|(held, _)| *held);
            let large: usize = large.filter(|held| *held > SMALL_BYTES).sum();
            assert!(large <= CAPACITY - CAPACITY / 8, "seed {seed}");
        }
        model.keys().for_each(|id| ledger.release(*id));
        assert_eq!(ledger.held(), 0, "seed {seed}");
    }
}

/// Guards against ordinary requests that are refused, or shed, since large bodies use up the memory. Some
/// bodies of the crowd have not become large yet.
#[test]
fn small_requests_have_memory_while_large_bodies_crowd() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut ledger = ledger();
        for n in 0..300 {
            let now = MS * n;
            let size = rng.random_range(SEGMENT..LARGEST);
            let announced = rng.random_bool(0.5).then_some(LARGEST);
            let id = ledger.open(now, HoldingUse::Receiving, announced);
            let is_processed = size > SMALL_BYTES && rng.random_bool(0.5);
            match fill(&mut ledger, now, id, size) {
                Some(_) if is_processed => ledger.set_use(now, id, HoldingUse::Processing),
                Some(_) => {}
                None => ledger.release(id),
            }
            let size = rng.random_range(1..=SMALL_BYTES - SEGMENT);
            let small = ledger.open(now, HoldingUse::Receiving, Some(size));
            assert!(fill(&mut ledger, now, small, size).is_some(), "seed {seed}");
            ledger.release(small);
        }
    }
}

/// Guards against a single request of the largest size that is refused.
#[test]
fn one_body_of_the_largest_size_fits() {
    let mut ledger = ledger();
    let id = ledger.open(MS, HoldingUse::Receiving, None);
    assert_eq!(fill(&mut ledger, MS, id, LARGEST), Some(0));
}

/// Guards against clients that stop short of the end and keep the memory.
#[test]
fn the_body_that_is_stalled_for_longest_is_shed_first() {
    let mut ledger = ledger();
    let size = CAPACITY / 4;
    let [first, second, third] = [1, 2, 3].map(|n| {
        let id = ledger.open(MS * n, HoldingUse::Receiving, None);
        assert_eq!(fill(&mut ledger, MS * n, id, size), Some(0));
        id
    });
    // Single bytes are no progress; only the first body makes some.
    let now = MS * 500;
    ledger.record_progress(now, first, SEGMENT);
    ledger.record_progress(now, second, 1);
    let id = ledger.open(now, HoldingUse::Receiving, None);
    let mut shed = Vec::new();
    while shed.len() < 2 {
        let (more, grown) = ledger.grow(now, id, SEGMENT);
        assert_eq!(grown, Ok(()));
        shed.extend(more);
    }
    assert_eq!(shed, [second, third]);
}

/// Guards against bodies that all fail together: the older ones come to their end.
#[test]
fn the_newest_body_gives_way_if_none_is_stalled() {
    let mut ledger = ledger();
    let ids = [1, 2].map(|n| ledger.open(MS * n, HoldingUse::Receiving, None));
    let newest = ledger.open(MS * 3, HoldingUse::Receiving, None);
    for id in ids {
        assert_eq!(fill(&mut ledger, MS * 4, id, CAPACITY / 4), Some(0));
    }
    assert_eq!(fill(&mut ledger, MS * 5, newest, CAPACITY / 2), None);
    assert_eq!(fill(&mut ledger, MS * 6, ids[0], CAPACITY / 4), Some(1));
    assert!(ledger.grow(MS * 7, newest, 1).1.is_err());
}

/// Guards against answers that are broken off while their callers read them.
#[test]
fn an_answer_is_shed_only_if_its_caller_does_not_read_it() {
    let mut ledger = ledger();
    let answer = ledger.open(MS, HoldingUse::Processing, None);
    assert_eq!(fill(&mut ledger, MS, answer, CAPACITY / 2), Some(0));
    ledger.set_use(MS, answer, HoldingUse::Sending);
    let id = ledger.open(MS * 2, HoldingUse::Receiving, None);
    let now = MS * 800;
    assert_eq!(fill(&mut ledger, now, id, CAPACITY / 2), None);
    let now = MS * 1800;
    ledger.record_progress(now, id, SEGMENT);
    assert_eq!(ledger.grow(now, id, SEGMENT).0, [answer]);
}
