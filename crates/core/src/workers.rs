//! Workers of plain services as one instance sees them.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{ListEntry, ZoneId};
use smol_str::SmolStr;

use crate::Directory;

/// First pause after a failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct Worker {
    /// Calls of this instance that are under way.
    outstanding: usize,
    failures: u32,
    paused_until: Duration,
}

/// Load and health of the workers that this instance calls.
#[derive(Debug, Default)]
pub struct Workers {
    workers: BTreeMap<SmolStr, Worker>,
}

impl Workers {
    /// Chooses the worker with the fewest calls, a near one before a far one.
    ///
    /// Workers that pause after failures are chosen only if there is no other.
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
            let paused = worker.is_some_and(|worker| now < worker.paused_until);
            let outstanding = worker.map_or(0, |worker| worker.outstanding);
            let tie = crate::rendezvous::score(&random.to_string(), &entry.id);
            (paused, outstanding, entry.zone != *zone, tie)
        })
    }

    /// Takes in that a call has begun.
    pub fn call_started(&mut self, id: &SmolStr) {
        self.workers.entry(id.clone()).or_default().outstanding += 1;
    }

    /// Takes in that a call has ended; returns whether the worker's health changed.
    pub fn call_ended(&mut self, id: &SmolStr, healthy: bool, now: Duration) -> bool {
        let worker = self.workers.entry(id.clone()).or_default();
        worker.outstanding = worker.outstanding.saturating_sub(1);
        if healthy {
            return std::mem::take(&mut worker.failures) > 0;
        }
        if now < worker.paused_until {
            // One failure breaks many calls and counts once.
            return false;
        }
        let pause = FIRST_PAUSE * 2u32.saturating_pow(worker.failures.min(10));
        worker.paused_until = now + pause.min(LONGEST_PAUSE);
        worker.failures += 1;
        worker.failures == 1
    }
}
