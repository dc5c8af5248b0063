//! Prefills of one prompt that run at engines. One that is overdue is kept while another engine is
//! tried; the first result is used and the others are dropped.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use jacinthlever_routing::{CallOutcome, ServerKey};
use tokio::time::timeout;

use crate::ServerHeaders;
use crate::caller_request::CallerRequest;
use crate::context::Context;
use crate::exchange::{Exchange, MAX_ANSWER_BYTES, SendError, TIMED_OUT, log_send_failure};
use crate::permits::AT_LIMIT;
use crate::reach;
use crate::reservation::{KvCache, Reservation};
use crate::sends::SendTicket;

/// Time added to twice the expected duration of a prefill before it is overdue.
const PREFILL_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Maximum number of failed or overdue prefills of one request; the work of each may have been
/// wasted.
const MAX_FAILED_PREFILLS: usize = 2;

/// Maximum number of sends of one prompt to prefill engines, including those refused for lack of
/// capacity.
const MAX_PREFILL_SENDS: u32 = 4;

/// Interval between two searches for an engine.
const SEARCH_INTERVAL: Duration = Duration::from_millis(60);

/// What came of waiting for prefills.
pub enum PrefillProgress {
    /// An engine has answered.
    Ended(ServerKey, Result<Prefilled, SendError>),
    /// The newest prefill has become overdue: the engine, and how long it has been silent.
    Overdue(ServerKey, Duration),
    /// Nothing has changed; engines may be searched for again.
    Unchanged,
}

/// The result of a prefill.
pub struct Prefilled {
    /// The KV cache that the engine has made.
    pub kv: KvCache,
    /// The ticket of the send, if it is unused again since this is the first complete prefill.
    pub ticket: Option<SendTicket>,
}

/// A prefill that is not overdue yet.
#[derive(Clone, Copy, Debug)]
struct PunctualPrefill {
    server: ServerKey,
    sent_at: Duration,
    due_at: Duration,
}

/// The prefills of one prompt. Dropping this drops the calls; a KV cache that an engine has made for
/// a dropped call expires there.
pub struct Prefills {
    cx: Rc<Context>,
    req: Rc<CallerRequest>,
    tokens: u64,
    running: FuturesUnordered<LocalBoxFuture<'static, (ServerKey, Result<Prefilled, SendError>)>>,
    /// The newest one; `None` if it has ended or is overdue. All others are overdue.
    newest: Option<PunctualPrefill>,
    /// Engines whose prefill is overdue and runs.
    overdue: Vec<ServerKey>,
    /// Engines that failed the prefill or are overdue with it; they are not asked again.
    tried: Vec<ServerKey>,
    sends: u32,
    is_budget_spent: bool,
}

impl Prefills {
    /// Creates an empty set for a prompt of `tokens`.
    pub fn new(cx: &Rc<Context>, req: &Rc<CallerRequest>, tokens: u64) -> Self {
        Self {
            cx: cx.clone(),
            req: req.clone(),
            tokens,
            running: FuturesUnordered::new(),
            newest: None,
            overdue: Vec::new(),
            tried: Vec::new(),
            sends: 0,
            is_budget_spent: false,
        }
    }

    /// Returns the engines that are not asked again.
    pub fn tried(&self) -> &[ServerKey] {
        &self.tried
    }

    /// Whether a prefill runs that is not overdue.
    pub fn is_punctual(&self) -> bool {
        self.newest.is_some()
    }

    /// Whether any prefill runs.
    pub fn has_running(&self) -> bool {
        !self.running.is_empty()
    }

    /// Whether the prompt may be sent to another engine.
    pub fn may_send(&self) -> bool {
        self.sends < MAX_PREFILL_SENDS
            && self.tried.len() < MAX_FAILED_PREFILLS
            && !self.is_budget_spent
    }

    /// Whether the retry budget allows no further send.
    pub fn is_budget_spent(&self) -> bool {
        self.is_budget_spent
    }

    /// Records that the retry budget allows no further send.
    pub fn record_budget_spent(&mut self) {
        self.is_budget_spent = true;
    }

