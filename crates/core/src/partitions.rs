//! Which instance holds the limits of which customers; see `docs/design/limits.md`.

use std::collections::BTreeMap;

use jacinthlever_types::{Condition, CustomerId, Fingerprint, InstanceId, TableRow, Write};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::BucketRecord;

/// Number of partitions; many more than instances, so that each gets an even part.
pub const PARTITION_COUNT: u32 = 256;

/// Prefix of all slot rows in the table service.
pub const PARTITION_PREFIX: &str = "fleet/slot/";

/// Number of a slot, below [`PARTITION_COUNT`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PartitionId(pub u32);

impl PartitionId {
    /// Returns the slot of a customer.
    pub fn of(customer: &CustomerId) -> Self {
        let hash = Fingerprint::of(&[b"slot", customer.as_str().as_bytes()]).0;
        Self((hash % u64::from(PARTITION_COUNT)) as u32)
    }

    /// Returns the key of the slot's row.
    pub fn row_key(self) -> SmolStr {
        format_smolstr!("{PARTITION_PREFIX}{:04}", self.0)
    }

    /// Returns the text that rendezvous hashing places the slot by.
    pub fn hash_key(self) -> SmolStr {
        format_smolstr!("slot-{}", self.0)
    }
}

/// A slot as it stands in the table.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PartitionRecord {
    /// Holder; `None` after a release.
    #[serde(rename = "holder")]
    pub owner: Option<InstanceId>,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Grows with every change of holder.
    pub epoch: u64,
    /// Highest epoch whose holder went without handing over.
    pub unclean_through: u64,
    /// Buckets that a release handed over; customers not named had full ones.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub buckets: BTreeMap<CustomerId, BucketRecord>,
}

#[derive(Debug, Default)]
struct Partition {
    version: u64,
    record: PartitionRecord,
}

/// All partitions as last read or written.
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
    /// Takes in a slot row; returns the slot if the row is news.
    pub fn observe(&mut self, row: &TableRow) -> Option<PartitionId> {
        let number: u32 = row.key.strip_prefix(PARTITION_PREFIX)?.parse().ok()?;
        let slot = self.partitions.get_mut(number as usize)?;
        if row.version <= slot.version {
            return None;
        }
        slot.version = row.version;
        let record = row
            .value
            .as_ref()
            .and_then(|value| PartitionRecord::deserialize(value).ok());
        slot.record = record.unwrap_or_default();
        Some(PartitionId(number))
    }

    /// Returns all partitions with their records.
    pub fn iter(&self) -> impl Iterator<Item = (PartitionId, &PartitionRecord)> {
        self.partitions
            .iter()
            .enumerate()
            .map(|(i, slot)| (PartitionId(i as u32), &slot.record))
    }

    /// Returns a slot's record.
    pub fn record(&self, slot: PartitionId) -> &PartitionRecord {
        &self.partitions[slot.0 as usize].record
    }

    /// Returns a slot's holder.
    pub fn owner(&self, slot: PartitionId) -> Option<&InstanceId> {
        self.record(slot).owner.as_ref()
    }

    /// Returns the partitions that an instance holds, under any incarnation.
    pub fn owned_by(&self, instance: &InstanceId) -> Vec<PartitionId> {
        let held = self
            .iter()
            .filter(|(_, record)| record.owner.as_ref() == Some(instance));
        held.map(|(slot, _)| slot).collect()
    }

    /// Returns the condition that a slot is as last seen.
    pub fn condition(&self, slot: PartitionId) -> Condition {
        Condition {
            key: slot.row_key(),
            version: self.partitions[slot.0 as usize].version,
        }
    }

    /// Returns the write that puts a record into a slot's row.
    pub fn write(slot: PartitionId, record: &PartitionRecord) -> Write {
        Write {
            key: slot.row_key(),
            value: serde_json::to_value(record).ok(),
        }
    }
}
