//! Differences between declarations and the rows in force.

use std::collections::{BTreeMap, BTreeSet};

use jacinthlever_types::{ConfigRow, Declarations, RowKey, RowKind, VersionedRow};
use serde_json::{Value, json};

/// A row whose declaration differs from the row in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Key of the row.
    pub row: RowKey,
    /// Version of the row in force; 0 if the row does not exist yet.
    pub version: u64,
    /// Value in force. `None` if the row does not exist or was deleted.
    pub before: Option<Value>,
    /// Declared value. `None` if the row is to be deleted.
    pub after: Option<Value>,
}

impl Change {
    /// Whether both values parse to the same row, even if their JSON differs.
    fn is_unchanged(&self) -> bool {
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

    /// Returns the change in the format of the operators' API.
    pub fn to_json(&self) -> Value {
        json!({"row": self.row, "version": self.version, "value": self.after})
    }

    /// Returns the change as human-readable lines.
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

/// Returns the changes that turn the rows in force into the declared rows.
///
/// Rows of a kind that does not occur in the declarations are ignored, so that keys granted with
/// `keys grant` need not be declared.
pub fn diff(declarations: &Declarations, current_rows: &[VersionedRow]) -> Vec<Change> {
    let current: BTreeMap<&RowKey, &VersionedRow> =
        current_rows.iter().map(|row| (&row.key, row)).collect();
    let kinds: BTreeSet<RowKind> = declarations.rows.keys().map(|key| key.kind).collect();
    let keys: BTreeSet<&RowKey> = declarations
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
                after: declarations.rows.get(key).cloned(),
            }
        })
        .filter(|change| !change.is_unchanged())
        .collect()
}
