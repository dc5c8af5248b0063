//! Keeps the list of the software versions of engines in the store, from which instances that start
//! know at which versions streams may have begun; see `docs/design/stream-versions.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{
    Listed, MIN_STREAM_RETENTION, Route, Versions, retention_end, time_left_ms,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::context::Context;
use crate::route_splits::{self, KnownSplits};
use crate::store::{StoreClient, StoreError, WriteResult};
use crate::stream_records;
use crate::table_updates::log_unreadable_row;
use crate::{EventCode, Row, RowWrite, Table};

/// Interval at which the list is compared with the versions in use.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum delay of the first read when all instances start for the first time, so that the first one
/// to read has written the list before most others read it.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(1500);

/// Interval at which records that are no longer needed are removed while others are written.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(120);

/// Minimum time that the delegate of the fleet has to write a change before others do so.
const DELEGATE_LEAD: Duration = Duration::from_millis(150);

/// Random time added to [`DELEGATE_LEAD`].
const OTHERS_SPREAD: Duration = Duration::from_millis(450);

/// Row of [`Table::Versions`]; its key is the service, or [`jacinthlever_routing::ROUTE_SPLITS`].
#[derive(Debug, Deserialize, Serialize)]
struct VersionsRow {
    /// Versions at which streams may have begun that the store has no record of.
    versions: BTreeSet<SmolStr>,
    /// Versions whose streams are recorded before callers receive their first event. Builds up to dbdb84d do not read
    /// it, and add them to `versions`.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    ahead: BTreeSet<SmolStr>,
    /// Until when callers may take up streams of a version, by the store's clock in milliseconds, where they wait
    /// for longer than streams are remembered anyway. Builds up to 57e2313 neither read nor write it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    until_ms: BTreeMap<SmolStr, u64>,
}

impl VersionsRow {
    fn new(list: &Listed, ahead: &BTreeSet<SmolStr>) -> Self {
        let awaited = list.iter().filter(|(_, until_ms)| **until_ms > 0);
        let unrecorded = list.keys().filter(|name| !ahead.contains(*name));
        Self {
            versions: unrecorded.cloned().collect(),
            ahead: ahead.clone(),
            until_ms: awaited.map(|(name, ms)| (name.clone(), *ms)).collect(),
        }
    }

    fn into_list(self) -> Listed {
        let versions = self.versions.into_iter().chain(self.ahead);
        let with_time = versions.map(|name| {
            let until_ms = self.until_ms.get(&name).copied();
            (name, until_ms.unwrap_or_default())
        });
        with_time.collect()
    }
}

/// Reader of the list for streams of which no instance knows.
#[derive(Default)]
pub struct ListReader {
    /// The client, and when the last successful read began.
    reads: Mutex<(Option<StoreClient>, Option<Duration>)>,
}

/// Reads the list again, since engines of a version that this instance does not know may have joined:
/// it may have been cut off from its peers, or its process may have stood still. No stream has begun by
/// now at a version that the list lacks. Calls that arrive during a read share the next one.
///
/// # Errors
/// Fails if the store does not answer.
pub async fn confirm(cx: &Rc<Context>) -> Result<(), StoreError> {
    let asked_at = cx.now();
    let mut reads = cx.version_list.reads.lock().await;
    let (client, last) = &mut *reads;
    if last.is_some_and(|began| began > asked_at) {
        return Ok(());
    }
    let began = cx.now();
    let client = client.get_or_insert_with(|| StoreClient::new(cx.clone(), "origins"));
    read(cx, client).await?;
    *last = Some(began);
    Ok(())
}

