//! The lease of the local instance; see `docs/design/leases.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthlever_types::{Condition, InstanceId, TableRow, Transaction, Write};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::CoreSettings;

/// Prefix of all lease rows in the table service.
pub const LEASE_PREFIX: &str = "fleet/lease/";

/// The stored state of a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Incarnation of the lease holder.
    pub incarnation: u64,
    /// Incremented with every renewal.
    pub renewal: u64,
    /// Term of the lease, in milliseconds.
    pub term_ms: u64,
    /// Instances that may take over right after the term, and that may promise not to; others must
    /// wait longer.
    #[serde(rename = "heirs")]
    pub successors: Vec<InstanceId>,
}

#[derive(Clone, Debug)]
struct RenewalAttempt {
    record: LeaseRecord,
    /// Time at which the first write of this renewal was sent. The write that took effect may be
    /// the first one, so the term counts from here.
    first_sent: Duration,
}

/// Outcome of a renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalOutcome {
    /// The lease was renewed.
    Confirmed,
    /// The lease is not confirmed: it is unknown whether the write took effect, or the row of an
    /// earlier incarnation was found. A renewal is sent again.
    Unknown,
    /// Another instance took over the lease.
    Deposed,
}

/// The lease of the local instance: one row in the table, renewed by periodic writes.
///
/// The holder counts a term from before it sent the renewal, a successor from after it read the
/// renewal, so the holder stops first even without synchronised clocks (Gray and Cheriton, 1989).
#[derive(Debug)]
pub struct Lease {
    row: SmolStr,
    incarnation: u64,
    max_promise_time: Duration,
    /// Last known version of the row; 0 before the first write.
    version: u64,
    record: Option<LeaseRecord>,
    /// Time at which the last confirmed renewal was first sent.
    confirmed_at: Option<Duration>,
    attempt: Option<RenewalAttempt>,
    /// Time at which each recent promise request was sent, by its number.
    promise_requests: BTreeMap<u64, Duration>,
    next_promise_request: u64,
    /// Time at which the latest granted promise request of each successor was sent.
    promises: BTreeMap<InstanceId, Duration>,
}

impl Lease {
    /// Creates a lease that is not held yet.
    pub fn new(settings: &CoreSettings) -> Self {
        Self {
            row: row_key(&settings.instance),
            incarnation: settings.incarnation,
            max_promise_time: settings.max_promise_time,
            version: 0,
            record: None,
            confirmed_at: None,
            attempt: None,
            promise_requests: BTreeMap::new(),
            next_promise_request: 1,
            promises: BTreeMap::new(),
        }
    }

    /// Returns the incarnation under which partitions are owned.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether the lease is valid at `now`, so that the instance may act as an owner.
    pub fn is_valid(&self, now: Duration) -> bool {
        let Some(confirmed_at) = self.confirmed_at else {
            return false;
        };
        now < confirmed_at + self.term()
            || (now < confirmed_at + self.max_promise_time && self.all_successors_promised(now))
    }

