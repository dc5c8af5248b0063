//! Rows of the configuration table that operators edit; see `docs/CONFIGURATION.md`.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::{CustomerId, KeyHash, ModelId, RouteId};

/// Prefix of all configuration rows in the table service.
const CONFIG_PREFIX: &str = "config/";

/// Scheduling class of a route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Served first: bookings, lookups, catalogue reads, interactive answers.
    Urgent,
    /// May wait: drafts, digests, notes.
    #[default]
    Patient,
}

impl Class {
    /// Returns the class as it is written in metrics and declarations.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Patient => "patient",
        }
    }
}

/// Limits and weight of a customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerRow {
    /// Sustained rate over the whole fleet, in tokens per second.
    pub rate: f64,
    /// Maximum burst over the whole fleet, in tokens.
    pub burst: f64,
    /// Share of a contended pool, relative to the weights of other customers.
    pub weight: f64,
}

/// A granted key; the name of the row is the hash of the key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRow {
    /// Customer whose requests the key authorises.
    pub customer: CustomerId,
    /// Label for operators; must not contain the key.
    #[serde(default)]
    pub label: SmolStr,
}

/// Target of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RouteKind {
    /// The model API below `/v1/`, for the named models.
    Model {
        /// Models that the route serves.
        models: Vec<ModelId>,
    },
    /// A plain service below a path prefix.
    Plain {
        /// Path prefix, beginning with a slash.
        prefix: SmolStr,
        /// Name of the service in the platform's list.
        service: SmolStr,
        /// Whether calls with unsafe methods may be retried after a failure.
        #[serde(default)]
        repeatable: bool,
        /// Whether calls with unsafe methods must carry an `Idempotency-Key` header.
        #[serde(default)]
        require_key: bool,
        /// Tokens that one call charges to the customer's limit.
        #[serde(default)]
        call_tokens: u64,
    },
}

/// A route and the customers that may use it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// Target of the route.
    pub kind: RouteKind,
    /// Customers that may use the route; ignored if `open` is set.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
    /// Whether callers may use the route without a key.
    #[serde(default)]
    pub open: bool,
    /// Scheduling class of the requests.
    #[serde(default)]
    pub class: Class,
    /// Time from its arrival within which a request must start, in milliseconds; a request that
    /// has not started by then is refused.
    #[serde(default = "default_patience_ms", rename = "patience_ms")]
    pub start_timeout_ms: u64,
}

fn default_patience_ms() -> u64 {
    10_000
}

/// A model that engines serve.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRow {
    /// Maximum length of prompt and output together, in tokens.
    pub context: u32,
    /// Output limit of requests that set none, in tokens.
    pub default_max_tokens: u32,
    /// Minimum number of bytes of text per token; bounds the tokens of a prompt before it runs.
    pub min_bytes_per_token: u32,
}

impl ModelRow {
    /// Returns an upper bound of the number of tokens in a prompt of the given length in bytes.
    pub fn prompt_tokens_bound(&self, bytes: usize) -> u64 {
        (bytes as u64)
            .div_ceil(u64::from(self.min_bytes_per_token.max(1)))
            .max(1)
    }
}

/// Kind of a configuration row.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RowKind {
    /// A [`CustomerRow`].
    Customer,
    /// A [`KeyRow`].
    Key,
    /// A [`RouteRow`].
    Route,
    /// A [`ModelRow`].
    Model,
}

impl RowKind {
    /// All kinds, in the order in which `plan` lists them.
    pub const ALL: [Self; 4] = [Self::Customer, Self::Key, Self::Route, Self::Model];

    /// Returns the kind as it is written in row keys.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Key => "key",
            Self::Route => "route",
            Self::Model => "model",
        }
    }
}

/// Kind and name of a configuration row, written `kind/name`.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct RowKey {
    /// Kind of the row.
    pub kind: RowKind,
    /// Name of the row within its kind.
    pub name: SmolStr,
}

impl RowKey {
    /// Creates a key from its parts.
    pub fn new(kind: RowKind, name: impl AsRef<str>) -> Self {
        Self {
            kind,
            name: SmolStr::new(name),
        }
    }

    /// Returns the key under which the table service stores the row.
    pub fn table_key(&self) -> SmolStr {
        format_smolstr!("{CONFIG_PREFIX}{self}")
    }

    /// Parses a key of the table service; `None` if it is not the key of a configuration row.
    pub fn from_table_key(key: &str) -> Option<Self> {
        key.strip_prefix(CONFIG_PREFIX)?.parse().ok()
    }

