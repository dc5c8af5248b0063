//! Calls to the engines and workers of the world, and what they do.

use crate::engine::DecodeStream;
use crate::engine::EngineCall;
use crate::engine::PrefillJob;
use crate::worker::WorkerRun;
use crate::world::Happening;
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

/// Time without a byte after which a shell gives a prefill up.
const PREFILL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without a token after which a shell gives a decode up.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(800);

/// Time in which a plain service must answer.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a leaving machine gets no new work.
const LEFT_AFTER: Duration = Duration::from_secs(3);

/// Position at which a poisonous request crashes its decode engine.
const POISON_AT: u32 = 3;

impl World {
    /// Crashes an engine.
    pub fn crash_engine(&mut self, id: &str) {
        if let Some(address) = self.engine_address(id) {
            self.crash_at(&address);
        }
    }

    /// Starts an engine again.
    pub fn restart_engine(&mut self, id: &str) {
        if let Some(engine) = self.engine_mut(id) {
            engine.up = true;
        }
    }

    /// Returns an engine by name.
    pub fn engine_mut(&mut self, id: &str) -> Option<&mut FakeEngine> {
        self.engines.values_mut().find(|engine| engine.id == id)
    }

    /// Returns a worker by name.
    pub fn worker_mut(&mut self, id: &str) -> Option<&mut FakeWorker> {
        self.workers.values_mut().find(|worker| worker.id == id)
    }

