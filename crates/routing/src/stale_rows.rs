//! Detects registrations that are no longer renewed.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// Number of consecutive reads that may find a row at the same version before it counts as
/// abandoned.
const MAX_UNCHANGED_READS: u32 = 3;

/// Tracks the versions of the other instances' registrations over successive reads.
///
/// Rows carry no time stamp, and the clocks of instances may differ, so a row is judged by its
/// version: a running instance renews its row between two reads.
#[derive(Debug, Default)]
pub struct StaleRows {
    rows: BTreeMap<SmolStr, ObservedRow>,
}

#[derive(Clone, Copy, Debug)]
struct ObservedRow {
    version: u64,
    reads: u32,
}

impl StaleRows {
    /// Records the keys and versions of all rows of a read, and returns the rows that are
    /// abandoned.
    pub fn observe(&mut self, rows: &[(SmolStr, u64)]) -> Vec<(SmolStr, u64)> {
        let previous = std::mem::take(&mut self.rows);
        let mut stale = Vec::new();
        for (key, version) in rows {
            let unchanged = previous.get(key).filter(|row| row.version == *version);
            let reads = unchanged.map_or(0, |row| row.reads) + 1;
            if reads > MAX_UNCHANGED_READS {
                stale.push((key.clone(), *version));
            }
            let row = ObservedRow {
                version: *version,
                reads,
            };
            self.rows.insert(key.clone(), row);
        }
        stale
    }
}
