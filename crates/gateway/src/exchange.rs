//! One request to one backend server, and its answer.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName};
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jacinthlever_routing::{CallIdentity, CallOutcome, HoldingUse, ServerKey};
use smol_str::SmolStr;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use crate::answer::STOPPING;
use crate::attribution;
use crate::caller_request::{CallerRequest, remove_connection_headers};
use crate::cold_servers;
use crate::connection_pool::{Connection, RequestBody};
use crate::context::Context;
use crate::departures;
use crate::drain;
use crate::evacuations::EVACUATED;
use crate::held_body::{HeldBody, ReadError};
use crate::pauses;
use crate::permits::{self, AT_LIMIT, NO_PERMIT};
use crate::reach;
use crate::relay::UNREACHED_HEADER;
use crate::sends::SendTicket;
use crate::server_limits;
use crate::shared_loads;
use crate::{AnswerHead, EngineRequest, EventCode, ServerHeaders};

/// Maximum size of an answer that is buffered as a whole, in bytes.
pub const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Size of a request body, in bytes, from which the connection is not reused: the server may answer
/// before it has read the entire body.
const LARGE_BODY_BYTES: usize = 32 * 1024;

/// Multiple of the latency target after which a server without an answer counts as unresponsive.
const UNRESPONSIVE_AFTER_TARGETS: u32 = 2;

/// Shortest time without an answer that counts against a server.
const MIN_UNRESPONSIVE: Duration = Duration::from_millis(600);

/// Time limit for the answer to a control call, which carries no caller's request.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit for the body of a refusal, which serves only to reuse the connection.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest idle time-out of a server that is used.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Why a send to a backend server produced no usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// The request was not written to a connection, so it has not run.
    Unsent(&'static str),
    /// The server reports that it did not run the request.
    NotRun(&'static str),
    /// The server may have run the request.
    Lost(&'static str),
}

impl SendError {
    /// Returns the reason for logs, metrics and answers to callers.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Unsent(reason) | Self::NotRun(reason) | Self::Lost(reason) => reason,
        }
    }

    /// Whether the server may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Lost(_))
    }
}

/// Counts a call as in flight at a server until it is dropped.
struct InFlight {
    cx: Rc<Context>,
    server: ServerKey,
}

impl InFlight {
    fn begin(cx: &Rc<Context>, server: ServerKey) -> Self {
        if let Some(s) = cx.state.borrow_mut().pool.get_mut(server) {
            s.in_flight += 1;
        }
        Self {
            cx: cx.clone(),
            server,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(s) = self.cx.state.borrow_mut().pool.get_mut(self.server) {
            s.in_flight = s.in_flight.saturating_sub(1);
        }
    }
}

/// An answer whose head has been received and whose body has not been read yet.
pub struct Exchange {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer that may be forwarded to the caller.
    pub headers: HeaderMap,
    /// Whether the body has a length or chunks; it ends with its connection otherwise.
    pub is_delimited: bool,
    /// Server that answered.
    pub server: ServerKey,
    /// Time by which an answer that is read as a whole must be complete.
    deadline: Duration,
    body: Incoming,
    /// Connection on which the answer comes; `None` once it was returned to the pool.
    connection: Option<Connection>,
    /// Whether the connection may be reused after the answer.
    is_reusable: bool,
    idle_timeout: Option<Duration>,
    in_flight: InFlight,
    /// Identifier of the caller's request; `None` for a control call.
    request_id: Option<SmolStr>,
    /// Ticket that was used for the send; `None` for a control call.
    ticket: Option<SendTicket>,
}

impl Exchange {
    /// Sends a caller's request to a server, with the headers in `extra`, and waits up to `within`
    /// for the head of the answer. All sends of callers' requests are made here.
    ///
    /// # Errors
    /// Returns an error that says whether the server may have run the request.
    pub async fn send(
        cx: &Rc<Context>,
        server: ServerKey,
        req: &CallerRequest,
        extra: ServerHeaders,
        within: Duration,
        ticket: SendTicket,
    ) -> Result<Self, SendError> {
        let target = Target::lookup(cx, server).ok_or(SendError::Unsent("server is gone"))?;
        let mut headers = req.forwarded.clone();
        let extra = ServerHeaders {
            time_left: req.time_left(cx.now()),
            expected_server: target.id.clone(),
            customer: req.customer.clone(),
            ..extra
        };
        let is_prefill = extra.prefill_only;
        let goes_on = extra.last_event.is_some() && extra.last_event != req.headers.last_event;
        let is_under_way = goes_on || req.sends.is_prefilled();
        if !is_under_way && !drain::may_begin(cx, &req.route, req.deadline) {
            return Err(STOPS_TOO_SOON);
        }
        // The permits of a reserved decode were acquired with its reservation.
        let has_permit = match extra.reservation_id {
            Some(_) => true,
            None => permits::acquire(cx, server, 1).await?,
        };
        log_send(cx, req, server, &extra, &ticket);
        (cx.adapter.servers.encode_headers)(&mut headers, &extra);
        let call = Outgoing {
            method: req.method.clone(),
            path: req.uri.to_string(),
            headers,
            body: req.body.clone(),
        };
        let caller_send = CallerSend {
            req,
            is_prefill,
            has_permit,
            ticket,
        };
        let exchange = Self::perform(cx, server, &target, call, within, Some(&caller_send));
        let mut exchange = exchange.await?;
        exchange.ticket = Some(caller_send.ticket);
        Ok(exchange)
    }

