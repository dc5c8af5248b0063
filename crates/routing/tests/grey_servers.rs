//! Servers that fail, are slow or silent while their registration says that they are well.

mod common;

use std::time::Duration;

use common::{entry, pick};
use jacinthlever_routing::{Outcome, ServerPool};

const NOW: Duration = Duration::from_secs(10);

fn answered(ms: u64) -> Outcome {
    let took = Duration::from_millis(ms);
    Outcome::Answered { took }
}

#[test]
fn a_server_that_fails_its_calls_goes_last() {
    let mut pool = ServerPool::default();
    let grey = pool.registered(entry("grey", "a", None));
    let well = pool.registered(entry("well", "b", None));
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(grey));
    for _ in 0..4 {
        pool.record(NOW, grey, Outcome::Failed);
        pool.record(NOW, well, answered(15));
    }
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(well));
}

#[test]
fn a_failure_that_all_servers_share_moves_nothing() {
    let mut pool = ServerPool::default();
    let near = pool.registered(entry("near", "a", None));
    let far = pool.registered(entry("far", "b", None));
    for _ in 0..20 {
        pool.record(NOW, near, Outcome::Failed);
        pool.record(NOW, far, Outcome::Failed);
    }
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(near));
}

#[test]
fn a_silent_server_is_tried_again_after_a_pause() {
    let mut pool = ServerPool::default();
    let silent = pool.registered(entry("silent", "a", None));
    let well = pool.registered(entry("well", "b", None));
    pool.record(NOW, silent, Outcome::Silent);
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(well));
    let later = NOW + Duration::from_secs(20);
    assert_eq!(pool.pick_plain(&pick(later, &[])), Some(silent));
}

#[test]
fn a_silent_server_is_used_if_it_is_the_only_one() {
    let mut pool = ServerPool::default();
    let only = pool.registered(entry("only", "a", None));
    pool.record(NOW, only, Outcome::Silent);
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(only));
}

#[test]
fn a_slow_server_goes_last() {
    let mut pool = ServerPool::default();
    let slow = pool.registered(entry("slow", "a", None));
    let well = pool.registered(entry("well", "b", None));
    for _ in 0..30 {
        pool.record(NOW, slow, answered(120));
        pool.record(NOW, well, answered(15));
    }
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(well));
}

#[test]
fn a_server_that_is_full_fails_nothing() {
    let mut pool = ServerPool::default();
    let full = pool.registered(entry("full", "a", None));
    for _ in 0..10 {
        pool.record(NOW, full, Outcome::Full);
    }
    assert_eq!(pool.get(full).map(|s| s.failure_rate(NOW)), Some(0.0));
}
