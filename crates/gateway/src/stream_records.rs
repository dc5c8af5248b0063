//! Keeps in the store which version began each stream, for streams that callers take up after all
//! instances that knew it have gone; see `docs/design/stream-versions.md`.
//!
//! Only of streams whose origin the list in the store does not say, by [`unrecorded_origin`]: those of versions and
//! traffic splits that have joined it. They are recorded before their callers receive the first event.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::iter::{repeat, repeat_n};
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{
    Delegate, JournalRow, Route, ServerPool, StreamId, StreamOrigin, retention_end,
};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

use crate::backoff::Backoff;
use crate::caller_request::CallerRequest;
use crate::context::Context;
use crate::peers::Message;
use crate::route_splits::{self, KnownSplits};
use crate::store::{OwnVersion, OwnWriteResult, StoreClient, StoreError};
use crate::stream_origins::{StreamBegan, unrecorded_origin};
use crate::table_updates::log_unreadable_row;
use crate::{EventCode, Row, RowWrite, Table};

/// Minimum time between two writes, so that one carries the records of several streams.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for the write without which a stream must not begin.
const RECORD_TIMEOUT: Duration = Duration::from_millis(700);

/// Time from `since_ms` for which a row is needed.
const ROW_RETENTION: Duration = Duration::from_secs(65);

/// Row of [`Table::Streams`].
#[derive(Debug, Deserialize, Serialize)]
struct StreamsRow {
    /// [`ROW_RETENTION`] before the time of the store's clock until which the row is needed, in milliseconds. Builds
    /// up to 57e2313 write the time at which the first of the streams began.
    since_ms: u64,
    /// Streams by the version that began them.
    streams: BTreeMap<SmolStr, Vec<u64>>,
    /// Services of the streams of each version, in the same order: the name, and the number of streams in
    /// succession. Builds up to 57e2313 neither read nor write it.
    #[serde(default)]
    services: BTreeMap<SmolStr, Vec<(SmolStr, usize)>>,
    /// Streams that were about to begin; see [`JournalRow::intended`]. Builds up to dbdb84d neither read nor write it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    intended: Vec<u64>,
}

impl StreamsRow {
    fn new(row: &JournalRow, until_ms: u64) -> Self {
        let mut content = Self {
            since_ms: until_ms.saturating_sub(ROW_RETENTION.as_millis() as u64),
            streams: BTreeMap::new(),
            services: BTreeMap::new(),
            intended: row.intended.iter().map(|stream| stream.0).collect(),
        };
        for (origin, numbers) in &row.streams {
            let version = &origin.version;
            let list = content.streams.entry(version.clone()).or_default();
            list.extend(numbers.iter().map(|stream| stream.0));
            let service = origin.service.clone().unwrap_or_default();
            let services = content.services.entry(version.clone()).or_default();
            services.push((service, numbers.len()));
        }
        content
    }

    /// Returns the streams and where they began.
    fn into_origins(mut self) -> Vec<(u64, StreamOrigin)> {
        let mut origins = Vec::new();
        for (version, numbers) in self.streams {
            let services = self.services.remove(&version).unwrap_or_default();
            let services = services.into_iter().flat_map(|(service, count)| {
                let service = Some(service).filter(|service| !service.is_empty());
                repeat_n(service, count)
            });
            let services = services.chain(repeat(None));
            origins.extend(numbers.into_iter().zip(services).map(|(number, service)| {
                let version = version.clone();
                (number, StreamOrigin { service, version })
            }));
        }
        origins
    }
}

/// Reader of the records of all instances.
#[derive(Default)]
pub struct RecordReader {
    /// The client, and when the last successful read began.
    reads: Mutex<(Option<StoreClient>, Option<Duration>)>,
    /// Streams of the last read by where they began: in order, each with the time until which it must be known.
    streams: RefCell<BTreeMap<StreamOrigin, Vec<(u64, Duration)>>>,
    /// Streams that were about to begin somewhere.
    intended: RefCell<BTreeSet<u64>>,
}

impl RecordReader {
    /// Whether a stream was about to begin where it needs a record, according to the last read.
    pub fn is_intended(&self, stream: StreamId) -> bool {
        self.intended.borrow().contains(&stream.0)
    }

    /// Returns where a stream began and until when that must be known, according to the last read.
    pub fn find(&self, stream: StreamId) -> Option<(StreamOrigin, Duration)> {
        let streams = self.streams.borrow();
        streams.iter().find_map(|(origin, streams)| {
            let found = streams.binary_search_by_key(&stream.0, |(number, _)| *number);
            Some((origin.clone(), streams[found.ok()?].1))
        })
    }
}

/// Whether the store has the streams of a route since they may have begun at several services.
pub fn are_services_recorded(splits: &KnownSplits, route: &Route) -> bool {
    splits.have_changed() || route_splits::is_split(route)
}

