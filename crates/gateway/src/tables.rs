//! What rows of the store change in what this instance believes.

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthlever_routing::ServerState;
use smol_str::SmolStr;

use crate::freshness::Change;
use crate::node::Node;
use crate::{EventCode, Row, Rows, Table};

/// How long after the store's return a registration that is gone may only have lapsed: the server
/// could not reach the store either.
const LAPSE_SUSPECTED: Duration = Duration::from_millis(700);

/// Takes in changes that a peer has read from the store, if none before them is missing here.
pub fn apply_passed_on(node: &Node, changes: Vec<Change>) {
    for change in changes {
        let known = node.state.borrow().servers_fresh.row;
        if known < change.from || known >= change.to {
            continue;
        }
        for row in change.rows.iter().filter(|row| row.version > known) {
            apply_server(node, row);
        }
        node.state.borrow_mut().servers_fresh.row = change.to;
    }
}

/// Removes servers that a read of the whole table does not name.
pub fn remove_others(node: &Node, table: Table, rows: &Rows) {
    if table != Table::Servers {
        return;
    }
    let there: BTreeSet<&SmolStr> = rows.rows.iter().map(|r| &r.key).collect();
    let state = node.state.borrow();
    let known = state.pool.iter().map(|(_, s)| s.entry.id.clone());
    let gone: Vec<SmolStr> = known.filter(|id| !there.contains(id)).collect();
    drop(state);
    for id in gone {
        server_gone(node, &id);
    }
}

/// Logs a row that cannot be decoded.
pub fn unreadable(node: &Node, row: &Row, cause: String) {
    node.note(
        EventCode::RowUnreadable,
        [
            ("row", row.key.as_str().into()),
            ("version", row.version.into()),
            ("cause", cause.into()),
        ],
    );
}

/// Puts a configuration in force; false if it cannot be read.
pub fn apply_config(node: &Node, row: &Row) -> bool {
    let Some(value) = &row.value else {
        return false;
    };
    let config = match (node.adapter.store.config)(value) {
        Ok(config) => config,
        Err(error) => {
            unreadable(node, row, error.to_string());
            return false;
        }
    };
    let number = config.version;
    let applied = node
        .state
        .borrow_mut()
        .apply(node.now(), row.version, config);
    if applied {
        let fields = [("version", number.into()), ("row", row.version.into())];
        node.note(EventCode::ConfigApplied, fields);
    }
    true
}

/// Takes in a registration of a backend server, or that it is gone.
pub fn apply_server(node: &Node, row: &Row) {
    let Some(value) = &row.value else {
        return server_gone(node, &row.key);
    };
    let entry = match (node.adapter.store.server)(&row.key, value) {
        Ok(entry) => entry,
        Err(error) => {
            unreadable(node, row, error.to_string());
            return server_gone(node, &row.key);
        }
    };
    let is_draining = entry.state == ServerState::Draining;
    node.note(
        EventCode::ServerChanged,
        [
            ("server", entry.id.as_str().into()),
            ("service", entry.service.as_str().into()),
            ("draining", is_draining.into()),
            ("stage", format!("{:?}", entry.role).into()),
            ("row", row.version.into()),
        ],
    );
    node.state.borrow_mut().pool.register(entry);
    node.room.changed();
}

fn server_gone(node: &Node, id: &SmolStr) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let regained = state.servers_regained;
    let store_was_away = regained.is_some_and(|at| now < at + LAPSE_SUSPECTED);
    state.pool.unregister(now, id, store_was_away);
    drop(state);
    let fields = [
        ("server", id.as_str().into()),
        ("lapsed", store_was_away.into()),
    ];
    node.note(EventCode::ServerGone, fields);
}
