//! Stage 3: creates the idempotency record of a call that may run at most once.

use std::time::Duration;

use jacinthlever_types::{
    Code, Condition, CustomerId, IdempotencyRecord, IdempotencyReply, InstanceId, PeerMsg,
    RecordedOutcome, RequestId, RouteKind, Transaction, TransactionReply, Verdict, Write,
};
use serde::Deserialize;
use smol_str::SmolStr;

use crate::idempotency_ledger::row_key;
use crate::idempotency_token::IdempotencyToken;
use crate::partitions::PartitionId;
use crate::plugins::finish;
use crate::request::IdempotencyState;
use crate::{Core, Flow, PlatformOp, PlatformReply, Plugin, Reply, ReqKey, Stage, Target};

inventory::submit! {
    Plugin {
        stage: Some((Stage::Idempotency, run)),
        wait: Some(wait),
        peer: Some(peer),
        ..Plugin::named("claim")
    }
}

/// Interval between tries to create an idempotency record.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between tries to record an outcome.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of tries to record an outcome or delete a record, enough for an outage of about
/// ten minutes.
const MAX_RECORD_TRIES: u32 = 600;

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
    let Some(idempotency_key) = idempotency_key.clone() else {
        if *require_key {
            let message = "Idempotency-Key: the route needs this header";
            return Flow::Refuse(Verdict::not_run(Code::FieldInvalid, message));
        }
        return Flow::Next;
    };
    let customer = request.customer.clone().unwrap_or_default();
    let token = IdempotencyToken::of_key(&idempotency_key);
    let has_token = token.is_some_and(|token| token.partition == PartitionId::of(&customer));
    let state = IdempotencyState {
        customer,
        key: idempotency_key,
        has_token,
        granted: false,
        version: 0,
        retry_at: core.now,
        in_progress: false,
        seen_pending: false,
    };
    if let Some(request) = core.requests.get_mut(key) {
        request.idempotency = Some(state);
    }
    request_record(core, key);
    Flow::Wait
}

fn wait(core: &mut Core, key: ReqKey) -> Flow {
    let now = core.now;
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    let Some(state) = &request.idempotency else {
        return Flow::Wait;
    };
    if now >= request.deadline {
        return Flow::Refuse(timeout_verdict(state));
    }
    if now >= state.retry_at && (state.has_token || !state.in_progress) {
        request_record(core, key);
    }
    Flow::Wait
}

fn timeout_verdict(state: &IdempotencyState) -> Verdict {
    if state.seen_pending {
        let message = "an earlier call with this idempotency key has no recorded outcome";
        return Verdict::may_have_run(Code::ClaimPending, message);
    }
    let message = "the idempotency key could not be recorded in time";
    Verdict::not_run(Code::ClaimUnsettled, message).retry_after(Duration::from_secs(2))
}

fn request_record(core: &mut Core, key: ReqKey) {
    let retry_at = core.now + RETRY_INTERVAL;
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let (id, fingerprint) = (request.id.clone(), request.inbound.fingerprint);
    let Some(state) = &mut request.idempotency else {
        return;
    };
    state.retry_at = retry_at;
    state.in_progress = true;
    let (customer, idempotency_key) = (state.customer.clone(), state.key.clone());
    if state.has_token {
        let msg = PeerMsg::IdempotencyRequest {
            id,
            customer: customer.clone(),
            key: idempotency_key,
            fingerprint,
        };
        core.send_to_owner(&customer, msg);
        return;
    }
    let record = IdempotencyRecord {
        attempt: record_attempt_id(&id),
        fingerprint,
        outcome: None,
    };
    insert(
        core,
        &customer,
        &idempotency_key,
        record,
        Box::new(move |core, reply| {
            if let Some(key) = core.find(&id) {
                handle_reply(core, key, reply);
            }
        }),
    );
}

/// Called with the result of creating a record, or with `None` if the table did not settle it.
pub(crate) type IdempotencyCallback = Box<dyn FnOnce(&mut Core, Option<IdempotencyReply>) + Send>;

/// Creates an idempotency record by a conditional insert into the table.
///
/// If a reply is lost, the next try finds its own attempt in the row and counts as granted.
pub(crate) fn insert(
    core: &mut Core,
    customer: &CustomerId,
    idempotency_key: &str,
    record: IdempotencyRecord,
    then: IdempotencyCallback,
) {
    let row = row_key(customer, idempotency_key);
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
                handle_reply(core, key, Some(reply));
            }
            None
        }
        other => Some(other),
    }
}

fn handle_reply(core: &mut Core, key: ReqKey, reply: Option<IdempotencyReply>) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    if request.stage != Stage::Idempotency {
        return;
    }
    let fingerprint = request.inbound.fingerprint;
    let Some(state) = &mut request.idempotency else {
        return;
    };
    state.in_progress = false;
    match reply {
        None | Some(IdempotencyReply::NotOwner) => {}
        Some(IdempotencyReply::Granted) => {
            state.granted = true;
            core.resume(key);
        }
        Some(IdempotencyReply::Unsettled) => {
            let message =
                "a takeover lost the idempotency records of this ticket; request a new one";
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
            None => state.seen_pending = true,
        },
    }
}

/// Records the outcome of a call that has an idempotency record, or deletes the record if the call
/// was never sent.
pub(crate) fn conclude(core: &mut Core, key: ReqKey, outcome: Option<RecordedOutcome>) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let Some(state) = request.idempotency.take() else {
        return;
    };
    // A record that belongs to another request is left alone.
    if state.seen_pending || (!state.granted && outcome.is_some()) {
        return;
    }
    let id = request.id.clone();
    if state.has_token {
        let msg = PeerMsg::IdempotencyOutcome {
            id,
            customer: state.customer.clone(),
            key: state.key,
            outcome,
        };
        core.send_to_owner(&state.customer, msg);
        return;
    }
    update(
        core,
        row_key(&state.customer, &state.key),
        record_attempt_id(&id),
        outcome,
        MAX_RECORD_TRIES,
    );
}

/// Writes the outcome into the row of an attempt, or deletes the row if `outcome` is `None`.
///
/// Repeated until the table settles it or no tries are left.
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
    core.start_platform_op(
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
                            schedule_update(core, row, attempt, outcome, tries - 1);
                        }
                    }),
                );
            }
            _ => schedule_update(core, row, attempt, outcome, tries - 1),
        }),
    );
}

fn schedule_update(
    core: &mut Core,
    row: SmolStr,
    attempt: SmolStr,
    outcome: Option<RecordedOutcome>,
    tries: u32,
) {
    let at = core.now + RECORD_RETRY_INTERVAL;
    core.schedule_at(
        at,
        Box::new(move |core| update(core, row, attempt, outcome, tries)),
    );
}

/// Returns the attempt identifier that a request writes into its idempotency record.
pub(crate) fn record_attempt_id(id: &RequestId) -> SmolStr {
    id.attempt(0)
}
