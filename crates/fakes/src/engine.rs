//! A fake model engine with batched decode steps, serial prefill and a link of limited rate.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jacinthlever_core::{CallId, CallerId};
use jacinthlever_types::{EngineLoad, EngineRole, ReservationRequest};
use smol_str::{SmolStr, format_smolstr};

/// Tokens in one page of KV cache.
const PAGE_TOKENS: u64 = 4_096;

/// Number of prefix blocks that a prefill engine caches.
const CACHED_PREFIXES: usize = 512;

/// Capacity and speed of a fake engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Whether it runs prefills or decodes.
    pub role: EngineRole,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Pages of KV cache.
    pub pages: u32,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// Duration of a decode step for one request.
    pub step: Duration,
    /// Additional duration of a step for each further request.
    pub step_per_request: Duration,
    /// Tokens of KV cache that the engine's link transfers per second.
    pub link_rate: f64,
    /// Time for which the result of a prefill is kept.
    pub kv_ttl: Duration,
    /// Age of the load that the engine reports.
    pub load_lag: Duration,
}

impl EngineSpec {
    /// Returns the decode engine that the benches treat as typical.
    pub fn decode() -> Self {
        Self {
            role: EngineRole::Decode,
            slots: 20,
            pages: 64,
            prefill_rate: 20_000.0,
            step: Duration::from_millis(25),
            step_per_request: Duration::from_millis(1),
            link_rate: 200_000.0,
            kv_ttl: Duration::from_millis(800),
            load_lag: Duration::from_millis(700),
        }
    }

    /// Returns the prefill engine that the benches treat as typical.
    pub fn prefill() -> Self {
        Self {
            role: EngineRole::Prefill,
            slots: 1,
            ..Self::decode()
        }
    }

    /// Returns the duration of one decode step for a number of requests.
    pub fn step_time(&self, requests: usize) -> Duration {
        self.step + self.step_per_request * (requests as u32).saturating_sub(1)
    }
}

/// Faults of a fake engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineFaults {
    /// Accepts work and then sends nothing.
    pub stalled: bool,
    /// Refuses all new work.
    pub full: bool,
    /// Factor on all durations, in percent; 0 counts as 100.
    pub slow_percent: u32,
    /// Never completes a transfer of KV cache.
    pub stalled_export: bool,
    /// Reports a load that alternates between empty and full.
    pub flapping: bool,
}

/// A call that an engine processes.
#[derive(Clone, Debug)]
pub(crate) struct EngineCall {
    pub instance: usize,
    pub incarnation: u64,
    pub call: CallId,
    pub caller: CallerId,
    pub attempt: SmolStr,
}

/// A queued or running prefill.
#[derive(Clone, Debug)]
pub(crate) struct PrefillJob {
    pub call: EngineCall,
    pub tokens: u32,
    pub cached: u32,
    pub prefix: Vec<u64>,
}

/// A decode that occupies engine memory.
#[derive(Clone, Debug)]
pub(crate) struct DecodeStream {
    pub call: EngineCall,
    pub position: u32,
    pub from: u32,
    pub end: u32,
    pub pages: u32,
    pub crashes_engine: bool,
    /// Whether the KV cache has arrived.
    pub ready: bool,
    pub since: Duration,
}

/// The result of a prefill, stored until a decode engine fetches it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoredKv {
    pub tokens: u32,
    pub created_at: Duration,
}

/// A fake engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// Name of the engine.
    pub id: SmolStr,
    /// Availability zone of the engine.
    pub zone: SmolStr,
    /// Capacity and speed.
    pub spec: EngineSpec,
    /// Whether it accepts connections.
    pub up: bool,
    /// Faults that are in effect.
    pub faults: EngineFaults,
    /// Number of crashes.
    pub crashes: u32,
    /// Number of prompt tokens prefilled, without cached ones.
    pub prefilled: u64,
    pub(crate) prefills: VecDeque<PrefillJob>,
    pub(crate) kv: BTreeMap<SmolStr, StoredKv>,
    pub(crate) streams: BTreeMap<SmolStr, DecodeStream>,
    pub(crate) stepping: bool,
    pub(crate) link_free: Duration,
    /// Incremented by each crash, so that events scheduled before it are ignored.
    pub(crate) generation: u64,
    cached: VecDeque<u64>,
    load_history: VecDeque<(Duration, EngineLoad)>,
    next_kv: u64,
}

