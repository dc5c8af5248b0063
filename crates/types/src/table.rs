//! Messages of the platform's transactional table service; see `docs/PLATFORM.md`.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Requires that a row still has the version that the writer read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Condition {
    /// Row key.
    pub key: SmolStr,
    /// Expected version; 0 means that the row must not exist.
    pub version: u64,
}

/// Write that puts or deletes one row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// Row key.
    pub key: SmolStr,
    /// New value; `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

/// A set of writes that is applied atomically if every condition holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Transaction {
    /// Conditions on the versions of rows.
    pub conditions: Vec<Condition>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

/// A condition that did not hold, with the current state of the row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Conflict {
    /// Row key.
    pub key: SmolStr,
    /// Current version of the row; 0 if it does not exist.
    pub version: u64,
    /// Current value of the row; `None` if it does not exist.
    pub value: Option<serde_json::Value>,
}

/// Answer to a [`Transaction`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactionReply {
    /// All writes were applied, at this revision.
    Committed(u64),
    /// No write was applied, since these conditions did not hold.
    Conflicts(Vec<Conflict>),
}

/// One row of a [`RowsReply`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableRow {
    /// Row key.
    pub key: SmolStr,
    /// Revision of the last write.
    pub version: u64,
    /// Value of the row; `None` if the row is deleted.
    pub value: Option<serde_json::Value>,
}

/// Rows with a common key prefix that changed after a given revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowsReply {
    /// Revision of the table when the rows were read.
    pub revision: u64,
    /// Changed rows in key order.
    pub rows: Vec<TableRow>,
}
