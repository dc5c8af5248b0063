//! Scheduling of one engine shard, with exact load counts and one fair queue; see
//! `docs/design/placement.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthlever_types::{
    Allocation, EngineFault, EngineId, EngineRole, InstanceId, RequestId, ReservationEnd,
    ReservationOutcome, ReservationRequest, ReservationTransfer,
};
use slotmap::{SlotMap, new_key_type};

use crate::{EngineState, FairQueue, LogEvent, fault_text};

new_key_type! {
    /// Key of a reservation in its shard.
    pub struct ReservationKey;
}

/// Tokens per page of an engine's KV memory.
pub const PAGE_TOKENS: u64 = 4_096;

/// Assumed time from the end of a prefill to the first token.
const HANDOVER_TIME: Duration = Duration::from_millis(100);

/// Assumed time for which a decode occupies its slot, until one was measured.
const DEFAULT_DECODE_TIME: Duration = Duration::from_secs(5);

/// Assumed cost of a request in tokens, until one was measured.
const DEFAULT_COST_TOKENS: f64 = 1_000.0;

/// Cost of a transfer between availability zones, in addition to the prefill time.
const ZONE_PENALTY: Duration = Duration::from_millis(5);

/// Weight of a new measurement in a moving average.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Progress of a reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Queued,
    Prefill,
    Decode,
}

#[derive(Debug)]
struct Reservation {
    request: ReservationRequest,
    /// Instance that requested the reservation.
    from: InstanceId,
    phase: Phase,
    /// Time at which the first token is due.
    due: Duration,
    granted_at: Duration,
    prefill: EngineId,
    decode: EngineId,
}

/// Outcome of a reservation, to be sent to the instance that requested it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReservationNotice {
    /// Instance that serves the request.
    pub to: InstanceId,
    /// Id of the request.
    pub id: RequestId,
    /// Attempt of the request.
    pub attempt: u32,
    /// The outcome.
    pub outcome: ReservationOutcome,
}

/// Engines, queue and reservations of one shard.
#[derive(Debug, Default)]
pub struct EngineShard {
    engines: BTreeMap<EngineId, EngineState>,
    reservations: SlotMap<ReservationKey, Reservation>,
    by_id: BTreeMap<RequestId, ReservationKey>,
    queue: FairQueue<ReservationKey>,
    /// Moving average of the time for which a decode occupies its slot, in seconds.
    decode_seconds: Option<f64>,
    /// Moving average of the prefill time, in seconds.
    prefill_seconds: Option<f64>,
    /// Moving average of the cost of a granted request, in tokens.
    cost_tokens: Option<f64>,
    /// Decode engines that are slower than the others with high confidence; they are chosen last.
    stragglers: BTreeSet<EngineId>,
    notices: Vec<ReservationNotice>,
    log_events: Vec<LogEvent>,
}

impl EngineShard {
    /// Returns the engines.
    pub fn engines(&self) -> impl Iterator<Item = &EngineState> {
        self.engines.values()
    }

    /// Returns an engine; `None` if it is not in the shard.
    pub fn engine_mut(&mut self, id: &EngineId) -> Option<&mut EngineState> {
        self.engines.get_mut(id)
    }

    /// Adds an engine, or updates its state from the platform's list.
    ///
    /// An engine whose address or role has changed is replaced by a new one.
    pub fn update_engine(&mut self, listed: EngineState) {
        match self.engines.get_mut(&listed.id) {
            Some(known) if known.address == listed.address && known.role == listed.role => {
                known.state = listed.state;
            }
            _ => {
                self.engines.insert(listed.id.clone(), listed);
            }
        }
    }

    /// Removes the engines for which `keep` returns false.
    pub fn retain_engines(&mut self, keep: impl Fn(&EngineId) -> bool) {
        self.engines.retain(|id, _| keep(id));
    }

    /// Returns the notices to send since the last call.
    pub fn take_notices(&mut self) -> Vec<ReservationNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Returns the events to log since the last call.
    pub fn take_log_events(&mut self) -> Vec<LogEvent> {
        std::mem::take(&mut self.log_events)
    }

