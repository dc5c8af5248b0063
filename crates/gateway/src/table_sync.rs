//! Keeps this instance's copies of the store's tables up to date.

use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{CatchUp, Freshness, StoreWatch};
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::context::Context;
use crate::evacuations;
use crate::freshness::TableChange;
use crate::state::State;
use crate::store::{StoreClient, StoreError};
use crate::store_version;
use crate::table_updates::{
    ConfigUpdate, apply_config, apply_restored_server, apply_server, remove_missing_servers,
};
use crate::zone_news::{self, ConfigNews};
use crate::{ConfigRow, Row, Rows, Table, WatchResult};

/// Maximum time that the store waits for changes before it answers a watch.
///
/// Each answer verifies the copies of the whole zone, so it must be well below the time in which a
/// revoked key must stop working, and in which a draining server must get no more work.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Pause after changes of the servers, so that the next answer carries several.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Interval at which an instance that is not a store watcher checks whether it must call the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Age of a copy's verification from which a watch asks the store to answer at once: a watch that
/// waits for changes verifies nothing before it ends.
const MAX_VERIFICATION_AGE: Duration = Duration::from_millis(500);

/// Age of the newest verification of a peer up to which another store watcher serves the zone.
const MAX_ZONE_VERIFICATION_AGE: Duration = Duration::from_millis(1300);

/// Time after a read of a restored table until it is read again. By then the registrations of servers
/// that no longer run have expired, so the others may be used although they had been removed before.
const RESTORED_READ_DELAY: Duration = Duration::from_secs(10);

/// Time after the store's recovery in which an instance that is no store watcher sends no rows to peers:
/// all of them read the same rows then.
const QUIET_AFTER_RECOVERY: Duration = Duration::from_secs(2);

/// Keeps the copy of a table up to date; runs until the process ends. `duty` labels its calls in
/// the metrics.
pub async fn run(cx: Rc<Context>, table: Table, duty: &'static str) {
    let mut sync = TableSync {
        client: StoreClient::new(cx.clone(), duty),
        cx,
        table,
        version: None,
        catch_up: CatchUp::default(),
        era: None,
        read_again_at: None,
        unusable_config: None,
        has_watched: false,
        backoff: Backoff::default(),
    };
    loop {
        sync.step().await;
    }
}

/// Keeps the copy of one table up to date.
struct TableSync {
    cx: Rc<Context>,
    client: StoreClient,
    table: Table,
    /// Version of the store up to which this task has read changes; `None` if the complete table must
    /// be read. The copy may be further, as peers send changes too.
    version: Option<u64>,
    /// Whether newer rows that peers reported are read from the store.
    catch_up: CatchUp,
    /// Era of the store in which the complete table was last read.
    era: Option<u64>,
    /// When the complete table is read again after the store has come back from a copy.
    read_again_at: Option<Duration>,
    /// Version of the store's configuration if that is older than the one in force or cannot be decoded.
    /// No answer verifies the one in force then.
    unusable_config: Option<u64>,
    /// Whether this process has watched the table before.
    has_watched: bool,
    backoff: Backoff,
}

impl TableSync {
    /// Reads or watches the table once, or waits until that may be needed.
    async fn step(&mut self) {
        if self.read_again_at.is_some_and(|at| self.cx.now() >= at) {
            self.read_again_at = None;
            self.version = None;
        }
        let part = self.part();
        let Some(version) = self.version else {
            let result = self.read(part).await;
            return self.pause_after(result).await;
        };
        if part != StoreWatch::Idle || self.must_catch_up() {
            let own = self
                .freshness(&self.cx.state.borrow())
                .position
                .max(version);
            let after = self.first_watch_after(part, own).unwrap_or(own);
            let is_zone_waiting = after < own && !self.is_zone_verified();
            let can_wait =
                self.is_config_unusable() || !(self.is_verification_old() || is_zone_waiting);
            let wait = if part != StoreWatch::Idle && can_wait {
                MAX_WATCH_WAIT
            } else {
                Duration::ZERO
            };
            self.catch_up.restart();
            let result = self.watch(after, wait, part).await;
            let is_unchanged = matches!(result, Ok(false));
            self.pause_after(result).await;
            // The reason for the call may still hold: without a pause, the store would be called again at once.
            if wait.is_zero() && is_unchanged {
                sleep(CHECK_INTERVAL).await;
            }
            return;
        }
        let cx = self.cx.clone();
        tokio::select! {
            () = cx.peer_rows_changed.notified() => {}
            () = sleep(CHECK_INTERVAL) => {}
        }
    }

