//! Evacuations of availability zones; see `docs/design/evacuation-and-capacity.md`.
//!
//! The operator's table names them. Every instance sends all that it knows to its peers, so one that has lost
//! the store learns of an evacuation too.

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthlever_routing::EvacuationStatement;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::context::Context;
use crate::exchange::SendError;
use crate::state::State;
use crate::store_version;
use crate::{ConfigRow, EventCode, Row};

/// Maximum number of zones in one message; a fleet has a handful.
const MAX_SHARED: usize = 32;

/// `Retry-After` of requests that only evacuated servers could run.
pub const RETRY_AFTER_EVACUATED: Duration = Duration::from_secs(2);

/// Reason for refusing a request: all servers of its service are in evacuated zones.
pub const ALL_EVACUATED: &str = "all zones with servers of the service are evacuated";

/// The zone of the server has been evacuated since it was picked.
pub const EVACUATED: SendError = SendError::Unsent("zone of the server is evacuated");

/// What is known of the evacuation of a zone, in messages between instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SharedEvacuation {
    zone: SmolStr,
    /// Version of the row in the store, or of its removal.
    version: u64,
    is_active: bool,
}

/// Returns all that is known, for the messages to peers.
pub fn current(state: &State) -> Vec<SharedEvacuation> {
    let statements = state.pool.evacuations().statements().take(MAX_SHARED);
    statements
        .map(|(zone, statement)| SharedEvacuation {
            zone: zone.clone(),
            version: statement.version,
            is_active: statement.is_active,
        })
        .collect()
}

/// Merges what a peer knows. The delegate of a zone passes changes on at once.
pub fn merge(cx: &Context, evacuations: &[SharedEvacuation]) {
    let mut has_changed = false;
    for evacuation in evacuations {
        let statement = EvacuationStatement {
            version: evacuation.version,
            is_active: evacuation.is_active,
        };
        let statement = ended(&cx.state.borrow(), &evacuation.zone, statement).unwrap_or(statement);
        has_changed |= record(cx, &evacuation.zone, statement, "peer");
    }
    if has_changed && cx.state.borrow().members.rank(cx.now()) == 0 {
        cx.urgent_news.notify_one();
    }
}

/// Returns the end of an evacuation that a peer states and the operator's table no longer has: this instance's copy of the
/// table is complete beyond the statement and lacks it. `None` if that is not so.
fn ended(state: &State, zone: &str, statement: EvacuationStatement) -> Option<EvacuationStatement> {
    let position = state.config_freshness.position;
    let is_same_era = store_version::era(position) == store_version::era(statement.version);
    let is_known = state.pool.evacuations().is_evacuated(zone);
    let is_ended = statement.is_active && !is_known && is_same_era && statement.version <= position;
    is_ended.then_some(EvacuationStatement {
        version: position,
        is_active: false,
    })
}

/// Applies rows of the operator's table; returns whether an evacuation has begun or ended.
pub fn apply_rows(cx: &Context, rows: &[Row]) -> bool {
    let mut has_changed = false;
    for row in rows {
        if let ConfigRow::Evacuation(zone) = (cx.adapter.store.config_row)(&row.key) {
            let statement = EvacuationStatement {
                version: row.version,
                is_active: row.value.is_some(),
            };
            has_changed |= record(cx, &zone, statement, "store");
        }
    }
    if has_changed {
        cx.urgent_news.notify_one();
    }
    has_changed
}

/// Whether a complete read of the operator's table at `version` lacks evacuations that are in force.
pub fn has_missing(cx: &Context, rows: &[Row], version: u64) -> bool {
    !missing(cx, rows, version).is_empty()
}

/// Ends the evacuations that a complete read of the operator's table at `version` does not have.
pub fn revoke_missing(cx: &Context, rows: &[Row], version: u64) {
    for zone in missing(cx, rows, version) {
        let statement = EvacuationStatement {
            version,
            is_active: false,
        };
        record(cx, &zone, statement, "store");
    }
}

fn missing(cx: &Context, rows: &[Row], version: u64) -> Vec<SmolStr> {
    let kinds = rows
        .iter()
        .map(|row| (cx.adapter.store.config_row)(&row.key));
    let present: BTreeSet<SmolStr> = kinds
        .filter_map(|kind| match kind {
            ConfigRow::Evacuation(zone) => Some(zone),
            ConfigRow::Config | ConfigRow::Unknown => None,
        })
        .collect();
    let state = cx.state.borrow();
    state.pool.evacuations().missing(&present, version)
}

fn record(
    cx: &Context,
    zone: &SmolStr,
    statement: EvacuationStatement,
    from: &'static str,
) -> bool {
    let mut state = cx.state.borrow_mut();
    if !state.pool.merge_evacuation(zone, statement) {
        return false;
    }
    let servers = state.pool.iter().filter(|(_, s)| s.entry.zone == *zone);
    let servers = servers.count();
    cx.metrics
        .record_evacuated_zones(state.pool.evacuations().active_count());
    drop(state);
    let code = match statement.is_active {
        true => EventCode::ZoneEvacuated,
        false => EventCode::ZoneRestored,
    };
    let fields = [
        ("zone", zone.as_str().into()),
        ("row", statement.version.into()),
        ("servers", servers.into()),
        ("from", from.into()),
    ];
    cx.log(code, fields);
    // Generations that wait may be refused at once, or find engines again.
    cx.capacity_queue.notify_waiters();
    true
}