    /// Returns the requests in the shard, queued or granted, per healthy decode slot, in percent.
    pub fn pressure(&self, now: Duration) -> u32 {
        let slots = self.decode_slots(now).max(1) as usize;
        let reserved = self.reservations.len();
        (reserved * 100 / slots) as u32
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests engines; a repeated request gets the same answer again.
    pub fn submit(&mut self, from: InstanceId, request: ReservationRequest, now: Duration) {
        if let Some(key) = self.by_id.get(&request.id).copied() {
            if self.reservations[key].request.attempt >= request.attempt {
                return self.repeat_outcome(key);
            }
            self.remove(key, now);
        }
        let due = now + Duration::from_millis(u64::from(request.due_ms));
        if let Some(retry_after_ms) = self.refusal(&request, due, now) {
            let outcome = ReservationOutcome::Refused { retry_after_ms };
            let (id, attempt) = (request.id, request.attempt);
            return self.notices.push(ReservationNotice {
                to: from,
                id,
                attempt,
                outcome,
            });
        }
        self.enqueue(from, request, due, now);
        self.process_queue(now);
    }

    /// Takes over a reservation that the previous scheduler granted.
    pub fn adopt(&mut self, from: InstanceId, transfer: ReservationTransfer, now: Duration) {
        let ReservationTransfer {
            request,
            allocation,
            decoding,
        } = transfer;
        if self.by_id.contains_key(&request.id) {
            return;
        }
        let (id, pages, suspect) = (request.id.clone(), pages(&request), request.suspect);
        let (prefill, decode) = (allocation.prefill, allocation.decode);
        let key = self.reservations.insert(Reservation {
            request,
            from,
            phase: if decoding {
                Phase::Decode
            } else {
                Phase::Prefill
            },
            due: now,
            granted_at: now,
            prefill: prefill.clone(),
            decode: decode.clone(),
        });
        self.by_id.insert(id, key);
        if let Some(engine) = self.engines.get_mut(&decode) {
            engine.reserve(key, pages, suspect, now);
        }
        if let Some(engine) = self.engines.get_mut(&prefill).filter(|_| !decoding) {
            engine.reserve(key, 0, suspect, now);
        }
    }

    /// Records the end of a reservation's prefill.
    pub fn prefill_done(
        &mut self,
        id: &RequestId,
        cached_tokens: u32,
        took: Duration,
        now: Duration,
    ) {
        let Some(key) = self.by_id.get(id).copied() else {
            return;
        };
        let reservation = &mut self.reservations[key];
        if reservation.phase != Phase::Prefill {
            return;
        }
        reservation.phase = Phase::Decode;
        let uncached = reservation
            .request
            .prompt_tokens
            .saturating_sub(u64::from(cached_tokens));
        update_average(&mut self.prefill_seconds, took.as_secs_f64());
        if let Some(engine) = self.engines.get_mut(&reservation.prefill) {
            engine.release(key, now);
            engine.measure_prefill(uncached as f64, took);
            engine
                .cache
                .correct(&reservation.request.prefix, u64::from(cached_tokens), now);
        }
        self.process_queue(now);
    }

    /// Records the first token of a reservation's decode.
    pub fn decode_started(&mut self, id: &RequestId, now: Duration) {
        let Some(key) = self.by_id.get(id).copied() else {
            return;
        };
        let reservation = &mut self.reservations[key];
        if reservation.phase == Phase::Queued {
            return;
        }
        let was_prefill = reservation.phase == Phase::Prefill;
        reservation.phase = Phase::Decode;
        // Only the first token proves that transfers from the prefill engine work.
        for id in [&reservation.prefill, &reservation.decode] {
            let Some(engine) = self.engines.get_mut(id) else {
                continue;
            };
            if was_prefill && *id == reservation.prefill {
                // The message that reports the end of the prefill was lost.
                engine.release(key, now);
            }
            engine.clear_suspect(key);
            if engine.succeed(now) {
                let engine = engine.id.clone();
                self.log_events.push(LogEvent::EngineRecovered { engine });
            }
        }
        self.process_queue(now);
    }

    /// Records the time that a decode took for `tokens` tokens after its first one.
    pub fn record_token_rate(&mut self, id: &RequestId, tokens: u64, took: Duration) {
        let reservation = self
            .by_id
            .get(id)
            .and_then(|key| self.reservations.get(*key));
        if let Some(decode) = reservation.map(|reservation| reservation.decode.clone()) {
            self.update_token_rate(&decode, took, tokens);
        }
    }

    /// Ends a reservation.
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
        let reservation = &self.reservations[key];
        match end {
            ReservationEnd::Done if reservation.phase == Phase::Decode => {
                let occupied = now.saturating_sub(reservation.granted_at).as_secs_f64();
                update_average(&mut self.decode_seconds, occupied);
            }
            ReservationEnd::Done => {}
            ReservationEnd::PrefillFailed(fault) => {
                self.fail(&reservation.prefill.clone(), fault, now)
            }
            // KV cache is lost on the prefill engine or during the transfer from it.
            ReservationEnd::DecodeFailed(EngineFault::KvLost) => {
                self.fail(&reservation.prefill.clone(), EngineFault::KvLost, now);
            }
            ReservationEnd::DecodeFailed(fault) => {
                self.fail(&reservation.decode.clone(), fault, now)
            }
        }
        let customer = self.reservations[key].request.customer.clone();
        self.queue.credit(&customer, unused_tokens as f64);
        self.remove(key, now);
        self.process_queue(now);
    }