/// Has a stream recorded in the store, where it must be known until a time, unless the list in the store says where it
/// began, or callers cannot take up streams of its route. Returns whether its caller may receive the first event.
///
/// Otherwise a stream that all instances which knew it have lost would be taken for one of another version or service.
pub async fn record(
    cx: &Context,
    req: &CallerRequest,
    stream: StreamId,
    origin: &StreamOrigin,
    until: Duration,
) -> bool {
    if !route_splits::has_resumable_streams(&req.route) {
        return true;
    }
    let unrecorded = unrecorded_origin(&cx.state.borrow().pool, &req.route, Some(stream));
    if unrecorded.is_some_and(|unrecorded| StreamOrigin::from(unrecorded) == *origin) {
        if cx.state.borrow_mut().stream_journal.take_abandoned(stream) {
            push(cx, stream, origin.clone(), until);
        }
        return true;
    }
    if !req.headers.take_up_stream() && !record_intent(cx, req, stream, origin, until).await {
        return false;
    }
    push(cx, stream, origin.clone(), until);
    true
}

/// Has the store know that a stream is about to begin where it needs a record. Returns whether it does: otherwise the
/// stream must begin elsewhere. The write may still be carried out; nobody takes it for a proof of where the stream began.
async fn record_intent(
    cx: &Context,
    req: &CallerRequest,
    stream: StreamId,
    origin: &StreamOrigin,
    until: Duration,
) -> bool {
    let now = cx.now();
    {
        let mut state = cx.state.borrow_mut();
        state.stream_journal.push_intended(now, stream, until);
    }
    cx.streams_recorded.notify_one();
    // The outcome is read below: the record may be written as the time runs out.
    let _ = timeout(RECORD_TIMEOUT, wait_until_written(cx, stream)).await;
    let is_written = cx.state.borrow_mut().stream_journal.end_wait(stream);
    if !is_written {
        set_failing(cx, true);
        let fields = [
            ("request", req.headers.request_id.as_str().into()),
            ("version", origin.version.as_str().into()),
        ];
        cx.log(EventCode::StreamNotRecorded, fields);
    }
    is_written
}

async fn wait_until_written(cx: &Context, stream: StreamId) {
    loop {
        let written = cx.streams_written.notified();
        if cx.state.borrow().stream_journal.is_written(stream) {
            return;
        }
        written.await;
    }
}

/// Sets whether streams begin only where that needs no record.
fn set_failing(cx: &Context, are_failing: bool) {
    let mut state = cx.state.borrow_mut();
    if let Some(notes) = state.pool.notes_mut() {
        notes.set_records_failing(are_failing);
    }
    drop(state);
    cx.capacity_queue.notify_waiters();
}

/// Has the streams of services recorded that began here before there was a reason to record them.
pub fn record_earlier(cx: &Context, services: &BTreeSet<SmolStr>) {
    let is_meant = |origin: &StreamOrigin| {
        let service = origin.service.as_ref();
        service.is_none_or(|service| services.contains(service))
    };
    let earlier: Vec<_> = {
        let state = cx.state.borrow();
        let own = state.stream_origins.own();
        own.filter(|(_, origin, _)| is_meant(origin))
            .filter(|(_, origin, _)| !is_unrecorded(&state.pool, origin))
            .map(|(stream, origin, until)| (stream, origin.clone(), until))
            .collect()
    };
    for (stream, origin, until) in earlier {
        send(cx, stream, &origin, until);
    }
}

/// Whether streams of an origin need no record whatever their route, as versions of no other service are listed.
fn is_unrecorded(pool: &ServerPool, origin: &StreamOrigin) -> bool {
    let service = origin.service.as_deref();
    let version = service.and_then(|service| pool.unrecorded_version(service));
    version == Some(&origin.version) && pool.has_one_service()
}

fn send(cx: &Context, stream: StreamId, origin: &StreamOrigin, until: Duration) {
    let now = cx.now();
    let delegate = {
        let state = cx.state.borrow();
        state.members.delegate_of(now, &cx.settings().zone)
    };
    let left = until.saturating_sub(now);
    match delegate {
        Delegate::Own => push(cx, stream, origin.clone(), until),
        Delegate::Peer(address) => {
            let began = StreamBegan::for_store(stream, origin, left);
            cx.send(Message::StreamBegan(began), &address);
        }
    }
}

/// Adds a record to those that this instance writes to the store.
pub fn push(cx: &Context, stream: StreamId, origin: StreamOrigin, until: Duration) {
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    state.stream_journal.push(now, stream, origin, until);
    let dropped = state.stream_journal.take_dropped();
    drop(state);
    if dropped > 0 {
        let fields = [("streams", dropped.into())];
        cx.log(EventCode::StreamRecordsDropped, fields);
    }
    cx.streams_recorded.notify_one();
}

