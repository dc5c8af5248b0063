//! Renews the instance's lease, and promises other instances not to take theirs over.

use std::time::Duration;

use jacinthlever_types::{InstanceId, PeerMsg, RowsReply, TransactionReply};
use smol_str::SmolStr;

use crate::lease::{LEASE_PREFIX, RenewalOutcome, parse_row};
use crate::plugins::{configuration, partition_moves};
use crate::{Core, LogEvent, PlatformOp, PlatformReply, Plugin, rendezvous};

inventory::submit! {
    Plugin { tick: Some(tick), peer: Some(peer), ..Plugin::named("lease") }
}

/// Prefix of lease and partition rows.
const FLEET_PREFIX: &str = "fleet/";

/// Maximum number of successors that a lease names, preferably in other availability zones.
const MAX_SUCCESSORS: usize = 2;

/// Interval between checks whether the lease should name other successors.
const SUCCESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum term that a successor promises for, in milliseconds.
const MAX_TERM_MS: u64 = 120_000;

/// Delay before a renewal whose reply was lost is sent again.
const RENEWAL_RETRY_INTERVAL: Duration = Duration::from_millis(100);

fn tick(core: &mut Core) {
    log_expiry(core);
    let now = core.now;
    if now >= core.tasks.next_fleet_read && !core.tasks.fleet_read_in_progress {
        read_fleet(core);
    }
    if core.stopped || !core.tasks.fleet_known {
        return;
    }
    if now >= core.tasks.next_renewal && !core.tasks.renewal_in_progress {
        renew(core);
    } else if now >= core.tasks.next_successor_check
        && choose_successors(core) != core.lease.successors()
    {
        // Without active successors no instance could take over or promise not to.
        core.tasks.next_renewal = core.tasks.next_renewal.min(now + RENEWAL_RETRY_INTERVAL);
    }
    if now >= core.tasks.next_successor_check {
        core.tasks.next_successor_check = now + SUCCESSOR_CHECK_INTERVAL;
    }
    // Promises are only needed when a renewal is late.
    let renewal_interval = current_term(core) / 3;
    let late_after = renewal_interval + renewal_interval / 3;
    if now >= core.tasks.next_promise_round && core.lease.unconfirmed_for(now) > late_after {
        core.tasks.next_promise_round = now + renewal_interval / 2;
        request_promises(core);
    }
}

fn current_term(core: &Core) -> Duration {
    let listed = core.directory.instances().count();
    core.settings.lease_term(listed)
}

fn log_expiry(core: &mut Core) {
    let valid = core.lease.is_valid(core.now);
    if core.tasks.lease_was_valid && !valid {
        let instance = core.settings.instance.clone();
        core.log(LogEvent::LeaseLapsed { instance });
    }
    core.tasks.lease_was_valid = valid;
}

fn renew(core: &mut Core) {
    let successors = choose_successors(core);
    let term = current_term(core);
    let transaction = core.lease.renewal(successors, term, core.now);
    core.tasks.renewal_in_progress = true;
    core.tasks.next_renewal = core.now + term / 3;
    core.transact(transaction, Box::new(handle_renewal));
}

fn handle_renewal(core: &mut Core, result: Result<PlatformReply, crate::Unsettled>) {
    core.tasks.renewal_in_progress = false;
    let outcome = match result {
        Ok(PlatformReply::Transaction(TransactionReply::Committed(version))) => {
            configuration::table_answered(core);
            core.lease.renewal_committed(version)
        }
        Ok(PlatformReply::Transaction(TransactionReply::Conflicts(conflicts))) => {
            configuration::table_answered(core);
            let found = conflicts.into_iter().next();
            let version = found.as_ref().map_or(0, |found| found.version);
            let value = found.and_then(|found| found.value);
            core.lease.renewal_conflicted(version, value.as_ref())
        }
        _ => RenewalOutcome::Unknown,
    };
    match outcome {
        RenewalOutcome::Confirmed => {}
        RenewalOutcome::Unknown => core.tasks.next_renewal = core.now + RENEWAL_RETRY_INTERVAL,
        RenewalOutcome::Deposed => {
            core.tasks.next_renewal = core.now;
            core.limiter.clear();
            let instance = core.settings.instance.clone();
            core.log(LogEvent::LeaseDeposed { instance });
        }
    }
}

fn choose_successors(core: &Core) -> Vec<InstanceId> {
    let own = &core.settings.instance;
    let others = core.members.active().iter().filter(|id| *id != own);
    let others: Vec<SmolStr> = others.map(|id| id.0.clone()).collect();
    let mut successors: Vec<InstanceId> = rendezvous::order(own.as_str(), &others)
        .into_iter()
        .cloned()
        .map(InstanceId)
        .collect();
    let zone = |id: &InstanceId| {
        core.directory
            .get(id.as_str())
            .map(|entry| entry.zone.clone())
    };
    successors.sort_by_key(|id| zone(id).as_ref() == Some(&core.settings.zone));
    successors.truncate(MAX_SUCCESSORS);
    successors
}

fn request_promises(core: &mut Core) {
    let (number, successors) = core.lease.start_promise_round(core.now);
    let term_ms = core.lease.term().as_millis() as u64;
    for successor in successors {
        core.send(&successor, PeerMsg::PromiseRequest { number, term_ms });
    }
}

fn peer(core: &mut Core, from: &InstanceId, msg: PeerMsg) -> Option<PeerMsg> {
    match msg {
        PeerMsg::PromiseRequest { number, term_ms } => {
            let term = Duration::from_millis(term_ms.min(MAX_TERM_MS));
            if core.peer_leases.promise(from, term, core.now) {
                core.send(from, PeerMsg::Promised { number });
            }
        }
        PeerMsg::Promised { number } => core.lease.record_promise(from, number),
        other => return Some(other),
    }
    None
}

fn read_fleet(core: &mut Core) {
    core.tasks.fleet_read_in_progress = true;
    let pause = (current_term(core) / 4).min(core.settings.poll_interval);
    core.tasks.next_fleet_read = core.now + pause;
    let after = core.tasks.fleet_revision;
    let read = PlatformOp::Rows {
        prefix: SmolStr::new_static(FLEET_PREFIX),
        after,
    };
    core.start_platform_op(
        read,
        Box::new(|core, result| {
            core.tasks.fleet_read_in_progress = false;
            if let Ok(PlatformReply::Rows(reply)) = result {
                configuration::table_answered(core);
                apply_fleet_rows(core, reply);
            }
        }),
    );
}

fn apply_fleet_rows(core: &mut Core, reply: RowsReply) {
    let now = core.now;
    core.tasks.fleet_revision = core.tasks.fleet_revision.max(reply.revision);
    core.tasks.fleet_known = true;
    for row in reply.rows {
        if row.key.starts_with(LEASE_PREFIX) {
            if let Some((instance, record)) = parse_row(&row) {
                core.peer_leases
                    .observe(&instance, row.version, record, now);
            }
        } else {
            partition_moves::apply_row(core, &row);
        }
    }
}
