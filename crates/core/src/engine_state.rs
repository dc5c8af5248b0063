//! State of one engine, as the scheduler of its shard sees it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jacinthlever_types::{EngineFault, EngineId, EngineLoad, EngineRole, ListState, ZoneId};
use smol_str::SmolStr;

use crate::TokenRate;
use crate::engine_shard::ReservationKey;
use crate::prefix_cache::PrefixCache;

/// Backoff after a first failure; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Backoff after a first refusal for lack of capacity, which may become free at any moment.
const INITIAL_FULL_BACKOFF: Duration = Duration::from_millis(60);

/// Maximum backoff after repeated failures.
const MAX_BACKOFF: Duration = Duration::from_secs(20);

/// Maximum age of a load report when it is processed.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Time after which a trial request without a known outcome is replaced by another.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(5);

/// Number of load reports from which the use by others is estimated.
const LOAD_REPORTS: usize = 3;

/// Assumed prefill rate of an engine without measurements, in prompt tokens per second.
pub const DEFAULT_PREFILL_RATE: f64 = 20_000.0;

/// Weight of a new measurement in a moving average.
const AVERAGE_WEIGHT: f64 = 0.2;

/// Load, health and speed of one engine.
#[derive(Debug)]
pub struct EngineState {
    /// Name of the engine, unique within the fleet.
    pub id: EngineId,
    /// Whether the engine prefills or decodes.
    pub role: EngineRole,
    /// Address at which the engine accepts calls.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: ZoneId,
    /// State in the platform's list; a leaving engine gets no new work.
    pub state: ListState,
    /// Estimate of the prefixes that a prefill engine has cached.
    pub cache: PrefixCache,
    /// Recent speed of a decode engine.
    pub token_rate: TokenRate,
    /// Moving average of the prompt tokens per second of a prefill engine.
    pub prefill_rate: f64,
    /// Reserved pages, by reservation.
    reserved: BTreeMap<ReservationKey, u32>,
    /// Time, slots and pages of the shard's own use, recorded after a reservation is added and before
    /// one is removed.
    recent_use: VecDeque<(Duration, u32, u32)>,
    /// The suspect request that runs on the engine, if there is one.
    suspect: Option<ReservationKey>,
    load: Option<EngineLoad>,
    /// Slots and pages used by others, according to the last reports.
    external_use: VecDeque<(u32, u32)>,
    failures: u32,
    backoff_until: Duration,
    /// Set from a failure until a request succeeds; only one request at a time is then admitted.
    on_trial: bool,
    /// Time at which the trial request was granted.
    trial_started: Option<Duration>,
}

impl EngineState {
    /// Creates the state of an engine without any report or measurement.
    pub fn new(id: EngineId, role: EngineRole, address: SmolStr, zone: ZoneId) -> Self {
        Self {
            id,
            role,
            address,
            zone,
            state: ListState::Live,
            cache: PrefixCache::default(),
            token_rate: TokenRate::default(),
            prefill_rate: DEFAULT_PREFILL_RATE,
            reserved: BTreeMap::new(),
            recent_use: VecDeque::new(),
            suspect: None,
            load: None,
            external_use: VecDeque::new(),
            failures: 0,
            backoff_until: Duration::ZERO,
            on_trial: false,
            trial_started: None,
        }
    }

    /// Processes a load report; use beyond the shard's own reservations is attributed to others.
    pub fn report(&mut self, load: EngineLoad, now: Duration) {
        // The report is delayed, so it is compared with the maximum that was reserved since it may
        // have been made.
        let (reserved_slots, reserved_pages) = self.max_reserved(now);
        let slots = load.used.saturating_sub(reserved_slots);
        let pages = load.used_pages.saturating_sub(reserved_pages);
        self.external_use.push_back((slots, pages));
        if self.external_use.len() > LOAD_REPORTS {
            self.external_use.pop_front();
        }
        self.load = Some(load);
    }

    /// Whether a request that needs `pages` can be placed on the engine now.
    pub fn fits(&self, pages: u32, suspect: bool, now: Duration) -> bool {
        let Some(load) = &self.load else { return false };
        if self.state == ListState::Leaving || now < self.backoff_until || self.suspect.is_some() {
            return false;
        }
        if self.on_trial
            && self
                .trial_started
                .is_some_and(|since| now < since + MAX_TRIAL_TIME)
        {
            return false;
        }
        // A suspect request gets a prefill engine that has no other reservations.
        if suspect && self.role == EngineRole::Prefill && !self.reserved.is_empty() {
            return false;
        }
        self.used_slots() < load.slots && self.used_pages() + pages <= load.pages
    }

