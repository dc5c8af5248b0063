//! Requests to models: reserves memory at a decode engine, has the prompt prefilled, then starts
//! the decode.
//!
//! Memory of decode engines is the scarcest resource, so it is reserved before the prefill; see
//! `docs/design/platform.md`.

use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Response, StatusCode};
use jacinthlever_routing::{
    CallOutcome, CapacityPolicy, EngineRole, EngineSpec, OutputEstimates, PickParams, ServerKey,
};
use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::answer::{AnswerBody, OUT_OF_REACH, Verdict};
use crate::caller_request::CallerRequest;
use crate::context::Context;
use crate::drain;
use crate::evacuations::ALL_EVACUATED;
use crate::exchange::{
    Exchange, KEY_REVOKED, MAX_ANSWER_BYTES, NO_SERVER_NOW, SendError, TIMED_OUT, head_timeout,
    log_send_failure,
};
use crate::permits;
use crate::prefill::{PrefillProgress, Prefills};
use crate::quarantine;
use crate::reach;
use crate::relay::{self, REFUSED_ELSEWHERE, RelayedAnswer, SILENT_INSTANCE};
use crate::replacement::Progress;
use crate::reservation::{KvCache, Reservation};
use crate::sends::{BUDGET_SPENT, SendTicket};
use crate::stream::StreamForwarder;
use crate::stream_origins;
use crate::stream_run::StreamRun;
use crate::suspects::{self, BrokenRun};
use crate::version_notes;
use crate::{EventCode, ServerHeaders};

/// Number of requests of a decode to its engine: the reservation, and the decode or the release.
const RESERVED_DECODE_REQUESTS: u32 = 2;

/// Interval between two rounds of reservation requests or searches for a prefill engine.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum number of engines that are asked for a reservation in one round.
const MAX_CANDIDATES: usize = 3;

/// Fraction of the latency target within which a prefill must end. If it would end later, the
/// decode engine prefills the prompt locally, provided that this does not stall its other answers
/// too long.
const PREFILL_DEADLINE_RATIO: f64 = 0.85;

/// Rate of a local prefill on a decode engine, in prompt tokens per millisecond.
const LOCAL_PREFILL_TOKENS_PER_MS: f64 = 15.0;

/// Maximum stall of a decode engine's other answers by a local prefill that gives a sooner answer,
/// as a fraction of the event gap target.
const LOCAL_PREFILL_STALL_RATIO: f64 = 0.48;

/// The same fraction if no other engine could prefill the prompt. The remainder is left for the
/// decode step in between.
const LAST_RESORT_STALL_RATIO: f64 = 0.85;

/// Maximum number of rounds of reservation, prefill and decode for one attempt of a caller.
const MAX_ROUNDS: u32 = 3;

/// A request to a model, with what has been tried for it.
pub struct Generation {
    cx: Rc<Context>,
    req: Rc<CallerRequest>,
    spec: EngineSpec,
    /// When the search for engines began: the time of arrival, or of the last failure of an engine.
    since: Duration,
    /// Version of the engine that began the stream; only engines of that version may continue it.
    /// `None` before the first event.
    version: Option<SmolStr>,
    /// Servers that failed this request; they are not used for it again.
    avoid: Vec<ServerKey>,
    /// Number of servers that may have run the request.
    possible_runs: u32,
    /// Completion times of the steps, for the log.
    steps: StepTimes,
    /// Whether engines are searched for again beside a silent one: other generations, which have
    /// none, go before.
    is_repeated_search: bool,
}

/// What a search for an engine beside a silent one changes, to undo it.
#[derive(Clone, Copy, Debug)]
pub struct Search {
    since: Duration,
    steps: StepTimes,
}

/// Completion times of the steps of a generation.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepTimes {
    /// When memory was reserved.
    pub reserved: Duration,
    /// When the prefill was complete.
    pub prefilled: Duration,
}

/// How a prompt should be prefilled.
enum PrefillChoice {
    /// On this prefill engine, with the expected duration.
    Remote(ServerKey, Duration),
    /// On the decode engine, if it may prefill locally.
    Local,
    /// All prefill engines are full or unresponsive; try again later.
    Later,
}

/// What to do next for the prefill of a prompt.
enum PrefillStep {
    /// Send it to this prefill engine, with the expected duration and the ticket of the send.
    Start(ServerKey, Duration, SendTicket),
    /// Wait for a prefill that runs, or for an engine that has room.
    Wait,
    /// Leave it to the decode engine; the ticket is the one for the decode.
    Local(SendTicket),
    /// Refuse the request for a reason.
    GiveUp(&'static str),
}

/// Resources with which a decode can be sent to an engine.
pub struct PreparedDecode {
    reservation: Reservation,
    /// `None` if the engine should prefill the prompt locally.
    kv: Option<KvCache>,
}

impl PreparedDecode {
    /// Returns the engine and its software version.
    pub fn engine(&self) -> (ServerKey, SmolStr) {
        (self.reservation.server, self.reservation.version())
    }

