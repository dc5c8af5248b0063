//! Answers operators' requests for rows, status, edits and drain.

use serde_json::json;

use crate::plugins::edit;
use crate::{Action, Core, LogEvent, OperatorId, OperatorReply, OperatorRequest};

/// Handles an operator's request.
pub(crate) fn request(core: &mut Core, operator: OperatorId, request: OperatorRequest) {
    match request {
        OperatorRequest::Rows => {
            let body = rows(core);
            reply(core, operator, OperatorReply::Json(body));
        }
        OperatorRequest::Status => {
            let body = status(core);
            reply(core, operator, OperatorReply::Json(body));
        }
        OperatorRequest::Edit { edit, changes } => edit::start(core, operator, edit, changes),
        OperatorRequest::Drain => {
            start_drain(core);
            reply(
                core,
                operator,
                OperatorReply::Json(json!({"draining": true})),
            );
        }
    }
}

/// Sends a reply to an operator.
pub(crate) fn reply(core: &mut Core, operator: OperatorId, reply: OperatorReply) {
    core.push_action(Action::Operator { operator, reply });
}

fn start_drain(core: &mut Core) {
    if !core.draining {
        core.draining = true;
        // Sends the heartbeat at the next tick, so that peers learn of the drain early.
        core.tasks.next_heartbeat = core.now;
        core.tasks.next_members_refresh = core.now;
        let instance = core.settings.instance.clone();
        core.log(LogEvent::DrainStarted { instance });
    }
}

fn rows(core: &Core) -> serde_json::Value {
    let rows: Vec<_> = core
        .config
        .rows()
        .filter(|row| row.value.is_some())
        .collect();
    json!({"revision": core.config.revision(), "rows": rows})
}

fn status(core: &Core) -> serde_json::Value {
    let now = core.now;
    let own = core.status();
    let others = core.members.statuses().map(|(status, last_heartbeat)| {
        let silent_ms = now.saturating_sub(last_heartbeat).as_millis() as u64;
        (status.clone(), silent_ms)
    });
    let instances: Vec<_> = std::iter::once((own, 0))
        .chain(others)
        .map(|(status, silent_ms)| {
            json!({
                "instance": status.instance,
                "active": core.members.is_active(&status.instance),
                "draining": status.draining,
                "revision": status.revision,
                "silent_ms": silent_ms,
                "slots": core.partitions.owned_by(&status.instance).len(),
                "zone": core.directory.get(status.instance.as_str()).map(|entry| &entry.zone),
            })
        })
        .collect();
    let shards: Vec<_> = core
        .scheduler
        .shards
        .iter()
        .map(|(id, shard)| {
            json!({
                "cell": id.to_string(),
                "engines": shard.engines().count(),
                "waiting": shard.waiting(),
                "pressure_percent": shard.pressure(now),
            })
        })
        .collect();
    json!({
        "instance": core.settings.instance,
        "ready": core.is_ready(),
        "running": core.running(),
        "revision": core.config.revision(),
        "lease_valid": core.lease.is_valid(now),
        "held_slots": core.owned_partitions(),
        "table_silent_ms": core.table_health.time_since_answer(now).as_millis() as u64,
        "cut_off": core.table_health.cut_off,
        "instances": instances,
        "cells_kept": shards,
    })
}
