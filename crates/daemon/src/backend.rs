//! The threads that call backend servers, one call each.

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
use crate::in_flight::{Accepted, InFlight, Registry};

/// Time to connect to a backend server.
const CONNECT: Duration = Duration::from_millis(500);

/// Threads for short calls: probes and cancels.
const SHORT_THREADS: usize = 8;

/// Short calls that may wait for a thread.
const SHORT_WAITING: usize = 4_096;

/// Calls of requests that may wait for a thread.
const WAITING: usize = 64;

/// Stack of a thread, in bytes.
const STACK: usize = 256 * 1024;

/// A call with where it goes.
#[derive(Debug)]
struct Job {
    call: CallId,
    address: SmolStr,
    request: Call,
}

/// Bounds of the waits of each kind of call.
#[derive(Clone, Copy, Debug)]
struct CallTimeouts {
    prefill: Timeouts,
    decode: Timeouts,
    service: Timeouts,
    short: Timeouts,
}

/// The rings to the calling threads.
#[derive(Clone, Debug)]
pub struct Backend {
    requests: Sender<Job>,
    short: Sender<Job>,
    events: Sender<Event>,
}

impl Backend {
    /// Starts the threads.
    ///
    /// # Errors
    /// Fails if a thread cannot be started.
    pub fn spawn(
        settings: &Settings,
        registry: Registry,
        events: Sender<Event>,
    ) -> io::Result<Self> {
        let with = |read| Timeouts {
            connect: CONNECT,
            read,
        };
        let timeouts = CallTimeouts {
            prefill: with(settings.prefill_timeout),
            decode: with(settings.token_timeout),
            service: with(settings.service_timeout),
            short: with(Duration::from_secs(1)),
        };
        let (requests, request_rx) = bounded(WAITING);
        let (short, short_rx) = bounded(SHORT_WAITING);
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

    /// Hands a call to a thread; with none free the call fails at once.
    pub fn start(&self, call: CallId, address: SmolStr, request: Call) {
        let is_short = matches!(request, Call::Load | Call::Cancel { .. });
        let ring = if is_short {
            &self.short
        } else {
            &self.requests
        };
        let job = Job {
            call,
            address,
            request,
        };
        if let Err(TrySendError::Full(job)) = ring.try_send(job) {
            let result = CallResult::Failed {
                fault: CallFault::Full,
                position: 0,
            };
            // The core reads its ring always, but must not wait for itself.
            if self
                .events
                .try_send(Event::Call {
                    call: job.call,
                    result,
                })
                .is_err()
            {
                log::warn!("a call failed and the core's ring was full");
            }
        }
    }
}

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
            .stack_size(STACK)
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
                // The engine frees a broken stream by itself, only later.
                let _ = EngineClient::new(address, self.timeouts.short).cancel(&attempt);
                CallResult::Cancelled
            }
            Call::Prefill { caller, attempt } => {
                self.of_request(caller, |request| self.prefill(request, address, attempt))
            }
            Call::Decode {
                caller,
                attempt,
                source,
                max_tokens,
                priority,
            } => {
                let job = Decode {
                    call: job.call,
                    attempt,
                    source,
                    max_tokens,
                    priority,
                };
                self.of_request(caller, |request| self.decode(request, address, job))
            }
            Call::Resume { caller, attempt } => self.of_request(caller, |request| {
                self.resume(request, address, job.call, attempt)
            }),
            Call::Plain { caller, attempt } => {
                self.of_request(caller, |request| self.plain(request, address, &attempt))
            }
        }
    }

    /// Runs a call for a request, if it is still under way.
    fn of_request(
        &self,
        caller: CallerId,
        run: impl FnOnce(&Arc<InFlight>) -> CallResult,
    ) -> CallResult {
        self.registry
            .get(caller)
            .map_or(CallResult::Cancelled, |request| run(&request))
    }

    fn prefill(&self, request: &InFlight, address: &str, attempt: SmolStr) -> CallResult {
        let (generated, text) = request.begin(&attempt);
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

    fn decode(&self, request: &InFlight, address: &str, job: Decode) -> CallResult {
        let (from, _) = request.begin(&job.attempt);
        let body = DecodeRequest {
            request: job.attempt.clone(),
            source: job.source,
            from,
            max_tokens: job.max_tokens,
            priority: job.priority,
        };
        match EngineClient::new(address, self.timeouts.decode).decode(&body) {
            Ok(stream) => self.read(request, address, job.call, &job.attempt, stream),
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
            Ok(stream) => self.read(request, address, call, &attempt, stream),
            Err(error) => failed(&error, address, from),
        }
    }

    /// Reads tokens until the answer ends or its stream fails.
    fn read(
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
                Accepted::Taken => {}
                Accepted::Repeated => continue,
                Accepted::Superseded | Accepted::CallerStuck => return CallResult::Cancelled,
                Accepted::Gap => {
                    let position = request.position();
                    return CallResult::Failed {
                        fault: CallFault::WrongResponse,
                        position,
                    };
                }
            }
            if std::mem::take(&mut is_first) {
                self.progress(call, CallResult::FirstToken);
            }
            if line.position + 1 == CLEARED_AFTER_TOKENS {
                self.progress(call, CallResult::Cleared);
            }
        }
    }

    fn progress(&self, call: CallId, result: CallResult) {
        // Without the core the instance is ending, which the next line shows.
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

/// A decode to start.
struct Decode {
    call: CallId,
    attempt: SmolStr,
    source: KvSource,
    max_tokens: u32,
    priority: u32,
}

fn failed(error: &HttpError, address: &str, position: u32) -> CallResult {
    CallResult::Failed {
        fault: error.call_fault(address),
        position,
    }
}
