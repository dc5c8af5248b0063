//! Looks for an engine that takes over from one that is silent, while the silent one is still heard.

use std::future::Future;
use std::pin::{Pin, pin};
use std::time::Duration;

use futures_util::future::OptionFuture;
use jacinthlever_routing::{CallOutcome, ServerKey};
use tokio::time::timeout;

use crate::EventCode;
use crate::answer::Verdict;
use crate::exchange::{SendError, log_send_failure};
use crate::generation::{DecodeRun, Generation, PreparedDecode, send_decode};
use crate::sends::{BUDGET_SPENT, SendTicket};

/// First pause between two searches for an engine; it doubles with each search.
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which the silent run is kept after the request was sent to another engine, which may
/// still refuse it.
const OVERLAP: Duration = Duration::from_millis(250);

/// What came of waiting for a run at an engine.
pub enum Progress<T> {
    /// The run has produced something.
    Made(T),
    /// The run was silent, and another engine has accepted the request.
    Replaced(Box<DecodeRun>),
    /// The run was silent and was dropped for another engine, which failed the request.
    Failed(ServerKey, SendError),
    /// The caller's time is over.
    TimedOut,
}

/// The outcome of sending the request to another engine beside a silent run.
enum Handover {
    /// The other engine runs the request; the silent run is dropped.
    Accepted(Box<DecodeRun>),
    /// The other engine did not run the request, or failed it at once; the silent run is kept.
    Refused(SendError),
    /// The other engine failed the request after the silent run was dropped.
    Failed(ServerKey, SendError),
}

impl Generation {
    /// Waits for a run at an engine to produce something. The run continues after `last_event`.
    ///
    /// A run that is silent for `patience` is not given up: a sound engine may fall silent and go on,
    /// and there may be no other one that has room. Another engine is prepared meanwhile, and the run
    /// is dropped once that one has accepted the request.
    pub async fn progress_of<T, R>(
        &mut self,
        server: ServerKey,
        patience: Duration,
        last_event: Option<u64>,
        run: R,
    ) -> Progress<T>
    where
        R: Future<Output = T>,
    {
        let mut run = pin!(OptionFuture::from(Some(run)));
        let left = self.time_left();
        if let Ok(Some(made)) = timeout(patience.min(left), run.as_mut()).await {
            return Progress::Made(made);
        }
        if patience >= left {
            return Progress::TimedOut;
        }
        self.cx().record_outcome(server, CallOutcome::Unresponsive);
        self.log_silence(server, patience);
        let mut interval = SEARCH_INTERVAL;
        let mut is_repeated = false;
        loop {
            let before = self.start_search(server, is_repeated);
            let left = self.time_left();
            let found = tokio::select! {
                biased;
                Some(made) = run.as_mut() => {
                    self.end_search(server, before);
                    return Progress::Made(made);
                }
                found = timeout(left, self.prepare_replacement()) => found,
            };
            let refused_for = match found {
                Err(_) => return Progress::TimedOut,
                Ok(Err(verdict)) => verdict.reason(),
                Ok(Ok((prepared, ticket))) => {
                    let run = run.as_mut();
                    match self.hand_over(run, prepared, ticket, last_event).await {
                        Handover::Accepted(decode) => return Progress::Replaced(decode),
                        Handover::Failed(server, error) => return Progress::Failed(server, error),
                        Handover::Refused(error) => error.reason(),
                    }
                }
            };
            self.end_search(server, before);
            is_repeated = true;
            self.log_no_replacement("engine is silent", refused_for);
            let left = self.time_left();
            match timeout(interval.min(left), run.as_mut()).await {
                Ok(Some(made)) => return Progress::Made(made),
                _ if left <= interval => return Progress::TimedOut,
                _ => interval *= 2,
            }
        }
    }

    /// Prepares another engine, and takes the send to it from the retry budget before.
    async fn prepare_replacement(&mut self) -> Result<(PreparedDecode, SendTicket), Verdict> {
        if !self.may_retry() {
            return Err(Verdict::lost("the route allows no further run"));
        }
        let ticket = self.req().sends.ticket();
        self.prepare(ticket.ok_or(Verdict::lost(BUDGET_SPENT))?)
            .await
    }

    /// Sends the request to another engine, and drops the silent run when that one accepts it.
    async fn hand_over<R: Future>(
        &mut self,
        mut run: Pin<&mut OptionFuture<R>>,
        mut prepared: PreparedDecode,
        ticket: SendTicket,
        last_event: Option<u64>,
    ) -> Handover {
        let (server, version) = prepared.engine();
        let sent_at = self.start_send();
        let (cx, req) = (self.cx().clone(), self.req().clone());
        let mut is_kept = true;
        let sent = {
            let mut sending = pin!(send_decode(&cx, &req, &mut prepared, ticket, last_event));
            match timeout(OVERLAP, sending.as_mut()).await {
                Ok(sent) => sent,
                Err(_) => {
                    is_kept = false;
                    run.set(None.into());
                    sending.await
                }
            }
        };
        let error = match sent {
            Ok(exchange) if exchange.status.is_success() => {
                run.set(None.into());
                let decode = prepared.into_run(exchange, sent_at, version);
                return Handover::Accepted(Box::new(decode));
            }
            Ok(_) => SendError::Lost("engine answered with a failure"),
            Err(error) => error,
        };
        if !is_kept {
            return Handover::Failed(server, error);
        }
        log_send_failure(&cx, &req, server, error);
        self.exclude_after(server, error);
        Handover::Refused(error)
    }

    fn time_left(&self) -> Duration {
        self.req().time_left(self.cx().now())
    }

    /// Logs that an engine has sent no answer or no event for a time.
    pub fn log_silence(&self, server: ServerKey, silent: Duration) {
        let id = self.cx().state.borrow().pool.id_of(server);
        let fields = [
            ("request", self.req().headers.request_id.as_str().into()),
            ("server", id.as_str().into()),
            ("has_begun", self.has_begun().into()),
            ("silent_ms", (silent.as_millis() as u64).into()),
        ];
        self.cx().log(EventCode::EngineSilent, fields);
    }

    /// Logs that no other engine takes over, with what happened to the present one.
    pub fn log_no_replacement(&self, cause: &'static str, refused_for: &str) {
        let fields = [
            ("request", self.req().headers.request_id.as_str().into()),
            ("cause", cause.into()),
            ("refused_for", refused_for.into()),
        ];
        self.cx().log(EventCode::NoReplacement, fields);
    }
}
