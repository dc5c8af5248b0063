//! The services and software versions that began streams, so that a stream which a caller takes up at any
//! instance goes on at the same ones; see `docs/design/stream-versions.md`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{
    KEEPERS, MAX_CALLER_WAIT, MIN_STREAM_RETENTION, Route, ServerPool, StreamId, StreamOrigin,
    retention_end, time_left_ms,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::EventCode;
use crate::caller_request::CallerRequest;
use crate::context::Context;
use crate::peers::Message;
use crate::route_splits::KnownSplits;
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
    /// Service of the engine; builds up to 57e2313 do not state it.
    #[serde(default)]
    service: Option<SmolStr>,
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
            left_ms: Some(time_left_ms(left)),
            service: origin.service.clone(),
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
    /// Service of the engine; builds up to 57e2313 do not state it.
    #[serde(default)]
    service: Option<SmolStr>,
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
///
/// Returns whether the caller may receive the event; see [`stream_records::record`].
pub async fn record(cx: &Context, req: &CallerRequest, version: &SmolStr) -> bool {
    let stream = stream_id(req.headers.first_attempt());
    let now = cx.now();
    let until = retention_end(now, req.caller_waits_until);
    let origin = StreamOrigin {
        service: Some(req.service.clone()),
        version: version.clone(),
    };
    let keepers = {
        let mut state = cx.state.borrow_mut();
        let origins = &mut state.stream_origins;
        origins.record_own(now, stream, origin.clone(), until);
        state.members.keepers(stream.0, KEEPERS)
    };
    for keeper in keepers {
        let began = StreamBegan::new(stream, &origin, until - now);
        cx.send(Message::StreamBegan(began), &keeper);
    }
    stream_records::record(cx, req, stream, &origin, until).await
}

