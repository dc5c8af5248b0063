//! Settings of the decision core.

use std::time::Duration;

use jacinthlever_types::{InstanceId, ZoneId};
use smol_str::SmolStr;

/// Lease term per instance of a large fleet.
const TERM_PER_INSTANCE: Duration = Duration::from_millis(36);

/// Identity of an instance and the timing of its protocols.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// Name of the instance, unique within the fleet.
    pub instance: InstanceId,
    /// Number that increases with each start of the instance.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address at which the instance accepts callers.
    pub caller_address: SmolStr,
    /// Seed of all random decisions.
    pub seed: u64,
    /// Minimum term of the instance's lease; after it, other instances take over the partitions of
    /// an instance that crashed.
    pub lease_term: Duration,
    /// Maximum time for which promises of successors alone extend the lease during a table outage.
    pub max_promise_time: Duration,
    /// Maximum interval between reads of the table.
    pub poll_interval: Duration,
    /// Interval between heartbeats in a small fleet.
    pub heartbeat_interval: Duration,
    /// Maximum number of concurrent requests.
    pub max_requests: usize,
}

impl CoreSettings {
    /// Creates settings with the default timing.
    pub fn new(instance: InstanceId, zone: ZoneId, caller_address: SmolStr) -> Self {
        Self {
            instance,
            incarnation: 1,
            zone,
            caller_address,
            seed: 0,
            lease_term: Duration::from_millis(750),
            max_promise_time: Duration::from_secs(12 * 60),
            poll_interval: Duration::from_secs(1),
            heartbeat_interval: Duration::from_millis(250),
            max_requests: 512,
        }
    }

    /// Returns the term of the lease in a fleet of the given number of instances.
    ///
    /// The term grows with the fleet, so that the rate of all renewals together stays within the
    /// capacity of the table service; see docs/CAPACITY.md.
    pub fn lease_term(&self, instances: usize) -> Duration {
        self.lease_term.max(TERM_PER_INSTANCE * instances as u32)
    }
}
