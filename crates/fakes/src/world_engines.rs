//! Calls to the simulated engines and workers, and their processing.

use crate::engine::DecodeStream;
use crate::engine::EngineCall;
use crate::engine::PrefillJob;
use crate::worker::WorkerRun;
use crate::world::ScheduledEvent;
use crate::{FakeEngine, FakeWorker, World};
use jacinthlever_core::{
    CLEARED_AFTER_TOKENS, Call, CallFault, CallId, CallResult, CallerId, Event, PlainResponse,
    Target,
};
use jacinthlever_types::{FinishReason, KvSource};
use serde_json::json;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;

/// Time without a byte after which a client gives up on a prefill.
const PREFILL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without a token after which a client gives up on a decode.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(800);

/// Time within which a plain service must answer.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a leaving machine must get no new work.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Token position at which a crashing request takes down its decode engine.
const CRASH_POSITION: u32 = 3;

impl World {
    /// Crashes an engine.
    pub fn crash_engine(&mut self, id: &str) {
        if let Some(address) = self.engine_address(id) {
            self.crash_engine_at(&address);
        }
    }

    /// Restarts an engine.
    pub fn restart_engine(&mut self, id: &str) {
        if let Some(engine) = self.engine_mut(id) {
            engine.up = true;
        }
    }

    /// Returns the engine of a name.
    pub fn engine_mut(&mut self, id: &str) -> Option<&mut FakeEngine> {
        self.engines.values_mut().find(|engine| engine.id == id)
    }

    /// Returns the worker of a name.
    pub fn worker_mut(&mut self, id: &str) -> Option<&mut FakeWorker> {
        self.workers.values_mut().find(|worker| worker.id == id)
    }

    pub(crate) fn call(&mut self, instance: usize, call: CallId, address: SmolStr, request: Call) {
        let is_up = match (self.engines.get(&address), self.workers.get(&address)) {
            (Some(engine), _) => engine.up,
            (_, Some(worker)) => worker.up,
            _ => false,
        };
        let reaches = self
            .network
            .reaches(&self.instances[instance].id.clone(), &address);
        if !is_up || !reaches {
            let fault = if reaches {
                CallFault::Refused
            } else {
                CallFault::Stalled
            };
            let wait = if reaches {
                self.network.latency() * 2
            } else {
                TOKEN_TIMEOUT
            };
            let position = self.position_of(&request);
            return self.deliver_failure(instance, call, fault, position, wait);
        }
        self.record_late_dispatch(&address, &request);
        let incarnation = self.instances[instance].incarnation;
        let job = |caller, attempt| EngineCall {
            instance,
            incarnation,
            call,
            caller,
            attempt,
        };
        match request {
            Call::Load => self.report_load(instance, call, &address),
            Call::Cancel { attempt } => {
                if let Some(engine) = self.engines.get_mut(&address) {
                    engine.streams.remove(&attempt);
                    engine.prefills.retain(|job| job.call.attempt != attempt);
                }
                self.deliver_result(
                    instance,
                    call,
                    CallResult::Cancelled,
                    self.network.latency() * 2,
                );
            }
            Call::Prefill { caller, attempt } => {
                self.record_request_id(caller, &attempt);
                self.prefill(&address, job(caller, attempt));
            }
            Call::Decode {
                caller,
                attempt,
                source,
                max_tokens,
                ..
            } => {
                self.record_request_id(caller, &attempt);

                self.decode(&address, job(caller, attempt), &source, max_tokens);
            }
            Call::Resume { caller, .. } => {
                // Simulated streams break only together with their engine.
                let (fault, position) = (CallFault::KvLost, self.outcomes[&caller].tokens);
                self.deliver_failure(instance, call, fault, position, self.network.latency() * 2);
            }
            Call::Plain { caller, attempt } => {
                self.record_request_id(caller, &attempt);
                self.run_plain_call(
                    &address,
                    WorkerRun {
                        instance,
                        incarnation,
                        call,
                        caller,
                    },
                );
            }
        }
    }

