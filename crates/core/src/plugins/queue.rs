//! Stage 4: reserves engines at the scheduler of an engine shard, decode before prefill.

use std::time::Duration;

use jacinthlever_types::{
    Code, EngineId, InstanceId, PeerMsg, RequestId, ReservationEnd, ReservationOutcome,
    ReservationRequest, ReservationTransfer, Run, ShardId, Verdict,
};

use crate::plugins::membership;
use crate::request::Reservation;
use crate::{Core, Flow, Plugin, ReqKey, Request, Sample, Stage, Target};

inventory::submit! {
    Plugin {
        stage: Some((Stage::Queue, run)),
        wait: Some(wait),
        peer: Some(peer),
        ..Plugin::named("queue")
    }
}

/// Interval between reservation requests to a scheduler, as any message may be lost.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Time after which a scheduler that has not answered a reservation request counts as lost.
const SCHEDULER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after the deadline for the scheduler's refusal to arrive.
const REPLY_GRACE: Duration = Duration::from_millis(250);

/// Minimum time that a request which may have run can wait for new engines.
const RESTART_WAIT: Duration = Duration::from_secs(5);

/// Retry delay sent to a caller when no engine is available.
const RETRY_AFTER: Duration = Duration::from_secs(1);

fn run(core: &mut Core, key: ReqKey) -> Flow {
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    if request
        .reservation
        .as_ref()
        .is_some_and(|reservation| reservation.allocation.is_some())
    {
        return Flow::Next;
    }
    let Target::Model { model, .. } = &request.inbound.target else {
        return Flow::Next;
    };
    let model = model.clone();
    let random = core.random();
    let Some(shard) = core.scheduler.choose_shard(&model, random) else {
        let message = format!("no engine serves model {model}");
        return Flow::Refuse(unavailable(core, key, &message));
    };
    let now = core.now;
    if let Some(request) = core.requests.get_mut(key) {
        request.attempt += 1;
        if request.run == Run::MayHaveRun {
            request.deadline = request.deadline.max(now + RESTART_WAIT);
        }
    }
    send_reservation_request(core, key, shard, now);
    Flow::Wait
}

fn wait(core: &mut Core, key: ReqKey) -> Flow {
    let now = core.now;
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    if now >= request.deadline + REPLY_GRACE {
        return Flow::Refuse(unavailable(core, key, "no engine was free in time"));
    }
    let Some(reservation) = &request.reservation else {
        // The engine shard had no scheduler when engines were requested.
        return retry_shard_choice(core, key);
    };
    let shard = reservation.shard.clone();
    if reservation
        .unanswered_since
        .is_some_and(|since| now >= since + SCHEDULER_TIMEOUT)
    {
        let scheduler = reservation.scheduler.clone();
        return mark_scheduler_lost(core, key, &scheduler);
    }
    if now >= reservation.retry_at {
        let requested_at = reservation.requested_at;
        send_reservation_request(core, key, shard, requested_at);
    }
    Flow::Wait
}

/// Marks a scheduler that does not answer as lost until its next heartbeat.
///
/// If the scheduler is alive, the shard has two schedulers for a while, which only costs
/// performance.
fn mark_scheduler_lost(core: &mut Core, key: ReqKey, scheduler: &InstanceId) -> Flow {
    if let Some(reservation) = core
        .requests
        .get_mut(key)
        .and_then(|request| request.reservation.as_mut())
    {
        reservation.unanswered_since = None;
    }
    if *scheduler != core.settings.instance {
        membership::peer_lost(core, scheduler);
    }
    Flow::Wait
}

fn retry_shard_choice(core: &mut Core, key: ReqKey) -> Flow {
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    let Target::Model { model, .. } = &request.inbound.target else {
        return Flow::Next;
    };
    let (model, requested_at) = (model.clone(), request.arrived);
    let random = core.random();
    if let Some(shard) = core.scheduler.choose_shard(&model, random) {
        send_reservation_request(core, key, shard, requested_at);
    }
    Flow::Wait
}

