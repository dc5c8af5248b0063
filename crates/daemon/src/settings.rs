//! Settings of an instance, validated completely before anything starts.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use jacinthlever_core::CoreSettings;
use jacinthlever_types::{InstanceId, ZoneId};
use serde_json::{Map, Value};
use smol_str::SmolStr;

/// Minimum length of a credential.
const MIN_CREDENTIAL_BYTES: usize = 16;

/// One error in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingError {
    /// Path of the settings file.
    pub file: String,
    /// Name of the invalid field; empty if the error concerns the whole file.
    pub field: String,
    /// What was expected and, except for credentials, what was found.
    pub expected: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field.is_empty() {
            true => write!(f, "{}: {}", self.file, self.expected),
            false => write!(f, "{}: {}: {}", self.file, self.field, self.expected),
        }
    }
}

impl std::error::Error for SettingError {}

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance in the platform's list of machines.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Region of the instance.
    pub region: SmolStr,
    /// Address on which callers are served.
    pub caller_address: SocketAddr,
    /// Address on which peers connect.
    pub peer_address: SocketAddr,
    /// Address of the operators' API.
    pub operator_address: SocketAddr,
    /// Address of the table service.
    pub table_address: SocketAddr,
    /// Address of the object store.
    pub object_address: SocketAddr,
    /// Address of the platform's list of machines.
    pub list_address: SocketAddr,
    /// Credential that operators present.
    pub operator_credential: String,
    /// Credential that instances present to each other.
    pub peer_credential: String,
    /// Term of the lease of the instance.
    pub lease_term: Duration,
    /// Maximum number of concurrent requests.
    pub max_requests: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum time to receive the head of a request.
    pub head_timeout: Duration,
    /// Maximum time to receive the body of a request.
    pub body_timeout: Duration,
    /// Time without a received byte after which a prefill counts as stalled.
    pub prefill_timeout: Duration,
    /// Time without a token after which a decode counts as stalled.
    pub token_timeout: Duration,
    /// Time without a received byte after which a call to a plain service fails.
    pub service_timeout: Duration,
    /// Time without a received byte after which a call to a platform service fails.
    pub platform_timeout: Duration,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Returns all errors, not only the first.
    pub fn read(path: &Path) -> Result<Self, Vec<SettingError>> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| {
            let expected = format!("expected a readable file: {error}");
            vec![SettingError {
                file: file.clone(),
                field: String::new(),
                expected,
            }]
        })?;
        Self::parse(&file, &text)
    }

    /// Validates the text of a settings file; `file` is its path in errors.
    ///
    /// # Errors
    /// Returns all errors, not only the first.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        let mut fields = FieldReader::new(file, text)?;
        let settings = Self {
            instance: InstanceId::new(fields.string("instance")),
            zone: ZoneId::new(fields.string("zone")),
            region: SmolStr::new(fields.string("region")),
            caller_address: fields.address("caller_address"),
            peer_address: fields.address("peer_address"),
            operator_address: fields.address("operator_address"),
            table_address: fields.address("table_address"),
            object_address: fields.address("object_address"),
            list_address: fields.address("list_address"),
            operator_credential: fields.credential("operator_credential"),
            peer_credential: fields.credential("peer_credential"),
            lease_term: fields.millis("lease_term_ms", 750, 300..=60_000),
            max_requests: fields.number("max_requests", 256, 1..=4_096) as usize,
            max_body: fields.number("max_body_bytes", 4 << 20, 1_024..=(64 << 20)) as usize,
            head_timeout: fields.millis("head_timeout_ms", 5_000, 100..=60_000),
            body_timeout: fields.millis("body_timeout_ms", 10_000, 100..=600_000),
            prefill_timeout: fields.millis("prefill_timeout_ms", 5_000, 100..=600_000),
            token_timeout: fields.millis("token_timeout_ms", 800, 100..=60_000),
            service_timeout: fields.millis("service_timeout_ms", 10_000, 100..=600_000),
            platform_timeout: fields.millis("platform_timeout_ms", 1_000, 100..=10_000),
        };
        fields.check_unknown();
        fields.check_distinct(&[
            "caller_address",
            "peer_address",
            "operator_address",
            "table_address",
            "object_address",
            "list_address",
        ]);
        fields.finish(settings)
    }

    /// Returns the settings of the decision core.
    pub fn core_settings(&self, incarnation: u64, seed: u64) -> CoreSettings {
        let caller_address = SmolStr::new(self.caller_address.to_string());
        CoreSettings {
            incarnation,
            seed,
            lease_term: self.lease_term,
            max_requests: self.max_requests,
            ..CoreSettings::new(self.instance.clone(), self.zone.clone(), caller_address)
        }
    }
}

