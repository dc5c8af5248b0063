//! Requests to models: memory first, then the prompt, then the answer.
//!
//! Memory of decode engines is the scarcest thing, so it is reserved before a prompt is read; see
//! `docs/design/platform.md`.

use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode};
use jacinthlever_routing::{CallOutcome, CapacityPolicy, EngineRole, EngineSpec, Pick, ServerKey};
use tokio::time::sleep;

use crate::answer::{AnswerBody, Verdict};
use crate::caller_request::CallerRequest;
use crate::engine_room::{Kv, Room};
use crate::exchange::{Exchange, MOST_WHOLE, SendFault, WITHDRAWN, note_fault};
use crate::node::Node;
use crate::stream::Pump;
use crate::{EventCode, ServerHeaders};

/// Pause between two rounds of asking engines for room.
const ASK_AGAIN: Duration = Duration::from_millis(60);

/// Engines that are asked for room in one round.
const ASKED_AT_ONCE: usize = 3;

/// Time beyond the expected one after which a prefill counts as failed.
const PREFILL_OVERDUE: Duration = Duration::from_millis(500);

/// Part of the latency target after which a prefill is too late, so that a decode engine reads the
/// prompt by itself if that is no harm to its other answers.
const PREFILL_BY: f64 = 0.85;

/// Prompt tokens that a decode engine reads by itself in a millisecond.
const SELF_READ_TOKENS_PER_MS: f64 = 15.0;

/// Part of the pause target for which a decode engine may hold its other answers up when that
/// answers sooner.
const SELF_READ_STALL: f64 = 0.48;

/// The same when no other engine could read the prompt; the rest is for the step in between.
const LAST_RESORT_STALL: f64 = 0.85;

/// Prefills of one request that may be lost; each may have been read for nothing.
const MOST_PREFILLS: usize = 2;

/// Engines that are asked to read one prompt, those that had no room included.
const MOST_PREFILL_SENDS: u32 = 4;

/// Rounds of reserving, reading and decoding for one attempt of a caller.
const MOST_ROUNDS: u32 = 3;

/// Part by which the caller's estimate of the output is raised for the reservation.
const ESTIMATE_MARGIN: f64 = 1.4;

/// A generation on its way to its first event.
pub struct Generation {
    node: Rc<Node>,
    req: Rc<CallerRequest>,
    spec: EngineSpec,
    /// When the search for engines began: at arrival, or when an engine failed.
    since: Duration,
    /// Servers that failed this request.
    avoid: Vec<ServerKey>,
    /// Servers that may have run it.
    ran: u32,
    /// Sends so far, for the budget.
    sends: u32,
    /// When each step ended, for the log.
    steps: Steps,
}

/// When the steps of a generation ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Steps {
    /// Memory was reserved.
    pub reserved: Duration,
    /// The prompt was read.
    pub read: Duration,
}

/// Who should read a prompt next.
enum Reader {
    /// A prefill engine, which should take so long.
    Engine(ServerKey, Duration),
    /// None; the decode engine, if it may.
    NoEngine,
    /// All are full or silent for the moment.
    Later,
}

/// A running decode.
pub struct Decode {
    /// The stream.
    pub exchange: Exchange,
    /// Memory that is reserved for it.
    pub room: Room,
}

