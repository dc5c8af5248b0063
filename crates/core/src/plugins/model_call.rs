//! Runs a model request on its engines: prefill, decode, and retries after failures.

use std::time::Duration;

use jacinthlever_types::{
    Class, Code, EngineFault, KvSource, PeerMsg, ReservationEnd, Run, Verdict,
};
use smol_str::{SmolStr, format_smolstr};

use crate::kernel::CallOwner;
use crate::plugins::{finish, limit, queue};
use crate::request::{CallKind, KvCache, OngoingCall};
use crate::{
    CLEARED_AFTER_TOKENS, Call, CallFault, CallResult, Core, Flow, LogEvent, Reply, ReqKey, Sample,
    Stage,
};

/// Maximum number of engine allocations for one request.
const MAX_ATTEMPTS: u32 = 4;

/// Maximum number of attempts on full engines that do not count towards [`MAX_ATTEMPTS`].
const MAX_FULL_ATTEMPTS: u32 = 8;

/// Time for which a prefill engine certainly retains KV cache that was not imported; engines evict
/// it in less than a second.
const KV_RETENTION: Duration = Duration::from_millis(400);

/// Maximum number of times that a broken stream of one request is resumed on its engine.
const MAX_RESUMES: u32 = 3;

/// Starts the prefill on the reserved engines, or the decode if the KV cache still exists.
pub(crate) fn start(core: &mut Core, key: ReqKey) -> Flow {
    let Some(request) = core.requests.get_mut(key) else {
        return Flow::Done;
    };
    let allocation = request
        .reservation
        .as_ref()
        .and_then(|reservation| reservation.allocation.as_ref());
    let Some(address) = allocation.map(|allocation| allocation.prefill_address.clone()) else {
        return Flow::Wait;
    };
    request.run = Run::MayHaveRun;
    if let Some(kv) = request.kv.clone() {
        return decode(core, key, kv);
    }
    let (caller, attempt) = (request.caller, request.attempt_id());
    start_call(
        core,
        key,
        address,
        Call::Prefill { caller, attempt },
        CallKind::Prefill,
    );
    Flow::Wait
}

fn start_call(core: &mut Core, key: ReqKey, address: SmolStr, request: Call, kind: CallKind) {
    let call = core.call(address, request, CallOwner::Request(key));
    let since = core.now;
    if let Some(request) = core.requests.get_mut(key) {
        request.ongoing_call = Some(OngoingCall { call, kind, since });
    }
}

/// Handles the progress or the end of a call.
pub(crate) fn result(core: &mut Core, key: ReqKey, ongoing: OngoingCall, result: CallResult) {
    match result {
        CallResult::Prefilled {
            kv,
            prompt_tokens,
            cached_tokens,
        } => {
            handle_prefilled(core, key, ongoing, prompt_tokens, cached_tokens);
            if let Some(kv) = retain_kv(core, key, kv) {
                decode(core, key, kv);
            }
        }
        CallResult::FirstToken => handle_first_token(core, key),
        CallResult::Cleared => {
            send_cleared(core, key);
            send_token_rate(core, key);
        }
        CallResult::Decoded { finish, position } => {
            if let Some(request) = core.requests.get_mut(key) {
                request.position = position;
                request.ongoing_call = None;
                let prompt_tokens = request.counted_prompt_tokens.unwrap_or_default();
                let reply = Reply::Finished {
                    finish,
                    prompt_tokens,
                    output_tokens: position,
                };
                finish::answer(core, key, reply);
            }
        }
        CallResult::Failed { fault, position } => {
            handle_failure(core, key, ongoing, fault, position)
        }
        CallResult::Load(_) | CallResult::Plain(_) | CallResult::Cancelled => {}
    }
}

fn handle_prefilled(
    core: &mut Core,
    key: ReqKey,
    ongoing: OngoingCall,
    prompt_tokens: u32,
    cached_tokens: u32,
) {
    let took = core.now.saturating_sub(ongoing.since);
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    if request.counted_prompt_tokens.is_none() {
        request.counted_prompt_tokens = Some(prompt_tokens.saturating_sub(request.position));
    }
    request.unused_prefill = true;
    let Some(reservation) = &request.reservation else {
        return;
    };
    let msg = PeerMsg::Prefilled {
        id: request.id.clone(),
        shard: reservation.shard.clone(),
        cached_tokens,
        took_ms: took.as_millis() as u32,
    };
    let scheduler = reservation.scheduler.clone();
    core.send(&scheduler, msg);
}

