//! Claims of idempotency keys that the slot holder keeps; see `docs/design/at-most-once.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthlever_types::{CustomerId, Fingerprint, IdempotencyRecord, RecordedOutcome};
use smol_str::{SmolStr, format_smolstr};

use crate::slots::SlotId;

/// Prefix of all claim rows in the table service.
const CLAIM_PREFIX: &str = "claim/";

/// Time for which a recorded claim stays in memory.
const KEEP: Duration = Duration::from_secs(60 * 60);

/// Customer and idempotency key.
pub type ClaimKey = (CustomerId, SmolStr);

/// Returns the key of a claim's row.
pub fn row_key(customer: &CustomerId, key: &str) -> SmolStr {
    let hash = Fingerprint::of(&[customer.as_str().as_bytes(), key.as_bytes()]).0;
    let check = Fingerprint::of(&[key.as_bytes(), customer.as_str().as_bytes()]).0;
    format_smolstr!("{CLAIM_PREFIX}{customer}/{hash:016x}{check:016x}")
}

#[derive(Debug)]
struct HeldClaim {
    record: IdempotencyRecord,
    /// Version of the row; 0 while there is none.
    version: u64,
    dirty: bool,
    writing: bool,
    touched: Duration,
}

/// A write that brings the table up to date with one claim.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimWrite {
    /// The claim.
    pub key: ClaimKey,
    /// What to record.
    pub record: IdempotencyRecord,
    /// Version that the row must have.
    pub version: u64,
}

/// Claims made in memory under tickets of the current epochs.
#[derive(Debug, Default)]
pub struct ClaimBook {
    claims: BTreeMap<ClaimKey, HeldClaim>,
    /// Slots of which recorded claims were dropped from memory.
    trimmed: BTreeSet<SlotId>,
}

impl ClaimBook {
    /// Returns a claim.
    pub fn get(&self, key: &ClaimKey) -> Option<&IdempotencyRecord> {
        self.claims.get(key).map(|claim| &claim.record)
    }

    /// Whether a claim that is not in memory was certainly never made in the current epoch.
    pub fn is_complete(&self, slot: SlotId) -> bool {
        !self.trimmed.contains(&slot)
    }

    /// Adds a claim, to be recorded later.
    pub fn insert(&mut self, key: ClaimKey, record: IdempotencyRecord, now: Duration) {
        let claim = HeldClaim {
            record,
            version: 0,
            dirty: true,
            writing: false,
            touched: now,
        };
        self.claims.insert(key, claim);
    }

    /// Adds an outcome; false if the claim is not in memory.
    pub fn outcome(&mut self, key: &ClaimKey, outcome: RecordedOutcome, now: Duration) -> bool {
        let Some(claim) = self.claims.get_mut(key) else {
            return false;
        };
        claim.record.outcome = Some(outcome);
        claim.dirty = true;
        claim.touched = now;
        true
    }

    /// Removes the claim of a call that was never sent; returns the version of its row.
    pub fn withdraw(&mut self, key: &ClaimKey) -> Option<u64> {
        self.claims.remove(key).map(|claim| claim.version)
    }

    /// Returns the writes that are due and marks them as under way.
    pub fn due_writes(&mut self, most: usize) -> Vec<ClaimWrite> {
        let due = self
            .claims
            .iter_mut()
            .filter(|(_, claim)| claim.dirty && !claim.writing);
        due.take(most)
            .map(|(key, claim)| {
                claim.writing = true;
                claim.dirty = false;
                let record = claim.record.clone();
                ClaimWrite {
                    key: key.clone(),
                    record,
                    version: claim.version,
                }
            })
            .collect()
    }

    /// Takes in the end of a write: the row's new version, or `None` if it must be repeated.
    pub fn written(&mut self, key: &ClaimKey, version: Option<u64>) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        claim.writing = false;
        match version {
            Some(version) => claim.version = version,
            None => claim.dirty = true,
        }
    }

    /// Takes in the version that a row was found to have.
    pub fn found(&mut self, key: &ClaimKey, version: u64) {
        if let Some(claim) = self.claims.get_mut(key) {
            claim.version = version;
        }
    }

    /// Whether all claims of a slot are recorded.
    pub fn is_recorded(&self, slot: SlotId) -> bool {
        let of_slot = self
            .claims
            .iter()
            .filter(|((customer, _), _)| SlotId::of(customer) == slot);
        of_slot
            .into_iter()
            .all(|(_, claim)| !claim.dirty && !claim.writing)
    }

    /// Whether all claims are recorded.
    pub fn all_recorded(&self) -> bool {
        self.claims
            .values()
            .all(|claim| !claim.dirty && !claim.writing)
    }

    /// Forgets the claims of a slot that is no longer held.
    pub fn drop_slot(&mut self, slot: SlotId) {
        self.claims
            .retain(|(customer, _), _| SlotId::of(customer) != slot);
        self.trimmed.remove(&slot);
    }

    /// Forgets recorded claims that were not asked about for long.
    pub fn trim(&mut self, now: Duration) {
        let trimmed = &mut self.trimmed;
        self.claims.retain(|(customer, _), claim| {
            let keep = claim.dirty || claim.writing || now < claim.touched + KEEP;
            if !keep {
                trimmed.insert(SlotId::of(customer));
            }
            keep
        });
    }
}
