//! Requests that crash backend servers ("queries of death"); see `docs/design/poison-requests.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{ChargeDenied, CustomerId, Fingerprint, RequestId};

/// Maximum number of backend servers that equal requests may crash before they are quarantined.
pub const MAX_CRASHES: usize = 2;

/// Time for which a crash count is kept after its last use.
const CRASH_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Time after which a running request whose end was not reported counts as ended.
const MAX_RUN_TIME: Duration = Duration::from_secs(15 * 60);

/// Time for which fingerprints without crashes are kept after their last use.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct CrashRecord {
    crashes: usize,
    /// Whether any number of equal requests may run at once.
    cleared: bool,
    /// Time at which each running request was admitted.
    running: BTreeMap<RequestId, Duration>,
    last_used: Duration,
}

/// Crash counts by request fingerprint, for the customers whose partitions this instance owns.
#[derive(Debug, Default)]
pub struct SuspectRequests {
    entries: BTreeMap<(CustomerId, Fingerprint), CrashRecord>,
}

impl SuspectRequests {
    /// Admits a request, so that crashes plus running requests that are not cleared stay within
    /// [`MAX_CRASHES`].
    ///
    /// # Errors
    /// Returns whether equal requests are quarantined, or one of them must be cleared first.
    pub fn admit(
        &mut self,
        customer: &CustomerId,
        fingerprint: Fingerprint,
        id: &RequestId,
        now: Duration,
    ) -> Result<(), ChargeDenied> {
        let entry = self
            .entries
            .entry((customer.clone(), fingerprint))
            .or_default();
        entry.last_used = now;
        if entry.crashes >= MAX_CRASHES {
            return Err(ChargeDenied::CrashSuspect);
        }
        let others = entry
            .running
            .keys()
            .filter(|running| *running != id)
            .count();
        if !entry.cleared && entry.crashes + others >= MAX_CRASHES {
            return Err(ChargeDenied::NotCleared);
        }
        entry.running.insert(id.clone(), now);
        Ok(())
    }

    /// Records that a request has run long enough to be cleared.
    pub fn mark_cleared(&mut self, customer: &CustomerId, fingerprint: Fingerprint, now: Duration) {
        let entry = self
            .entries
            .entry((customer.clone(), fingerprint))
            .or_default();
        entry.last_used = now;
        entry.cleared = entry.crashes < MAX_CRASHES;
    }

    /// Records the end of a request.
    pub fn end_run(&mut self, customer: &CustomerId, fingerprint: Fingerprint, id: &RequestId) {
        if let Some(entry) = self.entries.get_mut(&(customer.clone(), fingerprint)) {
            entry.running.remove(id);
        }
    }

    /// Counts a crash of a backend server that ran the request.
    pub fn count_crash(&mut self, customer: &CustomerId, fingerprint: Fingerprint, now: Duration) {
        let entry = self
            .entries
            .entry((customer.clone(), fingerprint))
            .or_default();
        entry.last_used = now;
        entry.cleared = false;
        entry.crashes += 1;
    }

    /// Restores a crash count that an earlier owner stored.
    pub fn restore_crashes(
        &mut self,
        customer: &CustomerId,
        fingerprint: Fingerprint,
        crashes: usize,
        now: Duration,
    ) {
        let entry = self
            .entries
            .entry((customer.clone(), fingerprint))
            .or_default();
        entry.last_used = now;
        entry.crashes = entry.crashes.max(crashes);
    }

    /// Returns the crash count of a fingerprint.
    pub fn crashes(&self, customer: &CustomerId, fingerprint: Fingerprint) -> usize {
        self.entries
            .get(&(customer.clone(), fingerprint))
            .map_or(0, |entry| entry.crashes)
    }

    /// Removes requests of lost instances, and fingerprints that have not been used for long.
    pub fn expire(&mut self, is_lost: impl Fn(&RequestId) -> bool, now: Duration) {
        self.entries.retain(|_, entry| {
            entry
                .running
                .retain(|id, since| !is_lost(id) && now < *since + MAX_RUN_TIME);
            let retention = if entry.crashes > 0 {
                CRASH_RETENTION
            } else {
                CLEARED_RETENTION
            };
            !entry.running.is_empty() || now < entry.last_used + retention
        });
    }
}
