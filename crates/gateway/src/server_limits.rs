//! Request limits that backend servers name in their answers.

use std::time::Duration;

use jacinthlever_routing::{LimitChange, LimitStatement, ServerKey};

use crate::context::Context;
use crate::{DecodeError, EventCode};

/// Records the limit in an answer of a server, or that it names none, to a request that was sent at
/// `sent_at`.
pub fn record(
    cx: &Context,
    server: ServerKey,
    sent_at: Duration,
    limit: &Option<Result<f64, DecodeError>>,
) {
    let rate = match limit {
        None => None,
        Some(Ok(rate)) => Some(*rate),
        Some(Err(error)) => {
            let id = cx.state.borrow().pool.id_of(server);
            let fields = [
                ("server", id.as_str().into()),
                ("cause", error.to_string().into()),
            ];
            return cx.log(EventCode::LimitUnreadable, fields);
        }
    };
    let mut state = cx.state.borrow_mut();
    // No request is served before the store has answered, so its clock is known.
    let Some(stated_ms) = state.store_clock.to_store(sent_at) else {
        return;
    };
    let Some(entry) = state.pool.get_mut(server) else {
        return;
    };
    let statement = LimitStatement { rate, stated_ms };
    let change = entry
        .named_limit
        .record_answer(cx.now(), sent_at, statement);
    drop(state);
    if let Some(change) = change {
        log_change(cx, server, change, "answer");
    }
}

/// Logs that a limit was named or lifted; `from` says how this instance learned of it.
fn log_change(cx: &Context, server: ServerKey, change: LimitChange, from: &'static str) {
    let state = cx.state.borrow();
    let id = state.pool.id_of(server);
    let rate = state.pool.get(server).and_then(|s| s.named_limit.rate());
    drop(state);
    let code = match change {
        LimitChange::Named => EventCode::ServerLimited,
        LimitChange::Lifted => EventCode::ServerUnlimited,
    };
    let fields = [
        ("server", id.as_str().into()),
        ("rate", rate.into()),
        ("from", from.into()),
    ];
    cx.log(code, fields);
}
