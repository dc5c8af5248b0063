//! Request limits that backend servers name in their answers.

use std::time::Duration;

use jacinthlever_routing::{LimitChange, LimitStatement, ServerKey};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::context::Context;
use crate::permits;
use crate::state::State;
use crate::{DecodeError, EventCode};

/// Time for which a statement of a server is repeated to peers, so that a few lost messages do no
/// harm.
const SHARE_PERIOD: Duration = Duration::from_millis(2000);

/// Maximum number of statements in one message.
const MAX_SHARED: usize = 40;

/// What a backend server has said of its limit, as instances tell each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SharedLimit {
    server: SmolStr,
    /// Limit in requests per second; `None` if it was lifted.
    rate: Option<f64>,
    /// Time of the statement by the store's clock, in milliseconds.
    stated_ms: u64,
}

/// Returns the recent statements of servers, for the messages to peers.
pub fn recent(state: &State, now: Duration) -> Vec<SharedLimit> {
    let since = state.store_clock.to_store(now.saturating_sub(SHARE_PERIOD));
    let Some(since) = since else {
        return Vec::new();
    };
    let statements = state.pool.limit_statements(since, MAX_SHARED).into_iter();
    statements
        .map(|(server, statement)| SharedLimit {
            server,
            rate: statement.rate,
            stated_ms: statement.stated_ms,
        })
        .collect()
}

/// Merges the statements in a message of a peer. The delegate of a zone passes changes on at once.
pub fn merge(cx: &Context, limits: &[SharedLimit]) {
    for limit in limits {
        let statement = LimitStatement {
            rate: limit.rate,
            stated_ms: limit.stated_ms,
        };
        let mut state = cx.state.borrow_mut();
        let changed = state.pool.merge_limit(&limit.server, statement);
        drop(state);
        if let Some((server, change)) = changed {
            handle_change(cx, server, change, "peer");
            if cx.state.borrow().members.rank(cx.now()) == 0 {
                cx.urgent_news.notify_one();
            }
        }
    }
}

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
        handle_change(cx, server, change, "answer");
        cx.urgent_news.notify_one();
    }
}

/// Logs that a limit was named or lifted, and reports the earlier sends to a server that has named
/// one; `from` says how this instance learned of it.
fn handle_change(cx: &Context, server: ServerKey, change: LimitChange, from: &'static str) {
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
    if change == LimitChange::Named {
        permits::report_earlier_sends(cx, server);
    }
}
