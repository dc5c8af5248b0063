//! Ends a request: sends its single final answer and releases everything reserved for it.

use std::time::Duration;

use jacinthlever_types::{Code, ReservationEnd, Run, Verdict};

use crate::kernel::{CallOwner, verdict_for};
use crate::plugins::{idempotency, limit, model_call, plain_call, queue};
use crate::{CallerId, Core, LogEvent, Reply, ReqKey, Sample};

/// Ends a request with its result.
pub(crate) fn answer(core: &mut Core, key: ReqKey, reply: Reply) {
    let Some(request) = core.requests.get(key) else {
        return;
    };
    let caller = request.caller;
    measure_answer(core, key);
    core.measure(key, Sample::Ended(""));
    core.reply(caller, reply);
    end(core, key, true);
}

/// Ends a request immediately with a verdict for the caller.
pub(crate) fn refuse(core: &mut Core, key: ReqKey, verdict: Verdict) {
    let Some(request) = core.requests.get(key) else {
        return;
    };
    let (caller, id) = (request.caller, request.id.clone());
    let verdict = verdict_for(request, verdict);
    core.log(LogEvent::RequestRefused {
        id,
        verdict: verdict.clone(),
    });
    core.measure(key, Sample::Ended(verdict.code.as_str()));
    core.reply(caller, Reply::Refused(verdict));
    end(core, key, false);
}

/// Ends the request of a caller that disconnected after receiving `position` tokens.
pub(crate) fn caller_disconnected(core: &mut Core, caller: CallerId, position: u32) {
    let Some(key) = core.by_caller.get(&caller).copied() else {
        return;
    };
    if must_complete(core, key) {
        // The call continues, as the outcome of a call that may not be repeated must be recorded.
        core.by_caller.remove(&caller);
        return;
    }
    if let Some(request) = core.requests.get_mut(key) {
        request.position = request.position.max(position);
        request.position_known = true;
    }
    core.measure(key, Sample::Ended(Code::CallerGone.as_str()));
    end(core, key, false);
}

/// Whether a call with an idempotency record is in progress, whose outcome an equal call will need.
fn must_complete(core: &Core, key: ReqKey) -> bool {
    core.requests.get(key).is_some_and(|request| {
        request.ongoing_call.is_some()
            && request
                .idempotency
                .as_ref()
                .is_some_and(|state| state.granted)
    })
}

fn end(core: &mut Core, key: ReqKey, answered: bool) {
    plain_call::release_worker(core, key);
    model_call::count_wasted_prefill(core, key);
    // Before the cancel below, as the tokens used depend on whether a decode is in progress.
    limit::settle(core, key, answered);
    let ongoing = core
        .requests
        .get(key)
        .and_then(|request| request.ongoing_call);
    if let Some(ongoing) = ongoing {
        model_call::cancel(core, key);
        core.calls.insert(ongoing.call, CallOwner::Detached);
    }
    queue::release(core, key, ReservationEnd::Done);
    if core
        .requests
        .get(key)
        .is_some_and(|request| request.run == Run::NotRun)
    {
        idempotency::conclude(core, key, None);
    }
    let Some(request) = core.requests.remove(key) else {
        return;
    };
    core.by_number.remove(&request.id.number);
    core.by_caller.remove(&request.caller);
}

fn measure_answer(core: &mut Core, key: ReqKey) {
    let Some(request) = core.requests.get(key) else {
        return;
    };
    let tokens = request.used_tokens();
    let first_token_at = request.first_token;
    let gaps = request.position.saturating_sub(1);
    if tokens > 0 {
        core.measure(key, Sample::Tokens(tokens));
    }
    if let Some(first_token_at) = first_token_at.filter(|_| gaps > 0) {
        let between: Duration = core.now.saturating_sub(first_token_at) / gaps;
        core.measure(key, Sample::BetweenTokens(between));
    }
}
