//! Plans how many engines of a service are prefill engines, and which engines change their role.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::{EngineRole, EngineSpec, ServerKey, ServerPool};

/// Factor by which the prefill capacity exceeds the mean work, since prompts arrive in bursts.
const PREFILL_HEADROOM: f64 = 1.45;

/// Fraction of all engines by which the number of prefill engines may deviate from the target while
/// there is traffic.
const DEVIATION_TOLERANCE: f64 = 0.06;

/// The work of an average generation and the speed of the engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: f64,
    /// Length of the output, in tokens.
    pub output_tokens: f64,
    /// Prompt tokens that a prefill engine processes per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time between two output tokens, in milliseconds.
    pub ms_per_token: f64,
}

impl EngineProfile {
    /// Returns the time for which a generation occupies a prefill engine, in milliseconds.
    pub fn prefill_ms(&self) -> f64 {
        self.prompt_tokens / self.prefill_tokens_per_ms
    }

    /// Returns the time for which a generation occupies a decode engine, in milliseconds.
    ///
    /// This is the run time of the generation multiplied by the fraction of the engine's memory or
    /// slots that it uses, whichever is larger.
    pub fn decode_ms(&self, spec: &EngineSpec) -> f64 {
        let tokens = self.prompt_tokens + self.output_tokens / 2.0;
        let memory_fraction = tokens / spec.kv_tokens.max(1) as f64;
        let slot_fraction = 1.0 / f64::from(spec.slots.max(1));
        memory_fraction.max(slot_fraction) * self.output_tokens * self.ms_per_token
    }

    /// Returns the number of prefill engines among `engines` with which the service can run the
    /// most generations.
    pub fn prefill_engines(&self, spec: &EngineSpec, engines: usize) -> usize {
        let prefill = self.prefill_ms() * PREFILL_HEADROOM;
        let fraction = prefill / (prefill + self.decode_ms(spec));
        let target = (engines as f64 * fraction).round() as usize;
        target.clamp(1, engines.saturating_sub(1).max(1))
    }
}

/// A change of the role of one engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// Key of the engine.
    pub server: ServerKey,
    /// New role of the engine.
    pub role: EngineRole,
}

/// Plans role changes of engines.
#[derive(Clone, Copy, Debug)]
pub struct RolePlanner {
    /// Work of an average generation and speed of the engines.
    pub profile: EngineProfile,
}

impl RolePlanner {
    /// Returns the role changes that a service needs.
    ///
    /// Without traffic, the number of prefill engines is set to the target exactly. With traffic,
    /// at most one engine is changed, and only if the deviation exceeds the tolerance, since an
    /// engine is unavailable while it changes its role.
    pub fn changes(
        &self,
        now: Duration,
        pool: &ServerPool,
        service: &str,
        spec: &EngineSpec,
        has_traffic: bool,
    ) -> Vec<RoleChange> {
        let engines = pool.available(service).count();
        let prefill = engines_with_role(pool, service, EngineRole::Prefill);
        if engines < 2 || prefill.len() == engines {
            return Vec::new();
        }
        let target = self.profile.prefill_engines(spec, engines);
        let deviation = target.abs_diff(prefill.len());
        let allowed = (engines as f64 * DEVIATION_TOLERANCE).ceil() as usize;
        if deviation == 0 || (has_traffic && deviation <= allowed) {
            return Vec::new();
        }
        let max = if has_traffic { 1 } else { deviation };
        let role = match target < prefill.len() {
            true => EngineRole::Decode,
            false => EngineRole::Prefill,
        };
        pick(now, pool, service, role, max)
    }
}

fn engines_with_role(pool: &ServerPool, service: &str, role: EngineRole) -> Vec<ServerKey> {
    pool.available(service)
        .filter(|(_, s)| s.entry.role == Some(role))
        .map(|(key, _)| key)
        .collect()
}

/// Picks up to `max` engines that change to `role`: repeatedly takes the zone with the most engines
/// of the other role, and in it the engine with the fewest reserved tokens.
fn pick(
    now: Duration,
    pool: &ServerPool,
    service: &str,
    role: EngineRole,
    max: usize,
) -> Vec<RoleChange> {
    let mut zones: BTreeMap<&SmolStr, Vec<ServerKey>> = BTreeMap::new();
    for (key, server) in pool.available(service) {
        if server.entry.role.is_some_and(|r| r != role) {
            zones.entry(&server.entry.zone).or_default().push(key);
        }
    }
    let reserved = |key: &ServerKey| pool.get(*key).map_or(0, |s| s.reserved_tokens(now));
    let mut changes = Vec::new();
    while changes.len() < max {
        let Some((_, keys)) = zones.iter_mut().max_by_key(|(_, keys)| keys.len()) else {
            break;
        };
        let Some(at) = (0..keys.len()).min_by_key(|at| reserved(&keys[*at])) else {
            break;
        };
        let server = keys.remove(at);
        changes.push(RoleChange { server, role });
    }
    changes
}
