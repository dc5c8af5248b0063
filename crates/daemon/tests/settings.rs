//! Each file of `settings/` describes a settings file and the errors that it must lead to.

use std::collections::BTreeSet;
use std::path::Path;

use jacinthlever_daemon::Settings;
use serde::Deserialize;
use serde_json::Value;

datatest_stable::harness! {
    { test = run, root = "tests/settings", pattern = r"\.json$" },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    #[serde(rename = "about")]
    _about: String,
    /// Fields that differ from valid settings; null removes a field.
    #[serde(default)]
    change: Option<serde_json::Map<String, Value>>,
    /// Text of the file, used instead of the fields.
    #[serde(default)]
    text: Option<String>,
    /// Field and a part of the message for each error.
    errors: Vec<(String, String)>,
    /// Text that no error may contain.
    #[serde(default)]
    hidden: Option<String>,
}

fn valid_settings() -> serde_json::Map<String, Value> {
    let text = r#"{
        "instance": "i0", "zone": "z0", "region": "r0",
        "caller_address": "127.0.0.1:7000", "peer_address": "127.0.0.1:7001",
        "operator_address": "127.0.0.1:7002", "table_address": "127.0.0.1:7003",
        "object_address": "127.0.0.1:7004", "list_address": "127.0.0.1:7005",
        "operator_credential": "0123456789abcdef", "peer_credential": "fedcba9876543210"
    }"#;
    serde_json::from_str(text).expect("JSON")
}

fn run(_: &Path, text: String) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&text)?;
    let mut fields = valid_settings();
    for (name, value) in case.change.into_iter().flatten() {
        match value {
            Value::Null => fields.remove(&name),
            value => fields.insert(name, value),
        };
    }
    let file = case
        .text
        .unwrap_or_else(|| Value::Object(fields).to_string());
    let errors = Settings::parse("settings.json", &file)
        .err()
        .unwrap_or_default();
    let found: BTreeSet<&str> = errors.iter().map(|error| error.field.as_str()).collect();
    let wanted: BTreeSet<&str> = case
        .errors
        .iter()
        .map(|(field, _)| field.as_str())
        .collect();
    if found != wanted {
        return Err(format!("errors in {found:?}, expected {wanted:?}").into());
    }
    for (field, part) in &case.errors {
        let matches = |error: &&jacinthlever_daemon::SettingError| {
            error.field == *field && error.expected.contains(part) && error.file == "settings.json"
        };
        if !errors.iter().any(|error| matches(&error)) {
            return Err(format!("no error of {field} contains {part:?}: {errors:?}").into());
        }
    }
    let messages = errors
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("\n");
    match case.hidden {
        Some(hidden) if messages.contains(&hidden) => {
            Err(format!("the hidden text is in the errors: {messages}").into())
        }
        _ => Ok(()),
    }
}
