//! Stage 3: claim the idempotency key of a call that may run at most once.

use std::time::Duration;

use jacinthlever_types::{
    Code, Condition, CustomerId, IdempotencyRecord, IdempotencyReply, InstanceId, PeerMsg,
    RecordedOutcome, RequestId, RouteKind, Transaction, TransactionReply, Verdict, Write,
};
use serde::Deserialize;
use smol_str::SmolStr;

use crate::claims::row_key;
use crate::plugins::finish;
use crate::request::Claim;
use crate::slots::SlotId;
use crate::ticket::Ticket;
use crate::{Core, Flow, PlatformOp, PlatformReply, Plugin, Reply, ReqKey, Stage, Target};

inventory::submit! {
    Plugin {
        stage: Some((Stage::Claim, run)),
        wait: Some(wait),
        peer: Some(peer),
        ..Plugin::named("claim")
    }
}

/// Pause before a claim is tried again.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// Pause before the recording of an outcome is tried again.
const RECORD_AGAIN: Duration = Duration::from_secs(1);

/// Tries to record an outcome or withdraw a claim; about ten minutes of an outage.
const RECORD_TRIES: u32 = 600;

fn run(core: &mut Core, key: ReqKey) -> Flow {
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    let Target::Plain {
        safe,
        idempotency_key,
        ..
    } = &request.inbound.target
    else {
        return Flow::Next;
    };
    let route = request.route.as_ref().and_then(|id| core.config.route(id));
    let Some(RouteKind::Plain {
        repeatable,
        require_key,
        ..
    }) = route.map(|route| &route.kind)
    else {
        return Flow::Next;
    };
    if *safe || *repeatable {
        return Flow::Next;
    }
    let Some(name) = idempotency_key.clone() else {
        if *require_key {
            let message = "Idempotency-Key: the route needs this header";
            return Flow::Refuse(Verdict::not_run(Code::FieldInvalid, message));
        }
        return Flow::Next;
    };
    let customer = request.customer.clone().unwrap_or_default();
    let ticket = Ticket::of_key(&name);
    let ticketed = ticket.is_some_and(|ticket| ticket.slot == SlotId::of(&customer));
    let claim = Claim {
        customer,
        key: name,
        ticketed,
        granted: false,
        version: 0,
        ask_at: core.now,
        busy: false,
        seen_pending: false,
    };
    if let Some(request) = core.requests.get_mut(key) {
        request.claim = Some(claim);
    }
    ask(core, key);
    Flow::Wait
}

fn wait(core: &mut Core, key: ReqKey) -> Flow {
    let now = core.now;
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    let Some(claim) = &request.claim else {
        return Flow::Wait;
    };
    if now >= request.deadline {
        return Flow::Refuse(late_verdict(claim));
    }
    if now >= claim.ask_at && (claim.ticketed || !claim.busy) {
        ask(core, key);
    }
    Flow::Wait
}

fn late_verdict(claim: &Claim) -> Verdict {
    if claim.seen_pending {
        let message = "an earlier call with this idempotency key has no recorded outcome";
        return Verdict::may_have_run(Code::ClaimPending, message);
    }
    let message = "the idempotency key could not be claimed in time";
    Verdict::not_run(Code::ClaimUnsettled, message).retry_after(Duration::from_secs(2))
}

fn ask(core: &mut Core, key: ReqKey) {
    let ask_at = core.now + ASK_AGAIN;
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let (id, fingerprint) = (request.id.clone(), request.inbound.fingerprint);
    let Some(claim) = &mut request.claim else {
        return;
    };
    claim.ask_at = ask_at;
    claim.busy = true;
    let (customer, name) = (claim.customer.clone(), claim.key.clone());
    if claim.ticketed {
        let msg = PeerMsg::IdempotencyRequest {
            id,
            customer: customer.clone(),
            key: name,
            fingerprint,
        };
        core.send_to_holder(&customer, msg);
        return;
    }
    let record = IdempotencyRecord {
        attempt: attempt_of(&id),
        fingerprint,
        outcome: None,
    };
    insert(
        core,
        &customer,
        &name,
        record,
        Box::new(move |core, reply| {
            if let Some(key) = core.find(&id) {
                answered(core, key, reply);
            }
        }),
    );
}

/// What is done with the answer to a claim; `None` if the table did not settle it.
pub(crate) type OnClaim = Box<dyn FnOnce(&mut Core, Option<IdempotencyReply>) + Send>;

