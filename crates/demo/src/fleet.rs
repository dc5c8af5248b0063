//! The fleet of the demo: customers and routes like those of the two joint owners.

use std::time::Duration;

use jacinthlever_local_fleet::{CustomerSpec, Fleet, FleetSpec, declarations};
use serde_json::json;

/// Instances of the fleet.
pub const INSTANCES: u16 = 6;

/// Time in which the fleet must be ready.
const READY: Duration = Duration::from_secs(20);

/// The customers; the first two are large.
pub const CUSTOMERS: [CustomerSpec; 5] = [
    CustomerSpec {
        name: "estimates",
        rate: 60_000.0,
        burst: 200_000.0,
        weight: 4.0,
    },
    CustomerSpec {
        name: "members",
        rate: 60_000.0,
        burst: 200_000.0,
        weight: 4.0,
    },
    CustomerSpec {
        name: "dispatch",
        rate: 20_000.0,
        burst: 80_000.0,
        weight: 1.0,
    },
    CustomerSpec {
        name: "residents",
        rate: 20_000.0,
        burst: 80_000.0,
        weight: 1.0,
    },
    CustomerSpec {
        name: "archive",
        rate: 20_000.0,
        burst: 80_000.0,
        weight: 1.0,
    },
];

/// A second key of a customer, which is withdrawn while it is in use.
pub const WITHDRAWN_KEY: &str = "key-that-is-withdrawn-0123456789";

/// Customer of that key.
pub const WITHDRAWN_CUSTOMER: &str = "residents";

/// Customer whose limit is edited under load.
pub const LIMITED_CUSTOMER: &str = "archive";

/// Starts the fleet, declares everything and waits until it is in force.
///
/// # Errors
/// Says what did not start.
pub fn start() -> Result<(Fleet, u64), Box<dyn std::error::Error>> {
    let fleet = Fleet::spawn(FleetSpec::new(INSTANCES, 4, 8))?;
    let numbers: Vec<u16> = (0..INSTANCES).collect();
    fleet.wait_ready(&numbers, 0, READY)?;
    let mut changes = declarations(&CUSTOMERS);
    let hash = jacinthlever_types::KeyHash::of(WITHDRAWN_KEY).to_hex();
    changes.push(json!({"row": format!("key/{hash}"), "value": {"customer": WITHDRAWN_CUSTOMER}}));
    let revision = fleet.edit(0, "demo-declarations", &changes)?;
    fleet.wait_ready(&numbers, revision, READY)?;
    Ok((fleet, revision))
}
