//! What a core must know of its own instance.

use std::time::Duration;

use jacinthlever_types::{InstanceId, ZoneId};
use smol_str::SmolStr;

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
    /// Term of the instance's lease; a crash is taken over after it.
    pub lease_term: Duration,
    /// Longest time on promises of heirs alone, while the table is away.
    pub promise_cap: Duration,
    /// Pause between two reads of the table.
    pub poll_every: Duration,
    /// Pause between two heartbeats.
    pub beat_every: Duration,
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
            lease_term: Duration::from_secs(3),
            promise_cap: Duration::from_secs(12 * 60),
            poll_every: Duration::from_secs(1),
            beat_every: Duration::from_millis(500),
            max_requests: 512,
        }
    }

    /// Returns the pause between two renewals of the lease.
    pub fn renew_every(&self) -> Duration {
        self.lease_term / 3
    }

    /// Returns what a heir waits beyond a term, for the drift of clocks over it.
    pub fn lease_margin(&self) -> Duration {
        self.lease_term / 10
    }
}