    /// Converts this into a run whose answer has begun.
    pub fn into_run(self, exchange: Exchange, sent_at: Duration, version: SmolStr) -> DecodeRun {
        DecodeRun {
            exchange,
            reservation: self.reservation,
            sent_at,
            version,
        }
    }
}

/// A decode that runs on an engine.
pub struct DecodeRun {
    /// The exchange whose body is the stream of events.
    pub exchange: Exchange,
    /// Memory of the engine that is reserved for the decode.
    pub reservation: Reservation,
    /// When the request was sent to the engine.
    pub sent_at: Duration,
    /// Version of the engine's software.
    pub version: SmolStr,
}

/// Runs a generation and returns its answer; the body of a successful one is streamed.
///
/// # Errors
/// Returns a verdict that says whether the request may have run.
pub async fn answer(
    cx: Rc<Context>,
    req: Rc<CallerRequest>,
    spec: EngineSpec,
) -> Result<Response<AnswerBody>, Verdict> {
    cx.last_generation_at.set(Some(cx.now()));
    let mut generation = Generation {
        since: req.arrived,
        cx,
        req,
        spec,
        version: None,
        avoid: Vec::new(),
        possible_runs: 0,
        steps: StepTimes::default(),
        is_repeated_search: false,
    };
    if relay::is_possible(&generation.cx, &generation.req) {
        return generation.pass_on().await;
    }
    if generation.is_taken_up() {
        let attempt = generation.req.headers.resumes.as_ref();
        let version = generation.find_version(attempt).await?;
        generation.version = Some(version);
    }
    let decode = match generation.start_decode(None).await {
        Ok(decode) => decode,
        // What another instance can still do is tried before the request is refused.
        Err(verdict) if verdict.is_not_run() && generation.may_pass_on() => {
            return generation.pass_on().await;
        }
        Err(verdict) => return Err(verdict),
    };
    let (status, headers) = (decode.exchange.status, decode.exchange.headers.clone());
    let body = if status.is_success() {
        generation
            .stream(StreamRun::Engine(Box::new(decode)))
            .await?
    } else {
        let body = decode.exchange.read_body(MAX_ANSWER_BYTES).await;
        AnswerBody::held(body.map_err(|error| Verdict::lost(error.reason()))?)
    };
    Ok(response(status, headers, body))
}

fn response(status: StatusCode, headers: HeaderMap, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

impl Generation {
    /// Whether the request should be passed on: the engines are probably out of reach, or most of them
    /// do not respond, and another instance reaches some.
    fn may_pass_on(&self) -> bool {
        let (cx, req) = (&self.cx, &self.req);
        let is_mostly_paused = {
            let state = cx.state.borrow();
            state.pool.is_mostly_paused(cx.now(), &req.service)
        };
        relay::is_possible(cx, req) || (is_mostly_paused && relay::has_candidate(cx, req))
    }

    /// Passes the request on to another instance.
    async fn pass_on(mut self) -> Result<Response<AnswerBody>, Verdict> {
        relay::withdraw(&self.cx, &self.req);
        let answer = self.send_elsewhere(None).await?;
        let (status, headers) = (answer.status, answer.headers.clone());
        let body = if status.is_success() {
            self.stream(StreamRun::Relayed(Box::new(answer))).await?
        } else {
            let body = answer.read_body().await;
            AnswerBody::held(body.map_err(|error| Verdict::lost(error.reason()))?)
        };
        Ok(response(status, headers, body))
    }

    /// Passes the request on, to go on after `last_event`, until an instance answers it or the route allows
    /// no further run.
    async fn send_elsewhere(&mut self, last_event: Option<u64>) -> Result<RelayedAnswer, Verdict> {
        loop {
            let max_attempts = self.req.route.max_attempts;
            let attempts = max_attempts.saturating_sub(self.possible_runs).max(1);
            let (cx, req, may_give_up) = (&self.cx, &self.req, self.may_replace_run());
            let sent = relay::send_generation(cx, req, attempts, last_event, may_give_up).await;
            match sent {
                Err(verdict) if may_give_up && verdict.reason() == SILENT_INSTANCE.reason() => {
                    self.record_lost_run();
                }
                // An instance that refuses knows nothing of the run that was given up.
                Ok(answer) if self.possible_runs > 0 && answer.is_refusal() => {
                    return Err(Verdict::lost(REFUSED_ELSEWHERE.reason()));
                }
                sent => return sent,
            }
        }
    }

    /// Forwards the events of a run, once the first has arrived.
    async fn stream(self, run: StreamRun) -> Result<AnswerBody, Verdict> {
        let forwarder = StreamForwarder::start(self, run).await?;
        Ok(AnswerBody::streamed(forwarder.into_chunks()))
    }

    /// Starts a run that goes on after `last_event`: through another instance if this one reaches no
    /// engine and `may_pass_on` is set, or else at an engine of the version that began the stream.
    ///
    /// # Errors
    /// Returns a verdict that says whether the request may have run.
    pub async fn start_next_run(
        &mut self,
        last_event: Option<u64>,
        may_pass_on: bool,
    ) -> Result<StreamRun, Verdict> {
        if may_pass_on && relay::is_possible(&self.cx, &self.req) {
            let answer = self.send_elsewhere(last_event).await?;
            return Ok(StreamRun::Relayed(Box::new(answer)));
        }
        let has_begun = last_event.is_some() || self.is_taken_up();
        if has_begun && self.version.is_none() {
            let attempt = Some(self.req.headers.first_attempt());
            let version = self.find_version(attempt).await?;
            self.version = Some(version);
        }
        let decode = self.start_decode(last_event).await?;
        Ok(StreamRun::Engine(Box::new(decode)))
    }

    /// Returns the context of the instance.
    pub fn cx(&self) -> &Rc<Context> {
        &self.cx
    }

    /// Returns the maximum number of tokens in one event of the answer.
    pub fn tokens_per_event(&self) -> u64 {
        u64::from(self.spec.tokens_per_event)
    }

    /// Returns the caller's request.
    pub fn req(&self) -> &Rc<CallerRequest> {
        &self.req
    }

    /// Logs the arrival of the first event and the duration of each step.
    pub fn log_first_event(&self, server: ServerKey) {
        let (cx, req) = (&self.cx, &self.req);
        let now = cx.now();
        let took = now.saturating_sub(req.arrived);
        cx.metrics
            .record_latency(req.customer_name(), &req.route.name, took);
        let ms = |from: Duration, to: Duration| to.saturating_sub(from).as_millis() as u64;
        let id = cx.state.borrow().pool.id_of(server);
        cx.log(
            EventCode::FirstEvent,
            [
                ("request", req.headers.request_id.as_str().into()),
                ("server", id.as_str().into()),
                ("tokens", self.needed_tokens().into()),
                ("room_ms", ms(req.arrived, self.steps.reserved).into()),
                (
                    "read_ms",
                    ms(self.steps.reserved, self.steps.prefilled).into(),
                ),
                ("decode_ms", ms(self.steps.prefilled, now).into()),
                ("sends", self.req.sends.count().into()),
            ],
        );
    }

    /// Whether the caller takes up a stream that an earlier attempt began.
    fn is_taken_up(&self) -> bool {
        self.req.headers.take_up_stream()
    }

    /// Returns the version that began a stream which goes on, given the attempt that brought its first event.
    ///
    /// # Errors
    /// Returns a refusal if it is not known, or if the stream began at another service.
    async fn find_version(&self, attempt: Option<&SmolStr>) -> Result<SmolStr, Verdict> {
        let found = match &self.req.origin {
            Some(origin) => Some(origin.clone()),
            None => stream_origins::find(&self.cx, &self.req.route, attempt).await,
        };
        match found {
            Some(origin) if origin.service == self.req.service => Ok(origin.version),
            Some(_) => Err(self.refusal("stream began at another service")),
            None => Err(self.refusal("version that began the stream is not known")),
        }
    }

    /// Records that the first event of the stream came from an engine of a version. Returns whether the caller may
    /// receive it.
    pub async fn record_first_event(&mut self, version: &SmolStr) -> bool {
        let is_recorded = stream_origins::record(&self.cx, &self.req, version).await;
        if is_recorded {
            self.version.get_or_insert_with(|| version.clone());
        }
        is_recorded
    }

    /// Records that a server failed the request and may have run it.
    pub fn record_failure(&mut self, server: ServerKey) {
        self.avoid.push(server);
        self.record_lost_run();
    }

    /// Records that a run of the request was lost.
    pub fn record_lost_run(&mut self) {
        self.since = self.cx.now();
        self.possible_runs += 1;
    }

    /// Starts a search for an engine beside a silent one, whose run counts.
    pub fn start_search(&mut self, silent: ServerKey, is_repeated: bool) -> Search {
        let before = Search {
            since: self.since,
            steps: self.steps,
        };
        self.is_repeated_search = is_repeated;
        self.record_failure(silent);
        before
    }

    /// Undoes the start of a search: the silent engine has the request as before. Returns what the
    /// search has changed.
    pub fn end_search(&mut self, silent: ServerKey, before: Search) -> Search {
        self.is_repeated_search = false;
        self.avoid.retain(|server| *server != silent);
        self.possible_runs -= 1;
        let ended = Search {
            since: self.since,
            steps: StepTimes {
                prefilled: self.cx.now(),
                ..self.steps
            },
        };
        (self.since, self.steps) = (before.since, before.steps);
        ended
    }

    /// Leaves a server out to which the request is sent beside another one, and counts its run.
    pub fn exclude(&mut self, server: ServerKey) {
        self.avoid.push(server);
        self.possible_runs += 1;
    }

    /// Records that a server which is left out has not run the request.
    pub fn record_not_run(&mut self) {
        self.possible_runs -= 1;
    }

    /// Goes over from the run at an engine to the one at its successor, which a search has found.
    pub fn replace_run(&mut self, left: ServerKey, successor: ServerKey, search: Search) {
        self.record_failure(left);
        self.avoid.retain(|server| *server != successor);
        self.possible_runs -= 1;
        (self.since, self.steps) = (search.since, search.steps);
    }

    /// Whether the stream has begun.
    pub fn has_begun(&self) -> bool {
        self.version.is_some()
    }

    /// Whether the request may be sent to another server although one may have run it.
    pub fn may_retry(&self) -> bool {
        self.may_run_again(self.possible_runs)
    }

    /// Whether the request may be sent to another server in place of the one that runs it.
    pub fn may_replace_run(&self) -> bool {
        self.may_run_again(self.possible_runs + 1)
    }

    fn may_run_again(&self, possible_runs: u32) -> bool {
        self.req.route.is_resumable && possible_runs < self.req.route.max_attempts.max(1)
    }

    /// Runs the request until a decode engine has accepted it. The events continue after
    /// `last_event`.
    ///
    /// # Errors
    /// Returns a verdict that says whether the request may have run.
    pub async fn start_decode(&mut self, last_event: Option<u64>) -> Result<DecodeRun, Verdict> {
        for _ in 0..MAX_ROUNDS {
            let ticket = self.req.sends.ticket();
            let ticket = ticket.ok_or_else(|| self.refusal(BUDGET_SPENT))?;
            let (prepared, ticket) = self.prepare(ticket).await?;
            let (server, version) = prepared.engine();
            let sent_at = self.cx.now();
            self.steps.prefilled = sent_at;
            let error = match self.await_decode(prepared, ticket, last_event).await {
                Progress::Made((prepared, exchange)) => {
                    return Ok(prepared.into_run(exchange, sent_at, version));
                }
                Progress::Failed(error) => error,
                Progress::Replaced(decode, failure) => {
                    let error = failure.unwrap_or(TIMED_OUT);
                    log_send_failure(&self.cx, &self.req, server, error);
                    if failure.is_some_and(SendError::may_have_run) {
                        self.check_for_crash(server, sent_at, error);
                    }
                    return Ok(*decode);
                }
                Progress::TimedOut => return Err(Verdict::timed_out()),
            };
            log_send_failure(&self.cx, &self.req, server, error);
            self.handle_decode_error(server, error)?;
        }
        Err(self.refusal("engines refused the request"))
    }

    /// Sends a decode and waits for the head of its answer; if another engine may run the request, one
    /// is looked for while the first is silent.
    async fn await_decode(
        &mut self,
        mut prepared: PreparedDecode,
        ticket: SendTicket,
        last_event: Option<u64>,
    ) -> Progress<(PreparedDecode, Exchange)> {
        let (cx, req, server) = (
            self.cx.clone(),
            self.req.clone(),
            prepared.reservation.server,
        );
        let patience = head_timeout(&req);
        let sending = async move {
            let sent = send_decode(&cx, &req, &mut prepared, ticket, last_event).await;
            sent.map(|exchange| (prepared, exchange))
        };
        match self.may_replace_run() {
            true => {
                self.progress_of(server, patience, last_event, sending)
                    .await
            }
            false => Progress::of(sending.await),
        }
    }

    /// Reserves memory at a decode engine and has the prompt prefilled. `ticket` is the one for the
    /// decode; the prefill may use it, and another one is returned then.
    pub async fn prepare(
        &mut self,
        ticket: SendTicket,
    ) -> Result<(PreparedDecode, SendTicket), Verdict> {
        self.check_quarantine()?;
        let reservation = self.reserve().await?;
        let goes_on = self.has_begun() && !self.is_taken_up();
        if !goes_on && !drain::may_begin(&self.cx, &self.req.route, self.req.deadline) {
            return Err(Verdict::stopping(self.req.may_have_run()));
        }
        self.req.confirm_charge()?;
        self.steps.reserved = self.cx.now();
        let (kv, ticket) = self.prefill(&reservation, ticket).await?;
        self.check_quarantine()?;
        Ok((PreparedDecode { reservation, kv }, ticket))
    }

    /// Refuses the request if a part of its prompt has been quarantined since it was admitted.
    fn check_quarantine(&self) -> Result<(), Verdict> {
        quarantine::check(&self.cx, &self.req.headers.shared_parts).map_err(|verdict| {
            match self.req.may_have_run() {
                true => Verdict::lost(verdict.reason()),
                false => verdict,
            }
        })
    }

    fn handle_decode_error(&mut self, server: ServerKey, error: SendError) -> Result<(), Verdict> {
        if error == KEY_REVOKED {
            return Err(self.refusal("key is no longer accepted"));
        }
        if error.may_have_run() {
            self.record_failure(server);
            self.check_for_crash(server, self.steps.prefilled, error);
            if !self.may_retry() {
                return Err(Verdict::lost("engine gave no answer"));
            }
        } else {
            self.avoid.push(server);
        }
        Ok(())
    }

    /// Checks whether an engine that has not begun to answer the request has crashed.
    pub fn check_for_crash(&self, server: ServerKey, sent_at: Duration, cause: SendError) {
        let run = BrokenRun {
            server,
            cause,
            sent_at,
            answer_began_at: None,
        };
        suspects::check_for_crash(&self.cx, run, &self.req);
    }

    /// Returns the verdict for a request that is given up: not run, unless an earlier round may
    /// have run it.
    fn refusal(&self, reason: &'static str) -> Verdict {
        if self.req.may_have_run() {
            return Verdict::lost(reason);
        }
        let left = self.req.time_left(self.cx.now());
        Verdict::unavailable(reason, self.policy().retry_after(left, self.cx.random()))
    }

    fn policy(&self) -> CapacityPolicy {
        CapacityPolicy {
            target_latency: self.req.route.target_latency,
        }
    }

    /// Returns the tokens of engine memory that the request is expected to need.
    fn needed_tokens(&self) -> u64 {
        let Some(size) = self.req.headers.generation else {
            return 0;
        };
        let (hint, max_output) = (size.expected_output, size.max_output);
        let state = self.cx.state.borrow();
        let expected = match state.is_scheduling_active() {
            true => {
                let (route, customer) = (&self.req.route.name, self.req.customer_name());
                let estimates = &state.output_estimates;
                estimates.expected(route, customer, hint, max_output)
            }
            false => OutputEstimates::unlearned(hint, max_output),
        };
        size.prompt_tokens + expected
    }

    async fn reserve(&mut self) -> Result<Reservation, Verdict> {
        let left = self.req.time_left(self.cx.now());
        let until = self.policy().wait_deadline(self.since, left);
        let cx = self.cx.clone();
        if self.has_only_other_versions() {
            return Err(self.refusal("no engine has the version that began the stream"));
        }
        let priority = match self.is_repeated_search {
            true => u8::MAX,
            false => self.req.priority,
        };
        let waiter = cx.capacity_queue.enqueue(priority, until);
        loop {
            if self.is_unreachable() {
                return Err(self.refusal(OUT_OF_REACH));
            }
            if self.is_fully_evacuated() {
                return Err(self.refusal(ALL_EVACUATED));
            }
            if waiter.is_turn()
                && self.can_be_taken_up()
                && self.can_prefill_in_time()
                && let Some(reservation) = self.request_reservation().await
            {
                return Ok(reservation);
            }
            if self.version.is_none() && self.may_pass_on() {
                return Err(self.refusal(OUT_OF_REACH));
            }
            let now = cx.now();
            let wait = cx
                .state
                .borrow()
                .pool
                .wait_for_service(now, &self.req.service);
            if wait.is_some_and(|wait| now + wait >= until) {
                return Err(self.refusal(NO_SERVER_NOW));
            }
            if now >= until {
                self.log_no_capacity();
                return Err(self.refusal("no engine has room"));
            }
            tokio::select! {
                () = waiter.capacity_freed() => {}
                () = sleep(RETRY_INTERVAL) => {}
            }
        }
    }

    /// Whether the store lists the versions of the service for as long as the caller may take the stream up. If not,
    /// it is about to.
    fn can_be_taken_up(&self) -> bool {
        let (cx, req) = (&self.cx, &self.req);
        let is_listed = !req.route.is_resumable
            || version_notes::await_callers(cx, &req.route, &req.service, req.caller_waits_until);
        if !is_listed {
            cx.engine_versions_changed.notify_one();
        }
        is_listed
    }

    /// Whether it is in vain to ask the engines: this instance reaches none of them, or probably none
    /// while another instance does.
    fn is_unreachable(&self) -> bool {
        reach::is_lost(&self.cx, &self.req.service) || relay::is_possible(&self.cx, &self.req)
    }

    fn is_fully_evacuated(&self) -> bool {
        let state = self.cx.state.borrow();
        state.pool.is_fully_evacuated(&self.req.service)
    }

    /// Logs the reserved memory of the decode engines when a request is given up for lack of it.
    fn log_no_capacity(&self) {
        let now = self.cx.now();
        let state = self.cx.state.borrow();
        let engines = state.pool.available(&self.req.service);
        let decode = engines.filter(|(_, s)| s.entry.role == Some(EngineRole::Decode));
        let reserved: Vec<u64> = decode.map(|(_, s)| s.reserved_tokens(now)).collect();
        let least = reserved.iter().min().copied();
        self.cx.log(
            EventCode::NoRoom,
            [
                ("request", self.req.headers.request_id.as_str().into()),
                ("needed_tokens", self.needed_tokens().into()),
                ("engine_tokens", self.spec.kv_tokens.into()),
                ("decode_engines", reserved.len().into()),
                ("least_reserved_tokens", least.into()),
                ("waiting_here", self.cx.capacity_queue.waiting().into()),
            ],
        );
    }

    /// Whether the prompt would be prefilled in time if memory for its answer were reserved now.
    fn can_prefill_in_time(&self) -> bool {
        let zone = self.cx.settings().zone.clone();
        match self.pick_prefill(&zone, &[]) {
            Some((_, expected)) => !self.is_too_late(self.cx.now() + expected),
            // If the service has no prefill engines, decode engines prefill all prompts locally.
            None => !self.has_prefill_engines(),
        }
    }

    fn has_prefill_engines(&self) -> bool {
        let state = self.cx.state.borrow();
        let mut engines = state.pool.available(&self.req.service);
        engines.any(|(_, s)| s.entry.role == Some(EngineRole::Prefill))
    }

    /// Whether there are decode engines, but none that may continue the stream.
    fn has_only_other_versions(&self) -> bool {
        let pick = self.pick_params("", &self.avoid);
        let any = PickParams {
            version: None,
            ..pick
        };
        let state = self.cx.state.borrow();
        !state.pool.has_decode_engine(&pick) && state.pool.has_decode_engine(&any)
    }

    fn decode_candidates(&self, tokens: u64) -> Vec<ServerKey> {
        let zone = self.cx.settings().zone.clone();
        let pick = self.pick_params(&zone, &self.avoid);
        let (memory, draw) = (self.spec.kv_tokens, || self.cx.random());
        let state = self.cx.state.borrow();
        state.pool.decode_candidates(&pick, memory, tokens, draw)
    }

    fn pick_prefill(&self, zone: &str, tried: &[ServerKey]) -> Option<(ServerKey, Duration)> {
        let pick = self.pick_params(zone, tried);
        let (tokens, draw) = (self.prompt_tokens(), || self.cx.random());
        let (memory, state) = (self.spec.kv_tokens, self.cx.state.borrow());
        state.pool.pick_prefill(&pick, memory, tokens, draw)
    }

    async fn request_reservation(&mut self) -> Option<Reservation> {
        let tokens = self.needed_tokens();
        for server in self
            .decode_candidates(tokens)
            .into_iter()
            .take(MAX_CANDIDATES)
        {
            if self.is_unreachable() {
                return None;
            }
            let acquired = permits::acquire(&self.cx, server, RESERVED_DECODE_REQUESTS).await;
            let Ok(has_permits) = acquired else {
                continue;
            };
            let (cx, ttl) = (self.cx.clone(), self.spec.reservation_ttl);
            // The call goes on if this future is dropped, and what it has reserved is released then.
            let (tx, rx) = oneshot::channel();
            tokio::task::spawn_local(async move {
                drop(tx.send(reserve_at(&cx, server, tokens, ttl).await));
            });
            if let Ok(Some(mut reservation)) = rx.await {
                reservation.has_permits = has_permits;
                return Some(reservation);
            }
        }
        None
    }

    /// Has the prompt prefilled by a prefill engine; `None` if the decode engine should prefill it
    /// locally. Returns the ticket for the decode as well.
    async fn prefill(
        &mut self,
        reservation: &Reservation,
        ticket: SendTicket,
    ) -> Result<(Option<KvCache>, SendTicket), Verdict> {
        let mut prefills = Prefills::new(&self.cx, &self.req, self.prompt_tokens());
        let result = self.run_prefills(reservation, &mut prefills, ticket).await;
        prefills.log_overdue();
        result
    }

    /// Starts prefills until one has a result. One that is overdue is not given up before another
    /// engine has the prompt: a sound engine may fall silent and go on.
    async fn run_prefills(
        &mut self,
        reservation: &Reservation,
        prefills: &mut Prefills,
        ticket: SendTicket,
    ) -> Result<(Option<KvCache>, SendTicket), Verdict> {
        let zone = reservation.zone();
        let mut for_decode = Some(ticket);
        loop {
            match self.next_prefill_step(reservation, &zone, prefills, &mut for_decode) {
                PrefillStep::Start(server, expected, ticket) => {
                    prefills.start(server, expected, ticket);
                }
                PrefillStep::Wait => {}
                PrefillStep::Local(ticket) => return Ok((None, ticket)),
                PrefillStep::GiveUp(reason) => return Err(self.refusal(reason)),
            }
            match prefills.progress().await {
                PrefillProgress::Ended(_, Ok(prefilled)) => {
                    let ticket = prefilled.ticket.or(for_decode);
                    let ticket = ticket.or_else(|| self.req.sends.ticket());
                    let ticket = ticket.ok_or_else(|| self.refusal(BUDGET_SPENT))?;
                    return Ok((Some(prefilled.kv), ticket));
                }
                PrefillProgress::Ended(server, Err(error)) => {
                    if error == KEY_REVOKED {
                        return Err(self.refusal("key is no longer accepted"));
                    }
                    prefills.record_failure(server, error);
                }
                PrefillProgress::Overdue(server, silent) => self.log_silence(server, silent),
                PrefillProgress::Unchanged => {}
            }
        }
    }

    fn next_prefill_step(
        &mut self,
        reservation: &Reservation,
        zone: &str,
        prefills: &mut Prefills,
        for_decode: &mut Option<SendTicket>,
    ) -> PrefillStep {
        if prefills.is_punctual() {
            return PrefillStep::Wait;
        }
        if prefills.may_send() {
            match self.choose_prefill(reservation, zone, prefills.tried()) {
                PrefillChoice::Remote(server, expected) => match self.prefill_ticket(for_decode) {
                    Some(ticket) => return PrefillStep::Start(server, expected, ticket),
                    None => prefills.record_budget_spent(),
                },
                PrefillChoice::Local => {}
                PrefillChoice::Later => return PrefillStep::Wait,
            }
        }
        // To continue a stream that has begun, a longer stall of other answers is accepted. A
        // request without any event yet can be retried by the caller.
        let has_begun = self.possible_runs > 0;
        let may_prefill = self.may_prefill_locally(reservation, LAST_RESORT_STALL_RATIO);
        if may_prefill || has_begun || !self.has_prefill_engines() {
            let for_decode = for_decode.take();
            let ticket = for_decode.or_else(|| match prefills.is_budget_spent() {
                true => None,
                false => self.req.sends.ticket(),
            });
            match ticket {
                Some(ticket) => return PrefillStep::Local(ticket),
                None => prefills.record_budget_spent(),
            }
        }
        // Without its reservation the decode would have to wait for room at the engine.
        let now = self.cx.now();
        let can_wait = now < reservation.expires_at && !self.req.time_left(now).is_zero();
        match prefills.has_running() && can_wait {
            true => PrefillStep::Wait,
            false if prefills.is_budget_spent() => PrefillStep::GiveUp(BUDGET_SPENT),
            false => PrefillStep::GiveUp("no engine could read the prompt"),
        }
    }

    /// Returns a ticket for a prefill: the one for the decode, as long as a complete prefill returns it.
    ///
    /// A request that may have run keeps the one for the decode, which can prefill the prompt locally.
    fn prefill_ticket(&self, for_decode: &mut Option<SendTicket>) -> Option<SendTicket> {
        let sends = &self.req.sends;
        let is_shared = !sends.is_prefilled() && self.possible_runs == 0;
        let shared = is_shared.then(|| for_decode.take()).flatten();
        shared.or_else(|| sends.ticket())
    }

    fn choose_prefill(
        &self,
        reservation: &Reservation,
        zone: &str,
        tried: &[ServerKey],
    ) -> PrefillChoice {
        let now = self.cx.now();
        let may_prefill_locally = self.may_prefill_locally(reservation, LOCAL_PREFILL_STALL_RATIO);
        match self.pick_prefill(zone, tried) {
            Some((_, expected)) if may_prefill_locally && self.is_too_late(now + expected) => {
                PrefillChoice::Local
            }
            Some((server, expected)) => PrefillChoice::Remote(server, expected),
            None if may_prefill_locally || self.is_too_late(now) => PrefillChoice::Local,
            None if !self.has_prefill_engines() => PrefillChoice::Local,
            None => PrefillChoice::Later,
        }
    }

    fn pick_params<'a>(&'a self, zone: &'a str, avoid: &'a [ServerKey]) -> PickParams<'a> {
        PickParams {
            now: self.cx.now(),
            service: &self.req.service,
            zone,
            avoid,
            version: self.version.as_deref(),
        }
    }

