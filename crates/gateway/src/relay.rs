//! Requests that this instance passes on to another one, since it reaches no server of their service;
//! see `docs/design/partitions.md`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::pending;
use std::rc::Rc;
use std::slice::from_ref;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jacinthlever_routing::{
    CallIdentity, HoldingUse, MIN_STREAM_RETENTION, RouteKind, time_left_ms,
};
use smol_str::SmolStr;
use tokio::time::{sleep, timeout};

use crate::EventCode;
use crate::answer::{OUT_OF_REACH, Verdict};
use crate::attribution;
use crate::caller_request::CallerRequest;
use crate::connection_pool::{Connection, ConnectionPool};
use crate::context::Context;
use crate::drain;
use crate::exchange::{
    MAX_ANSWER_BYTES, NO_ANSWER_MEMORY, STOPS_TOO_SOON, SendError, TIMED_OUT, UNSIGNED,
    forwardable_headers, head_timeout, idle_timeout, implies_not_run, is_delimited,
};
use crate::held_body::{HeldBody, ReadError};
use crate::reach;
use crate::sends::{BUDGET_SPENT, SendTicket};

/// Header of a relayed request with the number of servers that may run it.
pub const ATTEMPTS_HEADER: HeaderName = HeaderName::from_static("jacinthlever-attempts");

/// Header of a relayed request with the version of the configuration under which it was admitted.
pub const CONFIG_HEADER: HeaderName = HeaderName::from_static("jacinthlever-config");

/// Header of a relayed request with the milliseconds for which its caller waits over all its attempts, if that is
/// longer than streams are remembered anyway.
pub const CALLER_WAIT_HEADER: HeaderName = HeaderName::from_static("jacinthlever-caller-wait-ms");

/// Header of an answer to a relayed request that was not sent, since this instance reaches no server
/// either or has an older configuration.
pub const UNREACHED_HEADER: HeaderName = HeaderName::from_static("jacinthlever-unreached");

/// Maximum number of instances to which one request is sent.
const MAX_RELAYS: usize = 3;

/// Time for which an instance that could not be connected to is not used again.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// Maximum number of idle connections to one instance.
const MAX_IDLE: usize = 8;

/// Multiple of the latency target for which the head of a relayed stream is waited for whatever becomes of
/// the instance: one that is stopping is not ready, but still answers.
const HEAD_TARGETS: f64 = 1.5;

/// Interval at which it is then checked that the instance is ready.
const LOST_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The instance to which the request was passed on sent nothing for too long.
pub const SILENT_INSTANCE: SendError = SendError::Lost("instance is silent");

/// Another instance has given no server's answer.
pub const REFUSED_ELSEWHERE: SendError = SendError::Unsent("another instance did not answer it");

/// No other instance is known that reaches servers of the service.
pub const NO_RELAY: SendError = SendError::Unsent(OUT_OF_REACH);

/// What an instance that passes a request on says of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayTerms {
    /// Number of servers that may run the request.
    pub attempts: u32,
    /// Version of the configuration under which the request was admitted.
    pub config: u64,
    /// Time for which the caller waits over all its attempts; `None` if that is not stated.
    pub caller_wait: Option<Duration>,
}

impl RelayTerms {
    /// Decodes the headers of a relayed request; without them it may run once, under any
    /// configuration.
    pub fn of(headers: &HeaderMap) -> Self {
        let number = |name: HeaderName| {
            let value = headers.get(name)?;
            value.to_str().ok()?.parse::<u64>().ok()
        };
        let attempts = number(ATTEMPTS_HEADER).and_then(|n| u32::try_from(n).ok());
        Self {
            attempts: attempts.unwrap_or(1),
            config: number(CONFIG_HEADER).unwrap_or(0),
            caller_wait: number(CALLER_WAIT_HEADER).map(Duration::from_millis),
        }
    }
}

/// Other instances to which requests are relayed, by their addresses for messages.
#[derive(Default)]
pub struct Relays {
    pool: ConnectionPool<SmolStr>,
    /// Until when instances that could not be connected to are not used.
    avoided: RefCell<BTreeMap<SmolStr, Duration>>,
}

impl Relays {
    /// Closes the idle connections to an instance, and does not use it for a while.
    pub fn avoid(&self, now: Duration, address: &SmolStr) {
        self.pool.close_all(address);
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| now < *until);
        avoided.insert(address.clone(), now + AVOID_TIME);
    }

    fn is_avoided(&self, now: Duration, address: &SmolStr) -> bool {
        let avoided = self.avoided.borrow();
        avoided.get(address).is_some_and(|until| now < *until)
    }

    /// Closes idle connections that can no longer be reused.
    pub fn evict_expired(&self, now: Duration) {
        self.pool.evict_expired(now);
    }
}

