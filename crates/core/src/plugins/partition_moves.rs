//! Moves partitions between instances: acquisitions, takeovers and releases.

use std::time::Duration;

use jacinthlever_types::{
    Condition, Conflict, InstanceId, PeerMsg, TableRow, Transaction, TransactionReply, Write,
};
use smol_str::SmolStr;

use crate::lease;
use crate::partitions::{PartitionId, PartitionMap, PartitionRecord};
use crate::periodic_tasks::Acquisition;
use crate::plugins::{configuration, limit_owner};
use crate::{Core, LogEvent, PlatformReply, Plugin, Unsettled, rendezvous};

inventory::submit! {
    Plugin { tick: Some(tick), peer: Some(peer), ..Plugin::named("slot-moves") }
}

/// Interval between scans for partitions to move.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which an instance must have been active before partitions move to it.
const MIN_ACTIVE_TIME: Duration = Duration::from_secs(2);

/// Maximum number of partitions that one transaction acquires; a takeover acquires all partitions
/// of the instance whose lease expired.
const MAX_ACQUIRE_BATCH: usize = 128;

/// Maximum number of partitions that one transaction releases; they cannot be charged until it is
/// settled.
const MAX_RELEASE_BATCH: usize = 32;

fn tick(core: &mut Core) {
    update_active_since(core);
    let now = core.now;
    if now < core.tasks.next_partition_move
        || core.tasks.partition_move_in_progress
        || !core.tasks.fleet_known
    {
        return;
    }
    core.tasks.next_partition_move = now + SCAN_INTERVAL;
    if let Some(release) = core.tasks.releasing.clone() {
        return send_release(core, release);
    }
    if !core.lease.is_valid(now) || core.stopped || !has_successors(core) {
        return;
    }
    if !core.draining && (reacquire(core) || take_over(core) || acquire_free(core)) {
        return;
    }
    release(core);
}

/// Whether another instance could take over the partitions of this one, or there is no other
/// instance.
fn has_successors(core: &Core) -> bool {
    !core.lease.successors().is_empty() || core.members.active().len() <= 1
}

fn update_active_since(core: &mut Core) {
    let now = core.now;
    let active = core.members.active();
    core.tasks.active_since.retain(|id, _| active.contains(id));
    for id in active {
        core.tasks.active_since.entry(id.clone()).or_insert(now);
    }
}

/// Returns the instance that should own a partition.
fn preferred_owner(core: &Core, partition: PartitionId) -> Option<&InstanceId> {
    let active = core.members.active();
    let ids: Vec<&str> = active.iter().map(InstanceId::as_str).collect();
    let picked = rendezvous::pick(&partition.hash_key(), &ids)?;
    active.iter().find(|id| id.as_str() == *picked)
}

/// Reacquires the partitions that this instance owned before it was restarted.
///
/// Needs no wait: the old process has ended, as its address could be bound again.
fn reacquire(core: &mut Core) -> bool {
    let own = core.settings.instance.clone();
    let incarnation = core.lease.incarnation();
    let mut partitions = core.partitions.owned_by(&own);
    partitions.retain(|partition| core.partitions.record(*partition).incarnation != incarnation);
    partitions.truncate(MAX_ACQUIRE_BATCH);
    let condition = core.lease.condition();
    !partitions.is_empty() && acquire(core, partitions, true, own.0, Some((condition, None)))
}

/// Takes over the partitions of an instance whose lease has certainly expired.
fn take_over(core: &mut Core) -> bool {
    let Some(expired) = core.peer_leases.expired(core.now).into_iter().next() else {
        return false;
    };
    let partitions = core.partitions.owned_by(&expired);
    let Some(condition) = core.peer_leases.start_takeover(&expired) else {
        return false;
    };
    // The deleted row shows the old owner that it was deposed.
    let delete = Write {
        key: lease::row_key(&expired),
        value: None,
    };
    acquire(
        core,
        partitions,
        true,
        expired.0,
        Some((condition, Some(delete))),
    )
}

