//! Requests to plain services.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, Response, StatusCode};
use jacinthlever_routing::{Pick, RouteKind, ServerKey};
use tokio::time::sleep;

use crate::ServerHeaders;
use crate::answer::{AnswerBody, Verdict};
use crate::caller_request::CallerRequest;
use crate::context::Context;
use crate::exchange::{
    Exchange, KEY_REVOKED, MAX_ANSWER_BYTES, SendError, TIMED_OUT, log_send_failure,
};
use crate::suspects;

/// Latency targets after which a second server is asked as well, if the request is idempotent.
const HEDGE_AFTER_TARGETS: u32 = 2;

/// Time after which a caller may come back when all servers are full.
const RETRY_WHEN_FULL: Duration = Duration::from_millis(300);

/// A whole answer of a server.
struct Whole {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

type Attempt = LocalBoxFuture<'static, (ServerKey, Result<Whole, SendError>)>;

/// A request to a plain service on its way.
struct Call {
    cx: Rc<Context>,
    req: Rc<CallerRequest>,
    tried: Vec<ServerKey>,
    /// Servers that may have run the request.
    ran: u32,
    attempts: FuturesUnordered<Attempt>,
    last_failure: Option<Whole>,
    fault: Option<SendError>,
}

/// Forwards a request to a plain service and returns its answer.
///
/// # Errors
/// Fails with a verdict that says whether the request may have run.
pub async fn answer(
    cx: Rc<Context>,
    req: Rc<CallerRequest>,
) -> Result<Response<AnswerBody>, Verdict> {
    let mut call = Call {
        cx,
        req,
        tried: Vec::new(),
        ran: 0,
        attempts: FuturesUnordered::new(),
        last_failure: None,
        fault: None,
    };
    let whole = call.run().await?;
    let mut response = Response::new(AnswerBody::full(whole.body));
    *response.status_mut() = whole.status;
    *response.headers_mut() = whole.headers;
    Ok(response)
}

impl Call {
    async fn run(&mut self) -> Result<Whole, Verdict> {
        loop {
            if self.attempts.is_empty() && !self.start() {
                return self.give_up();
            }
            let hedge = sleep(self.req.route.target_latency * HEDGE_AFTER_TARGETS);
            tokio::select! {
                Some((server, result)) = self.attempts.next() => {
                    if let Some(whole) = self.ended(server, result) {
                        return Ok(whole);
                    }
                }
                () = hedge, if self.is_idempotent() && self.attempts.len() == 1 => {
                    self.start();
                }
            }
        }
    }

    fn is_idempotent(&self) -> bool {
        self.req.route.kind == RouteKind::Safe
    }

    /// Sends the request to another server, if that is allowed.
    fn start(&mut self) -> bool {
        let sent = self.ran + self.attempts.len() as u32;
        let may_repeat = self.is_idempotent() || sent == 0;
        if !may_repeat
            || sent >= self.req.route.max_attempts.max(1)
            || self.fault == Some(KEY_REVOKED)
        {
            return false;
        }
        let now = self.cx.now();
        let settings = self.cx.settings();
        let mut state = self.cx.state.borrow_mut();
        let picked = state.pool.pick_plain(&Pick {
            now,
            service: &self.req.service,
            zone: &settings.zone,
            avoid: &self.tried,
        });
        let Some(server) = picked else { return false };
        let is_resend = !self.tried.is_empty();
        let budget = state.retry_budget(&settings, &self.req.service);
        if is_resend && !budget.try_spend(now) {
            return false;
        }
        drop(state);
        self.tried.push(server);
        let (cx, req) = (self.cx.clone(), self.req.clone());
        self.attempts.push(Box::pin(
            async move { (server, send(&cx, server, &req).await) },
        ));
        true
    }

    fn ended(&mut self, server: ServerKey, result: Result<Whole, SendError>) -> Option<Whole> {
        match result {
            Ok(whole) if whole.status.is_server_error() && self.is_idempotent() => {
                self.ran += 1;
                self.last_failure = Some(whole);
                None
            }
            Ok(whole) => Some(whole),
            Err(fault) => {
                log_send_failure(&self.cx, &self.req, server, fault);
                if fault.may_have_run() {
                    self.ran += 1;
                    self.req.may_have_run.set(true);
                    suspects::check_for_crash(&self.cx, server, &self.req);
                }
                self.fault = Some(fault);
                None
            }
        }
    }

    fn give_up(&mut self) -> Result<Whole, Verdict> {
        if let Some(whole) = self.last_failure.take() {
            return Ok(whole);
        }
        if self.req.may_have_run.get() {
            return Err(match self.fault {
                Some(TIMED_OUT) => Verdict::timed_out(),
                _ => Verdict::lost("server gave no answer"),
            });
        }
        Err(match self.fault {
            Some(KEY_REVOKED) => Verdict::unavailable("key is no longer accepted", RETRY_WHEN_FULL),
            Some(fault) => Verdict::unavailable(fault.reason(), RETRY_WHEN_FULL),
            None => Verdict::unavailable("no server", RETRY_WHEN_FULL),
        })
    }
}

async fn send(
    cx: &Rc<Context>,
    server: ServerKey,
    req: &Rc<CallerRequest>,
) -> Result<Whole, SendError> {
    // Set before the send, since the caller may be answered while it is under way.
    let before = req.may_have_run.replace(true);
    let within = req.time_left(cx.now());
    let sent = Exchange::send(cx, server, req, ServerHeaders::default(), within).await;
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(fault) => {
            if !fault.may_have_run() {
                req.may_have_run.set(before);
            }
            return Err(fault);
        }
    };
    let (status, headers) = (exchange.status, exchange.headers.clone());
    let body = exchange.read_body(MAX_ANSWER_BYTES).await?;
    Ok(Whole {
        status,
        headers,
        body,
    })
}
