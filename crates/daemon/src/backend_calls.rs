//! The thread pools that call backend servers; each thread runs one call at a time.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use jacinthlever_client::{DecodeStream, EngineClient, HttpError, ServiceClient, Timeouts};
use jacinthlever_core::{
    CLEARED_AFTER_TOKENS, Call, CallFault, CallId, CallResult, CallerId, Event,
};
use jacinthlever_types::{DecodeRequest, KvSource, PrefillRequest, ResumeRequest};
use smol_str::SmolStr;

use crate::Settings;
use crate::in_flight::{InFlight, Registry, TokenStatus};

/// Maximum time to connect to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of threads for short calls: load probes and cancellations.
const SHORT_THREADS: usize = 8;

/// Capacity of the queue of short calls.
const SHORT_QUEUE_CAPACITY: usize = 4_096;

/// Capacity of the queue of calls for requests.
const REQUEST_QUEUE_CAPACITY: usize = 64;

/// Stack size of a thread.
const STACK_BYTES: usize = 256 * 1024;

/// A call with the address of its backend server.
#[derive(Debug)]
struct Job {
    call: CallId,
    address: SmolStr,
    request: Call,
}

/// Time-outs of each kind of call.
#[derive(Clone, Copy, Debug)]
struct CallTimeouts {
    prefill: Timeouts,
    decode: Timeouts,
    service: Timeouts,
    short: Timeouts,
}

/// The queues of the threads that call backend servers.
#[derive(Clone, Debug)]
pub struct BackendCalls {
    requests: Sender<Job>,
    short: Sender<Job>,
    events: Sender<Event>,
}

impl BackendCalls {
    /// Starts the threads; their results are sent to `events`.
    ///
    /// # Errors
    /// Fails if a thread cannot be started.
    pub fn spawn(
        settings: &Settings,
        registry: Registry,
        events: Sender<Event>,
    ) -> io::Result<Self> {
        let with_read_timeout = |read| Timeouts {
            connect: CONNECT_TIMEOUT,
            read,
        };
        let timeouts = CallTimeouts {
            prefill: with_read_timeout(settings.prefill_timeout),
            decode: with_read_timeout(settings.token_timeout),
            service: with_read_timeout(settings.service_timeout),
            short: with_read_timeout(Duration::from_secs(1)),
        };
        let (requests, request_rx) = bounded(REQUEST_QUEUE_CAPACITY);
        let (short, short_rx) = bounded(SHORT_QUEUE_CAPACITY);
        let worker = Worker {
            registry,
            events: events.clone(),
            timeouts,
        };
        for number in 0..settings.max_requests {
            worker.spawn(format!("call-{number}"), request_rx.clone())?;
        }
        for number in 0..SHORT_THREADS {
            worker.spawn(format!("probe-{number}"), short_rx.clone())?;
        }
        Ok(Self {
            requests,
            short,
            events,
        })
    }

    /// Queues a call for a thread. If the queue is full, the call fails immediately with
    /// [`CallFault::Full`].
    pub fn start(&self, call: CallId, address: SmolStr, request: Call) {
        let is_short = matches!(request, Call::Load | Call::Cancel { .. });
        let queue = if is_short {
            &self.short
        } else {
            &self.requests
        };
        let job = Job {
            call,
            address,
            request,
        };
        if let Err(TrySendError::Full(job)) = queue.try_send(job) {
            let result = CallResult::Failed {
                fault: CallFault::Full,
                position: 0,
            };
            // This runs on the core's thread, which must not block on its own queue.
            if self
                .events
                .try_send(Event::Call {
                    call: job.call,
                    result,
                })
                .is_err()
            {
                log::warn!(
                    "the call to the backend server {} was not started because the queue was full; \
                     the core is not notified, as its event queue is full too",
                    job.address
                );
            }
        }
    }
}

/// Runs the calls of one thread.
#[derive(Clone)]
struct Worker {
    registry: Registry,
    events: Sender<Event>,
    timeouts: CallTimeouts,
}

impl Worker {
    fn spawn(&self, name: String, jobs: Receiver<Job>) -> io::Result<()> {
        let worker = self.clone();
        thread::Builder::new()
            .name(name)
            .stack_size(STACK_BYTES)
            .spawn(move || {
                while let Ok(job) = jobs.recv() {
                    let call = job.call;
                    let result = worker.run(job);
                    if worker.events.send(Event::Call { call, result }).is_err() {
                        return;
                    }
                }
            })?;
        Ok(())
    }

