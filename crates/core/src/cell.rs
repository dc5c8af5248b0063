//! The scheduler of one cell: exact counts, one fair queue; see `docs/design/placement.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthlever_types::{
    Allocation, EngineFault, EngineId, EngineRole, InstanceId, RequestId, ReservationEnd,
    ReservationOutcome, ReservationRequest, ReservationTransfer,
};
use slotmap::{SlotMap, new_key_type};

use crate::{EngineState, FairQueue, LogEvent, fault_text};

new_key_type! {
    /// Key of a hold in its cell.
    pub struct HoldKey;
}

/// Tokens in one page of an engine's KV memory.
pub const PAGE_TOKENS: u64 = 4_096;

/// Time from the end of a prefill to the first token, until it was measured.
const DEFAULT_HANDOVER: Duration = Duration::from_millis(100);

/// Time that a decode holds its slot, until it was measured.
const DEFAULT_DECODE: Duration = Duration::from_secs(5);

/// Tokens that a request costs, until it was measured.
const DEFAULT_COST: f64 = 1_000.0;

/// Extra cost of a transfer between availability zones.
const ZONE_PENALTY: Duration = Duration::from_millis(5);

/// Weight of a new measurement in a moving average.
const AVERAGE_WEIGHT: f64 = 0.05;

/// How far a granted request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Queued,
    Prefill,
    Decode,
}

#[derive(Debug)]
struct Hold {
    request: ReservationRequest,
    from: InstanceId,
    phase: Phase,
    /// When the first token is due.
    due: Duration,
    granted: Duration,
    prefill: EngineId,
    decode: EngineId,
}

/// Outcome of a hold that its instance must be told.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// Instance of the request.
    pub to: InstanceId,
    /// The request.
    pub id: RequestId,
    /// Its attempt.
    pub attempt: u32,
    /// What to tell.
    pub outcome: ReservationOutcome,
}

/// Engines, queue and holds of one cell.
#[derive(Debug, Default)]
pub struct Cell {
    engines: BTreeMap<EngineId, EngineState>,
    holds: SlotMap<HoldKey, Hold>,
    by_id: BTreeMap<RequestId, HoldKey>,
    queue: FairQueue<HoldKey>,
    /// Moving average of the time that a decode holds its slot, in seconds.
    decode_seconds: Option<f64>,
    /// Moving average of the time that a prefill takes, in seconds.
    prefill_seconds: Option<f64>,
    /// Moving average of the tokens that a granted request costs.
    cost_tokens: Option<f64>,
    /// Decode engines that are slower than their siblings for certain; they go last.
    stragglers: BTreeSet<EngineId>,
    told: Vec<Told>,
    logged: Vec<LogEvent>,
}

impl Cell {
    /// Returns the engines.
    pub fn engines(&self) -> impl Iterator<Item = &EngineState> {
        self.engines.values()
    }

    /// Returns an engine.
    pub fn engine_mut(&mut self, id: &EngineId) -> Option<&mut EngineState> {
        self.engines.get_mut(id)
    }

    /// Adds an engine or updates what the platform's list says of it.
    pub fn list_engine(&mut self, listed: EngineState) {
        match self.engines.get_mut(&listed.id) {
            Some(known) if known.address == listed.address && known.role == listed.role => {
                known.state = listed.state;
            }
            _ => {
                self.engines.insert(listed.id.clone(), listed);
            }
        }
    }

    /// Forgets the engines for which `keep` does not hold.
    pub fn retain_engines(&mut self, keep: impl Fn(&EngineId) -> bool) {
        self.engines.retain(|id, _| keep(id));
    }

    /// Returns what instances must be told since the last call.
    pub fn take_told(&mut self) -> Vec<Told> {
        std::mem::take(&mut self.told)
    }

    /// Returns what must be logged since the last call.
    pub fn take_logged(&mut self) -> Vec<LogEvent> {
        std::mem::take(&mut self.logged)
    }