/// Transfers the reservations of this instance's requests to new schedulers, and repeats pending
/// requests there.
pub(crate) fn follow_scheduler_changes(core: &mut Core) {
    let moved: Vec<(ReqKey, ShardId, InstanceId)> = core
        .requests
        .iter()
        .filter_map(|(key, request)| {
            let reservation = request.reservation.as_ref()?;
            let scheduler = core.scheduler.scheduler_of(&reservation.shard)?;
            (*scheduler != reservation.scheduler)
                .then(|| (key, reservation.shard.clone(), scheduler.clone()))
        })
        .collect();
    // Reservations in use are transferred first, so that the engines are not granted twice.
    for (key, shard, scheduler) in &moved {
        transfer_reservation(core, *key, shard, scheduler);
    }
    for (key, shard, _) in moved {
        let reservation = core
            .requests
            .get(key)
            .and_then(|request| request.reservation.as_ref());
        if let Some(reservation) =
            reservation.filter(|reservation| reservation.allocation.is_none())
        {
            let requested_at = reservation.requested_at;
            release(core, key, ReservationEnd::Done);
            send_reservation_request(core, key, shard, requested_at);
        }
    }
}

fn transfer_reservation(core: &mut Core, key: ReqKey, shard: &ShardId, scheduler: &InstanceId) {
    let Some(reservation_request) = build_reservation_request(core, key, shard) else {
        return;
    };
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let decoding = request.is_decoding();
    let Some(reservation) = &mut request.reservation else {
        return;
    };
    let Some(allocation) = reservation.allocation.clone() else {
        return;
    };
    reservation.scheduler = scheduler.clone();
    let transfer = ReservationTransfer {
        request: reservation_request,
        allocation,
        decoding,
    };
    core.send(scheduler, PeerMsg::TransferReservation(Box::new(transfer)));
}

fn build_reservation_request(
    core: &Core,
    key: ReqKey,
    shard: &ShardId,
) -> Option<ReservationRequest> {
    let now = core.now;
    let request = core.requests.get(key)?;
    let Target::Model { prefix, .. } = &request.inbound.target else {
        return None;
    };
    let weight = request
        .customer
        .as_ref()
        .and_then(|c| core.config.customer(c));
    Some(ReservationRequest {
        id: request.id.clone(),
        attempt: request.attempt,
        shard: shard.clone(),
        customer: request.customer.clone().unwrap_or_default(),
        weight: weight.map_or(1.0, |customer| customer.weight),
        class: request.class,
        prompt_tokens: request.prefill_tokens(),
        output_tokens: u64::from(request.max_tokens.saturating_sub(request.position)),
        prefix: prefix.clone(),
        due_ms: request.deadline.saturating_sub(now).as_millis() as u32,
        suspect: request.suspect,
        avoid: request.avoid.iter().cloned().map(EngineId).collect(),
        prefilled: request.kv.as_ref().map(|kv| kv.engine.clone()),
    })
}

fn send_reservation_request(core: &mut Core, key: ReqKey, shard: ShardId, requested_at: Duration) {
    let now = core.now;
    let Some(scheduler) = core.scheduler.scheduler_of(&shard).cloned() else {
        return;
    };
    let Some(reservation_request) = build_reservation_request(core, key, &shard) else {
        return;
    };
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let previous = request
        .reservation
        .as_ref()
        .filter(|reservation| reservation.scheduler == scheduler);
    let unanswered_since = previous.and_then(|reservation| reservation.unanswered_since);
    request.reservation = Some(Reservation {
        shard,
        scheduler: scheduler.clone(),
        retry_at: now + RETRY_INTERVAL,
        unanswered_since: unanswered_since.or(Some(now)),
        requested_at,
        allocation: None,
    });
    core.send(&scheduler, PeerMsg::Reserve(reservation_request));
}

fn peer(core: &mut Core, from: &InstanceId, msg: PeerMsg) -> Option<PeerMsg> {
    match msg {
        PeerMsg::ReservationReply {
            id,
            attempt,
            outcome,
            pressure,
        } => {
            handle_reply(core, from, &id, attempt, outcome, pressure);
            None
        }
        PeerMsg::ReservationCheck { shard, requests } => {
            for id in requests {
                check(core, from, &shard, id);
            }
            None
        }
        other => Some(other),
    }
}

/// Sends a scheduler the release or the start of the decode of a reservation that it may have
/// missed.
fn check(core: &mut Core, from: &InstanceId, shard: &ShardId, id: RequestId) {
    if !has_reservation(core, from, shard, &id) {
        return send_release(core, from, id, shard.clone());
    }
    let request = core.find(&id).and_then(|key| core.requests.get(key));
    if request.is_some_and(Request::is_decoding) {
        core.send(
            from,
            PeerMsg::Decoding {
                id,
                shard: shard.clone(),
            },
        );
    }
}

