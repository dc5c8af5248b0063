//! How many engines of a service should read prompts, and which engine changes its stage.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::{EngineRole, EngineSpec, ServerKey, ServerPool};

/// Prefill engines beyond what their mean work needs, since prompts come in clumps.
const PREFILL_HEADROOM: f64 = 1.45;

/// Part of all engines by which the mix may be off before one is changed while traffic runs.
const TOLERANCE: f64 = 0.06;

/// What a usual generation asks of engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// Tokens of the prompt.
    pub prompt_tokens: f64,
    /// Tokens of the answer.
    pub output_tokens: f64,
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds between two tokens of an answer.
    pub ms_per_token: f64,
}

impl EngineProfile {
    /// Time of a prefill engine that a generation takes, in milliseconds.
    pub fn prefill_ms(&self) -> f64 {
        self.prompt_tokens / self.prefill_tokens_per_ms
    }

    /// Time of a whole decode engine that a generation takes, in milliseconds: its part of the
    /// memory or of the slots, whichever is larger, for as long as it runs.
    pub fn decode_ms(&self, spec: &EngineSpec) -> f64 {
        let tokens = self.prompt_tokens + self.output_tokens / 2.0;
        let of_memory = tokens / spec.kv_tokens.max(1) as f64;
        let of_slots = 1.0 / f64::from(spec.slots.max(1));
        of_memory.max(of_slots) * self.output_tokens * self.ms_per_token
    }

    /// Number of prefill engines that serves the most generations with `engines` in all.
    pub fn prefill_engines(&self, spec: &EngineSpec, engines: usize) -> usize {
        let prefill = self.prefill_ms() * PREFILL_HEADROOM;
        let part = prefill / (prefill + self.decode_ms(spec));
        let wanted = (engines as f64 * part).round() as usize;
        wanted.clamp(1, engines.saturating_sub(1).max(1))
    }
}

/// A change of one engine's stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// The engine.
    pub server: ServerKey,
    /// Its new stage.
    pub role: EngineRole,
}

/// Plans changes of stages.
#[derive(Clone, Copy, Debug)]
pub struct RolePlanner {
    /// What a usual generation asks of engines.
    pub profile: EngineProfile,
}

impl RolePlanner {
    /// Returns the changes that a service needs.
    ///
    /// Without traffic the mix is made exact. With traffic one engine is changed, and only if the
    /// mix is clearly off, since a changing engine serves nobody for a while.
    pub fn changes(
        &self,
        now: Duration,
        pool: &ServerPool,
        service: &str,
        spec: &EngineSpec,
        has_traffic: bool,
    ) -> Vec<RoleChange> {
        let engines = pool.available(service).count();
        let prefill = stage_keys(pool, service, EngineRole::Prefill);
        if engines < 2 || prefill.len() == engines {
            return Vec::new();
        }
        let wanted = self.profile.prefill_engines(spec, engines);
        let off = wanted.abs_diff(prefill.len());
        let allowed = (engines as f64 * TOLERANCE).ceil() as usize;
        if off == 0 || (has_traffic && off <= allowed) {
            return Vec::new();
        }
        let most = if has_traffic { 1 } else { off };
        let stage = match wanted < prefill.len() {
            true => EngineRole::Decode,
            false => EngineRole::Prefill,
        };
        pick(now, pool, service, stage, most)
    }
}

fn stage_keys(pool: &ServerPool, service: &str, stage: EngineRole) -> Vec<ServerKey> {
    pool.available(service)
        .filter(|(_, s)| s.entry.role == Some(stage))
        .map(|(key, _)| key)
        .collect()
}

/// Picks engines that change to `stage`: each time one of the zone that has the most others, and
/// there the one with the least work.
fn pick(
    now: Duration,
    pool: &ServerPool,
    service: &str,
    stage: EngineRole,
    most: usize,
) -> Vec<RoleChange> {
    let mut zones: BTreeMap<&SmolStr, Vec<ServerKey>> = BTreeMap::new();
    for (key, server) in pool.available(service) {
        if server.entry.role.is_some_and(|s| s != stage) {
            zones.entry(&server.entry.zone).or_default().push(key);
        }
    }
    let work = |key: &ServerKey| pool.get(*key).map_or(0, |s| s.reserved_tokens(now));
    let mut changes = Vec::new();
    while changes.len() < most {
        let Some((_, keys)) = zones.iter_mut().max_by_key(|(_, keys)| keys.len()) else {
            break;
        };
        let Some(at) = (0..keys.len()).min_by_key(|at| work(&keys[*at])) else {
            break;
        };
        let server = keys.remove(at);
        changes.push(RoleChange {
            server,
            role: stage,
        });
    }
    changes
}
