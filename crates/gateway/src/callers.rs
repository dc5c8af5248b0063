//! Accepts connections of callers, admits or refuses their requests, and answers them.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::header;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use jacinthlever_routing::{CallerLimits, PlannedStop, RouteKind};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::admission::{RETRY_AFTER_UNVERIFIED, RequestSummary, admit};
use crate::answer::{AnswerBody, Verdict};
use crate::caller_request::CallerRequest;
use crate::connection::{ActivityMonitor, MonitoredStream, TimeoutKind};
use crate::context::Context;
use crate::memory_budget::BYTES_PER_MB;
use crate::relay::{RelayTerms, UNREACHED_HEADER};
use crate::socket_buffers::SocketBuffers;
use crate::{CallerHeaders, EventCode, generation, plain};

/// Descriptors reserved for files, listeners, and connections to peers and the store.
const RESERVED_DESCRIPTORS: usize = 240;

/// Share of the other descriptors that callers may use; the rest is for backend servers.
const CALLER_SHARE: f64 = 0.6;

/// Share of the other descriptors that instances may use which pass requests on.
const RELAY_SHARE: f64 = 0.15;

/// Space for the headers that an instance adds to a request that it passes on, in bytes.
const RELAY_HEADER_BYTES: usize = 256;

/// Minimum idle time-out of connections between instances; longer than they are reused.
const RELAY_IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// Delay before the next attempt after the system failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves callers until no more connections are accepted; then closes the listener and waits
/// forever.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn serve(cx: Rc<Context>) -> io::Result<()> {
    let listener = TcpListener::bind(cx.settings().listen.callers).await?;
    let stop = cx.wait_for_stop(PlannedStop::stop_accepting_at);
    accept(&cx, &listener, Sender::Caller, stop).await;
    drop(listener);
    std::future::pending().await
}

/// Serves requests that other instances pass on.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn serve_relays(cx: Rc<Context>) -> io::Result<()> {
    let listener = TcpListener::bind(cx.settings().listen.peers).await?;
    accept(&cx, &listener, Sender::Instance, std::future::pending()).await;
    Ok(())
}

/// Accepts connections until `stop`, and those that the system has opened by then. More than the share of
/// descriptors that their senders may use are closed at once, since they would leave too few for the
/// requests being served.
async fn accept(
    cx: &Rc<Context>,
    listener: &TcpListener,
    sender: Sender,
    stop: impl Future<Output = ()>,
) {
    let mut stop = pin!(stop);
    let unreserved = cx.settings().max_descriptors - RESERVED_DESCRIPTORS;
    let max_open = (unreserved as f64 * sender.descriptor_share()) as usize;
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = stop.as_mut() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) if open.get() < max_open => stream,
            Ok(_) => continue,
            Err(error) => {
                log::debug!(
                    "cannot accept a connection of a {sender:?}, retry in {ACCEPT_RETRY_DELAY:?}: {error}"
                );
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let mut saves_memory = false;
        if let Some(mb) = cx.settings().max_memory_mb {
            let share = sender.descriptor_share() / (CALLER_SHARE + RELAY_SHARE);
            let buffers = SocketBuffers::new(mb.saturating_mul(BYTES_PER_MB), share, max_open);
            saves_memory = buffers.apply(&stream, open.get());
        }
        open.set(open.get() + 1);
        let (cx, open) = (cx.clone(), open.clone());
        tokio::task::spawn_local(async move {
            serve_connection(cx, stream, sender, saves_memory).await;
            open.set(open.get() - 1);
        });
    }
}

/// Serves an endpoint whose requests are answered at once, without admission.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn serve_endpoint(
    cx: Rc<Context>,
    address: SocketAddr,
    answer: fn(&Context, &Request<Incoming>) -> Response<AnswerBody>,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let cx = cx.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |req: Request<Incoming>| {
                let response = answer(&cx, &req);
                async move { Ok::<_, Infallible>(response) }
            });
            let monitor = ActivityMonitor::start(&Rc::default());
            let io = TokioIo::new(MonitoredStream::new(stream, monitor.clone()));
            let connection = http1::Builder::new().serve_connection(io, service);
            let limits = CallerLimits::default();
            tokio::select! {
                served = connection => log::trace!(
                    "connection to {address} ended without an error: {}",
                    served.is_ok()
                ),
                _ = monitor.timed_out(limits) => {}
            }
        });
    }
}

/// Who sends the requests on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sender {
    Caller,
    /// Another instance, which passes requests of callers on.
    Instance,
}

impl Sender {
    fn descriptor_share(self) -> f64 {
        match self {
            Self::Caller => CALLER_SHARE,
            Self::Instance => RELAY_SHARE,
        }
    }
}

