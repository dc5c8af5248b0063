//! Backend servers that are cold: they have started lately and tolerate few requests.

use std::time::Duration;

use jacinthlever_routing::{ColdChange, ColdSource, ServerKey};

use crate::EventCode;
use crate::context::Context;

/// Records what a registration, the row with version `row`, states of its server.
pub fn record_registration(cx: &Context, server: ServerKey, row: u64) {
    let now = cx.now();
    if let Some(entry) = cx.state.borrow_mut().pool.get_mut(server) {
        let cold_for = entry.entry.cold_for;
        entry.coldness.record_registration(now, cold_for, row);
    }
    log_changes(cx);
}

/// Records what an answer of a server to a request that was sent at `sent_at` states, if anything.
pub fn record_answer(
    cx: &Context,
    server: ServerKey,
    sent_at: Duration,
    cold_for: Option<Duration>,
) {
    let Some(cold_for) = cold_for else {
        return;
    };
    let now = cx.now();
    if let Some(entry) = cx.state.borrow_mut().pool.get_mut(server) {
        entry.coldness.record_answer(now, sent_at, cold_for);
    }
    log_changes(cx);
}

/// Logs which servers have become cold or warm, if their services have a limit for cold servers.
pub fn log_changes(cx: &Context) {
    let changes = cx.state.borrow_mut().pool.take_cold_changes(cx.now());
    for (server, change) in changes {
        let name = ("server", server.as_str().into());
        match change {
            ColdChange::Cold(time, source) => {
                let for_ms = time.as_millis() as u64;
                let from = match source {
                    ColdSource::Registration => "registration",
                    ColdSource::Answer => "answer",
                };
                let fields = [name, ("for_ms", for_ms.into()), ("from", from.into())];
                cx.log(EventCode::ServerCold, fields);
            }
            ColdChange::Warm => cx.log(EventCode::ServerWarm, [name]),
        }
    }
}
