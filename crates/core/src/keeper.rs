//! The cells that this instance schedules; see `docs/design/placement.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{EngineId, InstanceId, ListKind, ListState, ModelId, ShardId};
use smol_str::{SmolStr, format_smolstr};

use crate::{Cell, CellLayout, Directory, EngineState, LogEvent, rendezvous};

/// Layout of all cells, and the schedulers of those kept here.
#[derive(Debug, Default)]
pub struct Keeper {
    /// Cells of the whole fleet.
    pub layout: CellLayout,
    /// Schedulers of the cells kept here.
    pub cells: BTreeMap<ShardId, Cell>,
    /// Last known pressure of cells kept anywhere.
    pressure: BTreeMap<ShardId, u32>,
    generation: Option<u64>,
    active: Vec<InstanceId>,
}

impl Keeper {
    /// Returns the instance that keeps a cell, as the active instances are known here.
    pub fn keeper_of(&self, cell: &ShardId) -> Option<&InstanceId> {
        let ids: Vec<&str> = self.active.iter().map(InstanceId::as_str).collect();
        let picked = rendezvous::pick(&format_smolstr!("cell-{cell}"), &ids)?;
        self.active.iter().find(|id| id.as_str() == *picked)
    }

    /// Chooses a cell for a request: the less pressed one of two picked at random.
    pub fn choose(&self, model: &ModelId, random: u64) -> Option<ShardId> {
        let cells: Vec<&ShardId> = self.layout.cells_of(model).collect();
        if cells.is_empty() {
            return None;
        }
        let one = cells[(random >> 32) as usize % cells.len()];
        let other = cells[(random & 0xffff_ffff) as usize % cells.len()];
        let pressure = |cell: &ShardId| self.pressure.get(cell).copied().unwrap_or_default();
        Some(if pressure(other) < pressure(one) {
            other.clone()
        } else {
            one.clone()
        })
    }

    /// Notes how pressed a cell is.
    pub fn note_pressure(&mut self, cell: &ShardId, pressure: u32) {
        self.pressure.insert(cell.clone(), pressure);
    }

    /// Follows the list and the active instances; returns what is to be logged.
    pub fn refresh(
        &mut self,
        own: &InstanceId,
        active: &[InstanceId],
        directory: &Directory,
    ) -> Vec<LogEvent> {
        // The last instance, draining or not, still ends the requests that it has accepted.
        let last = [own.clone()];
        let active = if active.is_empty() { &last } else { active };
        if self.generation == Some(directory.generation()) && self.active == active {
            return Vec::new();
        }
        self.generation = Some(directory.generation());
        self.active = active.to_vec();
        self.layout = CellLayout::of(directory);
        let mut log = self.leave_cells(own);
        log.extend(self.keep_cells(own, directory));
        log
    }

    /// Returns the engines of all kept cells that are to be probed.
    pub fn probes(&self) -> Vec<(ShardId, EngineId, SmolStr)> {
        let cells = self.cells.iter();
        cells
            .flat_map(|(cell, state)| {
                state
                    .engines()
                    .map(|e| (cell.clone(), e.id.clone(), e.address.clone()))
            })
            .collect()
    }

    /// Lets every cell refuse and grant as time passes.
    pub fn pump(&mut self, now: Duration) {
        self.cells.values_mut().for_each(|cell| cell.pump(now));
    }

    fn leave_cells(&mut self, own: &InstanceId) -> Vec<LogEvent> {
        let all: Vec<ShardId> = self.cells.keys().cloned().collect();
        let left: Vec<ShardId> = all
            .into_iter()
            .filter(|cell| {
                self.keeper_of(cell) != Some(own) || !self.layout.cells().contains_key(cell)
            })
            .collect();
        for cell in &left {
            self.cells.remove(cell);
        }
        left.into_iter()
            .map(|cell| LogEvent::CellLeft { cell })
            .collect()
    }

    fn keep_cells(&mut self, own: &InstanceId, directory: &Directory) -> Vec<LogEvent> {
        let mut log = Vec::new();
        let layout = std::mem::take(&mut self.layout);
        for (id, engines) in layout.cells() {
            if self.keeper_of(id) != Some(own) {
                continue;
            }
            if !self.cells.contains_key(id) {
                log.push(LogEvent::CellKept {
                    cell: id.clone(),
                    engines: engines.len(),
                });
            }
            let cell = self.cells.entry(id.clone()).or_default();
            cell.retain_engines(|engine| engines.contains(engine));
            for engine in engines {
                if let Some(listed) = listed_engine(engine, directory) {
                    cell.list_engine(listed);
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