    /// Pauses after a failed call, and after changes of the servers to batch further ones.
    async fn pause_after(&mut self, result: Result<bool, StoreError>) {
        match result {
            Ok(has_changes) => {
                if self.version.is_some() {
                    self.backoff = Backoff::default();
                }
                if has_changes && self.table == Table::Servers {
                    sleep(BATCH_DELAY).await;
                }
            }
            Err(_) => {
                let failed_at = self.cx.now();
                let delay = self.backoff.next_delay(self.cx.random());
                // An instance that has just started has nothing to go on with.
                let rank = self.rank().filter(|_| self.version.is_some());
                let pause = StoreWatch::pause(rank.unwrap_or(0), delay, self.cx.random());
                self.pause(failed_at, pause).await;
            }
        }
    }

    /// Waits for a time, or until a peer has verified its copy after `failed_at`: the store answers it.
    async fn pause(&self, failed_at: Duration, time: Duration) {
        let until = failed_at + time;
        loop {
            let left = until.saturating_sub(self.cx.now());
            if left.is_zero() || self.is_verified_since(failed_at) {
                return;
            }
            tokio::select! {
                () = self.cx.peer_rows_changed.notified() => {}
                () = sleep(left.min(CHECK_INTERVAL)) => {}
            }
        }
    }

    /// Whether a peer has verified its copy after a time.
    fn is_verified_since(&self, at: Duration) -> bool {
        let state = self.cx.state.borrow();
        let (config, servers) = state.newest_peer_verifications;
        let newest = match self.table {
            Table::Config => config,
            _ => servers,
        };
        let verified = state.store_clock.to_local(newest);
        verified.is_some_and(|verified| verified > at)
    }

    /// Returns the position of this instance in its zone; `None` shortly after its start, when it is not
    /// known yet.
    fn rank(&self) -> Option<usize> {
        self.cx.state.borrow().members.expected_rank(self.cx.now())
    }

    /// Returns whether this instance is a store watcher, or must act as one.
    fn part(&self) -> StoreWatch {
        let Some(rank) = self.rank() else {
            return StoreWatch::Idle;
        };
        let state = self.cx.state.borrow();
        let age = state.verification_age(self.cx.now(), self.freshness(&state));
        StoreWatch::of(rank, age)
    }

    /// Whether the copy has not been verified recently, by this instance or a peer.
    fn is_verification_old(&self) -> bool {
        let state = self.cx.state.borrow();
        let age = state.verification_age(self.cx.now(), self.freshness(&state));
        age.is_none_or(|age| age > MAX_VERIFICATION_AGE)
    }

    /// Whether newer rows must be read from the store because no peer has sent them.
    fn must_catch_up(&mut self) -> bool {
        let now = self.cx.now();
        let is_behind = self.is_behind();
        let zone_size = self.cx.state.borrow().members.zone_size(now);
        let is_due = self.catch_up.is_due(now, is_behind, zone_size);
        let state = self.cx.state.borrow();
        let newest = state.config_freshness.row.max(self.unusable_row());
        is_due || (self.table == Table::Config && state.large_config_row > newest)
    }

    /// Returns the version of the store's configuration if that cannot be used, 0 otherwise.
    fn unusable_row(&self) -> u64 {
        self.unusable_config.unwrap_or(0)
    }

    /// Whether the store's configuration cannot be used, and no newer one has come into force since.
    fn is_config_unusable(&self) -> bool {
        self.table == Table::Config
            && self.unusable_row() > self.cx.state.borrow().config_freshness.row
    }

    /// Whether a peer has reported newer rows than this copy has.
    fn is_behind(&self) -> bool {
        let state = self.cx.state.borrow();
        let newest = match self.table {
            Table::Config => state.newest_peer_rows.0,
            _ => state.newest_peer_rows.1,
        };
        newest > self.freshness(&state).position.max(self.unusable_row())
    }

    /// Returns the position from which the first watch of a store watcher reads: the lowest one that an instance of
    /// its zone has, if that is below its own, `own`. The others may have missed changes before it read the
    /// complete table.
    fn first_watch_after(&self, part: StoreWatch, own: u64) -> Option<u64> {
        let state = self.cx.state.borrow();
        let lowest = match self.table {
            Table::Config => state.lowest_peer_positions.0,
            _ => state.lowest_peer_positions.1,
        };
        let is_first = part == StoreWatch::Watcher && !self.has_watched;
        let is_same_era = |after: u64| store_version::era(after) == store_version::era(own);
        lowest.filter(|after| is_first && *after < own && is_same_era(*after))
    }

