//! Forwards a stream of events to a caller and resumes it at another engine if one fails.

use std::future::pending;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::HeaderValue;
use jacinthlever_routing::{EventSplitter, StreamEvent, StreamFault};
use tokio::time::timeout;

use crate::EventCode;
use crate::answer::{ChunkStream, IncompleteBody, Verdict};
use crate::context::Context;
use crate::exchange::{SendError, TIMED_OUT, log_send_failure};
use crate::generation::Generation;
use crate::held_events::HeldEvents;
use crate::quarantine;
use crate::relay::{self, SILENT_INSTANCE};
use crate::replacement::Progress;
use crate::stream_record::StreamRecord;
use crate::stream_run::{RunSource, StreamRun};
use crate::suspects::{self, BrokenRun, PROVING_TIME};

/// Multiple of the latency target after which an engine without a first event counts as
/// unresponsive.
const FIRST_EVENT_TARGETS: f64 = 1.5;

/// Multiple of the event gap target after which an engine without a further event counts as
/// unresponsive.
const EVENT_GAP_TARGETS: u32 = 4;

/// Shortest time without an event after which an engine counts as unresponsive.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_millis(800);

/// Multiple of the time after which an engine without an event counts as unresponsive. Another instance
/// may be given up after that and the latency target: it first waits for its engine itself, and then looks
/// for another one.
const INSTANCE_TIMEOUT_FACTOR: f64 = 1.75;

/// The engine sent no event for too long.
pub const SILENT_ENGINE: SendError = SendError::Lost("engine is silent");

/// The store has not recorded in time where the stream begins.
const UNRECORDED: SendError = SendError::Lost("stream could not be recorded");

/// A run that should go on with a stream declares a body of another type.
const OTHER_TYPE: SendError = SendError::Lost("answer is no stream of events");

/// Forwarding task of one stream to a caller.
pub struct StreamForwarder {
    generation: Generation,
    /// Run that produces the events; `None` while another one is being started.
    run: Option<StreamRun>,
    events: HeldEvents,
    /// Complete events that have not been forwarded yet.
    ready: Option<Bytes>,
    last_event: Option<u64>,
    has_event: bool,
    /// Whether all events so far had numbers.
    is_numbered: bool,
    /// Type of the body that the head of the answer declares.
    content_type: Option<HeaderValue>,
    /// When the first event of the present run arrived; `None` before that.
    run_began_at: Option<Duration>,
    /// Whether the answer has shown that its prompt does not crash engines.
    is_proven: bool,
    /// Upper bound of the output tokens received so far.
    output_tokens: u64,
    is_over: bool,
    record: StreamRecord,
}

impl StreamForwarder {
    /// Starts to forward a generation and waits for its first event.
    ///
    /// # Errors
    /// Returns a verdict that says whether a backend server may have run the request.
    pub async fn start(generation: Generation, run: StreamRun) -> Result<Self, Verdict> {
        let mut forwarder = Self {
            record: StreamRecord::start(generation.cx(), generation.req()),
            events: HeldEvents::new(EventSplitter::first(generation.req().position())),
            generation,
            content_type: run.content_type().cloned(),
            run: Some(run),
            ready: None,
            last_event: None,
            has_event: false,
            is_numbered: true,
            run_began_at: None,
            is_proven: false,
            output_tokens: 0,
            is_over: false,
        };
        forwarder.record_source();
        match forwarder.next().await {
            None => forwarder.is_over = true,
            Some(Ok(first)) => forwarder.ready = Some(first),
            Some(Err(broken)) => {
                let id = &forwarder.generation.req().headers.request_id;
                log::debug!("stream of request {id} ended before its first event: {broken}");
                return Err(Verdict::lost("engine gave no answer"));
            }
        }
        let run = forwarder.run.as_mut();
        if let Some(decode) = run.and_then(StreamRun::engine_mut) {
            decode.reservation.finish_local_prefill();
            forwarder.generation.log_first_event(decode.exchange.server);
        }
        Ok(forwarder)
    }

    /// Converts the forwarder into the chunks of an answer body.
    pub fn into_chunks(self) -> ChunkStream {
        Box::pin(stream::unfold(self, |mut forwarder| async move {
            let chunk = match forwarder.ready.take() {
                Some(first) => Some(Ok(first)),
                None => forwarder.next().await,
            };
            forwarder.is_over |= matches!(chunk, None | Some(Err(_)));
            chunk.map(|chunk| (chunk, forwarder))
        }))
    }