    fn run(&self, job: Job) -> CallResult {
        let address = job.address.as_str();
        match job.request {
            Call::Load => match EngineClient::new(address, self.timeouts.short).load() {
                Ok(load) => CallResult::Load(load),
                Err(error) => failed(&error, address, 0),
            },
            Call::Cancel { attempt } => {
                // A failure is ignored: the engine frees the memory of an interrupted stream by
                // itself, only later.
                let _ = EngineClient::new(address, self.timeouts.short).cancel(&attempt);
                CallResult::Cancelled
            }
            Call::Prefill { caller, attempt } => {
                self.with_request(caller, |request| self.prefill(request, address, attempt))
            }
            Call::Decode {
                caller,
                attempt,
                source,
                max_tokens,
                priority,
            } => {
                let job = DecodeJob {
                    call: job.call,
                    attempt,
                    source,
                    max_tokens,
                    priority,
                };
                self.with_request(caller, |request| self.decode(request, address, job))
            }
            Call::Resume { caller, attempt } => self.with_request(caller, |request| {
                self.resume(request, address, job.call, attempt)
            }),
            Call::Plain { caller, attempt } => {
                self.with_request(caller, |request| self.plain(request, address, &attempt))
            }
        }
    }

    /// Runs a call for a request; returns [`CallResult::Cancelled`] if the request is no longer in
    /// flight.
    fn with_request(
        &self,
        caller: CallerId,
        run: impl FnOnce(&Arc<InFlight>) -> CallResult,
    ) -> CallResult {
        self.registry
            .get(caller)
            .map_or(CallResult::Cancelled, |request| run(&request))
    }

    fn prefill(&self, request: &InFlight, address: &str, attempt: SmolStr) -> CallResult {
        let (generated, text) = request.begin_attempt(&attempt);
        let prompt = format!("{}{text}", request.prompt);
        let body = PrefillRequest {
            request: attempt,
            prompt,
            generated,
        };
        match EngineClient::new(address, self.timeouts.prefill).prefill(&body) {
            Ok(reply) => CallResult::Prefilled {
                kv: reply.kv,
                prompt_tokens: reply.prompt_tokens,
                cached_tokens: reply.cached_tokens,
            },
            Err(error) => failed(&error, address, generated),
        }
    }

    fn decode(&self, request: &InFlight, address: &str, job: DecodeJob) -> CallResult {
        let (from, _) = request.begin_attempt(&job.attempt);
        let body = DecodeRequest {
            request: job.attempt.clone(),
            source: job.source,
            from,
            max_tokens: job.max_tokens,
            priority: job.priority,
        };
        match EngineClient::new(address, self.timeouts.decode).decode(&body) {
            Ok(stream) => self.forward_tokens(request, address, job.call, &job.attempt, stream),
            Err(error) => failed(&error, address, from),
        }
    }

    fn resume(
        &self,
        request: &InFlight,
        address: &str,
        call: CallId,
        attempt: SmolStr,
    ) -> CallResult {
        let from = request.position();
        let body = ResumeRequest {
            request: attempt.clone(),
            from,
        };
        match EngineClient::new(address, self.timeouts.decode).resume(&body) {
            Ok(stream) => self.forward_tokens(request, address, call, &attempt, stream),
            Err(error) => failed(&error, address, from),
        }
    }

    /// Forwards tokens to the caller until the output ends or its stream fails.
    fn forward_tokens(
        &self,
        request: &InFlight,
        address: &str,
        call: CallId,
        attempt: &SmolStr,
        mut stream: DecodeStream,
    ) -> CallResult {
        let mut is_first = true;
        loop {
            let line = match stream.next_line() {
                Ok(line) => line,
                Err(error) => return failed(&error, address, request.position()),
            };
            if let Some(finish) = line.finish {
                let position = request.position();
                return match line.position == position {
                    true => CallResult::Decoded { finish, position },
                    false => CallResult::Failed {
                        fault: CallFault::WrongResponse,
                        position,
                    },
                };
            }
            match request.accept(attempt, line.position, &line.token) {
                TokenStatus::Accepted => {}
                TokenStatus::Duplicate => continue,
                TokenStatus::Superseded | TokenStatus::CallerStalled => {
                    return CallResult::Cancelled;
                }
                TokenStatus::Gap => {
                    let position = request.position();
                    return CallResult::Failed {
                        fault: CallFault::WrongResponse,
                        position,
                    };
                }
            }
            if std::mem::take(&mut is_first) {
                self.report_progress(call, CallResult::FirstToken);
            }
            if line.position + 1 == CLEARED_AFTER_TOKENS {
                self.report_progress(call, CallResult::Cleared);
            }
        }
    }

    fn report_progress(&self, call: CallId, result: CallResult) {
        // If the core thread has ended, so does the instance. The thread then stops when it sends
        // the result of the call.
        let _ = self.events.send(Event::Call { call, result });
    }

    fn plain(&self, request: &InFlight, address: &str, attempt: &str) -> CallResult {
        let Some(call) = &request.call else {
            return CallResult::Cancelled;
        };
        match ServiceClient::new(address, self.timeouts.service).call(call, attempt) {
            Ok(response) => CallResult::Plain(Arc::new(response)),
            Err(error) => failed(&error, address, 0),
        }
    }
}

/// Parameters of a decode call.
struct DecodeJob {
    call: CallId,
    attempt: SmolStr,
    source: KvSource,
    max_tokens: u32,
    priority: u32,
}

/// Returns the result of a call that failed after `position` tokens of output.
fn failed(error: &HttpError, address: &str, position: u32) -> CallResult {
    CallResult::Failed {
        fault: error.call_fault(address),
        position,
    }
}
