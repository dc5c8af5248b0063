//! Runs the commands.

use std::path::Path;
use std::time::Duration;

use jacinthlever_client::{HttpClient, Timeouts};
use jacinthlever_types::{KeyHash, RowKey, RowKind, VersionedRow};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::options::{Command, Keys, Options, Rows};
use crate::output::{Failure, table};
use crate::plan::{self, Change};
use crate::target::{Target, random_text};
use crate::{declared, in_force};

/// Seconds to wait until the edit of a single row is in force.
const ROW_WAIT: u64 = 10;

/// Hexadecimal digits of a key's hash that are printed.
const SHOWN_HASH: usize = 16;

/// Runs the command of the options.
///
/// # Errors
/// Each failure has an exit code; see [`Failure::code`].
pub fn run(options: Options) -> Result<(), Failure> {
    let json = options.json;
    match &options.command {
        Command::Check(folder) => check(folder, json),
        Command::Where { address, key } => where_to(address, key.as_deref()),
        command => with_target(&Target::new(&options)?, command, json),
    }
}

fn with_target(target: &Target, command: &Command, json: bool) -> Result<(), Failure> {
    match command {
        Command::Plan(folder) => show_plan(&read_plan(target, folder)?, json),
        Command::Apply { folder, wait } => apply(target, folder, *wait, json),
        Command::Rows(rows) => run_rows(target, rows, json),
        Command::Keys(keys) => run_keys(target, keys, json),
        Command::Status => status(target, json),
        Command::Drain => {
            print_json(&target.drain()?);
            Ok(())
        }
        Command::Check(_) | Command::Where { .. } => Ok(()),
    }
}

fn check(folder: &Path, json: bool) -> Result<(), Failure> {
    let declared = declared::read(folder)?;
    match json {
        true => print_json(&json!({"rows": declared.rows.len()})),
        false => println!("{}: {} rows check", folder.display(), declared.rows.len()),
    }
    Ok(())
}

fn read_plan(target: &Target, folder: &Path) -> Result<Vec<Change>, Failure> {
    let declared = declared::read(folder)?;
    Ok(plan::changes(&declared, &target.rows()?))
}

fn show_plan(changes: &[Change], json: bool) -> Result<(), Failure> {
    if json {
        let changes: Vec<Value> = changes.iter().map(Change::to_json).collect();
        print_json(&json!({"changes": changes}));
        return Ok(());
    }
    changes
        .iter()
        .flat_map(Change::lines)
        .for_each(|line| println!("{line}"));
    println!("{} rows differ", changes.len());
    Ok(())
}

fn apply(target: &Target, folder: &Path, wait: u64, json: bool) -> Result<(), Failure> {
    let changes = read_plan(target, folder)?;
    if !json {
        show_plan(&changes, false)?;
    }
    if changes.is_empty() {
        if json {
            print_json(&json!({"changes": 0}));
        }
        return Ok(());
    }
    let changes: Vec<Value> = changes.iter().map(Change::to_json).collect();
    edit(target, &changes, wait, json)
}

/// Applies changes, waits until they are in force and says so.
fn edit(target: &Target, changes: &[Value], wait: u64, json: bool) -> Result<(), Failure> {
    let revision = target.edit(changes)?;
    if !json {
        println!("accepted as revision {revision}");
    }
    let instances = in_force::wait(target, revision, wait)?;
    if json {
        let count = changes.len();
        print_json(&json!({"revision": revision, "changes": count, "instances": instances}));
    }
    Ok(())
}

fn run_rows(target: &Target, rows: &Rows, json: bool) -> Result<(), Failure> {
    match rows {
        Rows::List(kind) => {
            let mut rows = target.rows()?;
            rows.retain(|row| {
                kind.as_ref()
                    .is_none_or(|kind| row.key.kind.as_str() == kind)
            });
            list_rows(&rows, json)
        }
        Rows::Set {
            row,
            fields,
            version,
        } => {
            let rows = target.rows()?;
            let found = rows.iter().find(|found| found.key == *row);
            let version = version.unwrap_or_else(|| found.map_or(0, |found| found.version));
            let mut value = found
                .and_then(|found| found.value.clone())
                .unwrap_or(json!({}));
            for field in fields {
                set_field(&mut value, field)?;
            }
            let change = json!({"row": row, "version": version, "value": value});
            edit(target, &[change], ROW_WAIT, json)
        }
        Rows::Delete { row, version } => {
            let change = json!({"row": row, "version": version, "value": null});
            edit(target, &[change], ROW_WAIT, json)
        }
    }
}