/// Serves a connection; with `saves_memory` it reads into small buffers.
async fn serve_connection(cx: Rc<Context>, stream: TcpStream, sender: Sender, saves_memory: bool) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY not set on a caller's connection: {error}");
    }
    let monitor = ActivityMonitor::start(&cx.busy_connections);
    let limits = connection_limits(&cx, sender);
    let mut stream = MonitoredStream::new(stream, monitor.clone());
    if saves_memory {
        stream.limit_reads();
    }
    let io = TokioIo::new(stream);
    let service = {
        let (cx, monitor) = (cx.clone(), monitor.clone());
        service_fn(move |req| {
            monitor.request_started();
            let (cx, monitor) = (cx.clone(), monitor.clone());
            // Boxed: an idle connection would otherwise reserve memory for this future.
            Box::pin(async move {
                let response = respond(&cx, req, sender, &monitor).await;
                monitor.hold_answer(response.body().lease());
                Ok::<_, Infallible>(
                    response.map(|body| body.on_end(move || monitor.request_finished())),
                )
            })
        })
    };
    // hyper panics if the buffer is smaller than 8192 bytes.
    let mut connection = http1::Builder::new()
        .max_buf_size(limits.header_bytes.max(8192))
        .serve_connection(io, service);
    let mut is_closing = false;
    loop {
        tokio::select! {
            served = &mut connection => {
                if let Err(error) = served {
                    log::debug!("caller's connection ended with an error: {error}");
                }
                break;
            }
            // Other instances learn that this one is stopping from its answers.
            () = cx.wait_for_stop(PlannedStop::close_connections_at),
                if !is_closing && sender == Sender::Caller =>
            {
                is_closing = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
            timeout_kind = monitor.timed_out(limits) => match timeout_kind {
                TimeoutKind::SlowHead => {
                    cx.log(EventCode::ConnectionTimedOut, []);
                    return;
                }
                TimeoutKind::Shed => return,
                TimeoutKind::Idle if cx.memory.is_active() => {
                    // A caller that does not read the end of an answer would keep the connection.
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                    let ended = timeout(limits.header_timeout, &mut connection).await;
                    log::trace!("idle connection of a caller closed in time: {}", ended.is_ok());
                    return;
                }
                TimeoutKind::Idle => {
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                    let served = (&mut connection).await;
                    log::trace!(
                        "idle connection of a caller closed without an error: {}",
                        served.is_ok()
                    );
                    return;
                }
            }
        }
    }
    if monitor.has_unread_body() {
        // Closing a connection with unread bytes resets it, and the caller may lose the answer.
        let mut stream = connection.into_parts().io.into_inner();
        monitor.begin_count();
        tokio::select! {
            () = stream.discard() => {}
            () = cx.wait_for_stop(PlannedStop::exit_by) => {}
        }
    }
}

fn connection_limits(cx: &Context, sender: Sender) -> CallerLimits {
    let state = cx.state.borrow();
    let config = state.config.as_ref();
    let limits = config.map_or_else(CallerLimits::default, |c| c.limits);
    match sender {
        Sender::Caller => limits,
        // Instances add headers, and keep connections for as long as is usual between them.
        Sender::Instance => CallerLimits {
            header_bytes: limits.header_bytes + RELAY_HEADER_BYTES,
            idle_timeout: limits.idle_timeout.max(RELAY_IDLE_TIMEOUT),
            ..limits
        },
    }
}

/// Counts a request as in flight until its answer has been sent or dropped, and logs a caller that
/// disconnected before the answer.
struct InFlightGuard {
    cx: Rc<Context>,
    request_id: SmolStr,
    is_answered: Cell<bool>,
}

