//! Runs the engine shards that this instance schedules: probes, reservations and notices.

use std::time::Duration;

use jacinthlever_types::{
    EngineId, EngineLoad, InstanceId, PeerMsg, RequestId, ReservationOutcome, ShardId,
};

use crate::kernel::CallOwner;
use crate::plugins::queue;
use crate::{Call, Core, EngineShard, Plugin};

inventory::submit! {
    Plugin { peer: Some(peer), tick: Some(tick), ..Plugin::named("scheduling") }
}

/// Interval between checks of the reservations.
const RESERVATION_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between probes of an engine.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Updates the engine shards from the directory and the active instances.
///
/// Returns whether this instance started or stopped scheduling a shard.
pub(crate) fn update_shards(core: &mut Core) -> bool {
    let own = core.settings.instance.clone();
    let log = core
        .scheduler
        .refresh(&own, core.members.active(), &core.directory);
    let changed = !log.is_empty();
    log.into_iter().for_each(|event| core.log(event));
    queue::follow_scheduler_changes(core);
    changed
}

fn tick(core: &mut Core) {
    let changed = update_shards(core);
    if changed || core.now >= core.tasks.next_probe {
        core.tasks.next_probe = core.now + PROBE_INTERVAL;
        probe(core);
        drop_lost_requests(core);
    }
    if core.now >= core.tasks.next_reservation_check {
        core.tasks.next_reservation_check = core.now + RESERVATION_CHECK_INTERVAL;
        check_reservations(core);
    }
    core.scheduler.process_queues(core.now);
    send_notices(core);
}

/// Asks every instance to check its reservations, as a release may have been lost.
fn check_reservations(core: &mut Core) {
    let shards = core.scheduler.shards.iter();
    let checks: Vec<(ShardId, InstanceId, Vec<RequestId>)> = shards
        .flat_map(|(id, shard)| {
            let by_instance = shard.reservations_by_instance().into_iter();
            by_instance.map(|(instance, requests)| (id.clone(), instance, requests))
        })
        .collect();
    for (shard, instance, requests) in checks {
        core.send(&instance, PeerMsg::ReservationCheck { shard, requests });
    }
}

fn probe(core: &mut Core) {
    for (shard, engine, address) in core.scheduler.probe_targets() {
        core.call(address, Call::Load, CallOwner::Probe(shard, engine));
    }
}

fn drop_lost_requests(core: &mut Core) {
    let is_lost = core.lost_instance_check();
    let now = core.now;
    core.scheduler
        .shards
        .values_mut()
        .for_each(|shard| shard.drop_lost(&is_lost, now));
}

/// Records the result of a probe; `None` if it failed.
pub(crate) fn record_probe(
    core: &mut Core,
    shard: &ShardId,
    engine: &EngineId,
    load: Option<EngineLoad>,
) {
    let now = core.now;
    if let Some(shard) = core.scheduler.shards.get_mut(shard) {
        shard.record_probe(engine, load, now);
    }
    send_notices(core);
}

fn peer(core: &mut Core, from: &InstanceId, msg: PeerMsg) -> Option<PeerMsg> {
    let now = core.now;
    match msg {
        PeerMsg::Reserve(request) => match core.scheduler.shards.get_mut(&request.shard) {
            Some(shard) => shard.submit(from.clone(), request, now),
            None => {
                let (id, attempt) = (request.id, request.attempt);
                let outcome = ReservationOutcome::NotScheduler;
                core.send(
                    from,
                    PeerMsg::ReservationReply {
                        id,
                        attempt,
                        outcome,
                        pressure: 0,
                    },
                );
            }
        },
        PeerMsg::TransferReservation(transfer) => {
            let shard = transfer.request.shard.clone();
            let from = from.clone();
            with_shard(core, &shard, |shard| shard.adopt(from, *transfer, now));
        }
        PeerMsg::Prefilled {
            id,
            shard,
            cached_tokens,
            took_ms,
        } => {
            let took = Duration::from_millis(u64::from(took_ms));
            with_shard(core, &shard, |shard| {
                shard.prefill_done(&id, cached_tokens, took, now)
            });
        }
        PeerMsg::Decoding { id, shard } => {
            with_shard(core, &shard, |shard| shard.decode_started(&id, now));
        }
        PeerMsg::TokenRate {
            id,
            shard,
            tokens,
            took_ms,
        } => {
            let took = Duration::from_millis(u64::from(took_ms));
            with_shard(core, &shard, |shard| {
                shard.record_token_rate(&id, u64::from(tokens), took)
            });
        }
        PeerMsg::Release {
            id,
            shard,
            end,
            unused_tokens,
        } => {
            with_shard(core, &shard, |shard| {
                shard.release(&id, end, unused_tokens, now)
            });
        }
        other => return Some(other),
    }
    send_notices(core);
    None
}

fn with_shard(core: &mut Core, id: &ShardId, change: impl FnOnce(&mut EngineShard)) {
    if let Some(shard) = core.scheduler.shards.get_mut(id) {
        change(shard);
    }
}

/// Sends the pending notices of the engine shards and writes their log events.
fn send_notices(core: &mut Core) {
    let now = core.now;
    let mut messages = Vec::new();
    let mut log = Vec::new();
    for shard in core.scheduler.shards.values_mut() {
        let pressure = shard.pressure(now);
        messages.extend(
            shard
                .take_notices()
                .into_iter()
                .map(|notice| (notice, pressure)),
        );
        log.extend(shard.take_log_events());
    }
    log.into_iter().for_each(|event| core.log(event));
    for (notice, pressure) in messages {
        let (id, attempt, outcome) = (notice.id, notice.attempt, notice.outcome);
        core.send(
            &notice.to,
            PeerMsg::ReservationReply {
                id,
                attempt,
                outcome,
                pressure,
            },
        );
    }
}
