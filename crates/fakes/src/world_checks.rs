//! Records that the simulation keeps for the invariant checks.

use crate::world::MAX_RELEASE_DELAY;
use crate::world::ScheduledEvent;
use crate::{EngineFaults, FakeEngine, World};
use jacinthlever_core::CallerId;
use jacinthlever_types::EngineRole;
use std::time::Duration;

/// Time for the report of a free slot to travel from its engine through an instance to the
/// scheduler.
const CAPACITY_REPORT_DELAY: Duration = Duration::from_millis(10);

impl World {
    /// Returns how often workers have run the calls of these callers.
    pub fn runs_of(&self, callers: &[CallerId]) -> usize {
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        runs.filter(|caller| callers.contains(caller)).count()
    }

    /// Records the tokens that every request has used in the audit of the limits.
    pub fn record_usage(&mut self) {
        for (caller, id) in &self.request_ids {
            let outcome = &self.outcomes[caller];
            let tokens = u64::from(outcome.script.prompt_tokens) + u64::from(outcome.tokens);
            self.audit.record_use(id, tokens);
        }
    }

    /// Whether healthy engines had two decode slots and a prefill slot free at a time, and for long
    /// enough that the scheduler had received the report.
    pub fn had_capacity(&self, at: Duration) -> bool {
        let seen = self.capacity_changes.range(..=at).next_back();
        seen.is_some_and(|(since, has_capacity)| {
            *has_capacity && *since + CAPACITY_REPORT_DELAY <= at
        })
    }

    pub(crate) fn record_capacity(&mut self) {
        let has_capacity = self.has_capacity();
        if self.capacity_changes.values().next_back() != Some(&has_capacity) {
            self.capacity_changes.insert(self.now, has_capacity);
        }
    }

    pub(crate) fn has_capacity(&self) -> bool {
        self.has_free(EngineRole::Decode, 2) && self.has_free(EngineRole::Prefill, 1)
    }

    pub(crate) fn has_free(&self, role: EngineRole, spare: u32) -> bool {
        let origin = &self.instances[0].id;
        self.engines.iter().any(|(address, engine)| {
            let reached = self.network.reaches(origin, address);
            let works = reached && engine.up && engine.faults == EngineFaults::default();
            let used = engine.streams.len() as u32;
            works
                && engine.spec.role == role
                && used + engine.prefills.len() as u32 + spare <= engine.spec.slots
        })
    }

    /// Whether the request of a caller was sent to any backend server.
    pub fn was_dispatched(&self, caller: CallerId) -> bool {
        self.request_ids.contains_key(&caller)
    }

    /// Returns the prompt tokens that were prefilled and that no decode has used.
    pub fn wasted_prefill(&self) -> u64 {
        self.wasted_prefill + self.unused_prefill.values().sum::<u64>()
    }

    /// Returns the callers whose requests occupy engine memory.
    pub fn memory_users(&self) -> Vec<CallerId> {
        self.engines
            .values()
            .flat_map(FakeEngine::memory_users)
            .collect()
    }

    pub(crate) fn check_released(&mut self, caller: CallerId) {
        if !self.memory_users().contains(&caller) {
            return;
        }
        match self.instances[self.outcomes[&caller].instance].paused {
            // A paused process releases nothing; the time counts from when it resumes.
            true => self.schedule(
                self.now + MAX_RELEASE_DELAY,
                ScheduledEvent::CheckReleased(caller),
            ),
            false => self.late_releases.push(caller),
        }
    }
}
