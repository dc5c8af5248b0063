//! The state of the table service: versioned rows under one revision.

use std::collections::BTreeMap;

use jacinthlever_types::{Conflict, RowsReply, TableRow, Transaction, TransactionReply};
use serde_json::Value;
use smol_str::SmolStr;

/// Operations served so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TableCounts {
    /// Reads.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
}

/// Versioned rows under one revision.
#[derive(Debug, Default)]
pub struct TableState {
    revision: u64,
    rows: BTreeMap<SmolStr, (u64, Option<Value>)>,
    /// Operations served so far.
    pub counts: TableCounts,
}

impl TableState {
    /// Applies a transaction whole or not at all.
    pub fn transact(&mut self, transaction: Transaction) -> TransactionReply {
        self.counts.writes += 1;
        let conflicts: Vec<Conflict> = transaction
            .conditions
            .iter()
            .filter_map(|condition| {
                let (version, value) = self.current(&condition.key);
                (version != condition.version).then(|| Conflict {
                    key: condition.key.clone(),
                    version,
                    value,
                })
            })
            .collect();
        if !conflicts.is_empty() {
            return TransactionReply::Conflicts(conflicts);
        }
        self.revision += 1;
        for write in transaction.writes {
            self.rows.insert(write.key, (self.revision, write.value));
        }
        TransactionReply::Committed(self.revision)
    }

    /// Returns version and value of a row; a deleted row has version 0 as one that never was.
    pub fn current(&self, key: &SmolStr) -> (u64, Option<Value>) {
        match self.rows.get(key) {
            Some((version, Some(value))) => (*version, Some(value.clone())),
            _ => (0, None),
        }
    }

    /// Returns the rows below a prefix that changed after a revision.
    pub fn rows(&mut self, prefix: &str, after: u64) -> RowsReply {
        self.counts.reads += 1;
        let below = self.rows.range(SmolStr::new(prefix)..);
        let below = below.take_while(|(key, _)| key.starts_with(prefix));
        let changed = below.filter(|(_, (version, _))| *version > after);
        // A first read needs no rows that are gone.
        let wanted = changed.filter(|(_, (_, value))| after > 0 || value.is_some());
        let rows = wanted.map(|(key, (version, value))| TableRow {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        });
        RowsReply {
            revision: self.revision,
            rows: rows.collect(),
        }
    }
}
