//! Due times of periodic tasks, and which of them are in progress.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{InstanceId, Transaction};

use crate::partitions::{PartitionId, PartitionRecord};

/// A partition whose acquisition is in progress.
#[derive(Clone, Debug)]
pub struct Acquisition {
    /// Record before the acquisition.
    pub before: PartitionRecord,
    /// Whether the previous owner did not hand over its state.
    pub unclean: bool,
}

/// Due times and state of the periodic tasks.
#[derive(Debug, Default)]
pub struct PeriodicTasks {
    /// Time of the next lease renewal.
    pub next_renewal: Duration,
    /// Whether a renewal is in progress.
    pub renewal_in_progress: bool,
    /// Time of the next promise request to the successors.
    pub next_promise_round: Duration,
    /// Whether the lease was valid at the last tick.
    pub lease_was_valid: bool,
    /// Time of the next check whether the successors should change.
    pub next_successor_check: Duration,
    /// Time of the next refresh of the active instances.
    pub next_members_refresh: Duration,
    /// Time of the next read of lease and partition rows.
    pub next_fleet_read: Duration,
    /// Whether a read of lease and partition rows is in progress.
    pub fleet_read_in_progress: bool,
    /// Table revision of the last read of lease and partition rows.
    pub fleet_revision: u64,
    /// Whether lease and partition rows were read at least once.
    pub fleet_known: bool,
    /// Time of the next read of the configuration.
    pub next_config_read: Duration,
    /// Whether a read of the configuration is in progress.
    pub config_read_in_progress: bool,
    /// Table revision of the last read of the configuration.
    pub config_revision: u64,
    /// Whether the configuration snapshot was requested.
    pub snapshot_requested: bool,
    /// Earliest time of the next configuration pull from a peer.
    pub next_config_pull: Duration,
    /// Time of the next heartbeat.
    pub next_heartbeat: Duration,
    /// Time of the next probe of the engines.
    pub next_probe: Duration,
    /// Time of the next check of the reservations in the local shards.
    pub next_reservation_check: Duration,
    /// Time of the next check for partitions to move.
    pub next_partition_move: Duration,
    /// Whether a move of partitions is in progress.
    pub partition_move_in_progress: bool,
    /// Partitions whose acquisition is in progress.
    pub acquiring: BTreeMap<PartitionId, Acquisition>,
    /// The release that is in progress; it is repeated until its outcome is known.
    pub releasing: Option<Transaction>,
    /// Time at which each active instance became active.
    pub active_since: BTreeMap<InstanceId, Duration>,
    /// Time at which the drain started.
    pub drain_started: Option<Duration>,
}
