//! The software versions that began streams, so that a stream which a caller takes up at any instance
//! goes on at the same version; see `docs/design/stream-versions.md`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{
    KEEPERS, MAX_CALLER_WAIT, MIN_STREAM_RETENTION, StreamId, StreamOrigin, retention_end,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::EventCode;
use crate::caller_request::CallerRequest;
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
    /// Time for which the stream must be known, in milliseconds; builds up to 57e2313 do not state it.
    #[serde(default)]
    left_ms: Option<u64>,
}

impl StreamBegan {
    /// Creates the message to an instance that should record the stream in the store, where it must be known
    /// for the time `left`.
    pub fn for_store(stream: StreamId, origin: &StreamOrigin, left: Duration) -> Self {
        Self {
            for_store: true,
            ..Self::new(stream, origin, left)
        }
    }

    fn new(stream: StreamId, origin: &StreamOrigin, left: Duration) -> Self {
        Self {
            stream: stream.0,
            version: origin.version.clone(),
            for_store: false,
            left_ms: Some(left.as_millis() as u64),
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
    /// Time for which the stream must be known, in milliseconds; builds up to 57e2313 do not state it.
    #[serde(default)]
    left_ms: Option<u64>,
}

/// Where a stream began, and until when that must be known.
type KnownOrigin = (StreamOrigin, Duration);

/// Returns the time until which a stream must be known of which another instance has stated the time left.
fn known_until(now: Duration, left_ms: Option<u64>) -> Duration {
    let left = left_ms.map_or(MIN_STREAM_RETENTION, Duration::from_millis);
    retention_end(now, now + left.min(MAX_CALLER_WAIT))
}

/// Calls of this instance that wait for answers.
pub struct OriginCalls {
    waiting: RefCell<BTreeMap<u64, mpsc::Sender<Option<KnownOrigin>>>>,
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

/// Records, here and at the keepers of the stream, the version of the engine that gave the first event of the
/// answer to a request. That is remembered for as long as the caller may take the stream up.
pub fn record(cx: &Context, req: &CallerRequest, version: &SmolStr) {
    let stream = stream_id(req.headers.first_attempt());
    let now = cx.now();
    let until = retention_end(now, req.caller_waits_until);
    let origin = StreamOrigin {
        service: Some(req.service.clone()),
        version: version.clone(),
    };
    let mut state = cx.state.borrow_mut();
    state
        .stream_origins
        .record_own(now, stream, origin.clone(), until);
    let keepers = state.members.keepers(stream.0, KEEPERS);
    drop(state);
    for keeper in keepers {
        let began = StreamBegan::new(stream, &origin, until - now);
        cx.send(Message::StreamBegan(began), &keeper);
    }
    stream_records::record(cx, req, stream, &origin, until);
}

/// Records what another instance says of a stream.
pub fn handle_began(cx: &Context, began: StreamBegan) {
    let now = cx.now();
    let stream = StreamId(began.stream);
    let until = known_until(now, began.left_ms);
    let origin = StreamOrigin {
        service: None,
        version: began.version,
    };
    let mut state = cx.state.borrow_mut();
    state
        .stream_origins
        .record(now, stream, origin.clone(), until);
    drop(state);
    if began.for_store {
        stream_records::push(cx, stream, origin, until);
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
        let known = state.stream_origins.find(stream);
        let version = known.map(|(origin, _)| origin.version.clone());
        (version, state.members.keepers(stream.0, MAX_ASKED))
    };
    if known.is_some() {
        return known;
    }
    let mut found = ask(cx, stream, &keepers).await;
    if found.is_none()
        && let Some(version) = only_version(cx, service).await
    {
        let origin = StreamOrigin {
            service: Some(service.into()),
            version,
        };
        found = Some((origin, retention_end(cx.now(), Duration::ZERO)));
    }
    if found.is_none() && cx.state.borrow().pool.is_mixed(service) {
        found = find_in_store(cx, stream).await;
    }
    let version = found.as_ref().map(|(origin, _)| origin.version.clone());
    if let Some((origin, until)) = found {
        let now = cx.now();
        let mut state = cx.state.borrow_mut();
        state.stream_origins.record(now, stream, origin, until);
    }
    cx.log(
        EventCode::OriginAsked,
        [
            ("attempt", attempt.as_str().into()),
            ("asked", keepers.len().into()),
            ("version", version.as_deref().into()),
        ],
    );
    version
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

async fn find_in_store(cx: &Rc<Context>, stream: StreamId) -> Option<KnownOrigin> {
    match timeout(STORE_TIMEOUT, stream_records::load(cx)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!("records of streams not read: {error}"),
        Err(_) => log::debug!("records of streams not read in time"),
    }
    cx.record_reader.find(stream)
}

async fn ask(cx: &Context, stream: StreamId, keepers: &[SmolStr]) -> Option<KnownOrigin> {
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
            if let Some(Some(origin)) = rx.recv().await {
                return Some(origin);
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
    let now = cx.now();
    let state = cx.state.borrow();
    let known = state.stream_origins.find(StreamId(call.stream));
    let left_ms = known.map(|(_, until)| until.saturating_sub(now).as_millis() as u64);
    let answer = OriginAnswer {
        number: call.number,
        version: known.map(|(origin, _)| origin.version.clone()),
        left_ms,
    };
    drop(state);
    cx.permits.send(Message::OriginAnswer(answer), from);
}

/// Passes an answer on to the call that waits for it.
pub fn handle_answer(cx: &Context, answer: OriginAnswer) {
    let until = known_until(cx.now(), answer.left_ms);
    let origin = answer.version.map(|version| StreamOrigin {
        service: None,
        version,
    });
    if let Some(tx) = cx.origin_calls.waiting.borrow().get(&answer.number) {
        // The call may have its answer already.
        let _ = tx.try_send(origin.map(|origin| (origin, until)));
    }
}
