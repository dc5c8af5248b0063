//! Follows the store's tables and keeps beliefs up to date with them.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{Member, ServerState};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::node::Node;
use crate::store::{StoreClient, StoreFault};
use crate::{EventCode, Feed, Row, RowWrite, Rows, Settings, Table};

/// Longest wait for a change of the configuration or of the servers.
///
/// Each answer proves that what this instance believes is the newest, so it must be well below the
/// time in which a withdrawn key stops working, and in which a leaving server gets no more work.
const PROVED_WAIT: Duration = Duration::from_millis(1500);

/// Longest wait for a change of the registered instances, whose datagrams tell more.
const INSTANCES_WAIT: Duration = Duration::from_secs(10);

/// First pause after a failed call; doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// How long after the store's return a registration that is gone may only have lapsed: the server
/// could not reach the store either.
const LAPSE_SUSPECTED: Duration = Duration::from_millis(700);

/// Registration of an instance, as it is kept in the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Registration {
    callers: SmolStr,
    peers: SmolStr,
    zone: SmolStr,
}

impl Registration {
    fn of(settings: &Settings) -> Self {
        let member = own_member(settings);
        Self {
            callers: member.callers,
            peers: member.peers,
            zone: member.zone,
        }
    }
}

/// Returns how this instance is registered.
pub fn own_member(settings: &Settings) -> Member {
    Member {
        callers: settings.listen.callers.to_string().into(),
        peers: settings.listen.peers.to_string().into(),
        zone: settings.zone.clone(),
    }
}

/// Follows a table for as long as the process runs.
pub async fn follow(node: Rc<Node>, table: Table, duty: &'static str) {
    let mut client = StoreClient::new(node.clone(), duty);
    let mut pause = Pause::default();
    let mut version = None;
    loop {
        let result = match version {
            None => read(&node, &mut client, table).await,
            Some(after) => watch(&node, &mut client, table, after).await,
        };
        match result {
            Ok(next) => {
                version = next;
                pause = Pause::default();
            }
            Err(_) => sleep(pause.next(node.draw())).await,
        }
    }
}

/// Registers this instance, until the store has taken it.
pub async fn register(node: Rc<Node>) {
    let mut client = StoreClient::new(node.clone(), "register");
    let mut pause = Pause::default();
    let settings = node.settings();
    let Ok(value) = serde_json::to_vec(&Registration::of(&settings)) else {
        return;
    };
    let write = RowWrite {
        table: Table::Instances,
        key: settings.instance.clone(),
        value: Some(value),
        expected: None,
    };
    while client.write(&write).await.is_err() {
        sleep(pause.next(node.draw())).await;
    }
}

/// Growing pauses between failed calls, spread so that instances do not call together.
#[derive(Default)]
struct Pause(Option<Duration>);

impl Pause {
    fn next(&mut self, draw: f64) -> Duration {
        let pause = self.0.map_or(FIRST_PAUSE, |p| (p * 2).min(MAX_PAUSE));
        self.0 = Some(pause);
        pause.mul_f64(0.5 + 0.5 * draw)
    }
}

async fn read(
    node: &Node,
    client: &mut StoreClient,
    table: Table,
) -> Result<Option<u64>, StoreFault> {
    let asked = node.now();
    let rows = client.read(table).await?;
    note_regained(node, table, client);
    let version = rows.version;
    remove_others(node, table, &rows);
    apply(node, table, asked, rows);
    Ok(Some(version))
}

async fn watch(
    node: &Node,
    client: &mut StoreClient,
    table: Table,
    after: u64,
) -> Result<Option<u64>, StoreFault> {
    let asked = node.now();
    let wait = match table {
        Table::Config | Table::Servers => PROVED_WAIT,
        Table::Instances | Table::Duties => INSTANCES_WAIT,
    };
    let feed = client.watch(table, after, wait).await?;
    note_regained(node, table, client);
    match feed {
        Feed::TooOld => Ok(None),
        Feed::Rows(rows) => {
            let version = rows.version.max(after);
            apply(node, table, asked, rows);
            Ok(Some(version))
        }
    }
}

fn note_regained(node: &Node, table: Table, client: &StoreClient) {
    if table == Table::Servers {
        node.state.borrow_mut().servers_regained = client.regained();
    }
}

fn apply(node: &Node, table: Table, asked: Duration, rows: Rows) {
    for row in rows.rows {
        match table {
            Table::Config => apply_config(node, &row),
            Table::Servers => apply_server(node, &row),
            Table::Instances => apply_instance(node, &row),
            Table::Duties => {}
        }
    }
    if table == Table::Config {
        let mut state = node.state.borrow_mut();
        state.config_proved = state.config_proved.max(Some(asked));
    }
}

fn remove_others(node: &Node, table: Table, rows: &Rows) {
    if table != Table::Servers {
        return;
    }
    let there: BTreeSet<&SmolStr> = rows.rows.iter().map(|r| &r.key).collect();
    let state = node.state.borrow();
    let known = state.pool.all().map(|(_, s)| s.entry.id.clone());
    let gone: Vec<SmolStr> = known.filter(|id| !there.contains(id)).collect();
    drop(state);
    for id in gone {
        server_gone(node, &id);
    }
}

fn unreadable(node: &Node, row: &Row, cause: String) {
    node.note(
        EventCode::RowUnreadable,
        [
            ("row", row.key.as_str().into()),
            ("version", row.version.into()),
            ("cause", cause.into()),
        ],
    );
}

fn apply_config(node: &Node, row: &Row) {
    let Some(value) = &row.value else { return };
    let config = match (node.adapter.store.config)(value) {
        Ok(config) => config,
        Err(error) => return unreadable(node, row, error.to_string()),
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
}

fn apply_server(node: &Node, row: &Row) {
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
            ("stage", format!("{:?}", entry.stage).into()),
            ("row", row.version.into()),
        ],
    );
    node.state.borrow_mut().pool.registered(entry);
    node.room.changed();
}

fn server_gone(node: &Node, id: &SmolStr) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let regained = state.servers_regained;
    let store_was_away = regained.is_some_and(|at| now < at + LAPSE_SUSPECTED);
    state.pool.unregistered(now, id, store_was_away);
    drop(state);
    let fields = [
        ("server", id.as_str().into()),
        ("lapsed", store_was_away.into()),
    ];
    node.note(EventCode::ServerGone, fields);
}

fn apply_instance(node: &Node, row: &Row) {
    if row.key == node.settings().instance {
        return;
    }
    let mut state = node.state.borrow_mut();
    let Some(value) = &row.value else {
        return state.members.left(&row.key);
    };
    match serde_json::from_slice::<Registration>(value) {
        Ok(registration) => {
            let member = Member {
                callers: registration.callers,
                peers: registration.peers,
                zone: registration.zone,
            };
            state
                .members
                .registered(node.now(), row.key.clone(), member);
        }
        Err(error) => {
            drop(state);
            unreadable(node, row, error.to_string());
        }
    }
}
