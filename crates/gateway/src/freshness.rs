//! How new the copy of a table of the store is, and changes that are passed on between instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Row;

/// How long changes are passed on, so that a few lost reports do no harm.
const PASSED_ON: Duration = Duration::from_millis(1200);

/// Most rows in one change that is passed on; more are read from the store.
const MOST_ROWS: usize = 24;

/// What an instance knows of a table: the newest row, and when that was last proved to be so.
///
/// The proof is a time of the store's steady clock, which all instances can compare, so a report
/// that is delayed on its way proves nothing too new.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Freshness {
    /// Highest version of a row of the table.
    pub row: u64,
    /// Time of the store at which no row was newer, in milliseconds.
    #[serde(rename = "proved_ms")]
    pub verified_ms: u64,
}

/// Converts times of the store's clock into this instance's.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// Least difference between this instance's clock and the store's that answers have shown, in
    /// milliseconds; both clocks are steady.
    ahead_ms: Option<i64>,
}

impl StoreClock {
    /// Takes in an answer: the call was sent at `asked`, and the store's clock read `store_ms`.
    pub fn observe(&mut self, asked: Duration, store_ms: u64) {
        let ahead = asked.as_millis() as i64 - store_ms as i64;
        self.ahead_ms = Some(self.ahead_ms.map_or(ahead, |known| known.max(ahead)));
    }

    /// Returns a time of the store as one of this instance, never a later one than it was.
    pub fn to_local(self, store_ms: u64) -> Option<Duration> {
        let own = self.ahead_ms? + store_ms as i64;
        Some(Duration::from_millis(own.max(0) as u64))
    }
}

/// Changes of a table that an instance has read from the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TableChange {
    /// Newest row before; whoever knows it, or a newer one, knows all after these changes.
    pub from: u64,
    /// Newest row after.
    pub to: u64,
    /// The changed rows.
    pub rows: Vec<Row>,
}

/// Changes that are passed on to peers for a while.
#[derive(Debug, Default)]
pub struct RecentChanges(Vec<(Duration, TableChange)>);

impl RecentChanges {
    /// Takes in a change, unless it is too large to be passed on.
    pub fn push(&mut self, now: Duration, change: TableChange) {
        if !change.rows.is_empty() && change.rows.len() <= MOST_ROWS {
            self.0.push((now, change));
        }
    }

    /// Returns the changes to be passed on, the oldest first.
    pub fn recent(&mut self, now: Duration) -> Vec<TableChange> {
        self.0.retain(|(at, _)| now < *at + PASSED_ON);
        let mut rows = 0;
        let newest = self.0.iter().rev().take_while(|(_, change)| {
            rows += change.rows.len();
            rows <= MOST_ROWS
        });
        let mut changes: Vec<TableChange> = newest.map(|(_, change)| change.clone()).collect();
        changes.reverse();
        changes
    }
}
