//! Keeps the instance's lease, and promises other instances not to take theirs.

use std::time::Duration;

use jacinthlever_types::{InstanceId, PeerMsg, RowsReply, TransactionReply};
use smol_str::SmolStr;

use crate::lease::{LEASE_PREFIX, Renewed, parse_row};
use crate::plugins::{configuration, slot_moves};
use crate::{Core, LogEvent, PlatformOp, PlatformReply, Plugin, rendezvous};

inventory::submit! {
    Plugin { tick: Some(tick), peer: Some(peer), ..Plugin::named("lease") }
}

/// Prefix of lease and slot rows.
const FLEET_PREFIX: &str = "fleet/";

/// Heirs that a lease names, in other availability zones where there are some.
const HEIRS: usize = 2;

/// Pause between two looks whether other heirs should be named.
const CHECK_HEIRS_EVERY: Duration = Duration::from_millis(200);

/// Longest term that a heir promises for, in milliseconds.
const LONGEST_TERM_MS: u64 = 120_000;

/// Pause before a renewal whose reply was lost is sent again.
const RENEW_AGAIN: Duration = Duration::from_millis(100);

fn tick(core: &mut Core) {
    note_lapse(core);
    let now = core.now;
    if now >= core.schedule.read_fleet && !core.schedule.reading_fleet {
        read_fleet(core);
    }
    if core.stopped || !core.schedule.fleet_known {
        return;
    }
    if now >= core.schedule.renew && !core.schedule.renewing {
        renew(core);
    } else if now >= core.schedule.check_heirs && choose_heirs(core) != core.lease.heirs() {
        // Without living heirs nobody could take over, or promise not to.
        core.schedule.renew = core.schedule.renew.min(now + RENEW_AGAIN);
    }
    if now >= core.schedule.check_heirs {
        core.schedule.check_heirs = now + CHECK_HEIRS_EVERY;
    }
    // Promises are only needed when a renewal is late.
    let renew_every = current_term(core) / 3;
    let late = renew_every + renew_every / 3;
    if now >= core.schedule.ask_heirs && core.lease.unconfirmed_for(now) > late {
        core.schedule.ask_heirs = now + renew_every / 2;
        ask_heirs(core);
    }
}

fn current_term(core: &Core) -> Duration {
    let listed = core.directory.instances().count();
    core.settings.lease_term(listed)
}

fn note_lapse(core: &mut Core) {
    let valid = core.lease.is_valid(core.now);
    if core.schedule.was_valid && !valid {
        let instance = core.settings.instance.clone();
        core.log(LogEvent::LeaseLapsed { instance });
    }
    core.schedule.was_valid = valid;
}

fn renew(core: &mut Core) {
    let heirs = choose_heirs(core);
    let term = current_term(core);
    let transaction = core.lease.renewal(heirs, term, core.now);
    core.schedule.renewing = true;
    core.schedule.renew = core.now + term / 3;
    core.transact(transaction, Box::new(renewed));
}

fn renewed(core: &mut Core, result: Result<PlatformReply, crate::Unsettled>) {
    core.schedule.renewing = false;
    let outcome = match result {
        Ok(PlatformReply::Transaction(TransactionReply::Committed(version))) => {
            configuration::table_answered(core);
            core.lease.committed(version)
        }
        Ok(PlatformReply::Transaction(TransactionReply::Conflicts(conflicts))) => {
            configuration::table_answered(core);
            let found = conflicts.into_iter().next();
            let version = found.as_ref().map_or(0, |found| found.version);
            let value = found.and_then(|found| found.value);
            core.lease.conflicted(version, value.as_ref())
        }
        _ => Renewed::Unknown,
    };
    match outcome {
        Renewed::Confirmed => {}
        Renewed::Unknown => core.schedule.renew = core.now + RENEW_AGAIN,
        Renewed::Deposed => {
            core.schedule.renew = core.now;
            core.limiter.clear();
            let instance = core.settings.instance.clone();
            core.log(LogEvent::LeaseDeposed { instance });
        }
    }
}

fn choose_heirs(core: &Core) -> Vec<InstanceId> {
    let own = &core.settings.instance;
    let others = core.members.active().iter().filter(|id| *id != own);
    let others: Vec<SmolStr> = others.map(|id| id.0.clone()).collect();
    let mut heirs: Vec<InstanceId> = rendezvous::order(own.as_str(), &others)
        .into_iter()
        .cloned()
        .map(InstanceId)
        .collect();
    let zone = |id: &InstanceId| {
        core.directory
            .get(id.as_str())
            .map(|entry| entry.zone.clone())
    };
    heirs.sort_by_key(|id| zone(id).as_ref() == Some(&core.settings.zone));
    heirs.truncate(HEIRS);
    heirs
}

fn ask_heirs(core: &mut Core) {
    let (number, heirs) = core.lease.ask(core.now);
    let term_ms = core.lease.term().as_millis() as u64;
    for heir in heirs {
        core.send(&heir, PeerMsg::PromiseRequest { number, term_ms });
    }
}

fn peer(core: &mut Core, from: &InstanceId, msg: PeerMsg) -> Option<PeerMsg> {
    match msg {
        PeerMsg::PromiseRequest { number, term_ms } => {
            let term = Duration::from_millis(term_ms.min(LONGEST_TERM_MS));
            if core.wards.promise(from, term, core.now) {
                core.send(from, PeerMsg::Promised { number });
            }
        }
        PeerMsg::Promised { number } => core.lease.promised(from, number),
        other => return Some(other),
    }
    None
}

fn read_fleet(core: &mut Core) {
    core.schedule.reading_fleet = true;
    let pause = (current_term(core) / 4).min(core.settings.poll_every);
    core.schedule.read_fleet = core.now + pause;
    let after = core.schedule.fleet_revision;
    let read = PlatformOp::Rows {
        prefix: SmolStr::new_static(FLEET_PREFIX),
        after,
    };
    core.platform(
        read,
        Box::new(|core, result| {
            core.schedule.reading_fleet = false;
            if let Ok(PlatformReply::Rows(reply)) = result {
                configuration::table_answered(core);
                fleet_read(core, reply);
            }
        }),
    );
}

fn fleet_read(core: &mut Core, reply: RowsReply) {
    let now = core.now;
    core.schedule.fleet_revision = core.schedule.fleet_revision.max(reply.revision);
    core.schedule.fleet_known = true;
    for row in reply.rows {
        if row.key.starts_with(LEASE_PREFIX) {
            if let Some((instance, record)) = parse_row(&row) {
                core.wards.see(&instance, row.version, record, now);
            }
        } else {
            slot_moves::see(core, &row);
        }
    }
}
