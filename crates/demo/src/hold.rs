//! Keeps a fleet running for a person to try.

use std::collections::BTreeMap;

use jacinthlever_local_fleet::FleetSpec;
use serde_json::json;

use crate::fleet::{self, CUSTOMERS, INSTANCES};

/// Starts the fleet, prints how to reach it, and waits until the process is interrupted.
///
/// # Errors
/// Says what did not start.
pub fn run() -> Result<bool, Box<dyn std::error::Error>> {
    let (fleet, revision) = fleet::start()?;
    let instances: Vec<String> = (0..INSTANCES).map(|n| fleet.caller_address(n)).collect();
    let operators: Vec<String> = (0..INSTANCES).map(|n| fleet.operator_address(n)).collect();
    let keys: BTreeMap<&str, String> = CUSTOMERS
        .iter()
        .map(|customer| (customer.name, customer.key()))
        .collect();
    let line = json!({
        "entry_instances": instances,
        "operators_api": operators[0],
        "operators_apis": operators,
        "credential": FleetSpec::operator_credential(),
        "keys": keys,
        "model": "quill",
        "plain_routes": ["/bookings", "/crews", "/donations", "/catalogue"],
        "open_routes": ["/catalogue"],
        "revision": revision,
    });
    println!("{line}");
    loop {
        std::thread::park();
    }
}
