//! Follows the store's tables and keeps beliefs up to date with them.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{Member, ServerState};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::freshness::{Change, Freshness};
use crate::node::Node;
use crate::state::State;
use crate::store::{StoreClient, StoreFault};
use crate::{EventCode, Feed, Row, RowWrite, Rows, Settings, Table};

/// Longest wait of an instance that watches a table for its zone.
///
/// Each answer proves that what the zone believes is the newest, so it must be well below the time
/// in which a withdrawn key stops working, and in which a leaving server gets no more work.
const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Instances of a zone that watch a table; the others hear from them.
const WATCHERS: usize = 2;

/// Age of a proof from which an instance watches by itself, whoever else should.
const PROOF_OVERDUE: Duration = Duration::from_millis(1500);

/// Further age for each place in the zone, so that not all step in at once.
const OVERDUE_A_RANK: Duration = Duration::from_millis(40);

/// Longest further age.
const MOST_RANK_DELAY: Duration = Duration::from_millis(600);

/// Pause after changes came, in which more of them gather.
const GATHER: Duration = Duration::from_millis(200);

/// Pause between two looks at whether this instance must watch.
const LOOK: Duration = Duration::from_millis(200);

/// First pause after a failed call; doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Pauses after a failed call are this much longer if others watch for the zone.
const NOT_WATCHING: u32 = 3;

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
    let mut feed = Follower {
        client: StoreClient::new(node.clone(), duty),
        node,
        table,
        version: None,
        pause: Pause::default(),
    };
    loop {
        feed.step().await;
    }
}

/// Follows one table.
struct Follower {
    node: Rc<Node>,
    client: StoreClient,
    table: Table,
    /// Version of the store up to which changes are known.
    version: Option<u64>,
    pause: Pause,
}

impl Follower {
    async fn step(&mut self) {
        let Some(after) = self.version else {
            let read = self.read().await;
            return self.settle(read).await;
        };
        let is_watching = self.must_watch();
        if is_watching || self.is_behind() {
            let wait = if is_watching {
                WATCH_WAIT
            } else {
                Duration::ZERO
            };
            let watched = self.watch(after, wait).await;
            return self.settle(watched).await;
        }
        let node = self.node.clone();
        tokio::select! {
            () = node.hinted.notified() => {}
            () = sleep(LOOK) => {}
        }
    }

    /// Pauses after a failure, and after changes so that more of them gather.
    async fn settle(&mut self, result: Result<bool, StoreFault>) {
        match result {
            Ok(has_changes) => {
                if self.version.is_some() {
                    self.pause = Pause::default();
                }
                if has_changes && self.table == Table::Servers {
                    sleep(GATHER).await;
                }
            }
            Err(_) => {
                let pause = self.pause.next(self.node.draw());
                let is_watcher = self.rank() < WATCHERS;
                sleep(if is_watcher {
                    pause
                } else {
                    pause * NOT_WATCHING
                })
                .await;
            }
        }
    }

    fn rank(&self) -> usize {
        self.node.state.borrow().members.rank(self.node.now())
    }

    /// Whether this instance watches for its zone, or nobody seems to.
    fn must_watch(&self) -> bool {
        let rank = self.rank();
        if rank < WATCHERS {
            return true;
        }
        let delay = (OVERDUE_A_RANK * rank as u32).min(MOST_RANK_DELAY);
        let state = self.node.state.borrow();
        let age = state.age(self.node.now(), self.freshness(&state));
        age.is_none_or(|age| age > PROOF_OVERDUE + delay)
    }

    /// Whether a peer knows newer rows.
    fn is_behind(&self) -> bool {
        let state = self.node.state.borrow();
        let hinted = match self.table {
            Table::Config => state.hinted.0,
            _ => state.hinted.1,
        };
        hinted > self.freshness(&state).row
    }

    /// Returns what is known when a call is sent.
    fn ask(&self) -> Asked {
        let state = self.node.state.borrow();
        Asked {
            at: self.node.now(),
            servers_row: state.hinted.1,
        }
    }

    fn freshness(&self, state: &State) -> Freshness {
        match self.table {
            Table::Config => state.config_fresh,
            _ => state.servers_fresh,
        }
    }

    async fn read(&mut self) -> Result<bool, StoreFault> {
        let asked = self.ask();
        let rows = self.client.read(self.table).await?;
        self.note_regained();
        remove_others(&self.node, self.table, &rows);
        self.version = Some(rows.version);
        self.apply(asked, &rows);
        Ok(true)
    }

    async fn watch(&mut self, after: u64, wait: Duration) -> Result<bool, StoreFault> {
        let asked = self.ask();
        let feed = self.client.watch(self.table, after, wait).await?;
        self.note_regained();
        match feed {
            Feed::TooOld => {
                self.version = None;
                sleep(self.pause.next(self.node.draw())).await;
                Ok(false)
            }
            Feed::Rows(rows) => {
                let has_changes = !rows.rows.is_empty();
                self.version = Some(rows.version.max(after));
                let from = self.freshness(&self.node.state.borrow()).row;
                self.apply(asked, &rows);
                self.pass_on(from, rows.rows);
                Ok(has_changes)
            }
        }
    }

    fn note_regained(&self) {
        if self.table == Table::Servers {
            self.node.state.borrow_mut().servers_regained = self.client.regained();
        }
    }

    fn apply(&self, asked: Asked, rows: &Rows) {
        let newest = rows.rows.iter().map(|row| row.version).max();
        for row in &rows.rows {
            match self.table {
                // What cannot be read may withdraw a key, so the older one is no longer proved.
                Table::Config if !apply_config(&self.node, row) => return,
                Table::Config => {}
                _ => apply_server(&self.node, row),
            }
        }
        let mut state = self.node.state.borrow_mut();
        state.store_clock.answered(asked.at, rows.store_ms);
        let (fresh, known) = match self.table {
            Table::Config => (&mut state.config_fresh, 0),
            // A row that a peer knew may have been removed; the answer holds what became of it.
            _ => (&mut state.servers_fresh, asked.servers_row),
        };
        fresh.row = fresh.row.max(newest.unwrap_or(0)).max(known);
        fresh.proved_ms = fresh.proved_ms.max(rows.store_ms);
    }

    /// Passes changes on to peers. Only a watch tells of rows that were removed, so what a read of
    /// the whole table gave is not passed on.
    fn pass_on(&self, from: u64, rows: Vec<Row>) {
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        if self.table == Table::Servers && state.members.rank(now) < WATCHERS {
            let to = state.servers_fresh.row;
            state.server_changes.put(now, Change { from, to, rows });
        }
    }
}

/// What was known when a call was sent.
#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Duration,
    /// Newest row of the servers that peers knew.
    servers_row: u64,
}

/// Registers this instance and reads who else is, until the store has answered both.
///
/// Of two instances that start together, the one that reads later sees the other.
pub async fn join(node: Rc<Node>) {
    register(node.clone()).await;
    let mut client = StoreClient::new(node.clone(), "instances");
    let mut pause = Pause::default();
    loop {
        match client.read(Table::Instances).await {
            Ok(rows) => {
                for row in &rows.rows {
                    apply_instance(&node, row);
                }
                return;
            }
            Err(_) => sleep(pause.next(node.draw())).await,
        }
    }
}

/// Registers this instance, until the store has taken it.
async fn register(node: Rc<Node>) {
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

/// Puts a configuration in force; false if it cannot be read.
fn apply_config(node: &Node, row: &Row) -> bool {
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
