//! Settings of an instance, checked as a whole before anything starts.

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

/// Shortest credential that is accepted, in characters.
const MIN_CREDENTIAL: usize = 16;

/// One thing wrong with a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingError {
    /// File read.
    pub file: String,
    /// Field at fault; empty if it is the file itself.
    pub field: String,
    /// What was expected.
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
    /// Name of the instance, as the platform's list has it.
    pub instance: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region.
    pub region: SmolStr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address of the table service.
    pub table_address: SocketAddr,
    /// Address of the object store.
    pub object_address: SocketAddr,
    /// Address of the list of machines.
    pub list_address: SocketAddr,
    /// Credential that operators show.
    pub operator_credential: String,
    /// Credential that instances show each other.
    pub peer_credential: String,
    /// Term of the instance's lease.
    pub lease_term: Duration,
    /// Requests held at once.
    pub max_requests: usize,
    /// Largest body, in bytes.
    pub max_body: usize,
    /// Time in which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Time in which the body of a request must arrive.
    pub body_timeout: Duration,
    /// Time without a byte after which a prefill counts as stalled.
    pub prefill_timeout: Duration,
    /// Time without a token after which a decode counts as stalled.
    pub token_timeout: Duration,
    /// Time in which a plain service must answer.
    pub service_timeout: Duration,
    /// Time in which a platform service must answer.
    pub platform_timeout: Duration,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns everything that is wrong, not only the first.
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

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// Returns everything that is wrong, not only the first.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        let mut reader = Reader::new(file, text)?;
        let settings = Self {
            instance: InstanceId::new(reader.text("instance")),
            zone: ZoneId::new(reader.text("zone")),
            region: SmolStr::new(reader.text("region")),
            caller_address: reader.address("caller_address"),
            peer_address: reader.address("peer_address"),
            operator_address: reader.address("operator_address"),
            table_address: reader.address("table_address"),
            object_address: reader.address("object_address"),
            list_address: reader.address("list_address"),
            operator_credential: reader.credential("operator_credential"),
            peer_credential: reader.credential("peer_credential"),
            lease_term: reader.millis("lease_term_ms", 750, 300..=60_000),
            max_requests: reader.number("max_requests", 256, 1..=4_096) as usize,
            max_body: reader.number("max_body_bytes", 4 << 20, 1_024..=(64 << 20)) as usize,
            head_timeout: reader.millis("head_timeout_ms", 5_000, 100..=60_000),
            body_timeout: reader.millis("body_timeout_ms", 10_000, 100..=600_000),
            prefill_timeout: reader.millis("prefill_timeout_ms", 5_000, 100..=600_000),
            token_timeout: reader.millis("token_timeout_ms", 800, 100..=60_000),
            service_timeout: reader.millis("service_timeout_ms", 10_000, 100..=600_000),
            platform_timeout: reader.millis("platform_timeout_ms", 1_000, 100..=10_000),
        };
        reader.no_others();
        reader.no_clashes(&[
            "caller_address",
            "peer_address",
            "operator_address",
            "table_address",
            "object_address",
            "list_address",
        ]);
        reader.finish(settings)
    }

    /// Returns the settings of the decision core.
    pub fn core(&self, incarnation: u64, seed: u64) -> CoreSettings {
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

/// Takes fields out of a JSON object and collects what is wrong with them.
struct Reader {
    file: String,
    fields: Map<String, Value>,
    /// Fields that were read, with their text where they are addresses.
    seen: BTreeMap<&'static str, String>,
    errors: Vec<SettingError>,
}

impl Reader {
    fn new(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        let wrong = |expected: String| {
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
            Ok(_) => Err(wrong("expected a JSON object".into())),
            Err(error) => Err(wrong(format!("expected JSON: {error}"))),
        }
    }

    fn text(&mut self, field: &'static str) -> String {
        self.seen.insert(field, String::new());
        match self.fields.get(field) {
            Some(Value::String(text)) if !text.is_empty() => text.clone(),
            found => {
                let found = describe(found);
                self.wrong(
                    field,
                    format!("expected a text that is not empty, found {found}"),
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
                self.wrong(field, expected);
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
        if text.len() < MIN_CREDENTIAL {
            // The text found is not shown, as it may be a credential with a slip in it.
            self.wrong(
                field,
                format!("expected a text of at least {MIN_CREDENTIAL} characters"),
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
                self.wrong(
                    field,
                    format!("expected a number from {low} to {high}, found {found}"),
                );
                default
            }
        }
    }

    fn no_others(&mut self) {
        let known: Vec<&str> = self.seen.keys().copied().collect();
        let others: Vec<String> = self
            .fields
            .keys()
            .filter(|f| !known.contains(&f.as_str()))
            .cloned()
            .collect();
        for field in others {
            let expected = format!("unknown field; expected one of {}", known.join(", "));
            self.wrong(&field, expected);
        }
    }

    fn no_clashes(&mut self, fields: &[&'static str]) {
        for (i, field) in fields.iter().enumerate() {
            let address = self.seen.get(field).cloned().unwrap_or_default();
            let other = fields[..i]
                .iter()
                .find(|other| self.seen.get(*other) == Some(&address));
            if let Some(other) = other.filter(|_| !address.is_empty()) {
                self.wrong(
                    field,
                    format!("expected an address other than that of {other}"),
                );
            }
        }
    }

    fn wrong(&mut self, field: &str, expected: String) {
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

fn describe(found: Option<&Value>) -> String {
    found.map_or("nothing".into(), Value::to_string)
}
