//! When periodic work is due next, and which of it is under way.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{InstanceId, Transaction};

use crate::slots::{SlotId, SlotRecord};

/// A slot that is being taken.
#[derive(Clone, Debug)]
pub struct Taking {
    /// Record before the take.
    pub before: SlotRecord,
    /// Whether the last holder went without handing over.
    pub unclean: bool,
}

/// Due times of periodic work.
#[derive(Debug, Default)]
pub struct Schedule {
    /// Next renewal of the lease.
    pub renew: Duration,
    /// Whether a renewal is under way.
    pub renewing: bool,
    /// Next question to the heirs.
    pub ask_heirs: Duration,
    /// Whether the lease was valid at the last tick.
    pub was_valid: bool,
    /// Next look at the heirs.
    pub check_heirs: Duration,
    /// Next look at which instances are active.
    pub refresh_members: Duration,
    /// Next read of lease and slot rows.
    pub read_fleet: Duration,
    /// Whether that read is under way.
    pub reading_fleet: bool,
    /// Table revision of the last such read.
    pub fleet_revision: u64,
    /// Whether lease and slot rows were read at least once.
    pub fleet_known: bool,
    /// Next read of the configuration.
    pub read_config: Duration,
    /// Whether that read is under way.
    pub reading_config: bool,
    /// Table revision of the last such read.
    pub config_revision: u64,
    /// Whether the snapshot was asked for.
    pub snapshot_read: bool,
    /// Next pull of configuration from a peer.
    pub pull_config: Duration,
    /// Next heartbeat.
    pub beat: Duration,
    /// Next probe of engines.
    pub probe: Duration,
    /// Next check of the holds of kept cells.
    pub check_holds: Duration,
    /// Next look at slots to move.
    pub move_slots: Duration,
    /// Whether a move of slots is under way.
    pub moving: bool,
    /// Slots being taken.
    pub taking: BTreeMap<SlotId, Taking>,
    /// The release that is under way, repeated until the table settles it.
    pub releasing: Option<Transaction>,
    /// When each active instance became active.
    pub active_since: BTreeMap<InstanceId, Duration>,
    /// When the drain began.
    pub drain_began: Option<Duration>,
}