    /// Sends a control call, which carries no caller's request, and reads the entire answer.
    ///
    /// # Errors
    /// Returns an error that says whether the server may have carried out the call.
    pub async fn call(
        cx: &Rc<Context>,
        server: ServerKey,
        request: EngineRequest,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let target = Target::lookup(cx, server).ok_or(SendError::Unsent("server is gone"))?;
        let mut headers = HeaderMap::new();
        let extra = ServerHeaders {
            expected_server: target.id.clone(),
            time_left: CALL_TIMEOUT,
            ..ServerHeaders::default()
        };
        (cx.adapter.servers.encode_headers)(&mut headers, &extra);
        let call = Outgoing {
            method: request.method,
            path: request.path,
            headers,
            body: Bytes::from(request.body).into(),
        };
        let exchange = Self::perform(cx, server, &target, call, CALL_TIMEOUT, None).await?;
        let status = exchange.status;
        let body = exchange.read_body(MAX_ANSWER_BYTES).await?;
        Ok((status, body.to_bytes()))
    }

    async fn perform(
        cx: &Rc<Context>,
        server: ServerKey,
        target: &Target,
        call: Outgoing,
        within: Duration,
        caller_send: Option<&CallerSend<'_>>,
    ) -> Result<Self, SendError> {
        let in_flight = InFlight::begin(cx, server);
        let started = cx.now();
        if let Some(s) = cx.state.borrow().pool.get(server) {
            // What this instance holds at an evacuated server may be released.
            let is_release = caller_send.is_none() && call.method == Method::DELETE;
            if s.is_evacuated && !is_release {
                return Err(EVACUATED);
            }
            if s.requested_pause.is_active(started) {
                return Err(PAUSED);
            }
        }
        cx.state.borrow_mut().pool.record_send(started, server);
        let sending = send_request(cx, server, target, &call, caller_send);
        let result = Self::await_head(cx, server, sending, within, caller_send).await;
        let took = cx.now().saturating_sub(started);
        let (response, connection) = match result {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                let outcome = match error {
                    SendError::Unsent(_) => CallOutcome::Unresponsive,
                    _ => CallOutcome::Broken,
                };
                if !is_withheld(error) {
                    cx.record_outcome(server, outcome);
                }
                return Err(error);
            }
            Err(_) => {
                if within >= unresponsive_after(caller_send) {
                    cx.record_outcome(server, CallOutcome::Unresponsive);
                }
                return Err(TIMED_OUT);
            }
        };
        let (parts, body) = response.into_parts();
        let head = (cx.adapter.servers.decode_head)(parts.status, &parts.headers);
        let exchange = Self {
            status: parts.status,
            idle_timeout: idle_timeout(&parts.headers),
            is_delimited: is_delimited(parts.status, &parts.headers),
            headers: forwardable_headers(parts.headers),
            server,
            deadline: started + within,
            body,
            connection: Some(connection),
            is_reusable: call.body.len() < LARGE_BODY_BYTES,
            in_flight,
            request_id: caller_send.map(|c| c.req.headers.request_id.clone()),
            ticket: None,
        };
        exchange.check_answer(cx, &head, caller_send, took).await
    }

