//! The software versions that began streams, so that a stream which a caller takes up at any instance
//! goes on at the same version; see `docs/design/stream-versions.md`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{KEEPERS, StreamId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::EventCode;
use crate::context::Context;
use crate::peers::Message;
use crate::stream_records;
use crate::version_notes;

/// Number of instances that are asked for a stream. More than [`KEEPERS`], since instances that do not
/// have the same registrations disagree on the keepers.
const MAX_ASKED: usize = 6;

/// Time limit for the answers of other instances.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Time limit for a read of the records in the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Message that a stream began, or went on, at a version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StreamBegan {
    stream: u64,
    version: SmolStr,
    /// Whether the receiver should record the stream in the store.
    #[serde(default)]
    for_store: bool,
}

impl StreamBegan {
    /// Creates the message to an instance that should record the stream in the store.
    pub fn for_store(stream: StreamId, version: &SmolStr) -> Self {
        Self {
            stream: stream.0,
            version: version.clone(),
            for_store: true,
        }
    }
}

/// Question for the version that began a stream.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct OriginCall {
    /// Number of the call, which the answer repeats.
    number: u64,
    stream: u64,
}

/// Answer to an [`OriginCall`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OriginAnswer {
    number: u64,
    /// The version; `None` if it is not known.
    version: Option<SmolStr>,
}

/// Calls of this instance that wait for answers.
pub struct OriginCalls {
    waiting: RefCell<BTreeMap<u64, mpsc::Sender<Option<SmolStr>>>>,
    next_number: Cell<u64>,
}

impl OriginCalls {
    /// Creates an instance without calls. `first_number` differs between processes, so that a late
    /// answer to a process that has ended is not taken for one to its successor.
    pub fn new(first_number: u64) -> Self {
        Self {
            waiting: RefCell::default(),
            next_number: Cell::new(first_number),
        }
    }
}

/// Returns the identifier of the stream that an attempt begins.
pub fn stream_id(attempt: &str) -> StreamId {
    let mut word = [0; 8];
    word.copy_from_slice(&blake3::hash(attempt.as_bytes()).as_bytes()[..8]);
    StreamId(u64::from_le_bytes(word))
}

/// Records, here and at the keepers of the stream, the version that began the stream whose first event
/// an attempt brought. It is a stream of `service`.
pub fn record(cx: &Context, service: &str, attempt: &str, version: &SmolStr) {
    let stream = stream_id(attempt);
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    state
        .stream_origins
        .record_own(now, stream, version.clone());
    let keepers = state.members.keepers(stream.0, KEEPERS);
    drop(state);
    for keeper in keepers {
        let began = StreamBegan {
            stream: stream.0,
            version: version.clone(),
            for_store: false,
        };
        cx.send(Message::StreamBegan(began), &keeper);
    }
    stream_records::record(cx, service, stream, version);
}

/// Records what another instance says of a stream.
pub fn handle_began(cx: &Context, began: StreamBegan) {
    let now = cx.now();
    let stream = StreamId(began.stream);
    let mut state = cx.state.borrow_mut();
    let version = began.version;
    state.stream_origins.record(now, stream, version.clone());
    drop(state);
    if began.for_store {
        stream_records::push(cx, stream, version);
    }
}

/// Returns the version that began a stream of a service that a caller takes up, given the attempt that
/// brought its first event if the caller names it: as this instance or the first of the keepers that
/// answers knows it, or else the store. A stream of which nobody knows began at the version of all
/// engines, if there is only one. `None` if that cannot be said.
pub async fn find(cx: &Rc<Context>, service: &str, attempt: Option<&SmolStr>) -> Option<SmolStr> {
    let Some(attempt) = attempt else {
        return only_version(cx, service).await;
    };
    let stream = stream_id(attempt);
    let (known, keepers) = {
        let state = cx.state.borrow();
        let known = state.stream_origins.version(stream).cloned();
        (known, state.members.keepers(stream.0, MAX_ASKED))
    };
    if known.is_some() {
        return known;
    }
    let mut found = ask(cx, stream, &keepers).await;
    if found.is_none() {
        found = only_version(cx, service).await;
    }
    if found.is_none() && cx.state.borrow().pool.is_mixed(service) {
        found = find_in_store(cx, stream).await;
    }
    if let Some(version) = &found {
        let now = cx.now();
        let mut state = cx.state.borrow_mut();
        state.stream_origins.record(now, stream, version.clone());
    }
    cx.log(
        EventCode::OriginAsked,
        [
            ("attempt", attempt.as_str().into()),
            ("asked", keepers.len().into()),
            ("version", found.as_deref().into()),
        ],
    );
    found
}

/// Returns the version of all engines of a service at which a stream may have begun; `None` if there are
/// several, or if this instance cannot rule out that there are.
async fn only_version(cx: &Rc<Context>, service: &str) -> Option<SmolStr> {
    if !cx.state.borrow().pool.is_mixed(service) {
        let confirmed = timeout(STORE_TIMEOUT, version_notes::confirm(cx)).await;
        if !matches!(confirmed, Ok(Ok(()))) {
            log::debug!("list of the versions of {service} not read, or not in time");
            return None;
        }
    }
    let state = cx.state.borrow();
    let mut versions = state.pool.versions(service).into_iter();
    match (versions.next(), versions.next()) {
        (Some(only), None) if state.pool.knows_versions() => Some(only.clone()),
        _ => None,
    }
}

async fn find_in_store(cx: &Rc<Context>, stream: StreamId) -> Option<SmolStr> {
    match timeout(STORE_TIMEOUT, stream_records::load(cx)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!("records of streams not read: {error}"),
        Err(_) => log::debug!("records of streams not read in time"),
    }
    cx.record_reader.version(stream)
}

async fn ask(cx: &Context, stream: StreamId, keepers: &[SmolStr]) -> Option<SmolStr> {
    if keepers.is_empty() {
        return None;
    }
    let number = cx.origin_calls.next_number.get();
    cx.origin_calls.next_number.set(number + 1);
    let (tx, mut rx) = mpsc::channel(keepers.len());
    cx.origin_calls.waiting.borrow_mut().insert(number, tx);
    for keeper in keepers {
        let call = OriginCall {
            number,
            stream: stream.0,
        };
        cx.send(Message::OriginCall(call), keeper);
    }
    let answers = async {
        for _ in keepers {
            if let Some(Some(version)) = rx.recv().await {
                return Some(version);
            }
        }
        None
    };
    let found = timeout(ANSWER_TIMEOUT, answers).await;
    cx.origin_calls.waiting.borrow_mut().remove(&number);
    found.unwrap_or(None)
}

/// Answers the call of another instance.
pub fn handle_call(cx: &Context, call: OriginCall, from: SocketAddr) {
    let state = cx.state.borrow();
    let version = state.stream_origins.version(StreamId(call.stream));
    let answer = OriginAnswer {
        number: call.number,
        version: version.cloned(),
    };
    drop(state);
    cx.permits.send(Message::OriginAnswer(answer), from);
}

/// Passes an answer on to the call that waits for it.
pub fn handle_answer(cx: &Context, answer: OriginAnswer) {
    if let Some(tx) = cx.origin_calls.waiting.borrow().get(&answer.number) {
        // The call may have its answer already.
        let _ = tx.try_send(answer.version);
    }
}
