//! Partitions of the customers, each owned by one instance; see `docs/design/limits.md`.

use std::collections::BTreeMap;

use jacinthlever_types::{Condition, CustomerId, Fingerprint, InstanceId, TableRow, Write};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::BucketRecord;

/// Number of partitions, much larger than the number of instances so that the load is even.
pub const PARTITION_COUNT: u32 = 256;

/// Prefix of all partition rows in the table service.
pub const PARTITION_PREFIX: &str = "fleet/slot/";

/// Number of a partition, below [`PARTITION_COUNT`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PartitionId(pub u32);

impl PartitionId {
    /// Returns the partition of a customer.
    pub fn of(customer: &CustomerId) -> Self {
        // All instances must hash the same text, or they disagree about the partition.
        let hash = Fingerprint::of(&[b"slot", customer.as_str().as_bytes()]).0;
        Self((hash % u64::from(PARTITION_COUNT)) as u32)
    }

    /// Returns the key of the partition's row.
    pub fn row_key(self) -> SmolStr {
        format_smolstr!("{PARTITION_PREFIX}{:04}", self.0)
    }

    /// Returns the key by which rendezvous hashing places the partition.
    ///
    /// All instances must hash the same text, or they disagree about the owner.
    pub fn hash_key(self) -> SmolStr {
        format_smolstr!("slot-{}", self.0)
    }
}

/// The stored state of a partition.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PartitionRecord {
    /// Owner; `None` after a release.
    #[serde(rename = "holder")]
    pub owner: Option<InstanceId>,
    /// Incarnation of the owner.
    pub incarnation: u64,
    /// Incremented with every change of owner.
    pub epoch: u64,
    /// Highest epoch whose owner did not hand over its state.
    pub unclean_through: u64,
    /// Buckets that a release handed over; the buckets of all other customers were full.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub buckets: BTreeMap<CustomerId, BucketRecord>,
}

#[derive(Debug, Default)]
struct Partition {
    version: u64,
    record: PartitionRecord,
}

/// All partitions, as last read or written.
#[derive(Debug)]
pub struct PartitionMap {
    partitions: Vec<Partition>,
}

impl Default for PartitionMap {
    fn default() -> Self {
        Self {
            partitions: (0..PARTITION_COUNT).map(|_| Partition::default()).collect(),
        }
    }
}

impl PartitionMap {
    /// Records a partition row; returns the partition if the row is newer than the known one.
    pub fn observe(&mut self, row: &TableRow) -> Option<PartitionId> {
        let number: u32 = row.key.strip_prefix(PARTITION_PREFIX)?.parse().ok()?;
        let partition = self.partitions.get_mut(number as usize)?;
        if row.version <= partition.version {
            return None;
        }
        partition.version = row.version;
        let record = row
            .value
            .as_ref()
            .and_then(|value| PartitionRecord::deserialize(value).ok());
        partition.record = record.unwrap_or_default();
        Some(PartitionId(number))
    }

    /// Returns all partitions with their records.
    pub fn iter(&self) -> impl Iterator<Item = (PartitionId, &PartitionRecord)> {
        self.partitions
            .iter()
            .enumerate()
            .map(|(i, partition)| (PartitionId(i as u32), &partition.record))
    }

    /// Returns a partition's record.
    pub fn record(&self, partition: PartitionId) -> &PartitionRecord {
        &self.partitions[partition.0 as usize].record
    }

    /// Returns a partition's owner.
    pub fn owner(&self, partition: PartitionId) -> Option<&InstanceId> {
        self.record(partition).owner.as_ref()
    }

    /// Returns the partitions that an instance owns, under any incarnation.
    pub fn owned_by(&self, instance: &InstanceId) -> Vec<PartitionId> {
        let owned = self
            .iter()
            .filter(|(_, record)| record.owner.as_ref() == Some(instance));
        owned.map(|(partition, _)| partition).collect()
    }

    /// Returns the condition that a partition's row has not changed since it was last seen.
    pub fn condition(&self, partition: PartitionId) -> Condition {
        Condition {
            key: partition.row_key(),
            version: self.partitions[partition.0 as usize].version,
        }
    }

    /// Returns the write that stores a record in a partition's row.
    pub fn write(partition: PartitionId, record: &PartitionRecord) -> Write {
        Write {
            key: partition.row_key(),
            value: serde_json::to_value(record).ok(),
        }
    }
}
