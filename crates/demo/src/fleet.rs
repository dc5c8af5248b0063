//! The fleet of the demo, with customers and routes similar to those of the two organizations that
//! own the router.

use std::time::Duration;

use jacinthlever_local_fleet::{CustomerSpec, Fleet, FleetSpec, declarations};
use serde_json::json;

/// Number of instances of the fleet.
pub const INSTANCE_COUNT: u16 = 6;

/// Maximum time until the fleet is ready, and until the declarations are in force.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The customers. The first two have larger limits and weights.
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

/// A second key of a customer, which is revoked while it is in use.
pub const REVOKED_KEY: &str = "key-that-is-withdrawn-0123456789";

/// Customer of the key that is revoked.
pub const REVOKED_KEY_CUSTOMER: &str = "residents";

/// Customer whose limit is lowered under load.
pub const LIMITED_CUSTOMER: &str = "archive";

/// Starts the fleet, adds customers, keys and routes, and waits until they are in force.
///
/// Returns the fleet and the revision of its configuration.
///
/// # Errors
/// Fails if a component does not start, the edit is refused, or the fleet is not ready in time.
pub fn start() -> Result<(Fleet, u64), Box<dyn std::error::Error>> {
    let fleet = Fleet::spawn(FleetSpec::new(INSTANCE_COUNT, 4, 8))?;
    let numbers: Vec<u16> = (0..INSTANCE_COUNT).collect();
    fleet.wait_ready(&numbers, 0, READY_TIMEOUT)?;
    let mut changes = declarations(&CUSTOMERS);
    let hash = jacinthlever_types::KeyHash::of(REVOKED_KEY).to_hex();
    changes
        .push(json!({"row": format!("key/{hash}"), "value": {"customer": REVOKED_KEY_CUSTOMER}}));
    let revision = fleet.edit(0, "demo-declarations", &changes)?;
    fleet.wait_ready(&numbers, revision, READY_TIMEOUT)?;
    Ok((fleet, revision))
}