    /// Whether a prefill that ends at `prefilled` leaves too little time for the first event.
    fn is_too_late(&self, prefilled: Duration) -> bool {
        let usable = self
            .req
            .route
            .target_latency
            .mul_f64(PREFILL_DEADLINE_RATIO);
        prefilled > self.since + usable
    }

    /// Whether the decode engine may prefill the prompt locally: it runs nothing else, or its other
    /// answers stall for no more than the fraction `stall` of the event gap target.
    fn may_prefill_locally(&self, reservation: &Reservation, stall: f64) -> bool {
        if reservation.is_sole_reservation(self.cx.now()) {
            return true;
        }
        let stall_ms = self.prompt_tokens() as f64 / LOCAL_PREFILL_TOKENS_PER_MS;
        let allowed = self.req.route.event_gap_target.mul_f64(stall);
        stall_ms <= allowed.as_secs_f64() * 1000.0 && reservation.may_prefill_locally()
    }

    /// Learns from a stream that has ended as a whole after at most `output` tokens, unless its caller took
    /// it up and so received a part of it before. Its last event has half as many tokens as others on
    /// average.
    pub fn record_output(&self, output: u64) {
        let size = self.req.headers.generation;
        let Some(hint) = size.and_then(|size| size.expected_output) else {
            return;
        };
        let mut state = self.cx.state.borrow_mut();
        if output == 0 || self.is_taken_up() || !state.is_scheduling_active() {
            return;
        }
        let output = output.saturating_sub(self.tokens_per_event() / 2);
        let (route, customer) = (&self.req.route.name, self.req.customer_name());
        let estimates = &mut state.output_estimates;
        estimates.record(self.cx.now(), route, customer, hint, output);
    }