    pub(crate) fn record_late_dispatch(&mut self, address: &SmolStr, request: &Call) {
        let is_new = matches!(request, Call::Prefill { .. } | Call::Plain { .. });
        let since = self.leaving_since.get(address).filter(|_| is_new);
        if let Some(since) = since.filter(|since| self.now > **since + LEAVING_GRACE) {
            self.late_dispatches.push(format!(
                "{address} has been leaving since {since:?} but got new work at {:?}",
                self.now
            ));
        }
    }

    /// Records the id of the request that serves a caller, taken from the id of its attempt.
    pub(crate) fn record_request_id(&mut self, caller: CallerId, attempt: &SmolStr) {
        if let Some((name, _)) = attempt.rsplit_once('-') {
            self.request_ids.insert(caller, SmolStr::new(name));
        }
        if let Some(outcome) = self.outcomes.get_mut(&caller) {
            outcome.attempt = attempt.to_string();
        }
    }

    pub(crate) fn position_of(&self, request: &Call) -> u32 {
        match request {
            Call::Prefill { caller, .. }
            | Call::Decode { caller, .. }
            | Call::Resume { caller, .. } => self.outcomes.get(caller).map_or(0, |o| o.tokens),
            _ => 0,
        }
    }

    pub(crate) fn deliver_result(
        &mut self,
        instance: usize,
        call: CallId,
        result: CallResult,
        after: Duration,
    ) {
        self.deliver(self.now + after, instance, Event::Call { call, result });
    }

    pub(crate) fn deliver_failure(
        &mut self,
        instance: usize,
        call: CallId,
        fault: CallFault,
        position: u32,
        after: Duration,
    ) {
        self.deliver_result(
            instance,
            call,
            CallResult::Failed { fault, position },
            after,
        );
    }

    /// Delivers the result of an engine's call to the incarnation that made the call.
    pub(crate) fn deliver_engine_result(
        &mut self,
        job: &EngineCall,
        result: CallResult,
        after: Duration,
    ) {
        if self.instances[job.instance].incarnation == job.incarnation {
            self.deliver_result(job.instance, job.call, result, after);
        }
    }

    pub(crate) fn report_load(&mut self, instance: usize, call: CallId, address: &SmolStr) {
        let now = self.now;
        let after = self.network.latency() * 2;
        if let Some(engine) = self.engines.get_mut(address) {
            let load = engine.reported_load(now);
            self.deliver_result(instance, call, CallResult::Load(load), after);
        }
    }

    pub(crate) fn prefill(&mut self, address: &SmolStr, call: EngineCall) {
        let outcome = &self.outcomes[&call.caller];
        let tokens = outcome.script.prompt_tokens + outcome.tokens;
        let prefix = match &outcome.script.target {
            Target::Model { prefix, .. } => prefix.clone(),
            _ => Vec::new(),
        };
        let position = outcome.tokens;
        let after = self.network.latency() * 2;
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        if !engine.has_capacity(0) {
            let result = CallResult::Failed {
                fault: CallFault::Full,
                position,
            };
            return self.deliver_engine_result(&call, result, after);
        }
        let (generation, attempt) = (engine.generation, call.attempt.clone());
        engine.prefills.push_back(PrefillJob {
            call,
            tokens,
            cached: 0,
            prefix,
        });
        let is_first = engine.prefills.len() == 1;
        if engine.faults.stalled {
            let at = self.now + PREFILL_TIMEOUT;
            return self.schedule(
                at,
                ScheduledEvent::Timeout(address.clone(), generation, attempt),
            );
        }
        if is_first {
            self.start_prefill(address);
        }
    }

