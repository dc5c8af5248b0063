//! How new the copy of a table of the store is.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What an instance knows of a table: the newest row, and when that was last proved to be so.
///
/// The proof is a time of the store's steady clock, which all instances can compare, so a report
/// that is delayed on its way proves nothing too new.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Freshness {
    /// Highest version of a row of the table.
    pub row: u64,
    /// Time of the store at which no row was newer, in milliseconds.
    pub proved_ms: u64,
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
    pub fn answered(&mut self, asked: Duration, store_ms: u64) {
        let ahead = asked.as_millis() as i64 - store_ms as i64;
        self.ahead_ms = Some(self.ahead_ms.map_or(ahead, |known| known.max(ahead)));
    }

    /// Returns a time of the store as one of this instance, never a later one than it was.
    pub fn to_own(self, store_ms: u64) -> Option<Duration> {
        let own = self.ahead_ms? + store_ms as i64;
        Some(Duration::from_millis(own.max(0) as u64))
    }
}
