//! Keeps the list of the software versions of engines in the store, from which instances that start
//! know at which versions streams may have begun; see `docs/design/stream-versions.md`.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::Versions;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::context::Context;
use crate::store::{StoreClient, StoreError, WriteResult};
use crate::stream_records;
use crate::table_updates::log_unreadable_row;
use crate::{EventCode, Row, RowWrite, Table};

/// Interval at which the list is compared with the versions in use.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum delay of the first read when all instances start for the first time, so that the first one
/// to read has written the list before most others read it.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(1500);

/// Minimum time that the delegate of the fleet has to write a change before others do so.
const DELEGATE_LEAD: Duration = Duration::from_millis(150);

/// Random time added to [`DELEGATE_LEAD`].
const OTHERS_SPREAD: Duration = Duration::from_millis(450);

/// Row of [`Table::Versions`]; its key is the service.
#[derive(Debug, Deserialize, Serialize)]
struct VersionsRow {
    versions: BTreeSet<SmolStr>,
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
    let mut was_mixed = false;
    loop {
        let is_mixed = cx.state.borrow().pool.is_any_mixed();
        if is_mixed && !was_mixed {
            stream_records::record_earlier(&cx);
        }
        was_mixed = is_mixed;
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

/// Returns the lists that the store should have and does not.
fn changes(cx: &Context) -> Versions {
    cx.state.borrow().pool.note_changes(cx.now())
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
        let row = VersionsRow {
            versions: versions.clone(),
        };
        let value =
            serde_json::to_vec(&row).map_err(|error| StoreError::Unreadable(error.to_string()))?;
        let known = rows.iter().find(|row| row.key == service);
        let write = RowWrite {
            table: Table::Versions,
            key: service.clone(),
            value: Some(value),
            expected: Some(known.map_or(0, |row| row.version)),
        };
        match client.write(&write).await? {
            WriteResult::Done(row) => {
                record_written(cx, service, versions, row);
                if !cx.state.borrow().pool.is_any_mixed() {
                    stream_records::remove_outdated(cx, client).await?;
                }
            }
            WriteResult::Conflict => result = WriteResult::Conflict,
        }
    }
    Ok(result)
}

fn record_written(cx: &Rc<Context>, service: SmolStr, versions: BTreeSet<SmolStr>, row: u64) {
    let names: Vec<&str> = versions.iter().map(SmolStr::as_str).collect();
    cx.log(
        EventCode::VersionsListed,
        [
            ("service", service.as_str().into()),
            ("versions", names.into()),
            ("row", row.into()),
        ],
    );
    let mut state = cx.state.borrow_mut();
    if let Some(notes) = state.pool.notes_mut() {
        notes.set_stored_of(service, versions);
    }
}

async fn read(cx: &Context, client: &mut StoreClient) -> Result<Vec<Row>, StoreError> {
    let rows = client.read(Table::Versions).await?.rows;
    let lists = rows.iter().filter_map(|row| decode(cx, row)).collect();
    let mut state = cx.state.borrow_mut();
    if let Some(notes) = state.pool.notes_mut() {
        notes.set_stored(lists);
    }
    Ok(rows)
}

/// Decodes a row; one that cannot be decoded is written again with the versions in use.
fn decode(cx: &Context, row: &Row) -> Option<(SmolStr, BTreeSet<SmolStr>)> {
    match serde_json::from_slice::<VersionsRow>(row.value.as_ref()?) {
        Ok(decoded) => Some((row.key.clone(), decoded.versions)),
        Err(error) => {
            log_unreadable_row(cx, row, error.to_string());
            None
        }
    }
}
