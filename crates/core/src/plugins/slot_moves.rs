//! Moves slots between instances: takes, takeovers and releases.

use std::time::Duration;

use jacinthlever_types::{
    Condition, Conflict, InstanceId, PeerMsg, TableRow, Transaction, TransactionReply, Write,
};
use smol_str::SmolStr;

use crate::lease;
use crate::plugins::{configuration, limit_holder};
use crate::schedule::Taking;
use crate::slots::{SlotId, SlotMap, SlotRecord};
use crate::{Core, LogEvent, PlatformReply, Plugin, Unsettled, rendezvous};

inventory::submit! {
    Plugin { tick: Some(tick), peer: Some(peer), ..Plugin::named("slot-moves") }
}

/// Pause between two looks at what is to be moved.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Time for which an instance must be active before slots move to it.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// Slots that one transaction moves at most.
const BATCH: usize = 128;

/// Slots that one transaction releases at most; they cannot be charged until it is settled.
const RELEASE_BATCH: usize = 32;

fn tick(core: &mut Core) {
    note_active(core);
    let now = core.now;
    if now < core.schedule.move_slots || core.schedule.moving || !core.schedule.fleet_known {
        return;
    }
    core.schedule.move_slots = now + LOOK_EVERY;
    if let Some(release) = core.schedule.releasing.clone() {
        return send_release(core, release);
    }
    if !core.lease.is_valid(now) || core.stopped || !has_heirs(core) {
        return;
    }
    if !core.draining && (reclaim(core) || take_over(core) || take_free(core)) {
        return;
    }
    release(core);
}

/// Whether somebody could take over what this instance holds, if there is anybody else.
fn has_heirs(core: &Core) -> bool {
    !core.lease.heirs().is_empty() || core.members.active().len() <= 1
}

fn note_active(core: &mut Core) {
    let now = core.now;
    let active = core.members.active();
    core.schedule
        .active_since
        .retain(|id, _| active.contains(id));
    for id in active {
        core.schedule.active_since.entry(id.clone()).or_insert(now);
    }
}

/// Returns the instance that should hold a slot.
fn preferred(core: &Core, slot: SlotId) -> Option<&InstanceId> {
    let active = core.members.active();
    let ids: Vec<&str> = active.iter().map(InstanceId::as_str).collect();
    let picked = rendezvous::pick(&slot.hash_key(), &ids)?;
    active.iter().find(|id| id.as_str() == *picked)
}

/// Takes the slots that this instance held before it was started anew.
///
/// The old process is gone, as its address could be bound again, so there is nothing to wait for.
fn reclaim(core: &mut Core) -> bool {
    let own = core.settings.instance.clone();
    let incarnation = core.lease.incarnation();
    let mut slots = core.slots.held_by(&own);
    slots.retain(|slot| core.slots.record(*slot).incarnation != incarnation);
    slots.truncate(BATCH);
    let condition = core.lease.condition();
    !slots.is_empty() && take(core, slots, true, own.0, Some((condition, None)))
}

/// Takes the slots of an instance whose lease has lapsed for certain.
fn take_over(core: &mut Core) -> bool {
    let Some(ward) = core.wards.lapsed(core.now).into_iter().next() else {
        return false;
    };
    let slots = core.slots.held_by(&ward);
    let Some(condition) = core.wards.start_take(&ward) else {
        return false;
    };
    // Deleting the row tells the old holder that it was deposed.
    let delete = Write {
        key: lease::row_key(&ward),
        value: None,
    };
    take(core, slots, true, ward.0, Some((condition, Some(delete))))
}

/// Takes released and never held slots that this instance should hold.
fn take_free(core: &mut Core) -> bool {
    let own = core.settings.instance.clone();
    let free = core
        .slots
        .iter()
        .filter(|(_, record)| record.holder.is_none());
    let free: Vec<SlotId> = free.map(|(slot, _)| slot).collect();
    let mut slots: Vec<SlotId> = free
        .into_iter()
        .filter(|slot| preferred(core, *slot) == Some(&own))
        .collect();
    slots.truncate(BATCH);
    !slots.is_empty() && take(core, slots, false, SmolStr::new_static("nobody"), None)
}

/// Condition and write on a lease row that go with a take.
type LeaseGuard = (Condition, Option<Write>);

fn take(
    core: &mut Core,
    slots: Vec<SlotId>,
    unclean: bool,
    from: SmolStr,
    guard: Option<LeaseGuard>,
) -> bool {
    let mut transaction = Transaction::default();
    if let Some((condition, write)) = guard {
        transaction.conditions.push(condition);
        transaction.writes.extend(write);
    }
    for slot in &slots {
        let before = core.slots.record(*slot).clone();
        let record = SlotRecord {
            holder: Some(core.settings.instance.clone()),
            incarnation: core.lease.incarnation(),
            epoch: before.epoch + 1,
            unclean_through: if unclean {
                before.epoch
            } else {
                before.unclean_through
            },
            buckets: Default::default(),
        };
        transaction.conditions.push(core.slots.condition(*slot));
        transaction.writes.push(SlotMap::write(*slot, &record));
        core.schedule
            .taking
            .insert(*slot, Taking { before, unclean });
    }
    send_take(core, transaction, from);
    true
}