/// Reads the fields of a JSON object and collects all errors.
struct FieldReader {
    file: String,
    fields: Map<String, Value>,
    /// Fields that were read; the value is the text of an address, and empty for other fields.
    seen: BTreeMap<&'static str, String>,
    errors: Vec<SettingError>,
}

impl FieldReader {
    fn new(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        let file_error = |expected: String| {
            vec![SettingError {
                file: file.into(),
                field: String::new(),
                expected,
            }]
        };
        match serde_json::from_str(text) {
            Ok(Value::Object(fields)) => Ok(Self {
                file: file.into(),
                fields,
                seen: BTreeMap::new(),
                errors: Vec::new(),
            }),
            Ok(_) => Err(file_error("expected a JSON object".into())),
            Err(error) => Err(file_error(format!("expected JSON: {error}"))),
        }
    }

    fn string(&mut self, field: &'static str) -> String {
        self.seen.insert(field, String::new());
        match self.fields.get(field) {
            Some(Value::String(text)) if !text.is_empty() => text.clone(),
            found => {
                let found = describe(found);
                self.add_error(
                    field,
                    format!("expected a string that is not empty, found {found}"),
                );
                String::new()
            }
        }
    }

    fn address(&mut self, field: &'static str) -> SocketAddr {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let text = self
            .fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned();
        self.seen.insert(field, text.clone());
        match text.parse::<SocketAddr>() {
            Ok(address) => address,
            Err(_) => {
                let found = describe(self.fields.get(field));
                let expected =
                    format!("expected an IP address and port such as 10.0.0.1:7000, found {found}");
                self.add_error(field, expected);
                unset
            }
        }
    }

    fn credential(&mut self, field: &'static str) -> String {
        self.seen.insert(field, String::new());
        let text = self
            .fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned();
        if text.len() < MIN_CREDENTIAL_BYTES {
            // The found value is not shown, as it may be a mistyped credential.
            self.add_error(
                field,
                format!("expected a string of at least {MIN_CREDENTIAL_BYTES} characters"),
            );
        }
        text
    }

    fn millis(
        &mut self,
        field: &'static str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(field, default, range))
    }

    fn number(
        &mut self,
        field: &'static str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> u64 {
        self.seen.insert(field, String::new());
        let Some(found) = self.fields.get(field) else {
            return default;
        };
        match found.as_u64().filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let (low, high) = (range.start(), range.end());
                let found = describe(Some(found));
                self.add_error(
                    field,
                    format!("expected a number from {low} to {high}, found {found}"),
                );
                default
            }
        }
    }

    /// Reports fields that were not read.
    fn check_unknown(&mut self) {
        let known: Vec<&str> = self.seen.keys().copied().collect();
        let unknown: Vec<String> = self
            .fields
            .keys()
            .filter(|f| !known.contains(&f.as_str()))
            .cloned()
            .collect();
        for field in unknown {
            let expected = format!("unknown field; expected one of {}", known.join(", "));
            self.add_error(&field, expected);
        }
    }

    /// Reports addresses that are equal to an earlier one.
    fn check_distinct(&mut self, fields: &[&'static str]) {
        for (i, field) in fields.iter().enumerate() {
            let address = self.seen.get(field).cloned().unwrap_or_default();
            let other = fields[..i]
                .iter()
                .find(|other| self.seen.get(*other) == Some(&address));
            if let Some(other) = other.filter(|_| !address.is_empty()) {
                self.add_error(
                    field,
                    format!("expected an address other than that of {other}"),
                );
            }
        }
    }

    fn add_error(&mut self, field: &str, expected: String) {
        self.errors.push(SettingError {
            file: self.file.clone(),
            field: field.into(),
            expected,
        });
    }

    fn finish<T>(self, value: T) -> Result<T, Vec<SettingError>> {
        match self.errors.is_empty() {
            true => Ok(value),
            false => Err(self.errors),
        }
    }
}

/// Returns the found value for an error message.
fn describe(found: Option<&Value>) -> String {
    found.map_or("nothing".into(), Value::to_string)
}
