//! Stage 2: charges the customer's limit at the owner of its partition.

use std::time::Duration;

use jacinthlever_types::{
    ChargeDenied, Code, CustomerId, InstanceId, PeerMsg, RequestId, RouteKind, Run, Verdict,
};

use crate::request::Charge;
use crate::{Core, Flow, LogEvent, Plugin, ReqKey, Stage, Target};

inventory::submit! {
    Plugin {
        stage: Some((Stage::Limit, run)),
        wait: Some(wait),
        peer: Some(peer),
        ..Plugin::named("limit")
    }
}

/// Interval between charge messages for a request, while the partition owner has not answered or has
/// denied the charge only for now.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

fn run(core: &mut Core, key: ReqKey) -> Flow {
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    let is_model = matches!(request.inbound.target, Target::Model { .. });
    let customer = match request.customer.clone() {
        Some(customer) => customer,
        // Open model routes have no limit, but crashes are counted for them too.
        None if is_model => CustomerId::anonymous(request.inbound.fingerprint),
        None => return Flow::Next,
    };
    let tokens = match is_model {
        true => request.prompt_tokens + u64::from(request.max_tokens),
        false => call_tokens(core, key),
    };
    let charge = Charge {
        customer,
        tokens,
        confirmed: false,
        retry_at: core.now,
        last_denial: None,
    };
    if let Some(request) = core.requests.get_mut(key) {
        request.charge = Some(charge);
    }
    send_charge(core, key);
    Flow::Wait
}

fn wait(core: &mut Core, key: ReqKey) -> Flow {
    let now = core.now;
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    let Some(charge) = &request.charge else {
        return Flow::Wait;
    };
    if now >= request.deadline {
        let unavailable = || {
            Verdict::not_run(
                Code::LimitUnavailable,
                "the instance that owns the customer's limit did not answer in time",
            )
            .retry_after(Duration::from_secs(1))
        };
        return Flow::Refuse(charge.last_denial.clone().unwrap_or_else(unavailable));
    }
    if now >= charge.retry_at {
        send_charge(core, key);
    }
    Flow::Wait
}

fn send_charge(core: &mut Core, key: ReqKey) {
    let retry_at = core.now + RETRY_INTERVAL;
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let Some(charge) = &mut request.charge else {
        return;
    };
    charge.retry_at = retry_at;
    let customer = charge.customer.clone();
    let msg = PeerMsg::Charge {
        id: request.id.clone(),
        customer: charge.customer.clone(),
        tokens: charge.tokens,
        fingerprint: request.inbound.fingerprint,
    };
    core.send_to_owner(&customer, msg);
}

fn peer(core: &mut Core, _from: &InstanceId, msg: PeerMsg) -> Option<PeerMsg> {
    match msg {
        PeerMsg::Charged { id, denied } => {
            handle_charge_reply(core, &id, denied);
            None
        }
        other => Some(other),
    }
}

fn handle_charge_reply(core: &mut Core, id: &RequestId, denied: Option<ChargeDenied>) {
    let Some(key) = core.find(id) else { return };
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let Some(charge) = request
        .charge
        .as_mut()
        .filter(|_| request.stage == Stage::Limit)
    else {
        return;
    };
    let Some(denied) = denied else {
        charge.confirmed = true;
        return core.resume(key);
    };
    match denied {
        ChargeDenied::NotOwner => {}
        ChargeDenied::NotCleared => {
            let message = "identical requests are running and have not been cleared of crashing \
                           backend servers";
            let verdict = Verdict::not_run(Code::CrashSuspect, message);
            charge.last_denial = Some(verdict.retry_after(Duration::from_secs(1)));
        }
        ChargeDenied::CrashSuspect => {
            core.log(LogEvent::RequestCondemned { id: id.clone() });
            refuse(core, key, quarantined_verdict());
        }
        ChargeDenied::OverLimit {
            retry_after_ms,
            recovering,
        } => {
            let wait = retry_after_ms.map(|ms| Duration::from_millis(u64::from(ms)));
            let verdict = over_limit_verdict(charge.tokens, wait);
            match wait {
                Some(wait) if recovering && core.now + wait < request.deadline => {
                    charge.retry_at = core.now + wait;
                    charge.last_denial = Some(verdict);
                }
                _ => refuse(core, key, verdict),
            }
        }
    }
}

/// Reports that a backend server crashed while it ran the request, and asks for readmission.
///
/// The partition owner gets both messages in order, so it counts the crash before it decides.
pub(crate) fn readmit_after_crash(core: &mut Core, key: ReqKey) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    request.stage = Stage::Limit;
    let Some(charge) = &mut request.charge else {
        return;
    };
    charge.confirmed = false;
    let customer = charge.customer.clone();
    let msg = PeerMsg::Crash {
        id: request.id.clone(),
        customer: customer.clone(),
        fingerprint: request.inbound.fingerprint,
    };
    core.send_to_owner(&customer, msg);
    send_charge(core, key);
}

fn refuse(core: &mut Core, key: ReqKey, verdict: Verdict) {
    crate::plugins::finish::refuse(core, key, verdict);
}

fn quarantined_verdict() -> Verdict {
    let message = "requests identical to this one have crashed two backend servers";
    Verdict::not_run(Code::CrashSuspect, message)
}

fn over_limit_verdict(tokens: u64, wait: Option<Duration>) -> Verdict {
    match wait {
        Some(wait) => {
            let message = "the customer's rate limit does not admit the request now";
            Verdict::not_run(Code::RateLimited, message).retry_after(wait)
        }
        None => {
            let message = format!("the request can use {tokens} tokens, more than the burst");
            Verdict::not_run(Code::RateLimited, message)
        }
    }
}

fn call_tokens(core: &Core, key: ReqKey) -> u64 {
    let route = core
        .requests
        .get(key)
        .and_then(|r| core.config.route(r.route.as_ref()?));
    match route.map(|route| &route.kind) {
        Some(RouteKind::Plain { call_tokens, .. }) => *call_tokens,
        _ => 0,
    }
}

/// Settles the charge of a request that ends.
///
/// `cleared` says whether the request was answered, so that equal requests need not wait.
pub(crate) fn settle(core: &mut Core, key: ReqKey, cleared: bool) {
    let Some(request) = core.requests.get_mut(key) else {
        return;
    };
    let Some(charge) = request.charge.take() else {
        return;
    };
    let plain = matches!(request.inbound.target, Target::Plain { .. });
    let tokens = match (plain, request.run) {
        (true, Run::MayHaveRun) => charge.tokens,
        _ => request.used_tokens(),
    };
    let msg = PeerMsg::SettleCharge {
        id: request.id.clone(),
        customer: charge.customer.clone(),
        fingerprint: request.inbound.fingerprint,
        tokens,
        cleared,
    };
    core.send_to_owner(&charge.customer, msg);
}
