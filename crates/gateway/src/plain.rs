//! Forwards requests to plain services, which run no model, with retries and hedging.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, Response, StatusCode};
use jacinthlever_routing::{CallOutcome, PickParams, RouteKind, ServerKey, check_stream};
use tokio::time::sleep;

use crate::answer::{AnswerBody, OUT_OF_REACH, Verdict};
use crate::caller_request::CallerRequest;
use crate::context::Context;
use crate::evacuations::{ALL_EVACUATED, RETRY_AFTER_EVACUATED};
use crate::exchange::{
    Exchange, KEY_REVOKED, MAX_ANSWER_BYTES, NO_CONNECTION, NO_ROOM, NO_SERVER_NOW, SendError,
    TIMED_OUT, implies_not_run, log_send_failure,
};
use crate::held_body::HeldBody;
use crate::reach;
use crate::relay::{self, NO_RELAY, REFUSED_ELSEWHERE};
use crate::sends::SendTicket;
use crate::suspects::{self, BrokenRun};
use crate::{EventCode, ServerHeaders};

/// Multiple of the latency target after which an idempotent request is also sent to a second
/// server.
const HEDGE_AFTER_TARGETS: u32 = 2;

/// Delay after which a caller may retry when no server accepted the request.
const RETRY_AFTER_NO_SERVER: Duration = Duration::from_millis(300);

/// A complete answer of a server, or of another instance.
struct FullResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: HeldBody,
    /// Whether the body had a length or chunks; it ended with its connection otherwise.
    is_delimited: bool,
    /// Whether a server has given it; otherwise it is the verdict of another instance.
    is_from_server: bool,
}

impl FullResponse {
    /// Checks that a stream has not been broken off. If the answer states no length, only an incomplete
    /// event, or none at all, shows it.
    ///
    /// # Errors
    /// Fails if the stream ends inside an event or without any, or does not go on after the caller's last
    /// event.
    fn check_whole(self, req: &CallerRequest) -> Result<Self, SendError> {
        if req.route.kind == RouteKind::Stream && self.status.is_success() {
            let body = self.body.to_bytes();
            check_stream(&body, req.position(), self.is_delimited)
                .map_err(|fault| SendError::Lost(fault.reason()))?;
        }
        Ok(self)
    }
}

/// The result of an attempt, with its server; `None` if another instance has made it.
type Attempt = LocalBoxFuture<'static, (Option<ServerKey>, Result<FullResponse, SendError>)>;

/// State of a request to a plain service.
struct Call {
    cx: Rc<Context>,
    req: Rc<CallerRequest>,
    tried: Vec<ServerKey>,
    /// Those of them that refused the request for lack of capacity.
    refused: Vec<ServerKey>,
    /// Whether the request has waited since all servers were full.
    has_waited: bool,
    /// Number of finished attempts that may have run the request.
    possible_runs: u32,
    attempts: FuturesUnordered<Attempt>,
    last_failure: Option<FullResponse>,
    last_error: Option<SendError>,
    /// Whether the request was passed on to another instance.
    is_passed_on: bool,
}

