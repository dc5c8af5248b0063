//! Leases of other instances, watched for expiry; see `docs/design/leases.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthlever_types::{Condition, InstanceId};

use crate::CoreSettings;
use crate::lease::{LeaseRecord, row_key};

#[derive(Debug)]
struct PeerLease {
    version: u64,
    record: LeaseRecord,
    /// Time at which this version was first seen, on this instance's clock.
    first_seen: Duration,
}

/// The leases of other instances, as last read from the table.
#[derive(Debug)]
pub struct PeerLeases {
    own: InstanceId,
    max_promise_time: Duration,
    leases: BTreeMap<InstanceId, PeerLease>,
    promised_until: BTreeMap<InstanceId, Duration>,
    /// Instances for which a takeover is in progress.
    takeovers: BTreeSet<InstanceId>,
}

impl PeerLeases {
    /// Creates an empty set.
    pub fn new(settings: &CoreSettings) -> Self {
        Self {
            own: settings.instance.clone(),
            max_promise_time: settings.max_promise_time,
            leases: BTreeMap::new(),
            promised_until: BTreeMap::new(),
            takeovers: BTreeSet::new(),
        }
    }

    /// Records a lease row that was read; `record` is `None` for a deleted row.
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
            .is_some_and(|lease| lease.version >= version)
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

    /// Promises not to take over an instance's partitions for one term; returns false if a takeover
    /// may be in progress.
    pub fn promise(&mut self, instance: &InstanceId, term: Duration, now: Duration) -> bool {
        if self.takeovers.contains(instance) {
            return false;
        }
        let until = now + term + drift_margin(term);
        let promised = self.promised_until.entry(instance.clone()).or_default();
        *promised = (*promised).max(until);
        true
    }

    /// Returns the instances whose lease has certainly expired and that this instance may take
    /// over.
    pub fn expired(&self, now: Duration) -> Vec<InstanceId> {
        self.leases
            .iter()
            .filter(|(instance, lease)| self.may_take_over(instance, lease, now))
            .map(|(instance, _)| instance.clone())
            .collect()
    }

    /// Marks a takeover as in progress; returns the condition that the lease was not renewed.
    ///
    /// Returns `None` if no lease of the instance is known.
    pub fn start_takeover(&mut self, instance: &InstanceId) -> Option<Condition> {
        let version = self.leases.get(instance)?.version;
        self.takeovers.insert(instance.clone());
        Some(Condition {
            key: row_key(instance),
            version,
        })
    }

    /// Marks a takeover as ended, when its outcome is known.
    pub fn end_takeover(&mut self, instance: &InstanceId) {
        self.takeovers.remove(instance);
    }

    /// Returns the lease record of an instance.
    pub fn record(&self, instance: &InstanceId) -> Option<&LeaseRecord> {
        self.leases.get(instance).map(|lease| &lease.record)
    }

    fn may_take_over(&self, instance: &InstanceId, lease: &PeerLease, now: Duration) -> bool {
        if *instance == self.own || self.takeovers.contains(instance) {
            return false;
        }
        let is_successor = lease.record.successors.contains(&self.own);
        let term = Duration::from_millis(lease.record.term_ms);
        // Promises of the successors can extend the lease up to `max_promise_time`.
        let wait = if is_successor {
            term
        } else {
            self.max_promise_time + term
        };
        let promised = self
            .promised_until
            .get(instance)
            .copied()
            .unwrap_or_default();
        now >= lease.first_seen + wait + drift_margin(term) && now >= promised
    }
}

/// Returns the time that a successor waits beyond a term, to allow for clock drift.
fn drift_margin(term: Duration) -> Duration {
    term / 10
}
