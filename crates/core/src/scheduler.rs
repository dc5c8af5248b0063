//! The engine shards that this instance schedules; see `docs/design/placement.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{EngineId, InstanceId, ListKind, ListState, ModelId, ShardId};
use smol_str::{SmolStr, format_smolstr};

use crate::{Directory, EngineShard, EngineState, LogEvent, ShardLayout, rendezvous};

/// Layout of all engine shards, and the state of those that this instance schedules.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// Shards of the whole fleet.
    pub layout: ShardLayout,
    /// State of the shards that this instance schedules.
    pub shards: BTreeMap<ShardId, EngineShard>,
    /// Last reported queue pressure of the shards, in percent.
    pressure: BTreeMap<ShardId, u32>,
    /// Directory generation that the layout was computed from.
    generation: Option<u64>,
    active: Vec<InstanceId>,
}

impl Scheduler {
    /// Returns the instance that schedules a shard, based on the active instances known here.
    pub fn scheduler_of(&self, shard: &ShardId) -> Option<&InstanceId> {
        let ids: Vec<&str> = self.active.iter().map(InstanceId::as_str).collect();
        // All instances must hash the same text, or they disagree about the scheduler.
        let picked = rendezvous::pick(&format_smolstr!("cell-{shard}"), &ids)?;
        self.active.iter().find(|id| id.as_str() == *picked)
    }

    /// Chooses a shard for a request: of two random ones, the one with the lower queue pressure.
    pub fn choose_shard(&self, model: &ModelId, random: u64) -> Option<ShardId> {
        let shards: Vec<&ShardId> = self.layout.shards_of(model).collect();
        if shards.is_empty() {
            return None;
        }
        let first = shards[(random >> 32) as usize % shards.len()];
        let second = shards[(random & 0xffff_ffff) as usize % shards.len()];
        let pressure = |shard: &ShardId| self.pressure.get(shard).copied().unwrap_or_default();
        Some(if pressure(second) < pressure(first) {
            second.clone()
        } else {
            first.clone()
        })
    }

    /// Stores the reported queue pressure of a shard, in percent.
    pub fn set_pressure(&mut self, shard: &ShardId, pressure: u32) {
        self.pressure.insert(shard.clone(), pressure);
    }

    /// Updates the shards to the list and the active instances; returns the events to log.
    pub fn refresh(
        &mut self,
        own: &InstanceId,
        active: &[InstanceId],
        directory: &Directory,
    ) -> Vec<LogEvent> {
        // If no instance is active, this one still completes the requests that it has accepted.
        let fallback = [own.clone()];
        let active = if active.is_empty() { &fallback } else { active };
        if self.generation == Some(directory.generation()) && self.active == active {
            return Vec::new();
        }
        self.generation = Some(directory.generation());
        self.active = active.to_vec();
        self.layout = ShardLayout::of(directory);
        let mut log = self.remove_shards(own);
        log.extend(self.add_shards(own, directory));
        log
    }

    /// Returns the engines to probe, with their shards and addresses.
    pub fn probe_targets(&self) -> Vec<(ShardId, EngineId, SmolStr)> {
        let shards = self.shards.iter();
        shards
            .flat_map(|(shard, state)| {
                state
                    .engines()
                    .map(|e| (shard.clone(), e.id.clone(), e.address.clone()))
            })
            .collect()
    }

    /// Refuses and grants waiting requests of every shard.
    pub fn process_queues(&mut self, now: Duration) {
        self.shards
            .values_mut()
            .for_each(|shard| shard.process_queue(now));
    }

    fn remove_shards(&mut self, own: &InstanceId) -> Vec<LogEvent> {
        let all: Vec<ShardId> = self.shards.keys().cloned().collect();
        let removed: Vec<ShardId> = all
            .into_iter()
            .filter(|shard| {
                self.scheduler_of(shard) != Some(own) || !self.layout.shards().contains_key(shard)
            })
            .collect();
        for shard in &removed {
            self.shards.remove(shard);
        }
        removed
            .into_iter()
            .map(|shard| LogEvent::CellLeft { shard })
            .collect()
    }

    fn add_shards(&mut self, own: &InstanceId, directory: &Directory) -> Vec<LogEvent> {
        let mut log = Vec::new();
        let layout = std::mem::take(&mut self.layout);
        for (id, engines) in layout.shards() {
            if self.scheduler_of(id) != Some(own) {
                continue;
            }
            if !self.shards.contains_key(id) {
                log.push(LogEvent::CellKept {
                    shard: id.clone(),
                    engines: engines.len(),
                });
            }
            let shard = self.shards.entry(id.clone()).or_default();
            shard.retain_engines(|engine| engines.contains(engine));
            for engine in engines {
                if let Some(listed) = listed_engine(engine, directory) {
                    shard.update_engine(listed);
                }
            }
        }
        self.layout = layout;
        log
    }
}

fn listed_engine(id: &EngineId, directory: &Directory) -> Option<EngineState> {
    let entry = directory.get(id.as_str())?;
    let ListKind::Engine { role, .. } = &entry.kind else {
        return None;
    };
    let mut engine = EngineState::new(id.clone(), *role, entry.address.clone(), entry.zone.clone());
    engine.state = if entry.state == ListState::Live {
        ListState::Live
    } else {
        ListState::Leaving
    };
    Some(engine)
}
