//! Permits for requests to backend servers that name a limit or are cold.
//!
//! A limit holds for all instances together, so one instance grants the permits of a server: the
//! delegate of the server's zone. The others ask it with a datagram before each send.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{Delegate, PermitCall, PermitLedger, ServerKey, time_left_ms};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::context::Context;
use crate::datagram::encode;
use crate::exchange::SendError;
use crate::peers::Message;

/// Time limit for the answer of the instance that grants permits.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Shortest time for which a server is not considered after a refusal, so that the instances do not
/// flood the one that grants permits.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Longest time for which a server is not considered after a refusal, since permits may be returned
/// to it sooner: its limit may be raised or lifted.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The limit of the server leaves no request for now.
pub const AT_LIMIT: SendError = SendError::Unsent("server is at the limit that it names");

/// The instance that grants permits for the server did not answer.
pub const NO_PERMIT: SendError = SendError::Unsent("no permit for a server that names a limit");

/// A call for permits, as sent to another instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PermitMessage {
    /// Number of the call, which the answer repeats.
    number: u64,
    server: SmolStr,
    /// Limit of the server in requests per second.
    rate: f64,
    requests: u32,
    /// See [`PermitCall::sent_before`].
    sent_before: u32,
    /// See [`PermitCall::is_cold`]. Builds without this field grant the permits of such a server as
    /// those of one that names the rate.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    is_cold: bool,
}

/// The answer to a call for permits.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct PermitAnswer {
    number: u64,
    /// Time until permits may be granted, in milliseconds; `None` if they were granted.
    wait_ms: Option<u64>,
}

/// The permits that this instance grants, and its calls to other instances.
pub struct Permits {
    ledger: RefCell<PermitLedger>,
    calls: RefCell<BTreeMap<u64, oneshot::Sender<PermitAnswer>>>,
    next_number: Cell<u64>,
    socket: OnceCell<Rc<UdpSocket>>,
}

impl Permits {
    /// Creates an instance without permits. `first_number` differs between processes, so that a late
    /// answer to a process that has ended is not taken for one to its successor; `phase` is that of
    /// the [`PermitLedger`].
    pub fn new(first_number: u64, phase: f64) -> Self {
        Self {
            ledger: RefCell::new(PermitLedger::with_phase(phase)),
            calls: RefCell::default(),
            next_number: Cell::new(first_number),
            socket: OnceCell::new(),
        }
    }

    /// Sets the socket for messages between instances.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // It is bound once in the life of a process.
        let _ = self.socket.set(socket);
    }

    /// Passes an answer on to the call that waits for it.
    pub fn handle_answer(&self, answer: PermitAnswer) {
        if let Some(tx) = self.calls.borrow_mut().remove(&answer.number) {
            // The call may have timed out.
            let _ = tx.send(answer);
        }
    }

    /// Sends a message to another instance, without waiting.
    pub fn send(&self, message: Message, to: SocketAddr) {
        let (Some(socket), Some(bytes)) = (self.socket.get(), encode(message)) else {
            return;
        };
        // A lost datagram is a call without an answer.
        if let Err(error) = socket.try_send_to(&bytes, to) {
            log::debug!("cannot send a message to {to}: {error}");
        }
    }
}

/// Acquires permits to send `requests` requests to a server, if the server names a limit or is cold;
/// returns whether they were needed.
///
/// # Errors
/// Fails with [`AT_LIMIT`] or [`NO_PERMIT`]; the server is then not picked for some time.
pub async fn acquire(cx: &Context, server: ServerKey, requests: u32) -> Result<bool, SendError> {
    let Some((call, delegate)) = prepare(cx, server, requests) else {
        return Ok(false);
    };
    let answer = match delegate {
        Delegate::Own => Some(grant(cx, &call)),
        Delegate::Peer(address) => ask(cx, &call, &address).await,
    };
    let (wait, error) = match answer {
        Some(Ok(())) => return Ok(true),
        Some(Err(wait)) => (wait, AT_LIMIT),
        None => (MIN_WAIT, NO_PERMIT),
    };
    let mut state = cx.state.borrow_mut();
    if let Some(entry) = state.pool.get_mut(server) {
        entry.permits_from = cx.now() + wait.clamp(MIN_WAIT, MAX_WAIT);
    }
    Err(error)
}

