//! Looks for an engine that takes over from one that is silent, while the silent one is still heard.

use std::future::Future;
use std::pin::{Pin, pin};
use std::time::Duration;

use futures_util::future::OptionFuture;
use jacinthlever_routing::{CallOutcome, ServerKey};
use tokio::time::timeout;

use crate::EventCode;
use crate::answer::Verdict;
use crate::exchange::{SendError, head_timeout, log_send_failure};
use crate::generation::{DecodeRun, Generation, PreparedDecode, Search, send_decode};
use crate::sends::{BUDGET_SPENT, SendTicket};
use crate::successors::{Answered, Successor, Successors};

/// First pause between two searches for an engine; it doubles with each search.
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);

/// The request is taken back from an engine that has not answered it, since another one runs it.
const WITHDRAWN: SendError = SendError::Lost("another engine runs the request");

/// What came of waiting for a run at an engine.
pub enum Progress<T> {
    /// The run has produced something.
    Made(T),
    /// The run has failed.
    Failed(SendError),
    /// Another engine has accepted the request. The run was silent, or has failed with the error.
    Replaced(Box<DecodeRun>, Option<SendError>),
    /// The caller's time is over.
    TimedOut,
}

impl<T> Progress<T> {
    /// Returns what the end of a run comes to.
    pub fn of(made: Result<T, SendError>) -> Self {
        made.map_or_else(Self::Failed, Self::Made)
    }
}

/// What a search for another engine has found.
type Found = Result<(PreparedDecode, SendTicket), Verdict>;

/// What happens while a run is silent.
enum Event<T> {
    /// The run has produced something, or has failed.
    Run(Result<T, SendError>),
    /// Another engine has answered the request.
    Answered(Box<Answered>),
    /// A search has ended; with what it has found.
    Found(Search, Box<Found>),
    /// The pause between two searches is over.
    Paused,
}

impl Generation {
    /// Waits for a run at an engine to produce something. The run continues after `last_event`.
    ///
    /// A run that is silent for `patience` is not given up: a sound engine may fall silent and go on,
    /// and there may be no other one that has room. The request is sent to another engine meanwhile.
    /// Neither is given up before one of the two runs it: a sound engine may accept a request late, and
    /// may refuse it late. The first one that answers keeps the request.
    pub async fn progress_of<T, R>(
        &mut self,
        server: ServerKey,
        patience: Duration,
        last_event: Option<u64>,
        run: R,
    ) -> Progress<T>
    where
        R: Future<Output = Result<T, SendError>>,
    {
        let mut run = pin!(OptionFuture::from(Some(run)));
        let left = self.time_left();
        if let Ok(Some(made)) = timeout(patience.min(left), run.as_mut()).await {
            return Progress::of(made);
        }
        if patience >= left {
            return Progress::TimedOut;
        }
        self.cx().record_outcome(server, CallOutcome::Unresponsive);
        self.log_silence(server, patience);
        let mut successors = Successors::default();
        // How the run has ended, if it has failed beside a successor.
        let mut failed = None;
        let mut interval = SEARCH_INTERVAL;
        let mut pause = None;
        let mut is_repeated = false;
        loop {
            let events = next_event(run.as_mut(), &mut successors);
            let event = match pause {
                Some(pause) => self.pause(pause, events).await,
                None => self.search(server, is_repeated, events).await,
            };
            is_repeated = true;
            let Some(event) = event else {
                return Progress::TimedOut;
            };
            match event {
                Event::Run(Err(error)) if !successors.servers().is_empty() => {
                    run.set(None.into());
                    failed = Some(error);
                }
                Event::Run(made) => {
                    self.log_withdrawn(&successors);
                    return Progress::of(made);
                }
                Event::Paused => pause = None,
                Event::Found(search, found) => match *found {
                    Ok(found) => {
                        self.send_beside(&mut successors, search, found, last_event);
                        pause = Some(head_timeout(self.req()));
                    }
                    Err(verdict) => {
                        self.log_no_replacement("engine is silent", verdict.reason());
                        pause = Some(interval);
                        interval *= 2;
                    }
                },
                Event::Answered(answered) => {
                    let error = match self.accept(server, *answered) {
                        Ok(decode) => {
                            self.log_withdrawn(&successors);
                            return Progress::Replaced(Box::new(decode), failed);
                        }
                        Err(error) => error,
                    };
                    if successors.servers().is_empty()
                        && let Some(error) = failed
                    {
                        return Progress::Failed(error);
                    }
                    self.log_no_replacement("engine is silent", error.reason());
                    pause = Some(interval);
                    interval *= 2;
                }
            }
        }
    }

