//! The lease of this instance; see `docs/design/leases.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthlever_types::{Condition, InstanceId, TableRow, Transaction, Write};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::CoreSettings;

/// Prefix of all lease rows in the table service.
pub const LEASE_PREFIX: &str = "fleet/lease/";

/// A lease as it stands in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Grows with every renewal.
    pub renewal: u64,
    /// Term of the lease, in milliseconds.
    pub term_ms: u64,
    /// The instances that may take over, and that can promise not to.
    #[serde(rename = "heirs")]
    pub successors: Vec<InstanceId>,
}

#[derive(Clone, Debug)]
struct Attempt {
    record: LeaseRecord,
    /// When the first write of this renewal was sent; a later one proves nothing more.
    first_sent: Duration,
}

/// What the outcome of a renewal means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalOutcome {
    /// The lease runs on.
    Confirmed,
    /// It is not known whether the write took effect; the same renewal is sent again.
    Unknown,
    /// Another instance took the lease over.
    Deposed,
}

/// The instance's own lease: one row in the table, renewed by one write a period.
///
/// The holder counts a term from before it sent a renewal, a heir from after it saw it, so the
/// holder stops first without synchronised clocks (Gray and Cheriton, 1989).
#[derive(Debug)]
pub struct Lease {
    row: SmolStr,
    incarnation: u64,
    cap: Duration,
    /// Version of the row last known; 0 before the first write.
    version: u64,
    record: Option<LeaseRecord>,
    confirmed: Option<Duration>,
    attempt: Option<Attempt>,
    asked: BTreeMap<u64, Duration>,
    next_ask: u64,
    promises: BTreeMap<InstanceId, Duration>,
}

impl Lease {
    /// Makes a lease that is not held yet.
    pub fn new(settings: &CoreSettings) -> Self {
        Self {
            row: row_key(&settings.instance),
            incarnation: settings.incarnation,
            cap: settings.max_promise_time,
            version: 0,
            record: None,
            confirmed: None,
            attempt: None,
            asked: BTreeMap::new(),
            next_ask: 1,
            promises: BTreeMap::new(),
        }
    }

    /// Returns the incarnation that slots are held under.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether the instance may act on what it holds at `now`.
    pub fn is_valid(&self, now: Duration) -> bool {
        let Some(confirmed) = self.confirmed else {
            return false;
        };
        now < confirmed + self.term()
            || (now < confirmed + self.cap && self.all_heirs_promised(now))
    }

    /// Returns the time since the last confirmed renewal was sent.
    pub fn unconfirmed_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed.unwrap_or_default())
    }

    /// Returns the write of the next renewal, or of the one whose outcome is unknown.
    pub fn renewal(
        &mut self,
        heirs: Vec<InstanceId>,
        term: Duration,
        now: Duration,
    ) -> Transaction {
        let condition = self.condition();
        let attempt = self.attempt.get_or_insert_with(|| Attempt {
            record: LeaseRecord {
                incarnation: self.incarnation,
                renewal: self.record.as_ref().map_or(1, |record| record.renewal + 1),
                term_ms: term.as_millis() as u64,
                successors: heirs,
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

    /// Returns the condition that the row is as last known.
    pub fn condition(&self) -> Condition {
        Condition {
            key: self.row.clone(),
            version: self.version,
        }
    }

    /// Takes in that a renewal was committed.
    pub fn renewal_committed(&mut self, version: u64) -> RenewalOutcome {
        self.version = version;
        self.confirm_attempt();
        RenewalOutcome::Confirmed
    }

    /// Takes in the row that made a renewal conflict: the own write, or somebody else's.
    pub fn renewal_conflicted(
        &mut self,
        version: u64,
        value: Option<&serde_json::Value>,
    ) -> RenewalOutcome {
        let found = value.and_then(|value| LeaseRecord::deserialize(value).ok());
        let own = self
            .attempt
            .as_ref()
            .is_some_and(|a| Some(&a.record) == found.as_ref());
        if own {
            return self.renewal_committed(version);
        }
        let was_held = self.confirmed.is_some();
        self.version = version;
        self.attempt = None;
        if let Some(found) = found {
            self.incarnation = self.incarnation.max(found.incarnation + 1);
        }
        if !was_held {
            return RenewalOutcome::Unknown;
        }
        self.start_over();
        RenewalOutcome::Deposed
    }

    /// Returns the heirs to ask for promises, with the number of the question.
    pub fn start_promise_round(&mut self, now: Duration) -> (u64, Vec<InstanceId>) {
        let number = self.next_ask;
        self.next_ask += 1;
        let term = self.term();
        self.asked.insert(number, now);
        self.asked.retain(|_, sent| now < *sent + term);
        (number, self.possible_heirs().into_iter().cloned().collect())
    }

    /// Takes in a heir's promise.
    pub fn record_promise(&mut self, from: &InstanceId, number: u64) {
        if let Some(sent) = self.asked.get(&number) {
            let latest = self.promises.entry(from.clone()).or_default();
            *latest = (*latest).max(*sent);
        }
    }

    /// Returns the heirs of the renewal last confirmed.
    pub fn successors(&self) -> &[InstanceId] {
        self.record
            .as_ref()
            .map_or(&[], |record| &record.successors)
    }

    /// Returns the term of the renewal last confirmed.
    pub fn term(&self) -> Duration {
        let term_ms = self.record.as_ref().map_or(0, |record| record.term_ms);
        Duration::from_millis(term_ms)
    }

    fn confirm_attempt(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.confirmed = Some(attempt.first_sent);
            self.record = Some(attempt.record);
        }
    }

    fn start_over(&mut self) {
        self.incarnation += 1;
        self.record = None;
        self.confirmed = None;
        self.promises.clear();
        self.asked.clear();
    }

    fn all_heirs_promised(&self, now: Duration) -> bool {
        let term = self.term();
        let holds = |heir| {
            self.promises
                .get(heir)
                .is_some_and(|sent| now < *sent + term)
        };
        self.possible_heirs().into_iter().all(holds)
    }

    /// The heirs of the confirmed row and those of a write whose outcome is unknown.
    fn possible_heirs(&self) -> BTreeSet<&InstanceId> {
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

/// Reads a lease row; `None` if it is not one.
pub fn parse_row(row: &TableRow) -> Option<(InstanceId, Option<LeaseRecord>)> {
    let instance = InstanceId::new(row.key.strip_prefix(LEASE_PREFIX)?);
    let record = row
        .value
        .as_ref()
        .and_then(|value| LeaseRecord::deserialize(value).ok());
    Some((instance, record))
}