/// Acquires a permit for a request for which none was needed when its server was picked, if the server has
/// become cold since.
///
/// # Errors
/// Fails with [`AT_LIMIT`] or [`NO_PERMIT`]; the server is then not picked for some time.
pub async fn acquire_if_cold(cx: &Context, server: ServerKey) -> Result<(), SendError> {
    let is_cold = cx.state.borrow().pool.is_cold(cx.now(), server);
    if is_cold {
        acquire(cx, server, 1).await?;
    }
    Ok(())
}

/// Reports the requests that this instance has sent to a server before it learned that the server
/// names a limit: they count against the limit as well.
pub fn report_earlier_sends(cx: &Context, server: ServerKey) {
    let now = cx.now();
    if let Some(entry) = cx.state.borrow_mut().pool.get_mut(server) {
        entry.start_limit(now);
    }
    let Some((call, delegate)) = prepare(cx, server, 0) else {
        return;
    };
    if call.sent_before == 0 {
        return;
    }
    match delegate {
        // The call asks for no permits, so its result does not matter.
        Delegate::Own => drop(grant(cx, &call)),
        Delegate::Peer(address) => drop(start_call(cx, &call, &address)),
    }
}

/// Answers the call of another instance.
pub fn handle_call(cx: &Context, message: PermitMessage, from: SocketAddr) {
    let number = message.number;
    let call = PermitCall {
        server: message.server,
        rate: message.rate,
        requests: message.requests,
        sent_before: message.sent_before,
        is_cold: message.is_cold,
    };
    let wait_ms = grant(cx, &call).err().map(time_left_ms);
    let answer = PermitAnswer { number, wait_ms };
    cx.permits.send(Message::PermitAnswer(answer), from);
}

/// Returns the call for a server and the instance that grants its permits; `None` if the server
/// has no limit.
fn prepare(cx: &Context, server: ServerKey, requests: u32) -> Option<(PermitCall, Delegate)> {
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    let zone = state.pool.get(server)?.entry.zone.clone();
    let delegate = state.members.delegate_of(now, &zone);
    let rate = state.pool.rate_limit(now, server)?;
    let is_cold = state.pool.is_cold(now, server);
    let entry = state.pool.get_mut(server)?;
    let call = PermitCall {
        server: entry.entry.id.clone(),
        rate,
        requests,
        sent_before: entry.unreported_sends(now, &delegate),
        is_cold,
    };
    Some((call, delegate))
}

/// Grants permits from the ledger of this instance or, with an error, returns the time until it may.
fn grant(cx: &Context, call: &PermitCall) -> Result<(), Duration> {
    let now = cx.now();
    let members = &cx.state.borrow().members;
    let share = match call.is_cold {
        true => members.cold_permit_share(now),
        false => Some(members.reachable_share(now)),
    };
    let granted = share.map_or(Err(MIN_WAIT), |share| {
        cx.permits.ledger.borrow_mut().take(now, share, call)
    });
    if call.requests > 0 {
        cx.metrics.count_permits(call.requests, granted.is_ok());
    }
    granted
}

/// Asks another instance; `None` without an answer.
async fn ask(cx: &Context, call: &PermitCall, address: &str) -> Option<Result<(), Duration>> {
    let number = start_call(cx, call, address)?;
    let (tx, rx) = oneshot::channel();
    cx.permits.calls.borrow_mut().insert(number, tx);
    let answer = timeout(ANSWER_TIMEOUT, rx).await;
    cx.permits.calls.borrow_mut().remove(&number);
    let wait = answer.ok()?.ok()?.wait_ms.map(Duration::from_millis);
    Some(wait.map_or(Ok(()), Err))
}

/// Sends a call to another instance and returns its number; `None` if the address is invalid.
fn start_call(cx: &Context, call: &PermitCall, address: &str) -> Option<u64> {
    let to = address.parse().ok()?;
    let number = cx.permits.next_number.get();
    cx.permits.next_number.set(number + 1);
    let message = PermitMessage {
        number,
        server: call.server.clone(),
        rate: call.rate,
        requests: call.requests,
        sent_before: call.sent_before,
        is_cold: call.is_cold,
    };
    cx.permits.send(Message::PermitCall(message), to);
    Some(number)
}