    /// Waits up to `within` for the head of an answer, and records whether the server was heard.
    async fn await_head<T>(
        cx: &Context,
        server: ServerKey,
        sending: impl Future<Output = Result<T, SendError>>,
        within: Duration,
        caller_send: Option<&CallerSend<'_>>,
    ) -> Result<Result<T, SendError>, Elapsed> {
        let mut sending = pin!(sending);
        let silent_after = unresponsive_after(caller_send);
        let is_checked = !silent_after.is_zero() && silent_after < within;
        let first_wait = if is_checked { silent_after } else { within };
        let mut result = timeout(first_wait, sending.as_mut()).await;
        if result.is_err() && within >= silent_after {
            reach::record_missed(cx, server);
            if is_checked {
                result = timeout(within - silent_after, sending).await;
            }
        }
        match &result {
            Ok(Ok(_)) => reach::record_heard(cx, server),
            Ok(Err(error)) if !is_withheld(*error) => reach::record_missed(cx, server),
            _ => {}
        }
        result
    }

    /// Checks that the answer belongs to this request and can be used, and records what it says of the
    /// server.
    async fn check_answer(
        mut self,
        cx: &Rc<Context>,
        head: &AnswerHead,
        caller_send: Option<&CallerSend<'_>>,
        took: Duration,
    ) -> Result<Self, SendError> {
        let server = self.server;
        let now = cx.now();
        if let Err(error) = attribution::check(head, self.request_id.as_ref()) {
            cx.record_outcome(server, CallOutcome::Broken);
            attribution::log_foreign(cx, server, self.status, head, self.request_id.as_ref());
            return Err(error);
        }
        if head.is_other_server {
            cx.record_outcome(server, CallOutcome::Unresponsive);
            return Err(SendError::NotRun("another server has the address"));
        }
        if let Some(load) = head.load {
            shared_loads::record(cx, server, load);
        }
        let sent_at = now.saturating_sub(took);
        server_limits::record(cx, server, sent_at, &head.limit);
        pauses::record(cx, server, sent_at, &head.pause);
        cold_servers::record_answer(cx, server, sent_at, head.cold_for);
        if head.is_leaving {
            departures::record(cx, server);
        }
        if head.is_not_run {
            self.log_refusal(cx);
            cx.record_outcome(server, CallOutcome::NoCapacity);
            // The body is read so that the connection can be reused.
            self.deadline = self.deadline.min(now + REFUSAL_BODY_TIMEOUT);
            drop(self.read_body(MAX_ANSWER_BYTES).await);
            return Err(NO_ROOM);
        }
        let Some(caller_send) = caller_send else {
            return Ok(self);
        };
        if implies_not_run(self.status) {
            cx.record_outcome(server, CallOutcome::ServerError);
            return Err(SendError::Lost("refusal that does not say it was not run"));
        }
        let needs_signature = self.status.is_success() && !caller_send.is_prefill;
        if needs_signature && !head.is_signed {
            cx.record_outcome(server, CallOutcome::Broken);
            return Err(UNSIGNED);
        }
        let outcome = match self.status.is_server_error() {
            true => CallOutcome::ServerError,
            false => CallOutcome::Answered { latency: took },
        };
        cx.record_outcome(server, outcome);
        Ok(self)
    }

    /// Logs that the server refused a request or a control call, and on which connection.
    fn log_refusal(&self, cx: &Context) {
        let connection = self.connection.as_ref();
        let id = cx.state.borrow().pool.id_of(self.server);
        let fields = [
            ("request", self.request_id.as_deref().into()),
            ("server", id.as_str().into()),
            ("status", self.status.as_u16().into()),
            ("connection", connection.map(|c| c.number).into()),
            ("calls", connection.map(Connection::calls).into()),
        ];
        cx.log(EventCode::ServerRefused, fields);
    }

    /// Takes the ticket that was used for the send; `None` for a control call.
    pub fn take_ticket(&mut self) -> Option<SendTicket> {
        self.ticket.take()
    }

    /// Reads the entire body, within the time limit for the answer.
    ///
    /// # Errors
    /// Fails if the body ends early, is longer than `max_bytes`, takes too long or finds no memory.
    pub async fn read_body(mut self, max_bytes: usize) -> Result<HeldBody, SendError> {
        let cx = self.in_flight.cx.clone();
        let left = self.deadline.saturating_sub(cx.now());
        let body = HeldBody::read(&cx, &mut self.body, max_bytes, HoldingUse::Processing);
        match timeout(left, body).await {
            Ok(Ok(body)) => {
                self.keep_connection();
                Ok(body)
            }
            Err(_) => Err(TIMED_OUT),
            Ok(Err(ReadError::NoMemory)) => Err(NO_ANSWER_MEMORY),
            Ok(Err(ReadError::TooLong | ReadError::Broken)) => {
                self.in_flight
                    .cx
                    .record_outcome(self.server, CallOutcome::Broken);
                Err(SendError::Lost("answer ended early"))
            }
        }
    }

