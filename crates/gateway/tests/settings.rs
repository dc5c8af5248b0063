//! Checks that invalid settings are refused with the name of the field and its valid values.

use jacinthlever_gateway::{Settings, SettingsError};
use serde_json::{Value, json};

fn settings() -> Value {
    json!({
        "instance": "i", "zone": "z", "region": "r",
        "listen": {
            "callers": "127.0.0.1:1", "directory": "127.0.0.1:2", "readiness": "127.0.0.1:3",
            "peers": "127.0.0.1:4", "metrics": "127.0.0.1:5",
        },
        "max_descriptors": 1024,
        "max_memory_mb": 88,
        "store": { "address": "127.0.0.1:6" },
        "bounds": {
            "revoke_ms": 5000, "grace_s": 8.0, "resend_ratio": 0.2, "resend_window_s": 10.0,
            "resend_allowance": 52.0, "lease_ms": 3000, "directory_ttl_s": 5.0,
        },
    })
}

fn parse_error(path: &str, value: Value) -> String {
    let mut settings = settings();
    let field = settings.pointer_mut(path).expect("the field exists");
    *field = value;
    match Settings::parse("file", &settings.to_string()) {
        Ok(_) => "none".into(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn valid_settings_are_accepted() {
    assert!(Settings::parse("file", &settings().to_string()).is_ok());
}

#[test]
fn errors_name_the_invalid_field() {
    let cases = [
        ("/instance", json!(""), "instance: expected a name"),
        (
            "/max_descriptors",
            json!(10),
            "max_descriptors: expected at least 256",
        ),
        (
            "/max_memory_mb",
            json!(10),
            "max_memory_mb: expected at least 16",
        ),
        (
            "/bounds/revoke_ms",
            json!(10),
            "bounds.revoke_ms: expected at least 1000",
        ),
        (
            "/bounds/grace_s",
            json!(0),
            "bounds.grace_s: expected more than 0",
        ),
        (
            "/bounds/resend_ratio",
            json!(2),
            "bounds.resend_ratio: expected 0 to 1",
        ),
        (
            "/listen/callers",
            json!("127.0.0.1:2"),
            "listen: expected a different address",
        ),
        (
            "/listen/callers",
            json!("nowhere"),
            "invalid socket address",
        ),
        (
            "/store",
            json!({ "adress": "127.0.0.1:6" }),
            "unknown field `adress`",
        ),
    ];
    for (path, value, expected) in cases {
        let error = parse_error(path, value);
        assert!(error.contains(expected), "{path}: {error}");
        assert!(error.starts_with("file: "), "{error}");
    }
}

#[test]
fn the_error_for_a_missing_file_names_it() {
    let error = Settings::open(std::path::Path::new("/none/settings.json"), |_| {});
    assert!(matches!(error, Err(SettingsError::Unreadable { file, .. }) if file.contains("none")));
}

/// Guards against a default that turns scheduling on, and against a misspelt switch that is ignored.
#[test]
fn scheduling_is_off_unless_it_is_stated() {
    let parsed = |scheduling: Option<Value>| {
        let mut settings = settings();
        if let Some(scheduling) = scheduling {
            settings["scheduling"] = scheduling;
        }
        Settings::parse("file", &settings.to_string()).map(|s| s.scheduling.is_active)
    };
    assert_eq!(parsed(None), Ok(false));
    assert_eq!(parsed(Some(json!({}))), Ok(false));
    assert_eq!(parsed(Some(json!({ "is_active": true }))), Ok(true));
    assert!(parsed(Some(json!({ "active": true }))).is_err());
}