impl FakeEngine {
    /// Creates a running engine without faults.
    pub fn new(id: SmolStr, zone: SmolStr, spec: EngineSpec) -> Self {
        Self {
            id,
            zone,
            spec,
            up: true,
            faults: EngineFaults::default(),
            crashes: 0,
            prefilled: 0,
            prefills: VecDeque::new(),
            kv: BTreeMap::new(),
            streams: BTreeMap::new(),
            stepping: false,
            link_free: Duration::ZERO,
            generation: 0,
            cached: VecDeque::new(),
            load_history: VecDeque::new(),
            next_kv: 0,
        }
    }

    /// Returns the callers whose requests occupy memory of the engine.
    pub fn memory_users(&self) -> Vec<CallerId> {
        let streams = self.streams.values().map(|stream| stream.call.caller);
        streams
            .chain(self.prefills.iter().map(|job| job.call.caller))
            .collect()
    }

    pub(crate) fn apply_slowdown(&self, time: Duration) -> Duration {
        match self.faults.slow_percent {
            0 => time,
            percent => time * percent / 100,
        }
    }

    pub(crate) fn load(&self) -> EngineLoad {
        EngineLoad {
            slots: self.spec.slots,
            used: (self.prefills.len() + self.streams.len()) as u32,
            pages: self.spec.pages,
            used_pages: self.streams.values().map(|stream| stream.pages).sum(),
        }
    }

    /// Returns the load as it was one `load_lag` ago.
    pub(crate) fn reported_load(&mut self, now: Duration) -> EngineLoad {
        if self.faults.flapping {
            let full = self.load_history.len().is_multiple_of(2);
            self.load_history.push_back((now, self.load()));
            let used = if full { self.spec.slots } else { 0 };
            return EngineLoad {
                used,
                ..self.load()
            };
        }
        self.load_history.push_back((now, self.load()));
        while self
            .load_history
            .get(1)
            .is_some_and(|(at, _)| *at + self.spec.load_lag <= now)
        {
            self.load_history.pop_front();
        }
        self.load_history
            .front()
            .map(|(_, load)| load.clone())
            .unwrap_or_default()
    }

    pub(crate) fn has_capacity(&self, pages: u32) -> bool {
        let load = self.load();
        !self.faults.full && load.used < load.slots && load.used_pages + pages <= load.pages
    }

    pub(crate) fn pages(tokens: u64) -> u32 {
        tokens.div_ceil(PAGE_TOKENS) as u32
    }

    /// Returns how many tokens of a prompt are cached, and caches its prefixes.
    pub(crate) fn cache(&mut self, prefix: &[u64], tokens: u32) -> u32 {
        let blocks = prefix
            .iter()
            .take_while(|hash| self.cached.contains(hash))
            .count();
        for hash in prefix {
            self.cached.retain(|cached| cached != hash);
            self.cached.push_back(*hash);
        }
        while self.cached.len() > CACHED_PREFIXES {
            self.cached.pop_front();
        }
        (blocks as u64 * ReservationRequest::BLOCK_TOKENS).min(u64::from(tokens)) as u32
    }

    pub(crate) fn store_kv(&mut self, tokens: u32, created_at: Duration) -> SmolStr {
        self.next_kv += 1;
        let name = format_smolstr!("{}-kv{}", self.id, self.next_kv);
        self.kv
            .insert(name.clone(), StoredKv { tokens, created_at });
        name
    }

    pub(crate) fn reset(&mut self) {
        self.generation += 1;
        self.prefills.clear();
        self.kv.clear();
        self.streams.clear();
        self.cached.clear();
        self.load_history.clear();
        self.stepping = false;
        self.link_free = Duration::ZERO;
    }
}