fn has_reservation(core: &Core, scheduler: &InstanceId, shard: &ShardId, id: &RequestId) -> bool {
    let request = core.find(id).and_then(|key| core.requests.get(key));
    let reservation = request.and_then(|request| request.reservation.as_ref());
    reservation.is_some_and(|reservation| {
        reservation.scheduler == *scheduler && reservation.shard == *shard
    })
}

fn send_release(core: &mut Core, scheduler: &InstanceId, id: RequestId, shard: ShardId) {
    let end = ReservationEnd::Done;
    core.send(
        scheduler,
        PeerMsg::Release {
            id,
            shard,
            end,
            unused_tokens: 0,
        },
    );
}

fn handle_reply(
    core: &mut Core,
    from: &InstanceId,
    id: &RequestId,
    attempt: u32,
    outcome: ReservationOutcome,
    pressure: u32,
) {
    let now = core.now;
    let found = core
        .find(id)
        .filter(|key| awaits_reply(core, *key, from, attempt));
    let Some(key) = found else {
        return release_unwanted(core, from, id, outcome);
    };
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let Some(reservation) = &mut request.reservation else {
        return;
    };
    reservation.retry_at = now + RETRY_INTERVAL;
    reservation.unanswered_since = None;
    core.scheduler.set_pressure(&reservation.shard, pressure);
    match outcome {
        ReservationOutcome::Queued | ReservationOutcome::NotScheduler => {}
        ReservationOutcome::Granted(allocation) => {
            let waited = now.saturating_sub(reservation.requested_at);
            reservation.allocation = Some(allocation);
            core.measure(key, Sample::QueueWait(waited));
            core.resume(key);
        }
        ReservationOutcome::Refused { retry_after_ms } => {
            request.reservation = None;
            let wait = Duration::from_millis(u64::from(retry_after_ms));
            let verdict = unavailable(
                core,
                key,
                "engines are busy for longer than the request may wait",
            );
            crate::plugins::finish::refuse(core, key, verdict.retry_after(wait));
        }
    }
}

/// Whether a request waits for a reply from this scheduler to this attempt.
fn awaits_reply(core: &Core, key: ReqKey, from: &InstanceId, attempt: u32) -> bool {
    let Some(request) = core.requests.get(key) else {
        return false;
    };
    let reservation = request.reservation.as_ref();
    request.stage == Stage::Queue
        && request.attempt == attempt
        && reservation.is_some_and(|reservation| {
            reservation.scheduler == *from && reservation.allocation.is_none()
        })
}

/// Releases engines that were granted to a request which no longer waits for them.
fn release_unwanted(
    core: &mut Core,
    from: &InstanceId,
    id: &RequestId,
    outcome: ReservationOutcome,
) {
    if !matches!(outcome, ReservationOutcome::Granted(_)) {
        return;
    }
    let in_use = core
        .find(id)
        .and_then(|key| core.requests.get(key))
        .is_some_and(|request| {
            request
                .reservation
                .as_ref()
                .is_some_and(|reservation| reservation.scheduler == *from)
        });
    if in_use {
        // A repeated reply for a reservation that is in use.
        return;
    }
    // The reply does not name the shard, so the release is sent for every shard.
    let shards: Vec<ShardId> = core.scheduler.layout.shards().keys().cloned().collect();
    for shard in shards {
        send_release(core, from, id.clone(), shard);
    }
}

/// Releases the reservation of a request, if it has one.
pub(crate) fn release(core: &mut Core, key: ReqKey, end: ReservationEnd) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let Some(reservation) = request.reservation.take() else {
        return;
    };
    let unused_tokens = u64::from(request.max_tokens.saturating_sub(request.position));
    let msg = PeerMsg::Release {
        id: request.id.clone(),
        shard: reservation.shard,
        end,
        unused_tokens,
    };
    core.send(&reservation.scheduler, msg);
}

fn unavailable(core: &Core, key: ReqKey, message: &str) -> Verdict {
    let verdict = Verdict::not_run(Code::Overloaded, message).retry_after(RETRY_AFTER);
    match core.requests.get(key) {
        Some(request) => crate::kernel::verdict_for(request, verdict),
        None => verdict,
    }
}
