//! Messages of the platform's transactional table service; see `docs/PLATFORM.md`.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Requires that a row still has the version that the writer saw.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Condition {
    /// Row key.
    pub key: SmolStr,
    /// Expected version; 0 means that the row must not exist.
    pub version: u64,
}

/// Puts or deletes one row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// Row key.
    pub key: SmolStr,
    /// New value; `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

/// A set of writes that is applied whole if every condition holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
}

/// A condition that did not hold, with the row as it stands.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Conflict {
    /// Row key.
    pub key: SmolStr,
    /// Version that the row has; 0 if it does not exist.
    pub version: u64,
    /// Value that the row has.
    pub value: Option<serde_json::Value>,
}

/// Answer to a [`Transaction`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactionReply {
    /// All writes took effect at this revision.
    Committed(u64),
    /// Nothing was written.
    Conflicts(Vec<Conflict>),
}

/// One row of a [`RowsReply`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableRow {
    /// Row key.
    pub key: SmolStr,
    /// Revision of the last write.
    pub version: u64,
    /// Value; `None` marks a deleted row.
    pub value: Option<serde_json::Value>,
}

/// Rows below a prefix that changed after a revision, and the revision read at.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowsReply {
    /// Revision of the table at the read.
    pub revision: u64,
    /// Changed rows in key order.
    pub rows: Vec<TableRow>,
}
