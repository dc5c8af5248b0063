//! The difference between declarations and the rows in force.

use std::collections::{BTreeMap, BTreeSet};

use jacinthlever_types::{ConfigRow, Declarations, RowKey, RowKind, VersionedRow};
use serde_json::{Value, json};

/// One row that differs.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The row.
    pub row: RowKey,
    /// Version in force; 0 for a new row.
    pub version: u64,
    /// Value in force.
    pub before: Option<Value>,
    /// Value declared.
    pub after: Option<Value>,
}

impl Change {
    /// Whether both values mean the same row, however they are written.
    fn is_same(&self) -> bool {
        let parse = |value: &Option<Value>| {
            value
                .as_ref()
                .and_then(|value| ConfigRow::parse(&self.row, value).ok())
        };
        match (parse(&self.before), parse(&self.after)) {
            (Some(before), Some(after)) => before == after,
            _ => self.before == self.after,
        }
    }

    /// Returns the change as the operators' API takes it.
    pub fn to_json(&self) -> Value {
        json!({"row": self.row, "version": self.version, "value": self.after})
    }

    /// Returns the lines that show the change to a person.
    pub fn lines(&self) -> Vec<String> {
        match (&self.before, &self.after) {
            (None, Some(after)) => vec![format!("+ {} {after}", self.row)],
            (Some(_), None) => vec![format!("- {}", self.row)],
            (Some(before), Some(after)) => {
                let mut lines = vec![format!("~ {}", self.row)];
                lines.extend(changed_fields(before, after));
                lines
            }
            (None, None) => Vec::new(),
        }
    }
}

fn changed_fields(before: &Value, after: &Value) -> Vec<String> {
    let empty = serde_json::Map::new();
    let fields = |value: &Value| value.as_object().unwrap_or(&empty).clone();
    let (before, after) = (fields(before), fields(after));
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let show = |value: Option<&Value>| value.map_or("(none)".into(), Value::to_string);
    names
        .into_iter()
        .filter(|name| before.get(*name) != after.get(*name))
        .map(|name| {
            format!(
                "    {name}: {} -> {}",
                show(before.get(name)),
                show(after.get(name))
            )
        })
        .collect()
}

/// Compares declarations with the rows in force.
///
/// Rows of a kind that the declarations do not name at all are left alone, so that keys granted
/// with `keys grant` need not be declared.
pub fn changes(declared: &Declarations, in_force: &[VersionedRow]) -> Vec<Change> {
    let current: BTreeMap<&RowKey, &VersionedRow> =
        in_force.iter().map(|row| (&row.key, row)).collect();
    let kinds: BTreeSet<RowKind> = declared.rows.keys().map(|key| key.kind).collect();
    let keys: BTreeSet<&RowKey> = declared
        .rows
        .keys()
        .chain(
            current
                .keys()
                .copied()
                .filter(|key| kinds.contains(&key.kind)),
        )
        .collect();
    keys.into_iter()
        .map(|key| {
            let row = current.get(key);
            Change {
                row: key.clone(),
                version: row.map_or(0, |row| row.version),
                before: row.and_then(|row| row.value.clone()),
                after: declared.rows.get(key).cloned(),
            }
        })
        .filter(|change| !change.is_same())
        .collect()
}
