//! Takes retries from the budget of a service and logs them.

use std::time::Duration;

use jacinthlever_routing::BudgetUse;

use crate::EventCode;
use crate::caller_request::CallerRequest;
use crate::context::Context;

/// Takes a retry of a request from the budget; returns `false` if the budget is used up.
pub fn take(cx: &Context, req: &CallerRequest) -> bool {
    let settings = cx.settings();
    let now = cx.now();
    let (is_granted, used, instances) = {
        let mut state = cx.state.borrow_mut();
        let budget = state.retry_budget(&settings, &req.service);
        let is_granted = budget.try_spend(now);
        let used = budget.current_use(now);
        (is_granted, used, state.members.fleet_size(now))
    };
    cx.metrics.count_retry(&req.service, is_granted);
    let code = match is_granted {
        true => EventCode::RetryTaken,
        false => EventCode::RetryDenied,
    };
    log(cx, req, code, now, &used, instances);
    is_granted
}

fn log(
    cx: &Context,
    req: &CallerRequest,
    code: EventCode,
    now: Duration,
    used: &BudgetUse,
    instances: usize,
) {
    cx.log(
        code,
        [
            ("request", req.headers.request_id.as_str().into()),
            ("service", req.service.as_str().into()),
            ("sends", req.sends.get().into()),
            ("used", used.retries.into()),
            ("usable", round_to_tenths(used.usable).into()),
            ("requests", used.requests.into()),
            ("share", round_to_tenths(used.allowance).into()),
            ("instances", instances.into()),
            ("uptime_ms", (now.as_millis() as u64).into()),
        ],
    );
}

fn round_to_tenths(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
