//! Runs a model request on its engines: prefill, decode, and what follows a failure.

use std::time::Duration;

use jacinthlever_types::{
    Class, Code, EngineFault, KvSource, PeerMsg, ReservationEnd, Run, Verdict,
};
use smol_str::{SmolStr, format_smolstr};

use crate::kernel::CallOwner;
use crate::plugins::{finish, limit, queue};
use crate::request::{CallKind, Calling, Kv};
use crate::{
    Call, CallFault, CallResult, Core, Flow, HARMLESS_TOKENS, LogEvent, Reply, ReqKey, Sample,
    Stage,
};

/// Engine allocations that one request may use up.
const MAX_ATTEMPTS: u32 = 4;

/// Full engines that one request may meet beside its attempts.
const MAX_FULLS: u32 = 8;

/// Time for which a prefill engine surely keeps KV cache that was not imported; it evicts it in
/// under a second.
const KV_KEPT: Duration = Duration::from_millis(400);

/// Broken streams of one request that are resumed on their engine.
const MAX_RESUMES: u32 = 3;

/// Starts the prefill on the engines that are held.
pub(crate) fn start(core: &mut Core, key: ReqKey) -> Flow {
    let Some(request) = core.requests.get_mut(key) else {
        return Flow::Done;
    };
    let allocation = request
        .hold
        .as_ref()
        .and_then(|hold| hold.allocation.as_ref());
    let Some(address) = allocation.map(|allocation| allocation.prefill_address.clone()) else {
        return Flow::Wait;
    };
    request.run = Run::MayHaveRun;
    if let Some(kv) = request.kv.clone() {
        return decode(core, key, kv);
    }
    let (caller, attempt) = (request.caller, request.attempt_name());
    begin(
        core,
        key,
        address,
        Call::Prefill { caller, attempt },
        CallKind::Prefill,
    );
    Flow::Wait
}

fn begin(core: &mut Core, key: ReqKey, address: SmolStr, request: Call, kind: CallKind) {
    let call = core.call(address, request, CallOwner::Request(key));
    let since = core.now;
    if let Some(request) = core.requests.get_mut(key) {
        request.calling = Some(Calling { call, kind, since });
    }
}

/// Takes in progress or the end of a call.
pub(crate) fn result(core: &mut Core, key: ReqKey, calling: Calling, result: CallResult) {
    match result {
        CallResult::Prefilled {
            kv,
            prompt_tokens,
            cached_tokens,
        } => {
            prefilled(core, key, calling, prompt_tokens, cached_tokens);
            if let Some(kv) = keep(core, key, kv) {
                decode(core, key, kv);
            }
        }
        CallResult::FirstToken => first_token(core, key),
        CallResult::Harmless => {
            harmless(core, key);
            tell_pace(core, key);
        }
        CallResult::Decoded { finish, position } => {
            if let Some(request) = core.requests.get_mut(key) {
                request.position = position;
                request.calling = None;
                let prompt_tokens = request.counted_prompt.unwrap_or_default();
                let reply = Reply::Finished {
                    finish,
                    prompt_tokens,
                    output_tokens: position,
                };
                finish::answer(core, key, reply);
            }
        }
        CallResult::Failed { fault, position } => failed(core, key, calling, fault, position),
        CallResult::Load(_) | CallResult::Plain(_) | CallResult::Cancelled => {}
    }
}

fn prefilled(core: &mut Core, key: ReqKey, calling: Calling, prompt: u32, cached_tokens: u32) {
    let took = core.now.saturating_sub(calling.since);
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    if request.counted_prompt.is_none() {
        request.counted_prompt = Some(prompt.saturating_sub(request.position));
    }
    request.unused_prefill = true;
    let Some(hold) = &request.hold else { return };
    let msg = PeerMsg::Prefilled {
        id: request.id.clone(),
        shard: hold.cell.clone(),
        cached_tokens,
        took_ms: took.as_millis() as u32,
    };
    let keeper = hold.keeper.clone();
    core.send(&keeper, msg);
}

/// Remembers the KV cache, in case that the decode engine has no room after all.
fn keep(core: &mut Core, key: ReqKey, handle: SmolStr) -> Option<Kv> {
    let made = core.now;
    let request = core.requests.get_mut(key)?;
    let allocation = request.hold.as_ref()?.allocation.as_ref()?;
    let (engine, address) = (
        allocation.prefill.clone(),
        allocation.prefill_address.clone(),
    );
    request.kv = Some(Kv {
        engine,
        address,
        handle,
        made,
    });
    request.kv.clone()
}

