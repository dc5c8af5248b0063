//! The platform's list of machines, as last read.

use std::collections::BTreeMap;

use jacinthlever_types::{InstanceId, ListEntry, ListKind, ListState};
use smol_str::SmolStr;

use crate::ListDelta;

/// The listed machines by name.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<SmolStr, ListEntry>,
    /// Incremented with every change, so that derived layouts can tell when they are outdated.
    generation: u64,
}

impl Directory {
    /// Applies the changes that one read returned.
    pub fn apply(&mut self, delta: ListDelta) {
        for entry in delta.entries {
            if self.entries.get(&entry.id) != Some(&entry) {
                self.generation += 1;
                self.entries.insert(entry.id.clone(), entry);
            }
        }
        for id in delta.removed {
            self.generation += u64::from(self.entries.remove(&id).is_some());
        }
    }

    /// Returns a number that increases with every change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the entry with the given name.
    pub fn get(&self, id: &str) -> Option<&ListEntry> {
        self.entries.get(id)
    }

    /// Returns all entries, sorted by name.
    pub fn entries(&self) -> impl Iterator<Item = &ListEntry> {
        self.entries.values()
    }

    /// Returns the listed instances of the router.
    pub fn instances(&self) -> impl Iterator<Item = &ListEntry> {
        self.entries()
            .filter(|entry| matches!(entry.kind, ListKind::Instance { .. }))
    }

    /// Returns the workers of a plain service that accept new work.
    pub fn live_workers<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a ListEntry> {
        self.entries().filter(move |entry| {
            entry.state == ListState::Live
                && matches!(&entry.kind, ListKind::Service { service } if service == name)
        })
    }

    /// Returns the address at which an instance accepts peer connections.
    pub fn peer_address(&self, id: &InstanceId) -> Option<&SmolStr> {
        self.instance(id).map(|entry| &entry.address)
    }

    /// Returns the address at which an instance accepts callers.
    pub fn caller_address(&self, id: &InstanceId) -> Option<&SmolStr> {
        match &self.instance(id)?.kind {
            ListKind::Instance { caller_address } => Some(caller_address),
            _ => None,
        }
    }

    fn instance(&self, id: &InstanceId) -> Option<&ListEntry> {
        self.get(id.as_str())
            .filter(|entry| matches!(entry.kind, ListKind::Instance { .. }))
    }
}