/// The answer of another instance, whose body has not been read yet.
pub struct RelayedAnswer {
    cx: Rc<Context>,
    req: Rc<CallerRequest>,
    /// Address of the instance.
    pub address: SmolStr,
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers that are forwarded to the caller.
    pub headers: HeaderMap,
    /// Whether the body has a length or chunks; it ends with its connection otherwise.
    pub is_delimited: bool,
    body: Incoming,
    connection: Option<Connection>,
    idle_timeout: Option<Duration>,
}

/// Whether a request should be passed on: this instance probably reaches no server of its service,
/// and another one does.
pub fn is_possible(cx: &Context, req: &CallerRequest) -> bool {
    let is_out_of_reach = reach::is_out_of_reach(cx, &req.service);
    is_out_of_reach && has_candidate(cx, req)
}

/// Whether another instance that reaches servers of the request's service is known.
pub fn has_candidate(cx: &Context, req: &CallerRequest) -> bool {
    !req.is_relayed && pick(cx, req, &[]).is_some()
}

/// Undoes the charge and the count of a request that nothing has run: another instance is about to
/// charge the customer and to count the request.
pub fn withdraw(cx: &Context, req: &CallerRequest) {
    req.withdraw_charge();
    let settings = cx.settings();
    let mut state = cx.state.borrow_mut();
    let budget = state.retry_budget(&settings, &req.service);
    budget.withdraw_request();
}

/// Sends a request to another instance and waits for the head of its answer; one that is `safe` is
/// sent to a further instance if that one fails. `attempts` is the number of servers that may run it,
/// `tickets` are those for the first instance. A stream goes on after `last_event`, if that is given. With
/// `may_give_up`, an instance that has not answered and is no longer ready is given up.
///
/// # Errors
/// Returns an error that says whether a backend server may have run the request; [`SILENT_INSTANCE`] if the
/// instance was given up.
pub async fn send(
    cx: &Rc<Context>,
    req: &Rc<CallerRequest>,
    mut attempts: u32,
    tickets: Vec<SendTicket>,
    last_event: Option<u64>,
    may_give_up: bool,
) -> Result<RelayedAnswer, SendError> {
    if last_event.is_none() && !drain::may_begin(cx, &req.route, req.deadline) {
        return Err(STOPS_TOO_SOON);
    }
    let is_repeatable = req.route.kind == RouteKind::Safe;
    let mut tried = Vec::new();
    let mut last = NO_RELAY;
    let mut tickets = Some(tickets);
    while tried.len() < MAX_RELAYS {
        let Some(address) = pick(cx, req, &tried) else {
            break;
        };
        let Some(tickets) = tickets.take().or_else(|| req.sends.relay_tickets()) else {
            break;
        };
        tried.push(address.clone());
        let granted = match is_repeatable {
            true => attempts.saturating_sub(1).max(1),
            false => attempts,
        };
        tickets.iter().for_each(SendTicket::record_use);
        match send_to(cx, req, &address, granted, last_event, may_give_up).await {
            // An instance that refuses knows nothing of what another one has sent before.
            Ok(answer) if last.may_have_run() && !answer.is_from_server() => return Err(last),
            Ok(answer) => return Ok(answer),
            Err(error) => {
                if !error.may_have_run() {
                    tickets.iter().for_each(SendTicket::undo_use);
                }
                log_failure(cx, req, &address, error);
                if matches!(error, SendError::Unsent(_)) || error == SILENT_INSTANCE {
                    cx.relays.avoid(cx.now(), &address);
                }
                if error.may_have_run() {
                    attempts = attempts.saturating_sub(granted);
                    if !is_repeatable || attempts == 0 {
                        return Err(error);
                    }
                }
                // What may have run stays so, whatever comes of the next instance.
                if !last.may_have_run() {
                    last = error;
                }
            }
        }
    }
    Err(last)
}

