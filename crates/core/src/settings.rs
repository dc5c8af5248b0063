//! What a core must know of its own instance.

use std::time::Duration;

use jacinthlever_types::{InstanceId, ZoneId};
use smol_str::SmolStr;

/// Lease term for each instance of a large fleet.
const TERM_PER_INSTANCE: Duration = Duration::from_millis(36);

/// Identity of an instance and the periods of its protocols.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// Name of the instance, unique over the fleet.
    pub instance: InstanceId,
    /// Number that grows with each start of the instance.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller_address: SmolStr,
    /// Seed of all random choices.
    pub seed: u64,
    /// Least term of the instance's lease; a crash is taken over after it.
    pub lease_term: Duration,
    /// Longest time on promises of heirs alone, while the table is away.
    pub max_promise_time: Duration,
    /// Longest pause between two reads of the table.
    pub poll_interval: Duration,
    /// Pause between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Most requests that the instance holds at once.
    pub max_requests: usize,
}

impl CoreSettings {
    /// Makes settings with the default periods.
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

    /// Returns the term of the lease in a fleet of a size.
    ///
    /// The term grows with the fleet, so that all renewals together stay within what the table
    /// service takes; see docs/CAPACITY.md.
    pub fn lease_term(&self, instances: usize) -> Duration {
        self.lease_term.max(TERM_PER_INSTANCE * instances as u32)
    }
}
