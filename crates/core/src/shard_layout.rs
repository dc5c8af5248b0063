//! Assignment of engines to shards; see `docs/design/placement.md`.

use std::collections::{BTreeMap, BTreeSet};

use jacinthlever_types::{EngineId, ListKind, ModelId, ShardId, ZoneId};
use smol_str::{SmolStr, format_smolstr};

use crate::{Directory, rendezvous};

/// Maximum number of engines per shard, on average.
pub const ENGINES_PER_SHARD: usize = 64;

/// The engines of each shard, which every instance computes from the platform's list.
#[derive(Debug, Default, PartialEq)]
pub struct ShardLayout {
    shards: BTreeMap<ShardId, BTreeSet<EngineId>>,
}

impl ShardLayout {
    /// Computes the layout from the listed engines of each model.
    pub fn of(directory: &Directory) -> Self {
        let mut models: BTreeMap<&ModelId, Vec<(&SmolStr, &ZoneId)>> = BTreeMap::new();
        for entry in directory.entries() {
            if let ListKind::Engine { model, .. } = &entry.kind {
                models
                    .entry(model)
                    .or_default()
                    .push((&entry.id, &entry.zone));
            }
        }
        let mut shards: BTreeMap<ShardId, BTreeSet<EngineId>> = BTreeMap::new();
        for (model, engines) in models {
            let zones: BTreeSet<&ZoneId> = engines.iter().map(|(_, zone)| *zone).collect();
            let zones: Vec<&ZoneId> = zones.into_iter().collect();
            // With powers of two, few engines move when the number of shards changes.
            let count = engines
                .len()
                .div_ceil(ENGINES_PER_SHARD)
                .next_power_of_two();
            for (id, zone) in engines {
                let number = shard_number(id, zone, &zones, count);
                let shard = ShardId {
                    model: model.clone(),
                    shard: number,
                };
                shards
                    .entry(shard)
                    .or_default()
                    .insert(EngineId(id.clone()));
            }
        }
        Self { shards }
    }

    /// Returns all shards with their engines.
    pub fn shards(&self) -> &BTreeMap<ShardId, BTreeSet<EngineId>> {
        &self.shards
    }

    /// Returns the shards of a model.
    pub fn shards_of<'a>(&'a self, model: &'a ModelId) -> impl Iterator<Item = &'a ShardId> {
        self.shards
            .keys()
            .filter(move |shard| shard.model == *model)
    }
}

/// Returns the shard number of an engine.
///
/// If there are at least as many shards as zones, each shard belongs to one zone, which keeps
/// transfers within a zone.
fn shard_number(engine: &str, zone: &ZoneId, zones: &[&ZoneId], count: usize) -> u32 {
    let zone_index = zones.iter().position(|z| *z == zone).unwrap_or_default();
    let shards: Vec<SmolStr> = (0..count)
        .filter(|shard| count < zones.len() || shard % zones.len() == zone_index)
        .map(|shard| format_smolstr!("{shard}"))
        .collect();
    let shard = rendezvous::pick(engine, &shards);
    shard
        .and_then(|shard| shard.parse().ok())
        .unwrap_or_default()
}