    /// Sends the prompt to an engine that is expected to take `expected` for it.
    pub fn start(&mut self, server: ServerKey, expected: Duration, ticket: SendTicket) {
        self.sends += 1;
        let sent_at = self.cx.now();
        let patience = expected * 2 + PREFILL_TIMEOUT_MARGIN;
        let patience = patience.min(self.req.time_left(sent_at));
        let (cx, req, tokens) = (self.cx.clone(), self.req.clone(), self.tokens);
        self.running.push(Box::pin(async move {
            let sent = send_prefill(&cx, &req, server, tokens, patience, ticket).await;
            (server, sent)
        }));
        self.newest = Some(PunctualPrefill {
            server,
            sent_at,
            due_at: sent_at + patience,
        });
    }

    /// Waits until a prefill ends or becomes overdue, or if none is punctual, until engines may be
    /// searched for again.
    pub async fn progress(&mut self) -> PrefillProgress {
        let now = self.cx.now();
        let wait = match self.newest {
            Some(newest) => newest.due_at.saturating_sub(now),
            None => SEARCH_INTERVAL,
        };
        let ended = async {
            match self.running.next().await {
                Some(ended) => ended,
                None => pending().await,
            }
        };
        if let Ok((server, result)) = timeout(wait, ended).await {
            self.overdue.retain(|overdue| *overdue != server);
            if self.newest.is_some_and(|newest| newest.server == server) {
                self.newest = None;
            }
            return PrefillProgress::Ended(server, result);
        }
        let Some(newest) = self.newest.take() else {
            return PrefillProgress::Unchanged;
        };
        reach::record_missed(&self.cx, newest.server);
        let outcome = CallOutcome::Unresponsive;
        self.cx.record_outcome(newest.server, outcome);
        self.overdue.push(newest.server);
        self.exclude(newest.server);
        let silent = self.cx.now().saturating_sub(newest.sent_at);
        PrefillProgress::Overdue(newest.server, silent)
    }

    /// Logs a failed prefill and leaves its engine out. An engine that refused for lack of capacity,
    /// or is at its limit, may be asked again.
    pub fn record_failure(&mut self, server: ServerKey, error: SendError) {
        log_send_failure(&self.cx, &self.req, server, error);
        if !matches!(error, SendError::NotRun(_) | AT_LIMIT) {
            self.exclude(server);
        }
    }

    /// Logs the overdue prefills, which are given up.
    pub fn log_overdue(&self) {
        for server in &self.overdue {
            log_send_failure(&self.cx, &self.req, *server, TIMED_OUT);
        }
    }

    fn exclude(&mut self, server: ServerKey) {
        if !self.tried.contains(&server) {
            self.tried.push(server);
        }
    }
}

/// Sends a prompt of `tokens` to a prefill engine and waits for the result until the request's time
/// is over.
async fn send_prefill(
    cx: &Rc<Context>,
    req: &CallerRequest,
    server: ServerKey,
    tokens: u64,
    patience: Duration,
    ticket: SendTicket,
) -> Result<Prefilled, SendError> {
    let reservation = Reservation::new(cx, server, tokens);
    let began = cx.now();
    let ahead = reservation.reserved_at_engine(began);
    let extra = ServerHeaders {
        prefill_only: true,
        priority: Some(req.priority),
        ..ServerHeaders::default()
    };
    let within = req.time_left(began);
    let mut exchange = Exchange::send(cx, server, req, extra, within, ticket).await?;
    let (status, ticket) = (exchange.status, exchange.take_ticket());
    let body = exchange.read_body(MAX_ANSWER_BYTES).await?;
    let took = cx.now().saturating_sub(began);
    // The time of an engine that was silent is no measure of its speed.
    if took <= patience {
        reservation.record_prefill(ahead, took);
    }
    drop(reservation);
    if status != StatusCode::OK {
        return Err(SendError::Lost("prefill failed"));
    }
    let dialect = cx.adapter.servers;
    match (dialect.prefill_result)(&body.to_bytes()) {
        Ok(result) => {
            let kv = KvCache::at(cx, server, result.handle, tokens);
            Ok(Prefilled {
                kv: kv.ok_or(SendError::Lost("engine is gone"))?,
                ticket: ticket.and_then(SendTicket::complete_prefill),
            })
        }
        Err(_) => Err(SendError::Lost("unreadable prefill result")),
    }
}
