//! The limits of the customers whose slots this instance holds; see `docs/design/limits.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{ChargeDenied, CustomerId, CustomerRow, RequestId};

use crate::slots::{SlotId, SlotRecord};
use crate::{Bucket, BucketRecord};

/// What a customer without a bucket is known to have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    /// Its bucket was full when the slot was taken.
    Full,
    /// Its bucket is unknown and counts as empty at the take.
    Empty,
}

#[derive(Debug)]
struct HeldSlot {
    origin: Origin,
    taken: Duration,
    /// Set while a release is on its way; nothing is charged any more.
    releasing: bool,
    buckets: BTreeMap<CustomerId, Bucket>,
    /// Buckets handed over by the last holder, until their customer is first charged.
    handed: BTreeMap<CustomerId, BucketRecord>,
}

/// Buckets of all customers of the held slots.
#[derive(Debug, Default)]
pub struct Limiter {
    held: BTreeMap<SlotId, HeldSlot>,
}

impl Limiter {
    /// Starts to hold a slot whose last record is `before`.
    pub fn take(&mut self, slot: SlotId, before: SlotRecord, unclean: bool, now: Duration) {
        let held = HeldSlot {
            origin: if unclean { Origin::Empty } else { Origin::Full },
            taken: now,
            releasing: false,
            buckets: BTreeMap::new(),
            handed: if unclean {
                BTreeMap::new()
            } else {
                before.buckets
            },
        };
        self.held.insert(slot, held);
    }

    /// Stops holding a slot.
    pub fn drop_slot(&mut self, slot: SlotId) {
        self.held.remove(&slot);
    }

    /// Stops holding all slots.
    pub fn clear(&mut self) {
        self.held.clear();
    }

    /// Whether the instance holds a slot and may charge in it, if its lease is valid.
    pub fn holds(&self, slot: SlotId) -> bool {
        self.held.get(&slot).is_some_and(|held| !held.releasing)
    }

    /// Returns the held slots, also those being released.
    pub fn slots(&self) -> impl Iterator<Item = SlotId> {
        self.held.keys().copied()
    }

    /// Stops charging in a slot; returns the buckets for the next holder.
    pub fn start_release<'a>(
        &mut self,
        slot: SlotId,
        customers: impl IntoIterator<Item = (&'a CustomerId, &'a CustomerRow)>,
        now: Duration,
    ) -> BTreeMap<CustomerId, BucketRecord> {
        let Some(held) = self.held.get_mut(&slot) else {
            return BTreeMap::new();
        };
        held.releasing = true;
        let mut buckets = BTreeMap::new();
        for (customer, limits) in customers.into_iter().filter(|(c, _)| SlotId::of(c) == slot) {
            let bucket = held.bucket(customer, limits, now);
            if !bucket.is_idle(now) {
                buckets.insert(customer.clone(), bucket.to_record(now));
            }
        }
        buckets
    }

    /// Goes on holding a slot whose release did not take effect.
    pub fn cancel_release(&mut self, slot: SlotId) {
        if let Some(held) = self.held.get_mut(&slot) {
            held.releasing = false;
        }
    }

    /// Charges a customer; returns whether the request was charged now and not before.
    ///
    /// # Errors
    /// Says why nothing was charged.
    pub fn charge(
        &mut self,
        customer: &CustomerId,
        limits: &CustomerRow,
        id: &RequestId,
        tokens: u64,
        now: Duration,
    ) -> Result<bool, ChargeDenied> {
        let held = self
            .held
            .get_mut(&SlotId::of(customer))
            .filter(|held| !held.releasing);
        let held = held.ok_or(ChargeDenied::NotOwner)?;
        let recovering = held.is_recovering(limits, now);
        let charged = held.bucket(customer, limits, now).charge(id, tokens, now);
        charged.map_err(|wait| ChargeDenied::OverLimit {
            retry_after_ms: wait.map(|wait| wait.as_millis() as u32 + 1),
            recovering,
        })
    }

    /// Settles a charge with the tokens used.
    pub fn settle(&mut self, customer: &CustomerId, id: &RequestId, used: u64, now: Duration) {
        let held = self.held.get_mut(&SlotId::of(customer));
        let bucket = held.and_then(|held| held.buckets.get_mut(customer));
        if let Some(bucket) = bucket {
            bucket.settle(id, used, now);
        }
    }

    /// Returns the tokens that a customer can use now; `None` if its slot is not held.
    pub fn level(
        &mut self,
        customer: &CustomerId,
        limits: &CustomerRow,
        now: Duration,
    ) -> Option<f64> {
        let held = self.held.get_mut(&SlotId::of(customer))?;
        Some(held.bucket(customer, limits, now).level(now))
    }

    /// Forgets the pending charges of requests that are lost; they count as used.
    pub fn forget(&mut self, is_lost: impl Fn(&RequestId) -> bool) {
        let buckets = self
            .held
            .values_mut()
            .flat_map(|held| held.buckets.values_mut());
        buckets.for_each(|bucket| bucket.forget(&is_lost));
    }
}

impl HeldSlot {
    fn bucket(
        &mut self,
        customer: &CustomerId,
        limits: &CustomerRow,
        now: Duration,
    ) -> &mut Bucket {
        let bucket = self.buckets.entry(customer.clone()).or_insert_with(|| {
            match (self.handed.remove(customer), self.origin) {
                (Some(record), _) => {
                    let mut bucket = Bucket::from_record(limits, record, self.taken);
                    bucket.set_limits(limits, now);
                    bucket
                }
                (None, Origin::Full) => Bucket::full(limits, now),
                (None, Origin::Empty) => Bucket::with_level(limits, 0.0, self.taken),
            }
        });
        bucket.set_limits(limits, now);
        bucket
    }

    fn is_recovering(&self, limits: &CustomerRow, now: Duration) -> bool {
        let fill = Duration::from_secs_f64(limits.burst / limits.rate);
        self.origin == Origin::Empty && now < self.taken + fill
    }
}
