//! The bytes of requests that are under way, shared by the threads that serve them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossbeam::channel::{Receiver, SendTimeoutError, Sender, bounded};
use jacinthlever_client::ServiceCall;
use jacinthlever_core::{CallerId, Event, Reply};
use smol_str::SmolStr;

/// Tokens that may wait for a slow caller.
const TOKEN_RING: usize = 256;

/// Time that a caller may leave its tokens waiting before it counts as gone.
const SLOW_CALLER: Duration = Duration::from_secs(10);

/// Output that a request has got so far.
#[derive(Debug, Default)]
struct Answer {
    /// Attempt whose tokens are taken; those of any other are late or crossed.
    attempt: SmolStr,
    position: u32,
    text: String,
}

/// What became of a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Accepted {
    /// It is on its way to the caller.
    Taken,
    /// The caller had it before.
    Repeated,
    /// Tokens before it are missing.
    Gap,
    /// Another attempt has taken over.
    Superseded,
    /// The caller does not read.
    CallerStuck,
}

/// A request that is under way.
#[derive(Debug)]
pub struct InFlight {
    /// Prompt of a model request.
    pub prompt: String,
    /// Call of a plain service.
    pub call: Option<ServiceCall>,
    answer: Mutex<Answer>,
    tokens: Sender<SmolStr>,
    reply: Sender<Reply>,
}

/// The end of a request that its caller's thread holds.
#[derive(Debug)]
pub struct Pending {
    /// Number of the request.
    pub caller: CallerId,
    /// Tokens in their order.
    pub tokens: Receiver<SmolStr>,
    /// The final answer.
    pub reply: Receiver<Reply>,
}

impl InFlight {
    /// Begins an attempt; returns the position to start from and the output so far.
    pub fn begin(&self, attempt: &SmolStr) -> (u32, String) {
        let mut answer = lock(&self.answer);
        answer.attempt = attempt.clone();
        (answer.position, answer.text.clone())
    }

    /// Returns the position of the next token.
    pub fn position(&self) -> u32 {
        lock(&self.answer).position
    }

    /// Takes no more tokens; returns how many were handed over.
    fn close(&self) -> u32 {
        let mut answer = lock(&self.answer);
        answer.attempt = SmolStr::default();
        answer.position
    }

    /// Hands a token to the caller if it is the next one of the current attempt.
    pub fn accept(&self, attempt: &SmolStr, position: u32, token: &SmolStr) -> Accepted {
        {
            let mut answer = lock(&self.answer);
            if answer.attempt != *attempt {
                return Accepted::Superseded;
            }
            if position < answer.position {
                return Accepted::Repeated;
            }
            if position > answer.position {
                return Accepted::Gap;
            }
            answer.position += 1;
            answer.text.push_str(token);
        }
        match self.tokens.send_timeout(token.clone(), SLOW_CALLER) {
            Ok(()) => Accepted::Taken,
            Err(SendTimeoutError::Timeout(_) | SendTimeoutError::Disconnected(_)) => {
                Accepted::CallerStuck
            }
        }
    }
}

/// All requests that are under way, by caller and by connection.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    requests: Arc<Mutex<BTreeMap<CallerId, Arc<InFlight>>>>,
    connections: Arc<Mutex<BTreeMap<u64, CallerId>>>,
    next: Arc<AtomicU64>,
}

impl Registry {
    /// Adds a request.
    pub fn add(&self, connection: u64, prompt: String, call: Option<ServiceCall>) -> Pending {
        let caller = CallerId(self.next.fetch_add(1, Ordering::Relaxed));
        let (tokens, token_rx) = bounded(TOKEN_RING);
        let (reply, reply_rx) = bounded(1);
        let request = InFlight {
            prompt,
            call,
            answer: Mutex::default(),
            tokens,
            reply,
        };
        lock(&self.requests).insert(caller, Arc::new(request));
        lock(&self.connections).insert(connection, caller);
        Pending {
            caller,
            tokens: token_rx,
            reply: reply_rx,
        }
    }

    /// Returns a request.
    pub fn get(&self, caller: CallerId) -> Option<Arc<InFlight>> {
        lock(&self.requests).get(&caller).cloned()
    }

    /// Hands a final answer over; the request is no longer under way.
    pub fn finish(&self, caller: CallerId, reply: Reply) {
        if let Some(request) = lock(&self.requests).remove(&caller) {
            // The ring has room for the one answer; a caller that left needs none.
            let _ = request.reply.try_send(reply);
        }
    }

    /// Forgets a request whose caller's thread has ended.
    pub fn remove(&self, connection: u64, caller: CallerId) {
        lock(&self.requests).remove(&caller);
        let mut connections = lock(&self.connections);
        if connections.get(&connection) == Some(&caller) {
            connections.remove(&connection);
        }
    }

    /// Returns the request that a connection waits for.
    pub fn of_connection(&self, connection: u64) -> Option<CallerId> {
        lock(&self.connections).get(&connection).copied()
    }

    /// Stops handing tokens to a caller that left; returns what the core must know.
    pub fn gone(&self, caller: CallerId) -> Option<Event> {
        let request = lock(&self.requests).remove(&caller)?;
        let position = request.close();
        Some(Event::CallerDisconnected { caller, position })
    }

    /// Whether no connection waits for an answer.
    pub fn is_idle(&self) -> bool {
        lock(&self.connections).is_empty()
    }
}

/// Locks a mutex; the data stays consistent through a panic, as every change is one step.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