/// Writes records to the store as they are added; runs until the process ends.
pub async fn run(cx: Rc<Context>) {
    let mut client = StoreClient::new(cx.clone(), "streams");
    let mut restored = cx.store_restored.subscribe();
    let mut backoff = Backoff::default();
    let mut versions: BTreeMap<u32, OwnVersion> = BTreeMap::new();
    loop {
        tokio::select! {
            () = cx.streams_recorded.notified() => {}
            _ = restored.changed() => cx.state.borrow_mut().stream_journal.write_again(cx.now()),
        }
        loop {
            let row = cx.state.borrow_mut().stream_journal.next_row();
            let Some(row) = row else {
                break;
            };
            let known = versions.entry(row.index).or_insert(OwnVersion::Absent);
            match write(&cx, &mut client, &row, known).await {
                Ok(_) => {
                    backoff = Backoff::default();
                    cx.state.borrow_mut().stream_journal.record_written(&row);
                    set_failing(&cx, false);
                    cx.streams_written.notify_waiters();
                    sleep(WRITE_INTERVAL).await;
                }
                Err(error) => {
                    log::debug!("streams not recorded, next try in a moment: {error}");
                    cx.state.borrow_mut().stream_journal.put_back(row);
                    sleep(backoff.next_delay(cx.random())).await;
                }
            }
        }
    }
}

async fn write(
    cx: &Context,
    client: &mut StoreClient,
    row: &JournalRow,
    known: &mut OwnVersion,
) -> Result<OwnWriteResult, StoreError> {
    // The clock is known, since the servers were read before a stream could begin.
    let until_ms = cx.state.borrow().store_clock.to_store(row.until);
    let content = StreamsRow::new(row, until_ms.unwrap_or_default());
    let mut value = Vec::new();
    ciborium::into_writer(&content, &mut value)
        .map_err(|error| StoreError::Unreadable(error.to_string()))?;
    let (instance, process) = (&cx.settings().instance, cx.incarnation);
    let write = RowWrite {
        table: Table::Streams,
        key: format_smolstr!("{instance}/{process}/{}", row.index),
        value: Some(value),
        expected: None,
    };
    // Only this process writes the row. The condition is for writes that got no answer: one may be carried out
    // later, and must not replace a newer row.
    client.write_own(write, known, |_| true).await
}

/// Reads the records of all instances. Calls that arrive during a read share the next one: a read that began before
/// the call may lack records that were written before it.
///
/// # Errors
/// Fails if the store does not answer.
pub async fn load(cx: &Rc<Context>) -> Result<(), StoreError> {
    let asked_at = cx.now();
    let mut reads = cx.record_reader.reads.lock().await;
    let (client, last) = &mut *reads;
    if last.is_some_and(|began| began > asked_at) {
        return Ok(());
    }
    let now = cx.now();
    let client = client.get_or_insert_with(|| StoreClient::new(cx.clone(), "origins"));
    let rows = client.read(Table::Streams).await?;
    *last = Some(now);
    let mut streams: BTreeMap<StreamOrigin, Vec<(u64, Duration)>> = BTreeMap::new();
    let decoded = rows.rows.iter();
    let mut intended = BTreeSet::new();
    for row in decoded.filter_map(|row| decode(cx, row, rows.store_ms)) {
        intended.extend(&row.intended);
        let left = row.since_ms.saturating_sub(rows.store_ms);
        let until = retention_end(now, now + Duration::from_millis(left) + ROW_RETENTION);
        for (number, origin) in row.into_origins() {
            streams.entry(origin).or_default().push((number, until));
        }
    }
    streams
        .values_mut()
        .for_each(|numbers| numbers.sort_unstable());
    let count: usize = streams.values().map(Vec::len).sum();
    let fields = [("rows", rows.rows.len().into()), ("streams", count.into())];
    cx.log(EventCode::StreamsLoaded, fields);
    cx.record_reader.streams.replace(streams);
    cx.record_reader.intended.replace(intended);
    Ok(())
}

/// Removes rows whose records are no longer needed, also those of processes that have ended.
///
/// # Errors
/// Fails if the store does not answer.
pub async fn remove_outdated(cx: &Context, client: &mut StoreClient) -> Result<(), StoreError> {
    let rows = client.read(Table::Streams).await?;
    for row in &rows.rows {
        if decode(cx, row, rows.store_ms).is_some() {
            continue;
        }
        let write = RowWrite {
            table: Table::Streams,
            key: row.key.clone(),
            value: None,
            expected: Some(row.version),
        };
        client.write(&write).await?;
    }
    Ok(())
}

/// Decodes a row; returns `None` if its records are no longer needed or cannot be decoded.
fn decode(cx: &Context, row: &Row, store_ms: u64) -> Option<StreamsRow> {
    let value = row.value.as_ref()?;
    match ciborium::from_reader::<StreamsRow, _>(value.as_slice()) {
        Ok(decoded) => {
            let age = Duration::from_millis(store_ms.saturating_sub(decoded.since_ms));
            Some(decoded).filter(|_| age <= ROW_RETENTION)
        }
        Err(error) => {
            log_unreadable_row(cx, row, error.to_string());
            None
        }
    }
}