    pub(crate) fn start_prefill(&mut self, address: &SmolStr) {
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        let Some(job) = engine.prefills.front().cloned() else {
            return;
        };
        let cached = engine.cache(&job.prefix, job.tokens);
        if let Some(job) = engine.prefills.front_mut() {
            job.cached = cached;
        }
        let uncached = job.tokens - cached;
        let time = Duration::from_secs_f64(f64::from(uncached) / engine.spec.prefill_rate);
        let time = engine.apply_slowdown(time) + Duration::from_millis(2);
        engine.prefilled += u64::from(uncached);
        let generation = engine.generation;
        self.schedule(
            self.now + time,
            ScheduledEvent::PrefillDone(address.clone(), generation),
        );
    }

    pub(crate) fn prefill_done(&mut self, address: &SmolStr, generation: u64) {
        let now = self.now;
        let after = self.network.latency();
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        if engine.generation != generation || engine.faults.stalled {
            return;
        }
        let Some(job) = engine.prefills.pop_front() else {
            return;
        };
        let kv = engine.store_kv(job.tokens, now);
        let uncached = u64::from(job.tokens - job.cached);
        let wasted = self.unused_prefill.insert(job.call.caller, uncached);
        self.wasted_prefill += wasted.unwrap_or_default();
        let result = CallResult::Prefilled {
            kv,
            prompt_tokens: job.tokens,
            cached_tokens: job.cached,
        };
        self.deliver_engine_result(&job.call, result, after);
        self.start_prefill(address);
    }

    pub(crate) fn decode(
        &mut self,
        address: &SmolStr,
        call: EngineCall,
        source: &KvSource,
        max_tokens: u32,
    ) {
        let outcome = &self.outcomes[&call.caller];
        let (position, crashes_engine) = (outcome.tokens, outcome.script.crashes_engine);
        let end = outcome.script.length;
        let tokens = u64::from(outcome.script.prompt_tokens) + u64::from(max_tokens);
        let pages = FakeEngine::pages(tokens);
        let round_trip = self.network.latency() * 2;
        let failed = |fault| CallResult::Failed { fault, position };
        let has_capacity = self
            .engines
            .get(address)
            .is_some_and(|engine| engine.has_capacity(pages));
        if !has_capacity {
            return self.deliver_engine_result(&call, failed(CallFault::Full), round_trip);
        }
        let Some(arrives) = self.start_transfer(source) else {
            return self.deliver_engine_result(&call, failed(CallFault::KvLost), round_trip);
        };
        let now = self.now;
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };

