//! Applies operators' edits of configuration rows; see `docs/design/configuration.md`.

use jacinthlever_types::{
    Condition, Conflict, RowKey, Transaction, TransactionReply, VersionedRow, Write,
};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use crate::plugins::configuration::HEAD_KEY;
use crate::plugins::{configuration, operator};
use crate::{Core, OperatorId, OperatorReply, PlatformOp, PlatformReply, RowChange};

/// Prefix of the rows that record edits, which makes a repeated edit idempotent.
const EDIT_PREFIX: &str = "edit/";

/// Maximum number of tries of one edit, as concurrent edits and lost replies make tries fail.
const MAX_TRIES: u32 = 8;

/// An edit in progress.
#[derive(Clone, Debug)]
struct Edit {
    operator: OperatorId,
    id: SmolStr,
    changes: Vec<RowChange>,
    tries: u32,
}

/// Starts an edit.
pub(crate) fn start(core: &mut Core, operator: OperatorId, id: SmolStr, changes: Vec<RowChange>) {
    attempt(
        core,
        Edit {
            operator,
            id,
            changes,
            tries: MAX_TRIES,
        },
    );
}

/// Reads the latest rows first, so that the edit is checked against the state it will change.
fn attempt(core: &mut Core, edit: Edit) {
    if edit.tries == 0 {
        let message = "the table service did not settle the edit; send it again with the same id";
        let reply = OperatorReply::Unavailable(SmolStr::new_static(message));
        return operator::reply(core, edit.operator, reply);
    }
    let edit = Edit {
        tries: edit.tries - 1,
        ..edit
    };
    let prefix = SmolStr::new_static(RowKey::table_prefix());
    let after = core.config.revision();
    core.start_platform_op(
        PlatformOp::Rows { prefix, after },
        Box::new(move |core, result| match result {
            Ok(PlatformReply::Rows(reply)) => {
                configuration::table_answered(core);
                configuration::apply_table_rows(core, reply.rows);
                check(core, edit);
            }
            _ => attempt(core, edit),
        }),
    );
}

fn check(core: &mut Core, edit: Edit) {
    let before = core.config.declarations();
    let mut after = before.clone();
    for change in &edit.changes {
        match &change.value {
            Some(value) => after.rows.insert(change.key.clone(), value.clone()),
            None => after.rows.remove(&change.key),
        };
    }
    let known = before.check();
    let problems: Vec<String> = after
        .check()
        .into_iter()
        .filter(|error| !known.contains(error))
        .map(|error| error.to_string())
        .collect();
    if !problems.is_empty() {
        return operator::reply(core, edit.operator, OperatorReply::Invalid(problems));
    }
    write(core, edit);
}

fn write(core: &mut Core, edit: Edit) {
    let edit_row = format_smolstr!("{EDIT_PREFIX}{}", edit.id);
    let mut transaction = Transaction {
        conditions: vec![
            Condition {
                key: edit_row.clone(),
                version: 0,
            },
            Condition {
                key: SmolStr::new_static(HEAD_KEY),
                version: core.config_head,
            },
        ],
        writes: vec![
            Write {
                key: edit_row,
                value: Some(json!({})),
            },
            Write {
                key: SmolStr::new_static(HEAD_KEY),
                value: Some(json!({"edit": edit.id})),
            },
        ],
    };
    for change in &edit.changes {
        let key = change.key.table_key();
        if let Some(version) = change.version {
            transaction.conditions.push(Condition {
                key: key.clone(),
                version,
            });
        }
        transaction.writes.push(Write {
            key,
            value: change.value.clone(),
        });
    }
    core.transact(
        transaction,
        Box::new(move |core, result| match result {
            Ok(PlatformReply::Transaction(TransactionReply::Committed(version))) => {
                configuration::table_answered(core);
                apply_commit(core, &edit, version);
            }
            Ok(PlatformReply::Transaction(TransactionReply::Conflicts(conflicts))) => {
                configuration::table_answered(core);
                handle_conflicts(core, edit, conflicts);
            }
            _ => attempt(core, edit),
        }),
    );
}

fn apply_commit(core: &mut Core, edit: &Edit, version: u64) {
    let before = core.config.revision();
    core.config_head = version;
    let rows = edit.changes.iter().map(|change| VersionedRow {
        key: change.key.clone(),
        version,
        value: change.value.clone(),
    });
    let rows = rows.collect();
    configuration::apply(core, rows);
    configuration::push_to_neighbours(core, before);
    configuration::write_snapshot(core);
    reply_committed(core, edit, version);
}

fn reply_committed(core: &mut Core, edit: &Edit, version: u64) {
    let body = json!({"edit": edit.id, "revision": version});
    operator::reply(core, edit.operator, OperatorReply::Json(body));
}

fn handle_conflicts(core: &mut Core, edit: Edit, conflicts: Vec<Conflict>) {
    let edit_row = format_smolstr!("{EDIT_PREFIX}{}", edit.id);
    if let Some(earlier) = conflicts.iter().find(|conflict| conflict.key == edit_row) {
        // An earlier try took effect, but its reply was lost.
        core.tasks.next_config_read = core.now;
        return reply_committed(core, &edit, earlier.version);
    }
    if let Some(head) = conflicts.iter().find(|conflict| conflict.key == HEAD_KEY) {
        core.config_head = head.version;
    }
    let rows: Vec<_> = conflicts
        .iter()
        .filter_map(|conflict| RowKey::from_table_key(&conflict.key).map(|key| (key, conflict)))
        .map(|(key, conflict)| {
            let change = edit.changes.iter().find(|change| change.key == key);
            json!({
                "row": key,
                "yours": change.and_then(|change| change.value.clone()),
                "your_version": change.and_then(|change| change.version),
                "theirs": conflict.value,
                "their_version": conflict.version,
            })
        })
        .collect();
    if rows.is_empty() {
        // Only the head row conflicts, as another edit was committed in between; this edit is
        // checked and sent again.
        return attempt(core, edit);
    }
    operator::reply(
        core,
        edit.operator,
        OperatorReply::Conflict(json!({"conflicts": rows})),
    );
}