fn list_rows(rows: &[VersionedRow], json: bool) -> Result<(), Failure> {
    if json {
        print_json(&json!({"rows": rows}));
        return Ok(());
    }
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|row| {
            let value = row.value.as_ref().map(Value::to_string).unwrap_or_default();
            vec![row.key.to_string(), row.version.to_string(), value]
        })
        .collect();
    table(&["ROW", "VERSION", "VALUE"], &cells);
    Ok(())
}

/// Sets `FIELD=JSON`; a value that is not JSON counts as text.
fn set_field(row: &mut Value, field: &str) -> Result<(), Failure> {
    let expected = || Failure::Local(format!("{field}: expected FIELD=JSON"));
    let (name, text) = field.split_once('=').ok_or_else(expected)?;
    let value = serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.into()));
    let fields = row.as_object_mut().ok_or_else(expected)?;
    fields.insert(name.into(), value);
    Ok(())
}

fn run_keys(target: &Target, keys: &Keys, json: bool) -> Result<(), Failure> {
    match keys {
        Keys::List => {
            let mut rows = target.rows()?;
            rows.retain(|row| row.key.kind == RowKind::Key);
            list_rows(&rows, json)
        }
        Keys::Grant { customer, label } => grant(target, customer, label, json),
        Keys::Withdraw { hash } => {
            let row = find_key(&target.rows()?, hash)?;
            let change = json!({"row": row, "value": null});
            edit(target, &[change], ROW_WAIT, json)
        }
    }
}

fn grant(target: &Target, customer: &SmolStr, label: &SmolStr, json: bool) -> Result<(), Failure> {
    let key = format!("jl-{}", random_text()?);
    let hash = KeyHash::of(&key).to_hex();
    let row = RowKey::new(RowKind::Key, &hash);
    let value = json!({"customer": customer, "label": label});
    let revision = target.edit(&[json!({"row": row, "version": 0, "value": value})])?;
    in_force::wait(target, revision, ROW_WAIT)?;
    match json {
        true => print_json(&json!({"key": key, "hash": hash, "revision": revision})),
        false => println!("key {key}\nhash {}", &hash[..SHOWN_HASH]),
    }
    Ok(())
}

fn find_key(rows: &[VersionedRow], hash: &str) -> Result<RowKey, Failure> {
    let keys = rows.iter().filter(|row| row.key.kind == RowKind::Key);
    let found: Vec<&VersionedRow> = keys.filter(|row| row.key.name.starts_with(hash)).collect();
    match found.as_slice() {
        [row] => Ok(row.key.clone()),
        [] => Err(Failure::Local(format!(
            "no key has a hash that begins with {hash}"
        ))),
        _ => Err(Failure::Local(format!(
            "several keys have a hash that begins with {hash}"
        ))),
    }
}

fn status(target: &Target, json: bool) -> Result<(), Failure> {
    let status = target.status()?;
    if json {
        print_json(&status);
        return Ok(());
    }
    for field in [
        "instance",
        "ready",
        "running",
        "revision",
        "lease_valid",
        "table_silent_ms",
    ] {
        println!("{field}: {}", status[field]);
    }
    let columns = [
        "instance",
        "zone",
        "active",
        "draining",
        "revision",
        "silent_ms",
        "slots",
    ];
    let instances = status["instances"].as_array().cloned().unwrap_or_default();
    let text = |value: &Value| {
        value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned)
    };
    let cells: Vec<Vec<String>> = instances
        .iter()
        .map(|instance| {
            columns
                .iter()
                .map(|column| text(&instance[column]))
                .collect()
        })
        .collect();
    println!();
    table(
        &[
            "INSTANCE",
            "ZONE",
            "ACTIVE",
            "DRAINING",
            "REVISION",
            "SILENT_MS",
            "SLOTS",
        ],
        &cells,
    );
    Ok(())
}

fn where_to(address: &str, key: Option<&str>) -> Result<(), Failure> {
    let timeouts = Timeouts {
        connect: Duration::from_secs(3),
        read: Duration::from_secs(10),
    };
    let asking = |error: jacinthlever_client::HttpError| Failure::Asking(error.to_string());
    let client = HttpClient::new(address, timeouts);
    let answer: Value = match key {
        Some(key) => client.get_with_key("/v1/where", key).map_err(asking)?,
        None => client.get("/v1/where").map_err(asking)?,
    };
    print_json(&answer);
    Ok(())
}

fn print_json(value: &Value) {
    println!("{value}");
}
