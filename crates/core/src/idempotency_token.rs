//! Tokens that bind idempotency keys to an epoch of a partition owner; see
//! `docs/design/at-most-once.md`.

use std::fmt;
use std::str::FromStr;

use crate::partitions::PartitionId;

/// A token from `GET /v1/where`; the partition owner keeps the records of keys that begin with one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IdempotencyToken {
    /// Partition of the customer.
    pub partition: PartitionId,
    /// Epoch of the partition's owner.
    pub epoch: u64,
    /// Random number that makes tokens distinct.
    pub nonce: u64,
}

impl IdempotencyToken {
    /// Parses the token at the start of an idempotency key; `None` if there is none.
    pub fn of_key(key: &str) -> Option<Self> {
        key.split_once('.')?.0.parse().ok()
    }
}

impl fmt::Display for IdempotencyToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t1-{}-{}-{:x}", self.partition.0, self.epoch, self.nonce)
    }
}

impl FromStr for IdempotencyToken {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.split('-');
        if parts.next() != Some("t1") {
            return Err(());
        }
        let mut number =
            |radix| u64::from_str_radix(parts.next().unwrap_or_default(), radix).map_err(|_| ());
        let partition = PartitionId(u32::try_from(number(10)?).map_err(|_| ())?);
        Ok(Self {
            partition,
            epoch: number(10)?,
            nonce: number(16)?,
        })
    }
}
