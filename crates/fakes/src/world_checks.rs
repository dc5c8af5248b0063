//! What the world notes of itself for the checks.

use crate::world::FREED_AFTER;
use crate::world::Happening;
use crate::{EngineFaults, FakeEngine, World};
use jacinthlever_core::CallerId;
use jacinthlever_types::EngineRole;
use std::time::Duration;

/// Time in which the news of a free slot travels from its engine over an instance to the keeper.
const NEWS: Duration = Duration::from_millis(10);

impl World {
    /// Returns how often the call of a caller was run by workers.
    pub fn runs_of(&self, callers: &[CallerId]) -> usize {
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        runs.filter(|caller| callers.contains(caller)).count()
    }

    /// Notes what every request has used, for the audit of the limits.
    pub fn settle_audit(&mut self) {
        for (caller, name) in &self.names {
            let outcome = &self.outcomes[caller];
            let tokens = u64::from(outcome.script.prompt_tokens) + u64::from(outcome.tokens);
            self.audit.used(name, tokens);
        }
    }

    /// Whether engines that work as they should had two decode slots and a prefill slot free at a
    /// time, for long enough that the news of it had travelled.
    pub fn had_room(&self, at: Duration) -> bool {
        let seen = self.room.range(..=at).next_back();
        seen.is_some_and(|(since, room)| *room && *since + NEWS <= at)
    }

    pub(crate) fn note_room(&mut self) {
        let room = self.has_room();
        if self.room.values().next_back() != Some(&room) {
            self.room.insert(self.now, room);
        }
    }

    pub(crate) fn has_room(&self) -> bool {
        self.has_free(EngineRole::Decode, 2) && self.has_free(EngineRole::Prefill, 1)
    }

    pub(crate) fn has_free(&self, role: EngineRole, spare: u32) -> bool {
        let asker = &self.nodes[0].id;
        self.engines.iter().any(|(address, engine)| {
            let reached = self.network.reaches(asker, address);
            let works = reached && engine.up && engine.faults == EngineFaults::default();
            let used = engine.streams.len() as u32;
            works
                && engine.spec.role == role
                && used + engine.prefills.len() as u32 + spare <= engine.spec.slots
        })
    }

    /// Whether any backend server has seen a request of a caller.
    pub fn was_dispatched(&self, caller: CallerId) -> bool {
        self.names.contains_key(&caller)
    }

    /// Returns the prompt tokens that were prefilled and never decoded from.
    pub fn wasted_prefill(&self) -> u64 {
        self.wasted_prefill + self.unused_prefill.values().sum::<u64>()
    }

    /// Returns the callers for whom engines hold memory.
    pub fn held(&self) -> Vec<CallerId> {
        self.engines
            .values()
            .flat_map(FakeEngine::holders)
            .collect()
    }

    pub(crate) fn check_freed(&mut self, caller: CallerId) {
        if !self.held().contains(&caller) {
            return;
        }
        match self.nodes[self.outcomes[&caller].node].paused {
            // Nothing of a frozen process runs; the time counts from its thaw.
            true => self.schedule(self.now + FREED_AFTER, Happening::CheckFreed(caller)),
            false => self.held_too_long.push(caller),
        }
    }
}
