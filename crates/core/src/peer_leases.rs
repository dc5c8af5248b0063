//! Leases of other instances, and when they may be taken over; see `docs/design/leases.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthlever_types::{Condition, InstanceId};

use crate::CoreSettings;
use crate::lease::{LeaseRecord, row_key};

#[derive(Debug)]
struct PeerLease {
    version: u64,
    record: LeaseRecord,
    /// When this version was first seen, on this instance's clock.
    first_seen: Duration,
}

/// The leases of other instances, as this instance has seen them.
#[derive(Debug)]
pub struct PeerLeases {
    own: InstanceId,
    cap: Duration,
    leases: BTreeMap<InstanceId, PeerLease>,
    promised_until: BTreeMap<InstanceId, Duration>,
    taking: BTreeSet<InstanceId>,
}

impl PeerLeases {
    /// Makes an empty set.
    pub fn new(settings: &CoreSettings) -> Self {
        Self {
            own: settings.instance.clone(),
            cap: settings.max_promise_time,
            leases: BTreeMap::new(),
            promised_until: BTreeMap::new(),
            taking: BTreeSet::new(),
        }
    }

    /// Takes in a lease row that was read; `None` for a deleted one.
    pub fn observe(
        &mut self,
        instance: &InstanceId,
        version: u64,
        record: Option<LeaseRecord>,
        now: Duration,
    ) {
        if self
            .leases
            .get(instance)
            .is_some_and(|ward| ward.version >= version)
        {
            return;
        }
        match record {
            Some(record) => {
                self.leases.insert(
                    instance.clone(),
                    PeerLease {
                        version,
                        record,
                        first_seen: now,
                    },
                );
            }
            None => {
                self.leases.remove(instance);
            }
        }
    }

    /// Promises not to take an instance's slots for one term; false if a take may be under way.
    pub fn promise(&mut self, instance: &InstanceId, term: Duration, now: Duration) -> bool {
        if self.taking.contains(instance) {
            return false;
        }
        let until = now + term + margin(term);
        let promised = self.promised_until.entry(instance.clone()).or_default();
        *promised = (*promised).max(until);
        true
    }

    /// Returns the instances whose lease has lapsed for certain and that this one may take over.
    pub fn expired(&self, now: Duration) -> Vec<InstanceId> {
        self.leases
            .iter()
            .filter(|(instance, ward)| self.may_take(instance, ward, now))
            .map(|(instance, _)| instance.clone())
            .collect()
    }

    /// Marks a take as under way; returns the condition that the lease was not renewed.
    pub fn start_takeover(&mut self, instance: &InstanceId) -> Option<Condition> {
        let version = self.leases.get(instance)?.version;
        self.taking.insert(instance.clone());
        Some(Condition {
            key: row_key(instance),
            version,
        })
    }

    /// Marks a take as ended, with a known outcome.
    pub fn end_takeover(&mut self, instance: &InstanceId) {
        self.taking.remove(instance);
    }

    /// Returns the lease record of an instance.
    pub fn record(&self, instance: &InstanceId) -> Option<&LeaseRecord> {
        self.leases.get(instance).map(|ward| &ward.record)
    }

    fn may_take(&self, instance: &InstanceId, ward: &PeerLease, now: Duration) -> bool {
        if *instance == self.own || self.taking.contains(instance) {
            return false;
        }
        let is_heir = ward.record.successors.contains(&self.own);
        let term = Duration::from_millis(ward.record.term_ms);
        let wait = if is_heir { term } else { self.cap + term };
        let promised = self
            .promised_until
            .get(instance)
            .copied()
            .unwrap_or_default();
        now >= ward.first_seen + wait + margin(term) && now >= promised
    }
}

/// Returns what a heir waits beyond a term, for the drift of clocks over it.
fn margin(term: Duration) -> Duration {
    term / 10
}