fn decode(core: &mut Core, key: ReqKey, kv: Kv) -> Flow {
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    let allocation = request
        .hold
        .as_ref()
        .and_then(|hold| hold.allocation.as_ref());
    let Some(allocation) = allocation else {
        return Flow::Wait;
    };

    let address = allocation.decode_address.clone();
    let call = Call::Decode {
        caller: request.caller,
        attempt: request.attempt_name(),
        source: KvSource {
            address: kv.address,
            kv: kv.handle,
        },
        max_tokens: request.max_tokens,
        priority: if request.class == Class::Urgent { 0 } else { 1 },
    };
    begin(core, key, address, call, CallKind::Decode);
    Flow::Wait
}

fn first_token(core: &mut Core, key: ReqKey) {
    let now = core.now;
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    request.unused_prefill = false;
    request.kv = None;
    let is_first = request.first_token.is_none();
    request.first_token.get_or_insert(now);
    let took = now.saturating_sub(request.arrived);
    let hold = request
        .hold
        .as_ref()
        .map(|hold| (hold.keeper.clone(), hold.cell.clone()));
    let id = request.id.clone();
    if is_first {
        core.measure(key, Sample::FirstToken(took));
    }
    if let Some((keeper, cell)) = hold {
        core.send(&keeper, PeerMsg::Decoding { id, shard: cell });
    }
}

/// Tells the holder that the request is harmless, so that equal ones need not wait for its end.
fn harmless(core: &mut Core, key: ReqKey) {
    let Some(request) = core.requests.get(key) else {
        return;
    };
    let Some(charge) = &request.charge else {
        return;
    };
    let customer = charge.customer.clone();
    let (id, fingerprint) = (request.id.clone(), request.inbound.fingerprint);
    let msg = PeerMsg::Cleared {
        id,
        customer: customer.clone(),
        fingerprint,
    };
    core.send_to_holder(&customer, msg);
}

/// Tells the keeper how fast the decode engine is, long before the answer ends.
fn tell_pace(core: &mut Core, key: ReqKey) {
    let now = core.now;
    let Some(request) = core.requests.get(key) else {
        return;
    };
    // After a retry the tokens come from several engines.
    let Some(since) = request.first_token.filter(|_| request.attempt == 1) else {
        return;
    };
    let Some(hold) = &request.hold else { return };
    let msg = PeerMsg::TokenRate {
        id: request.id.clone(),
        shard: hold.cell.clone(),
        tokens: HARMLESS_TOKENS - 1,
        took_ms: now.saturating_sub(since).as_millis() as u32,
    };
    let keeper = hold.keeper.clone();
    core.send(&keeper, msg);
}

fn failed(core: &mut Core, key: ReqKey, calling: Calling, fault: CallFault, position: u32) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    request.calling = None;
    request.position = request.position.max(position);
    let is_decode = calling.kind != CallKind::Prefill;
    if is_decode && fault == CallFault::Broken && request.resumes < MAX_RESUMES {
        return resume(core, key);
    }
    let fault = engine_fault(calling.kind, fault);
    let keeps = fault == EngineFault::Full && is_decode && keeps_kv(core, key);
    if !keeps {
        waste(core, key);
    }
    if keeps {
        // The cache is left where it is; a cancel would free it.
    } else if fault != EngineFault::Crashed && fault != EngineFault::Down {
        cancel(core, key);
    }
    avoid(core, key, is_decode, fault);
    let end = match is_decode {
        true => ReservationEnd::DecodeFailed(fault),
        false => ReservationEnd::PrefillFailed(fault),
    };
    queue::release(core, key, end);
    retry(core, key, fault);
}

/// Whether the KV cache will still be there when another decode engine asks for it.
fn keeps_kv(core: &mut Core, key: ReqKey) -> bool {
    let now = core.now;
    let Some(request) = core.requests.get_mut(key) else {
        return false;
    };
    let keeps = request
        .kv
        .as_ref()
        .is_some_and(|kv| now < kv.made + KV_KEPT);
    if !keeps {
        request.kv = None;
    }
    keeps
}

