//! One request sent to one backend server.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use jacinthlever_routing::{CallOutcome, ServerKey};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::caller_request::{CallerRequest, remove_connection_headers};
use crate::connection_pool::{Connection, RequestBody, connect};
use crate::context::Context;
use crate::{AnswerHead, EngineRequest, EventCode, ServerHeaders};

/// Longest answer that is read as a whole, in bytes.
pub const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Body from which a connection is not used again: the server may answer before it has read all.
const LARGE_BODY: usize = 32 * 1024;

/// Latency targets without an answer after which a server counts as silent.
const SILENT_TARGETS: u32 = 2;

/// Shortest silence that counts against a server.
const MIN_SILENCE: Duration = Duration::from_millis(600);

/// Longest time for an answer to a call that carries no caller's request.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a send gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// Nothing reached the server.
    Unsent(&'static str),
    /// The server says that it did not run the request.
    NotRun(&'static str),
    /// The server may have run the request.
    Lost(&'static str),
}

impl SendError {
    /// Returns the reason.
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

/// Counts a call under way at a server.
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

/// An answer whose body is still to come.
pub struct Exchange {
    /// Status.
    pub status: StatusCode,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// The server.
    pub server: ServerKey,
    body: Incoming,
    sender: Option<SendRequest<RequestBody>>,
    idle_timeout: Option<Duration>,
    in_flight: InFlight,
}

impl Exchange {
    /// Sends a caller's request, with what this instance adds, to a server.
    ///
    /// # Errors
    /// Fails with what is known about whether the request ran.
    pub async fn send(
        cx: &Rc<Context>,
        server: ServerKey,
        req: &CallerRequest,
        extra: ServerHeaders,
        within: Duration,
    ) -> Result<Self, SendError> {
        let target = Target::of(cx, server).ok_or(SendError::Unsent("server is gone"))?;
        let mut headers = req.forwarded.clone();
        let extra = ServerHeaders {
            time_left: req.time_left(cx.now()),
            expected_server: target.id.clone(),
            customer: req.customer.clone(),
            ..extra
        };
        let prefills = extra.prefill_only;
        note_send(cx, req, server, &extra);
        (cx.adapter.servers.write)(&mut headers, &extra);
        let call = Outgoing {
            method: req.method.clone(),
            path: req.uri.to_string(),
            headers,
            body: req.body.clone(),
        };
        let sent = SendPermit { req, prefills };
        Self::perform(cx, server, &target, call, within, Some(&sent)).await
    }

    /// Sends a call that carries no caller's request, and reads the answer as a whole.
    ///
    /// # Errors
    /// Fails with what is known about whether the call was carried out.
    pub async fn call(
        cx: &Rc<Context>,
        server: ServerKey,
        request: EngineRequest,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let target = Target::of(cx, server).ok_or(SendError::Unsent("server is gone"))?;
        let mut headers = HeaderMap::new();
        let extra = ServerHeaders {
            expected_server: target.id.clone(),
            time_left: CALL_TIMEOUT,
            ..ServerHeaders::default()
        };
        (cx.adapter.servers.write)(&mut headers, &extra);
        let call = Outgoing {
            method: request.method,
            path: request.path,
            headers,
            body: Bytes::from(request.body),
        };
        let exchanged = Self::perform(cx, server, &target, call, CALL_TIMEOUT, None).await?;
        let status = exchanged.status;
        Ok((status, exchanged.read_body(MAX_ANSWER_BYTES).await?))
    }

    async fn perform(
        cx: &Rc<Context>,
        server: ServerKey,
        target: &Target,
        call: Outgoing,
        within: Duration,
        permit: Option<&SendPermit<'_>>,
    ) -> Result<Self, SendError> {
        let in_flight = InFlight::begin(cx, server);
        let started = cx.now();
        let result = timeout(within, exchange(cx, server, target, &call, permit)).await;
        let took = cx.now().saturating_sub(started);
        let (response, sender) = match result {
            Ok(Ok(answered)) => answered,
            Ok(Err(fault)) => {
                let outcome = match fault {
                    SendError::Unsent(_) => CallOutcome::Unresponsive,
                    _ => CallOutcome::Broken,
                };
                if fault != KEY_REVOKED {
                    cx.record_outcome(server, outcome);
                }
                return Err(fault);
            }
            Err(_) => {
                if within >= silence(permit) {
                    cx.record_outcome(server, CallOutcome::Unresponsive);
                }
                return Err(TIMED_OUT);
            }
        };
        let (parts, body) = response.into_parts();
        let head = (cx.adapter.servers.read)(parts.status, &parts.headers);
        let exchange = Self {
            status: parts.status,
            idle_timeout: idle_timeout(&parts.headers),
            headers: forwardable(parts.headers),
            server,
            body,
            sender: (call.body.len() < LARGE_BODY).then_some(sender),
            in_flight,
        };
        exchange.checked(cx, &head, permit, took).await
    }

    /// Checks that the answer is this request's, and records how the server fared.
    async fn checked(
        self,
        cx: &Rc<Context>,
        head: &AnswerHead,
        permit: Option<&SendPermit<'_>>,
        took: Duration,
    ) -> Result<Self, SendError> {
        let server = self.server;
        let now = cx.now();
        if let Some(load) = head.load {
            let mut state = cx.state.borrow_mut();
            if let Some(s) = state.pool.get_mut(server) {
                s.record_load(now, load.running + load.waiting);
            }
        }
        if head.is_other_server {
            cx.record_outcome(server, CallOutcome::Unresponsive);
            return Err(SendError::NotRun("another server has the address"));
        }
        if head.is_not_run {
            cx.record_outcome(server, CallOutcome::NoCapacity);
            // Reads the body so that the connection can be used again.
            drop(self.read_body(MAX_ANSWER_BYTES).await);
            return Err(SendError::NotRun("server has no room"));
        }
        let Some(permit) = permit else {
            return Ok(self);
        };
        if head.request_id.as_ref() != Some(&permit.req.headers.request_id) {
            cx.record_outcome(server, CallOutcome::Broken);
            return Err(SendError::Lost("answer of another request"));
        }
        if promises_not_run(self.status) {
            cx.record_outcome(server, CallOutcome::ServerError);
            return Err(SendError::Lost("refusal that does not say it was not run"));
        }
        let needs_signature = self.status.is_success() && !permit.prefills;
        if needs_signature && !head.is_signed {
            cx.record_outcome(server, CallOutcome::Broken);
            return Err(SendError::Lost("answer without a signature"));
        }
        let outcome = match self.status.is_server_error() {
            true => CallOutcome::ServerError,
            false => CallOutcome::Answered { latency: took },
        };
        cx.record_outcome(server, outcome);
        Ok(self)
    }

    /// Reads the body as a whole.
    ///
    /// # Errors
    /// Fails if the body ends early or is longer than `most` bytes.
    pub async fn read_body(mut self, most: usize) -> Result<Bytes, SendError> {
        let body = Limited::new(&mut self.body, most).collect().await;
        match body {
            Ok(whole) => {
                self.keep_connection();
                Ok(whole.to_bytes())
            }
            Err(_) => {
                self.in_flight
                    .cx
                    .record_outcome(self.server, CallOutcome::Broken);
                Err(SendError::Lost("answer ended early"))
            }
        }
    }

    /// Returns the next piece of the body; `None` at its end.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, SendError>> {
        loop {
            let Some(frame) = self.body.frame().await else {
                self.keep_connection();
                return None;
            };
            match frame.map(|f| f.into_data()) {
                Ok(Ok(bytes)) => return Some(Ok(bytes)),
                // Trailers say nothing that is forwarded.
                Ok(Err(_)) => {}
                Err(_) => return Some(Err(SendError::Lost("answer ended early"))),
            }
        }
    }

    fn keep_connection(&mut self) {
        if let Some(sender) = self.sender.take() {
            let cx = &self.in_flight.cx;
            let now = cx.now();
            let most = cx.state.borrow().max_idle_connections(now, self.server);
            cx.connection_pool
                .put_back(now, self.server, most, sender, self.idle_timeout);
        }
    }
}

/// The server gave no answer in the time that there was for one.
pub const TIMED_OUT: SendError = SendError::Lost("no answer in time");

/// The key was withdrawn, or may have been, between arrival and send.
pub const KEY_REVOKED: SendError = SendError::Unsent("key is no longer accepted");

/// A caller's request that is about to be sent.
struct SendPermit<'a> {
    req: &'a CallerRequest,
    prefills: bool,
}

/// Returns the silence after which a server counts as not answering: a request that had less time
/// than that says nothing against the server.
///
/// The time for a prefill or a call is chosen by what is expected, so its end always counts.
fn silence(permit: Option<&SendPermit<'_>>) -> Duration {
    let Some(permit) = permit.filter(|p| !p.prefills) else {
        return Duration::ZERO;
    };
    let usual = permit.req.route.target_latency * SILENT_TARGETS;
    usual.max(MIN_SILENCE)
}

struct Target {
    id: SmolStr,
    address: SmolStr,
}

impl Target {
    fn of(cx: &Context, server: ServerKey) -> Option<Self> {
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
    body: Bytes,
}

impl Outgoing {
    fn request(&self, address: &str) -> Result<Request<RequestBody>, SendError> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .body(Full::new(self.body.clone()))
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

type Answered = (http::Response<Incoming>, SendRequest<RequestBody>);

async fn exchange(
    cx: &Rc<Context>,
    server: ServerKey,
    target: &Target,
    call: &Outgoing,
    permit: Option<&SendPermit<'_>>,
) -> Result<Answered, SendError> {
    loop {
        let mut connection = match cx.connection_pool.reuse(cx.now(), server) {
            Some(connection) => connection,
            None => Connection {
                sender: connect(&target.address)
                    .await
                    .map_err(|_| SendError::Unsent("no connection"))?,
                is_reused: false,
            },
        };
        if permit.is_some_and(|p| !p.req.is_still_authorized(cx)) {
            return Err(KEY_REVOKED);
        }
        let request = call.request(&target.address)?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                return Ok((response, connection.sender));
            }
            // A message that comes back has not been written.
            Err(mut error) => match error.take_message() {
                Some(_) if connection.is_reused => {}
                Some(_) => return Err(SendError::Unsent("connection closed at once")),
                None => return Err(SendError::Lost("connection broke")),
            },
        }
    }
}

/// Whether callers take a status as a promise that the request has not run; see RFC 9110.
///
/// A server that does not say so itself gives no such promise, so it is not passed on.
fn promises_not_run(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}

fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
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
    timeout.parse().ok().map(Duration::from_secs)
}