/// Forwards a generation and returns the head of its answer.
///
/// # Errors
/// Fails with a verdict that says whether the request may have run.
pub async fn answer(
    node: Rc<Node>,
    req: Rc<CallerRequest>,
    spec: EngineSpec,
) -> Result<Response<AnswerBody>, Verdict> {
    node.last_generation.set(Some(node.now()));
    let mut generation = Generation {
        since: req.arrived,
        node,
        req,
        spec,
        avoid: Vec::new(),
        ran: 0,
        sends: 0,
        steps: Steps::default(),
    };
    let decode = generation.decode(None).await?;
    let (status, headers) = (decode.exchange.status, decode.exchange.headers.clone());
    let body = if status.is_success() {
        AnswerBody::pieces(Pump::start(generation, decode).await?.into_pieces())
    } else {
        let body = decode.exchange.whole(MOST_WHOLE).await;
        AnswerBody::whole(body.map_err(|fault| Verdict::lost(fault.reason()))?)
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

impl Generation {
    /// Returns the node.
    pub fn node(&self) -> &Rc<Node> {
        &self.node
    }

    /// Returns the most tokens that one event of the answer carries.
    pub fn tokens_per_event(&self) -> u64 {
        u64::from(self.spec.tokens_per_event)
    }

    /// Returns the request.
    pub fn req(&self) -> &Rc<CallerRequest> {
        &self.req
    }

    /// Logs that the first event came, and where the time went.
    pub fn note_first_event(&self, server: ServerKey) {
        let (node, req) = (&self.node, &self.req);
        let now = node.now();
        let took = now.saturating_sub(req.arrived);
        node.metrics
            .latency(req.customer_name(), &req.route.name, took);
        let ms = |from: Duration, to: Duration| to.saturating_sub(from).as_millis() as u64;
        let id = node.state.borrow().pool.id_of(server);
        node.note(
            EventCode::FirstEvent,
            [
                ("request", req.headers.request_id.as_str().into()),
                ("server", id.as_str().into()),
                ("tokens", self.needed_tokens().into()),
                ("room_ms", ms(req.arrived, self.steps.reserved).into()),
                ("read_ms", ms(self.steps.reserved, self.steps.read).into()),
                ("decode_ms", ms(self.steps.read, now).into()),
                ("sends", self.sends.into()),
            ],
        );
    }

    /// Takes in that a server failed the request after it may have run it.
    pub fn failed_at(&mut self, server: ServerKey) {
        self.since = self.node.now();
        self.avoid.push(server);
        self.ran += 1;
        self.req.may_have_run.set(true);
    }

    /// Whether the request may be sent to another server after one may have run it.
    pub fn may_run_again(&self) -> bool {
        self.req.route.is_resumable && self.ran < self.req.route.max_attempts.max(1)
    }

    /// Runs the request, from after `last_event` on, until a decode engine has taken it.
    pub async fn decode(&mut self, last_event: Option<u64>) -> Result<Decode, Verdict> {
        for round in 0..MOST_ROUNDS {
            if round > 0 && !self.may_send() {
                break;
            }
            let mut room = self.reserve().await?;
            self.req.confirm_charge()?;
            self.steps.reserved = self.node.now();
            let kv = self.prefill(&room).await?;
            self.steps.read = self.node.now();
            let server = room.server;
            match self.send_decode(&mut room, kv, last_event).await {
                Ok(exchange) => return Ok(Decode { exchange, room }),
                Err(fault) => {
                    note_fault(&self.node, &self.req, server, fault);
                    self.after_fault(server, fault)?;
                }
            }
        }
        Err(self.refusal("engines refused the request"))
    }

    fn after_fault(&mut self, server: ServerKey, fault: SendFault) -> Result<(), Verdict> {
        if fault == WITHDRAWN {
            return Err(self.refusal("key is no longer accepted"));
        }
        if fault.may_have_run() {
            self.failed_at(server);
            crate::suspects::check(&self.node, server, &self.req);
            if !self.may_run_again() {
                return Err(Verdict::lost("engine gave no answer"));
            }
        } else {
            self.avoid.push(server);
        }
        Ok(())
    }

    /// Refuses the request: not run, unless an earlier round may have run it.
    fn refusal(&self, reason: &'static str) -> Verdict {
        if self.req.may_have_run.get() {
            return Verdict::lost(reason);
        }
        let left = self.req.time_left(self.node.now());
        Verdict::unavailable(reason, self.policy().retry_after(left, self.node.draw()))
    }

    fn policy(&self) -> CapacityPolicy {
        CapacityPolicy {
            target_latency: self.req.route.target_latency,
        }
    }

    /// Tokens of engine memory that the request is expected to need.
    fn needed_tokens(&self) -> u64 {
        let Some(size) = self.req.headers.generation else {
            return 0;
        };
        let expected = size.expected_output.map_or(size.max_output, |hint| {
            ((hint as f64 * ESTIMATE_MARGIN) as u64).min(size.max_output)
        });
        size.prompt_tokens + expected
    }

    async fn reserve(&mut self) -> Result<Room, Verdict> {
        let left = self.req.time_left(self.node.now());
        let until = self.policy().wait_deadline(self.since, left);
        let node = self.node.clone();
        let waiting = node.room.join(self.req.priority, until);
        loop {
            if waiting.may_ask()
                && self.can_be_read()
                && let Some(room) = self.ask_engines().await
            {
                return Ok(room);
            }
            if node.now() >= until {
                self.note_no_room();
                return Err(self.refusal("no engine has room"));
            }
            tokio::select! {
                () = waiting.changed() => {}
                () = sleep(ASK_AGAIN) => {}
            }
        }
    }

    /// Logs what the engines looked like to a request that is given up.
    fn note_no_room(&self) {
        let now = self.node.now();
        let state = self.node.state.borrow();
        let engines = state.pool.available(&self.req.service);
        let decode = engines.filter(|(_, s)| s.entry.role == Some(EngineRole::Decode));
        let reserved: Vec<u64> = decode.map(|(_, s)| s.reserved_tokens(now)).collect();
        let least = reserved.iter().min().copied();
        self.node.note(
            EventCode::NoRoom,
            [
                ("request", self.req.headers.request_id.as_str().into()),
                ("needed_tokens", self.needed_tokens().into()),
                ("engine_tokens", self.spec.kv_tokens.into()),
                ("decode_engines", reserved.len().into()),
                ("least_reserved_tokens", least.into()),
                ("waiting_here", self.node.room.waiting().into()),
            ],
        );
    }

    /// Whether the prompt would be read soon enough to reserve memory for its answer now.
    fn can_be_read(&self) -> bool {
        let zone = self.node.settings().zone.clone();
        match self.pick_prefill(&zone, &[]) {
            Some((_, expected)) => !self.is_too_late(self.node.now() + expected),
            // Where no engine has that stage, decode engines read all prompts.
            None => !self.has_prefill_engines(),
        }
    }

    fn has_prefill_engines(&self) -> bool {
        let state = self.node.state.borrow();
        let mut engines = state.pool.available(&self.req.service);
        engines.any(|(_, s)| s.entry.role == Some(EngineRole::Prefill))
    }

    fn decode_candidates(&self, tokens: u64) -> Vec<ServerKey> {
        let zone = self.node.settings().zone.clone();
        let pick = self.pick(&zone, &self.avoid);
        let (memory, draw) = (self.spec.kv_tokens, || self.node.draw());
        let state = self.node.state.borrow();
        state.pool.decode_candidates(&pick, memory, tokens, draw)
    }

    fn pick_prefill(&self, zone: &str, tried: &[ServerKey]) -> Option<(ServerKey, Duration)> {
        let pick = self.pick(zone, tried);
        let (tokens, draw) = (self.prompt_tokens(), || self.node.draw());
        let (memory, state) = (self.spec.kv_tokens, self.node.state.borrow());
        state.pool.pick_prefill(&pick, memory, tokens, draw)
    }

    async fn ask_engines(&mut self) -> Option<Room> {
        let tokens = self.needed_tokens();
        for server in self
            .decode_candidates(tokens)
            .into_iter()
            .take(ASKED_AT_ONCE)
        {
            let mut room = Room::plan(&self.node, server, tokens);
            let dialect = self.node.adapter.servers;
            let request = (dialect.take_hold)(tokens, self.spec.reservation_ttl);
            match Exchange::call(&self.node, server, request).await {
                Ok((StatusCode::OK, body)) => match (dialect.hold_result)(&body) {
                    Ok(hold) => {
                        room.hold = Some(hold);
                        return Some(room);
                    }
                    Err(error) => {
                        log::warn!("an engine's reservation is unreadable: {error}");
                        self.node.record(server, CallOutcome::Broken);
                    }
                },
                Ok(_) => self.node.record(server, CallOutcome::NoCapacity),
                Err(fault) => log::debug!("no reservation: {}", fault.reason()),
            }
        }
        None
    }

    /// Has the prompt read; `None` if the decode engine should read it by itself.
    async fn prefill(&mut self, room: &Room) -> Result<Option<Kv>, Verdict> {
        let zone = room.zone();
        let mut tried = Vec::new();
        let mut sends = 0;
        while sends < MOST_PREFILL_SENDS && tried.len() < MOST_PREFILLS {
            let (server, expected) = match self.next_reader(room, &zone, &tried) {
                Reader::Engine(server, expected) => (server, expected),
                Reader::NoEngine => break,
                Reader::Later => {
                    sleep(ASK_AGAIN).await;
                    continue;
                }
            };
            if !self.may_send() {
                break;
            }
            sends += 1;
            match self.read_prompt(server, expected).await {
                Ok(kv) => return Ok(Some(kv)),
                Err(WITHDRAWN) => return Err(self.refusal("key is no longer accepted")),
                Err(fault) => {
                    note_fault(&self.node, &self.req, server, fault);
                    // An engine that was full for a moment may be asked again.
                    if !matches!(fault, SendFault::NotRun(_)) {
                        tried.push(server);
                    }
                }
            }
        }
        // A stream that has begun is worth a stall of others; one that has not may come back.
        let has_begun = self.ran > 0;
        let may_read = self.may_self_read(room, LAST_RESORT_STALL);
        if may_read || has_begun || !self.has_prefill_engines() {
            return Ok(None);
        }
        Err(self.refusal("no engine could read the prompt"))
    }

    fn next_reader(&self, room: &Room, zone: &str, tried: &[ServerKey]) -> Reader {
        let now = self.node.now();
        let may_self_read = self.may_self_read(room, SELF_READ_STALL);
        match self.pick_prefill(zone, tried) {
            Some((_, expected)) if may_self_read && self.is_too_late(now + expected) => {
                Reader::NoEngine
            }
            Some((server, expected)) => Reader::Engine(server, expected),
            None if may_self_read || self.is_too_late(now) => Reader::NoEngine,
            None if !self.has_prefill_engines() => Reader::NoEngine,
            None => Reader::Later,
        }
    }

    fn pick<'a>(&'a self, zone: &'a str, avoid: &'a [ServerKey]) -> Pick<'a> {
        Pick {
            now: self.node.now(),
            service: &self.req.service,
            zone,
            avoid,
        }
    }

    /// Whether a prompt that has been read then leaves no time for its first event.
    fn is_too_late(&self, read: Duration) -> bool {
        let usable = self.req.route.target_latency.mul_f64(PREFILL_BY);
        read > self.since + usable
    }

    /// Whether the decode engine may read the prompt: it has nothing else to do, or holds its other
    /// answers up for no more than a part of the pause target.
    fn may_self_read(&self, room: &Room, stall: f64) -> bool {
        if room.is_alone(self.node.now()) {
            return true;
        }
        let stall_ms = self.prompt_tokens() as f64 / SELF_READ_TOKENS_PER_MS;
        let allowed = self.req.route.event_gap_target.mul_f64(stall);
        stall_ms <= allowed.as_secs_f64() * 1000.0 && room.may_self_read()
    }

    /// Returns the tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.req.headers.generation.map_or(0, |g| g.prompt_tokens)
    }

    /// Takes a send out of the budget; the first one is free.
    fn may_send(&mut self) -> bool {
        self.sends += 1;
        if self.sends == 1 {
            return true;
        }
        let settings = self.node.settings();
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        state.budget(&settings, &self.req.service).try_spend(now)
    }

    async fn read_prompt(&self, server: ServerKey, expected: Duration) -> Result<Kv, SendFault> {
        let tokens = self.prompt_tokens();
        let reading = Room::plan(&self.node, server, tokens);
        let began = self.node.now();
        let ahead = reading.tokens_here(began);
        let extra = ServerHeaders {
            prefill_only: true,
            priority: Some(self.req.priority),
            ..ServerHeaders::default()
        };
        let within = (expected * 2 + PREFILL_OVERDUE).min(self.req.time_left(began));
        let exchange = Exchange::send(&self.node, server, &self.req, extra, within).await?;
        let status = exchange.status;
        let body = exchange.whole(MOST_WHOLE).await?;
        reading.was_read(ahead, self.node.now().saturating_sub(began));
        drop(reading);
        if status != StatusCode::OK {
            return Err(SendFault::Lost("prefill failed"));
        }
        let dialect = self.node.adapter.servers;
        match (dialect.prefill_result)(&body) {
            Ok(result) => Kv::at(&self.node, server, result.handle, tokens)
                .ok_or(SendFault::Lost("engine is gone")),
            Err(_) => Err(SendFault::Lost("unreadable prefill result")),
        }
    }

    async fn send_decode(
        &mut self,
        room: &mut Room,
        kv: Option<Kv>,
        last_event: Option<u64>,
    ) -> Result<Exchange, SendFault> {
        let extra = ServerHeaders {
            kv_source: kv.as_ref().map(|kv| kv.location.clone()),
            hold: room.hold.clone(),
            priority: Some(self.req.priority),
            last_event: last_event.or(self.req.headers.last_event),
            ..ServerHeaders::default()
        };
        if kv.is_none() {
            room.self_reads();
        }
        let within = self.req.time_left(self.node.now());
        let before = self.req.may_have_run.replace(true);
        let sent = Exchange::send(&self.node, room.server, &self.req, extra, within).await;
        match &sent {
            Ok(_) => {
                room.hold = None;
                if let Some(kv) = kv {
                    kv.taken.set(true);
                }
            }
            Err(fault) if !fault.may_have_run() => self.req.may_have_run.set(before),
            Err(_) => {}
        }
        sent
    }
}
