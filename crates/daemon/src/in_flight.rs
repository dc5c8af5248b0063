//! Prompts and outputs of the requests in flight, shared by the threads that serve them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossbeam::channel::{Receiver, SendTimeoutError, Sender, bounded};
use jacinthlever_client::ServiceCall;
use jacinthlever_core::{CallerId, Event, Reply};
use smol_str::SmolStr;

/// Number of tokens that are buffered for a slow caller.
const TOKEN_QUEUE_CAPACITY: usize = 256;

/// Time after which a caller whose token buffer stays full counts as disconnected.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Output of a request so far.
#[derive(Debug, Default)]
struct Output {
    /// Attempt whose tokens are accepted; tokens of other attempts are late or misrouted.
    attempt: SmolStr,
    /// Number of tokens so far.
    position: u32,
    text: String,
}

/// What happened to a received token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenStatus {
    /// It was queued for the caller.
    Accepted,
    /// It was received before.
    Duplicate,
    /// Tokens before it are missing.
    Gap,
    /// The token belongs to an attempt that is no longer current.
    Superseded,
    /// The caller does not read its tokens, or has disconnected.
    CallerStalled,
}

/// A request in flight.
#[derive(Debug)]
pub struct InFlight {
    /// Prompt of a model request; empty for other requests.
    pub prompt: String,
    /// Call to forward to a plain service; `None` for other requests.
    pub call: Option<ServiceCall>,
    output: Mutex<Output>,
    tokens: Sender<SmolStr>,
    reply: Sender<Reply>,
}

/// Receivers for the output of a request, for the thread that serves its caller.
#[derive(Debug)]
pub struct PendingRequest {
    /// Identifier of the request.
    pub caller: CallerId,
    /// Tokens in order; closed when no more tokens can arrive.
    pub tokens: Receiver<SmolStr>,
    /// The final reply.
    pub reply: Receiver<Reply>,
}

impl InFlight {
    /// Makes an attempt the current one; returns the position to start from and the output so far.
    pub fn begin_attempt(&self, attempt: &SmolStr) -> (u32, String) {
        let mut output = lock(&self.output);
        output.attempt = attempt.clone();
        (output.position, output.text.clone())
    }

    /// Returns the position of the next token.
    pub fn position(&self) -> u32 {
        lock(&self.output).position
    }

    /// Stops accepting tokens; returns the number of tokens that were accepted.
    fn close(&self) -> u32 {
        let mut output = lock(&self.output);
        output.attempt = SmolStr::default();
        output.position
    }

    /// Queues a token for the caller if it is the next one of the current attempt. Blocks for up to
    /// [`SLOW_CALLER_TIMEOUT`] while the buffer is full.
    pub fn accept(&self, attempt: &SmolStr, position: u32, token: &SmolStr) -> TokenStatus {
        {
            let mut output = lock(&self.output);
            if output.attempt != *attempt {
                return TokenStatus::Superseded;
            }
            if position < output.position {
                return TokenStatus::Duplicate;
            }
            if position > output.position {
                return TokenStatus::Gap;
            }
            output.position += 1;
            output.text.push_str(token);
        }
        match self.tokens.send_timeout(token.clone(), SLOW_CALLER_TIMEOUT) {
            Ok(()) => TokenStatus::Accepted,
            Err(SendTimeoutError::Timeout(_) | SendTimeoutError::Disconnected(_)) => {
                TokenStatus::CallerStalled
            }
        }
    }
}

/// All requests in flight, by caller and by connection.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    requests: Arc<Mutex<BTreeMap<CallerId, Arc<InFlight>>>>,
    connections: Arc<Mutex<BTreeMap<u64, CallerId>>>,
    next_caller: Arc<AtomicU64>,
}

impl Registry {
    /// Adds a request that arrived on a connection.
    pub fn add(
        &self,
        connection: u64,
        prompt: String,
        call: Option<ServiceCall>,
    ) -> PendingRequest {
        let caller = CallerId(self.next_caller.fetch_add(1, Ordering::Relaxed));
        let (tokens, token_rx) = bounded(TOKEN_QUEUE_CAPACITY);
        let (reply, reply_rx) = bounded(1);
        let request = InFlight {
            prompt,
            call,
            output: Mutex::default(),
            tokens,
            reply,
        };
        lock(&self.requests).insert(caller, Arc::new(request));
        lock(&self.connections).insert(connection, caller);
        PendingRequest {
            caller,
            tokens: token_rx,
            reply: reply_rx,
        }
    }

    /// Returns a request; `None` if it is no longer in flight.
    pub fn get(&self, caller: CallerId) -> Option<Arc<InFlight>> {
        lock(&self.requests).get(&caller).cloned()
    }

    /// Delivers the final reply and removes the request.
    pub fn finish(&self, caller: CallerId, reply: Reply) {
        if let Some(request) = lock(&self.requests).remove(&caller) {
            // The channel has capacity for the only reply; it is closed if the caller has
            // disconnected.
            let _ = request.reply.try_send(reply);
        }
    }

    /// Removes a request and its connection when its response has ended.
    pub fn remove(&self, connection: u64, caller: CallerId) {
        lock(&self.requests).remove(&caller);
        let mut connections = lock(&self.connections);
        if connections.get(&connection) == Some(&caller) {
            connections.remove(&connection);
        }
    }

    /// Returns the request that is served on a connection; `None` if there is none.
    pub fn caller_of_connection(&self, connection: u64) -> Option<CallerId> {
        lock(&self.connections).get(&connection).copied()
    }

    /// Removes the request of a caller that has disconnected; returns the event for the core, or
    /// `None` if the request is no longer in flight.
    pub fn disconnect(&self, caller: CallerId) -> Option<Event> {
        let request = lock(&self.requests).remove(&caller)?;
        let position = request.close();
        Some(Event::CallerDisconnected { caller, position })
    }

    /// Whether no connection waits for a response.
    pub fn is_idle(&self) -> bool {
        lock(&self.connections).is_empty()
    }
}

/// Locks a mutex, also after a panic of another thread: each change is a single step, so the data
/// is consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