/// Passes a generation on, which up to `attempts` servers may run, and returns the head of the answer. A
/// stream that has begun goes on after `last_event`. `may_give_up` is that of [`send`].
///
/// # Errors
/// Returns a verdict that says whether the request may have run.
pub async fn send_generation(
    cx: &Rc<Context>,
    req: &Rc<CallerRequest>,
    attempts: u32,
    last_event: Option<u64>,
    may_give_up: bool,
) -> Result<RelayedAnswer, Verdict> {
    let refusal = |reason| match req.may_have_run() {
        true => Verdict::lost(reason),
        false => Verdict::unavailable(reason, retry_after(cx)),
    };
    let tickets = req.sends.relay_tickets();
    let tickets = tickets.ok_or_else(|| refusal(BUDGET_SPENT))?;
    req.begin_run();
    let sent = send(cx, req, attempts, tickets, last_event, may_give_up).await;
    sent.map_err(|error| {
        if !error.may_have_run() {
            req.withdraw_run();
        }
        match error {
            TIMED_OUT => Verdict::timed_out(),
            _ => refusal(error.reason()),
        }
    })
}

/// Returns the time after which a caller may retry a request that no instance can serve.
pub fn retry_after(cx: &Context) -> Duration {
    reach::PROBE_INTERVAL.mul_f64(1.0 + cx.random())
}

fn pick(cx: &Context, req: &CallerRequest, tried: &[SmolStr]) -> Option<SmolStr> {
    let now = cx.now();
    let relays = cx.state.borrow().members.relays(now, &req.service);
    if relays.is_incomplete {
        cx.registrations_missed.notify_one();
    }
    [relays.preferred, relays.others]
        .into_iter()
        .find_map(|mut relays| {
            relays.retain(|a| !tried.contains(a) && !cx.relays.is_avoided(now, a));
            let index = (cx.random() * relays.len() as f64) as usize;
            relays.into_iter().nth(index)
        })
}

async fn send_to(
    cx: &Rc<Context>,
    req: &Rc<CallerRequest>,
    address: &SmolStr,
    attempts: u32,
    last_event: Option<u64>,
    may_give_up: bool,
) -> Result<RelayedAnswer, SendError> {
    let now = cx.now();
    let left = req.time_left(now);
    let within = match req.route.kind {
        RouteKind::Safe => left.min(head_timeout(req)),
        RouteKind::Stream | RouteKind::Unsafe => left,
    };
    log_send(cx, req, address, left);
    let exchange = exchange(cx, req, address, attempts, last_event);
    let given_up = async {
        match may_give_up {
            true => {
                let patience = req.route.target_latency.mul_f64(HEAD_TARGETS);
                wait_until_lost(cx, req, address, patience).await;
            }
            false => pending().await,
        }
    };
    let sent = tokio::select! {
        biased;
        sent = timeout(within, exchange) => sent.unwrap_or(Err(TIMED_OUT)),
        () = given_up => Err(SILENT_INSTANCE),
    };
    let (response, connection) = sent?;
    let (parts, body) = response.into_parts();
    let head = (cx.adapter.servers.decode_head)(parts.status, &parts.headers);
    attribution::check(&head, Some(&req.headers.request_id))?;
    if parts.status.is_success() && !head.is_signed {
        return Err(UNSIGNED);
    }
    let is_unreached = parts.headers.contains_key(UNREACHED_HEADER);
    let answer = RelayedAnswer {
        cx: cx.clone(),
        req: req.clone(),
        address: address.clone(),
        status: parts.status,
        idle_timeout: idle_timeout(&parts.headers),
        is_delimited: is_delimited(parts.status, &parts.headers),
        headers: forwardable_headers(parts.headers),
        body,
        connection: Some(connection),
    };
    if is_unreached {
        return Err(SendError::NotRun("instance cannot send it either"));
    }
    Ok(answer)
}

/// Waits until an instance to which a stream was passed on has been silent for `patience`, is not ready, and there is
/// another way: another instance, or the servers, which may be in reach again.
pub async fn wait_until_lost(
    cx: &Context,
    req: &CallerRequest,
    address: &SmolStr,
    patience: Duration,
) {
    sleep(patience).await;
    let is_ready = || cx.state.borrow().members.is_ready_at(cx.now(), address);
    let has_other_way =
        || pick(cx, req, from_ref(address)).is_some() || !reach::is_out_of_reach(cx, &req.service);
    while is_ready() || !has_other_way() {
        sleep(LOST_CHECK_INTERVAL).await;
    }
}