impl InFlightGuard {
    fn begin(cx: &Rc<Context>, request_id: SmolStr) -> Self {
        cx.in_flight.set(cx.in_flight.get() + 1);
        Self {
            cx: cx.clone(),
            request_id,
            is_answered: Cell::new(false),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.cx.in_flight.set(self.cx.in_flight.get() - 1);
        if !self.is_answered.get() {
            let fields = [("request", self.request_id.as_str().into())];
            self.cx.log(EventCode::CallerLeft, fields);
        }
    }
}

async fn respond(
    cx: &Rc<Context>,
    req: Request<Incoming>,
    sender: Sender,
    monitor: &ActivityMonitor,
) -> Response<AnswerBody> {
    let arrived = cx.now();
    let headers = match (cx.adapter.callers.decode_headers)(req.headers()) {
        Ok(headers) => headers,
        Err(error) => {
            let fields = [("cause", error.to_string().into())];
            cx.log(EventCode::Refused, fields);
            return Verdict::reject(StatusCode::BAD_REQUEST, "malformed header").response();
        }
    };
    let request_id = headers.request_id.clone();
    let in_flight = InFlightGuard::begin(cx, request_id.clone());
    let result = admit_and_answer(cx, req, headers, arrived, sender).await;
    let verdict = result.as_ref().err();
    let leaves_body_unread =
        cx.memory.is_active() && verdict.is_some_and(Verdict::leaves_body_unread);
    if verdict.is_some_and(|v| v.is_stop() && v.leaves_body_unread()) {
        monitor.leave_body_unread();
    }
    let mut response = match result {
        Ok(response) => response,
        Err(verdict) => {
            let mut response = verdict.response();
            let headers = response.headers_mut();
            (cx.adapter.callers.set_request_id)(headers, &request_id);
            if sender == Sender::Instance && verdict.is_unreached() {
                headers.insert(UNREACHED_HEADER, header::HeaderValue::from_static("1"));
            }
            response
        }
    };
    if cx.state.borrow().is_draining || leaves_body_unread {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    in_flight.is_answered.set(true);
    response.map(|body| body.on_end(move || drop(in_flight)))
}

async fn admit_and_answer(
    cx: &Rc<Context>,
    req: Request<Incoming>,
    headers: CallerHeaders,
    arrived: Duration,
    sender: Sender,
) -> Result<Response<AnswerBody>, Verdict> {
    let mut summary = RequestSummary::new(headers.request_id.clone(), arrived);
    let relayed = match sender {
        Sender::Caller => None,
        Sender::Instance => Some(RelayTerms::of(req.headers())),
    };
    let result = match admit(cx, req, headers, relayed, &mut summary).await {
        // Boxed: a request whose body is being received would otherwise reserve memory for it.
        Ok(req) => Box::pin(answer(cx, Rc::new(req))).await,
        Err(verdict) => Err(verdict),
    };
    if let Err(verdict) = &result {
        log_verdict(cx, &summary, verdict);
    }
    result
}

fn log_verdict(cx: &Context, summary: &RequestSummary, verdict: &Verdict) {
    let now = cx.now();
    let code = match verdict {
        Verdict::NotRun { .. } => EventCode::Refused,
        Verdict::MayHaveRun { .. } => EventCode::Failed,
    };
    if verdict.is_stop() {
        let verdicts = &cx.stop_verdicts;
        let count = match verdict.is_not_run() {
            true => &verdicts.not_run,
            false => &verdicts.may_have_run,
        };
        count.set(count.get() + 1);
    }
    let config_verification_age = cx.state.borrow().config_verification_age(now);
    let ms = |time: Duration| time.as_millis() as u64;
    cx.log(
        code,
        [
            ("request", summary.request_id.as_str().into()),
            ("route", summary.route.as_str().into()),
            ("customer", summary.customer.as_str().into()),
            ("status", verdict.status().as_u16().into()),
            ("cause", verdict.reason().into()),
            ("retry_after_ms", verdict.retry_after().map(ms).into()),
            ("tokens", summary.tokens.into()),
            ("after_ms", ms(now.saturating_sub(summary.arrived)).into()),
            ("config", summary.config.into()),
            ("config_age_ms", config_verification_age.map(ms).into()),
        ],
    );
    cx.metrics
        .count_request(&summary.customer, &summary.route, verdict.reason());
}

async fn answer(cx: &Rc<Context>, req: Rc<CallerRequest>) -> Result<Response<AnswerBody>, Verdict> {
    let left = req.deadline.saturating_sub(cx.now());
    let result = tokio::select! {
        biased;
        result = forward(cx.clone(), req.clone()) => result,
        () = sleep(left) => Err(match req.may_have_run.get() {
            true => Verdict::timed_out(),
            false => Verdict::unavailable("no server had room in time", RETRY_AFTER_UNVERIFIED),
        }),
        () = cx.wait_for_stop(PlannedStop::answer_by) => {
            Err(Verdict::stopping(req.may_have_run.get()))
        }
    };
    if let Ok(response) = &result {
        log_answer(cx, &req, response.status());
    }
    result
}

fn forward(
    cx: Rc<Context>,
    req: Rc<CallerRequest>,
) -> impl Future<Output = Result<Response<AnswerBody>, Verdict>> {
    let engine = req
        .config
        .generation_engine(&req.route, &req.service)
        .cloned();
    async move {
        match engine {
            Some(spec) => generation::answer(cx, req, spec).await,
            None => plain::answer(cx, req).await,
        }
    }
}

fn log_answer(cx: &Context, req: &CallerRequest, status: StatusCode) {
    let took = cx.now().saturating_sub(req.arrived);
    let outcome = match req.is_relayed {
        true => "answered to another instance",
        false => "answered",
    };
    if req.route.kind != RouteKind::Stream && !req.is_relayed {
        cx.metrics
            .record_latency(req.customer_name(), &req.route.name, took);
    }
    cx.metrics
        .count_request(req.customer_name(), &req.route.name, outcome);
    cx.log(
        EventCode::Answered,
        [
            ("request", req.headers.request_id.as_str().into()),
            ("route", req.route.name.as_str().into()),
            ("customer", req.customer_name().into()),
            ("status", status.as_u16().into()),
            ("tokens", req.tokens().into()),
            ("took_ms", (took.as_millis() as u64).into()),
            ("config", req.config.version.into()),
        ],
    );
}
