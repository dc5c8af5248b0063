//! Rate limits of the customers whose partitions this instance owns; see `docs/design/limits.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{ChargeDenied, CustomerId, CustomerRow, RequestId};

use crate::partitions::{PartitionId, PartitionRecord};
use crate::{Bucket, BucketRecord};

/// Initial level of a bucket that the previous owner did not hand over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InitialLevel {
    /// The bucket was full when the partition was acquired.
    Full,
    /// The level is unknown and counts as empty at the acquisition.
    Empty,
}

#[derive(Debug)]
struct OwnedPartition {
    initial_level: InitialLevel,
    acquired_at: Duration,
    /// Set while a release is in progress; charges are then refused.
    releasing: bool,
    buckets: BTreeMap<CustomerId, Bucket>,
    /// Buckets that the previous owner handed over, until their customer is first charged.
    handed_over: BTreeMap<CustomerId, BucketRecord>,
}

/// Buckets of all customers in the owned partitions.
#[derive(Debug, Default)]
pub struct Limiter {
    owned: BTreeMap<PartitionId, OwnedPartition>,
}

impl Limiter {
    /// Adds an owned partition whose record before the acquisition is `before`.
    ///
    /// `unclean` says that the previous owner did not hand over its state.
    pub fn acquire(
        &mut self,
        partition: PartitionId,
        before: PartitionRecord,
        unclean: bool,
        now: Duration,
    ) {
        let owned = OwnedPartition {
            initial_level: if unclean {
                InitialLevel::Empty
            } else {
                InitialLevel::Full
            },
            acquired_at: now,
            releasing: false,
            buckets: BTreeMap::new(),
            handed_over: if unclean {
                BTreeMap::new()
            } else {
                before.buckets
            },
        };
        self.owned.insert(partition, owned);
    }

    /// Removes a partition that is no longer owned.
    pub fn drop_partition(&mut self, partition: PartitionId) {
        self.owned.remove(&partition);
    }

    /// Removes all partitions.
    pub fn clear(&mut self) {
        self.owned.clear();
    }

    /// Whether the instance owns a partition and may charge in it, provided that its lease is
    /// valid.
    pub fn owns(&self, partition: PartitionId) -> bool {
        self.owned
            .get(&partition)
            .is_some_and(|owned| !owned.releasing)
    }

    /// Returns the owned partitions, including those being released.
    pub fn partitions(&self) -> impl Iterator<Item = PartitionId> {
        self.owned.keys().copied()
    }

    /// Stops charges in a partition; returns the buckets to hand over to the next owner.
    pub fn start_release<'a>(
        &mut self,
        partition: PartitionId,
        customers: impl IntoIterator<Item = (&'a CustomerId, &'a CustomerRow)>,
        now: Duration,
    ) -> BTreeMap<CustomerId, BucketRecord> {
        let Some(owned) = self.owned.get_mut(&partition) else {
            return BTreeMap::new();
        };
        owned.releasing = true;
        let mut buckets = BTreeMap::new();
        for (customer, limits) in customers
            .into_iter()
            .filter(|(c, _)| PartitionId::of(c) == partition)
        {
            let bucket = owned.bucket(customer, limits, now);
            if !bucket.is_idle(now) {
                buckets.insert(customer.clone(), bucket.to_record(now));
            }
        }
        buckets
    }

    /// Resumes charges in a partition whose release did not take effect.
    pub fn cancel_release(&mut self, partition: PartitionId) {
        if let Some(owned) = self.owned.get_mut(&partition) {
            owned.releasing = false;
        }
    }

    /// Charges a customer; returns false if the request was already charged.
    ///
    /// # Errors
    /// Returns the reason why the charge was denied.
    pub fn charge(
        &mut self,
        customer: &CustomerId,
        limits: &CustomerRow,
        id: &RequestId,
        tokens: u64,
        now: Duration,
    ) -> Result<bool, ChargeDenied> {
        let owned = self
            .owned
            .get_mut(&PartitionId::of(customer))
            .filter(|owned| !owned.releasing);
        let owned = owned.ok_or(ChargeDenied::NotOwner)?;
        let recovering = owned.is_recovering(limits, now);
        let charged = owned.bucket(customer, limits, now).charge(id, tokens, now);
        charged.map_err(|wait| ChargeDenied::OverLimit {
            retry_after_ms: wait.map(|wait| wait.as_millis() as u32 + 1),
            recovering,
        })
    }

    /// Settles a charge with the number of tokens used.
    pub fn settle(&mut self, customer: &CustomerId, id: &RequestId, used: u64, now: Duration) {
        let owned = self.owned.get_mut(&PartitionId::of(customer));
        let bucket = owned.and_then(|owned| owned.buckets.get_mut(customer));
        if let Some(bucket) = bucket {
            bucket.settle(id, used, now);
        }
    }

    /// Returns the tokens that a customer can use now; `None` if its partition is not owned.
    pub fn level(
        &mut self,
        customer: &CustomerId,
        limits: &CustomerRow,
        now: Duration,
    ) -> Option<f64> {
        let owned = self.owned.get_mut(&PartitionId::of(customer))?;
        Some(owned.bucket(customer, limits, now).level(now))
    }

    /// Removes the pending charges of lost requests; they count as fully used.
    pub fn forget(&mut self, is_lost: impl Fn(&RequestId) -> bool) {
        let buckets = self
            .owned
            .values_mut()
            .flat_map(|owned| owned.buckets.values_mut());
        buckets.for_each(|bucket| bucket.forget(&is_lost));
    }
}

impl OwnedPartition {
    fn bucket(
        &mut self,
        customer: &CustomerId,
        limits: &CustomerRow,
        now: Duration,
    ) -> &mut Bucket {
        let bucket = self.buckets.entry(customer.clone()).or_insert_with(|| {
            match (self.handed_over.remove(customer), self.initial_level) {
                (Some(record), _) => {
                    let mut bucket = Bucket::from_record(limits, record, self.acquired_at);
                    bucket.set_limits(limits, now);
                    bucket
                }
                (None, InitialLevel::Full) => Bucket::full(limits, now),
                (None, InitialLevel::Empty) => Bucket::with_level(limits, 0.0, self.acquired_at),
            }
        });
        bucket.set_limits(limits, now);
        bucket
    }

    /// Whether buckets may still be too low, as their level was unknown at the acquisition.
    fn is_recovering(&self, limits: &CustomerRow, now: Duration) -> bool {
        let refill_time = Duration::from_secs_f64(limits.burst / limits.rate);
        self.initial_level == InitialLevel::Empty && now < self.acquired_at + refill_time
    }
}
