//! Backend servers that say in their answers that they leave.
//!
//! The store's list of servers says so as well, but an answer reaches an instance that has lost the
//! store.

use jacinthlever_routing::ServerKey;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::EventCode;
use crate::context::Context;
use crate::state::State;

/// Maximum number of servers in one message; the store's list names the others.
const MAX_SHARED: usize = 60;

/// A server that leaves, as instances tell each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Departure {
    server: SmolStr,
    /// Start time of the server that leaves: a restarted one may have its identifier.
    started_ms: Option<u64>,
}

/// Records that a server has said in an answer that it leaves.
pub fn record(cx: &Context, server: ServerKey) {
    if mark(cx, server, "answer") {
        cx.urgent_news.notify_one();
    }
}

/// Returns the servers that leave, for the messages to peers.
pub fn current(state: &State) -> Vec<Departure> {
    let leaving = state.pool.leaving().take(MAX_SHARED);
    leaving
        .map(|entry| Departure {
            server: entry.id.clone(),
            started_ms: entry.started_ms,
        })
        .collect()
}

/// Merges the servers in a message of a peer. The delegate of a zone passes news on at once.
pub fn merge(cx: &Context, departures: &[Departure]) {
    for departure in departures {
        let state = cx.state.borrow();
        let server = state.pool.find(&departure.server, departure.started_ms);
        drop(state);
        let is_news = server.is_some_and(|server| mark(cx, server, "peer"));
        if is_news && cx.state.borrow().members.rank(cx.now()) == 0 {
            cx.urgent_news.notify_one();
        }
    }
}

/// Marks a server as leaving and logs it; returns whether that is new.
fn mark(cx: &Context, server: ServerKey, from: &'static str) -> bool {
    let mut state = cx.state.borrow_mut();
    if !state.pool.mark_leaving(server) {
        return false;
    }
    let id = state.pool.id_of(server);
    drop(state);
    cx.log(
        EventCode::ServerLeaving,
        [("server", id.as_str().into()), ("from", from.into())],
    );
    true
}
