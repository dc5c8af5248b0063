//! Tickets that tie idempotency keys to a holder's epoch; see `docs/design/at-most-once.md`.

use std::fmt;
use std::str::FromStr;

use crate::partitions::PartitionId;

/// A ticket from `GET /v1/where`; keys that begin with it are claimed at the slot's holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IdempotencyToken {
    /// Slot of the customer.
    pub partition: PartitionId,
    /// Epoch of the slot's holder.
    pub epoch: u64,
    /// Makes tickets differ.
    pub nonce: u64,
}

impl IdempotencyToken {
    /// Reads the ticket at the start of an idempotency key.
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
        let slot = PartitionId(u32::try_from(number(10)?).map_err(|_| ())?);
        Ok(Self {
            partition: slot,
            epoch: number(10)?,
            nonce: number(16)?,
        })
    }
}