    /// Returns the time since the last confirmed renewal was first sent.
    pub fn unconfirmed_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed_at.unwrap_or_default())
    }

    /// Returns the write of the next renewal, or repeats the one whose outcome is unknown.
    pub fn renewal(
        &mut self,
        successors: Vec<InstanceId>,
        term: Duration,
        now: Duration,
    ) -> Transaction {
        let condition = self.condition();
        let attempt = self.attempt.get_or_insert_with(|| RenewalAttempt {
            record: LeaseRecord {
                incarnation: self.incarnation,
                renewal: self.record.as_ref().map_or(1, |record| record.renewal + 1),
                term_ms: term.as_millis() as u64,
                successors,
            },
            first_sent: now,
        });
        Transaction {
            conditions: vec![condition],
            writes: vec![Write {
                key: self.row.clone(),
                value: serde_json::to_value(&attempt.record).ok(),
            }],
        }
    }

    /// Returns the condition that the row has its last known version.
    pub fn condition(&self) -> Condition {
        Condition {
            key: self.row.clone(),
            version: self.version,
        }
    }

    /// Records that a renewal was committed.
    pub fn renewal_committed(&mut self, version: u64) -> RenewalOutcome {
        self.version = version;
        self.confirm_attempt();
        RenewalOutcome::Confirmed
    }

    /// Processes the row that a renewal conflicted with: an earlier write of the same renewal whose
    /// reply was lost, or a write of another instance.
    pub fn renewal_conflicted(
        &mut self,
        version: u64,
        value: Option<&serde_json::Value>,
    ) -> RenewalOutcome {
        let found = value.and_then(|value| LeaseRecord::deserialize(value).ok());
        let is_own_write = self
            .attempt
            .as_ref()
            .is_some_and(|a| Some(&a.record) == found.as_ref());
        if is_own_write {
            return self.renewal_committed(version);
        }
        let was_held = self.confirmed_at.is_some();
        self.version = version;
        self.attempt = None;
        if let Some(found) = found {
            self.incarnation = self.incarnation.max(found.incarnation + 1);
        }
        if !was_held {
            return RenewalOutcome::Unknown;
        }
        self.start_incarnation();
        RenewalOutcome::Deposed
    }

    /// Starts a round of promise requests; returns its number and the successors to ask.
    pub fn start_promise_round(&mut self, now: Duration) -> (u64, Vec<InstanceId>) {
        let number = self.next_promise_request;
        self.next_promise_request += 1;
        let term = self.term();
        self.promise_requests.insert(number, now);
        self.promise_requests.retain(|_, sent| now < *sent + term);
        (
            number,
            self.possible_successors().into_iter().cloned().collect(),
        )
    }

    /// Records a successor's promise.
    pub fn record_promise(&mut self, from: &InstanceId, number: u64) {
        if let Some(sent) = self.promise_requests.get(&number) {
            let latest = self.promises.entry(from.clone()).or_default();
            *latest = (*latest).max(*sent);
        }
    }

    /// Returns the successors named by the last confirmed renewal.
    pub fn successors(&self) -> &[InstanceId] {
        self.record
            .as_ref()
            .map_or(&[], |record| &record.successors)
    }

    /// Returns the term of the last confirmed renewal.
    pub fn term(&self) -> Duration {
        let term_ms = self.record.as_ref().map_or(0, |record| record.term_ms);
        Duration::from_millis(term_ms)
    }

    fn confirm_attempt(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.confirmed_at = Some(attempt.first_sent);
            self.record = Some(attempt.record);
        }
    }

    fn start_incarnation(&mut self) {
        self.incarnation += 1;
        self.record = None;
        self.confirmed_at = None;
        self.promises.clear();
        self.promise_requests.clear();
    }

    fn all_successors_promised(&self, now: Duration) -> bool {
        let term = self.term();
        let has_promised = |successor| {
            self.promises
                .get(successor)
                .is_some_and(|sent| now < *sent + term)
        };
        self.possible_successors().into_iter().all(has_promised)
    }

    /// Returns the successors of the confirmed row and of a write whose outcome is unknown.
    fn possible_successors(&self) -> BTreeSet<&InstanceId> {
        let confirmed = self.record.iter().flat_map(|record| &record.successors);
        let attempted = self
            .attempt
            .iter()
            .flat_map(|attempt| &attempt.record.successors);
        confirmed.chain(attempted).collect()
    }
}

/// Returns the key of an instance's lease row.
pub fn row_key(instance: &InstanceId) -> SmolStr {
    format_smolstr!("{LEASE_PREFIX}{instance}")
}

/// Parses a lease row; returns `None` if the key is not that of one.
///
/// The record is `None` if the row was deleted or cannot be parsed.
pub fn parse_row(row: &TableRow) -> Option<(InstanceId, Option<LeaseRecord>)> {
    let instance = InstanceId::new(row.key.strip_prefix(LEASE_PREFIX)?);
    let record = row
        .value
        .as_ref()
        .and_then(|value| LeaseRecord::deserialize(value).ok());
    Some((instance, record))
}
