//! State of the table service: versioned rows under a common revision.

use std::collections::BTreeMap;

use jacinthlever_types::{Conflict, RowsReply, TableRow, Transaction, TransactionReply};
use serde_json::Value;
use smol_str::SmolStr;

/// Numbers of operations served so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TableCounts {
    /// Number of reads.
    pub reads: u64,
    /// Number of transactions, including those with conflicts.
    pub writes: u64,
}

/// Versioned rows under a common revision.
#[derive(Debug, Default)]
pub struct TableState {
    revision: u64,
    rows: BTreeMap<SmolStr, (u64, Option<Value>)>,
    /// Numbers of operations served so far.
    pub counts: TableCounts,
}

impl TableState {
    /// Applies a transaction completely or not at all.
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

    /// Returns the version and value of a row; the version is 0 if the row was deleted or never
    /// existed.
    pub fn current(&self, key: &SmolStr) -> (u64, Option<Value>) {
        match self.rows.get(key) {
            Some((version, Some(value))) => (*version, Some(value.clone())),
            _ => (0, None),
        }
    }

    /// Returns the rows with a key prefix that changed after a revision.
    pub fn rows(&mut self, prefix: &str, after: u64) -> RowsReply {
        self.counts.reads += 1;
        let matching = self.rows.range(SmolStr::new(prefix)..);
        let matching = matching.take_while(|(key, _)| key.starts_with(prefix));
        let changed = matching.filter(|(_, (version, _))| *version > after);
        // A reader that starts from revision 0 does not need deleted rows.
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
