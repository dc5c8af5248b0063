//! The token bucket of one customer; see `docs/design/limits.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{CustomerRow, RequestId};
use serde::{Deserialize, Serialize};

/// Tolerance for rounding errors, in tokens; far below the smallest charge of one token.
const EPSILON_TOKENS: f64 = 1e-6;

/// A token bucket whose charges are upper bounds that are settled later.
///
/// A settlement refunds the unused part of a charge, less what would have overflowed the burst if
/// that part had never been charged. This keeps the settled charges of every time window below
/// `burst + rate * length`, which `tests/limits.rs` checks against an exact log.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Tokens per second.
    rate: f64,
    /// Capacity in tokens.
    burst: f64,
    /// Tokens in the bucket at `updated_at`.
    level: f64,
    updated_at: Duration,
    pending: BTreeMap<RequestId, PendingCharge>,
}

/// A charge that is not settled yet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PendingCharge {
    /// Tokens charged.
    pub tokens: f64,
    /// Highest level since the charge, including the refunds of all settlements since then.
    peak: f64,
}

/// The state of a bucket, as one partition owner hands it over to the next.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BucketRecord {
    /// Tokens in the bucket at the handover.
    pub level: f64,
    /// Charges that are not settled yet.
    #[serde(default)]
    pub pending: Vec<(RequestId, PendingCharge)>,
}

impl Bucket {
    /// Creates a bucket with a level, which is capped at the burst.
    pub fn with_level(limits: &CustomerRow, level: f64, now: Duration) -> Self {
        Self {
            rate: limits.rate,
            burst: limits.burst,
            level: level.min(limits.burst),
            updated_at: now,
            pending: BTreeMap::new(),
        }
    }

    /// Creates a full bucket, for a customer that was never charged.
    pub fn full(limits: &CustomerRow, now: Duration) -> Self {
        Self::with_level(limits, limits.burst, now)
    }

    /// Restores a bucket that another owner released.
    pub fn from_record(limits: &CustomerRow, record: BucketRecord, now: Duration) -> Self {
        let mut bucket = Self::with_level(limits, record.level, now);
        bucket.pending = record.pending.into_iter().collect();
        bucket
    }

    /// Returns the state that the next owner needs.
    pub fn to_record(&mut self, now: Duration) -> BucketRecord {
        self.refill(now);
        let pending = self
            .pending
            .iter()
            .map(|(id, p)| (id.clone(), p.clone()))
            .collect();
        BucketRecord {
            level: self.level,
            pending,
        }
    }

    /// Applies changed limits from `now` on.
    pub fn set_limits(&mut self, limits: &CustomerRow, now: Duration) {
        if self.rate == limits.rate && self.burst == limits.burst {
            return;
        }
        self.refill(now);
        self.rate = limits.rate;
        self.burst = limits.burst;
        self.level = self.level.min(limits.burst);
    }

    /// Returns the tokens that can be charged at `now`.
    pub fn level(&mut self, now: Duration) -> f64 {
        self.refill(now);
        self.level
    }

    /// Whether the bucket is full and nothing is pending.
    pub fn is_idle(&mut self, now: Duration) -> bool {
        self.level(now) >= self.burst && self.pending.is_empty()
    }

    /// Charges `tokens` for a request, once per id; returns whether this call made the charge.
    ///
    /// # Errors
    /// Returns the time until the bucket contains enough tokens, or `None` if it never can.
    pub fn charge(
        &mut self,
        id: &RequestId,
        tokens: u64,
        now: Duration,
    ) -> Result<bool, Option<Duration>> {
        if self.pending.contains_key(id) {
            return Ok(false);
        }
        self.refill(now);
        let tokens = tokens as f64;
        if tokens > self.burst + EPSILON_TOKENS {
            return Err(None);
        }
        if tokens > self.level + EPSILON_TOKENS {
            return Err(Some(Duration::from_secs_f64(
                (tokens - self.level) / self.rate,
            )));
        }
        self.raise_peaks();
        self.level -= tokens;
        self.pending.insert(
            id.clone(),
            PendingCharge {
                tokens,
                peak: self.level,
            },
        );
        Ok(true)
    }

    /// Settles a charge with the number of tokens used; an unknown id is ignored.
    pub fn settle(&mut self, id: &RequestId, used: u64, now: Duration) {
        self.refill(now);
        self.raise_peaks();
        let Some(pending) = self.pending.remove(id) else {
            return;
        };
        let unused = (pending.tokens - used as f64).max(0.0);
        let overflow = (pending.peak + unused - self.burst).max(0.0);
        let refund = (unused - overflow).max(0.0);
        self.level = (self.level + refund).min(self.burst);
        for other in self.pending.values_mut() {
            other.peak = (other.peak + refund).min(self.burst);
        }
    }

    /// Removes the pending charges for which `is_lost` returns true; they count as fully used.
    pub fn forget(&mut self, is_lost: impl Fn(&RequestId) -> bool) {
        self.pending.retain(|id, _| !is_lost(id));
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.level = (self.level + self.rate * elapsed).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }

    /// Updates the peaks. The level only rises between charges, so the peak since a charge is
    /// reached right before the next charge.
    fn raise_peaks(&mut self) {
        for pending in self.pending.values_mut() {
            pending.peak = pending.peak.max(self.level);
        }
    }
}