    pub(crate) fn call(&mut self, node: usize, call: CallId, address: SmolStr, request: Call) {
        let is_up = match (self.engines.get(&address), self.workers.get(&address)) {
            (Some(engine), _) => engine.up,
            (_, Some(worker)) => worker.up,
            _ => false,
        };
        let reaches = self.network.reaches(&self.nodes[node].id.clone(), &address);
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
            return self.fail(node, call, fault, position, wait);
        }
        self.note_late_work(&address, &request);
        let incarnation = self.nodes[node].incarnation;
        let job = |caller, attempt| EngineCall {
            node,
            incarnation,
            call,
            caller,
            attempt,
        };
        match request {
            Call::Load => self.load(node, call, &address),
            Call::Cancel { attempt } => {
                if let Some(engine) = self.engines.get_mut(&address) {
                    engine.streams.remove(&attempt);
                    engine.prefills.retain(|job| job.call.attempt != attempt);
                }
                self.result(
                    node,
                    call,
                    CallResult::Cancelled,
                    self.network.latency() * 2,
                );
            }
            Call::Prefill { caller, attempt } => {
                self.name(caller, &attempt);
                self.prefill(&address, job(caller, attempt));
            }
            Call::Decode {
                caller,
                attempt,
                source,
                max_tokens,
                ..
            } => {
                self.name(caller, &attempt);

                self.decode(&address, job(caller, attempt), &source, max_tokens);
            }
            Call::Resume { caller, .. } => {
                // Streams of the world break only with their engine.
                let (fault, position) = (CallFault::KvLost, self.outcomes[&caller].tokens);
                self.fail(node, call, fault, position, self.network.latency() * 2);
            }
            Call::Plain { caller, attempt } => {
                self.name(caller, &attempt);
                self.serve(
                    &address,
                    WorkerRun {
                        node,
                        incarnation,
                        call,
                        caller,
                    },
                );
            }
        }
    }

    pub(crate) fn note_late_work(&mut self, address: &SmolStr, request: &Call) {
        let is_new = matches!(request, Call::Prefill { .. } | Call::Plain { .. });
        let left = self.left_at.get(address).filter(|_| is_new);
        if let Some(left) = left.filter(|left| self.now > **left + LEFT_AFTER) {
            self.late_work.push(format!(
                "{address} left at {left:?}, got work at {:?}",
                self.now
            ));
        }
    }

    /// Remembers which request serves a caller, from the name of its attempt.
    pub(crate) fn name(&mut self, caller: CallerId, attempt: &SmolStr) {
        if let Some((name, _)) = attempt.rsplit_once('-') {
            self.names.insert(caller, SmolStr::new(name));
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

    pub(crate) fn result(
        &mut self,
        node: usize,
        call: CallId,
        result: CallResult,
        after: Duration,
    ) {
        self.deliver(self.now + after, node, Event::Call { call, result });
    }

    pub(crate) fn fail(
        &mut self,
        node: usize,
        call: CallId,
        fault: CallFault,
        position: u32,
        after: Duration,
    ) {
        self.result(node, call, CallResult::Failed { fault, position }, after);
    }

    /// Gives the end of an engine's call to the incarnation that made it.
    pub(crate) fn answer(&mut self, job: &EngineCall, result: CallResult, after: Duration) {
        if self.nodes[job.node].incarnation == job.incarnation {
            self.result(job.node, job.call, result, after);
        }
    }

    pub(crate) fn load(&mut self, node: usize, call: CallId, address: &SmolStr) {
        let now = self.now;
        let after = self.network.latency() * 2;
        if let Some(engine) = self.engines.get_mut(address) {
            let load = engine.report(now);
            self.result(node, call, CallResult::Load(load), after);
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
        if !engine.has_room(0) {
            let result = CallResult::Failed {
                fault: CallFault::Full,
                position,
            };
            return self.answer(&call, result, after);
        }
        let (life, attempt) = (engine.life, call.attempt.clone());
        engine.prefills.push_back(PrefillJob {
            call,
            tokens,
            cached: 0,
            prefix,
        });
        let is_first = engine.prefills.len() == 1;
        if engine.faults.stalled {
            let at = self.now + PREFILL_TIMEOUT;
            return self.schedule(at, Happening::Timeout(address.clone(), life, attempt));
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
        let fresh = job.tokens - cached;
        let time = Duration::from_secs_f64(f64::from(fresh) / engine.spec.prefill_rate);
        let time = engine.slowed(time) + Duration::from_millis(2);
        engine.prefilled += u64::from(fresh);
        let life = engine.life;
        self.schedule(
            self.now + time,
            Happening::PrefillDone(address.clone(), life),
        );
    }

    pub(crate) fn prefill_done(&mut self, address: &SmolStr, life: u64) {
        let now = self.now;
        let after = self.network.latency();
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        if engine.life != life || engine.faults.stalled {
            return;
        }
        let Some(job) = engine.prefills.pop_front() else {
            return;
        };
        let kv = engine.keep_kv(job.tokens, now);
        let fresh = u64::from(job.tokens - job.cached);
        let wasted = self.unused_prefill.insert(job.call.caller, fresh);
        self.wasted_prefill += wasted.unwrap_or_default();
        let result = CallResult::Prefilled {
            kv,
            prompt_tokens: job.tokens,
            cached_tokens: job.cached,
        };
        self.answer(&job.call, result, after);
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
        let (position, poison) = (outcome.tokens, outcome.script.poison);
        let end = outcome.script.length;
        let tokens = u64::from(outcome.script.prompt_tokens) + u64::from(max_tokens);
        let pages = FakeEngine::pages(tokens);
        let back = self.network.latency() * 2;
        let failed = |fault| CallResult::Failed { fault, position };
        let has_room = self
            .engines
            .get(address)
            .is_some_and(|engine| engine.has_room(pages));
        if !has_room {
            return self.answer(&call, failed(CallFault::Full), back);
        }
        let Some(arrives) = self.export(source) else {
            return self.answer(&call, failed(CallFault::KvLost), back);
        };
        let now = self.now;
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };

        let (life, attempt) = (engine.life, call.attempt.clone());
        let stalled = engine.faults.stalled;
        let stream = DecodeStream {
            call,
            position,
            from: position,
            end,
            pages,
            is_poison: poison,
            ready: false,
            since: now,
        };
        engine.streams.insert(attempt.clone(), stream);
        let timeout = now + TOKEN_TIMEOUT;
        self.schedule(
            timeout,
            Happening::Timeout(address.clone(), life, attempt.clone()),
        );
        if let Some(arrives) = arrives.filter(|_| !stalled) {
            self.schedule(
                arrives,
                Happening::KvArrived(address.clone(), life, attempt),
            );
        }
    }

    /// Returns when KV cache arrives; `None` within if the transfer stalls, outside if it is gone.
    pub(crate) fn export(&mut self, source: &KvSource) -> Option<Option<Duration>> {
        let now = self.now + self.network.latency();
        let engine = self
            .engines
            .get_mut(&source.address)
            .filter(|engine| engine.up)?;
        let kv = engine.kv.remove(&source.kv)?;
        if now > kv.made + engine.spec.keep {
            return None;
        }
        if engine.faults.stalled_export {
            return Some(None);
        }
        let time = Duration::from_secs_f64(f64::from(kv.tokens) / engine.spec.link_rate);
        let start = engine.link_free.max(now);
        engine.link_free = start + engine.slowed(time);
        Some(Some(engine.link_free))
    }

    pub(crate) fn kv_arrived(&mut self, address: &SmolStr, life: u64, attempt: &SmolStr) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(address).filter(|e| e.life == life) else {
            return;
        };
        let Some(stream) = engine.streams.get_mut(attempt) else {
            return;
        };
        stream.ready = true;
        stream.since = now;
        if !engine.stepping {
            engine.stepping = true;
            let time = engine.slowed(engine.spec.step_time(1));
            self.schedule(now + time, Happening::Step(address.clone(), life));
        }
    }

    /// Gives each ready stream of an engine one token.
    pub(crate) fn step(&mut self, address: &SmolStr, life: u64) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(address).filter(|e| e.life == life) else {
            return;
        };
        if engine.faults.stalled {
            engine.stepping = false;
            return self.freeze(address, life);
        }
        let mut given = Vec::new();
        let mut poisoned = false;
        for stream in engine.streams.values_mut().filter(|stream| stream.ready) {
            poisoned |= stream.is_poison && stream.position >= POISON_AT;
            stream.position += 1;
            stream.since = now;
            given.push(stream.clone());
        }
        if poisoned {
            return self.crash_at(address);
        }
        let ready = given.len();
        engine.stepping = ready > 0;
        let time = engine.slowed(engine.spec.step_time(ready));
        if ready > 0 {
            self.schedule(now + time, Happening::Step(address.clone(), life));
        }
        for stream in given {
            self.give_token(address, stream);
        }
    }

    /// Lets the shells of all streams of an engine that stalls give up in time.
    pub(crate) fn freeze(&mut self, address: &SmolStr, life: u64) {
        let at = self.now + TOKEN_TIMEOUT;
        let Some(engine) = self.engines.get(address) else {
            return;
        };
        let attempts: Vec<SmolStr> = engine.streams.keys().cloned().collect();
        for attempt in attempts {
            self.schedule(at, Happening::Timeout(address.clone(), life, attempt));
        }
    }

    pub(crate) fn give_token(&mut self, address: &SmolStr, stream: DecodeStream) {
        let now = self.now;
        let after = self.network.latency();
        let node = &self.nodes[stream.call.node];
        let connected = node.incarnation == stream.call.incarnation && node.router.is_some();
        let (attempt, position) = (stream.call.attempt.clone(), stream.position);
        if connected && let Some(outcome) = self.outcomes.get_mut(&stream.call.caller) {
            let expected = outcome.attempt == attempt.as_str() && position == outcome.tokens + 1;
            if expected && outcome.left.is_none() && outcome.end.is_none() {
                outcome.tokens = position;
                outcome.first_token.get_or_insert(now + after);
                outcome.last_token = Some(now + after);
            }
        }
        if position == stream.from + 1 {
            self.unused_prefill.remove(&stream.call.caller);
            self.answer(&stream.call, CallResult::FirstToken, after);
        }
        if position == CLEARED_AFTER_TOKENS {
            self.answer(&stream.call, CallResult::Cleared, after);
        }
        if position >= stream.end || !connected {
            if let Some(engine) = self.engines.get_mut(address) {
                engine.streams.remove(&attempt);
            }
            let result = CallResult::Decoded {
                finish: FinishReason::Stop,
                position,
            };
            self.answer(&stream.call, result, after);
        }
    }

    pub(crate) fn timed_out(&mut self, address: &SmolStr, life: u64, attempt: &SmolStr) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(address).filter(|e| e.life == life) else {
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
                self.answer(&job.call, result, Duration::ZERO);
            }
            return;
        }
        let Some(stream) = engine.streams.get(attempt).cloned() else {
            return;
        };
        if now < stream.since + TOKEN_TIMEOUT {
            return;
        }
        // An engine gives up an import by itself; one that stalls does not even do that.
        let importing = !stream.ready && !engine.faults.stalled;
        let fault = if importing {
            CallFault::KvLost
        } else {
            CallFault::Stalled
        };
        let position = self.outcomes[&stream.call.caller].tokens;
        let result = CallResult::Failed { fault, position };
        self.answer(&stream.call, result, Duration::ZERO);
    }

    pub(crate) fn crash_at(&mut self, address: &SmolStr) {
        let after = self.network.latency();
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        engine.up = false;
        engine.crashes += 1;
        let prefills = engine.prefills.iter().map(|job| job.call.clone());
        let streams = engine.streams.values().map(|stream| stream.call.clone());
        let calls: Vec<EngineCall> = prefills.chain(streams).collect();
        engine.clear();
        for call in calls {
            let position = self.outcomes[&call.caller].tokens;
            let result = CallResult::Failed {
                fault: CallFault::Crashed,
                position,
            };
            self.answer(&call, result, after);
        }
    }

    /// Ends the connections that a dead node held to backend servers for a caller.
    pub(crate) fn drop_connections(&mut self, caller: CallerId) {
        for engine in self.engines.values_mut() {
            engine
                .streams
                .retain(|_, stream| stream.call.caller != caller);
            engine.prefills.retain(|job| job.call.caller != caller);
        }
    }

    pub(crate) fn serve(&mut self, address: &SmolStr, run: WorkerRun) {
        let Some(worker) = self.workers.get_mut(address) else {
            return;
        };
        worker.runs.push(run.caller);
        let (takes, stalled, call) = (worker.takes, worker.stalled, run.call);
        if stalled {
            let result = CallResult::Failed {
                fault: CallFault::Stalled,
                position: 0,
            };
            return self.result(run.node, call, result, SERVICE_TIMEOUT);
        }
        worker.running.push(run);
        self.schedule(
            self.now + takes,
            Happening::WorkerDone(address.clone(), call),
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
        if self.nodes[run.node].incarnation == run.incarnation {
            self.result(run.node, call, CallResult::Plain(Arc::new(response)), after);
        }
    }

    /// Crashes a worker in the middle of what it runs.
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
            if self.nodes[run.node].incarnation == run.incarnation {
                self.result(run.node, run.call, result, after);
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
