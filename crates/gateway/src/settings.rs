//! Settings file of an instance; see `docs/operators/settings.md`.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_json::{Map, Value};
use smol_str::SmolStr;

/// Settings of one instance.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub instance: SmolStr,
    /// Availability zone in which this instance runs.
    pub zone: SmolStr,
    /// Region in which this instance runs.
    pub region: SmolStr,
    /// Whether all instances start for the first time, so that none has sent anything before. Read at
    /// the start only.
    #[serde(default, rename = "first_start")]
    pub is_first_start: bool,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Maximum number of file descriptors that the process may open.
    pub max_descriptors: usize,
    /// Memory of the machine, in megabytes; without it the limits of the process count.
    #[serde(default)]
    pub max_memory_mb: Option<usize>,
    /// Location of the platform's store.
    pub store: StoreSettings,
    /// Bounds that the operators guarantee.
    pub bounds: Bounds,
    /// Size and cost of a typical generation.
    #[serde(default)]
    pub planning: Planning,
    /// Placement and admission by shared load, cost and rate.
    #[serde(default)]
    pub scheduling: Scheduling,
}

/// Placement and admission by shared load, cost and rate; see `docs/design/placement-by-cost.md`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Scheduling {
    /// Whether it is used from the start. Otherwise it is used once a backend server states its
    /// slowdown.
    pub is_active: bool,
}

/// Size and cost of a typical generation, from which the role plan of the engines is computed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Planning {
    /// Number of tokens of the prompt.
    pub prompt_tokens: f64,
    /// Number of tokens of the answer.
    pub output_tokens: f64,
    /// Prompt tokens that an engine prefills per millisecond.
    #[serde(rename = "read_tokens_per_ms")]
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds between two tokens of an answer.
    pub ms_per_token: f64,
}

impl Default for Planning {
    fn default() -> Self {
        Self {
            prompt_tokens: 3200.0,
            output_tokens: 1050.0,
            prefill_tokens_per_ms: 30.0,
            ms_per_token: 3.5,
        }
    }
}

/// Addresses that an instance listens on.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For requests of callers for the addresses of instances.
    pub directory: SocketAddr,
    /// For the platform's readiness checks.
    pub readiness: SocketAddr,
    /// For datagrams of other instances (UDP), and for requests that they pass on (TCP).
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Location of the store.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
}

/// Bounds that the operators guarantee; the names of the fields give the units.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time within which a revoked key must stop working, in milliseconds.
    pub revoke_ms: u64,
    /// Time between SIGTERM and the kill of the process, in seconds.
    pub grace_s: f64,
    /// Retries that are allowed per request, as a share from 0 to 1.
    #[serde(rename = "resend_ratio")]
    pub retry_ratio: f64,
    /// Window over which retries are counted, in seconds.
    #[serde(rename = "resend_window_s")]
    pub retry_window_s: f64,
    /// Retries that the whole fleet may make per window in addition to the ratio.
    #[serde(rename = "resend_allowance")]
    pub retry_allowance: f64,
    /// Minimum time between role change commands of different instances to one engine, in
    /// milliseconds.
    pub lease_ms: u64,
    /// Maximum time for which callers cache addresses, in seconds.
    pub directory_ttl_s: f64,
}

impl Bounds {
    /// Returns the time within which a revoked key must stop working.
    pub fn revocation_time(&self) -> Duration {
        Duration::from_millis(self.revoke_ms)
    }

    /// Returns the time between SIGTERM and the kill of the process.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the window over which retries are counted.
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s)
    }
}

