//! The store's clock, and recent changes of its tables that instances send to peers.

use std::ops::RangeInclusive;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Row;

/// Time for which a change is repeated in reports to peers, so that a few lost ones do no harm.
const SHARE_PERIOD: Duration = Duration::from_millis(1200);

/// Maximum number of rows in one report, and in a change that is sent as a whole.
const MAX_SHARED_ROWS: usize = 24;

/// Maximum number of rows that are sent to peers after one read; they read larger changes from the store.
const MAX_CHANGED_ROWS: usize = 240;

/// Converts times of the store's clock into times of this instance's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// Lower bound of the difference between this instance's clock and the store's, in
    /// milliseconds: the largest difference between the time at which a call was sent and the
    /// store's time in its answer. Both clocks are monotonic.
    ahead_ms: Option<i64>,
}

impl StoreClock {
    /// Updates the offset from an answer of the store, whose clock read `store_ms`; the call was
    /// sent at `sent_at`.
    pub fn observe(&mut self, sent_at: Duration, store_ms: u64) {
        let ahead = sent_at.as_millis() as i64 - store_ms as i64;
        self.ahead_ms = Some(self.ahead_ms.map_or(ahead, |max| max.max(ahead)));
    }

    /// Converts a time of this instance into one of the store, in milliseconds; `None` before the
    /// first answer of the store.
    ///
    /// The time may be later than the true one by the duration of the fastest call to the store.
    pub fn to_store(self, local: Duration) -> Option<u64> {
        let store_ms = local.as_millis() as i64 - self.ahead_ms?;
        Some(store_ms.max(1) as u64)
    }

    /// Converts a time of the store into one of this instance that is never later than the true
    /// one; `None` before the first answer of the store.
    pub fn to_local(self, store_ms: u64) -> Option<Duration> {
        let local = self.ahead_ms? + store_ms as i64;
        Some(Duration::from_millis(local.max(0) as u64))
    }
}

/// Positions of copies, from the lowest to the highest one.
pub type Span = RangeInclusive<u64>;

/// Consecutive changes of a table that an instance has read from the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TableChange {
    /// Newest row before the changes, for builds up to dbdb84d.
    pub from: u64,
    /// Positions of copies that lack nothing after the changes are applied; `None` from builds up to dbdb84d, which
    /// do not state them.
    #[serde(default)]
    pub span: Option<Span>,
    /// Position after the changes.
    pub to: u64,
    /// The changed rows.
    pub rows: Vec<Row>,
}

impl TableChange {
    /// Divides the change into ones that follow each other; none if there are too many rows to be sent.
    ///
    /// The difference between two states of the table stays whole: after a part of it, a copy is no state of the table.
    pub fn split(mut self) -> Vec<Self> {
        if self.rows.len() > MAX_CHANGED_ROWS {
            return Vec::new();
        }
        let is_difference = self.span.as_ref().is_none_or(|span| *span.end() < u64::MAX);
        if is_difference || self.rows.len() <= MAX_SHARED_ROWS {
            return vec![self];
        }
        self.rows.sort_by_key(|row| row.version);
        let mut changes: Vec<Self> = Vec::new();
        // So do the rows of one transaction.
        for rows in self.rows.chunk_by(|a, b| a.version == b.version) {
            let to = rows[0].version;
            match changes.last_mut() {
                Some(last) if last.rows.len() + rows.len() <= MAX_SHARED_ROWS => {
                    last.rows.extend_from_slice(rows);
                    last.to = to;
                }
                before => {
                    let before = before.map(|before| before.to);
                    let span = self.span.as_ref();
                    changes.push(Self {
                        from: before.unwrap_or(self.from),
                        span: span.map(|span| before.unwrap_or(*span.start())..=*span.end()),
                        to,
                        rows: rows.to_vec(),
                    });
                }
            }
        }
        changes
    }
}

/// Recent changes, which are sent to peers.
#[derive(Debug, Default)]
pub struct RecentChanges(Vec<(Duration, TableChange)>);

impl RecentChanges {
    /// Adds a change.
    pub fn push(&mut self, now: Duration, change: TableChange) {
        self.0.push((now, change));
    }

    /// Returns the changes to be sent, the oldest first; the newest take precedence if there are
    /// too many rows.
    pub fn recent(&mut self, now: Duration) -> Vec<TableChange> {
        self.0.retain(|(at, _)| now < *at + SHARE_PERIOD);
        let mut rows = 0;
        let newest = self.0.iter().rev().take_while(|(_, change)| {
            rows += change.rows.len();
            rows <= MAX_SHARED_ROWS
        });
        let mut changes: Vec<TableChange> = newest.map(|(_, change)| change.clone()).collect();
        changes.reverse();
        changes
    }
}
