//! What rows of the store change in what this instance believes.

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthlever_routing::ServerState;
use smol_str::SmolStr;

use crate::context::Context;
use crate::freshness::TableChange;
use crate::{EventCode, Row, Rows, Table};

/// How long after the store's return a registration that is gone may only have lapsed: the server
/// could not reach the store either.
const LAPSE_SUSPECTED: Duration = Duration::from_millis(700);

/// Takes in changes that a peer has read from the store, if none before them is missing here.
pub fn apply_peer_changes(cx: &Context, changes: Vec<TableChange>) {
    for change in changes {
        let known = cx.state.borrow().servers_freshness.row;
        if known < change.from || known >= change.to {
            continue;
        }
        for row in change.rows.iter().filter(|row| row.version > known) {
            apply_server(cx, row);
        }
        cx.state.borrow_mut().servers_freshness.row = change.to;
    }
}

/// Removes servers that a read of the whole table does not name.
pub fn remove_missing_servers(cx: &Context, table: Table, rows: &Rows) {
    if table != Table::Servers {
        return;
    }
    let there: BTreeSet<&SmolStr> = rows.rows.iter().map(|r| &r.key).collect();
    let state = cx.state.borrow();
    let known = state.pool.iter().map(|(_, s)| s.entry.id.clone());
    let gone: Vec<SmolStr> = known.filter(|id| !there.contains(id)).collect();
    drop(state);
    for id in gone {
        server_gone(cx, &id);
    }
}

/// Logs a row that cannot be decoded.
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

/// Puts a configuration in force; false if it cannot be read.
pub fn apply_config(cx: &Context, row: &Row) -> bool {
    let Some(value) = &row.value else {
        return false;
    };
    let config = match (cx.adapter.store.config)(value) {
        Ok(config) => config,
        Err(error) => {
            log_unreadable_row(cx, row, error.to_string());
            return false;
        }
    };
    let number = config.version;
    let applied = cx.state.borrow_mut().apply(cx.now(), row.version, config);
    if applied {
        let fields = [("version", number.into()), ("row", row.version.into())];
        cx.log(EventCode::ConfigApplied, fields);
    }
    true
}

/// Takes in a registration of a backend server, or that it is gone.
pub fn apply_server(cx: &Context, row: &Row) {
    let Some(value) = &row.value else {
        return server_gone(cx, &row.key);
    };
    let entry = match (cx.adapter.store.server)(&row.key, value) {
        Ok(entry) => entry,
        Err(error) => {
            log_unreadable_row(cx, row, error.to_string());
            return server_gone(cx, &row.key);
        }
    };
    let is_draining = entry.state == ServerState::Draining;
    cx.log(
        EventCode::ServerChanged,
        [
            ("server", entry.id.as_str().into()),
            ("service", entry.service.as_str().into()),
            ("draining", is_draining.into()),
            ("stage", format!("{:?}", entry.role).into()),
            ("row", row.version.into()),
        ],
    );
    cx.state.borrow_mut().pool.register(entry);
    cx.capacity_queue.notify_waiters();
}

fn server_gone(cx: &Context, id: &SmolStr) {
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    let recovered_at = state.servers_recovered_at;
    let store_was_away = recovered_at.is_some_and(|at| now < at + LAPSE_SUSPECTED);
    state.pool.unregister(now, id, store_was_away);
    drop(state);
    let fields = [
        ("server", id.as_str().into()),
        ("lapsed", store_was_away.into()),
    ];
    cx.log(EventCode::ServerGone, fields);
}
