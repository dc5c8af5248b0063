//! The configuration in force on one instance; see `docs/design/configuration.md`.

use std::collections::BTreeMap;

use jacinthlever_types::{
    ConfigRow, CustomerId, CustomerRow, Declarations, KeyHash, KeyRow, ModelId, ModelRow, RouteId,
    RouteKind, RouteRow, RowKey, VersionedRow,
};

/// The configuration rows in force, with indexes for request lookups.
///
/// A row is replaced only by one of a higher version, so the state never goes back in time.
#[derive(Debug, Default)]
pub struct ConfigState {
    rows: BTreeMap<RowKey, VersionedRow>,
    /// Highest version of any row; all changes up to it are known.
    revision: u64,
    /// Whether the table or a peer has confirmed the state since the instance started.
    confirmed: bool,
    customers: BTreeMap<CustomerId, CustomerRow>,
    keys: BTreeMap<KeyHash, KeyRow>,
    routes: BTreeMap<RouteId, RouteRow>,
    models: BTreeMap<ModelId, ModelRow>,
}

impl ConfigState {
    /// Returns the highest row version in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether requests may be served from this state.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Marks the state as confirmed by the table, or by a peer whose state is confirmed.
    pub fn confirm(&mut self) {
        self.confirmed = true;
    }

    /// Returns all rows, including deleted ones.
    pub fn rows(&self) -> impl Iterator<Item = &VersionedRow> {
        self.rows.values()
    }

    /// Returns the rows that changed after a revision.
    pub fn rows_after(&self, revision: u64) -> Vec<VersionedRow> {
        self.rows
            .values()
            .filter(|row| row.version > revision)
            .cloned()
            .collect()
    }

    /// Returns a row with its version; deleted rows count as absent.
    pub fn row(&self, key: &RowKey) -> Option<&VersionedRow> {
        self.rows.get(key).filter(|row| row.value.is_some())
    }

    /// Returns a customer's limits and weight.
    pub fn customer(&self, id: &CustomerId) -> Option<&CustomerRow> {
        self.customers.get(id)
    }

    /// Returns all customers.
    pub fn customers(&self) -> &BTreeMap<CustomerId, CustomerRow> {
        &self.customers
    }

    /// Returns the row of a key; `None` if the key is not granted.
    pub fn key(&self, hash: &KeyHash) -> Option<&KeyRow> {
        self.keys.get(hash)
    }

    /// Returns all models.
    pub fn models(&self) -> &BTreeMap<ModelId, ModelRow> {
        &self.models
    }

    /// Returns a model.
    pub fn model(&self, id: &ModelId) -> Option<&ModelRow> {
        self.models.get(id)
    }

    /// Returns a route.
    pub fn route(&self, id: &RouteId) -> Option<&RouteRow> {
        self.routes.get(id)
    }

    /// Returns the routes that serve a model.
    pub fn model_routes(&self, model: &ModelId) -> impl Iterator<Item = (&RouteId, &RouteRow)> {
        self.routes
            .iter()
            .filter(move |(_, route)| match &route.kind {
                RouteKind::Model { models } => models.contains(model),
                RouteKind::Plain { .. } => false,
            })
    }

    /// Returns the plain route with the longest prefix that matches a path.
    pub fn plain_route(&self, path: &str) -> Option<(&RouteId, &RouteRow)> {
        let matches = self
            .routes
            .iter()
            .filter_map(|(id, route)| match &route.kind {
                RouteKind::Plain { prefix, .. } if is_below(path, prefix) => {
                    Some((prefix.len(), id, route))
                }
                _ => None,
            });
        matches
            .max_by_key(|(length, ..)| *length)
            .map(|(_, id, route)| (id, route))
    }

    /// Returns the rows as declarations, against which edits are checked.
    pub fn declarations(&self) -> Declarations {
        let live = self
            .rows
            .values()
            .filter_map(|row| Some((row.key.clone(), row.value.clone()?)));
        Declarations {
            rows: live.collect(),
        }
    }

    /// Applies rows that are newer than the known ones; returns the rows that cannot be parsed,
    /// with the reason.
    ///
    /// The caller guarantees that every change up to the highest version is in `rows` or known.
    pub fn apply(&mut self, rows: Vec<VersionedRow>) -> Vec<(RowKey, String)> {
        let mut problems = Vec::new();
        for row in rows {
            self.revision = self.revision.max(row.version);
            if self
                .rows
                .get(&row.key)
                .is_some_and(|known| known.version >= row.version)
            {
                continue;
            }
            self.unindex(&row.key);
            if let Some(value) = &row.value {
                match ConfigRow::parse(&row.key, value) {
                    Ok(parsed) => self.index(&row.key, parsed),
                    Err(problem) => problems.push((row.key.clone(), problem)),
                }
            }
            self.rows.insert(row.key.clone(), row);
        }
        problems
    }

    fn index(&mut self, key: &RowKey, row: ConfigRow) {
        match row {
            ConfigRow::Customer(row) => {
                self.customers.insert(CustomerId(key.name.clone()), row);
            }
            ConfigRow::Key(hash, row) => {
                self.keys.insert(hash, row);
            }
            ConfigRow::Route(id, row) => {
                self.routes.insert(id, row);
            }
            ConfigRow::Model(id, row) => {
                self.models.insert(id, row);
            }
        }
    }

    fn unindex(&mut self, key: &RowKey) {
        use jacinthlever_types::RowKind;
        match key.kind {
            RowKind::Customer => {
                self.customers.remove(&CustomerId(key.name.clone()));
            }
            RowKind::Key => {
                if let Ok(hash) = KeyHash::try_from(key.name.clone()) {
                    self.keys.remove(&hash);
                }
            }
            RowKind::Route => {
                self.routes.remove(&RouteId(key.name.clone()));
            }
            RowKind::Model => {
                self.models.remove(&ModelId(key.name.clone()));
            }
        }
    }
}

/// Whether a path equals the prefix or lies below it.
fn is_below(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || rest.starts_with('?'))
}
