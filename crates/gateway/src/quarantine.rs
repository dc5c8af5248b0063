//! Quarantine of prompt parts that crash backend servers; see `docs/design/poison-requests.md`.
//!
//! What is known is shared with peers, and kept in the store for instances that start.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use jacinthlever_routing::{
    Crash, CrashId, PartEvidence, PromptPart, QuarantinedParts, ServerEntry,
};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;
use tokio::time::sleep;

use crate::answer::Verdict;
use crate::backoff::Backoff;
use crate::context::Context;
use crate::state::State;
use crate::store::{StoreClient, StoreError};
use crate::table_updates::log_unreadable_row;
use crate::{EventCode, Row, RowWrite, Table};

/// Reason for refusing a request whose prompt has a quarantined part.
const QUARANTINED: &str = "a part of the prompt crashed the servers that answered it";

/// What an instance knows of a suspect part, in messages to other instances and in the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SharedPart {
    part: u64,
    /// Crashed servers, and how long ago the request was sent to each and it crashed, in
    /// milliseconds.
    crashes: Vec<(u64, u64, u64)>,
    /// How long ago a prompt with the part was answered, in milliseconds.
    answered_ms: Option<u64>,
}

impl SharedPart {
    fn new(evidence: &PartEvidence) -> Self {
        let ms = |age: Duration| age.as_millis() as u64;
        let crashes = evidence.crashes.iter();
        Self {
            part: evidence.part.0,
            crashes: crashes
                .map(|crash| (crash.id.0, ms(crash.sent), ms(crash.ended)))
                .collect(),
            answered_ms: evidence.answered.map(ms),
        }
    }

    /// Returns the evidence, if the message or row is `age` old.
    fn evidence(&self, age: Duration) -> PartEvidence {
        let total_age = |ms: u64| Duration::from_millis(ms) + age;
        let crashes = self.crashes.iter();
        PartEvidence {
            part: PromptPart(self.part),
            crashes: crashes
                .map(|(id, sent_ms, ended_ms)| Crash {
                    id: CrashId(*id),
                    sent: total_age(*sent_ms),
                    ended: total_age(*ended_ms),
                })
                .collect(),
            answered: self.answered_ms.map(total_age),
        }
    }
}

/// Row of [`Table::Quarantine`]; its key is the part.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct QuarantineRow {
    evidence: SharedPart,
    /// Time of the store's clock to which the ages refer, in milliseconds.
    stated_ms: u64,
}

/// Refuses a request whose prompt has quarantined parts.
///
/// # Errors
/// Returns the refusal.
pub fn check(cx: &Context, shared_parts: &[PromptPart]) -> Result<(), Verdict> {
    match cx.state.borrow().suspect_parts.is_quarantined(shared_parts) {
        true => Err(Verdict::reject(
            StatusCode::SERVICE_UNAVAILABLE,
            QUARANTINED,
        )),
        false => Ok(()),
    }
}

/// Records that a server crashed at `ended` before it had answered a prompt with these parts that was
/// sent to it at `sent`.
pub fn record_crash(
    cx: &Context,
    server: &ServerEntry,
    (sent, ended): (Duration, Duration),
    parts: &[PromptPart],
) {
    let mut hasher = blake3::Hasher::new();
    hasher.update(server.id.as_bytes());
    hasher.update(&server.started_ms.unwrap_or_default().to_le_bytes());
    let mut word = [0; 8];
    word.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    let crash = Crash {
        id: CrashId(u64::from_le_bytes(word)),
        sent,
        ended,
    };
    let now = cx.now();
    update(cx, "own", |state| {
        state.suspect_parts.record_crash(now, crash, parts)
    });
}

/// Records that a prompt with these parts was answered.
pub fn record_answer(cx: &Context, parts: &[PromptPart]) {
    let now = cx.now();
    update(cx, "own", |state| {
        state.suspect_parts.record_answer(now, parts)
    });
}

/// Merges what a peer knows.
pub fn merge(cx: &Context, parts: &[SharedPart]) {
    if parts.is_empty() {
        return;
    }
    let evidence: Vec<_> = parts.iter().map(|p| p.evidence(Duration::ZERO)).collect();
    let now = cx.now();
    update(cx, "peer", |state| {
        state.suspect_parts.merge(now, &evidence)
    });
}

/// Returns what was learned lately, for the messages to peers. Only the delegate of a zone repeats
/// what it has from others.
pub fn recent(state: &State, now: Duration) -> Vec<SharedPart> {
    let is_delegate = state.members.rank(now) == 0;
    let recent = state.suspect_parts.recent(now, !is_delegate);
    recent.iter().map(SharedPart::new).collect()
}

/// Forgets what is too old.
pub fn remove_expired(cx: &Context) {
    let now = cx.now();
    update(cx, "age", |state| {
        state.suspect_parts.remove_expired(now);
        false
    });
}

