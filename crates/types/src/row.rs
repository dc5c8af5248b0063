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
    /// Goes first: bookings, lookups, catalogue reads, interactive answers.
    Urgent,
    /// May wait: drafts, digests, notes.
    #[default]
    Patient,
}

impl Class {
    /// Returns the class as metrics and declarations spell it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Patient => "patient",
        }
    }
}

/// One customer with its limits and weight.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerRow {
    /// Sustained rate over the whole fleet, in tokens a second.
    pub rate: f64,
    /// Most tokens at once over the whole fleet.
    pub burst: f64,
    /// Share of a contended pool relative to other customers.
    pub weight: f64,
}

/// One granted key; the row's name is the key's hash.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRow {
    /// The customer whose requests the key authorises.
    pub customer: CustomerId,
    /// A label for operators; never the key.
    #[serde(default)]
    pub label: SmolStr,
}

/// What a route leads to.
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
        /// Service name in the platform's list.
        service: SmolStr,
        /// Whether unsafe methods may be sent again after a failure.
        #[serde(default)]
        repeatable: bool,
        /// Whether unsafe methods must carry an `Idempotency-Key`.
        #[serde(default)]
        require_key: bool,
        /// Tokens that one call charges to the customer's limit.
        #[serde(default)]
        call_tokens: u64,
    },
}

/// One route with whom it serves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// What the route leads to.
    pub kind: RouteKind,
    /// Customers that may use it; ignored where `open` is set.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
    /// Scheduling class.
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

/// One model that engines serve.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRow {
    /// Longest prompt plus output, in tokens.
    pub context: u32,
    /// Output limit for requests that name none, in tokens.
    pub default_max_tokens: u32,
    /// Fewest bytes of text that one token stands for; sizes prompts before they run.
    pub min_bytes_per_token: u32,
}

impl ModelRow {
    /// Returns an upper bound of a prompt's tokens from its length in bytes.
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

    /// Returns the kind as it stands in row keys.
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
    /// Makes a key from its parts.
    pub fn new(kind: RowKind, name: impl AsRef<str>) -> Self {
        Self {
            kind,
            name: SmolStr::new(name),
        }
    }

    /// Returns the key under which the table service keeps the row.
    pub fn table_key(&self) -> SmolStr {
        format_smolstr!("{CONFIG_PREFIX}{self}")
    }

    /// Parses a table service key; `None` if it is not a configuration row's.
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
        let is_plain = |c: char| c.is_alphanumeric() || matches!(c, '.' | '_' | '-');
        if name.is_empty() || !name.chars().all(is_plain) {
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
    /// Reads a row's JSON as its key's kind says.
    ///
    /// # Errors
    /// Says which field is wrong and what was expected.
    pub fn parse(key: &RowKey, value: &serde_json::Value) -> Result<Self, String> {
        let row = match key.kind {
            RowKind::Customer => Self::Customer(read(value)?),
            RowKind::Key => Self::Key(KeyHash::try_from(key.name.clone())?, read(value)?),
            RowKind::Route => Self::Route(RouteId(key.name.clone()), read(value)?),
            RowKind::Model => Self::Model(ModelId(key.name.clone()), read(value)?),
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

/// A configuration row with the table revision that wrote it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedRow {
    /// Kind and name.
    pub key: RowKey,
    /// Table revision of the last write.
    pub version: u64,
    /// The row's JSON; `None` marks a deleted row.
    pub value: Option<serde_json::Value>,
}

fn read<T: serde::de::DeserializeOwned>(value: &serde_json::Value) -> Result<T, String> {
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
            Err("kind.plain.prefix: /v1/ belongs to the router".into())
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