    /// Records the answer to a probe; `load` is `None` if the engine did not answer.
    pub fn record_probe(
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
        self.process_queue(now);
    }

    /// Returns the requests with reservations, by instance.
    pub fn reservations_by_instance(&self) -> BTreeMap<InstanceId, Vec<RequestId>> {
        let mut by_instance: BTreeMap<InstanceId, Vec<RequestId>> = BTreeMap::new();
        for reservation in self.reservations.values() {
            let requests = by_instance.entry(reservation.from.clone()).or_default();
            requests.push(reservation.request.id.clone());
        }
        by_instance
    }

    /// Removes the reservations of requests for which `is_lost` returns true.
    pub fn drop_lost(&mut self, is_lost: impl Fn(&RequestId) -> bool, now: Duration) {
        let lost: Vec<ReservationKey> = self
            .reservations
            .iter()
            .filter(|(_, reservation)| is_lost(&reservation.request.id))
            .map(|(key, _)| key)
            .collect();
        for key in lost {
            self.remove(key, now);
        }
        self.process_queue(now);
    }

    /// Refuses the requests that can no longer start in time, and grants those that fit.
    pub fn process_queue(&mut self, now: Duration) {
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
        // A retried request was granted engines before, so it does not queue behind the others.
        let at_front = request.attempt > 1;
        let (customer, weight) = (request.customer.clone(), request.weight);
        let (class, id) = (request.class, request.id.clone());
        let key = self.reservations.insert(Reservation {
            request,
            from,
            phase: Phase::Queued,
            due,
            granted_at: now,
            prefill: EngineId::default(),
            decode: EngineId::default(),
        });
        self.by_id.insert(id, key);
        self.queue
            .push(&customer, weight, class, cost, key, at_front);
        self.notify(key, ReservationOutcome::Queued);
    }

    fn grant(&mut self, key: ReservationKey, prefill: EngineId, decode: EngineId, now: Duration) {
        let pages = pages(&self.reservations[key].request);
        let cost = cost(&self.reservations[key].request);
        update_average(&mut self.cost_tokens, cost);
        let is_prefilled = self.reservations[key].request.prefilled.is_some();
        let reservation = &mut self.reservations[key];
        reservation.phase = if is_prefilled {
            Phase::Decode
        } else {
            Phase::Prefill
        };
        reservation.granted_at = now;
        reservation.prefill = prefill;
        reservation.decode = decode;
        let (prefill, decode) = (reservation.prefill.clone(), reservation.decode.clone());
        let suspect = reservation.request.suspect;
        let prefix = reservation.request.prefix.clone();
        let (Some(p), Some(d)) = (self.engines.get(&prefill), self.engines.get(&decode)) else {
            return;
        };
        let allocation = Allocation {
            prefill: prefill.clone(),
            prefill_address: p.address.clone(),
            decode: decode.clone(),
            decode_address: d.address.clone(),
        };
        if let Some(engine) = self.engines.get_mut(&prefill).filter(|_| !is_prefilled) {
            engine.reserve(key, 0, suspect, now);
            engine.cache.insert(&prefix, now);
        }
        if let Some(engine) = self.engines.get_mut(&decode) {
            engine.reserve(key, pages, suspect, now);
        }
        self.notify(key, ReservationOutcome::Granted(allocation));
    }