/// Sends a take, again and again until the table settles it: a lost write may still take effect.
fn send_take(core: &mut Core, transaction: Transaction, from: SmolStr) {
    core.schedule.moving = true;
    let sent = transaction.clone();
    core.transact(
        transaction,
        Box::new(move |core, result| match result {
            Ok(PlatformReply::Transaction(reply)) => {
                core.schedule.moving = false;
                configuration::table_answered(core);
                let count = core.schedule.taking.len();
                settle_take(core, &sent, reply, &from);
                if count > 0 && core.schedule.taking.is_empty() {
                    limit_holder::load_suspects(core);
                }
            }
            _ => {
                let at = core.now + LOOK_EVERY;
                core.later(at, Box::new(move |core| send_take(core, sent, from)));
            }
        }),
    );
}

fn settle_take(core: &mut Core, sent: &Transaction, reply: TransactionReply, from: &SmolStr) {
    match reply {
        TransactionReply::Committed(version) => {
            let rows = rows_of(sent, version);
            let count = core.schedule.taking.len();
            rows.iter().for_each(|row| see(core, row));
            if count > 0 {
                core.log(LogEvent::SlotsTaken {
                    count,
                    from: from.clone(),
                });
            }
            tell_peers(core, rows);
        }
        TransactionReply::Conflicts(conflicts) => {
            // The conflict may be the own write whose reply was lost, so the rows decide.
            see_conflicts(core, conflicts);
            let slots: Vec<SlotId> = core.schedule.taking.keys().copied().collect();
            for slot in slots {
                if !is_own(core, slot) {
                    core.schedule.taking.remove(&slot);
                }
            }
        }
    }
    core.wards.end_take(&InstanceId(from.clone()));
}

fn is_own(core: &Core, slot: SlotId) -> bool {
    let record = core.slots.record(slot);
    record.holder.as_ref() == Some(&core.settings.instance)
        && record.incarnation == core.lease.incarnation()
}

/// Takes in a slot row, and starts or stops holding the slot as the row says.
pub(crate) fn see(core: &mut Core, row: &TableRow) {
    let Some(slot) = core.slots.see(row) else {
        return;
    };
    if !is_own(core, slot) {
        core.limiter.drop_slot(slot);
        core.claims.drop_slot(slot);
        return;
    }
    let taking = core.schedule.taking.remove(&slot);
    if core.limiter.slots().any(|held| held == slot) {
        return;
    }
    let taking = taking.unwrap_or_else(|| Taking {
        before: SlotRecord::default(),
        unclean: true,
    });
    core.limiter
        .take(slot, taking.before, taking.unclean, core.now);
}

/// Takes in the rows that made a transaction conflict.
fn see_conflicts(core: &mut Core, conflicts: Vec<Conflict>) {
    for conflict in conflicts {
        let (key, version, value) = (conflict.key, conflict.version, conflict.value);
        see(
            core,
            &TableRow {
                key,
                version,
                value,
            },
        );
    }
    core.schedule.read_fleet = core.now;
}

/// Releases slots that another instance should hold.
fn release(core: &mut Core) {
    let now = core.now;
    let is_settled = |id: &InstanceId| {
        let since = core.schedule.active_since.get(id);
        since.is_some_and(|since| now >= *since + SETTLED_AFTER)
    };
    let held: Vec<SlotId> = core.limiter.slots().collect();
    let moving = held.into_iter().filter(|slot| {
        let to = preferred(core, *slot);
        let leaves = to.is_some_and(|to| *to != core.settings.instance && is_settled(to));
        leaves && core.claims.is_recorded(*slot)
    });
    let slots: Vec<SlotId> = moving.take(RELEASE_BATCH).collect();
    if slots.is_empty() {
        return;
    }
    let mut transaction = Transaction::default();
    for slot in &slots {
        let customers = core.config.customers().iter();
        let buckets = core.limiter.start_release(*slot, customers, now);
        let before = core.slots.record(*slot).clone();
        let record = SlotRecord {
            holder: None,
            buckets,
            ..before
        };
        transaction.conditions.push(core.slots.condition(*slot));
        transaction.writes.push(SlotMap::write(*slot, &record));
    }
    send_release(core, transaction);
}

fn send_release(core: &mut Core, transaction: Transaction) {
    core.schedule.moving = true;
    core.schedule.releasing = Some(transaction.clone());
    core.transact(transaction, Box::new(released));
}

fn released(core: &mut Core, result: Result<PlatformReply, Unsettled>) {
    core.schedule.moving = false;
    let Ok(PlatformReply::Transaction(reply)) = result else {
        return;
    };
    configuration::table_answered(core);
    let Some(sent) = core.schedule.releasing.take() else {
        return;
    };
    match reply {
        TransactionReply::Committed(version) => {
            let rows = rows_of(&sent, version);
            rows.iter().for_each(|row| see(core, row));
            core.log(LogEvent::SlotsReleased { count: rows.len() });
            tell_peers(core, rows);
        }
        TransactionReply::Conflicts(conflicts) => {
            see_conflicts(core, conflicts);
            // No copy of the release can take effect any more; what is still held is held on.
            let still: Vec<SlotId> = core.limiter.slots().collect();
            still
                .into_iter()
                .for_each(|slot| core.limiter.cancel_release(slot));
            core.schedule.read_fleet = core.now;
        }
    }
}

fn rows_of(transaction: &Transaction, version: u64) -> Vec<TableRow> {
    let rows = transaction.writes.iter();
    rows.map(|write| TableRow {
        key: write.key.clone(),
        version,
        value: write.value.clone(),
    })
    .filter(|row| !row.key.starts_with(lease::LEASE_PREFIX))
    .collect()
}

/// Tells the neighbours at once; the others read the rows from the table.
fn tell_peers(core: &mut Core, rows: Vec<TableRow>) {
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
            rows.iter().for_each(|row| see(core, row));
            core.schedule.move_slots = core.now;
            None
        }
        other => Some(other),
    }
}