/// Stores the handle of the KV cache, in case that the decode engine has no capacity after all.
fn retain_kv(core: &mut Core, key: ReqKey, handle: SmolStr) -> Option<KvCache> {
    let created_at = core.now;
    let request = core.requests.get_mut(key)?;
    let allocation = request.reservation.as_ref()?.allocation.as_ref()?;
    let (engine, address) = (
        allocation.prefill.clone(),
        allocation.prefill_address.clone(),
    );
    request.kv = Some(KvCache {
        engine,
        address,
        handle,
        created_at,
    });
    request.kv.clone()
}

fn decode(core: &mut Core, key: ReqKey, kv: KvCache) -> Flow {
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    let allocation = request
        .reservation
        .as_ref()
        .and_then(|reservation| reservation.allocation.as_ref());
    let Some(allocation) = allocation else {
        return Flow::Wait;
    };

    let address = allocation.decode_address.clone();
    let call = Call::Decode {
        caller: request.caller,
        attempt: request.attempt_id(),
        source: KvSource {
            address: kv.address,
            kv: kv.handle,
        },
        max_tokens: request.max_tokens,
        priority: if request.class == Class::Urgent { 0 } else { 1 },
    };
    start_call(core, key, address, call, CallKind::Decode);
    Flow::Wait
}

fn handle_first_token(core: &mut Core, key: ReqKey) {
    let now = core.now;
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    request.unused_prefill = false;
    request.kv = None;
    let is_first = request.first_token.is_none();
    request.first_token.get_or_insert(now);
    let took = now.saturating_sub(request.arrived);
    let reservation = request
        .reservation
        .as_ref()
        .map(|reservation| (reservation.scheduler.clone(), reservation.shard.clone()));
    let id = request.id.clone();
    if is_first {
        core.measure(key, Sample::FirstToken(took));
    }
    if let Some((scheduler, shard)) = reservation {
        core.send(&scheduler, PeerMsg::Decoding { id, shard });
    }
}

/// Notifies the partition owner that the request is cleared, so that equal requests need not wait
/// for its end.
fn send_cleared(core: &mut Core, key: ReqKey) {
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
    core.send_to_owner(&customer, msg);
}

/// Reports the token rate of the decode engine to the scheduler, long before the answer ends.
fn send_token_rate(core: &mut Core, key: ReqKey) {
    let now = core.now;
    let Some(request) = core.requests.get(key) else {
        return;
    };
    // After a retry the tokens come from several engines.
    let Some(since) = request.first_token.filter(|_| request.attempt == 1) else {
        return;
    };
    let Some(reservation) = &request.reservation else {
        return;
    };
    let msg = PeerMsg::TokenRate {
        id: request.id.clone(),
        shard: reservation.shard.clone(),
        // The time starts at the first token, so that one is not counted.
        tokens: CLEARED_AFTER_TOKENS - 1,
        took_ms: now.saturating_sub(since).as_millis() as u32,
    };
    let scheduler = reservation.scheduler.clone();
    core.send(&scheduler, msg);
}

fn handle_failure(
    core: &mut Core,
    key: ReqKey,
    ongoing: OngoingCall,
    fault: CallFault,
    position: u32,
) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    request.ongoing_call = None;
    request.position = request.position.max(position);
    let is_decode = ongoing.kind != CallKind::Prefill;
    if is_decode && fault == CallFault::Broken && request.resumes < MAX_RESUMES {
        return resume(core, key);
    }
    let fault = engine_fault(ongoing.kind, fault);
    let kv_retained = fault == EngineFault::Full && is_decode && is_kv_retained(core, key);
    if !kv_retained {
        count_wasted_prefill(core, key);
    }
    if kv_retained {
        // Not cancelled, as that would free the KV cache.
    } else if fault != EngineFault::Crashed && fault != EngineFault::Down {
        cancel(core, key);
    }
    avoid_engines(core, key, is_decode, fault);
    let end = match is_decode {
        true => ReservationEnd::DecodeFailed(fault),
        false => ReservationEnd::PrefillFailed(fault),
    };
    queue::release(core, key, end);
    retry(core, key, fault);
}

/// Whether the prefill engine will still have the KV cache when another decode engine imports it.
fn is_kv_retained(core: &mut Core, key: ReqKey) -> bool {
    let now = core.now;
    let Some(request) = core.requests.get_mut(key) else {
        return false;
    };
    let kv_retained = request
        .kv
        .as_ref()
        .is_some_and(|kv| now < kv.created_at + KV_RETENTION);
    if !kv_retained {
        request.kv = None;
    }
    kv_retained
}

