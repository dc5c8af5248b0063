//! Which engines form a cell; see `docs/design/placement.md`.

use std::collections::{BTreeMap, BTreeSet};

use jacinthlever_types::{EngineId, ListKind, ModelId, ShardId, ZoneId};
use smol_str::{SmolStr, format_smolstr};

use crate::{Directory, rendezvous};

/// Engines that one cell holds at most, on average.
pub const CELL_ENGINES: usize = 64;

/// Engines of each cell, computed alike by every instance from the platform's list.
#[derive(Debug, Default, PartialEq)]
pub struct CellLayout {
    cells: BTreeMap<ShardId, BTreeSet<EngineId>>,
}

impl CellLayout {
    /// Groups the listed engines of each model.
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
        let mut cells: BTreeMap<ShardId, BTreeSet<EngineId>> = BTreeMap::new();
        for (model, engines) in models {
            let zones: BTreeSet<&ZoneId> = engines.iter().map(|(_, zone)| *zone).collect();
            let zones: Vec<&ZoneId> = zones.into_iter().collect();
            // A power of two moves few engines when the count changes.
            let count = engines.len().div_ceil(CELL_ENGINES).next_power_of_two();
            for (id, zone) in engines {
                let shard = shard_of(id, zone, &zones, count);
                let cell = ShardId {
                    model: model.clone(),
                    shard,
                };
                cells.entry(cell).or_default().insert(EngineId(id.clone()));
            }
        }
        Self { cells }
    }

    /// Returns all cells with their engines.
    pub fn cells(&self) -> &BTreeMap<ShardId, BTreeSet<EngineId>> {
        &self.cells
    }

    /// Returns the cells of a model.
    pub fn cells_of<'a>(&'a self, model: &'a ModelId) -> impl Iterator<Item = &'a ShardId> {
        self.cells.keys().filter(move |cell| cell.model == *model)
    }
}

/// Shards belong to zones in turn once there are enough, which keeps transfers within a zone.
fn shard_of(engine: &str, zone: &ZoneId, zones: &[&ZoneId], count: usize) -> u32 {
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