    /// Returns the waiting requests for each healthy decode slot, in percent.
    pub fn pressure(&self, now: Duration) -> u32 {
        let slots = self.decode_slots(now).max(1) as usize;
        let held = self.holds.len();
        (held * 100 / slots) as u32
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes in a request for engines; the same request may come again.
    pub fn ask(&mut self, from: InstanceId, request: ReservationRequest, now: Duration) {
        if let Some(key) = self.by_id.get(&request.id).copied() {
            if self.holds[key].request.attempt >= request.attempt {
                return self.repeat_answer(key);
            }
            self.remove(key, now);
        }
        let due = now + Duration::from_millis(u64::from(request.due_ms));
        if let Some(retry_after_ms) = self.refusal(&request, due, now) {
            let outcome = ReservationOutcome::Refused { retry_after_ms };
            let (id, attempt) = (request.id, request.attempt);
            return self.told.push(Told {
                to: from,
                id,
                attempt,
                outcome,
            });
        }
        self.enqueue(from, request, due, now);
        self.pump(now);
    }

    /// Takes over a hold that an earlier keeper granted.
    pub fn adopt(&mut self, from: InstanceId, adoption: ReservationTransfer, now: Duration) {
        let ReservationTransfer {
            request,
            allocation,
            decoding,
        } = adoption;
        if self.by_id.contains_key(&request.id) {
            return;
        }
        let (id, pages, suspect) = (request.id.clone(), pages(&request), request.suspect);
        let (prefill, decode) = (allocation.prefill, allocation.decode);
        let key = self.holds.insert(Hold {
            request,
            from,
            phase: if decoding {
                Phase::Decode
            } else {
                Phase::Prefill
            },
            due: now,
            granted: now,
            prefill: prefill.clone(),
            decode: decode.clone(),
        });
        self.by_id.insert(id, key);
        if let Some(engine) = self.engines.get_mut(&decode) {
            engine.hold(key, pages, suspect, now);
        }
        if let Some(engine) = self.engines.get_mut(&prefill).filter(|_| !decoding) {
            engine.hold(key, 0, suspect, now);
        }
    }

    /// Takes in that the prefill of a hold is done.
    pub fn prefilled(&mut self, id: &RequestId, cached_tokens: u32, took: Duration, now: Duration) {
        let Some(key) = self.by_id.get(id).copied() else {
            return;
        };
        let hold = &mut self.holds[key];
        if hold.phase != Phase::Prefill {
            return;
        }
        hold.phase = Phase::Decode;
        let fresh = hold
            .request
            .prompt_tokens
            .saturating_sub(u64::from(cached_tokens));
        average(&mut self.prefill_seconds, took.as_secs_f64());
        if let Some(engine) = self.engines.get_mut(&hold.prefill) {
            engine.release(key, now);
            engine.measure_prefill(fresh as f64, took);
            engine
                .cache
                .correct(&hold.request.prefix, u64::from(cached_tokens), now);
        }
        self.pump(now);
    }

    /// Takes in that the decode of a hold gives tokens.
    pub fn decoding(&mut self, id: &RequestId, now: Duration) {
        let Some(key) = self.by_id.get(id).copied() else {
            return;
        };
        let hold = &mut self.holds[key];
        if hold.phase == Phase::Queued {
            return;
        }
        let was_prefill = hold.phase == Phase::Prefill;
        hold.phase = Phase::Decode;
        // Only a first token shows that the prefill engine's transfers work too.
        for id in [&hold.prefill, &hold.decode] {
            let Some(engine) = self.engines.get_mut(id) else {
                continue;
            };
            if was_prefill && *id == hold.prefill {
                // The message that the prefill is done was lost.
                engine.release(key, now);
            }
            engine.cleared(key);
            if engine.succeed(now) {
                let engine = engine.id.clone();
                self.logged.push(LogEvent::EngineRecovered { engine });
            }
        }
        self.pump(now);
    }

    /// Takes in how long a decode took for its first tokens.
    pub fn paced(&mut self, id: &RequestId, tokens: u64, took: Duration) {
        let hold = self.by_id.get(id).and_then(|key| self.holds.get(*key));
        if let Some(decode) = hold.map(|hold| hold.decode.clone()) {
            self.measure_pace(&decode, took, tokens);
        }
    }

    /// Ends a hold.
    pub fn release(
        &mut self,
        id: &RequestId,
        end: ReservationEnd,
        unused_tokens: u64,
        now: Duration,
    ) {
        let Some(key) = self.by_id.get(id).copied() else {
            return;
        };
        let hold = &self.holds[key];
        match end {
            ReservationEnd::Done if hold.phase == Phase::Decode => {
                let held = now.saturating_sub(hold.granted).as_secs_f64();
                average(&mut self.decode_seconds, held);
            }
            ReservationEnd::Done => {}
            ReservationEnd::PrefillFailed(fault) => self.fail(&hold.prefill.clone(), fault, now),
            // KV cache is lost where it is made, or on the way from there.
            ReservationEnd::DecodeFailed(EngineFault::KvLost) => {
                self.fail(&hold.prefill.clone(), EngineFault::KvLost, now);
            }
            ReservationEnd::DecodeFailed(fault) => self.fail(&hold.decode.clone(), fault, now),
        }
        let customer = self.holds[key].request.customer.clone();
        self.queue.credit(&customer, unused_tokens as f64);
        self.remove(key, now);
        self.pump(now);
    }

    /// Takes in that an engine answered a probe, or did not.
    pub fn probed(
        &mut self,
        id: &EngineId,
        load: Option<jacinthlever_types::EngineLoad>,
        now: Duration,
    ) {
        match (load, self.engines.get_mut(id)) {
            (Some(load), Some(engine)) => engine.report(load, now),
            (None, Some(_)) => self.fail(&id.clone(), EngineFault::Down, now),
            _ => {}
        }
        self.pump(now);
    }

    /// Returns the requests that hold engines, by their instances.
    pub fn holders(&self) -> BTreeMap<InstanceId, Vec<RequestId>> {
        let mut holders: BTreeMap<InstanceId, Vec<RequestId>> = BTreeMap::new();
        for hold in self.holds.values() {
            let requests = holders.entry(hold.from.clone()).or_default();
            requests.push(hold.request.id.clone());
        }
        holders
    }

    /// Drops the holds of instances that are lost.
    pub fn forget(&mut self, is_lost: impl Fn(&RequestId) -> bool, now: Duration) {
        let lost: Vec<HoldKey> = self
            .holds
            .iter()
            .filter(|(_, hold)| is_lost(&hold.request.id))
            .map(|(key, _)| key)
            .collect();
        for key in lost {
            self.remove(key, now);
        }
        self.pump(now);
    }

    /// Refuses the requests that cannot start in time any more, and grants what fits.
    pub fn pump(&mut self, now: Duration) {
        self.refuse_late(now);
        while let Some(key) = self.queue.peek() {
            let Some((prefill, decode)) = self.place(key, now) else {
                break;
            };
            self.queue.pop();
            self.grant(key, prefill, decode, now);
        }
    }

    fn enqueue(
        &mut self,
        from: InstanceId,
        request: ReservationRequest,
        due: Duration,
        now: Duration,
    ) {
        let cost = cost(&request);
        // A request that has lost an engine was granted its turn before.
        let first = request.attempt > 1;
        let (customer, weight) = (request.customer.clone(), request.weight);
        let (class, id) = (request.class, request.id.clone());
        let key = self.holds.insert(Hold {
            request,
            from,
            phase: Phase::Queued,
            due,
            granted: now,
            prefill: EngineId::default(),
            decode: EngineId::default(),
        });
        self.by_id.insert(id, key);
        self.queue.push(&customer, weight, class, cost, key, first);
        self.tell(key, ReservationOutcome::Queued);
    }

    fn grant(&mut self, key: HoldKey, prefill: EngineId, decode: EngineId, now: Duration) {
        let pages = pages(&self.holds[key].request);
        let cost = cost(&self.holds[key].request);
        average(&mut self.cost_tokens, cost);
        let keeps_prefill = self.holds[key].request.prefilled.is_some();
        let hold = &mut self.holds[key];
        hold.phase = if keeps_prefill {
            Phase::Decode
        } else {
            Phase::Prefill
        };
        hold.granted = now;
        hold.prefill = prefill;
        hold.decode = decode;
        let (prefill, decode) = (hold.prefill.clone(), hold.decode.clone());
        let suspect = hold.request.suspect;
        let prefix = hold.request.prefix.clone();
        let (Some(p), Some(d)) = (self.engines.get(&prefill), self.engines.get(&decode)) else {
            return;
        };
        let allocation = Allocation {
            prefill: prefill.clone(),
            prefill_address: p.address.clone(),
            decode: decode.clone(),
            decode_address: d.address.clone(),
        };
        if let Some(engine) = self.engines.get_mut(&prefill).filter(|_| !keeps_prefill) {
            engine.hold(key, 0, suspect, now);
            engine.cache.insert(&prefix, now);
        }
        if let Some(engine) = self.engines.get_mut(&decode) {
            engine.hold(key, pages, suspect, now);
        }
        self.tell(key, ReservationOutcome::Granted(allocation));
    }

    /// Chooses engines, decode first; `None` if the request must wait.
    fn place(&self, key: HoldKey, now: Duration) -> Option<(EngineId, EngineId)> {
        let request = &self.holds[key].request;
        let pages = pages(request);
        let fitting = |role, pages| {
            let all = self.engines.values();
            let allowed = self.allowed(request, role, now);
            all.filter(move |e| e.role == role && allowed(e) && e.fits(pages, request.suspect, now))
        };
        let decode = fitting(EngineRole::Decode, pages).min_by(|a, b| {
            let slow = |engine: &EngineState| self.stragglers.contains(&engine.id);
            slow(a).cmp(&slow(b)).then(a.fill().total_cmp(&b.fill()))
        })?;
        let cost = |engine: &EngineState| {
            let transfer = if engine.zone == decode.zone {
                Duration::ZERO
            } else {
                ZONE_PENALTY
            };
            self.prefill_time(request, &engine.id) + transfer
        };
        if let Some(prefill) = &request.prefilled {
            return Some((prefill.clone(), decode.id.clone()));
        }
        let prefill = fitting(EngineRole::Prefill, 0).min_by_key(|engine| cost(engine))?;
        Some((prefill.id.clone(), decode.id.clone()))
    }

    /// Returns which engines a request may go to: not back to one that failed it, if there is
    /// another.
    fn allowed<'a>(
        &'a self,
        request: &'a ReservationRequest,
        role: EngineRole,
        now: Duration,
    ) -> impl Fn(&EngineState) -> bool + 'a {
        let others = self.engines.values().any(|engine| {
            engine.role == role
                && engine.healthy_slots(now) > 0
                && !request.avoid.contains(&engine.id)
        });
        move |engine| !others || !request.avoid.contains(&engine.id)
    }

    fn prefill_time(&self, request: &ReservationRequest, engine: &EngineId) -> Duration {
        let Some(engine) = self.engines.get(engine) else {
            return Duration::ZERO;
        };
        let cached = engine
            .cache
            .cached_tokens(&request.prefix)
            .min(request.prompt_tokens);
        Duration::from_secs_f64((request.prompt_tokens - cached) as f64 / engine.prefill_rate)
    }

    /// Returns when to come back if the request cannot start in time.
    fn refusal(&self, request: &ReservationRequest, due: Duration, now: Duration) -> Option<u32> {
        let slots = self.decode_slots(now);
        if request.attempt > 1 {
            // It has been accepted, and keeps its turn until its time is over.
            return None;
        }
        if slots == 0 || !self.engines.values().any(|e| e.could_fit(pages(request))) {
            // Engines may just not have been probed yet; the due time bounds the wait.
            return None;
        }
        let per_second =
            self.grants_per_second(slots, now) * self.cost_tokens.unwrap_or(DEFAULT_COST);
        let (customer, weight) = (&request.customer, request.weight);
        let wait = self.queue.tokens_before(customer, weight, request.class) / per_second;
        let start = now + Duration::from_secs_f64(wait.min(3_600.0));
        let first_token = start + self.least_prefill_time(request) + DEFAULT_HANDOVER;
        (first_token > due).then(|| ((wait * 1_000.0) as u32).max(100))
    }

    fn refuse_late(&mut self, now: Duration) {
        let waiting = self
            .holds
            .iter()
            .filter(|(_, hold)| hold.phase == Phase::Queued);
        let late: Vec<HoldKey> = waiting
            .filter(|(_, hold)| {
                now + self.least_prefill_time(&hold.request) + DEFAULT_HANDOVER > hold.due
            })
            .map(|(key, _)| key)
            .collect();
        for key in late {
            let per_second = self.grants_per_second(self.decode_slots(now).max(1), now);
            let retry_after_ms = (self.queue.len() as f64 * 1_000.0 / per_second) as u32;
            let outcome = ReservationOutcome::Refused {
                retry_after_ms: retry_after_ms.clamp(100, 60_000),
            };
            self.tell(key, outcome);
            self.remove(key, now);
        }
    }

    fn least_prefill_time(&self, request: &ReservationRequest) -> Duration {
        let engines = self
            .engines
            .values()
            .filter(|e| e.role == EngineRole::Prefill);
        engines
            .map(|e| self.prefill_time(request, &e.id))
            .min()
            .unwrap_or_default()
    }

    fn decode_slots(&self, now: Duration) -> u32 {
        let engines = self
            .engines
            .values()
            .filter(|e| e.role == EngineRole::Decode);
        engines.map(|engine| engine.healthy_slots(now)).sum()
    }

    /// Returns the grants a second that slots or prefill engines allow, whichever are fewer.
    fn grants_per_second(&self, slots: u32, now: Duration) -> f64 {
        let decode = self
            .decode_seconds
            .unwrap_or(DEFAULT_DECODE.as_secs_f64())
            .max(0.01);
        let by_decode = f64::from(slots) / decode;
        let engines = self
            .engines
            .values()
            .filter(|e| e.role == EngineRole::Prefill);
        let prefills: u32 = engines.map(|engine| engine.healthy_slots(now)).sum();
        match self.prefill_seconds {
            Some(seconds) => by_decode.min(f64::from(prefills.max(1)) / seconds.max(0.001)),
            None => by_decode,
        }
    }

    /// Takes in how long a decode took, and compares its engine with the others.
    fn measure_pace(&mut self, id: &EngineId, took: Duration, tokens: u64) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        engine.pace.measure(took, tokens);
        let others = self.engines.values().filter(|engine| engine.id != *id);
        let mut means: Vec<f64> = others.filter_map(|engine| engine.pace.mean()).collect();
        means.sort_by(f64::total_cmp);
        let Some(median) = means.get(means.len() / 2).copied() else {
            return;
        };
        let slow = self
            .engines
            .get(id)
            .is_some_and(|engine| engine.pace.is_straggler(median));
        match slow {
            true => self.stragglers.insert(id.clone()),
            false => self.stragglers.remove(id),
        };
    }

    fn fail(&mut self, id: &EngineId, fault: EngineFault, now: Duration) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        if matches!(fault, EngineFault::Crashed | EngineFault::Down) {
            engine.cache.clear();
        }
        if engine.fail(fault, now) {
            let fault = fault_text(fault);
            self.logged.push(LogEvent::EngineFailed {
                engine: id.clone(),
                fault,
            });
        }
    }

    fn repeat_answer(&mut self, key: HoldKey) {
        let hold = &self.holds[key];
        if hold.phase == Phase::Queued {
            return self.tell(key, ReservationOutcome::Queued);
        }
        let (prefill, decode) = (hold.prefill.clone(), hold.decode.clone());
        let address = |id| self.engines.get(id).map(|engine| engine.address.clone());
        if let (Some(prefill_address), Some(decode_address)) = (address(&prefill), address(&decode))
        {
            let allocation = Allocation {
                prefill,
                prefill_address,
                decode,
                decode_address,
            };
            self.tell(key, ReservationOutcome::Granted(allocation));
        }
    }

    fn remove(&mut self, key: HoldKey, now: Duration) {
        let Some(hold) = self.holds.remove(key) else {
            return;
        };
        self.by_id.remove(&hold.request.id);
        self.queue.remove(key);
        for id in [&hold.prefill, &hold.decode] {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.release(key, now);
            }
        }
    }

    fn tell(&mut self, key: HoldKey, outcome: ReservationOutcome) {
        let hold = &self.holds[key];
        let (id, attempt) = (hold.request.id.clone(), hold.request.attempt);
        self.told.push(Told {
            to: hold.from.clone(),
            id,
            attempt,
            outcome,
        });
    }
}

/// Pages that a request needs on a decode engine, for prompt and whole output.
fn pages(request: &ReservationRequest) -> u32 {
    (request.prompt_tokens + request.output_tokens).div_ceil(PAGE_TOKENS) as u32
}

/// Tokens that a request counts in the fair queue.
fn cost(request: &ReservationRequest) -> f64 {
    (request.prompt_tokens + request.output_tokens) as f64
}

fn average(slot: &mut Option<f64>, value: f64) {
    *slot = Some(slot.map_or(value, |old| old + (value - old) * AVERAGE_WEIGHT));
}
