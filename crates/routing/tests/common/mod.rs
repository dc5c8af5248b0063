//! Backend servers for tests; not every test file uses all of them.
#![allow(dead_code)]

use std::time::Duration;

use jacinthlever_routing::{EngineRole, EngineSpec, Pick, ServerEntry, ServerKey, ServerState};
use smol_str::SmolStr;

/// Memory of an engine in tokens.
pub const MEMORY: u64 = 40_000;

/// Returns a ready server of a service in a zone.
pub fn entry(id: &str, zone: &str, stage: Option<EngineRole>) -> ServerEntry {
    ServerEntry {
        id: SmolStr::new(id),
        service: SmolStr::new("service"),
        address: SmolStr::new("127.0.0.1:1"),
        zone: SmolStr::new(zone),
        slots: 6,
        state: ServerState::Ready,
        role: stage,
        started_ms: Some(1),
    }
}

/// Returns what engines of the service can hold.
pub fn spec() -> EngineSpec {
    EngineSpec {
        slots: 64,
        kv_tokens: MEMORY,
        tokens_per_event: 15,
        role_switch: Duration::from_secs(6),
        reservation_ttl: Duration::from_secs(2),
    }
}

/// Returns a pick for work of zone `a`.
pub fn pick(now: Duration, avoid: &[ServerKey]) -> Pick<'_> {
    Pick {
        now,
        service: "service",
        zone: "a",
        avoid,
    }
}