/// Acquires the partitions without an owner that this instance should own.
fn acquire_free(core: &mut Core) -> bool {
    let own = core.settings.instance.clone();
    let free = core
        .partitions
        .iter()
        .filter(|(_, record)| record.owner.is_none());
    let free: Vec<PartitionId> = free.map(|(partition, _)| partition).collect();
    let mut partitions: Vec<PartitionId> = free
        .into_iter()
        .filter(|partition| preferred_owner(core, *partition) == Some(&own))
        .collect();
    partitions.truncate(MAX_ACQUIRE_BATCH);
    !partitions.is_empty() && acquire(core, partitions, false, SmolStr::new_static("nobody"), None)
}

/// Condition and write on a lease row that are part of an acquisition.
type LeaseGuard = (Condition, Option<Write>);

fn acquire(
    core: &mut Core,
    partitions: Vec<PartitionId>,
    unclean: bool,
    from: SmolStr,
    guard: Option<LeaseGuard>,
) -> bool {
    let mut transaction = Transaction::default();
    if let Some((condition, write)) = guard {
        transaction.conditions.push(condition);
        transaction.writes.extend(write);
    }
    for partition in &partitions {
        let before = core.partitions.record(*partition).clone();
        let record = PartitionRecord {
            owner: Some(core.settings.instance.clone()),
            incarnation: core.lease.incarnation(),
            epoch: before.epoch + 1,
            unclean_through: if unclean {
                before.epoch
            } else {
                before.unclean_through
            },
            buckets: Default::default(),
        };
        transaction
            .conditions
            .push(core.partitions.condition(*partition));
        transaction
            .writes
            .push(PartitionMap::write(*partition, &record));
        core.tasks
            .acquiring
            .insert(*partition, Acquisition { before, unclean });
    }
    send_acquisition(core, transaction, from);
    true
}

/// Sends an acquisition until the table settles it, as a write whose reply was lost may still take
/// effect.
fn send_acquisition(core: &mut Core, transaction: Transaction, from: SmolStr) {
    core.tasks.partition_move_in_progress = true;
    let sent = transaction.clone();
    core.transact(
        transaction,
        Box::new(move |core, result| match result {
            Ok(PlatformReply::Transaction(reply)) => {
                core.tasks.partition_move_in_progress = false;
                configuration::table_answered(core);
                let count = core.tasks.acquiring.len();
                settle_acquisition(core, &sent, reply, &from);
                if count > 0 && core.tasks.acquiring.is_empty() {
                    limit_owner::load_crash_counts(core);
                }
            }
            _ => {
                let at = core.now + SCAN_INTERVAL;
                core.schedule_at(at, Box::new(move |core| send_acquisition(core, sent, from)));
            }
        }),
    );
}

fn settle_acquisition(
    core: &mut Core,
    sent: &Transaction,
    reply: TransactionReply,
    from: &SmolStr,
) {
    match reply {
        TransactionReply::Committed(version) => {
            let rows = partition_rows(sent, version);
            let count = core.tasks.acquiring.len();
            rows.iter().for_each(|row| apply_row(core, row));
            if count > 0 {
                core.log(LogEvent::SlotsTaken {
                    count,
                    from: from.clone(),
                });
            }
            notify_neighbours(core, rows);
        }
        TransactionReply::Conflicts(conflicts) => {
            // The conflict may stem from an own write whose reply was lost, so the rows decide.
            apply_conflicts(core, conflicts);
            let partitions: Vec<PartitionId> = core.tasks.acquiring.keys().copied().collect();
            for partition in partitions {
                if !is_own(core, partition) {
                    core.tasks.acquiring.remove(&partition);
                }
            }
        }
    }
    core.peer_leases.end_takeover(&InstanceId(from.clone()));
}

fn is_own(core: &Core, partition: PartitionId) -> bool {
    let record = core.partitions.record(partition);
    record.owner.as_ref() == Some(&core.settings.instance)
        && record.incarnation == core.lease.incarnation()
}

/// Applies a partition row, and acquires or drops the partition according to its owner.
pub(crate) fn apply_row(core: &mut Core, row: &TableRow) {
    let Some(partition) = core.partitions.observe(row) else {
        return;
    };
    if !is_own(core, partition) {
        core.limiter.drop_partition(partition);
        core.idempotency_ledger.drop_partition(partition);
        return;
    }
    let acquisition = core.tasks.acquiring.remove(&partition);
    if core.limiter.partitions().any(|owned| owned == partition) {
        return;
    }
    let acquisition = acquisition.unwrap_or_else(|| Acquisition {
        before: PartitionRecord::default(),
        unclean: true,
    });
    core.limiter
        .acquire(partition, acquisition.before, acquisition.unclean, core.now);
}