    /// Chooses engines, the decode engine first; `None` if the request must wait.
    fn place(&self, key: ReservationKey, now: Duration) -> Option<(EngineId, EngineId)> {
        let request = &self.reservations[key].request;
        let pages = pages(request);
        let candidates = |role, pages| {
            let all = self.engines.values();
            let allowed = self.allowed(request, role, now);
            all.filter(move |e| e.role == role && allowed(e) && e.fits(pages, request.suspect, now))
        };
        let decode = candidates(EngineRole::Decode, pages).min_by(|a, b| {
            let is_straggler = |engine: &EngineState| self.stragglers.contains(&engine.id);
            is_straggler(a)
                .cmp(&is_straggler(b))
                .then(a.utilization().total_cmp(&b.utilization()))
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
        let prefill = candidates(EngineRole::Prefill, 0).min_by_key(|engine| cost(engine))?;
        Some((prefill.id.clone(), decode.id.clone()))
    }

    /// Returns a filter of the engines that a request may use: it avoids those that failed it
    /// before if there is another.
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

    /// Returns the delay after which to retry, in milliseconds, if the request cannot start in
    /// time.
    fn refusal(&self, request: &ReservationRequest, due: Duration, now: Duration) -> Option<u32> {
        let slots = self.decode_slots(now);
        if request.attempt > 1 {
            // A retried request was accepted before, so it waits until its due time.
            return None;
        }
        if slots == 0 || !self.engines.values().any(|e| e.could_fit(pages(request))) {
            // The engines may not have been probed yet; the due time bounds the wait.
            return None;
        }
        let per_second =
            self.grants_per_second(slots, now) * self.cost_tokens.unwrap_or(DEFAULT_COST_TOKENS);
        let (customer, weight) = (&request.customer, request.weight);
        let wait = self.queue.tokens_before(customer, weight, request.class) / per_second;
        // Capped, as `Duration::from_secs_f64` panics on an infinite or too large value.
        let start = now + Duration::from_secs_f64(wait.min(3_600.0));
        let first_token = start + self.min_prefill_time(request) + HANDOVER_TIME;
        (first_token > due).then(|| ((wait * 1_000.0) as u32).max(100))
    }

    fn refuse_late(&mut self, now: Duration) {
        let waiting = self
            .reservations
            .iter()
            .filter(|(_, reservation)| reservation.phase == Phase::Queued);
        let late: Vec<ReservationKey> = waiting
            .filter(|(_, reservation)| {
                now + self.min_prefill_time(&reservation.request) + HANDOVER_TIME > reservation.due
            })
            .map(|(key, _)| key)
            .collect();
        for key in late {
            let per_second = self.grants_per_second(self.decode_slots(now).max(1), now);
            let retry_after_ms = (self.queue.len() as f64 * 1_000.0 / per_second) as u32;
            let outcome = ReservationOutcome::Refused {
                retry_after_ms: retry_after_ms.clamp(100, 60_000),
            };
            self.notify(key, outcome);
            self.remove(key, now);
        }
    }

    fn min_prefill_time(&self, request: &ReservationRequest) -> Duration {
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

    /// Returns the grants per second that the decode slots and the prefill engines allow.
    fn grants_per_second(&self, slots: u32, now: Duration) -> f64 {
        let decode = self
            .decode_seconds
            .unwrap_or(DEFAULT_DECODE_TIME.as_secs_f64())
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

    /// Records the time that a decode took, and compares its engine with the others.
    fn update_token_rate(&mut self, id: &EngineId, took: Duration, tokens: u64) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        engine.token_rate.measure(took, tokens);
        let others = self.engines.values().filter(|engine| engine.id != *id);
        let mut means: Vec<f64> = others
            .filter_map(|engine| engine.token_rate.mean())
            .collect();
        means.sort_by(f64::total_cmp);
        let Some(median) = means.get(means.len() / 2).copied() else {
            return;
        };
        let is_straggler = self
            .engines
            .get(id)
            .is_some_and(|engine| engine.token_rate.is_straggler(median));
        match is_straggler {
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
            self.log_events.push(LogEvent::EngineFailed {
                engine: id.clone(),
                fault,
            });
        }
    }

    fn repeat_outcome(&mut self, key: ReservationKey) {
        let reservation = &self.reservations[key];
        if reservation.phase == Phase::Queued {
            return self.notify(key, ReservationOutcome::Queued);
        }
        let (prefill, decode) = (reservation.prefill.clone(), reservation.decode.clone());
        let address = |id| self.engines.get(id).map(|engine| engine.address.clone());
        if let (Some(prefill_address), Some(decode_address)) = (address(&prefill), address(&decode))
        {
            let allocation = Allocation {
                prefill,
                prefill_address,
                decode,
                decode_address,
            };
            self.notify(key, ReservationOutcome::Granted(allocation));
        }
    }

    fn remove(&mut self, key: ReservationKey, now: Duration) {
        let Some(reservation) = self.reservations.remove(key) else {
            return;
        };
        self.by_id.remove(&reservation.request.id);
        self.queue.remove(key);
        for id in [&reservation.prefill, &reservation.decode] {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.release(key, now);
            }
        }
    }

    fn notify(&mut self, key: ReservationKey, outcome: ReservationOutcome) {
        let reservation = &self.reservations[key];
        let (id, attempt) = (reservation.request.id.clone(), reservation.request.attempt);
        self.notices.push(ReservationNotice {
            to: reservation.from.clone(),
            id,
            attempt,
            outcome,
        });
    }
}

/// Returns the pages that a request needs on a decode engine, for its prompt and all its output.
fn pages(request: &ReservationRequest) -> u32 {
    (request.prompt_tokens + request.output_tokens).div_ceil(PAGE_TOKENS) as u32
}

/// Returns the cost of a request in the fair queue, in tokens.
fn cost(request: &ReservationRequest) -> f64 {
    (request.prompt_tokens + request.output_tokens) as f64
}

fn update_average(mean: &mut Option<f64>, value: f64) {
    *mean = Some(mean.map_or(value, |old| old + (value - old) * AVERAGE_WEIGHT));
}
