//! Servers that fail, are slow or silent while their registration says that they are well.

mod common;

use std::time::Duration;

use common::{entry, pick};
use jacinthlever_routing::{CallOutcome, ServerPool};

const NOW: Duration = Duration::from_secs(10);

fn answered(ms: u64) -> CallOutcome {
    let took = Duration::from_millis(ms);
    CallOutcome::Answered { latency: took }
}

#[test]
fn a_server_that_fails_its_calls_goes_last() {
    let mut pool = ServerPool::default();
    let grey = pool.register(entry("grey", "a", None));
    let well = pool.register(entry("well", "b", None));
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(grey));
    for _ in 0..4 {
        pool.record_outcome(NOW, grey, CallOutcome::ServerError);
        pool.record_outcome(NOW, well, answered(15));
    }
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(well));
}

#[test]
fn a_failure_that_all_servers_share_moves_nothing() {
    let mut pool = ServerPool::default();
    let near = pool.register(entry("near", "a", None));
    let far = pool.register(entry("far", "b", None));
    for _ in 0..20 {
        pool.record_outcome(NOW, near, CallOutcome::ServerError);
        pool.record_outcome(NOW, far, CallOutcome::ServerError);
    }
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(near));
}

#[test]
fn a_silent_server_is_tried_again_after_a_pause() {
    let mut pool = ServerPool::default();
    let silent = pool.register(entry("silent", "a", None));
    let well = pool.register(entry("well", "b", None));
    pool.record_outcome(NOW, silent, CallOutcome::Unresponsive);
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(well));
    let later = NOW + Duration::from_secs(20);
    assert_eq!(pool.pick_plain(&pick(later, &[])), Some(silent));
}

#[test]
fn a_silent_server_is_used_if_it_is_the_only_one() {
    let mut pool = ServerPool::default();
    let only = pool.register(entry("only", "a", None));
    pool.record_outcome(NOW, only, CallOutcome::Unresponsive);
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(only));
}

#[test]
fn a_slow_server_goes_last() {
    let mut pool = ServerPool::default();
    let slow = pool.register(entry("slow", "a", None));
    let well = pool.register(entry("well", "b", None));
    for _ in 0..30 {
        pool.record_outcome(NOW, slow, answered(120));
        pool.record_outcome(NOW, well, answered(15));
    }
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(well));
}

#[test]
fn a_server_that_is_full_fails_nothing() {
    let mut pool = ServerPool::default();
    let full = pool.register(entry("full", "a", None));
    for _ in 0..10 {
        pool.record_outcome(NOW, full, CallOutcome::NoCapacity);
    }
    assert_eq!(pool.get(full).map(|s| s.failure_rate(NOW)), Some(0.0));
}
