//! Idempotency records that a partition owner keeps in memory; see `docs/design/at-most-once.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthlever_types::{CustomerId, Fingerprint, IdempotencyRecord, RecordedOutcome};
use smol_str::{SmolStr, format_smolstr};

use crate::partitions::PartitionId;

/// Prefix of all rows of idempotency records in the table service.
const RECORD_PREFIX: &str = "claim/";

/// Time for which a stored record stays in memory after its last use.
const RETENTION: Duration = Duration::from_secs(60 * 60);

/// A customer and its idempotency key.
pub type IdempotencyRecordKey = (CustomerId, SmolStr);

/// Returns the row key of an idempotency record.
pub fn row_key(customer: &CustomerId, key: &str) -> SmolStr {
    let hash = Fingerprint::of(&[customer.as_str().as_bytes(), key.as_bytes()]).0;
    let check = Fingerprint::of(&[key.as_bytes(), customer.as_str().as_bytes()]).0;
    format_smolstr!("{RECORD_PREFIX}{customer}/{hash:016x}{check:016x}")
}

#[derive(Debug)]
struct Entry {
    record: IdempotencyRecord,
    /// Version of the row; 0 if there is none.
    version: u64,
    dirty: bool,
    writing: bool,
    last_used: Duration,
}

/// A write that stores one idempotency record in the table.
#[derive(Clone, Debug, PartialEq)]
pub struct IdempotencyWrite {
    /// Key of the record.
    pub key: IdempotencyRecordKey,
    /// The record to store.
    pub record: IdempotencyRecord,
    /// Version that the row must have; 0 if it must not exist.
    pub version: u64,
}

/// Idempotency records created under tokens of the current epochs of the owned partitions.
///
/// A record is created in memory first and written to the table later.
#[derive(Debug, Default)]
pub struct IdempotencyLedger {
    entries: BTreeMap<IdempotencyRecordKey, Entry>,
    /// Partitions of which stored records were removed from memory.
    trimmed: BTreeSet<PartitionId>,
}

impl IdempotencyLedger {
    /// Returns the record of a key.
    pub fn get(&self, key: &IdempotencyRecordKey) -> Option<&IdempotencyRecord> {
        self.entries.get(key).map(|entry| &entry.record)
    }

    /// Whether memory contains every record that was made in the current epoch.
    pub fn is_complete(&self, partition: PartitionId) -> bool {
        !self.trimmed.contains(&partition)
    }

    /// Adds a record, to be stored in the table later.
    pub fn insert(&mut self, key: IdempotencyRecordKey, record: IdempotencyRecord, now: Duration) {
        let entry = Entry {
            record,
            version: 0,
            dirty: true,
            writing: false,
            last_used: now,
        };
        self.entries.insert(key, entry);
    }

    /// Sets the outcome of a record; returns false if it is not in memory.
    pub fn set_outcome(
        &mut self,
        key: &IdempotencyRecordKey,
        outcome: RecordedOutcome,
        now: Duration,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        entry.record.outcome = Some(outcome);
        entry.dirty = true;
        entry.last_used = now;
        true
    }

    /// Removes the record of a call that was never sent; returns the version of its row.
    pub fn remove(&mut self, key: &IdempotencyRecordKey) -> Option<u64> {
        self.entries.remove(key).map(|entry| entry.version)
    }

    /// Returns up to `max` writes that are due and marks them as in progress.
    pub fn due_writes(&mut self, max: usize) -> Vec<IdempotencyWrite> {
        let due = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.dirty && !entry.writing);
        due.take(max)
            .map(|(key, entry)| {
                entry.writing = true;
                entry.dirty = false;
                let record = entry.record.clone();
                IdempotencyWrite {
                    key: key.clone(),
                    record,
                    version: entry.version,
                }
            })
            .collect()
    }

    /// Records the end of a write, with the row's new version, or `None` if it must be repeated.
    pub fn write_done(&mut self, key: &IdempotencyRecordKey, version: Option<u64>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.writing = false;
        match version {
            Some(version) => entry.version = version,
            None => entry.dirty = true,
        }
    }

    /// Sets the version that a row was found to have.
    pub fn set_version(&mut self, key: &IdempotencyRecordKey, version: u64) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.version = version;
        }
    }

    /// Whether all records of a partition are stored.
    pub fn is_stored(&self, partition: PartitionId) -> bool {
        let of_partition = self
            .entries
            .iter()
            .filter(|((customer, _), _)| PartitionId::of(customer) == partition);
        of_partition
            .into_iter()
            .all(|(_, entry)| !entry.dirty && !entry.writing)
    }

    /// Whether all records are stored.
    pub fn all_stored(&self) -> bool {
        self.entries
            .values()
            .all(|entry| !entry.dirty && !entry.writing)
    }

    /// Removes the records of a partition that is no longer owned.
    pub fn drop_partition(&mut self, partition: PartitionId) {
        self.entries
            .retain(|(customer, _), _| PartitionId::of(customer) != partition);
        self.trimmed.remove(&partition);
    }

    /// Removes stored records that have not been used for long.
    pub fn trim(&mut self, now: Duration) {
        let trimmed = &mut self.trimmed;
        self.entries.retain(|(customer, _), entry| {
            let keep = entry.dirty || entry.writing || now < entry.last_used + RETENTION;
            if !keep {
                trimmed.insert(PartitionId::of(customer));
            }
            keep
        });
    }
}