/// Keeps the list in the store up to date; runs until the process ends.
pub async fn run(cx: Rc<Context>) {
    let mut client = StoreClient::new(cx.clone(), "versions");
    let mut restored = cx.store_restored.subscribe();
    if cx.settings().is_first_start {
        sleep(FIRST_READ_SPREAD.mul_f64(cx.random())).await;
    }
    let mut backoff = Backoff::default();
    while read(&cx, &mut client).await.is_err() {
        sleep(backoff.next_delay(cx.random())).await;
    }
    let mut recorded = BTreeSet::new();
    let mut remove_outdated_at = None;
    loop {
        plan_for_routes(&cx);
        let (now, store_ms) = (cx.now(), store_ms(&cx));
        cx.state.borrow_mut().pool.forget_versions(now, store_ms);
        let to_record = services_to_record(&cx);
        let others: BTreeSet<_> = to_record.difference(&recorded).cloned().collect();
        if !others.is_empty() {
            stream_records::record_earlier(&cx, &others);
        }
        recorded = to_record;
        remove_outdated_at.get_or_insert(now + REMOVAL_INTERVAL);
        if remove_outdated_at.is_some_and(|at| now >= at) {
            remove_outdated_at = None;
            remove_outdated_records(&cx, &mut client, !recorded.is_empty()).await;
        }
        let must_read = restored.has_changed().unwrap_or(false);
        restored.mark_unchanged();
        if must_read || !changes(&cx).is_empty() {
            update(&cx, &mut client).await;
        }
        tokio::select! {
            () = cx.engine_versions_changed.notified() => {}
            () = sleep(CHECK_INTERVAL) => {}
            _ = restored.changed() => restored.mark_changed(),
        }
    }
}

/// Returns the services whose streams are recorded in the store.
fn services_to_record(cx: &Context) -> BTreeSet<SmolStr> {
    let state = cx.state.borrow();
    let mut services = state.pool.mixed_services();
    let routes = state.config.iter().flat_map(|config| &config.routes);
    for route in routes.filter(|route| route_splits::has_resumable_streams(route)) {
        if let Some(splits) = KnownSplits::of(&state.pool, route)
            && stream_records::are_services_recorded(&splits, route)
        {
            services.extend(splits.services(route, None));
        }
    }
    services
}

/// Removes records that are no longer needed while others are written, by the delegate of the fleet.
async fn remove_outdated_records(cx: &Context, client: &mut StoreClient, has_others: bool) {
    let is_remover = cx.state.borrow().members.is_fleet_delegate(cx.now());
    if !has_others || !is_remover {
        return;
    }
    if let Err(error) = stream_records::remove_outdated(cx, client).await {
        log::debug!("outdated records of streams not removed, next try in a while: {error}");
    }
}

/// Returns the lists that the store should have and does not.
fn changes(cx: &Context) -> Versions {
    let store_ms = store_ms(cx);
    cx.state.borrow().pool.note_changes(cx.now(), store_ms)
}

/// Returns the time of the store's clock, 0 before its first answer: nothing is forgotten by then.
fn store_ms(cx: &Context) -> u64 {
    let clock = cx.state.borrow().store_clock;
    clock.to_store(cx.now()).unwrap_or_default()
}

/// Has the store list versions for as long as callers may take up streams that begin now on routes with long
/// time limits, so that their streams need not wait for it.
fn plan_for_routes(cx: &Context) {
    let config = cx.state.borrow().config.clone();
    let routes = config.iter().flat_map(|config| &config.routes);
    let routes = routes.filter(|route| route_splits::has_resumable_streams(route));
    for route in routes {
        for destination in &route.destinations {
            await_callers(cx, route, &destination.service, cx.now() + route.timeout);
        }
    }
}

/// Has the store list the versions of a service, and the split of the route, for as long as a caller may take up a
/// stream that begins now, and returns whether it lists the versions. The caller waits until `waits_until`.
pub fn await_callers(cx: &Context, route: &Route, service: &str, waits_until: Duration) -> bool {
    let now = cx.now();
    let until = retention_end(now, waits_until);
    let mut state = cx.state.borrow_mut();
    if until <= now + MIN_STREAM_RETENTION {
        return true;
    }
    let Some(until_ms) = state.store_clock.to_store(until) else {
        return false;
    };
    let wait_ms = time_left_ms(until - now);
    let split = route_splits::in_force(route);
    state.pool.await_callers(service, &split, until_ms, wait_ms);
    state.pool.is_listed_until(service, until_ms)
}