    /// Returns the next chunk of the body; `None` at its end.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, SendError>> {
        loop {
            let Some(frame) = self.body.frame().await else {
                self.keep_connection();
                return None;
            };
            match frame.map(|f| f.into_data()) {
                Ok(Ok(bytes)) => return Some(Ok(bytes)),
                // Trailers are not forwarded.
                Ok(Err(_)) => {}
                Err(_) => return Some(Err(SendError::Lost("answer ended early"))),
            }
        }
    }

    fn keep_connection(&mut self) {
        if let Some(connection) = self.connection.take().filter(|_| self.is_reusable) {
            let cx = &self.in_flight.cx;
            let now = cx.now();
            let max_idle = cx.state.borrow().max_idle_connections(now, self.server);
            cx.connection_pool
                .put_back(now, self.server, max_idle, connection, self.idle_timeout);
        }
    }
}

/// Reason for refusing a request: no server that could run it takes requests for now, because of
/// the limits that they name or the pauses that they ask for.
pub const NO_SERVER_NOW: &str = "no server takes requests for now";

/// The server has refused the request for lack of capacity.
pub const NO_ROOM: SendError = SendError::NotRun("server has no room");

/// No connection to the server could be opened.
pub const NO_CONNECTION: SendError = SendError::Unsent("no connection");

/// The server has asked this instance for a pause.
pub const PAUSED: SendError = SendError::Unsent("server has asked for a pause");

/// The answer does not fit the memory.
pub const NO_ANSWER_MEMORY: SendError = SendError::Lost("no memory for the answer");

/// The server, or the instance to which the request was passed on, answered with success, but without
/// the signature of a server.
pub const UNSIGNED: SendError = SendError::Lost("answer without a signature");

/// The server did not answer within the time limit of the send.
pub const TIMED_OUT: SendError = SendError::Lost("no answer in time");

/// The request could not end before this instance stops.
pub const STOPS_TOO_SOON: SendError = SendError::Unsent(STOPPING);

/// The caller's key was revoked, or may have been, between the request's arrival and the send.
pub const KEY_REVOKED: SendError = SendError::Unsent("key is no longer accepted");

/// Whether this instance itself decided not to send a request, which says nothing about the server.
fn is_withheld(error: SendError) -> bool {
    [KEY_REVOKED, AT_LIMIT, NO_PERMIT].contains(&error)
}

/// A caller's request that is sent, as opposed to a control call. Its key must still be accepted at
/// the moment of the send.
struct CallerSend<'a> {
    req: &'a CallerRequest,
    is_prefill: bool,
    /// Whether a permit was acquired for the send.
    has_permit: bool,
    ticket: SendTicket,
}

/// Returns the time without an answer after which a server counts as unresponsive. A request that
/// had less time than that does not count against the server.
///
/// The time limit of a prefill or a control call is derived from its expected duration, so
/// exceeding it always counts.
fn unresponsive_after(caller_send: Option<&CallerSend<'_>>) -> Duration {
    let Some(caller_send) = caller_send.filter(|c| !c.is_prefill) else {
        return Duration::ZERO;
    };
    head_timeout(caller_send.req)
}

/// Returns the time without the head of an answer after which a request that may be repeated is sent
/// to another server.
pub fn head_timeout(req: &CallerRequest) -> Duration {
    let limit = req.route.target_latency * UNRESPONSIVE_AFTER_TARGETS;
    limit.max(MIN_UNRESPONSIVE)
}

struct Target {
    id: SmolStr,
    address: SmolStr,
}

impl Target {
    fn lookup(cx: &Context, server: ServerKey) -> Option<Self> {
        let state = cx.state.borrow();
        let entry = &state.pool.get(server)?.entry;
        Some(Self {
            id: entry.id.clone(),
            address: entry.address.clone(),
        })
    }
}

struct Outgoing {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: HeldBody,
}

impl Outgoing {
    fn request(&self, address: &str) -> Result<Request<RequestBody>, SendError> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .body(self.body.clone())
            .map_err(|_| SendError::Unsent("request cannot be written"))?;
        *request.headers_mut() = self.headers.clone();
        if !request.headers().contains_key(header::HOST) {
            let host = address
                .parse()
                .map_err(|_| SendError::Unsent("address is no host"))?;
            request.headers_mut().insert(header::HOST, host);
        }
        Ok(request)
    }
}

