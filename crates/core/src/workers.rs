//! Load and health of the workers of plain services, as one instance sees them.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{ListEntry, ZoneId};
use smol_str::SmolStr;

use crate::Directory;

/// Backoff after a first failure; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff after repeated failures.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct Worker {
    /// Calls of this instance that are in progress.
    outstanding: usize,
    failures: u32,
    backoff_until: Duration,
}

/// Load and health of the workers that this instance calls.
#[derive(Debug, Default)]
pub struct Workers {
    workers: BTreeMap<SmolStr, Worker>,
}

impl Workers {
    /// Chooses the worker with the fewest outstanding calls; ties prefer the given zone.
    ///
    /// A worker in backoff after failures is chosen only if there is no other.
    pub fn choose<'a>(
        &self,
        directory: &'a Directory,
        service: &'a str,
        avoid: &[SmolStr],
        zone: &ZoneId,
        random: u64,
        now: Duration,
    ) -> Option<&'a ListEntry> {
        let candidates = directory
            .live_workers(service)
            .filter(|e| !avoid.contains(&e.id));
        candidates.min_by_key(|entry| {
            let worker = self.workers.get(&entry.id);
            let backing_off = worker.is_some_and(|worker| now < worker.backoff_until);
            let outstanding = worker.map_or(0, |worker| worker.outstanding);
            let tie = crate::rendezvous::score(&random.to_string(), &entry.id);
            (backing_off, outstanding, entry.zone != *zone, tie)
        })
    }

    /// Records the start of a call.
    pub fn call_started(&mut self, id: &SmolStr) {
        self.workers.entry(id.clone()).or_default().outstanding += 1;
    }

    /// Records the end of a call; returns whether the worker's health changed.
    pub fn call_ended(&mut self, id: &SmolStr, healthy: bool, now: Duration) -> bool {
        let worker = self.workers.entry(id.clone()).or_default();
        worker.outstanding = worker.outstanding.saturating_sub(1);
        if healthy {
            return std::mem::take(&mut worker.failures) > 0;
        }
        if now < worker.backoff_until {
            // A single failure breaks many calls but counts once.
            return false;
        }
        let backoff = INITIAL_BACKOFF * 2u32.saturating_pow(worker.failures.min(10));
        worker.backoff_until = now + backoff.min(MAX_BACKOFF);
        worker.failures += 1;
        worker.failures == 1
    }
}