/// Keeps the request from the engine that failed it.
fn avoid(core: &mut Core, key: ReqKey, is_decode: bool, fault: EngineFault) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let hold = request.hold.as_ref();
    let Some(allocation) = hold.and_then(|hold| hold.allocation.as_ref()) else {
        return;
    };
    // A transfer may have failed at either end.
    if is_decode {
        request.avoid.push(allocation.decode.0.clone());
    }
    if !is_decode || fault == EngineFault::KvLost {
        request.avoid.push(allocation.prefill.0.clone());
    }
}

/// Continues a stream that broke on an engine which is still alive.
fn resume(core: &mut Core, key: ReqKey) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    request.resumes += 1;
    let allocation = request
        .hold
        .as_ref()
        .and_then(|hold| hold.allocation.as_ref());
    let Some(address) = allocation.map(|allocation| allocation.decode_address.clone()) else {
        return;
    };
    let (caller, attempt) = (request.caller, request.attempt_name());
    begin(
        core,
        key,
        address,
        Call::Resume { caller, attempt },
        CallKind::Resume,
    );
}

/// Runs the request again from the tokens that the caller already has, if that is allowed.
fn retry(core: &mut Core, key: ReqKey, fault: EngineFault) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let id = request.id.clone();
    let crashed = fault == EngineFault::Crashed;
    request.suspect |= crashed;
    if fault == EngineFault::Full {
        request.fulls += 1;
    }
    let is_free = fault == EngineFault::Full && request.fulls <= MAX_FULLS;
    let spent = request.attempt.saturating_sub(request.fulls.min(MAX_FULLS));
    if spent >= MAX_ATTEMPTS || !(is_free || core.retries.spend()) {
        let message = "backend servers failed, and no attempt is left";
        return finish::refuse(
            core,
            key,
            Verdict::may_have_run(Code::BackendFailed, message),
        );
    }
    let reason = crate::fault_text(fault);
    core.log(LogEvent::RequestRetried {
        id: id.clone(),
        reason,
    });
    if crashed {
        core.log(LogEvent::RequestSuspect { id });
        extend_deadline(core, key);
        return limit::ask_after_crash(core, key);
    }
    if let Some(request) = core.requests.get_mut(key) {
        request.stage = Stage::Queue;
    }
    core.advance(key);
}

/// Time that a request whose engine crashed may wait to be admitted again.
const READMIT_WAIT: Duration = Duration::from_secs(5);

fn extend_deadline(core: &mut Core, key: ReqKey) {
    let least = core.now + READMIT_WAIT;
    if let Some(request) = core.requests.get_mut(key) {
        request.deadline = request.deadline.max(least);
    }
}

fn engine_fault(kind: CallKind, fault: CallFault) -> EngineFault {
    match fault {
        // An engine that takes no more connections under a running request has crashed.
        CallFault::Refused if kind == CallKind::Resume => EngineFault::Crashed,
        CallFault::Refused => EngineFault::Down,
        CallFault::Crashed => EngineFault::Crashed,
        CallFault::Stalled => EngineFault::Stalled,
        CallFault::Full => EngineFault::Full,
        CallFault::KvLost => EngineFault::KvLost,
        CallFault::Broken | CallFault::Crossed | CallFault::Status(_) => EngineFault::Broken,
    }
}

/// Counts a prefill whose result no decode has used.
pub(crate) fn waste(core: &mut Core, key: ReqKey) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    request.kv = None;
    if std::mem::take(&mut request.unused_prefill) {
        let tokens = request.prefill_tokens();
        core.measure(key, Sample::WastedPrefill(tokens));
    }
}

/// Frees the engine memory of the current attempt, wherever it may be held.
pub(crate) fn cancel(core: &mut Core, key: ReqKey) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    request.calling = None;
    let attempt = request.attempt_name();
    let hold = request.hold.as_ref();
    let Some(allocation) = hold.and_then(|hold| hold.allocation.clone()) else {
        return;
    };
    for address in [allocation.prefill_address, allocation.decode_address] {
        core.call(
            address,
            Call::Cancel {
                attempt: attempt.clone(),
            },
            CallOwner::Nobody,
        );
    }
}

/// Returns the reason of a failed call of a plain service, for the log.
pub(crate) fn call_fault_text(fault: CallFault) -> SmolStr {
    match fault {
        CallFault::Refused => SmolStr::new_static("refuses connections"),
        CallFault::Crashed => SmolStr::new_static("crashed"),
        CallFault::Stalled => SmolStr::new_static("stalled"),
        CallFault::Status(status) => format_smolstr!("answered with status {status}"),
        _ => SmolStr::new_static("broke the connection"),
    }
}