type ResponseAndConnection = (http::Response<Incoming>, Connection);

async fn send_request(
    cx: &Rc<Context>,
    server: ServerKey,
    target: &Target,
    call: &Outgoing,
    caller_send: Option<&CallerSend<'_>>,
) -> Result<ResponseAndConnection, SendError> {
    let identity = caller_send.map_or(CallIdentity::Nameless, |c| {
        CallIdentity::Request(&c.req.headers.request_id)
    });
    loop {
        let idle = cx.connection_pool.reuse(cx.now(), &server, identity);
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(cx, &target.address).await?,
        };
        if caller_send.is_some_and(|c| !c.has_permit) {
            permits::acquire_if_cold(cx, server).await?;
        }
        if caller_send.is_some_and(|c| !c.req.is_still_authorized(cx)) {
            return Err(KEY_REVOKED);
        }
        let request = call.request(&target.address)?;
        let ticket = caller_send.map(|c| &c.ticket);
        ticket.inspect(|ticket| ticket.record_use());
        let sent = connection.send(request, identity).await;
        if matches!(sent, Err(SendError::Unsent(_))) {
            ticket.inspect(|ticket| ticket.undo_use());
            // The server may have closed the connection while it was idle.
            if connection.is_reused() {
                continue;
            }
        }
        return sent.map(|response| (response, connection));
    }
}

/// Whether callers take a status to mean that the request has not run; see RFC 9110.
///
/// An answer of a server that has not reported so is not forwarded with such a status, nor is a refusal
/// of one server or instance when another one may have run the request.
pub fn implies_not_run(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}

/// Returns the idle time-out that a server announces; zero if it closes the connection.
pub fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let closes = headers
        .get(header::CONNECTION)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.eq_ignore_ascii_case("close"));
    if closes {
        return Some(Duration::ZERO);
    }
    let value = headers.get(HeaderName::from_static("keep-alive"))?;
    let parameters = value.to_str().ok()?;
    let timeout = parameters
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    let seconds: u64 = timeout.parse().ok()?;
    Some(Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT))
}

/// Whether the body of an answer has a length or chunks, or the answer has none, so that its end is known.
pub fn is_delimited(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::NO_CONTENT
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the headers of an answer that may be forwarded to a caller.
pub fn forwardable_headers(mut headers: HeaderMap) -> HeaderMap {
    remove_connection_headers(&mut headers);
    // The length is set again when the body is written.
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(UNREACHED_HEADER);
    headers
}

/// Logs a send, with the load and failure rate that were known when the server was picked.
fn log_send(
    cx: &Context,
    req: &CallerRequest,
    server: ServerKey,
    extra: &ServerHeaders,
    ticket: &SendTicket,
) {
    let state = cx.state.borrow();
    let Some(picked) = state.pool.get(server) else {
        return;
    };
    let now = cx.now();
    let work = match (extra.prefill_only, extra.reservation_id.is_some()) {
        (true, _) => "prefill",
        (false, true) => "decode",
        (false, false) => "plain",
    };
    cx.log(
        EventCode::Sent,
        [
            ("request", req.headers.request_id.as_str().into()),
            ("server", picked.entry.id.as_str().into()),
            ("version", picked.entry.version.as_str().into()),
            ("work", work.into()),
            ("send", (req.sends.count() + 1).into()),
            ("is_retry", ticket.is_retry().into()),
            ("resumes", req.headers.resumes.as_deref().into()),
            ("load", picked.load(now).into()),
            ("reserved_tokens", picked.reserved_tokens(now).into()),
            (
                "failure_rate",
                round_to_hundredths(picked.failure_rate(now)).into(),
            ),
            ("server_limit", state.pool.rate_limit(now, server).into()),
            ("time_left_ms", (extra.time_left.as_millis() as u64).into()),
            ("config", req.config.version.into()),
        ],
    );
}

fn round_to_hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Logs and counts a failed send.
pub fn log_send_failure(cx: &Context, req: &CallerRequest, server: ServerKey, error: SendError) {
    let id = cx.state.borrow().pool.id_of(server);
    cx.metrics.count_failed_send(&req.service, error.reason());
    cx.log(
        EventCode::SendFailed,
        [
            ("request", req.headers.request_id.as_str().into()),
            ("server", id.as_str().into()),
            ("cause", error.reason().into()),
            ("may_have_run", error.may_have_run().into()),
        ],
    );
}
