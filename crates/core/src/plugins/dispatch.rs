//! Stage 5: runs the request on backend servers.

use crate::kernel::CallOwner;
use crate::plugins::{model_call, plain_call, scheduling};
use crate::{CallId, CallResult, Core, Flow, Plugin, ReqKey, Stage, Target};

inventory::submit! {
    Plugin { stage: Some((Stage::Dispatch, run)), ..Plugin::named("dispatch") }
}

fn run(core: &mut Core, key: ReqKey) -> Flow {
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    match &request.inbound.target {
        Target::Model { .. } => model_call::start(core, key),
        _ => plain_call::start(core, key),
    }
}

/// Passes the result of a call to the request or probe that started it.
pub(crate) fn call_result(core: &mut Core, call: CallId, result: CallResult) {
    let is_last = !matches!(result, CallResult::FirstToken | CallResult::Cleared);
    let owner = match is_last {
        true => core.calls.remove(&call),
        false => core.calls.get(&call).cloned(),
    };
    match owner {
        None | Some(CallOwner::Detached) => {}
        Some(CallOwner::Probe(shard, engine)) => {
            let load = match result {
                CallResult::Load(load) => Some(load),
                _ => None,
            };
            scheduling::record_probe(core, &shard, &engine, load);
        }
        Some(CallOwner::Request(key)) => request_result(core, key, call, result),
    }
}

fn request_result(core: &mut Core, key: ReqKey, call: CallId, result: CallResult) {
    let Some(request) = core.requests.get(key) else {
        return;
    };
    let Some(ongoing) = request.ongoing_call.filter(|ongoing| ongoing.call == call) else {
        return;
    };
    match &request.inbound.target {
        Target::Model { .. } => model_call::result(core, key, ongoing, result),
        _ => plain_call::result(core, key, result),
    }
}
