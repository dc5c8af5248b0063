//! A fake model engine: batched decoding in steps, serial prefill, a link of limited rate.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jacinthlever_core::{CallId, CallerId};
use jacinthlever_types::{EngineLoad, EngineRole, ReservationRequest};
use smol_str::{SmolStr, format_smolstr};

/// Tokens in one KV page.
const PAGE_TOKENS: u64 = 4_096;

/// Prefixes that a prefill engine caches.
const CACHED_PREFIXES: usize = 512;

/// Capacity and speed of a fake engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// What it does.
    pub role: EngineRole,
    /// Requests held at once.
    pub slots: u32,
    /// KV pages.
    pub pages: u32,
    /// Prompt tokens prefilled in a second.
    pub prefill_rate: f64,
    /// Time of a decode step for one request.
    pub step: Duration,
    /// Extra time of a step for each further request.
    pub step_each: Duration,
    /// Tokens of KV cache that the engine's link moves in a second.
    pub link_rate: f64,
    /// Time for which a prefill's result is kept.
    pub keep: Duration,
    /// Age of the reported load.
    pub load_lag: Duration,
}

impl EngineSpec {
    /// Returns the decode engine that the benches take for typical.
    pub fn decode() -> Self {
        Self {
            role: EngineRole::Decode,
            slots: 20,
            pages: 64,
            prefill_rate: 20_000.0,
            step: Duration::from_millis(25),
            step_each: Duration::from_millis(1),
            link_rate: 200_000.0,
            keep: Duration::from_millis(800),
            load_lag: Duration::from_millis(700),
        }
    }

    /// Returns the prefill engine that the benches take for typical.
    pub fn prefill() -> Self {
        Self {
            role: EngineRole::Prefill,
            slots: 1,
            ..Self::decode()
        }
    }

    /// Returns the time of one decode step for a number of requests.
    pub fn step_time(&self, requests: usize) -> Duration {
        self.step + self.step_each * (requests as u32).saturating_sub(1)
    }
}

/// What a fake engine does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineFaults {
    /// Accepts work and then sends nothing.
    pub stalled: bool,
    /// Refuses new work.
    pub full: bool,
    /// Multiplies all times, in percent; 0 counts as 100.
    pub slow_percent: u32,
    /// Lets no transfer of KV cache end.
    pub stalled_export: bool,
    /// Reports a load that jumps between empty and full.
    pub flapping: bool,
}

/// A call that an engine works on.
#[derive(Clone, Debug)]
pub(crate) struct EngineCall {
    pub node: usize,
    pub incarnation: u64,
    pub call: CallId,
    pub caller: CallerId,
    pub attempt: SmolStr,
}

/// A prefill that waits or runs.
#[derive(Clone, Debug)]
pub(crate) struct PrefillJob {
    pub call: EngineCall,
    pub tokens: u32,
    pub cached: u32,
    pub prefix: Vec<u64>,
}

/// A decode that holds memory.
#[derive(Clone, Debug)]
pub(crate) struct DecodeStream {
    pub call: EngineCall,
    pub position: u32,
    pub from: u32,
    pub end: u32,
    pub pages: u32,
    pub is_poison: bool,
    /// Whether the KV cache has arrived.
    pub ready: bool,
    pub since: Duration,
}

/// Result of a prefill.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kv {
    pub tokens: u32,
    pub made: Duration,
}

/// A fake engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// Name.
    pub id: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Capacity and speed.
    pub spec: EngineSpec,
    /// Whether it accepts connections.
    pub up: bool,
    /// What it does wrong.
    pub faults: EngineFaults,
    /// Times it has crashed.
    pub crashes: u32,
    /// Prompt tokens prefilled.
    pub prefilled: u64,
    pub(crate) prefills: VecDeque<PrefillJob>,
    pub(crate) kv: BTreeMap<SmolStr, Kv>,
    pub(crate) streams: BTreeMap<SmolStr, DecodeStream>,
    pub(crate) stepping: bool,
    pub(crate) link_free: Duration,
    /// Grows with each crash, so that work begun before it comes to nothing.
    pub(crate) life: u64,
    cached: VecDeque<u64>,
    reports: VecDeque<(Duration, EngineLoad)>,
    next_kv: u64,
}

impl FakeEngine {
    /// Makes a healthy engine.
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
            life: 0,
            cached: VecDeque::new(),
            reports: VecDeque::new(),
            next_kv: 0,
        }
    }

    /// Returns the requests that hold memory, by the callers they are for.
    pub fn holders(&self) -> Vec<CallerId> {
        let streams = self.streams.values().map(|stream| stream.call.caller);
        streams
            .chain(self.prefills.iter().map(|job| job.call.caller))
            .collect()
    }

    pub(crate) fn slowed(&self, time: Duration) -> Duration {
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

    /// Returns the load as it was some time ago.
    pub(crate) fn report(&mut self, now: Duration) -> EngineLoad {
        if self.faults.flapping {
            let full = self.reports.len().is_multiple_of(2);
            self.reports.push_back((now, self.load()));
            let used = if full { self.spec.slots } else { 0 };
            return EngineLoad {
                used,
                ..self.load()
            };
        }
        self.reports.push_back((now, self.load()));
        while self
            .reports
            .get(1)
            .is_some_and(|(at, _)| *at + self.spec.load_lag <= now)
        {
            self.reports.pop_front();
        }
        self.reports
            .front()
            .map(|(_, load)| load.clone())
            .unwrap_or_default()
    }

    pub(crate) fn has_room(&self, pages: u32) -> bool {
        let load = self.load();
        !self.faults.full && load.used < load.slots && load.used_pages + pages <= load.pages
    }

    pub(crate) fn pages(tokens: u64) -> u32 {
        tokens.div_ceil(PAGE_TOKENS) as u32
    }

    /// Returns the tokens of a prompt that are cached, and caches its prefixes.
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

    pub(crate) fn keep_kv(&mut self, tokens: u32, made: Duration) -> SmolStr {
        self.next_kv += 1;
        let name = format_smolstr!("{}-kv{}", self.id, self.next_kv);
        self.kv.insert(name.clone(), Kv { tokens, made });
        name
    }

    pub(crate) fn clear(&mut self) {
        self.life += 1;
        self.prefills.clear();
        self.kv.clear();
        self.streams.clear();
        self.cached.clear();
        self.reports.clear();
        self.stepping = false;
        self.link_free = Duration::ZERO;
    }
}
