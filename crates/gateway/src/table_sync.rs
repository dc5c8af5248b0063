//! Keeps this instance's copies of the store's tables up to date.

use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{CatchUp, StoreWatch};
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::context::Context;
use crate::evacuations;
use crate::freshness::{Freshness, TableChange};
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
    /// Version of the store up to which changes have been read; `None` if the complete table must
    /// be read.
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
    backoff: Backoff,
}

impl TableSync {
    /// Reads or watches the table once, or waits until that may be needed.
    async fn step(&mut self) {
        if self.read_again_at.is_some_and(|at| self.cx.now() >= at) {
            self.read_again_at = None;
            self.version = None;
        }
        let Some(after) = self.version else {
            let result = self.read().await;
            return self.pause_after(result).await;
        };
        let part = self.part();
        if part != StoreWatch::Idle || self.must_catch_up() {
            let can_wait = self.is_config_unusable() || !self.is_verification_old();
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
        newest > self.freshness(&state).row.max(self.unusable_row())
    }

    /// Records the time and the newest reported row before a call to the store.
    fn before_call(&self) -> CallStart {
        let state = self.cx.state.borrow();
        CallStart {
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
        let start = self.before_call();
        let rows = self.client.read(self.table).await?;
        self.record_recovery();
        remove_missing_servers(&self.cx, self.table, &rows);
        let era = store_version::era(rows.version);
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
        if is_restored {
            self.apply(start, &rows, apply_restored_server);
        } else {
            self.apply(start, &rows, apply_server);
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
        let result = self.client.watch(self.table, after, wait).await?;
        self.record_recovery();
        match result {
            WatchResult::Compacted => {
                self.version = None;
                sleep(self.backoff.next_delay(self.cx.random())).await;
                Ok(false)
            }
            WatchResult::Rows(rows) => {
                let has_changes = !rows.rows.is_empty();
                self.version = Some(rows.version.max(after));
                let from = self.freshness(&self.cx.state.borrow()).row;
                self.apply(start, &rows, apply_server);
                self.share(part, was_old, from, rows.rows);
                Ok(has_changes)
            }
        }
    }

    fn record_recovery(&self) {
        if self.table == Table::Servers {
            self.cx.state.borrow_mut().servers_recovered_at = self.client.recovered_at();
        }
    }

    /// Applies rows and records that they were current when the call was sent; `register` applies a
    /// row of the servers.
    fn apply(&mut self, start: CallStart, rows: &Rows, register: fn(&Context, &Row)) {
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
            // It may revoke a key, so the one in force must no longer count as verified.
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
        freshness.verified_ms = freshness.verified_ms.max(rows.store_ms);
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

    /// Sends to peers what a watch has brought; `was_old` is whether the copy had not been verified recently. Only a watch reports removed rows, so rows from a read of
    /// the complete table are not sent.
    fn share(&self, part: StoreWatch, was_old: bool, from: u64, rows: Vec<Row>) {
        if part == StoreWatch::Idle {
            return;
        }
        let now = self.cx.now();
        let is_quiet = self
            .client
            .recovered_at()
            .is_some_and(|at| now < at + QUIET_AFTER_RECOVERY);
        if part == StoreWatch::Watcher || !is_quiet {
            self.share_rows(now, from, rows);
        }
        // The other instances are about to call the store themselves.
        if part == StoreWatch::Substitute || was_old {
            let verification = zone_news::verification(&self.cx);
            zone_news::share(&self.cx, |news| news.verification = Some(verification));
        }
    }

    fn share_rows(&self, now: Duration, from: u64, rows: Vec<Row>) {
        if self.table == Table::Config {
            if !self.is_config_unusable()
                && let Some(config) = self.newest_config(&rows).and_then(ConfigNews::new)
            {
                zone_news::share(&self.cx, |news| news.config = Some(config));
            }
            return;
        }
        let to = self.cx.state.borrow().servers_freshness.row;
        for change in TableChange::split(from, to, rows) {
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
}
