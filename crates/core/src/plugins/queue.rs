//! Stage 4: hold engines at the keeper of a cell, decode before prefill.

use std::time::Duration;

use jacinthlever_types::{
    Code, EngineId, InstanceId, PeerMsg, RequestId, ReservationEnd, ReservationOutcome,
    ReservationRequest, ReservationTransfer, Run, ShardId, Verdict,
};

use crate::plugins::membership;
use crate::request::Hold;
use crate::{Core, Flow, Plugin, ReqKey, Request, Sample, Stage, Target};

inventory::submit! {
    Plugin {
        stage: Some((Stage::Queue, run)),
        wait: Some(wait),
        peer: Some(peer),
        ..Plugin::named("queue")
    }
}

/// Pause before a keeper is asked again, as any message may be lost.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// Silence after which a keeper that was asked counts as dead.
const KEEPER_SILENT: Duration = Duration::from_millis(400);

/// Time after the deadline that the keeper has to tell of its refusal.
const GRACE: Duration = Duration::from_millis(250);

/// Time that a request which has started may wait for new engines.
const RESTART_WAIT: Duration = Duration::from_secs(5);

/// Pause named to a caller whose keeper does not answer.
const RETRY_SOON: Duration = Duration::from_secs(1);

fn run(core: &mut Core, key: ReqKey) -> Flow {
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    if request
        .hold
        .as_ref()
        .is_some_and(|hold| hold.allocation.is_some())
    {
        return Flow::Next;
    }
    let Target::Model { model, .. } = &request.inbound.target else {
        return Flow::Next;
    };
    let model = model.clone();
    let random = core.random();
    let Some(cell) = core.keeper.choose(&model, random) else {
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
    ask(core, key, cell, now);
    Flow::Wait
}

fn wait(core: &mut Core, key: ReqKey) -> Flow {
    let now = core.now;
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    if now >= request.deadline + GRACE {
        return Flow::Refuse(unavailable(core, key, "no engine was free in time"));
    }
    let Some(hold) = &request.hold else {
        // No instance kept the cell when it was asked for.
        return retry_cell(core, key);
    };
    let cell = hold.cell.clone();
    if hold
        .unanswered
        .is_some_and(|since| now >= since + KEEPER_SILENT)
    {
        let keeper = hold.keeper.clone();
        return suspect_keeper(core, key, &keeper);
    }
    if now >= hold.ask_at {
        let since = hold.since;
        ask(core, key, cell, since);
    }
    Flow::Wait
}

/// Takes a keeper that does not answer for dead, until a heartbeat shows otherwise.
///
/// A wrong guess makes two keepers for a while, which costs speed only.
fn suspect_keeper(core: &mut Core, key: ReqKey, keeper: &InstanceId) -> Flow {
    if let Some(hold) = core
        .requests
        .get_mut(key)
        .and_then(|request| request.hold.as_mut())
    {
        hold.unanswered = None;
    }
    if *keeper != core.settings.instance {
        membership::peer_lost(core, keeper);
    }
    Flow::Wait
}

fn retry_cell(core: &mut Core, key: ReqKey) -> Flow {
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    let Target::Model { model, .. } = &request.inbound.target else {
        return Flow::Next;
    };
    let (model, since) = (model.clone(), request.arrived);
    let random = core.random();
    if let Some(cell) = core.keeper.choose(&model, random) {
        ask(core, key, cell, since);
    }
    Flow::Wait
}

/// Tells new keepers of the engines that this instance's requests hold, and asks them anew for
/// those that wait.
pub(crate) fn follow_keepers(core: &mut Core) {
    let moved: Vec<(ReqKey, ShardId, InstanceId)> = core
        .requests
        .iter()
        .filter_map(|(key, request)| {
            let hold = request.hold.as_ref()?;
            let keeper = core.keeper.keeper_of(&hold.cell)?;
            (*keeper != hold.keeper).then(|| (key, hold.cell.clone(), keeper.clone()))
        })
        .collect();
    // Engines in use are told of first, so that they are not granted twice.
    for (key, cell, keeper) in &moved {
        hand_over(core, *key, cell, keeper);
    }
    for (key, cell, _) in moved {
        let waits = core
            .requests
            .get(key)
            .and_then(|request| request.hold.as_ref());
        if let Some(hold) = waits.filter(|hold| hold.allocation.is_none()) {
            let since = hold.since;
            release(core, key, ReservationEnd::Done);
            ask(core, key, cell, since);
        }
    }
}

fn hand_over(core: &mut Core, key: ReqKey, cell: &ShardId, keeper: &InstanceId) {
    let Some(ask) = hold_request(core, key, cell) else {
        return;
    };
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let decoding = request.is_decoding();
    let Some(hold) = &mut request.hold else {
        return;
    };
    let Some(allocation) = hold.allocation.clone() else {
        return;
    };
    hold.keeper = keeper.clone();
    let adoption = ReservationTransfer {
        request: ask,
        allocation,
        decoding,
    };
    core.send(keeper, PeerMsg::TransferReservation(Box::new(adoption)));
}

fn hold_request(core: &Core, key: ReqKey, cell: &ShardId) -> Option<ReservationRequest> {
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
        shard: cell.clone(),
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

fn ask(core: &mut Core, key: ReqKey, cell: ShardId, since: Duration) {
    let now = core.now;
    let Some(keeper) = core.keeper.keeper_of(&cell).cloned() else {
        return;
    };
    let Some(ask) = hold_request(core, key, &cell) else {
        return;
    };
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let asked_before = request.hold.as_ref().filter(|hold| hold.keeper == keeper);
    let unanswered = asked_before.and_then(|hold| hold.unanswered);
    request.hold = Some(Hold {
        cell,
        keeper: keeper.clone(),
        ask_at: now + ASK_AGAIN,
        unanswered: unanswered.or(Some(now)),
        since,
        allocation: None,
    });
    core.send(&keeper, PeerMsg::Reserve(ask));
}

fn peer(core: &mut Core, from: &InstanceId, msg: PeerMsg) -> Option<PeerMsg> {
    match msg {
        PeerMsg::ReservationReply {
            id,
            attempt,
            outcome,
            pressure,
        } => {
            replied(core, from, &id, attempt, outcome, pressure);
            None
        }
        PeerMsg::ReservationCheck {
            shard: cell,
            requests,
        } => {
            for id in requests {
                check(core, from, &cell, id);
            }
            None
        }
        other => Some(other),
    }
}

/// Tells the keeper of a hold whatever it may have missed.
fn check(core: &mut Core, from: &InstanceId, cell: &ShardId, id: RequestId) {
    if !still_holds(core, from, cell, &id) {
        return give_up(core, from, id, cell.clone());
    }
    let request = core.find(&id).and_then(|key| core.requests.get(key));
    if request.is_some_and(Request::is_decoding) {
        core.send(
            from,
            PeerMsg::Decoding {
                id,
                shard: cell.clone(),
            },
        );
    }
}

fn still_holds(core: &Core, keeper: &InstanceId, cell: &ShardId, id: &RequestId) -> bool {
    let request = core.find(id).and_then(|key| core.requests.get(key));
    let hold = request.and_then(|request| request.hold.as_ref());
    hold.is_some_and(|hold| hold.keeper == *keeper && hold.cell == *cell)
}

fn give_up(core: &mut Core, keeper: &InstanceId, id: RequestId, cell: ShardId) {
    let end = ReservationEnd::Done;
    core.send(
        keeper,
        PeerMsg::Release {
            id,
            shard: cell,
            end,
            unused_tokens: 0,
        },
    );
}

fn replied(
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
        .filter(|key| awaits(core, *key, from, attempt));
    let Some(key) = found else {
        return give_back(core, from, id, outcome);
    };
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let Some(hold) = &mut request.hold else {
        return;
    };
    hold.ask_at = now + ASK_AGAIN;
    hold.unanswered = None;
    core.keeper.note_pressure(&hold.cell, pressure);
    match outcome {
        ReservationOutcome::Queued | ReservationOutcome::NotScheduler => {}
        ReservationOutcome::Granted(allocation) => {
            let waited = now.saturating_sub(hold.since);
            hold.allocation = Some(allocation);
            core.measure(key, Sample::QueueWait(waited));
            core.resume(key);
        }
        ReservationOutcome::Refused { retry_after_ms } => {
            request.hold = None;
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

/// Whether a request waits for just this answer.
fn awaits(core: &Core, key: ReqKey, from: &InstanceId, attempt: u32) -> bool {
    let Some(request) = core.requests.get(key) else {
        return false;
    };
    let hold = request.hold.as_ref();
    request.stage == Stage::Queue
        && request.attempt == attempt
        && hold.is_some_and(|hold| hold.keeper == *from && hold.allocation.is_none())
}

/// Gives engines back that were granted to a request which no longer waits for them.
fn give_back(core: &mut Core, from: &InstanceId, id: &RequestId, outcome: ReservationOutcome) {
    if !matches!(outcome, ReservationOutcome::Granted(_)) {
        return;
    }
    let holds_same = core
        .find(id)
        .and_then(|key| core.requests.get(key))
        .is_some_and(|request| {
            request
                .hold
                .as_ref()
                .is_some_and(|hold| hold.keeper == *from)
        });
    if holds_same {
        // A repeated answer to a hold that is in use.
        return;
    }
    let cells: Vec<ShardId> = core.keeper.layout.cells().keys().cloned().collect();
    for cell in cells {
        give_up(core, from, id.clone(), cell);
    }
}

/// Ends the hold of a request, if it has one.
pub(crate) fn release(core: &mut Core, key: ReqKey, end: ReservationEnd) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let Some(hold) = request.hold.take() else {
        return;
    };
    let unused_tokens = u64::from(request.max_tokens.saturating_sub(request.position));
    let msg = PeerMsg::Release {
        id: request.id.clone(),
        shard: hold.cell,
        end,
        unused_tokens,
    };
    core.send(&hold.keeper, msg);
}

fn unavailable(core: &Core, key: ReqKey, message: &str) -> Verdict {
    let verdict = Verdict::not_run(Code::Overloaded, message).retry_after(RETRY_SOON);
    match core.requests.get(key) {
        Some(request) => crate::kernel::verdict_for(request, verdict),
        None => verdict,
    }
}
