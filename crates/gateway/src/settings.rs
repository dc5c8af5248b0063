//! The settings file of an instance; see `docs/operators/settings.md`.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;

/// Settings of one instance.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub instance: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Region.
    pub region: SmolStr,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Most descriptors that the process may open.
    pub max_descriptors: usize,
    /// The platform's store.
    pub store: StoreSettings,
    /// Bounds that the operators promise.
    pub bounds: Bounds,
    /// What a usual generation asks of engines.
    #[serde(default)]
    pub planning: Planning,
}

/// What a usual generation asks of engines; the mix of stages is planned for it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Planning {
    /// Tokens of the prompt.
    pub prompt_tokens: f64,
    /// Tokens of the answer.
    pub output_tokens: f64,
    /// Prompt tokens that an engine reads in a millisecond.
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
    /// For callers that ask for addresses.
    pub directory: SocketAddr,
    /// For the platform's readiness checks.
    pub readiness: SocketAddr,
    /// For datagrams of other instances.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Where the store is.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address.
    pub address: SocketAddr,
}

/// Bounds that the operators promise; units are in the names.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time in which a withdrawn key must stop working.
    pub revoke_ms: u64,
    /// Time after SIGTERM at which the process is killed.
    pub grace_s: f64,
    /// Resends that each request allows.
    #[serde(rename = "resend_ratio")]
    pub retry_ratio: f64,
    /// Window over which resends are counted.
    #[serde(rename = "resend_window_s")]
    pub retry_window_s: f64,
    /// Resends of the whole fleet that each window allows beside the ratio.
    #[serde(rename = "resend_allowance")]
    pub retry_allowance: f64,
    /// Least time between orders of different holders to one engine.
    pub lease_ms: u64,
    /// Longest time for which callers keep addresses.
    pub directory_ttl_s: f64,
}

impl Bounds {
    /// Returns the time in which a withdrawn key must stop working.
    pub fn revocation_time(&self) -> Duration {
        Duration::from_millis(self.revoke_ms)
    }

    /// Returns the time between SIGTERM and the kill.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the window over which resends are counted.
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s)
    }
}

/// Why settings cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// File.
        file: String,
        /// What the system said.
        cause: String,
    },
    /// The file is not a settings file.
    Malformed {
        /// File.
        file: String,
        /// Field and expectation, as the parser says it.
        cause: String,
    },
    /// A field has a value that cannot work.
    Invalid {
        /// File.
        file: String,
        /// Field.
        field: &'static str,
        /// What is expected there.
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

/// Least number of descriptors that an instance can work with.
const MIN_DESCRIPTORS: usize = 256;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails with the file, the field and what was expected there.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            file: file.clone(),
            cause: error.to_string(),
        })?;
        Self::parse(&file, &text)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// Fails with the file, the field and what was expected there.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self =
            serde_json::from_str(text).map_err(|error| SettingsError::Malformed {
                file: file.into(),
                cause: error.to_string(),
            })?;
        match settings.fault() {
            None => Ok(settings),
            Some((field, expected)) => Err(SettingsError::Invalid {
                file: file.into(),
                field,
                expected,
            }),
        }
    }

    fn fault(&self) -> Option<(&'static str, &'static str)> {
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
                self.planning.is_positive(),
                "planning",
                "figures of more than 0",
            ),
            (
                self.listen.has_own_ports(),
                "listen",
                "a different address for each duty",
            ),
        ];
        checks
            .into_iter()
            .find(|(holds, ..)| !holds)
            .map(|(_, field, expected)| (field, expected))
    }
}

impl Planning {
    fn is_positive(&self) -> bool {
        let figures = [
            self.prompt_tokens,
            self.output_tokens,
            self.prefill_tokens_per_ms,
            self.ms_per_token,
        ];
        figures.into_iter().all(|figure| figure > 0.0)
    }
}

impl Listen {
    fn has_own_ports(&self) -> bool {
        let tcp = [self.callers, self.directory, self.readiness, self.metrics];
        let mut seen = BTreeMap::new();
        tcp.into_iter()
            .all(|address| seen.insert(address, ()).is_none())
    }
}
