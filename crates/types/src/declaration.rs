//! Declarations kept in version control. They are checked completely before any row is written.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::Value;

use crate::{ConfigRow, RouteKind, RowKey, RowKind};

/// An error found in a set of declarations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CheckError {
    /// File, row or field in which the error was found.
    pub location: String,
    /// What was found and what was expected.
    pub problem: String,
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.problem)
    }
}

/// A complete configuration, as rows by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declarations {
    /// JSON value of each row.
    pub rows: BTreeMap<RowKey, Value>,
}

impl Declarations {
    /// Adds the rows of one file, a JSON object that maps each kind to an object of rows by name.
    ///
    /// Returns the errors found; a row with an invalid or already declared name is not added.
    pub fn add_file(&mut self, file: &str, text: &str) -> Vec<CheckError> {
        let error = |problem: String| {
            vec![CheckError {
                location: file.into(),
                problem,
            }]
        };
        let kinds: BTreeMap<String, BTreeMap<String, Value>> = match serde_json::from_str(text) {
            Ok(kinds) => kinds,
            Err(e) => return error(format!("expected {{\"KIND\": {{\"NAME\": ROW}}}}: {e}")),
        };
        let mut errors = Vec::new();
        for (kind, rows) in kinds {
            for (name, value) in rows {
                match format!("{kind}/{name}").parse::<RowKey>() {
                    Err(problem) => errors.extend(error(format!("{kind}/{name}: {problem}"))),
                    Ok(key) if self.rows.contains_key(&key) => {
                        errors.extend(error(format!("{key} is declared twice")));
                    }
                    Ok(key) => {
                        self.rows.insert(key, value);
                    }
                }
            }
        }
        errors
    }

    /// Checks every row, the references between rows, and that no two routes have one prefix.
    ///
    /// Returns the errors found.
    pub fn check(&self) -> Vec<CheckError> {
        let mut errors = Vec::new();
        for (key, value) in &self.rows {
            let mut add = |problem| {
                errors.push(CheckError {
                    location: key.to_string(),
                    problem,
                })
            };
            match ConfigRow::parse(key, value) {
                Err(problem) => add(problem),
                Ok(row) => self.missing_references(&row).into_iter().for_each(add),
            }
        }
        errors.extend(self.duplicate_prefixes());
        errors
    }

    fn missing_references(&self, row: &ConfigRow) -> Vec<String> {
        let missing = |kind, name: &str| {
            let key = RowKey::new(kind, name);
            (!self.rows.contains_key(&key))
                .then(|| format!("refers to {key}, which is not declared"))
        };
        match row {
            ConfigRow::Key(_, key) => missing(RowKind::Customer, key.customer.as_str())
                .into_iter()
                .collect(),
            ConfigRow::Route(_, route) => {
                let customers = route.customers.iter();
                let mut all: Vec<String> = customers
                    .filter_map(|c| missing(RowKind::Customer, c.as_str()))
                    .collect();
                if let RouteKind::Model { models } = &route.kind {
                    all.extend(
                        models
                            .iter()
                            .filter_map(|m| missing(RowKind::Model, m.as_str())),
                    );
                }
                all
            }
            _ => Vec::new(),
        }
    }

    fn duplicate_prefixes(&self) -> Vec<CheckError> {
        let mut seen = BTreeMap::new();
        let mut errors = Vec::new();
        for (key, value) in &self.rows {
            let Ok(ConfigRow::Route(_, route)) = ConfigRow::parse(key, value) else {
                continue;
            };
            let RouteKind::Plain { prefix, .. } = route.kind else {
                continue;
            };
            if let Some(other) = seen.insert(prefix.clone(), key) {
                let problem = format!("prefix {prefix} is already used by {other}");
                errors.push(CheckError {
                    location: key.to_string(),
                    problem,
                });
            }
        }
        errors
    }
}