    /// Whether a peer has verified its copy recently, so that another store watcher serves the zone.
    fn is_zone_verified(&self) -> bool {
        let now = self.cx.now();
        self.is_verified_since(now.saturating_sub(MAX_ZONE_VERIFICATION_AGE))
    }

    /// Records the time and the newest reported row before a call to the store.
    fn before_call(&self) -> CallStart {
        let state = self.cx.state.borrow();
        CallStart {
            at: self.cx.now(),
            servers_row: state.newest_peer_rows.1,
            position: self.freshness(&state).position,
        }
    }

    fn freshness(&self, state: &State) -> Freshness {
        match self.table {
            Table::Config => state.config_freshness,
            _ => state.servers_freshness,
        }
    }

    /// Reads the complete table. If the copy was complete up to an earlier position, what has changed since is sent
    /// to peers.
    async fn read(&mut self, part: StoreWatch) -> Result<bool, StoreError> {
        let start = self.before_call();
        let was_old = self.is_verification_old();
        let rows = self.client.read(self.table).await?;
        self.record_recovery();
        let before = self.freshness(&self.cx.state.borrow());
        if before.position > start.position && before.position > rows.version {
            // Peers have sent later changes meanwhile, which the rows lack.
            return Ok(false);
        }
        let mut changes: Vec<Row> = match self.table {
            Table::Servers => remove_missing_servers(&self.cx, &rows),
            _ => Vec::new(),
        };
        let newer = rows.rows.iter().filter(|row| row.version > before.position);
        changes.extend(newer.cloned());
        let era = store_version::era(rows.version);
        let is_comparable = before.position > 0 && store_version::era(before.position) == era;
        let is_first_of_era = self.era != Some(era);
        let is_restored = self.era.replace(era).is_some_and(|last| last != era);
        let has_missing = self.table == Table::Config
            && evacuations::has_missing(&self.cx, &rows.rows, rows.version);
        if has_missing && !is_first_of_era {
            evacuations::revoke_missing(&self.cx, &rows.rows, rows.version);
        }
        self.version = Some(rows.version);
        // The operator writes again what a restored store has lost. An instance that has just started does
        // not know whether the store was restored, so a missing evacuation ends only at the next read.
        if is_restored || (has_missing && is_first_of_era) {
            self.read_again_at = Some(start.at + RESTORED_READ_DELAY);
        }
        let register = match is_restored {
            true => apply_restored_server,
            false => apply_server,
        };
        self.apply(start, &rows, register, |freshness| {
            freshness.record_read(rows.version, rows.store_ms);
        });
        // A removed evacuation has no row here that could be sent.
        if is_comparable && !has_missing {
            let change = TableChange {
                from: before.row,
                span: Some(before.difference_span()),
                to: rows.version,
                rows: changes,
            };
            self.share(part, was_old, Some(change));
        }
        Ok(true)
    }

    async fn watch(
        &mut self,
        after: u64,
        wait: Duration,
        part: StoreWatch,
    ) -> Result<bool, StoreError> {
        let start = self.before_call();
        let was_old = self.is_verification_old();
        let is_first = !std::mem::replace(&mut self.has_watched, true);
        let result = self.client.watch(self.table, after, wait).await?;
        self.record_recovery();
        match result {
            // The history may still reach back to this instance's own position.
            WatchResult::Compacted if is_first && after < start.position => Ok(false),
            WatchResult::Compacted => {
                self.version = None;
                sleep(self.backoff.next_delay(self.cx.random())).await;
                Ok(false)
            }
            WatchResult::Rows(rows) => {
                let has_changes = !rows.rows.is_empty();
                self.version = Some(rows.version.max(after));
                let before = self.freshness(&self.cx.state.borrow());
                // Rows up to the position are in the copy already, and may be older than what it has.
                let is_new = |row: &&Row| row.version > before.position;
                let news = Rows {
                    rows: rows.rows.iter().filter(is_new).cloned().collect(),
                    ..rows
                };
                let newest = rows.rows.iter().map(|row| row.version).max();
                self.apply(start, &news, apply_server, |freshness| {
                    freshness.record_watch(after, news.version, newest, news.store_ms);
                });
                // The others of the zone wait for what this instance has read for them.
                let is_awaited = was_old || after < start.position;
                let change = newest.map(|to| TableChange {
                    from: before.row,
                    span: Some(before.watch_span(after)),
                    to,
                    rows: rows.rows,
                });
                self.share(part, is_awaited, change);
                Ok(has_changes)
            }
        }
    }

