//! When periodic work is due next, and which of it is under way.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{InstanceId, Transaction};

use crate::partitions::{PartitionId, PartitionRecord};

/// A slot that is being taken.
#[derive(Clone, Debug)]
pub struct Acquisition {
    /// Record before the take.
    pub before: PartitionRecord,
    /// Whether the last holder went without handing over.
    pub unclean: bool,
}

/// Due times of periodic work.
#[derive(Debug, Default)]
pub struct PeriodicTasks {
    /// Next renewal of the lease.
    pub next_renewal: Duration,
    /// Whether a renewal is under way.
    pub renewal_in_progress: bool,
    /// Next question to the heirs.
    pub next_promise_round: Duration,
    /// Whether the lease was valid at the last tick.
    pub lease_was_valid: bool,
    /// Next look at the heirs.
    pub next_successor_check: Duration,
    /// Next look at which instances are active.
    pub next_members_refresh: Duration,
    /// Next read of lease and slot rows.
    pub next_fleet_read: Duration,
    /// Whether that read is under way.
    pub fleet_read_in_progress: bool,
    /// Table revision of the last such read.
    pub fleet_revision: u64,
    /// Whether lease and slot rows were read at least once.
    pub fleet_known: bool,
    /// Next read of the configuration.
    pub next_config_read: Duration,
    /// Whether that read is under way.
    pub config_read_in_progress: bool,
    /// Table revision of the last such read.
    pub config_revision: u64,
    /// Whether the snapshot was asked for.
    pub snapshot_requested: bool,
    /// Next pull of configuration from a peer.
    pub next_config_pull: Duration,
    /// Next heartbeat.
    pub next_heartbeat: Duration,
    /// Next probe of engines.
    pub next_probe: Duration,
    /// Next check of the holds of kept cells.
    pub next_reservation_check: Duration,
    /// Next look at slots to move.
    pub next_partition_move: Duration,
    /// Whether a move of slots is under way.
    pub partition_move_in_progress: bool,
    /// Slots being taken.
    pub acquiring: BTreeMap<PartitionId, Acquisition>,
    /// The release that is under way, repeated until the table settles it.
    pub releasing: Option<Transaction>,
    /// When each active instance became active.
    pub active_since: BTreeMap<InstanceId, Duration>,
    /// When the drain began.
    pub drain_started: Option<Duration>,
}