    /// Whether a request that needs `pages` fits on the engine when it is idle.
    pub fn could_fit(&self, pages: u32) -> bool {
        self.load.as_ref().is_some_and(|load| pages <= load.pages)
    }

    /// Returns the fraction of the engine's slots that is in use.
    pub fn utilization(&self) -> f64 {
        let slots = self.load.as_ref().map_or(1, |load| load.slots.max(1));
        f64::from(self.used_slots()) / f64::from(slots)
    }

    /// Returns the engine's slots; 0 if it is leaving, in backoff or has not reported its load.
    pub fn healthy_slots(&self, now: Duration) -> u32 {
        let healthy = self.state == ListState::Live && now >= self.backoff_until;
        self.load
            .as_ref()
            .filter(|_| healthy)
            .map_or(0, |load| load.slots)
    }

    /// Adds a reservation.
    pub fn reserve(&mut self, key: ReservationKey, pages: u32, suspect: bool, now: Duration) {
        self.reserved.insert(key, pages);
        self.record_use(now);
        if self.on_trial {
            self.trial_started = Some(now);
        }
        if suspect {
            self.suspect = Some(key);
        }
    }

    /// Removes a reservation.
    pub fn release(&mut self, key: ReservationKey, now: Duration) {
        self.record_use(now);
        self.reserved.remove(&key);
        self.clear_suspect(key);
    }

    /// Admits other requests again if the given reservation was the suspect.
    pub fn clear_suspect(&mut self, key: ReservationKey) {
        if self.suspect == Some(key) {
            self.suspect = None;
        }
    }

    /// Records a failure; returns whether it is the first since the last success.
    pub fn fail(&mut self, fault: EngineFault, now: Duration) -> bool {
        if now < self.backoff_until {
            // A single failure breaks many requests but counts once.
            return false;
        }
        let initial = if fault == EngineFault::Full {
            INITIAL_FULL_BACKOFF
        } else {
            INITIAL_BACKOFF
        };
        let backoff = initial * 2u32.saturating_pow(self.failures.min(10));
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.on_trial = true;
        self.trial_started = None;
        self.failures += 1;
        self.failures == 1
    }

    /// Records a success; returns whether it ends a series of failures.
    pub fn succeed(&mut self, now: Duration) -> bool {
        if now < self.backoff_until {
            return false;
        }
        let recovered = self.failures > 0;
        self.failures = 0;
        self.on_trial = false;
        self.trial_started = None;
        recovered
    }

    /// Records the time that a prefill of `tokens` uncached tokens took.
    pub fn measure_prefill(&mut self, tokens: f64, took: Duration) {
        let rate = tokens / took.as_secs_f64().max(0.001);
        self.prefill_rate += (rate - self.prefill_rate) * AVERAGE_WEIGHT;
    }

    /// Returns the number of reservations that this shard holds on the engine.
    pub fn reservation_count(&self) -> usize {
        self.reserved.len()
    }

    fn record_use(&mut self, now: Duration) {
        let pages = self.reserved.values().sum();
        self.recent_use
            .push_back((now, self.reserved.len() as u32, pages));
        while self
            .recent_use
            .front()
            .is_some_and(|(at, ..)| now > *at + MAX_REPORT_AGE)
        {
            self.recent_use.pop_front();
        }
    }

    /// Returns the maximum slots and pages that were reserved at once since a report that arrives
    /// now may have been made.
    fn max_reserved(&self, now: Duration) -> (u32, u32) {
        let recent_use = self
            .recent_use
            .iter()
            .filter(|(at, ..)| now <= *at + MAX_REPORT_AGE);
        let current = (self.reserved.len() as u32, self.reserved.values().sum());
        recent_use.fold(current, |max, (_, slots, pages)| {
            (max.0.max(*slots), max.1.max(*pages))
        })
    }

    fn used_slots(&self) -> u32 {
        self.reserved.len() as u32 + self.min_external_use().0
    }

    fn used_pages(&self) -> u32 {
        self.reserved.values().sum::<u32>() + self.min_external_use().1
    }

    /// Returns the slots and pages that others use at least.
    ///
    /// Reports are delayed, so only the minimum over the last few is certain.
    fn min_external_use(&self) -> (u32, u32) {
        let slots = self.external_use.iter().map(|(slots, _)| *slots).min();
        let pages = self.external_use.iter().map(|(_, pages)| *pages).min();
        (slots.unwrap_or_default(), pages.unwrap_or_default())
    }
}
