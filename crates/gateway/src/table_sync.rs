//! Follows the store's tables and keeps beliefs up to date with them.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::context::Context;
use crate::freshness::{Freshness, TableChange};
use crate::state::State;
use crate::store::{StoreClient, StoreError};
use crate::table_updates::{apply_config, apply_server, remove_missing_servers};
use crate::{Row, Rows, Table, WatchResult};

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

/// Age of a proof from which the store is asked to answer at once: a call that waits for changes
/// proves nothing before it ends.
const PROOF_OLD: Duration = Duration::from_millis(500);

/// Time in which a peer that has read newer rows of the servers passes them on; they are read from
/// the store after that.
const PASSED_ON_WITHIN: Duration = Duration::from_millis(350);

/// Pauses after a failed call are this much longer if others watch for the zone.
const NOT_WATCHING: u32 = 3;

/// Follows a table for as long as the process runs.
pub async fn run(cx: Rc<Context>, table: Table, duty: &'static str) {
    let mut feed = Follower {
        client: StoreClient::new(cx.clone(), duty),
        cx,
        table,
        version: None,
        behind_since: None,
        pause: Backoff::default(),
    };
    loop {
        feed.step().await;
    }
}

/// Follows one table.
struct Follower {
    cx: Rc<Context>,
    client: StoreClient,
    table: Table,
    /// Version of the store up to which changes are known.
    version: Option<u64>,
    /// When a peer was first known to have newer rows.
    behind_since: Option<Duration>,
    pause: Backoff,
}

impl Follower {
    async fn step(&mut self) {
        let Some(after) = self.version else {
            let read = self.read().await;
            return self.settle(read).await;
        };
        let is_watching = self.must_watch();
        if is_watching || self.must_catch_up() {
            let wait = if is_watching && !self.is_proof_old() {
                WATCH_WAIT
            } else {
                Duration::ZERO
            };
            self.behind_since = None;
            let watched = self.watch(after, wait).await;
            return self.settle(watched).await;
        }
        let cx = self.cx.clone();
        tokio::select! {
            () = cx.peer_rows_changed.notified() => {}
            () = sleep(LOOK) => {}
        }
    }

    /// Pauses after a failure, and after changes so that more of them gather.
    async fn settle(&mut self, result: Result<bool, StoreError>) {
        match result {
            Ok(has_changes) => {
                if self.version.is_some() {
                    self.pause = Backoff::default();
                }
                if has_changes && self.table == Table::Servers {
                    sleep(GATHER).await;
                }
            }
            Err(_) => {
                let pause = self.pause.next_delay(self.cx.random());
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
        self.cx.state.borrow().members.rank(self.cx.now())
    }

    /// Whether this instance watches for its zone, or nobody seems to.
    fn must_watch(&self) -> bool {
        let rank = self.rank();
        if rank < WATCHERS {
            return true;
        }
        let delay = (OVERDUE_A_RANK * rank as u32).min(MOST_RANK_DELAY);
        let state = self.cx.state.borrow();
        let age = state.verification_age(self.cx.now(), self.freshness(&state));
        age.is_none_or(|age| age > PROOF_OVERDUE + delay)
    }

    /// Whether nobody has proved of late that what is believed is the newest.
    fn is_proof_old(&self) -> bool {
        let state = self.cx.state.borrow();
        let age = state.verification_age(self.cx.now(), self.freshness(&state));
        age.is_none_or(|age| age > PROOF_OLD)
    }

    /// Whether newer rows must be read from the store, as no peer passes them on.
    fn must_catch_up(&mut self) -> bool {
        if !self.is_behind() {
            self.behind_since = None;
            return false;
        }
        let now = self.cx.now();
        let since = *self.behind_since.get_or_insert(now);
        // Configurations are not passed on.
        self.table == Table::Config || now >= since + PASSED_ON_WITHIN
    }

    /// Whether a peer knows newer rows.
    fn is_behind(&self) -> bool {
        let state = self.cx.state.borrow();
        let hinted = match self.table {
            Table::Config => state.newest_peer_rows.0,
            _ => state.newest_peer_rows.1,
        };
        hinted > self.freshness(&state).row
    }

    /// Returns what is known when a call is sent.
    fn ask(&self) -> Asked {
        let state = self.cx.state.borrow();
        Asked {
            at: self.cx.now(),
            servers_row: state.newest_peer_rows.1,
        }
    }

    fn freshness(&self, state: &State) -> Freshness {
        match self.table {
            Table::Config => state.config_freshness,
            _ => state.servers_freshness,
        }
    }

    async fn read(&mut self) -> Result<bool, StoreError> {
        let asked = self.ask();
        let rows = self.client.read(self.table).await?;
        self.note_regained();
        remove_missing_servers(&self.cx, self.table, &rows);
        self.version = Some(rows.version);
        self.apply(asked, &rows);
        Ok(true)
    }

    async fn watch(&mut self, after: u64, wait: Duration) -> Result<bool, StoreError> {
        let asked = self.ask();
        let feed = self.client.watch(self.table, after, wait).await?;
        self.note_regained();
        match feed {
            WatchResult::Compacted => {
                self.version = None;
                sleep(self.pause.next_delay(self.cx.random())).await;
                Ok(false)
            }
            WatchResult::Rows(rows) => {
                let has_changes = !rows.rows.is_empty();
                self.version = Some(rows.version.max(after));
                let from = self.freshness(&self.cx.state.borrow()).row;
                self.apply(asked, &rows);
                self.pass_on(from, rows.rows);
                Ok(has_changes)
            }
        }
    }

    fn note_regained(&self) {
        if self.table == Table::Servers {
            self.cx.state.borrow_mut().servers_recovered_at = self.client.recovered_at();
        }
    }

    fn apply(&self, asked: Asked, rows: &Rows) {
        let newest = rows.rows.iter().map(|row| row.version).max();
        for row in &rows.rows {
            match self.table {
                // What cannot be read may withdraw a key, so the older one is no longer proved.
                Table::Config if !apply_config(&self.cx, row) => return,
                Table::Config => {}
                _ => apply_server(&self.cx, row),
            }
        }
        let mut state = self.cx.state.borrow_mut();
        state.store_clock.observe(asked.at, rows.store_ms);
        let (fresh, known) = match self.table {
            Table::Config => (&mut state.config_freshness, 0),
            // A row that a peer knew may have been removed; the answer holds what became of it.
            _ => (&mut state.servers_freshness, asked.servers_row),
        };
        fresh.row = fresh.row.max(newest.unwrap_or(0)).max(known);
        fresh.verified_ms = fresh.verified_ms.max(rows.store_ms);
    }

    /// Passes changes on to peers. Only a watch tells of rows that were removed, so what a read of
    /// the whole table gave is not passed on.
    fn pass_on(&self, from: u64, rows: Vec<Row>) {
        let now = self.cx.now();
        let mut state = self.cx.state.borrow_mut();
        if self.table == Table::Servers && state.members.rank(now) < WATCHERS {
            let to = state.servers_freshness.row;
            state
                .server_changes
                .push(now, TableChange { from, to, rows });
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