    /// Returns the prefix of all configuration rows in the table service.
    pub fn table_prefix() -> &'static str {
        CONFIG_PREFIX
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

impl FromStr for RowKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let expected = "expected KIND/NAME with KIND one of customer, key, route, model";
        let (kind, name) = text.split_once('/').ok_or(expected)?;
        let kind = RowKind::ALL
            .into_iter()
            .find(|k| k.as_str() == kind)
            .ok_or(expected)?;
        let is_allowed = |c: char| c.is_alphanumeric() || matches!(c, '.' | '_' | '-');
        if name.is_empty() || !name.chars().all(is_allowed) {
            return Err(format!(
                "name {name:?}: expected letters, digits, '.', '_' or '-'"
            ));
        }
        Ok(Self::new(kind, name))
    }
}

impl TryFrom<SmolStr> for RowKey {
    type Error = String;

    fn try_from(text: SmolStr) -> Result<Self, String> {
        text.parse()
    }
}

impl From<RowKey> for SmolStr {
    fn from(key: RowKey) -> SmolStr {
        format_smolstr!("{key}")
    }
}

/// A typed configuration row.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigRow {
    /// A customer.
    Customer(CustomerRow),
    /// A granted key.
    Key(KeyHash, KeyRow),
    /// A route.
    Route(RouteId, RouteRow),
    /// A model.
    Model(ModelId, ModelRow),
}

impl ConfigRow {
    /// Parses the JSON value of a row according to the kind in its key, and checks it.
    ///
    /// # Errors
    /// Returns a message with the field that is wrong and what was expected.
    pub fn parse(key: &RowKey, value: &serde_json::Value) -> Result<Self, String> {
        let row = match key.kind {
            RowKind::Customer => Self::Customer(deserialize(value)?),
            RowKind::Key => Self::Key(KeyHash::try_from(key.name.clone())?, deserialize(value)?),
            RowKind::Route => Self::Route(RouteId(key.name.clone()), deserialize(value)?),
            RowKind::Model => Self::Model(ModelId(key.name.clone()), deserialize(value)?),
        };
        row.check()?;
        Ok(row)
    }

    fn check(&self) -> Result<(), String> {
        match self {
            Self::Customer(row) => check_customer(row),
            Self::Key(_, row) if row.customer.as_str().is_empty() => {
                Err("customer: expected a name".into())
            }
            Self::Key(..) => Ok(()),
            Self::Route(_, row) => check_route(row),
            Self::Model(_, row) => check_model(row),
        }
    }
}

/// A configuration row with the table revision at which it was written.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedRow {
    /// Kind and name.
    pub key: RowKey,
    /// Table revision of the last write.
    pub version: u64,
    /// JSON value of the row; `None` if the row is deleted.
    pub value: Option<serde_json::Value>,
}

fn deserialize<T: serde::de::DeserializeOwned>(value: &serde_json::Value) -> Result<T, String> {
    T::deserialize(value).map_err(|error| error.to_string())
}

fn check_customer(row: &CustomerRow) -> Result<(), String> {
    let positive = |name: &str, value: f64| match value.is_finite() && value > 0.0 {
        true => Ok(()),
        false => Err(format!("{name}: expected a positive number, found {value}")),
    };
    positive("rate", row.rate)?;
    positive("burst", row.burst)?;
    positive("weight", row.weight)
}

fn check_route(row: &RouteRow) -> Result<(), String> {
    if row.start_timeout_ms == 0 {
        return Err("patience_ms: expected at least 1".into());
    }
    match &row.kind {
        RouteKind::Model { models } if models.is_empty() => {
            Err("kind.model.models: expected at least one model".into())
        }
        RouteKind::Plain { prefix, .. } if !prefix.starts_with('/') || prefix.len() < 2 => Err(
            format!("kind.plain.prefix: expected a path beginning with /, found {prefix:?}"),
        ),
        RouteKind::Plain { prefix, .. } if prefix.starts_with("/v1/") => {
            Err("kind.plain.prefix: paths below /v1/ are reserved for the router".into())
        }
        _ => Ok(()),
    }
}

fn check_model(row: &ModelRow) -> Result<(), String> {
    if row.context == 0 || row.default_max_tokens == 0 || row.min_bytes_per_token == 0 {
        return Err("context, default_max_tokens, min_bytes_per_token: expected at least 1".into());
    }
    Ok(())
}