        let (generation, attempt) = (engine.generation, call.attempt.clone());
        let stalled = engine.faults.stalled;
        let stream = DecodeStream {
            call,
            position,
            from: position,
            end,
            pages,
            crashes_engine,
            ready: false,
            since: now,
        };
        engine.streams.insert(attempt.clone(), stream);
        let timeout = now + TOKEN_TIMEOUT;
        self.schedule(
            timeout,
            ScheduledEvent::Timeout(address.clone(), generation, attempt.clone()),
        );
        if let Some(arrives) = arrives.filter(|_| !stalled) {
            self.schedule(
                arrives,
                ScheduledEvent::KvArrived(address.clone(), generation, attempt),
            );
        }
    }

    /// Starts the transfer of KV cache and returns when it arrives: `Some(None)` if the transfer
    /// stalls, `None` if the KV cache no longer exists.
    pub(crate) fn start_transfer(&mut self, source: &KvSource) -> Option<Option<Duration>> {
        let now = self.now + self.network.latency();
        let engine = self
            .engines
            .get_mut(&source.address)
            .filter(|engine| engine.up)?;
        let kv = engine.kv.remove(&source.kv)?;
        if now > kv.created_at + engine.spec.kv_ttl {
            return None;
        }
        if engine.faults.stalled_export {
            return Some(None);
        }
        let time = Duration::from_secs_f64(f64::from(kv.tokens) / engine.spec.link_rate);
        let start = engine.link_free.max(now);
        engine.link_free = start + engine.apply_slowdown(time);
        Some(Some(engine.link_free))
    }

    pub(crate) fn kv_arrived(&mut self, address: &SmolStr, generation: u64, attempt: &SmolStr) {
        let now = self.now;
        let Some(engine) = self
            .engines
            .get_mut(address)
            .filter(|e| e.generation == generation)
        else {
            return;
        };
        let Some(stream) = engine.streams.get_mut(attempt) else {
            return;
        };
        stream.ready = true;
        stream.since = now;
        if !engine.stepping {
            engine.stepping = true;
            let time = engine.apply_slowdown(engine.spec.step_time(1));
            self.schedule(
                now + time,
                ScheduledEvent::Step(address.clone(), generation),
            );
        }
    }

    /// Generates one token for each ready stream of an engine.
    pub(crate) fn step(&mut self, address: &SmolStr, generation: u64) {
        let now = self.now;
        let Some(engine) = self
            .engines
            .get_mut(address)
            .filter(|e| e.generation == generation)
        else {
            return;
        };
        if engine.faults.stalled {
            engine.stepping = false;
            return self.schedule_timeouts(address, generation);
        }
        let mut advanced = Vec::new();
        let mut crashes = false;
        for stream in engine.streams.values_mut().filter(|stream| stream.ready) {
            crashes |= stream.crashes_engine && stream.position >= CRASH_POSITION;
            stream.position += 1;
            stream.since = now;
            advanced.push(stream.clone());
        }
        if crashes {
            return self.crash_engine_at(address);
        }
        let ready = advanced.len();
        engine.stepping = ready > 0;
        let time = engine.apply_slowdown(engine.spec.step_time(ready));
        if ready > 0 {
            self.schedule(
                now + time,
                ScheduledEvent::Step(address.clone(), generation),
            );
        }
        for stream in advanced {
            self.deliver_token(address, stream);
        }
    }

    /// Schedules the client timeouts for all streams of a stalled engine.
    pub(crate) fn schedule_timeouts(&mut self, address: &SmolStr, generation: u64) {
        let at = self.now + TOKEN_TIMEOUT;
        let Some(engine) = self.engines.get(address) else {
            return;
        };
        let attempts: Vec<SmolStr> = engine.streams.keys().cloned().collect();
        for attempt in attempts {
            self.schedule(
                at,
                ScheduledEvent::Timeout(address.clone(), generation, attempt),
            );
        }
    }

    pub(crate) fn deliver_token(&mut self, address: &SmolStr, stream: DecodeStream) {
        let now = self.now;
        let after = self.network.latency();
        let instance = &self.instances[stream.call.instance];
        let connected =
            instance.incarnation == stream.call.incarnation && instance.router.is_some();
        let (attempt, position) = (stream.call.attempt.clone(), stream.position);
        if connected && let Some(outcome) = self.outcomes.get_mut(&stream.call.caller) {
            let expected = outcome.attempt == attempt.as_str() && position == outcome.tokens + 1;
            if expected && outcome.disconnected_at.is_none() && outcome.end.is_none() {
                outcome.tokens = position;
                outcome.first_token.get_or_insert(now + after);
                outcome.last_token = Some(now + after);
            }
        }
        if position == stream.from + 1 {
            self.unused_prefill.remove(&stream.call.caller);
            self.deliver_engine_result(&stream.call, CallResult::FirstToken, after);
        }
        if position == CLEARED_AFTER_TOKENS {
            self.deliver_engine_result(&stream.call, CallResult::Cleared, after);
        }
        if position >= stream.end || !connected {
            if let Some(engine) = self.engines.get_mut(address) {
                engine.streams.remove(&attempt);
            }
            let result = CallResult::Decoded {
                finish: FinishReason::Stop,
                position,
            };
            self.deliver_engine_result(&stream.call, result, after);
        }
    }

    pub(crate) fn timed_out(&mut self, address: &SmolStr, generation: u64, attempt: &SmolStr) {
        let now = self.now;
        let Some(engine) = self
            .engines
            .get_mut(address)
            .filter(|e| e.generation == generation)
        else {
            return;
        };
        if let Some(at) = engine
            .prefills
            .iter()
            .position(|job| job.call.attempt == *attempt)
        {
            if let Some(job) = engine.prefills.remove(at) {
                let position = self.outcomes[&job.call.caller].tokens;
                let result = CallResult::Failed {
                    fault: CallFault::Stalled,
                    position,
                };
                self.deliver_engine_result(&job.call, result, Duration::ZERO);
            }
            return;
        }
        let Some(stream) = engine.streams.get(attempt).cloned() else {
            return;
        };
        if now < stream.since + TOKEN_TIMEOUT {
            return;
        }
        // An engine aborts a stalled import and reports it; a stalled engine reports nothing.
        let importing = !stream.ready && !engine.faults.stalled;
        let fault = if importing {
            CallFault::KvLost
        } else {
            CallFault::Stalled
        };
        let position = self.outcomes[&stream.call.caller].tokens;
        let result = CallResult::Failed { fault, position };
        self.deliver_engine_result(&stream.call, result, Duration::ZERO);
    }

    pub(crate) fn crash_engine_at(&mut self, address: &SmolStr) {
        let after = self.network.latency();
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        engine.up = false;
        engine.crashes += 1;
        let prefills = engine.prefills.iter().map(|job| job.call.clone());
        let streams = engine.streams.values().map(|stream| stream.call.clone());
        let calls: Vec<EngineCall> = prefills.chain(streams).collect();
        engine.reset();
        for call in calls {
            let position = self.outcomes[&call.caller].tokens;
            let result = CallResult::Failed {
                fault: CallFault::Crashed,
                position,
            };
            self.deliver_engine_result(&call, result, after);
        }
    }

    /// Closes the connections of a dead instance to backend servers for a caller.
    pub(crate) fn drop_connections(&mut self, caller: CallerId) {
        for engine in self.engines.values_mut() {
            engine
                .streams
                .retain(|_, stream| stream.call.caller != caller);
            engine.prefills.retain(|job| job.call.caller != caller);
        }
    }

    pub(crate) fn run_plain_call(&mut self, address: &SmolStr, run: WorkerRun) {
        let Some(worker) = self.workers.get_mut(address) else {
            return;
        };
        worker.runs.push(run.caller);
        let (call_time, stalled, call) = (worker.call_time, worker.stalled, run.call);
        if stalled {
            let result = CallResult::Failed {
                fault: CallFault::Stalled,
                position: 0,
            };
            return self.deliver_result(run.instance, call, result, SERVICE_TIMEOUT);
        }
        worker.running.push(run);
        self.schedule(
            self.now + call_time,
            ScheduledEvent::WorkerDone(address.clone(), call),
        );
    }

    pub(crate) fn worker_done(&mut self, address: &SmolStr, call: CallId) {
        let after = self.network.latency();
        let Some(worker) = self.workers.get_mut(address) else {
            return;
        };
        let Some(at) = worker.running.iter().position(|run| run.call == call) else {
            return;
        };
        let run = worker.running.remove(at);
        let number = worker.runs.len();
        let response = PlainResponse {
            status: 200,
            content_type: SmolStr::new_static("application/json"),
            body: json!({"run": number}).to_string().into_bytes(),
        };
        if self.instances[run.instance].incarnation == run.incarnation {
            self.deliver_result(
                run.instance,
                call,
                CallResult::Plain(Arc::new(response)),
                after,
            );
        }
    }

    /// Crashes a worker while it runs calls.
    pub fn crash_worker(&mut self, id: &str) {
        let after = self.network.latency();
        let Some(worker) = self.worker_mut(id) else {
            return;
        };
        worker.up = false;
        for run in std::mem::take(&mut worker.running) {
            let result = CallResult::Failed {
                fault: CallFault::Crashed,
                position: 0,
            };
            if self.instances[run.instance].incarnation == run.incarnation {
                self.deliver_result(run.instance, run.call, result, after);
            }
        }
    }

    pub(crate) fn engine_address(&self, id: &str) -> Option<SmolStr> {
        let mut engines = self.engines.iter();
        engines
            .find(|(_, engine)| engine.id == id)
            .map(|(address, _)| address.clone())
    }
}
