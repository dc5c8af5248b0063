//! Declarations kept in version control, checked as a whole before anything is written.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::Value;

use crate::{ConfigRow, RouteKind, RowKey, RowKind};

/// One thing wrong with a set of declarations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CheckError {
    /// File, row or field at fault.
    pub location: String,
    /// What was found and expected.
    pub problem: String,
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.problem)
    }
}

/// A whole configuration as rows by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declarations {
    /// JSON of each row.
    pub rows: BTreeMap<RowKey, Value>,
}

impl Declarations {
    /// Adds the rows of one file, an object of kinds that hold objects of rows.
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

    /// Checks every row by itself and every reference between rows.
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
        errors.extend(self.clashing_prefixes());
        errors
    }

    fn missing_references(&self, row: &ConfigRow) -> Vec<String> {
        let missing = |kind, name: &str| {
            let key = RowKey::new(kind, name);
            (!self.rows.contains_key(&key)).then(|| format!("names {key}, which is not declared"))
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

    fn clashing_prefixes(&self) -> Vec<CheckError> {
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
                let problem = format!("prefix {prefix} is also that of {other}");
                errors.push(CheckError {
                    location: key.to_string(),
                    problem,
                });
            }
        }
        errors
    }
}