async fn exchange(
    cx: &Context,
    req: &CallerRequest,
    address: &SmolStr,
    attempts: u32,
    last_event: Option<u64>,
) -> Result<(Response<Incoming>, Connection), SendError> {
    let call = CallIdentity::Request(&req.headers.request_id);
    loop {
        let idle = cx.relays.pool.reuse(cx.now(), address, call);
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open_monitored(cx, address).await?,
        };
        let mut request = Request::builder()
            .method(req.method.clone())
            .uri(req.uri.to_string())
            .body(req.body.clone())
            .map_err(|_| SendError::Unsent("request cannot be written"))?;
        let mut headers = req.forwarded.clone();
        (cx.adapter.callers.set_timeout)(&mut headers, req.time_left(cx.now()));
        if let Some(event) = last_event {
            (cx.adapter.callers.set_position)(&mut headers, req.headers.first_attempt(), event);
        }
        headers.insert(ATTEMPTS_HEADER, HeaderValue::from(attempts));
        headers.insert(CONFIG_HEADER, HeaderValue::from(req.config.version));
        let wait = req.caller_waits_until.saturating_sub(cx.now());
        if wait > MIN_STREAM_RETENTION {
            let wait_ms = HeaderValue::from(time_left_ms(wait));
            headers.insert(CALLER_WAIT_HEADER, wait_ms);
        }
        *request.headers_mut() = headers;
        match connection.send(request, call).await {
            // The instance may have closed it while it was idle.
            Err(SendError::Unsent(_)) if connection.is_reused() => {}
            sent => return sent.map(|response| (response, connection)),
        }
    }
}

impl RelayedAnswer {
    /// Whether a backend server has given it; otherwise it is the verdict of the other instance.
    pub fn is_from_server(&self) -> bool {
        (self.cx.adapter.servers.decode_head)(self.status, &self.headers).is_signed
    }

    /// Whether it is the verdict of the other instance that the request has not run there.
    pub fn is_refusal(&self) -> bool {
        !self.is_from_server() && implies_not_run(self.status)
    }

    /// Reads the entire body, up to the caller's deadline.
    ///
    /// # Errors
    /// Fails if the body ends early, is too long, takes too long or finds no memory.
    pub async fn read_body(mut self) -> Result<HeldBody, SendError> {
        let cx = self.cx.clone();
        let left = self.req.time_left(cx.now());
        let usage = HoldingUse::Processing;
        let body = HeldBody::read(&cx, &mut self.body, MAX_ANSWER_BYTES, usage);
        match timeout(left, body).await {
            Ok(Ok(body)) => {
                self.keep_connection();
                Ok(body)
            }
            Ok(Err(ReadError::NoMemory)) => Err(NO_ANSWER_MEMORY),
            Ok(Err(ReadError::TooLong | ReadError::Broken)) => {
                Err(SendError::Lost("answer ended early"))
            }
            Err(_) => Err(TIMED_OUT),
        }
    }

    /// Returns the next chunk of the body; `None` at its end. An instance that breaks its answer off is
    /// not used again for a while.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, SendError>> {
        loop {
            let left = self.req.time_left(self.cx.now());
            let frame = match timeout(left, self.body.frame()).await {
                Ok(Some(frame)) => frame,
                Ok(None) => {
                    self.keep_connection();
                    return None;
                }
                Err(_) => return Some(Err(TIMED_OUT)),
            };
            match frame.map(|f| f.into_data()) {
                Ok(Ok(chunk)) => return Some(Ok(chunk)),
                // Trailers are not forwarded.
                Ok(Err(_)) => {}
                // The instance may notice the deadline first.
                Err(_) if self.req.time_left(self.cx.now()).is_zero() => {
                    return Some(Err(TIMED_OUT));
                }
                Err(_) => {
                    self.cx.relays.avoid(self.cx.now(), &self.address);
                    return Some(Err(SendError::Lost("answer ended early")));
                }
            }
        }
    }

    fn keep_connection(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let (cx, address) = (&self.cx, self.address.clone());
        cx.relays
            .pool
            .put_back(cx.now(), address, MAX_IDLE, connection, self.idle_timeout);
    }
}

fn log_send(cx: &Context, req: &CallerRequest, address: &SmolStr, left: Duration) {
    cx.metrics.count_relayed(&req.service);
    cx.log(
        EventCode::Relayed,
        [
            ("request", req.headers.request_id.as_str().into()),
            ("to", address.as_str().into()),
            ("service", req.service.as_str().into()),
            ("time_left_ms", (left.as_millis() as u64).into()),
        ],
    );
}

/// Logs that passing a request on to an instance failed.
pub fn log_failure(cx: &Context, req: &CallerRequest, address: &SmolStr, error: SendError) {
    cx.log(
        EventCode::RelayFailed,
        [
            ("request", req.headers.request_id.as_str().into()),
            ("to", address.as_str().into()),
            ("cause", error.reason().into()),
            ("may_have_run", error.may_have_run().into()),
        ],
    );
}
