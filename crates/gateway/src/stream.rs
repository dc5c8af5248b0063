//! Hands a stream of events to a caller, over several engines if one breaks.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use jacinthlever_routing::{CallOutcome, EventSplitter};
use tokio::time::timeout;

use crate::EventCode;
use crate::answer::{ChunkStream, IncompleteBody, Verdict};
use crate::exchange::{SendError, log_send_failure};
use crate::generation::{DecodeRun, Generation};
use crate::stream_record::StreamRecord;

/// Latency targets without a first event after which an engine counts as silent.
const FIRST_EVENT_TARGETS: f64 = 1.5;

/// Pause targets without an event after which an engine counts as silent.
const SILENT_PAUSES: u32 = 4;

/// Shortest silence that counts.
const MIN_SILENCE: Duration = Duration::from_millis(800);

/// A stream on its way to a caller.
pub struct StreamForwarder {
    generation: Generation,
    /// The run that produces events; `None` while another is sought.
    decode: Option<DecodeRun>,
    events: EventSplitter,
    /// Events that are complete and not handed over yet.
    ready: Option<Bytes>,
    last_event: Option<u64>,
    has_event: bool,
    /// Tokens of output that have come, at most.
    output_tokens: u64,
    is_over: bool,
    record: StreamRecord,
}

impl StreamForwarder {
    /// Starts a generation and waits for its first event.
    ///
    /// # Errors
    /// Fails with a verdict that says whether the request may have run.
    pub async fn start(generation: Generation, decode: DecodeRun) -> Result<Self, Verdict> {
        let mut pump = Self {
            record: StreamRecord::start(generation.cx(), generation.req()),
            generation,
            decode: Some(decode),
            events: EventSplitter::default(),
            ready: None,
            last_event: None,
            has_event: false,
            output_tokens: 0,
            is_over: false,
        };
        pump.note_engine();
        match pump.next().await {
            None => pump.is_over = true,
            Some(Ok(first)) => pump.ready = Some(first),
            Some(Err(broken)) => {
                log::debug!("{broken}");
                return Err(Verdict::lost("engine gave no answer"));
            }
        }
        if let Some(decode) = &mut pump.decode {
            decode.reservation.finish_local_prefill();
            pump.generation.log_first_event(decode.exchange.server);
        }
        Ok(pump)
    }

    /// Turns this into the pieces of a body.
    pub fn into_chunks(self) -> ChunkStream {
        Box::pin(stream::unfold(self, |mut pump| async move {
            let piece = match pump.ready.take() {
                Some(first) => Some(Ok(first)),
                None => pump.next().await,
            };
            pump.is_over |= matches!(piece, None | Some(Err(_)));
            piece.map(|piece| (piece, pump))
        }))
    }

    /// Returns the next whole events; `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, IncompleteBody>> {
        if self.is_over {
            return None;
        }
        loop {
            let fault = match self.piece().await {
                Ok(Some(bytes)) => match self.take(&bytes) {
                    Some(events) if events.is_empty() => continue,
                    Some(events) => return Some(Ok(events)),
                    None => SendError::Lost("event is too long"),
                },
                Ok(None) if self.events.has_partial() => SendError::Lost("event ended early"),
                Ok(None) => {
                    self.record.set_outcome("whole");
                    return None;
                }
                Err(fault) => fault,
            };
            if let Err(broken) = self.resume(fault).await {
                self.record.set_outcome(broken.0.clone());
                return Some(Err(broken));
            }
        }
    }

    async fn piece(&mut self) -> Result<Option<Bytes>, SendError> {
        let left = {
            let generation = &self.generation;
            generation.req().time_left(generation.cx().now())
        };
        let silence = if self.generation.may_retry() {
            self.silence().min(left)
        } else {
            left
        };
        let Some(decode) = &mut self.decode else {
            return Err(SendError::Lost("no engine"));
        };
        match timeout(silence, decode.exchange.next_chunk()).await {
            Ok(None) => Ok(None),
            Ok(Some(piece)) => piece.map(Some),
            Err(_) => {
                let cx = self.generation.cx();
                cx.record_outcome(decode.exchange.server, CallOutcome::Unresponsive);
                Err(SendError::Lost("engine is silent"))
            }
        }
    }

    fn silence(&self) -> Duration {
        let route = &self.generation.req().route;
        let silence = if self.has_event {
            route.event_gap_target * SILENT_PAUSES
        } else {
            route.target_latency.mul_f64(FIRST_EVENT_TARGETS)
        };
        silence.max(MIN_SILENCE)
    }

    /// Puts events together; `None` if one is too long.
    fn take(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let events = self.events.push(bytes)?;
        self.record.record_events(events.len() as u64);
        let mut whole = Vec::new();
        for event in events {
            self.has_event = true;
            self.last_event = event.id.or(self.last_event);
            self.output_tokens += self.generation.tokens_per_event();
            whole.extend_from_slice(&event.bytes);
        }
        if let Some(decode) = &mut self.decode {
            let prompt = self.generation.prompt_tokens();
            decode.reservation.grow(prompt, self.output_tokens);
        }
        Some(whole.into())
    }

    /// Goes on at another engine after a fault, if the route allows it.
    async fn resume(&mut self, fault: SendError) -> Result<(), IncompleteBody> {
        let broken = IncompleteBody(fault.reason().into());
        // The run that is left must not go on beside the next one.
        if let Some(server) = self.decode.take().map(|d| d.exchange.server) {
            let generation = &mut self.generation;
            log_send_failure(generation.cx(), generation.req(), server, fault);
            crate::suspects::check_for_crash(generation.cx(), server, generation.req());
            generation.record_failure(server);
        }
        let cx = self.generation.cx().clone();
        let is_stuck = self.has_event && self.last_event.is_none();
        if !self.generation.may_retry() || is_stuck || !self.may_resend() {
            return Err(broken);
        }
        let decode = self.generation.start_decode(self.last_event).await;
        self.decode = match decode {
            Ok(decode) if decode.exchange.status.is_success() => Some(decode),
            Ok(_) | Err(_) => return Err(broken),
        };
        self.note_engine();
        self.events = EventSplitter::default();
        let req = self.generation.req();
        let fields = [
            ("request", req.headers.request_id.as_str().into()),
            ("after_event", self.last_event.into()),
            ("cause", fault.reason().into()),
        ];
        cx.log(EventCode::Resumed, fields);
        Ok(())
    }

    fn note_engine(&mut self) {
        if let Some(decode) = &self.decode {
            self.record.set_server(decode.exchange.server);
        }
    }

    fn may_resend(&self) -> bool {
        let cx = self.generation.cx();
        let settings = cx.settings();
        let service = &self.generation.req().service;
        let mut state = cx.state.borrow_mut();
        state.retry_budget(&settings, service).try_spend(cx.now())
    }
}