/// Error of a settings file that cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        cause: String,
    },
    /// The file is not a settings file.
    Malformed {
        /// Path of the file.
        file: String,
        /// Error of the parser, with the field and what was expected.
        cause: String,
    },
    /// A field has a value outside its valid range.
    Invalid {
        /// Path of the file.
        file: String,
        /// Name of the field.
        field: &'static str,
        /// Valid values of the field.
        expected: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file, cause } => write!(f, "{file}: cannot be read: {cause}"),
            Self::Malformed { file, cause } => write!(f, "{file}: {cause}"),
            Self::Invalid {
                file,
                field,
                expected,
            } => write!(f, "{file}: {field}: expected {expected}"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Replaces the fields of a settings file that only the platform knows by fields of [`Settings`].
pub type TranslateSettings = fn(&mut Map<String, Value>);

/// Minimum number of descriptors with which an instance can work.
const MIN_DESCRIPTORS: usize = 256;

/// Memory, in megabytes, below which the process itself does not fit.
const MIN_MEMORY_MB: usize = 16;

impl Settings {
    /// Reads and validates a settings file, whose platform fields `translate` replaces by fields of
    /// this type.
    ///
    /// # Errors
    /// Fails if the file cannot be read or parsed, or if a field has an invalid value; the error
    /// names the file, the field and the valid values.
    pub fn open(path: &Path, translate: TranslateSettings) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            file: file.clone(),
            cause: error.to_string(),
        })?;
        let malformed = |error: serde_json::Error| SettingsError::Malformed {
            file: file.clone(),
            cause: error.to_string(),
        };
        let mut fields = serde_json::from_str(&text).map_err(malformed)?;
        translate(&mut fields);
        let settings = Value::Object(fields);
        Self::validate(&file, serde_json::from_value(settings).map_err(malformed)?)
    }

    /// Parses and validates the text of a settings file; `file` is its name for errors.
    ///
    /// # Errors
    /// Fails if the text cannot be parsed or if a field has an invalid value; the error names the
    /// file, the field and the valid values.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings = serde_json::from_str(text).map_err(|error| SettingsError::Malformed {
            file: file.into(),
            cause: error.to_string(),
        })?;
        Self::validate(file, settings)
    }

    fn validate(file: &str, settings: Self) -> Result<Self, SettingsError> {
        match settings.first_invalid() {
            None => Ok(settings),
            Some((field, expected)) => Err(SettingsError::Invalid {
                file: file.into(),
                field,
                expected,
            }),
        }
    }

    fn first_invalid(&self) -> Option<(&'static str, &'static str)> {
        let bounds = &self.bounds;
        let checks = [
            (!self.instance.is_empty(), "instance", "a name"),
            (!self.zone.is_empty(), "zone", "a name"),
            (
                self.max_descriptors >= MIN_DESCRIPTORS,
                "max_descriptors",
                "at least 256",
            ),
            (
                self.max_memory_mb.is_none_or(|mb| mb >= MIN_MEMORY_MB),
                "max_memory_mb",
                "at least 16",
            ),
            (
                bounds.revoke_ms >= 1000,
                "bounds.revoke_ms",
                "at least 1000",
            ),
            (bounds.grace_s > 0.0, "bounds.grace_s", "more than 0"),
            (
                (0.0..=1.0).contains(&bounds.retry_ratio),
                "bounds.resend_ratio",
                "0 to 1",
            ),
            (
                bounds.retry_window_s > 0.0,
                "bounds.resend_window_s",
                "more than 0",
            ),
            (
                bounds.retry_allowance >= 0.0,
                "bounds.resend_allowance",
                "at least 0",
            ),
            (
                bounds.directory_ttl_s > 0.0,
                "bounds.directory_ttl_s",
                "more than 0",
            ),
            (
                self.planning.has_positive_values(),
                "planning",
                "values of more than 0",
            ),
            (
                self.listen.has_distinct_addresses(),
                "listen",
                "a different address for each TCP endpoint",
            ),
        ];
        checks
            .into_iter()
            .find(|(is_valid, ..)| !is_valid)
            .map(|(_, field, expected)| (field, expected))
    }
}

impl Planning {
    fn has_positive_values(&self) -> bool {
        let values = [
            self.prompt_tokens,
            self.output_tokens,
            self.prefill_tokens_per_ms,
            self.ms_per_token,
        ];
        values.into_iter().all(|value| value > 0.0)
    }
}

impl Listen {
    fn has_distinct_addresses(&self) -> bool {
        let tcp = [self.callers, self.directory, self.readiness, self.metrics];
        let mut seen = BTreeMap::new();
        tcp.into_iter()
            .all(|address| seen.insert(address, ()).is_none())
    }
}
