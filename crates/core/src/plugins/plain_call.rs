//! Runs a call of a plain service; a call that is not repeatable is sent at most once.

use std::sync::Arc;
use std::time::Duration;

use jacinthlever_types::{Code, EngineId, RecordedOutcome, RouteKind, Run, Verdict};

use crate::kernel::CallOwner;
use crate::plugins::{finish, idempotency, model_call};
use crate::request::{CallKind, OngoingCall};
use crate::{
    Call, CallFault, CallResult, Core, Flow, LogEvent, PlainResponse, Reply, ReqKey, Target,
};

/// Maximum number of workers that one call is tried on.
const MAX_ATTEMPTS: u32 = 3;

/// Maximum size of a body that is stored in an idempotency record.
const MAX_RECORDED_BODY_BYTES: usize = 16 * 1024;

/// Retry delay sent to a caller when no worker accepts calls.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Selects a worker and calls it.
pub(crate) fn start(core: &mut Core, key: ReqKey) -> Flow {
    let random = core.random();
    let Some(request) = core.requests.get_mut(key) else {
        return Flow::Done;
    };
    let route = request.route.as_ref().and_then(|id| core.config.route(id));
    let Some(RouteKind::Plain { service, .. }) = route.map(|route| route.kind.clone()) else {
        return Flow::Refuse(Verdict::not_run(
            Code::RouteUnknown,
            "the route was removed",
        ));
    };
    let zone = &core.settings.zone;
    let (directory, avoid) = (&core.directory, &request.avoid);
    let chosen = core
        .workers
        .choose(directory, &service, avoid, zone, random, core.now);
    let Some(worker) = chosen else {
        return Flow::Refuse(no_worker(request.run, &service));
    };
    let (worker, address) = (worker.id.clone(), worker.address.clone());
    request.run_before_call = request.run;
    request.run = Run::MayHaveRun;
    request.attempt += 1;
    request.avoid.push(worker.clone());
    let (caller, attempt) = (request.caller, request.attempt_id());
    core.workers.call_started(&worker);
    let call = core.call(
        address,
        Call::Plain { caller, attempt },
        CallOwner::Request(key),
    );
    let since = core.now;
    if let Some(request) = core.requests.get_mut(key) {
        request.ongoing_call = Some(OngoingCall {
            call,
            kind: CallKind::Plain,
            since,
        });
    }
    Flow::Wait
}

/// Handles the end of a call.
pub(crate) fn result(core: &mut Core, key: ReqKey, result: CallResult) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    request.ongoing_call = None;
    let worker = request.avoid.last().cloned().unwrap_or_default();
    match result {
        CallResult::Plain(response) => {
            record_call_end(core, &worker, None);
            idempotency::conclude(core, key, Some(recorded_outcome(&response)));
            finish::answer(core, key, Reply::Plain(response));
        }
        CallResult::Failed { fault, .. } => {
            record_call_end(core, &worker, Some(fault));
            handle_failure(core, key, fault);
        }
        _ => {}
    }
}

/// Counts the call in progress, if any, as ended at its worker without a fault.
///
/// Called when the request ends.
pub(crate) fn release_worker(core: &mut Core, key: ReqKey) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let is_plain = request
        .ongoing_call
        .is_some_and(|ongoing| ongoing.kind == CallKind::Plain);
    if let Some(worker) = request.avoid.last().cloned().filter(|_| is_plain) {
        let now = core.now;
        core.workers.call_ended(&worker, true, now);
    }
}

fn record_call_end(core: &mut Core, worker: &smol_str::SmolStr, fault: Option<CallFault>) {
    let now = core.now;
    if !core.workers.call_ended(worker, fault.is_none(), now) {
        return;
    }
    let engine = EngineId(worker.clone());
    core.log(match fault {
        Some(fault) => LogEvent::EngineFailed {
            engine,
            fault: model_call::call_fault_text(fault),
        },
        None => LogEvent::EngineRecovered { engine },
    });
}

fn handle_failure(core: &mut Core, key: ReqKey, fault: CallFault) {
    let unsent = fault == CallFault::Refused;
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    if unsent {
        request.run = request.run_before_call;
    }
    let may_repeat = unsent || is_repeatable(core, key);
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let id = request.id.clone();
    if may_repeat && request.attempt < MAX_ATTEMPTS && core.retries.spend() {
        let reason = model_call::call_fault_text(fault);
        core.log(LogEvent::RequestRetried { id, reason });
        let flow = start(core, key);
        if let Flow::Refuse(verdict) = flow {
            finish::refuse(core, key, verdict);
        }
        return;
    }
    let run = request.run;
    let message = match fault {
        CallFault::Stalled => "the service did not answer in time",
        CallFault::Refused => "the service refuses connections",
        _ => "the service broke the connection",
    };
    let verdict = Verdict {
        run,
        ..Verdict::not_run(Code::BackendFailed, message)
    };
    finish::refuse(core, key, verdict);
}

fn is_repeatable(core: &Core, key: ReqKey) -> bool {
    let Some(request) = core.requests.get(key) else {
        return false;
    };
    let safe = matches!(request.inbound.target, Target::Plain { safe: true, .. });
    let route = request.route.as_ref().and_then(|id| core.config.route(id));
    let repeatable = route.is_some_and(|route| {
        matches!(
            route.kind,
            RouteKind::Plain {
                repeatable: true,
                ..
            }
        )
    });
    safe || repeatable
}

fn no_worker(run: Run, service: &str) -> Verdict {
    let message = format!("no worker of service {service} accepts calls");
    let verdict = Verdict::not_run(Code::BackendMissing, message).retry_after(RETRY_AFTER);
    Verdict { run, ..verdict }
}

fn recorded_outcome(response: &Arc<PlainResponse>) -> RecordedOutcome {
    let fits = response.body.len() <= MAX_RECORDED_BODY_BYTES;
    let text = fits
        .then(|| String::from_utf8(response.body.clone()).ok())
        .flatten();
    RecordedOutcome {
        status: response.status,
        content_type: response.content_type.clone(),
        body: text,
    }
}