    /// Waits for an event, or until a pause between two searches is over; `None` if the caller's time is
    /// over before.
    async fn pause<T>(
        &self,
        pause: Duration,
        events: impl Future<Output = Event<T>>,
    ) -> Option<Event<T>> {
        let left = self.time_left();
        match timeout(pause.min(left), events).await {
            Ok(event) => Some(event),
            Err(_) => (pause < left).then_some(Event::Paused),
        }
    }

    /// Searches for another engine until an event happens; `None` if the caller's time is over before.
    async fn search<T>(
        &mut self,
        silent: ServerKey,
        is_repeated: bool,
        events: impl Future<Output = Event<T>>,
    ) -> Option<Event<T>> {
        let left = self.time_left();
        let before = self.start_search(silent, is_repeated);
        let result = tokio::select! {
            biased;
            event = events => Ok(event),
            found = timeout(left, self.prepare_replacement()) => Err(found),
        };
        let search = self.end_search(silent, before);
        match result {
            Ok(event) => Some(event),
            Err(found) => found
                .ok()
                .map(|found| Event::Found(search, Box::new(found))),
        }
    }

    /// Prepares another engine, and takes the send to it from the retry budget before.
    async fn prepare_replacement(&mut self) -> Found {
        if !self.may_retry() {
            return Err(Verdict::lost("the route allows no further run"));
        }
        let ticket = self.req().sends.ticket();
        self.prepare(ticket.ok_or(Verdict::lost(BUDGET_SPENT))?)
            .await
    }

    /// Sends the request to another engine, which counts as one that may run it.
    fn send_beside(
        &mut self,
        successors: &mut Successors,
        search: Search,
        (mut prepared, ticket): (PreparedDecode, SendTicket),
        last_event: Option<u64>,
    ) {
        let (server, version) = prepared.engine();
        self.exclude(server);
        let successor = Successor {
            server,
            version,
            sent_at: self.cx().now(),
            search,
        };
        let (cx, req) = (self.cx().clone(), self.req().clone());
        successors.push(server, async move {
            let sent = send_decode(&cx, &req, &mut prepared, ticket, last_event).await;
            Answered {
                successor,
                prepared,
                sent,
            }
        });
    }

    /// Goes over to another engine if that one has accepted the request; `left` is the engine whose run
    /// is given up then.
    ///
    /// # Errors
    /// Returns the reason for which it has not accepted the request.
    fn accept(&mut self, left: ServerKey, answered: Answered) -> Result<DecodeRun, SendError> {
        let (successor, error) = match answered.into_run() {
            Ok((successor, decode)) => {
                self.replace_run(left, successor.server, successor.search);
                return Ok(decode);
            }
            Err(refused) => refused,
        };
        log_send_failure(self.cx(), self.req(), successor.server, error);
        if error.may_have_run() {
            self.check_for_crash(successor.server, successor.sent_at, error);
        } else {
            self.record_not_run();
        }
        Err(error)
    }

    /// Logs the engines from which the request is taken back. They may have begun to run it.
    fn log_withdrawn(&self, successors: &Successors) {
        for server in successors.servers() {
            log_send_failure(self.cx(), self.req(), *server, WITHDRAWN);
        }
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

/// Waits for the next event of a run or of the sends beside it.
async fn next_event<T, R>(
    mut run: Pin<&mut OptionFuture<R>>,
    successors: &mut Successors,
) -> Event<T>
where
    R: Future<Output = Result<T, SendError>>,
{
    tokio::select! {
        biased;
        Some(made) = run.as_mut() => Event::Run(made),
        answered = successors.next() => Event::Answered(Box::new(answered)),
    }
}