/// Applies the rows that a transaction conflicted with.
fn apply_conflicts(core: &mut Core, conflicts: Vec<Conflict>) {
    for conflict in conflicts {
        let (key, version, value) = (conflict.key, conflict.version, conflict.value);
        apply_row(
            core,
            &TableRow {
                key,
                version,
                value,
            },
        );
    }
    core.tasks.next_fleet_read = core.now;
}

/// Releases the partitions that another instance should own.
fn release(core: &mut Core) {
    let now = core.now;
    let is_settled = |id: &InstanceId| {
        let since = core.tasks.active_since.get(id);
        since.is_some_and(|since| now >= *since + MIN_ACTIVE_TIME)
    };
    let owned: Vec<PartitionId> = core.limiter.partitions().collect();
    let to_release = owned.into_iter().filter(|partition| {
        let to = preferred_owner(core, *partition);
        let must_move = to.is_some_and(|to| *to != core.settings.instance && is_settled(to));
        must_move && core.idempotency_ledger.is_stored(*partition)
    });
    let partitions: Vec<PartitionId> = to_release.take(MAX_RELEASE_BATCH).collect();
    if partitions.is_empty() {
        return;
    }
    let mut transaction = Transaction::default();
    for partition in &partitions {
        let customers = core.config.customers().iter();
        let buckets = core.limiter.start_release(*partition, customers, now);
        let before = core.partitions.record(*partition).clone();
        let record = PartitionRecord {
            owner: None,
            buckets,
            ..before
        };
        transaction
            .conditions
            .push(core.partitions.condition(*partition));
        transaction
            .writes
            .push(PartitionMap::write(*partition, &record));
    }
    send_release(core, transaction);
}

fn send_release(core: &mut Core, transaction: Transaction) {
    core.tasks.partition_move_in_progress = true;
    core.tasks.releasing = Some(transaction.clone());
    core.transact(transaction, Box::new(handle_release));
}

fn handle_release(core: &mut Core, result: Result<PlatformReply, Unsettled>) {
    core.tasks.partition_move_in_progress = false;
    let Ok(PlatformReply::Transaction(reply)) = result else {
        return;
    };
    configuration::table_answered(core);
    let Some(sent) = core.tasks.releasing.take() else {
        return;
    };
    match reply {
        TransactionReply::Committed(version) => {
            let rows = partition_rows(&sent, version);
            rows.iter().for_each(|row| apply_row(core, row));
            core.log(LogEvent::SlotsReleased { count: rows.len() });
            notify_neighbours(core, rows);
        }
        TransactionReply::Conflicts(conflicts) => {
            apply_conflicts(core, conflicts);
            // No copy of the release can take effect now, so this instance keeps the partitions
            // that it still owns.
            let owned: Vec<PartitionId> = core.limiter.partitions().collect();
            owned
                .into_iter()
                .for_each(|partition| core.limiter.cancel_release(partition));
            core.tasks.next_fleet_read = core.now;
        }
    }
}

fn partition_rows(transaction: &Transaction, version: u64) -> Vec<TableRow> {
    let rows = transaction.writes.iter();
    rows.map(|write| TableRow {
        key: write.key.clone(),
        version,
        value: write.value.clone(),
    })
    .filter(|row| !row.key.starts_with(lease::LEASE_PREFIX))
    .collect()
}

/// Sends partition rows to the neighbours; other instances read them from the table.
fn notify_neighbours(core: &mut Core, rows: Vec<TableRow>) {
    if rows.is_empty() {
        return;
    }
    for peer in core.members.neighbours(&core.settings.instance) {
        core.send(&peer, PeerMsg::PartitionRows { rows: rows.clone() });
    }
}

fn peer(core: &mut Core, _from: &InstanceId, msg: PeerMsg) -> Option<PeerMsg> {
    match msg {
        PeerMsg::PartitionRows { rows } => {
            rows.iter().for_each(|row| apply_row(core, row));
            core.tasks.next_partition_move = core.now;
            None
        }
        other => Some(other),
    }
}