/// Records what another instance says of a stream.
pub fn handle_began(cx: &Context, began: StreamBegan) {
    let now = cx.now();
    let stream = StreamId(began.stream);
    let until = known_until(now, began.left_ms);
    let origin = StreamOrigin {
        service: began.service,
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

/// Service and software version of the engine that began a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FoundOrigin {
    /// Service.
    pub service: SmolStr,
    /// Software version.
    pub version: SmolStr,
}

/// Returns where a stream of a route began that a caller takes up, given the attempt that brought its first event if
/// the caller names it: as this instance or the first of the keepers that answers knows it, or else the store.
///
/// A stream of which the store has no record either began where that needs none, by [`unrecorded_origin`]. `None` if
/// that cannot be said: without an answer of the store to a call that begins now, the stream may have begun elsewhere.
pub async fn find(
    cx: &Rc<Context>,
    route: &Route,
    attempt: Option<&SmolStr>,
) -> Option<FoundOrigin> {
    let Some(attempt) = attempt else {
        return find_of_all(cx, route).await;
    };
    let stream = stream_id(attempt);
    let (mut known, keepers) = {
        let state = cx.state.borrow();
        let known = state.stream_origins.find(stream);
        let known = known.map(|(origin, until)| (origin.clone(), until));
        (known, state.members.keepers(stream.0, MAX_ASKED))
    };
    if let Some((origin, _)) = &known {
        return with_service(cx, route, stream, origin.clone());
    }
    known = ask(cx, stream, &keepers).await;
    let is_known_to_peer = known.is_some();
    if known.is_none() {
        known = find_in_store(cx, route, stream).await;
    }
    let origin = known.as_ref().map(|(origin, _)| origin.clone());
    if let Some((origin, until)) = known {
        let now = cx.now();
        let mut state = cx.state.borrow_mut();
        state.stream_origins.record(now, stream, origin, until);
    }
    let found = origin.and_then(|origin| with_service(cx, route, stream, origin));
    cx.log(
        EventCode::OriginAsked,
        [
            ("attempt", attempt.as_str().into()),
            ("asked", keepers.len().into()),
            ("peer_knows", is_known_to_peer.into()),
            ("service", found.as_ref().map(|f| f.service.as_str()).into()),
            ("version", found.as_ref().map(|f| f.version.as_str()).into()),
        ],
    );
    found
}

/// Returns where a stream of a route begins, or all streams, if the store needs no record of them: at the service that
/// the one split of the route gives whose streams are not recorded, and at the one version of it. `None` if there are
/// several, or none.
///
/// Both who begins a stream and who takes one up decide by this. What is registered or in force by now is left
/// out, as it may have come after the stream began.
pub fn unrecorded_origin(
    pool: &ServerPool,
    route: &Route,
    stream: Option<StreamId>,
) -> Option<FoundOrigin> {
    let splits = KnownSplits::unrecorded(pool, route)?;
    let service = only(splits.services(route, stream))?;
    let version = pool.unrecorded_version(&service)?.clone();
    Some(FoundOrigin { service, version })
}

impl From<FoundOrigin> for StreamOrigin {
    fn from(found: FoundOrigin) -> Self {
        Self {
            service: Some(found.service),
            version: found.version,
        }
    }
}

/// Adds the service to the origin of a stream that an instance of an older build has recorded without it: the one
/// that all splits of the route give for it, or the only one that has engines of the version.
fn with_service(
    cx: &Context,
    route: &Route,
    stream: StreamId,
    origin: StreamOrigin,
) -> Option<FoundOrigin> {
    let version = origin.version;
    if let Some(service) = origin.service {
        return Some(FoundOrigin { service, version });
    }
    let state = cx.state.borrow();
    let splits = KnownSplits::of(&state.pool, route)?;
    let mut services = splits.services(route, Some(stream));
    if services.len() > 1 {
        services.retain(|service| state.pool.versions(service).contains(&version));
    }
    let service = only(services)?;
    Some(FoundOrigin { service, version })
}

fn only<T>(items: impl IntoIterator<Item = T>) -> Option<T> {
    let mut items = items.into_iter();
    let first = items.next()?;
    items.next().is_none().then_some(first)
}

/// Returns where all streams of a route began, if they began at one version.
async fn find_of_all(cx: &Rc<Context>, route: &Route) -> Option<FoundOrigin> {
    confirm_list(cx, route).await?;
    let state = cx.state.borrow();
    let found = unrecorded_origin(&state.pool, route, None);
    let found = found.or_else(|| unlisted_origin(&state.pool, route, None))?;
    let pool = &state.pool;
    let has_others = pool.is_listed_mixed(&found.service) || pool.is_route_mixed(&route.name);
    (!has_others).then_some(found)
}

/// Returns where a stream began according to the store: its record says so, or the list if it has none.
async fn find_in_store(cx: &Rc<Context>, route: &Route, stream: StreamId) -> Option<KnownOrigin> {
    confirm_list(cx, route).await?;
    match timeout(STORE_TIMEOUT, stream_records::load(cx)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => {
            log::debug!("records of streams not read: {error}");
            return None;
        }
        Err(_) => {
            log::debug!("records of streams not read in time");
            return None;
        }
    }
    if let Some(found) = cx.record_reader.find(stream) {
        return Some(found);
    }
    if cx.record_reader.is_intended(stream) {
        // It began there in the moment in which all that knew it were lost, or elsewhere.
        return None;
    }
    let state = cx.state.borrow();
    let found = unrecorded_origin(&state.pool, route, Some(stream));
    let found = found.or_else(|| unlisted_origin(&state.pool, route, Some(stream)))?;
    let until = retention_end(cx.now(), Duration::ZERO);
    Some((found.into(), until))
}

/// Returns where a stream must have begun of whose route or service the store has no list, as builds up to dbdb84d leave
/// it: at the service that all known splits give, and at the only version that is known. Streams of this build are
/// recorded then.
fn unlisted_origin(
    pool: &ServerPool,
    route: &Route,
    stream: Option<StreamId>,
) -> Option<FoundOrigin> {
    let splits = match pool.has_route_list(&route.name) {
        true => KnownSplits::unrecorded(pool, route)?,
        false => KnownSplits::of(pool, route)?,
    };
    let service = only(splits.services(route, stream))?;
    let version = match pool.is_listed(&service) {
        true => pool.unrecorded_version(&service)?.clone(),
        false => only(pool.versions(&service))?.clone(),
    };
    Some(FoundOrigin { service, version })
}

/// Reads the list of versions and splits again.
async fn confirm_list(cx: &Rc<Context>, route: &Route) -> Option<()> {
    let confirmed = timeout(STORE_TIMEOUT, version_notes::confirm(cx)).await;
    if !matches!(confirmed, Ok(Ok(()))) {
        log::debug!(
            "list of versions for route {} not read, or not in time",
            route.name
        );
        return None;
    }
    cx.state.borrow().pool.knows_versions().then_some(())
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
    let left_ms = known.map(|(_, until)| time_left_ms(until.saturating_sub(now)));
    let origin = known.map(|(origin, _)| origin);
    let answer = OriginAnswer {
        number: call.number,
        version: origin.map(|origin| origin.version.clone()),
        left_ms,
        service: origin.and_then(|origin| origin.service.clone()),
    };
    drop(state);
    cx.permits.send(Message::OriginAnswer(answer), from);
}

/// Passes an answer on to the call that waits for it.
pub fn handle_answer(cx: &Context, answer: OriginAnswer) {
    let until = known_until(cx.now(), answer.left_ms);
    let service = answer.service;
    let origin = answer
        .version
        .map(|version| StreamOrigin { service, version });
    if let Some(tx) = cx.origin_calls.waiting.borrow().get(&answer.number) {
        // The call may have its answer already.
        let _ = tx.try_send(origin.map(|origin| (origin, until)));
    }
}