    /// Returns the next complete events; `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, IncompleteBody>> {
        if self.is_over {
            return None;
        }
        loop {
            let Some(run) = self.run.take() else {
                return Some(Err(IncompleteBody("no engine".into())));
            };
            let left = run.source();
            let progress = match self.receive(run).await {
                // The engine or the instance may notice the deadline first.
                Progress::Failed(_) if self.time_left().is_zero() => Progress::TimedOut,
                progress => progress,
            };
            let result = match progress {
                Progress::Made((run, Some(events))) => {
                    if self.may_begin(&run).await {
                        self.run = Some(run);
                        return Some(Ok(self.forward(events)));
                    }
                    drop(run);
                    if let RunSource::Engine { server, .. } = left {
                        self.generation.record_failure(server);
                    }
                    self.resume(UNRECORDED, false).await
                }
                Progress::Made((run, None)) => {
                    self.run = Some(run);
                    self.record_proof();
                    self.generation.record_output(self.output_tokens);
                    let (cx, req) = (self.generation.cx(), self.generation.req());
                    req.record_run_time(cx);
                    self.record.set_outcome("whole");
                    return None;
                }
                Progress::Failed(error) => {
                    self.record_end(&left, error);
                    match left {
                        RunSource::Engine { server, .. } => self.generation.record_failure(server),
                        RunSource::Instance(_) => self.generation.record_lost_run(),
                    }
                    // An engine that is out of reach may go on with its run.
                    let may_pass_on = matches!(left, RunSource::Instance(_));
                    self.resume(error, may_pass_on).await
                }
                Progress::Replaced(decode, failure) => {
                    let error = failure.unwrap_or(SILENT_ENGINE);
                    self.record_end(&left, error);
                    self.go_on(StreamRun::Engine(decode), error);
                    Ok(())
                }
                Progress::TimedOut => {
                    self.record_end(&left, TIMED_OUT);
                    Err(IncompleteBody(TIMED_OUT.reason().into()))
                }
            };
            if let Err(broken) = result {
                self.record.set_outcome(broken.0.clone());
                return Some(Err(broken));
            }
        }
    }

    /// Waits for the next complete events of a run; `None` at its end.
    ///
    /// Another instance waits for its engines in the same way, so only the run at an own engine is replaced
    /// here while it may still go on. A run through another instance is given up if it is silent for longer, the
    /// instance's reports have stopped too, and there is another way: the instance may have stopped without
    /// closing its connections.
    async fn receive(&mut self, mut run: StreamRun) -> Progress<(StreamRun, Events)> {
        let patience = self.event_timeout();
        let can_resume = self.can_resume();
        let (source, last_event) = (run.source(), self.last_event);
        let left = self.time_left();
        let generation = &mut self.generation;
        // Events that are ready at once would be received after any time limit.
        if left.is_zero() {
            return Progress::TimedOut;
        }
        let cx = generation.cx().clone();
        let held = &mut self.events;
        let content_type = self.content_type.clone();
        // A run that fails is dropped: it must not continue in parallel with the next one.
        let events = async move {
            if held.is_joined() && !run.may_follow(content_type.as_ref()) {
                return Err(OTHER_TYPE);
            }
            let events = next_events(&cx, &mut run, held).await?;
            Ok((run, events))
        };
        if let RunSource::Engine { server, .. } = source
            && can_resume
            && generation.may_replace_run()
        {
            let progress = generation.progress_of(server, patience, last_event, events);
            return progress.await;
        }
        let target = generation.req().route.target_latency;
        let patience = patience.mul_f64(INSTANCE_TIMEOUT_FACTOR) + target;
        let may_give_up = can_resume && generation.may_replace_run();
        let (cx, req) = (generation.cx().clone(), generation.req().clone());
        let lost = async {
            match &source {
                RunSource::Instance(address) if may_give_up => {
                    relay::wait_until_lost(&cx, &req, address, patience).await;
                    cx.relays.avoid(cx.now(), address);
                }
                _ => pending().await,
            }
        };
        tokio::select! {
            biased;
            made = timeout(left, events) => made.map_or(Progress::TimedOut, Progress::of),
            () = lost => Progress::Failed(SILENT_INSTANCE),
        }
    }

    /// Records which engine begins the stream, if a run brings its first event. Returns whether the caller may receive
    /// it.
    async fn may_begin(&mut self, run: &StreamRun) -> bool {
        match run {
            StreamRun::Engine(decode) if !self.has_event => {
                self.generation.record_first_event(&decode.version).await
            }
            _ => true,
        }
    }

    fn time_left(&self) -> Duration {
        let generation = &self.generation;
        generation.req().time_left(generation.cx().now())
    }

    fn event_timeout(&self) -> Duration {
        let route = &self.generation.req().route;
        let limit = if self.has_event {
            route.event_gap_target * EVENT_GAP_TARGETS
        } else {
            route.target_latency.mul_f64(FIRST_EVENT_TARGETS)
        };
        limit.max(MIN_EVENT_TIMEOUT)
    }

    /// Records complete events and returns their bytes.
    fn forward(&mut self, events: Vec<StreamEvent>) -> Bytes {
        self.record.record_events(events.len() as u64);
        let now = self.generation.cx().now();
        let began_at = *self.run_began_at.get_or_insert(now);
        if now >= began_at + PROVING_TIME {
            self.record_proof();
        }
        let mut complete = Vec::new();
        for event in events {
            self.has_event = true;
            self.is_numbered &= event.id.is_some() || event.is_empty;
            self.last_event = event.id.or(self.last_event);
            self.output_tokens += self.generation.tokens_per_event();
            complete.extend_from_slice(&event.bytes);
        }
        if let Some(decode) = self.run.as_mut().and_then(StreamRun::engine_mut) {
            let prompt = self.generation.prompt_tokens();
            decode.reservation.grow(prompt, self.output_tokens);
        }
        complete.into()
    }

    /// Records, once, that the prompt does not crash engines. Another instance does so itself.
    fn record_proof(&mut self) {
        if matches!(self.run, Some(StreamRun::Relayed(_))) {
            return;
        }
        if self.run_began_at.is_some() && !std::mem::replace(&mut self.is_proven, true) {
            let generation = &self.generation;
            let parts = &generation.req().headers.shared_parts;
            quarantine::record_answer(generation.cx(), parts);
        }
    }

    /// Whether the position in the stream is known, from which another engine would go on.
    fn can_resume(&self) -> bool {
        self.is_numbered
    }

    /// Logs a run that has ended before the stream, and checks whether its engine has crashed.
    fn record_end(&self, left: &RunSource, error: SendError) {
        let (cx, req) = (self.generation.cx(), self.generation.req());
        match left {
            RunSource::Instance(address) => relay::log_failure(cx, req, address, error),
            RunSource::Engine { server, sent_at } => {
                log_send_failure(cx, req, *server, error);
                let run = BrokenRun {
                    server: *server,
                    cause: error,
                    sent_at: *sent_at,
                    answer_began_at: self.run_began_at,
                };
                suspects::check_for_crash(cx, run, req);
            }
        }
    }

    /// Resumes the stream after a failure, if the route and the retry budget allow
    /// it.
    async fn resume(&mut self, error: SendError, may_pass_on: bool) -> Result<(), IncompleteBody> {
        match self.start_next_run(may_pass_on).await {
            Ok(run) => {
                self.go_on(run, error);
                Ok(())
            }
            Err(refused_for) => {
                let cause = error.reason();
                self.generation.log_no_replacement(cause, refused_for);
                Err(IncompleteBody(cause.into()))
            }
        }
    }

    /// Starts a run that goes on after the last event.
    ///
    /// # Errors
    /// Returns the reason why there is none.
    async fn start_next_run(&mut self, may_pass_on: bool) -> Result<StreamRun, &'static str> {
        let can_resume = self.can_resume();
        let generation = &mut self.generation;
        if !generation.may_retry() {
            return Err("the route allows no further run");
        }
        if !can_resume {
            return Err("the events have no numbers");
        }
        let run = generation
            .start_next_run(self.last_event, may_pass_on)
            .await;
        let run = run.map_err(|verdict| verdict.reason())?;
        match run.status().is_success() {
            true => Ok(run),
            false => Err("another engine answered with a failure"),
        }
    }

    /// Goes on with another run, after a failure.
    fn go_on(&mut self, run: StreamRun, error: SendError) {
        let version = match &run {
            StreamRun::Engine(decode) => Some(decode.version.as_str()),
            StreamRun::Relayed(_) => None,
        };
        let req = self.generation.req();
        let fields = [
            ("request", req.headers.request_id.as_str().into()),
            ("after_event", self.last_event.into()),
            ("cause", error.reason().into()),
            ("version", version.into()),
        ];
        self.generation.cx().log(EventCode::Resumed, fields);
        self.run = Some(run);
        self.record_source();
        let position = self.last_event.or(self.generation.req().position());
        self.events = HeldEvents::new(EventSplitter::joined(position));
        self.run_began_at = None;
    }

    fn record_source(&mut self) {
        match self.run.as_ref().map(StreamRun::source) {
            Some(RunSource::Engine { server, .. }) => self.record.set_server(server),
            Some(RunSource::Instance(address)) => self.record.set_instance(address),
            None => {}
        }
    }
}

/// Complete events of a run; `None` at its end.
type Events = Option<Vec<StreamEvent>>;

/// Returns the next complete events of a run; `None` at its end. Bytes that complete no event are no
/// progress.
///
/// # Errors
/// Fails if the run was broken off, or does not go on after the last event.
async fn next_events(
    cx: &Context,
    run: &mut StreamRun,
    held: &mut HeldEvents,
) -> Result<Events, SendError> {
    let broken = |fault: StreamFault| SendError::Lost(fault.reason());
    loop {
        let Some(chunk) = run.next_chunk().await else {
            held.end(run.is_delimited()).map_err(broken)?;
            return Ok(None);
        };
        let events = held.push(cx, &chunk?)?;
        if !events.is_empty() {
            return Ok(Some(events));
        }
    }
}
