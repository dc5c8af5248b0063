//! Picking engines by memory and prefill time, and planning their roles.

mod common;

use std::time::Duration;

use common::{MEMORY, entry, pick, spec};
use jacinthlever_routing::{
    CallOutcome, EngineProfile, EngineRole, RolePlanner, ServerKey, ServerPool,
};
use smol_str::SmolStr;

const NOW: Duration = Duration::from_secs(10);

const DECODE: Option<EngineRole> = Some(EngineRole::Decode);

const PREFILL: Option<EngineRole> = Some(EngineRole::Prefill);

fn candidates(pool: &ServerPool, tokens: u64) -> Vec<ServerKey> {
    pool.decode_candidates(&pick(NOW, &[]), MEMORY, tokens, || 0.0)
}

#[test]
fn an_engine_without_capacity_is_no_candidate() {
    let mut pool = ServerPool::default();
    let full = pool.register(entry("full", "a", DECODE));
    let free = pool.register(entry("free", "b", DECODE));
    if let Some(server) = pool.get_mut(full) {
        server.own_tokens = MEMORY - 1_000;
    }
    assert_eq!(candidates(&pool, 4_000), [free]);
}

#[test]
fn reservations_of_peers_and_other_zones_count_until_they_expire() {
    let mut pool = ServerPool::default();
    let engine = pool.register(entry("engine", "a", DECODE));
    let reserved = [(SmolStr::new("engine"), MEMORY / 2)];
    pool.set_peer_reserved(NOW, &SmolStr::new("peer"), &reserved);
    pool.set_zone_reserved(NOW, &SmolStr::new("b"), &reserved);
    assert_eq!(candidates(&pool, 4_000), []);
    let later = NOW + Duration::from_secs(2);
    let fresh = pool.decode_candidates(&pick(later, &[]), MEMORY, 4_000, || 0.0);
    assert_eq!(fresh, [engine]);
}

#[test]
fn memory_released_by_a_peer_is_available_again() {
    let mut pool = ServerPool::default();
    let engine = pool.register(entry("engine", "a", DECODE));
    let peer = SmolStr::new("peer");
    pool.set_peer_reserved(NOW, &peer, &[(SmolStr::new("engine"), MEMORY)]);
    assert_eq!(candidates(&pool, 4_000), []);
    pool.set_peer_reserved(NOW, &peer, &[]);
    assert_eq!(candidates(&pool, 4_000), [engine]);
}

#[test]
fn engines_of_the_same_zone_are_preferred_until_they_are_clearly_fuller() {
    let mut pool = ServerPool::default();
    let far = pool.register(entry("far", "b", DECODE));
    let near = pool.register(entry("near", "a", DECODE));
    assert_eq!(candidates(&pool, 4_000), [near, far]);
    if let Some(server) = pool.get_mut(near) {
        server.own_tokens = MEMORY / 2;
    }
    assert_eq!(candidates(&pool, 4_000), [far, near]);
}

#[test]
fn a_prompt_goes_to_the_engine_that_completes_its_prefill_first() {
    let mut pool = ServerPool::default();
    let busy = pool.register(entry("busy", "a", PREFILL));
    let idle = pool.register(entry("idle", "b", PREFILL));
    if let Some(server) = pool.get_mut(busy) {
        server.own_tokens = 12_000;
    }
    let picked = pool.pick_prefill(&pick(NOW, &[]), MEMORY, 3_000, || 0.0);
    assert_eq!(picked.map(|(key, _)| key), Some(idle));
}

#[test]
fn an_engine_with_slow_prefills_is_avoided() {
    let mut pool = ServerPool::default();
    let slow = pool.register(entry("slow", "a", PREFILL));
    let typical = pool.register(entry("typical", "b", PREFILL));
    for _ in 0..20 {
        if let Some(server) = pool.get_mut(slow) {
            server.record_prefill(3_000, Duration::from_millis(800));
        }
    }
    let picked = pool.pick_prefill(&pick(NOW, &[]), MEMORY, 3_000, || 0.0);
    assert_eq!(picked.map(|(key, _)| key), Some(typical));
}

fn engines(prefill: usize, decode: usize) -> ServerPool {
    let mut pool = ServerPool::default();
    let zones = ["a", "b", "c"];
    for n in 0..prefill {
        pool.register(entry(&format!("p{n}"), zones[n % 3], PREFILL));
    }
    for n in 0..decode {
        pool.register(entry(&format!("d{n}"), zones[n % 3], DECODE));
    }
    pool
}

fn planner() -> RolePlanner {
    RolePlanner {
        profile: EngineProfile {
            prompt_tokens: 3_200.0,
            output_tokens: 1_050.0,
            prefill_tokens_per_ms: 30.0,
            ms_per_token: 3.5,
        },
    }
}

#[test]
fn excess_prefill_engines_become_decode_engines_before_traffic() {
    let pool = engines(6, 6);
    let changes = planner().changes(NOW, &pool, "service", &spec(), false);
    assert_eq!(changes.len(), 2);
    assert!(changes.iter().all(|c| c.role == EngineRole::Decode));
}

#[test]
fn a_small_deviation_changes_no_role_under_traffic() {
    let pool = engines(5, 7);
    let changes = planner().changes(NOW, &pool, "service", &spec(), true);
    assert!(changes.is_empty());
}

#[test]
fn one_engine_at_a_time_changes_its_role_under_traffic() {
    let pool = engines(1, 11);
    let changes = planner().changes(NOW, &pool, "service", &spec(), true);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].role, EngineRole::Prefill);
}

#[test]
fn a_service_keeps_an_engine_of_each_role() {
    for total in 2..40 {
        let target = planner().profile.prefill_engines(&spec(), total);
        assert!((1..total).contains(&target), "{target} of {total}");
    }
}

/// A burst of prompts fills the memory of the prefill engines, which then refuse further prompts.
#[test]
fn a_prefill_engine_without_memory_gets_no_prompt() {
    let mut pool = ServerPool::default();
    let full = pool.register(entry("full", "a", PREFILL));
    let other = pool.register(entry("other", "b", PREFILL));
    for (key, tokens) in [(full, MEMORY - 1_000), (other, MEMORY - 9_000)] {
        if let Some(server) = pool.get_mut(key) {
            server.own_tokens = tokens;
        }
    }
    let picked = |pool: &ServerPool, tokens| {
        let picked = pool.pick_prefill(&pick(NOW, &[]), MEMORY, tokens, || 0.0);
        picked.map(|(key, _)| key)
    };
    assert_eq!(picked(&pool, 3_000), Some(other));
    assert_eq!(picked(&pool, 9_500), None);
    pool.record_outcome(NOW, other, CallOutcome::NoCapacity);
    assert_eq!(picked(&pool, 3_000), None);
    let soon = NOW + Duration::from_millis(100);
    let picked = pool.pick_prefill(&pick(soon, &[]), MEMORY, 3_000, || 0.0);
    assert_eq!(picked.map(|(key, _)| key), Some(other));
}