/// Changes what is known, logs what that changes in the quarantine, and sends it to peers at once if
/// `change` returns `true`.
fn update(cx: &Context, from: &'static str, change: impl FnOnce(&mut State) -> bool) {
    let mut state = cx.state.borrow_mut();
    let before = state.suspect_parts.quarantined().to_vec();
    let is_news = change(&mut state);
    let after = state.suspect_parts.quarantined();
    let has_changed = before != after;
    if has_changed {
        let is_listed = |sets: &[QuarantinedParts], set: &QuarantinedParts| {
            sets.iter().any(|s| s.parts == set.parts)
        };
        for set in after.iter().filter(|set| !is_listed(&before, set)) {
            log_change(cx, EventCode::PartsQuarantined, set, from);
        }
        for set in before.iter().filter(|set| !is_listed(after, set)) {
            log_change(cx, EventCode::PartsReleased, set, from);
        }
        cx.metrics.record_quarantined_parts(after.len());
        cx.quarantine_changed.notify_one();
    }
    // Peers of the zone hear of it from the instance that learned it; delegates pass it on.
    if is_news && (from == "own" || state.members.rank(cx.now()) == 0) {
        cx.urgent_news.notify_one();
    }
}

fn log_change(cx: &Context, code: EventCode, set: &QuarantinedParts, from: &'static str) {
    let parts: Vec<String> = set.parts.iter().map(ToString::to_string).collect();
    let fields = [
        ("parts", parts.into()),
        ("crashes", set.crashes.into()),
        ("from", from.into()),
    ];
    cx.log(code, fields);
}

/// Reads the quarantine from the store, and keeps the parts there under which this instance has seen
/// servers crash; runs until the process ends.
pub async fn run(cx: Rc<Context>) {
    let mut client = StoreClient::new(cx.clone(), "quarantine");
    let mut restored = cx.store_restored.subscribe();
    let mut backoff = Backoff::default();
    // Nothing was quarantined before the first start.
    while !cx.settings().is_first_start && load(&cx, &mut client).await.is_err() {
        sleep(backoff.next_delay(cx.random())).await;
    }
    let mut written = BTreeMap::new();
    loop {
        tokio::select! {
            () = cx.quarantine_changed.notified() => {}
            _ = restored.changed() => written.clear(),
        }
        let mut backoff = Backoff::default();
        while save(&cx, &mut client, &mut written).await.is_err() {
            sleep(backoff.next_delay(cx.random())).await;
        }
    }
}

async fn load(cx: &Context, client: &mut StoreClient) -> Result<(), StoreError> {
    let rows = client.read(Table::Quarantine).await?;
    for row in &rows.rows {
        let Some(evidence) = decode_row(cx, row, rows.store_ms) else {
            continue;
        };
        if evidence.is_expired() {
            // Another instance may have removed or replaced it meanwhile.
            let write = RowWrite {
                expected: Some(row.version),
                ..row_write(evidence.part, None)
            };
            client.write(&write).await?;
            continue;
        }
        let now = cx.now();
        update(cx, "store", |state| {
            state.suspect_parts.merge(now, &[evidence])
        });
    }
    Ok(())
}

fn decode_row(cx: &Context, row: &Row, store_ms: u64) -> Option<PartEvidence> {
    let value = row.value.as_ref()?;
    match serde_json::from_slice::<QuarantineRow>(value) {
        Ok(decoded) => {
            let age = Duration::from_millis(store_ms.saturating_sub(decoded.stated_ms));
            Some(decoded.evidence.evidence(age))
        }
        Err(error) => {
            log_unreadable_row(cx, row, error.to_string());
            None
        }
    }
}

/// Writes the rows that `written` lacks, and removes those of parts that were released. `written`
/// has the number of crashes in each row.
async fn save(
    cx: &Context,
    client: &mut StoreClient,
    written: &mut BTreeMap<PromptPart, usize>,
) -> Result<(), StoreError> {
    let now = cx.now();
    let (quarantined, stated_ms) = {
        let state = cx.state.borrow();
        let quarantined = state.suspect_parts.own_quarantined(now);
        (quarantined, state.store_clock.to_store(now))
    };
    for evidence in &quarantined {
        let crashes = evidence.crashes.len();
        let Some(stated_ms) = stated_ms.filter(|_| written.get(&evidence.part) != Some(&crashes))
        else {
            continue;
        };
        let row = QuarantineRow {
            evidence: SharedPart::new(evidence),
            stated_ms,
        };
        let value =
            serde_json::to_vec(&row).map_err(|error| StoreError::Unreadable(error.to_string()))?;
        client.write(&row_write(evidence.part, Some(value))).await?;
        written.insert(evidence.part, crashes);
    }
    let is_released = |part: &PromptPart| quarantined.iter().all(|e| e.part != *part);
    let released: Vec<_> = written.keys().copied().filter(is_released).collect();
    for part in released {
        client.write(&row_write(part, None)).await?;
        written.remove(&part);
    }
    Ok(())
}

fn row_write(part: PromptPart, value: Option<Vec<u8>>) -> RowWrite {
    RowWrite {
        table: Table::Quarantine,
        key: format_smolstr!("{part}"),
        value,
        expected: None,
    }
}