    /// Returns the number of tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.req.headers.generation.map_or(0, |g| g.prompt_tokens)
    }
}

/// Reserves memory at an engine; `None` if it refuses or gives no answer.
async fn reserve_at(
    cx: &Rc<Context>,
    server: ServerKey,
    tokens: u64,
    ttl: Duration,
) -> Option<Reservation> {
    let mut reservation = Reservation::new(cx, server, tokens);
    reservation.expires_at = cx.now().saturating_add(ttl);
    let dialect = cx.adapter.servers;
    let request = (dialect.reserve_memory)(tokens, ttl);
    match Exchange::call(cx, server, request).await {
        Ok((StatusCode::OK, body)) => match (dialect.reservation_result)(&body) {
            Ok(id) => {
                reservation.pending_id = Some(id);
                return Some(reservation);
            }
            Err(error) => {
                log::warn!("cannot decode an engine's answer to a reservation request: {error}");
                cx.record_outcome(server, CallOutcome::Broken);
            }
        },
        Ok(_) => cx.record_outcome(server, CallOutcome::NoCapacity),
        Err(error) => log::debug!(
            "reservation request to an engine failed: {}",
            error.reason()
        ),
    }
    None
}

/// Sends a decode to the engine that is prepared for it, and waits for the head of the answer.
///
/// # Errors
/// Returns an error that says whether the engine may have run the request.
pub async fn send_decode(
    cx: &Rc<Context>,
    req: &CallerRequest,
    prepared: &mut PreparedDecode,
    ticket: SendTicket,
    last_event: Option<u64>,
) -> Result<Exchange, SendError> {
    let PreparedDecode { reservation, kv } = prepared;
    if !reservation.has_permits {
        permits::acquire_if_cold(cx, reservation.server).await?;
    }
    let extra = ServerHeaders {
        kv_source: kv.as_ref().map(|kv| kv.location.clone()),
        reservation_id: reservation.pending_id.clone(),
        priority: Some(req.priority),
        last_event: last_event.or(req.headers.last_event),
        ..ServerHeaders::default()
    };
    if kv.is_none() {
        reservation.start_local_prefill();
    }
    let left = req.time_left(cx.now());
    req.begin_run();
    let sent = Exchange::send(cx, reservation.server, req, extra, left, ticket).await;
    match &sent {
        Ok(_) => {
            reservation.pending_id = None;
            if let Some(kv) = kv {
                kv.is_transferred.set(true);
            }
        }
        Err(error) if !error.may_have_run() => req.withdraw_run(),
        Err(_) => {}
    }
    sent
}
