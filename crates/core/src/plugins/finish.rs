//! Ends a request: one final answer, and everything held for it is given back.

use std::time::Duration;

use jacinthlever_types::{Code, ReservationEnd, Run, Verdict};

use crate::kernel::{CallOwner, verdict_for};
use crate::plugins::{claim, limit, model_call, plain_call, queue};
use crate::{CallerId, Core, LogEvent, Reply, ReqKey, Sample};

/// Answers a request that has got its result.
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

/// Gives a request up, at once, with what its caller must know.
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

/// Gives up the request of a caller that went away.
pub(crate) fn caller_gone(core: &mut Core, caller: CallerId, position: u32) {
    let Some(key) = core.by_caller.get(&caller).copied() else {
        return;
    };
    if must_see_through(core, key) {
        // The outcome of a call that may not be repeated is still recorded.
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

/// Whether a claimed call is under way, whose outcome an equal call will ask for.
fn must_see_through(core: &Core, key: ReqKey) -> bool {
    core.requests.get(key).is_some_and(|request| {
        request.calling.is_some() && request.claim.as_ref().is_some_and(|claim| claim.granted)
    })
}

fn end(core: &mut Core, key: ReqKey, answered: bool) {
    plain_call::abandoned(core, key);
    model_call::waste(core, key);
    // What a decode under way has used is only known while it is.
    limit::settle(core, key, answered);
    let calling = core.requests.get(key).and_then(|request| request.calling);
    if let Some(calling) = calling {
        model_call::cancel(core, key);
        core.calls.insert(calling.call, CallOwner::Nobody);
    }
    queue::release(core, key, ReservationEnd::Done);
    if core
        .requests
        .get(key)
        .is_some_and(|request| request.run == Run::NotRun)
    {
        claim::conclude(core, key, None);
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
    let since = request.first_token;
    let gaps = request.position.saturating_sub(1);
    if tokens > 0 {
        core.measure(key, Sample::Tokens(tokens));
    }
    if let Some(since) = since.filter(|_| gaps > 0) {
        let between: Duration = core.now.saturating_sub(since) / gaps;
        core.measure(key, Sample::BetweenTokens(between));
    }
}