/// Forwards a request to a plain service and returns its answer.
///
/// # Errors
/// Returns a verdict that says whether a backend server may have run the request.
pub async fn answer(
    cx: Rc<Context>,
    req: Rc<CallerRequest>,
) -> Result<Response<AnswerBody>, Verdict> {
    let mut call = Call {
        cx,
        req,
        tried: Vec::new(),
        refused: Vec::new(),
        has_waited: false,
        possible_runs: 0,
        attempts: FuturesUnordered::new(),
        last_failure: None,
        last_error: None,
        is_passed_on: false,
    };
    let answer = call.run().await?;
    if answer.status.is_success() {
        call.req.record_run_time(&call.cx);
    }
    let mut response = Response::new(AnswerBody::held(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    Ok(response)
}

impl Call {
    async fn run(&mut self) -> Result<FullResponse, Verdict> {
        loop {
            if self.attempts.is_empty() {
                if let Some(wait) = self.start_wait() {
                    sleep(wait).await;
                }
                if !self.start_attempt()? {
                    return self.final_result();
                }
            }
            let hedge = sleep(self.req.route.target_latency * HEDGE_AFTER_TARGETS);
            tokio::select! {
                Some((server, result)) = self.attempts.next() => {
                    if let Some(answer) = self.finish_attempt(server, result) {
                        return Ok(answer);
                    }
                }
                () = hedge, if self.is_idempotent() && self.attempts.len() == 1 => {
                    self.start_attempt()?;
                }
            }
        }
    }

    fn is_idempotent(&self) -> bool {
        self.req.route.kind == RouteKind::Safe
    }

    /// Whether the request may run again after a run that has brought no whole answer, of which the
    /// caller has seen nothing.
    fn may_run_again(&self) -> bool {
        let route = &self.req.route;
        self.is_idempotent() || (route.kind == RouteKind::Stream && route.is_resumable)
    }

    /// Whether another attempt is allowed by the route and by what came of the earlier ones.
    fn may_attempt(&self) -> bool {
        let sends = self.possible_runs + self.attempts.len() as u32;
        (self.may_run_again() || sends == 0)
            && sends < self.req.route.max_attempts.max(1)
            && self.last_error != Some(KEY_REVOKED)
    }

    /// Returns the time to wait, once, if all servers of the service have just refused requests and the
    /// answer can still be in time; `None` otherwise. Servers that refused this request may be tried again
    /// afterwards.
    fn start_wait(&mut self) -> Option<Duration> {
        if self.has_waited || self.is_passed_on || !self.may_attempt() {
            return None;
        }
        let (cx, req) = (&self.cx, &self.req);
        let now = cx.now();
        let target_at = req.arrived + req.route.target_latency;
        let left = target_at.saturating_sub(now).min(req.time_left(now));
        let mut tried = self.tried.clone();
        tried.retain(|server| !self.refused.contains(server));
        let wait = {
            let pick = PickParams {
                now,
                service: &req.service,
                zone: "",
                avoid: &tried,
                version: None,
            };
            let state = cx.state.borrow();
            match state.is_scheduling_active() {
                true => state.pool.wait_while_full(&pick, left, cx.random())?,
                false => return None,
            }
        };
        cx.metrics.count_full_wait(&req.service);
        cx.log(
            EventCode::ServersFull,
            [
                ("request", req.headers.request_id.as_str().into()),
                ("service", req.service.as_str().into()),
                ("for_ms", (wait.as_millis() as u64).into()),
                ("target_left_ms", (left.as_millis() as u64).into()),
            ],
        );
        self.has_waited = true;
        self.tried = tried;
        self.refused.clear();
        Some(wait)
    }

    /// Sends the request to another server, or passes it on to another instance if no server is
    /// reached from here; returns whether that was possible and allowed.
    ///
    /// # Errors
    /// Returns a refusal if the request was not passed on after all, and its customer has exceeded its
    /// quota meanwhile.
    fn start_attempt(&mut self) -> Result<bool, Verdict> {
        let sends = self.possible_runs + self.attempts.len() as u32;
        if !self.may_attempt() {
            return Ok(false);
        }
        if self.is_passed_on && !self.attempts.is_empty() {
            // The other instance tries further servers, and has charged the customer.
            return Ok(false);
        }
        let (cx, req) = (self.cx.clone(), self.req.clone());
        if !self.is_passed_on && relay::is_possible(&cx, &req) {
            return Ok(self.pass_on(sends));
        }
        if reach::is_lost(&cx, &req.service) {
            self.last_error = self.last_error.or(Some(NO_RELAY));
            return Ok(false);
        }
        req.confirm_charge()?;
        let now = self.cx.now();
        let settings = self.cx.settings();
        let state = self.cx.state.borrow();
        let pick = PickParams {
            now,
            service: &self.req.service,
            zone: &settings.zone,
            avoid: &self.tried,
            version: None,
        };
        let picked = match state.is_scheduling_active() {
            true => state.pool.pick_plain_by_cost(&pick, || self.cx.random()),
            false => state.pool.pick_plain(&pick, || self.cx.random()),
        };
        let Some(server) = picked else {
            drop(state);
            let is_cut_off = self.last_error == Some(NO_CONNECTION);
            let may_pass_on = is_cut_off && !self.is_passed_on && relay::has_candidate(&cx, &req);
            return Ok(may_pass_on && self.pass_on(sends));
        };
        drop(state);
        let Some(ticket) = req.sends.ticket() else {
            return Ok(false);
        };
        self.tried.push(server);
        self.attempts.push(Box::pin(async move {
            (Some(server), send(&cx, server, &req, ticket).await)
        }));
        Ok(true)
    }

    /// Passes the request on to another instance, after `sends` possible runs; returns `false` if the
    /// retry budget is used up.
    fn pass_on(&mut self, sends: u32) -> bool {
        let Some(tickets) = self.req.sends.relay_tickets() else {
            return false;
        };
        self.is_passed_on = true;
        if sends == 0 {
            relay::withdraw(&self.cx, &self.req);
        }
        let attempts = self.req.route.max_attempts.max(1) - sends;
        let (cx, req) = (self.cx.clone(), self.req.clone());
        self.attempts.push(Box::pin(async move {
            (None, pass_on(&cx, &req, attempts, tickets).await)
        }));
        true
    }

    fn finish_attempt(
        &mut self,
        server: Option<ServerKey>,
        result: Result<FullResponse, SendError>,
    ) -> Option<FullResponse> {
        let is_sent_from_here = self.possible_runs > 0 || !self.attempts.is_empty();
        match result {
            // The other instance knows nothing of what was sent from here.
            Ok(answer) if !answer.is_from_server && is_sent_from_here => {
                self.last_error = Some(REFUSED_ELSEWHERE);
                None
            }
            Ok(answer) if answer.status.is_server_error() && self.is_idempotent() => {
                self.possible_runs += 1;
                self.last_failure = Some(answer);
                None
            }
            Ok(answer) => Some(answer),
            Err(error) => {
                if let Some(server) = server {
                    log_send_failure(&self.cx, &self.req, server, error);
                    if error == NO_ROOM {
                        self.refused.push(server);
                    }
                }
                if error.may_have_run() {
                    self.possible_runs = match server {
                        Some(_) => self.possible_runs + 1,
                        // The other instance may have used all attempts.
                        None => self.req.route.max_attempts.max(1),
                    };
                }
                if let Some(server) = server.filter(|_| error.may_have_run()) {
                    let run = BrokenRun {
                        server,
                        cause: error,
                        sent_at: self.req.arrived,
                        answer_began_at: None,
                    };
                    suspects::check_for_crash(&self.cx, run, &self.req);
                }
                self.last_error = Some(error);
                None
            }
        }
    }

    fn final_result(&mut self) -> Result<FullResponse, Verdict> {
        // A refusal speaks of one send only; another one may have been carried out.
        let may_have_run = self.req.may_have_run();
        let failure = self.last_failure.take();
        if let Some(answer) = failure.filter(|a| !(may_have_run && implies_not_run(a.status))) {
            return Ok(answer);
        }
        if may_have_run {
            return Err(match self.last_error {
                Some(TIMED_OUT) => Verdict::timed_out(),
                _ => Verdict::lost("server gave no answer"),
            });
        }
        let (now, service) = (self.cx.now(), &self.req.service);
        if self.cx.state.borrow().pool.is_fully_evacuated(service) {
            return Err(Verdict::unavailable(ALL_EVACUATED, RETRY_AFTER_EVACUATED));
        }
        let wait = self.cx.state.borrow().pool.wait_for_service(now, service);
        if let Some(wait) = wait {
            let retry_after = wait.max(RETRY_AFTER_NO_SERVER);
            return Err(Verdict::unavailable(NO_SERVER_NOW, retry_after));
        }
        Err(match self.last_error {
            Some(KEY_REVOKED) => {
                Verdict::unavailable("key is no longer accepted", RETRY_AFTER_NO_SERVER)
            }
            Some(NO_RELAY) => Verdict::unavailable(OUT_OF_REACH, relay::retry_after(&self.cx)),
            Some(error) => Verdict::unavailable(error.reason(), RETRY_AFTER_NO_SERVER),
            None => Verdict::unavailable("no server", RETRY_AFTER_NO_SERVER),
        })
    }
}

async fn send(
    cx: &Rc<Context>,
    server: ServerKey,
    req: &Rc<CallerRequest>,
    ticket: SendTicket,
) -> Result<FullResponse, SendError> {
    // Set before the send, since the request may time out, and be answered, during the send.
    req.begin_run();
    let within = req.time_left(cx.now());
    let extra = ServerHeaders::default();
    let sent = Exchange::send(cx, server, req, extra, within, ticket).await;
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(error) => {
            if !error.may_have_run() {
                req.withdraw_run();
            }
            return Err(error);
        }
    };
    let (status, headers) = (exchange.status, exchange.headers.clone());
    let is_delimited = exchange.is_delimited;
    let body = exchange.read_body(MAX_ANSWER_BYTES).await?;
    let response = FullResponse {
        status,
        headers,
        body,
        is_delimited,
        is_from_server: true,
    };
    response.check_whole(req).inspect_err(|_| {
        cx.record_outcome(server, CallOutcome::Broken);
    })
}

/// Passes a request on to another instance, which may have it run by up to `attempts` servers.
async fn pass_on(
    cx: &Rc<Context>,
    req: &Rc<CallerRequest>,
    attempts: u32,
    tickets: Vec<SendTicket>,
) -> Result<FullResponse, SendError> {
    req.begin_run();
    let answer = relay::send(cx, req, attempts, tickets, None, false)
        .await
        .inspect_err(|error| {
            if !error.may_have_run() {
                req.withdraw_run();
            }
        })?;
    let is_from_server = answer.is_from_server();
    if !is_from_server && implies_not_run(answer.status) {
        req.withdraw_run();
    }
    let response = FullResponse {
        status: answer.status,
        headers: answer.headers.clone(),
        is_delimited: answer.is_delimited,
        is_from_server,
        body: answer.read_body().await?,
    };
    response.check_whole(req)
}
