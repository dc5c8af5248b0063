//! How current an instance's copy of a table of the store is.

use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};

/// How current a copy of a table is, as a fact about the store's history.
///
/// Versions come from one counter of the store that rises with each transaction, so a version also names a
/// position in the store's history. A copy counts as verified only as far as [`Freshness::position`] shows
/// that it lacks no change. The newest row that is left shows nothing: a removal leaves it as it was.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Freshness {
    /// Highest version of a row in the copy. A copy whose position is lower lacks that row; equal values say nothing.
    /// Builds up to dbdb84d take copies with equal values for equal.
    pub row: u64,
    /// Time of the store at which the table had no change after the position, in milliseconds; 0 if unverified.
    #[serde(rename = "proved_ms")]
    pub verified_ms: u64,
    /// Version of the store up to which the copy lacks no change; 0 if that is unknown, as for builds up to dbdb84d.
    #[serde(default, rename = "upto")]
    pub position: u64,
    /// The table has no change after this version, up to the position.
    #[serde(default, rename = "since")]
    pub unchanged_since: u64,
}

impl Freshness {
    /// Records that the copy was replaced by the complete table at a version of the store. Even if the rows are the
    /// same, some may have been added and removed since.
    pub fn record_read(&mut self, version: u64, store_ms: u64) {
        self.unchanged_since = version;
        self.position = version;
        self.verified_ms = self.verified_ms.max(store_ms);
    }

    /// Records that all changes after a position up to a version of the store were applied, the last of them with
    /// version `newest`. The copy must have lacked nothing up to `after`.
    pub fn record_watch(&mut self, after: u64, version: u64, newest: Option<u64>, store_ms: u64) {
        let quiet_since = newest.unwrap_or(after);
        if quiet_since > self.position {
            self.unchanged_since = quiet_since;
        } else if self.unchanged_since <= version {
            self.unchanged_since = self.unchanged_since.min(quiet_since);
        }
        self.position = self.position.max(version);
        self.verified_ms = self.verified_ms.max(store_ms);
    }

    /// Whether changes apply that end with a version: the position is among those from which they are complete, and not
    /// all of them are in the copy.
    pub fn precedes(&self, span: &RangeInclusive<u64>, to: u64) -> bool {
        self.position > 0 && span.contains(&self.position) && self.position < to
    }

    /// Returns the positions of copies that the difference between this copy and a later state of the table brings up to
    /// date. A copy that is further may have rows that were added and removed meanwhile.
    pub fn difference_span(&self) -> RangeInclusive<u64> {
        self.unchanged_since..=self.position
    }

    /// Returns the positions of copies that all changes after a version bring up to date, as a watch reports them.
    pub fn watch_span(&self, after: u64) -> RangeInclusive<u64> {
        let is_adjacent = self.unchanged_since <= after && after <= self.position;
        let first = if is_adjacent {
            self.unchanged_since
        } else {
            after
        };
        first..=u64::MAX
    }

    /// Records that changes up to a version were applied that the copy [precedes](Freshness::precedes).
    pub fn record_change(&mut self, to: u64) {
        self.position = to;
        self.unchanged_since = to;
    }

    /// Merges what a peer knows of its copy. If the table has not changed between the two positions, this copy is as
    /// complete as the peer's; if this copy is at least as complete, it was verified when the peer's was.
    pub fn merge(&mut self, peer: &Self) {
        let has_positions = self.position > 0 && peer.position > 0;
        let is_adjacent =
            self.position >= peer.unchanged_since && peer.position >= self.unchanged_since;
        if has_positions && is_adjacent {
            self.unchanged_since = self.unchanged_since.min(peer.unchanged_since);
            self.position = self.position.max(peer.position);
        }
        if has_positions && self.position >= peer.position {
            self.verified_ms = self.verified_ms.max(peer.verified_ms);
        }
    }
}
