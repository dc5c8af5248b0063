//! Accepts callers, decides whether a request may go on, and sees to its answer.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::header;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use jacinthlever_routing::{CallerLimits, RouteKind};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::admission::{RETRY_UNPROVED, Trail, accept};
use crate::answer::{AnswerBody, Verdict};
use crate::caller_request::CallerRequest;
use crate::connection::{Expiry, Watch, Watched};
use crate::node::Node;
use crate::{CallerHeaders, EventCode, generation, plain};

/// Descriptors kept for files, listeners, and connections to peers and the store.
const KEPT_DESCRIPTORS: usize = 240;

/// Part of the other descriptors that callers may use; the rest serves backend servers.
const CALLERS_PART: f64 = 0.6;

/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens for callers.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn serve(node: Rc<Node>) -> io::Result<()> {
    let listener = TcpListener::bind(node.settings().listen.callers).await?;
    let others = node.settings().max_descriptors - KEPT_DESCRIPTORS;
    let most = (others as f64 * CALLERS_PART) as usize;
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.closing.notified() => break,
        };
        let stream = match accepted {
            Ok((stream, _)) if open.get() < most => stream,
            // More connections would starve those that are being served.
            Ok(_) => continue,
            Err(error) => {
                log::debug!("a connection was not accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        open.set(open.get() + 1);
        let (node, open) = (node.clone(), open.clone());
        tokio::task::spawn_local(async move {
            serve_connection(node, stream).await;
            open.set(open.get() - 1);
        });
    }
    drop(listener);
    std::future::pending().await
}

/// Listens for short questions that are answered at once.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn serve_questions(
    node: Rc<Node>,
    address: SocketAddr,
    answer: fn(&Node, &Request<Incoming>) -> Response<AnswerBody>,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |req: Request<Incoming>| {
                let answered = answer(&node, &req);
                async move { Ok::<_, Infallible>(answered) }
            });
            let watch = Watch::start();
            let io = TokioIo::new(Watched::new(stream, watch.clone()));
            let connection = http1::Builder::new().serve_connection(io, service);
            let limits = CallerLimits::default();
            tokio::select! {
                served = connection => log::trace!("served: {}", served.is_ok()),
                _ = watch.expired(limits) => {}
            }
        });
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("no delay: {error}");
    }
    let watch = Watch::start();
    let limits = limits(&node);
    let io = TokioIo::new(Watched::new(stream, watch.clone()));
    let service = {
        let (node, watch) = (node.clone(), watch.clone());
        service_fn(move |req| {
            watch.begin();
            let (node, watch) = (node.clone(), watch.clone());
            async move {
                let response = respond(&node, req).await;
                Ok::<_, Infallible>(response.map(|body| body.on_end(move || watch.end())))
            }
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(limits.header_bytes.max(8192))
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    let mut is_closing = false;
    loop {
        tokio::select! {
            served = connection.as_mut() => {
                if let Err(error) = served {
                    log::debug!("a caller's connection ended: {error}");
                }
                return;
            }
            () = node.drain.notified(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            expiry = watch.expired(limits) => match expiry {
                Expiry::SlowHead => return,
                Expiry::Idle => {
                    connection.as_mut().graceful_shutdown();
                    let served = connection.as_mut().await;
                    log::trace!("idle connection closed: {}", served.is_ok());
                    return;
                }
            }
        }
    }
}

fn limits(node: &Node) -> CallerLimits {
    let state = node.state.borrow();
    state
        .config
        .as_ref()
        .map_or_else(CallerLimits::default, |c| c.limits)
}

/// Counts a request as long as it is not answered in full, and logs a caller that left.
struct Open {
    node: Rc<Node>,
    request_id: SmolStr,
    is_answered: Cell<bool>,
}

impl Open {
    fn begin(node: &Rc<Node>, request_id: SmolStr) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        Self {
            node: node.clone(),
            request_id,
            is_answered: Cell::new(false),
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.node.in_flight.set(self.node.in_flight.get() - 1);
        if !self.is_answered.get() {
            let fields = [("request", self.request_id.as_str().into())];
            self.node.note(EventCode::CallerLeft, fields);
        }
    }
}

async fn respond(node: &Rc<Node>, req: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = node.now();
    let headers = match (node.adapter.callers.read)(req.headers()) {
        Ok(headers) => headers,
        Err(error) => {
            let fields = [("cause", error.to_string().into())];
            node.note(EventCode::Refused, fields);
            return Verdict::reject(StatusCode::BAD_REQUEST, "malformed header").response();
        }
    };
    let request_id = headers.request_id.clone();
    let open = Open::begin(node, request_id.clone());
    let result = accept_and_answer(node, req, headers, arrived).await;
    let mut response = match result {
        Ok(response) => response,
        Err(verdict) => {
            let mut response = verdict.response();
            (node.adapter.callers.mark)(response.headers_mut(), &request_id);
            response
        }
    };
    if node.state.borrow().is_draining {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    open.is_answered.set(true);
    response.map(|body| body.on_end(move || drop(open)))
}

async fn accept_and_answer(
    node: &Rc<Node>,
    req: Request<Incoming>,
    headers: CallerHeaders,
    arrived: Duration,
) -> Result<Response<AnswerBody>, Verdict> {
    let mut trail = Trail::start(headers.request_id.clone(), arrived);
    let result = match accept(node, req, headers, &mut trail).await {
        Ok(req) => answer(node, Rc::new(req)).await,
        Err(verdict) => Err(verdict),
    };
    if let Err(verdict) = &result {
        note_verdict(node, &trail, verdict);
    }
    result
}

fn note_verdict(node: &Node, trail: &Trail, verdict: &Verdict) {
    let now = node.now();
    let code = match verdict {
        Verdict::NotRun { .. } => EventCode::Refused,
        Verdict::MayHaveRun { .. } => EventCode::Failed,
    };
    let proof_age = node.state.borrow().proof_age(now);
    let ms = |time: Duration| time.as_millis() as u64;
    node.note(
        code,
        [
            ("request", trail.request_id.as_str().into()),
            ("route", trail.route.as_str().into()),
            ("customer", trail.customer.as_str().into()),
            ("status", verdict.status().as_u16().into()),
            ("cause", verdict.reason().into()),
            ("retry_after_ms", verdict.retry_after().map(ms).into()),
            ("tokens", trail.tokens.into()),
            ("after_ms", ms(now.saturating_sub(trail.arrived)).into()),
            ("config", trail.config.into()),
            ("config_age_ms", proof_age.map(ms).into()),
        ],
    );
    node.metrics
        .answered(&trail.customer, &trail.route, verdict.reason());
}

async fn answer(node: &Rc<Node>, req: Rc<CallerRequest>) -> Result<Response<AnswerBody>, Verdict> {
    let left = req.time_left(node.now());
    let answered = timeout(left, forward(node.clone(), req.clone())).await;
    let result = answered.unwrap_or_else(|_| {
        Err(match req.may_have_run.get() {
            true => Verdict::timed_out(),
            false => Verdict::unavailable("no server had room in time", RETRY_UNPROVED),
        })
    });
    if let Ok(response) = &result {
        note_answer(node, &req, response.status());
    }
    result
}

fn forward(
    node: Rc<Node>,
    req: Rc<CallerRequest>,
) -> impl Future<Output = Result<Response<AnswerBody>, Verdict>> {
    let engine = req
        .config
        .generation_engine(&req.route, &req.service)
        .cloned();
    async move {
        match engine {
            Some(spec) => generation::answer(node, req, spec).await,
            None => plain::answer(node, req).await,
        }
    }
}

fn note_answer(node: &Node, req: &CallerRequest, status: StatusCode) {
    let took = node.now().saturating_sub(req.arrived);
    if req.route.kind != RouteKind::Stream {
        node.metrics
            .latency(req.customer_name(), &req.route.name, took);
    }
    node.metrics
        .answered(req.customer_name(), &req.route.name, "answered");
    node.note(
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
