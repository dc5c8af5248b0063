//! Registrations that nobody renews any more.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// Reads in a row that find a registration unchanged before it counts as abandoned.
const UNCHANGED_READS: u32 = 3;

/// What an instance has seen of the registrations of others, read after read.
///
/// Rows have no time of their own, and clocks of instances may differ, so a row is judged by its
/// version: whoever lives renews it between two reads.
#[derive(Debug, Default)]
pub struct StaleRows {
    seen: BTreeMap<SmolStr, Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    reads: u32,
}

impl StaleRows {
    /// Takes in all rows of a read, each with its version, and returns those that are abandoned.
    pub fn observe(&mut self, rows: &[(SmolStr, u64)]) -> Vec<(SmolStr, u64)> {
        let before = std::mem::take(&mut self.seen);
        let mut stale = Vec::new();
        for (key, version) in rows {
            let known = before.get(key).filter(|seen| seen.version == *version);
            let reads = known.map_or(0, |seen| seen.reads) + 1;
            if reads > UNCHANGED_READS {
                stale.push((key.clone(), *version));
            }
            let seen = Seen {
                version: *version,
                reads,
            };
            self.seen.insert(key.clone(), seen);
        }
        stale
    }
}
