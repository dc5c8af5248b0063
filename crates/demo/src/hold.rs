//! Keeps a fleet running for manual use.

use std::collections::BTreeMap;

use jacinthlever_local_fleet::FleetSpec;
use serde_json::json;

use crate::fleet::{self, CUSTOMERS, INSTANCE_COUNT};

/// Starts the fleet, prints its addresses and keys as a line of JSON, and blocks until the process
/// is interrupted.
///
/// # Errors
/// Fails if the fleet cannot be started; see [`fleet::start`].
pub fn run() -> Result<bool, Box<dyn std::error::Error>> {
    let (fleet, revision) = fleet::start()?;
    let instances: Vec<String> = (0..INSTANCE_COUNT)
        .map(|n| fleet.caller_address(n))
        .collect();
    let operators: Vec<String> = (0..INSTANCE_COUNT)
        .map(|n| fleet.operator_address(n))
        .collect();
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
