//! Applies rows of the store to the state of this instance.

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthlever_routing::ServerState;
use smol_str::SmolStr;

use crate::cold_servers;
use crate::context::Context;
use crate::freshness::TableChange;
use crate::{EventCode, Row, Rows};

/// Time after the store's recovery during which a removed registration may merely have expired: the
/// server could not reach the store to renew it.
const EXPIRY_SUSPECTED_PERIOD: Duration = Duration::from_millis(700);

/// Applies changes that a peer has read from the store. Changes that would leave a gap are skipped; they only
/// show that newer rows exist.
pub fn apply_peer_changes(cx: &Context, changes: &[TableChange]) {
    for change in changes {
        let freshness = cx.state.borrow().servers_freshness;
        let precedes = |span| freshness.precedes(span, change.to);
        if !change.span.as_ref().is_some_and(precedes) {
            let mut state = cx.state.borrow_mut();
            state.newest_peer_rows.1 = state.newest_peer_rows.1.max(change.to);
            continue;
        }
        let position = freshness.position;
        for row in change.rows.iter().filter(|row| row.version > position) {
            apply_server(cx, row);
        }
        let freshness = &mut cx.state.borrow_mut().servers_freshness;
        freshness.record_change(change.to);
        freshness.row = freshness.row.max(change.to);
    }
}

/// Removes servers that are missing from a read of the complete table, and returns the rows of their removal, with the
/// version of the read.
pub fn remove_missing_servers(cx: &Context, rows: &Rows) -> Vec<Row> {
    let present: BTreeSet<&SmolStr> = rows.rows.iter().map(|r| &r.key).collect();
    let state = cx.state.borrow();
    let known = state.pool.iter().map(|(_, s)| s.entry.id.clone());
    let missing: Vec<SmolStr> = known.filter(|id| !present.contains(id)).collect();
    drop(state);
    let removals = missing.into_iter().map(|id| {
        remove_server(cx, &id);
        Row {
            key: id,
            value: None,
            version: rows.version,
        }
    });
    removals.collect()
}

/// Logs that a row cannot be decoded.
pub fn log_unreadable_row(cx: &Context, row: &Row, cause: String) {
    cx.log(
        EventCode::RowUnreadable,
        [
            ("row", row.key.as_str().into()),
            ("version", row.version.into()),
            ("cause", cause.into()),
        ],
    );
}

/// What a row of the configuration is to the one in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigUpdate {
    /// It is the one in force, or has replaced it.
    Current,
    /// It is older, as after the store has come back from a copy.
    Older,
    /// It cannot be decoded.
    Unreadable,
}

/// Puts the configuration in a row in force, unless that would replace a newer one.
pub fn apply_config(cx: &Context, row: &Row) -> ConfigUpdate {
    let Some(value) = &row.value else {
        return ConfigUpdate::Unreadable;
    };
    let config = match (cx.adapter.store.config)(value) {
        Ok(config) => config,
        Err(error) => {
            log_unreadable_row(cx, row, error.to_string());
            return ConfigUpdate::Unreadable;
        }
    };
    let number = config.version;
    let in_force = cx.state.borrow().config.as_ref().map(|c| c.version);
    if in_force.is_some_and(|in_force| number < in_force) {
        let fields = [("version", number.into()), ("in_force", in_force.into())];
        cx.log(EventCode::ConfigOlder, fields);
        return ConfigUpdate::Older;
    }
    let applied = cx.state.borrow_mut().apply(cx.now(), row.version, config);
    if applied {
        cx.engine_versions_changed.notify_one();
        let fields = [
            ("version", number.into()),
            ("row", row.version.into()),
            ("bytes", value.len().into()),
        ];
        cx.log(EventCode::ConfigApplied, fields);
    }
    ConfigUpdate::Current
}

/// Applies a registration of a backend server, or its removal. A row that cannot be decoded counts
/// as a removal.
pub fn apply_server(cx: &Context, row: &Row) {
    let Some(value) = &row.value else {
        return remove_server(cx, &row.key);
    };
    let entry = match (cx.adapter.store.server)(&row.key, value) {
        Ok(entry) => entry,
        Err(error) => {
            log_unreadable_row(cx, row, error.to_string());
            return remove_server(cx, &row.key);
        }
    };
    let is_draining = entry.state == ServerState::Draining;
    cx.log(
        EventCode::ServerChanged,
        [
            ("server", entry.id.as_str().into()),
            ("service", entry.service.as_str().into()),
            ("version", entry.version.as_str().into()),
            ("draining", is_draining.into()),
            ("stage", format!("{:?}", entry.role).into()),
            ("row", row.version.into()),
        ],
    );
    let server = cx.state.borrow_mut().pool.register(entry);
    cold_servers::record_registration(cx, server, row.version);
    cx.engine_versions_changed.notify_one();
    cx.capacity_queue.notify_waiters();
}

/// Applies a registration from the first read after the store has come back from a copy. One that had
/// been removed before is ignored: its server may have left since the copy was made.
pub fn apply_restored_server(cx: &Context, row: &Row) {
    let entry = row
        .value
        .as_ref()
        .map(|value| (cx.adapter.store.server)(&row.key, value));
    if let Some(Ok(entry)) = entry
        && cx.state.borrow().pool.was_removed(cx.now(), &entry)
    {
        return;
    }
    apply_server(cx, row);
}

fn remove_server(cx: &Context, id: &SmolStr) {
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    let recovered_at = state.servers_recovered_at;
    let may_have_expired = recovered_at.is_some_and(|at| now < at + EXPIRY_SUSPECTED_PERIOD);
    state.pool.unregister(now, id, may_have_expired);
    drop(state);
    let fields = [
        ("server", id.as_str().into()),
        ("lapsed", may_have_expired.into()),
    ];
    cx.log(EventCode::ServerGone, fields);
}