/// Excludes the engines that may have failed from further attempts of the request.
fn avoid_engines(core: &mut Core, key: ReqKey, is_decode: bool, fault: EngineFault) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let reservation = request.reservation.as_ref();
    let Some(allocation) = reservation.and_then(|reservation| reservation.allocation.as_ref())
    else {
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

/// Resumes a broken stream on its engine, which still accepts connections.
fn resume(core: &mut Core, key: ReqKey) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    request.resumes += 1;
    let allocation = request
        .reservation
        .as_ref()
        .and_then(|reservation| reservation.allocation.as_ref());
    let Some(address) = allocation.map(|allocation| allocation.decode_address.clone()) else {
        return;
    };
    let (caller, attempt) = (request.caller, request.attempt_id());
    start_call(
        core,
        key,
        address,
        Call::Resume { caller, attempt },
        CallKind::Resume,
    );
}

/// Retries the request from the tokens that the caller already has, if the limits permit it.
fn retry(core: &mut Core, key: ReqKey, fault: EngineFault) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let id = request.id.clone();
    let crashed = fault == EngineFault::Crashed;
    request.suspect |= crashed;
    if fault == EngineFault::Full {
        request.full_attempts += 1;
    }
    let is_free_retry = fault == EngineFault::Full && request.full_attempts <= MAX_FULL_ATTEMPTS;
    let attempts = request
        .attempt
        .saturating_sub(request.full_attempts.min(MAX_FULL_ATTEMPTS));
    if attempts >= MAX_ATTEMPTS || !(is_free_retry || core.retries.spend()) {
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
        return limit::readmit_after_crash(core, key);
    }
    if let Some(request) = core.requests.get_mut(key) {
        request.stage = Stage::Queue;
    }
    core.advance(key);
}

/// Time that a request whose engine crashed may wait for readmission.
const READMIT_WAIT: Duration = Duration::from_secs(5);

fn extend_deadline(core: &mut Core, key: ReqKey) {
    let min_deadline = core.now + READMIT_WAIT;
    if let Some(request) = core.requests.get_mut(key) {
        request.deadline = request.deadline.max(min_deadline);
    }
}

fn engine_fault(kind: CallKind, fault: CallFault) -> EngineFault {
    match fault {
        // An engine that refuses connections while it runs a request has crashed.
        CallFault::Refused if kind == CallKind::Resume => EngineFault::Crashed,
        CallFault::Refused => EngineFault::Down,
        CallFault::Crashed => EngineFault::Crashed,
        CallFault::Stalled => EngineFault::Stalled,
        CallFault::Full => EngineFault::Full,
        CallFault::KvLost => EngineFault::KvLost,
        CallFault::Broken | CallFault::WrongResponse | CallFault::Status(_) => EngineFault::Broken,
    }
}

/// Counts the tokens of a prefill whose result was not used by a decode.
pub(crate) fn count_wasted_prefill(core: &mut Core, key: ReqKey) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    request.kv = None;
    if std::mem::take(&mut request.unused_prefill) {
        let tokens = request.prefill_tokens();
        core.measure(key, Sample::WastedPrefill(tokens));
    }
}

/// Cancels the current attempt on both of its engines, which frees their memory.
pub(crate) fn cancel(core: &mut Core, key: ReqKey) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    request.ongoing_call = None;
    let attempt = request.attempt_id();
    let reservation = request.reservation.as_ref();
    let Some(allocation) = reservation.and_then(|reservation| reservation.allocation.clone())
    else {
        return;
    };
    for address in [allocation.prefill_address, allocation.decode_address] {
        core.call(
            address,
            Call::Cancel {
                attempt: attempt.clone(),
            },
            CallOwner::Detached,
        );
    }
}

/// Returns why a call of a plain service failed, for log lines.
pub(crate) fn call_fault_text(fault: CallFault) -> SmolStr {
    match fault {
        CallFault::Refused => SmolStr::new_static("refuses connections"),
        CallFault::Crashed => SmolStr::new_static("crashed"),
        CallFault::Stalled => SmolStr::new_static("stalled"),
        CallFault::Status(status) => format_smolstr!("answered with status {status}"),
        _ => SmolStr::new_static("broke the connection"),
    }
}
