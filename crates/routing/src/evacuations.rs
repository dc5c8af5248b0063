//! Availability zones whose backend servers get no requests, as the operator has asked.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

/// What a row of the store says of a zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EvacuationStatement {
    /// Version of the row or of its removal.
    pub version: u64,
    /// Whether the zone is evacuated.
    pub is_active: bool,
}

/// The newest statement on each zone, from whatever source.
///
/// Versions come from the store and only increase, so instances that merge each other's statements in any
/// order agree in the end, without a call to the store. A revocation is remembered, since an older
/// statement may arrive after it.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<SmolStr, EvacuationStatement>,
}

impl Evacuations {
    /// Merges a statement; returns whether it changes whether the zone is evacuated.
    pub fn merge(&mut self, zone: &SmolStr, statement: EvacuationStatement) -> bool {
        let was_active = self.is_evacuated(zone);
        let known = self.zones.entry(zone.clone()).or_insert(statement);
        if statement.version > known.version {
            *known = statement;
        }
        was_active != self.is_evacuated(zone)
    }

    /// Returns the evacuated zones that a complete read of the store at `version` does not have. A zone
    /// whose statement is newer than the read is not among them.
    pub fn missing(&self, present: &BTreeSet<SmolStr>, version: u64) -> Vec<SmolStr> {
        let zones = self.zones.iter();
        let missing = zones.filter(|(zone, statement)| {
            statement.is_active && statement.version < version && !present.contains(*zone)
        });
        missing.map(|(zone, _)| zone.clone()).collect()
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|s| s.is_active)
    }

    /// Returns the number of evacuated zones.
    pub fn active_count(&self) -> usize {
        self.zones.values().filter(|s| s.is_active).count()
    }

    /// Returns all statements, for messages to other instances.
    pub fn statements(&self) -> impl Iterator<Item = (&SmolStr, EvacuationStatement)> {
        self.zones
            .iter()
            .map(|(zone, statement)| (zone, *statement))
    }
}
