//! Runs the cells that this instance keeps: probes, holds and what their instances are told.

use std::time::Duration;

use jacinthlever_types::{
    EngineId, EngineLoad, InstanceId, PeerMsg, RequestId, ReservationOutcome, ShardId,
};

use crate::kernel::CallOwner;
use crate::plugins::queue;
use crate::{Call, Cell, Core, Plugin};

inventory::submit! {
    Plugin { peer: Some(peer), tick: Some(tick), ..Plugin::named("scheduling") }
}

/// Pause between two checks of the holds.
const CHECK_HOLDS_EVERY: Duration = Duration::from_secs(5);

/// Pause between two probes of an engine.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Follows the list and the active instances; returns whether cells were kept or left.
pub(crate) fn follow_members(core: &mut Core) -> bool {
    let own = core.settings.instance.clone();
    let log = core
        .keeper
        .refresh(&own, core.members.active(), &core.directory);
    let has_new = !log.is_empty();
    log.into_iter().for_each(|event| core.log(event));
    queue::follow_keepers(core);
    has_new
}

fn tick(core: &mut Core) {
    let has_new = follow_members(core);
    if has_new || core.now >= core.schedule.probe {
        core.schedule.probe = core.now + PROBE_EVERY;
        probe(core);
        forget_lost(core);
    }
    if core.now >= core.schedule.check_holds {
        core.schedule.check_holds = core.now + CHECK_HOLDS_EVERY;
        check_holds(core);
    }
    core.keeper.pump(core.now);
    tell(core);
}

/// Asks every instance about its holds, as a release may have been lost.
fn check_holds(core: &mut Core) {
    let cells = core.keeper.cells.iter();
    let asked: Vec<(ShardId, InstanceId, Vec<RequestId>)> = cells
        .flat_map(|(id, cell)| {
            let holders = cell.holders().into_iter();
            holders.map(|(instance, requests)| (id.clone(), instance, requests))
        })
        .collect();
    for (cell, instance, requests) in asked {
        core.send(
            &instance,
            PeerMsg::ReservationCheck {
                shard: cell,
                requests,
            },
        );
    }
}

fn probe(core: &mut Core) {
    for (cell, engine, address) in core.keeper.probes() {
        core.call(address, Call::Load, CallOwner::Probe(cell, engine));
    }
}

fn forget_lost(core: &mut Core) {
    let is_lost = core.lost_check();
    let now = core.now;
    core.keeper
        .cells
        .values_mut()
        .for_each(|cell| cell.forget(&is_lost, now));
}

/// Takes in the answer to a probe.
pub(crate) fn probed(core: &mut Core, cell: &ShardId, engine: &EngineId, load: Option<EngineLoad>) {
    let now = core.now;
    if let Some(cell) = core.keeper.cells.get_mut(cell) {
        cell.probed(engine, load, now);
    }
    tell(core);
}

fn peer(core: &mut Core, from: &InstanceId, msg: PeerMsg) -> Option<PeerMsg> {
    let now = core.now;
    match msg {
        PeerMsg::Reserve(request) => match core.keeper.cells.get_mut(&request.shard) {
            Some(cell) => cell.ask(from.clone(), request, now),
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
        PeerMsg::TransferReservation(adoption) => {
            let cell = adoption.request.shard.clone();
            let from = from.clone();
            with_cell(core, &cell, |cell| cell.adopt(from, *adoption, now));
        }
        PeerMsg::Prefilled {
            id,
            shard: cell,
            cached_tokens,
            took_ms,
        } => {
            let took = Duration::from_millis(u64::from(took_ms));
            with_cell(core, &cell, |cell| {
                cell.prefilled(&id, cached_tokens, took, now)
            });
        }
        PeerMsg::Decoding { id, shard: cell } => {
            with_cell(core, &cell, |cell| cell.decoding(&id, now));
        }
        PeerMsg::TokenRate {
            id,
            shard: cell,
            tokens,
            took_ms,
        } => {
            let took = Duration::from_millis(u64::from(took_ms));
            with_cell(core, &cell, |cell| cell.paced(&id, u64::from(tokens), took));
        }
        PeerMsg::Release {
            id,
            shard: cell,
            end,
            unused_tokens,
        } => {
            with_cell(core, &cell, |cell| {
                cell.release(&id, end, unused_tokens, now)
            });
        }
        other => return Some(other),
    }
    tell(core);
    None
}

fn with_cell(core: &mut Core, id: &ShardId, change: impl FnOnce(&mut Cell)) {
    if let Some(cell) = core.keeper.cells.get_mut(id) {
        change(cell);
    }
}

/// Sends what the cells have decided.
fn tell(core: &mut Core) {
    let now = core.now;
    let mut messages = Vec::new();
    let mut log = Vec::new();
    for cell in core.keeper.cells.values_mut() {
        let pressure = cell.pressure(now);
        messages.extend(cell.take_told().into_iter().map(|told| (told, pressure)));
        log.extend(cell.take_logged());
    }
    log.into_iter().for_each(|event| core.log(event));
    for (told, pressure) in messages {
        let (id, attempt, outcome) = (told.id, told.attempt, told.outcome);
        core.send(
            &told.to,
            PeerMsg::ReservationReply {
                id,
                attempt,
                outcome,
                pressure,
            },
        );
    }
}
