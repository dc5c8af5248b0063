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
use crate::node::Node;
use crate::upstreams::{Connection, Sent, connect};
use crate::{AnswerHead, EngineRequest, EventCode, ServerHeaders};

/// Longest answer that is read as a whole, in bytes.
pub const MOST_WHOLE: usize = 1024 * 1024;

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
pub enum SendFault {
    /// Nothing reached the server.
    Unsent(&'static str),
    /// The server says that it did not run the request.
    NotRun(&'static str),
    /// The server may have run the request.
    Lost(&'static str),
}

impl SendFault {
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
    node: Rc<Node>,
    server: ServerKey,
}

impl InFlight {
    fn begin(node: &Rc<Node>, server: ServerKey) -> Self {
        if let Some(s) = node.state.borrow_mut().pool.get_mut(server) {
            s.in_flight += 1;
        }
        Self {
            node: node.clone(),
            server,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(s) = self.node.state.borrow_mut().pool.get_mut(self.server) {
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
    sender: Option<SendRequest<Sent>>,
    idle_timeout: Option<Duration>,
    in_flight: InFlight,
}

impl Exchange {
    /// Sends a caller's request, with what this instance adds, to a server.
    ///
    /// # Errors
    /// Fails with what is known about whether the request ran.
    pub async fn send(
        node: &Rc<Node>,
        server: ServerKey,
        req: &CallerRequest,
        extra: ServerHeaders,
        within: Duration,
    ) -> Result<Self, SendFault> {
        let target = Target::of(node, server).ok_or(SendFault::Unsent("server is gone"))?;
        let mut headers = req.forwarded.clone();
        let extra = ServerHeaders {
            time_left: req.time_left(node.now()),
            expected_server: target.id.clone(),
            customer: req.customer.clone(),
            ..extra
        };
        let prefills = extra.prefill_only;
        note_send(node, req, server, &extra);
        (node.adapter.servers.write)(&mut headers, &extra);
        let call = Outgoing {
            method: req.method.clone(),
            path: req.uri.to_string(),
            headers,
            body: req.body.clone(),
        };
        let sent = SendPermit { req, prefills };
        Self::perform(node, server, &target, call, within, Some(&sent)).await
    }

    /// Sends a call that carries no caller's request, and reads the answer as a whole.
    ///
    /// # Errors
    /// Fails with what is known about whether the call was carried out.
    pub async fn call(
        node: &Rc<Node>,
        server: ServerKey,
        request: EngineRequest,
    ) -> Result<(StatusCode, Bytes), SendFault> {
        let target = Target::of(node, server).ok_or(SendFault::Unsent("server is gone"))?;
        let mut headers = HeaderMap::new();
        let extra = ServerHeaders {
            expected_server: target.id.clone(),
            time_left: CALL_TIMEOUT,
            ..ServerHeaders::default()
        };
        (node.adapter.servers.write)(&mut headers, &extra);
        let call = Outgoing {
            method: request.method,
            path: request.path,
            headers,
            body: Bytes::from(request.body),
        };
        let exchanged = Self::perform(node, server, &target, call, CALL_TIMEOUT, None).await?;
        let status = exchanged.status;
        Ok((status, exchanged.whole(MOST_WHOLE).await?))
    }

    async fn perform(
        node: &Rc<Node>,
        server: ServerKey,
        target: &Target,
        call: Outgoing,
        within: Duration,
        permit: Option<&SendPermit<'_>>,
    ) -> Result<Self, SendFault> {
        let in_flight = InFlight::begin(node, server);
        let started = node.now();
        let result = timeout(within, exchange(node, server, target, &call, permit)).await;
        let took = node.now().saturating_sub(started);
        let (response, sender) = match result {
            Ok(Ok(answered)) => answered,
            Ok(Err(fault)) => {
                let outcome = match fault {
                    SendFault::Unsent(_) => CallOutcome::Unresponsive,
                    _ => CallOutcome::Broken,
                };
                if fault != WITHDRAWN {
                    node.record(server, outcome);
                }
                return Err(fault);
            }
            Err(_) => {
                if within >= silence(permit) {
                    node.record(server, CallOutcome::Unresponsive);
                }
                return Err(OVERDUE);
            }
        };
        let (parts, body) = response.into_parts();
        let head = (node.adapter.servers.read)(parts.status, &parts.headers);
        let exchange = Self {
            status: parts.status,
            idle_timeout: idle_timeout(&parts.headers),
            headers: forwardable(parts.headers),
            server,
            body,
            sender: (call.body.len() < LARGE_BODY).then_some(sender),
            in_flight,
        };
        exchange.checked(node, &head, permit, took).await
    }

    /// Checks that the answer is this request's, and records how the server fared.
    async fn checked(
        self,
        node: &Rc<Node>,
        head: &AnswerHead,
        permit: Option<&SendPermit<'_>>,
        took: Duration,
    ) -> Result<Self, SendFault> {
        let server = self.server;
        let now = node.now();
        if let Some(load) = head.load {
            let mut state = node.state.borrow_mut();
            if let Some(s) = state.pool.get_mut(server) {
                s.record_load(now, load.running + load.waiting);
            }
        }
        if head.is_other_server {
            node.record(server, CallOutcome::Unresponsive);
            return Err(SendFault::NotRun("another server has the address"));
        }
        if head.is_not_run {
            node.record(server, CallOutcome::NoCapacity);
            // Reads the body so that the connection can be used again.
            drop(self.whole(MOST_WHOLE).await);
            return Err(SendFault::NotRun("server has no room"));
        }
        let Some(permit) = permit else {
            return Ok(self);
        };
        if head.request_id.as_ref() != Some(&permit.req.headers.request_id) {
            node.record(server, CallOutcome::Broken);
            return Err(SendFault::Lost("answer of another request"));
        }
        if promises_not_run(self.status) {
            node.record(server, CallOutcome::ServerError);
            return Err(SendFault::Lost("refusal that does not say it was not run"));
        }
        let needs_signature = self.status.is_success() && !permit.prefills;
        if needs_signature && !head.is_signed {
            node.record(server, CallOutcome::Broken);
            return Err(SendFault::Lost("answer without a signature"));
        }
        let outcome = match self.status.is_server_error() {
            true => CallOutcome::ServerError,
            false => CallOutcome::Answered { latency: took },
        };
        node.record(server, outcome);
        Ok(self)
    }

    /// Reads the body as a whole.
    ///
    /// # Errors
    /// Fails if the body ends early or is longer than `most` bytes.
    pub async fn whole(mut self, most: usize) -> Result<Bytes, SendFault> {
        let body = Limited::new(&mut self.body, most).collect().await;
        match body {
            Ok(whole) => {
                self.keep_connection();
                Ok(whole.to_bytes())
            }
            Err(_) => {
                self.in_flight.node.record(self.server, CallOutcome::Broken);
                Err(SendFault::Lost("answer ended early"))
            }
        }
    }

    /// Returns the next piece of the body; `None` at its end.
    pub async fn piece(&mut self) -> Option<Result<Bytes, SendFault>> {
        loop {
            let Some(frame) = self.body.frame().await else {
                self.keep_connection();
                return None;
            };
            match frame.map(|f| f.into_data()) {
                Ok(Ok(bytes)) => return Some(Ok(bytes)),
                // Trailers say nothing that is forwarded.
                Ok(Err(_)) => {}
                Err(_) => return Some(Err(SendFault::Lost("answer ended early"))),
            }
        }
    }

    fn keep_connection(&mut self) {
        if let Some(sender) = self.sender.take() {
            let node = &self.in_flight.node;
            let now = node.now();
            let most = node.state.borrow().idle_connections(now, self.server);
            node.upstreams
                .keep(now, self.server, most, sender, self.idle_timeout);
        }
    }
}

/// The server gave no answer in the time that there was for one.
pub const OVERDUE: SendFault = SendFault::Lost("no answer in time");

/// The key was withdrawn, or may have been, between arrival and send.
pub const WITHDRAWN: SendFault = SendFault::Unsent("key is no longer accepted");

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
    fn of(node: &Node, server: ServerKey) -> Option<Self> {
        let state = node.state.borrow();
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
    fn request(&self, address: &str) -> Result<Request<Sent>, SendFault> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .body(Full::new(self.body.clone()))
            .map_err(|_| SendFault::Unsent("request cannot be written"))?;
        *request.headers_mut() = self.headers.clone();
        if !request.headers().contains_key(header::HOST) {
            let host = address
                .parse()
                .map_err(|_| SendFault::Unsent("address is no host"))?;
            request.headers_mut().insert(header::HOST, host);
        }
        Ok(request)
    }
}

type Answered = (http::Response<Incoming>, SendRequest<Sent>);

async fn exchange(
    node: &Rc<Node>,
    server: ServerKey,
    target: &Target,
    call: &Outgoing,
    permit: Option<&SendPermit<'_>>,
) -> Result<Answered, SendFault> {
    loop {
        let mut connection = match node.upstreams.reuse(node.now(), server) {
            Some(connection) => connection,
            None => Connection {
                sender: connect(&target.address)
                    .await
                    .map_err(|_| SendFault::Unsent("no connection"))?,
                is_reused: false,
            },
        };
        if permit.is_some_and(|p| !p.req.is_still_allowed(node)) {
            return Err(WITHDRAWN);
        }
        let request = call.request(&target.address)?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                return Ok((response, connection.sender));
            }
            // A message that comes back has not been written.
            Err(mut error) => match error.take_message() {
                Some(_) if connection.is_reused => {}
                Some(_) => return Err(SendFault::Unsent("connection closed at once")),
                None => return Err(SendFault::Lost("connection broke")),
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
fn note_send(node: &Node, req: &CallerRequest, server: ServerKey, extra: &ServerHeaders) {
    let state = node.state.borrow();
    let Some(picked) = state.pool.get(server) else {
        return;
    };
    let now = node.now();
    let work = match (extra.prefill_only, extra.hold.is_some()) {
        (true, _) => "prefill",
        (false, true) => "decode",
        (false, false) => "plain",
    };
    node.note(
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
pub fn note_fault(node: &Node, req: &CallerRequest, server: ServerKey, fault: SendFault) {
    let id = node.state.borrow().pool.id_of(server);
    node.metrics.sent(&req.service, fault.reason());
    node.note(
        EventCode::SendFailed,
        [
            ("request", req.headers.request_id.as_str().into()),
            ("server", id.as_str().into()),
            ("cause", fault.reason().into()),
            ("may_have_run", fault.may_have_run().into()),
        ],
    );
}
