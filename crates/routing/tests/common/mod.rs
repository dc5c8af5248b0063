//! Fixtures of backend servers for tests; not every test file uses all of them.
#![allow(dead_code)]

use std::time::Duration;

use jacinthlever_routing::{
    EngineRole, EngineSpec, PickParams, ServerEntry, ServerKey, ServerState,
};
use smol_str::SmolStr;

/// Memory of an engine in tokens.
pub const MEMORY: u64 = 40_000;

/// Returns the registration of a ready server of the service in a zone.
pub fn entry(id: &str, zone: &str, role: Option<EngineRole>) -> ServerEntry {
    ServerEntry {
        id: SmolStr::new(id),
        service: SmolStr::new("service"),
        address: SmolStr::new("127.0.0.1:1"),
        zone: SmolStr::new(zone),
        version: "v1".into(),
        slots: 6,
        state: ServerState::Ready,
        role,
        started_ms: Some(1),
        cold_for: Duration::ZERO,
    }
}

/// Returns the capacity of the engines of the service.
pub fn spec() -> EngineSpec {
    EngineSpec {
        slots: 64,
        kv_tokens: MEMORY,
        tokens_per_event: 15,
        role_change_time: Duration::from_secs(6),
        reservation_ttl: Duration::from_secs(2),
    }
}

/// Returns the parameters of a pick for a request from zone `a`.
pub fn pick(now: Duration, avoid: &[ServerKey]) -> PickParams<'_> {
    PickParams {
        now,
        service: "service",
        zone: "a",
        version: None,
        avoid,
    }
}