    fn record_recovery(&self) {
        if self.table == Table::Servers {
            self.cx.state.borrow_mut().servers_recovered_at = self.client.recovered_at();
        }
    }

    /// Applies rows of an answer of the store, and records what they show of the copy's freshness; `register`
    /// applies a row of the servers.
    fn apply(
        &mut self,
        start: CallStart,
        rows: &Rows,
        register: fn(&Context, &Row),
        record: impl FnOnce(&mut Freshness),
    ) {
        let newest = match self.table {
            Table::Config => {
                if evacuations::apply_rows(&self.cx, &rows.rows) {
                    let known = evacuations::current(&self.cx.state.borrow());
                    zone_news::share(&self.cx, |news| news.evacuations = known);
                }
                self.apply_config(&rows.rows)
            }
            _ => {
                rows.rows.iter().for_each(|row| register(&self.cx, row));
                rows.rows.iter().map(|row| row.version).max()
            }
        };
        if self.is_config_unusable() {
            // It may revoke a key, so the one in force must no longer count as verified, here or at a peer.
            return;
        }
        let mut state = self.cx.state.borrow_mut();
        state.store_clock.observe(start.at, rows.store_ms);
        let (freshness, reported) = match self.table {
            Table::Config => (&mut state.config_freshness, 0),
            // The newest row that a peer reported may have been removed since. The answer covers
            // that too, so the copy is at least as new as the reported row.
            _ => (&mut state.servers_freshness, start.servers_row),
        };
        freshness.row = freshness.row.max(newest.unwrap_or(0)).max(reported);
        record(freshness);
    }

    /// Applies the newest configuration among rows, and returns its version; `None` if there is none or it
    /// cannot be used.
    fn apply_config(&mut self, rows: &[Row]) -> Option<u64> {
        let row = self.newest_config(rows)?;
        match apply_config(&self.cx, row) {
            ConfigUpdate::Current => {
                self.unusable_config = None;
                Some(row.version)
            }
            ConfigUpdate::Older | ConfigUpdate::Unreadable => {
                self.unusable_config = Some(row.version);
                None
            }
        }
    }

    fn newest_config<'a>(&self, rows: &'a [Row]) -> Option<&'a Row> {
        let kind = self.cx.adapter.store.config_row;
        let configs = rows
            .iter()
            .filter(|row| kind(&row.key) == ConfigRow::Config);
        configs.max_by_key(|row| row.version)
    }

    /// Sends to peers what has changed; `is_awaited` is whether they are about to call the store themselves.
    fn share(&self, part: StoreWatch, is_awaited: bool, change: Option<TableChange>) {
        if part == StoreWatch::Idle {
            return;
        }
        let now = self.cx.now();
        let is_quiet = self
            .client
            .recovered_at()
            .is_some_and(|at| now < at + QUIET_AFTER_RECOVERY);
        let change = change.filter(|_| part == StoreWatch::Watcher || !is_quiet);
        if let Some(change) = change.filter(|_| !self.is_config_unusable()) {
            self.share_change(now, change);
        }
        if part == StoreWatch::Substitute || is_awaited {
            let verification = zone_news::verification(&self.cx);
            zone_news::share(&self.cx, |news| news.verification = Some(verification));
        }
    }

    fn share_change(&self, now: Duration, change: TableChange) {
        if self.table == Table::Config {
            let newest = self.newest_config(&change.rows).cloned();
            if let Some(news) = ConfigNews::new(&self.cx, newest.as_ref(), change) {
                zone_news::share(&self.cx, |all| all.add_config(news));
            }
            return;
        }
        for change in change.split() {
            let mut state = self.cx.state.borrow_mut();
            state.server_changes.push(now, change.clone());
            drop(state);
            zone_news::share(&self.cx, |news| news.changes.push(change));
        }
    }
}

/// State when a call to the store was sent.
#[derive(Clone, Copy, Debug)]
struct CallStart {
    at: Duration,
    /// Newest row of the servers that peers had reported.
    servers_row: u64,
    /// Position of this instance's copy.
    position: u64,
}