/// Reads the list, and writes what it lacks. The delegate of the fleet does so at once, the others only
/// if it has not, which they see when they read the list.
async fn update(cx: &Rc<Context>, client: &mut StoreClient) {
    if !cx.state.borrow().members.is_fleet_delegate(cx.now()) {
        sleep(DELEGATE_LEAD + OTHERS_SPREAD.mul_f64(cx.random())).await;
    }
    let mut backoff = Backoff::default();
    loop {
        match try_update(cx, client).await {
            Ok(WriteResult::Done(_)) => break,
            // Another instance was faster; its list is read.
            Ok(WriteResult::Conflict) => {}
            Err(error) => {
                log::debug!("versions of engines not listed, next try in a moment: {error}");
            }
        }
        sleep(backoff.next_delay(cx.random())).await;
    }
    cx.capacity_queue.notify_waiters();
}

async fn try_update(cx: &Rc<Context>, client: &mut StoreClient) -> Result<WriteResult, StoreError> {
    let rows = read(cx, client).await?;
    let mut result = WriteResult::Done(0);
    for (service, versions) in changes(cx) {
        let ahead = {
            let mut state = cx.state.borrow_mut();
            let notes = state.pool.notes_mut();
            notes.map_or_else(BTreeSet::new, |notes| notes.ahead_in(&service, &versions))
        };
        let value = serde_json::to_vec(&VersionsRow::new(&versions, &ahead))
            .map_err(|error| StoreError::Unreadable(error.to_string()))?;
        let known = rows.iter().find(|row| row.key == service);
        let write = RowWrite {
            table: Table::Versions,
            key: service.clone(),
            value: Some(value),
            expected: Some(known.map_or(0, |row| row.version)),
        };
        match client.write(&write).await? {
            WriteResult::Done(row) => {
                record_written(cx, service, (versions, ahead), row);
                if !cx.state.borrow().pool.is_any_mixed() {
                    stream_records::remove_outdated(cx, client).await?;
                }
            }
            WriteResult::Conflict => result = WriteResult::Conflict,
        }
    }
    Ok(result)
}

fn record_written(
    cx: &Rc<Context>,
    service: SmolStr,
    (versions, ahead): (Listed, BTreeSet<SmolStr>),
    row: u64,
) {
    let names: Vec<&str> = versions.keys().map(SmolStr::as_str).collect();
    cx.log(
        EventCode::VersionsListed,
        [
            ("service", service.as_str().into()),
            ("versions", names.into()),
            (
                "recorded_ahead",
                ahead.iter().map(SmolStr::as_str).collect::<Vec<_>>().into(),
            ),
            ("row", row.into()),
        ],
    );
    let mut state = cx.state.borrow_mut();
    if let Some(notes) = state.pool.notes_mut() {
        notes.set_ahead(service.clone(), ahead);
        notes.set_stored_of(service, versions);
    }
}

async fn read(cx: &Context, client: &mut StoreClient) -> Result<Vec<Row>, StoreError> {
    let rows = client.read(Table::Versions).await?.rows;
    let decoded: Vec<_> = rows.iter().filter_map(|row| decode(cx, row)).collect();
    let mut state = cx.state.borrow_mut();
    if let Some(notes) = state.pool.notes_mut() {
        let mut lists = Versions::new();
        for (subject, row) in decoded {
            notes.set_ahead(subject.clone(), row.ahead.clone());
            lists.insert(subject, row.into_list());
        }
        notes.set_stored(lists);
    }
    Ok(rows)
}

/// Decodes a row; one that cannot be decoded is written again with the versions in use.
fn decode(cx: &Context, row: &Row) -> Option<(SmolStr, VersionsRow)> {
    match serde_json::from_slice::<VersionsRow>(row.value.as_ref()?) {
        Ok(decoded) => Some((row.key.clone(), decoded)),
        Err(error) => {
            log_unreadable_row(cx, row, error.to_string());
            None
        }
    }
}