fn forwardable(mut headers: HeaderMap) -> HeaderMap {
    remove_connection_headers(&mut headers);
    // The length is written anew, as the body is.
    headers.remove(header::CONTENT_LENGTH);
    headers
}

/// Logs a send, with what was known of the server when it was picked.
fn note_send(cx: &Context, req: &CallerRequest, server: ServerKey, extra: &ServerHeaders) {
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
            ("work", work.into()),
            ("load", picked.load(now).into()),
            ("reserved_tokens", picked.reserved_tokens(now).into()),
            ("failure_rate", hundredths(picked.failure_rate(now)).into()),
            ("time_left_ms", (extra.time_left.as_millis() as u64).into()),
            ("config", req.config.version.into()),
        ],
    );
}

fn hundredths(part: f64) -> f64 {
    (part * 100.0).round() / 100.0
}

/// Logs a send that failed.
pub fn log_send_failure(cx: &Context, req: &CallerRequest, server: ServerKey, fault: SendError) {
    let id = cx.state.borrow().pool.id_of(server);
    cx.metrics.count_send(&req.service, fault.reason());
    cx.log(
        EventCode::SendFailed,
        [
            ("request", req.headers.request_id.as_str().into()),
            ("server", id.as_str().into()),
            ("cause", fault.reason().into()),
            ("may_have_run", fault.may_have_run().into()),
        ],
    );
}
