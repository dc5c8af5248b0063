//! Requests that crash backend servers; see `docs/design/poison-requests.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{ChargeDenied, CustomerId, Fingerprint, RequestId};

/// Backend servers that equal requests may cost the fleet.
pub const MAX_CRASHES: usize = 2;

/// Time for which a crash is remembered after it was last asked about.
const REMEMBER: Duration = Duration::from_secs(24 * 60 * 60);

/// Time after which a copy whose end was not told counts as ended.
const LONGEST_RUN: Duration = Duration::from_secs(15 * 60);

/// Time for which harmless fingerprints are remembered.
const REMEMBER_HARMLESS: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct Suspicion {
    crashes: usize,
    harmless: bool,
    /// When each running copy was admitted.
    running: BTreeMap<RequestId, Duration>,
    touched: Duration,
}

/// Crash counts of the requests of the customers whose slots this instance holds.
#[derive(Debug, Default)]
pub struct Suspects {
    known: BTreeMap<(CustomerId, Fingerprint), Suspicion>,
}

impl Suspects {
    /// Admits a request, keeping crashes plus unproven running copies within [`MAX_CRASHES`].
    ///
    /// # Errors
    /// Says whether equal requests are condemned or must first prove harmless.
    pub fn admit(
        &mut self,
        customer: &CustomerId,
        fingerprint: Fingerprint,
        id: &RequestId,
        now: Duration,
    ) -> Result<(), ChargeDenied> {
        let entry = self
            .known
            .entry((customer.clone(), fingerprint))
            .or_default();
        entry.touched = now;
        if entry.crashes >= MAX_CRASHES {
            return Err(ChargeDenied::CrashSuspect);
        }
        let others = entry
            .running
            .keys()
            .filter(|running| *running != id)
            .count();
        if !entry.harmless && entry.crashes + others >= MAX_CRASHES {
            return Err(ChargeDenied::NotCleared);
        }
        entry.running.insert(id.clone(), now);
        Ok(())
    }

    /// Takes in that a request has run long enough to be harmless.
    pub fn harmless(&mut self, customer: &CustomerId, fingerprint: Fingerprint, now: Duration) {
        let entry = self
            .known
            .entry((customer.clone(), fingerprint))
            .or_default();
        entry.touched = now;
        entry.harmless = entry.crashes < MAX_CRASHES;
    }

    /// Takes in that a request has ended.
    pub fn ended(&mut self, customer: &CustomerId, fingerprint: Fingerprint, id: &RequestId) {
        if let Some(entry) = self.known.get_mut(&(customer.clone(), fingerprint)) {
            entry.running.remove(id);
        }
    }

    /// Counts a crash.
    pub fn crashed(&mut self, customer: &CustomerId, fingerprint: Fingerprint, now: Duration) {
        let entry = self
            .known
            .entry((customer.clone(), fingerprint))
            .or_default();
        entry.touched = now;
        entry.harmless = false;
        entry.crashes += 1;
    }

    /// Takes in a crash count that an earlier holder recorded.
    pub fn recorded(
        &mut self,
        customer: &CustomerId,
        fingerprint: Fingerprint,
        crashes: usize,
        now: Duration,
    ) {
        let entry = self
            .known
            .entry((customer.clone(), fingerprint))
            .or_default();
        entry.touched = now;
        entry.crashes = entry.crashes.max(crashes);
    }

    /// Returns the crash count of a fingerprint.
    pub fn crashes(&self, customer: &CustomerId, fingerprint: Fingerprint) -> usize {
        self.known
            .get(&(customer.clone(), fingerprint))
            .map_or(0, |entry| entry.crashes)
    }

    /// Forgets requests of lost instances and fingerprints that nobody asked about for long.
    pub fn expire(&mut self, is_lost: impl Fn(&RequestId) -> bool, now: Duration) {
        self.known.retain(|_, entry| {
            entry
                .running
                .retain(|id, since| !is_lost(id) && now < *since + LONGEST_RUN);
            let keep = if entry.crashes > 0 {
                REMEMBER
            } else {
                REMEMBER_HARMLESS
            };
            !entry.running.is_empty() || now < entry.touched + keep
        });
    }
}
