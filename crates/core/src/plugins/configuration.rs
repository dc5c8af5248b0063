//! Keeps the configuration in force up to date from the table and from peers.

use std::time::Duration;

use jacinthlever_types::{InstanceId, PeerMsg, RowKey, RowsReply, TableRow, VersionedRow};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::plugins::authenticate;
use crate::table_health::{CUT_OFF_AFTER, HealthChange};
use crate::{Core, LogEvent, PlatformOp, PlatformReply, Plugin};

inventory::submit! {
    Plugin { tick: Some(tick), peer: Some(peer), ..Plugin::named("configuration") }
}

/// Key of the row that every edit writes, which serializes concurrent edits.
pub(crate) const HEAD_KEY: &str = "config/head";

/// Name of the object that contains the latest snapshot.
const SNAPSHOT_NAME: &str = "config-snapshot";

/// Minimum interval between two pulls from peers.
const PULL_INTERVAL: Duration = Duration::from_millis(100);

/// The complete configuration, which instances read when they start.
#[derive(Debug, Deserialize, Serialize)]
struct Snapshot {
    revision: u64,
    rows: Vec<VersionedRow>,
}

fn tick(core: &mut Core) {
    // The majority only matters, and is only counted, while the table does not answer.
    let unresponsive = core.table_health.time_since_answer(core.now) >= CUT_OFF_AFTER;
    let reaches_majority = !unresponsive
        || core
            .members
            .reaches_majority(&core.settings.instance, core.now);
    for change in core.table_health.update(reaches_majority, core.now) {
        log_health(core, change);
    }
    if !core.tasks.snapshot_requested {
        core.tasks.snapshot_requested = true;
        read_snapshot(core);
    }
    if core.now >= core.tasks.next_config_read && !core.tasks.config_read_in_progress {
        read_table(core);
    }
}

/// Records that the table service has answered.
pub(crate) fn table_answered(core: &mut Core) {
    if let Some(change) = core.table_health.answered(core.now) {
        log_health(core, change);
    }
}

fn log_health(core: &mut Core, change: HealthChange) {
    let instance = core.settings.instance.clone();
    core.log(match change {
        HealthChange::TableLost(seconds) => LogEvent::TableUnreachable { seconds },
        HealthChange::TableRecovered(seconds) => LogEvent::TableReachable { seconds },
        HealthChange::CutOff => LogEvent::CutOff { instance },
        HealthChange::CutOffEnded => LogEvent::CutOffEnded { instance },
    });
}

fn read_table(core: &mut Core) {
    core.tasks.config_read_in_progress = true;
    core.tasks.next_config_read = core.now + core.settings.poll_interval;
    let prefix = SmolStr::new_static(RowKey::table_prefix());
    let after = core.tasks.config_revision;
    core.start_platform_op(
        PlatformOp::Rows { prefix, after },
        Box::new(|core, result| {
            core.tasks.config_read_in_progress = false;
            if let Ok(PlatformReply::Rows(reply)) = result {
                table_answered(core);
                apply_table_read(core, reply);
            }
        }),
    );
}

fn apply_table_read(core: &mut Core, reply: RowsReply) {
    core.tasks.config_revision = core.tasks.config_revision.max(reply.revision);
    core.config.confirm();
    apply_table_rows(core, reply.rows);
}

/// Applies configuration rows that were read from the table service.
pub(crate) fn apply_table_rows(core: &mut Core, rows: Vec<TableRow>) {
    let head = rows.iter().find(|row| row.key == HEAD_KEY);
    core.config_head = head.map_or(core.config_head, |head| head.version);
    let rows = rows.into_iter().filter_map(|row| {
        let key = RowKey::from_table_key(&row.key)?;
        Some(VersionedRow {
            key,
            version: row.version,
            value: row.value,
        })
    });
    let rows = rows.collect();
    apply(core, rows);
}

/// Applies configuration rows and ends the requests that they no longer permit.
pub(crate) fn apply(core: &mut Core, rows: Vec<VersionedRow>) {
    if rows.is_empty() {
        return;
    }
    let before = core.config.revision();
    for (key, problem) in core.config.apply(rows) {
        core.log(LogEvent::ConfigRowInvalid {
            key,
            problem: SmolStr::new(problem),
        });
    }
    let revision = core.config.revision();
    if revision > before {
        core.log(LogEvent::ConfigApplied { revision });
        authenticate::end_revoked_requests(core);
    }
}

fn read_snapshot(core: &mut Core) {
    let read = PlatformOp::GetObject {
        name: SmolStr::new_static(SNAPSHOT_NAME),
    };
    core.start_platform_op(
        read,
        Box::new(|core, result| {
            let Ok(PlatformReply::Object(Some(value))) = result else {
                return;
            };
            if let Ok(snapshot) = Snapshot::deserialize(value) {
                // The snapshot may be outdated, so it does not confirm the configuration; only the
                // table or a peer can.
                apply(core, snapshot.rows);
                let revision = core.tasks.config_revision.max(snapshot.revision);
                core.tasks.config_revision = revision;
            }
        }),
    );
}

/// Writes a snapshot of the configuration in force, for instances that start later.
pub(crate) fn write_snapshot(core: &mut Core) {
    let rows: Vec<VersionedRow> = core.config.rows().cloned().collect();
    let snapshot = Snapshot {
        revision: core.config.revision(),
        rows,
    };
    if let Ok(value) = serde_json::to_value(&snapshot) {
        let name = SmolStr::new_static(SNAPSHOT_NAME);
        core.start_platform_op(PlatformOp::PutObject { name, value }, Box::new(|_, _| {}));
    }
}

/// Requests the missing rows from a peer if its configuration revision is newer, or if the local
/// configuration is not confirmed yet.
pub(crate) fn pull_if_newer(core: &mut Core, from: &InstanceId, revision: u64) {
    let wanted = revision > core.config.revision() || !core.config.is_confirmed();
    if wanted && core.now >= core.tasks.next_config_pull {
        core.tasks.next_config_pull = core.now + PULL_INTERVAL;
        let after = core.config.revision();
        core.send(from, PeerMsg::ConfigPull { after });
    }
}

/// Sends rows that were just written to the neighbours.
pub(crate) fn push_to_neighbours(core: &mut Core, after: u64) {
    let revision = core.config.revision();
    let rows = core.config.rows_after(after);
    for peer in core.members.neighbours(&core.settings.instance) {
        core.send(
            &peer,
            PeerMsg::ConfigDelta {
                after,
                revision,
                rows: rows.clone(),
            },
        );
    }
}

fn peer(core: &mut Core, from: &InstanceId, msg: PeerMsg) -> Option<PeerMsg> {
    match msg {
        PeerMsg::ConfigPull { after } => {
            if core.config.is_confirmed() {
                let revision = core.config.revision();
                let rows = core.config.rows_after(after);
                core.send(
                    from,
                    PeerMsg::ConfigDelta {
                        after,
                        revision,
                        rows,
                    },
                );
            }
        }
        PeerMsg::ConfigDelta { after, rows, .. } => {
            // If rows are missing in between, the delta would raise the revision past them, so
            // they are pulled instead.
            if after <= core.config.revision() {
                apply(core, rows);
                core.config.confirm();
            } else {
                core.tasks.next_config_pull = core.now;
                pull_if_newer(core, from, after);
            }
        }
        other => return Some(other),
    }
    None
}