/// Claims a key by a conditional insert in the table.
///
/// A lost reply is settled by the next try, which finds the own attempt in the row.
pub(crate) fn insert(
    core: &mut Core,
    customer: &CustomerId,
    name: &str,
    record: IdempotencyRecord,
    then: OnClaim,
) {
    let row = row_key(customer, name);
    let transaction = Transaction {
        conditions: vec![Condition {
            key: row.clone(),
            version: 0,
        }],
        writes: vec![Write {
            key: row,
            value: serde_json::to_value(&record).ok(),
        }],
    };
    core.transact(
        transaction,
        Box::new(move |core, result| {
            let reply = match result {
                Ok(PlatformReply::Transaction(TransactionReply::Committed(_))) => {
                    Some(IdempotencyReply::Granted)
                }
                Ok(PlatformReply::Transaction(TransactionReply::Conflicts(conflicts))) => {
                    let value = conflicts
                        .into_iter()
                        .next()
                        .and_then(|conflict| conflict.value);
                    value
                        .and_then(|value| IdempotencyRecord::deserialize(value).ok())
                        .map(|found| match found.attempt == record.attempt {
                            true => IdempotencyReply::Granted,
                            false => IdempotencyReply::Exists(found),
                        })
                }
                _ => None,
            };
            then(core, reply);
        }),
    );
}

fn peer(core: &mut Core, _from: &InstanceId, msg: PeerMsg) -> Option<PeerMsg> {
    match msg {
        PeerMsg::IdempotencyReply { id, reply } => {
            if let Some(key) = core.find(&id) {
                answered(core, key, Some(reply));
            }
            None
        }
        other => Some(other),
    }
}

fn answered(core: &mut Core, key: ReqKey, reply: Option<IdempotencyReply>) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    if request.stage != Stage::Claim {
        return;
    }
    let fingerprint = request.inbound.fingerprint;
    let Some(claim) = &mut request.claim else {
        return;
    };
    claim.busy = false;
    match reply {
        None | Some(IdempotencyReply::NotOwner) => {}
        Some(IdempotencyReply::Granted) => {
            claim.granted = true;
            core.resume(key);
        }
        Some(IdempotencyReply::Unsettled) => {
            let message = "a takeover lost the claims of this ticket; take a new one";
            finish::refuse(
                core,
                key,
                Verdict::may_have_run(Code::ClaimPending, message),
            );
        }
        Some(IdempotencyReply::Exists(record)) if record.fingerprint != fingerprint => {
            let message = "the idempotency key was used before with another request";
            finish::refuse(core, key, Verdict::not_run(Code::ClaimMismatch, message));
        }
        Some(IdempotencyReply::Exists(record)) => match record.outcome {
            Some(outcome) => finish::answer(core, key, Reply::Recorded(outcome)),
            None => claim.seen_pending = true,
        },
    }
}

/// Records the outcome of a claimed call, or withdraws the claim of one that was never sent.
pub(crate) fn conclude(core: &mut Core, key: ReqKey, outcome: Option<RecordedOutcome>) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let Some(claim) = request.claim.take() else {
        return;
    };
    // A claim that another request holds is not this one's to conclude.
    if claim.seen_pending || (!claim.granted && outcome.is_some()) {
        return;
    }
    let id = request.id.clone();
    if claim.ticketed {
        let msg = PeerMsg::IdempotencyOutcome {
            id,
            customer: claim.customer.clone(),
            key: claim.key,
            outcome,
        };
        core.send_to_holder(&claim.customer, msg);
        return;
    }
    update(
        core,
        row_key(&claim.customer, &claim.key),
        attempt_of(&id),
        outcome,
        RECORD_TRIES,
    );
}

/// Brings the row of an attempt up to date, again and again until the table settles it.
pub(crate) fn update(
    core: &mut Core,
    row: SmolStr,
    attempt: SmolStr,
    outcome: Option<RecordedOutcome>,
    tries: u32,
) {
    if tries == 0 {
        return;
    }
    let read = PlatformOp::Rows {
        prefix: row.clone(),
        after: 0,
    };
    core.platform(
        read,
        Box::new(move |core, result| match result {
            Ok(PlatformReply::Rows(reply)) => {
                let found = reply.rows.into_iter().find(|found| found.key == row);
                let Some(found) = found else { return };
                let Some(value) = found.value else { return };
                let Ok(mut record) = IdempotencyRecord::deserialize(value) else {
                    return;
                };
                if record.attempt != attempt || record.outcome.is_some() {
                    return;
                }
                record.outcome = outcome.clone();
                let value = outcome
                    .as_ref()
                    .and_then(|_| serde_json::to_value(&record).ok());
                let transaction = Transaction {
                    conditions: vec![Condition {
                        key: row.clone(),
                        version: found.version,
                    }],
                    writes: vec![Write {
                        key: row.clone(),
                        value,
                    }],
                };
                core.transact(
                    transaction,
                    Box::new(move |core, result| {
                        if result.is_err() {
                            update_later(core, row, attempt, outcome, tries - 1);
                        }
                    }),
                );
            }
            _ => update_later(core, row, attempt, outcome, tries - 1),
        }),
    );
}

fn update_later(
    core: &mut Core,
    row: SmolStr,
    attempt: SmolStr,
    outcome: Option<RecordedOutcome>,
    tries: u32,
) {
    let at = core.now + RECORD_AGAIN;
    core.later(
        at,
        Box::new(move |core| update(core, row, attempt, outcome, tries)),
    );
}

/// Returns the attempt that a request claims keys under.
pub(crate) fn attempt_of(id: &RequestId) -> SmolStr {
    id.attempt(0)
}
