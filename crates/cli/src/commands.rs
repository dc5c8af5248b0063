//! Implementations of the commands.

use std::path::Path;
use std::time::Duration;

use jacinthlever_client::{HttpClient, Timeouts};
use jacinthlever_types::{KeyHash, RowKey, RowKind, VersionedRow};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::options::{Command, Keys, Options, Rows};
use crate::output::{Failure, print_table};
use crate::plan::{self, Change};
use crate::target::{Target, random_hex};
use crate::{declarations, edit_wait};

/// Time to wait until an edit of a single row is in force on all active instances.
const ROW_EDIT_WAIT_SECONDS: u64 = 10;

/// Number of hexadecimal digits of a key's hash that `keys grant` prints as text.
const HASH_PREFIX_DIGITS: usize = 16;

/// Runs the command given on the command line.
///
/// # Errors
/// Returns why the command failed; [`Failure::code`] gives the exit code.
pub fn run(options: Options) -> Result<(), Failure> {
    let json = options.json;
    match &options.command {
        Command::Check(folder) => check_folder(folder, json),
        Command::Where { address, key } => print_addresses(address, key.as_deref()),
        command => with_target(&Target::new(&options)?, command, json),
    }
}

fn with_target(target: &Target, command: &Command, json: bool) -> Result<(), Failure> {
    match command {
        Command::Plan(folder) => show_plan(&read_plan(target, folder)?, json),
        Command::Apply {
            folder,
            wait_seconds,
        } => apply(target, folder, *wait_seconds, json),
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

fn check_folder(folder: &Path, json: bool) -> Result<(), Failure> {
    let declarations = declarations::read_folder(folder)?;
    match json {
        true => print_json(&json!({"rows": declarations.rows.len()})),
        false => println!(
            "{}: {} rows are valid",
            folder.display(),
            declarations.rows.len()
        ),
    }
    Ok(())
}

fn read_plan(target: &Target, folder: &Path) -> Result<Vec<Change>, Failure> {
    let declarations = declarations::read_folder(folder)?;
    Ok(plan::diff(&declarations, &target.rows()?))
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

fn apply(target: &Target, folder: &Path, wait_seconds: u64, json: bool) -> Result<(), Failure> {
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
    edit(target, &changes, wait_seconds, json)
}

/// Submits changes, waits until they are in force on all active instances and prints the result.
fn edit(target: &Target, changes: &[Value], wait_seconds: u64, json: bool) -> Result<(), Failure> {
    let revision = target.edit(changes)?;
    if !json {
        println!("edit accepted as revision {revision}");
    }
    let instances = edit_wait::wait_until_in_force(target, revision, wait_seconds)?;
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
            edit(target, &[change], ROW_EDIT_WAIT_SECONDS, json)
        }
        Rows::Delete { row, version } => {
            let change = json!({"row": row, "version": version, "value": null});
            edit(target, &[change], ROW_EDIT_WAIT_SECONDS, json)
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
    print_table(&["ROW", "VERSION", "VALUE"], &cells);
    Ok(())
}

/// Applies a `FIELD=JSON` argument to a row. A value that is not valid JSON is stored as a string.
fn set_field(row: &mut Value, field: &str) -> Result<(), Failure> {
    let expected = || Failure::Local(format!("invalid field {field}: expected FIELD=JSON"));
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
        Keys::Revoke { hash } => {
            let row = find_key(&target.rows()?, hash)?;
            let change = json!({"row": row, "value": null});
            edit(target, &[change], ROW_EDIT_WAIT_SECONDS, json)
        }
    }
}

fn grant(target: &Target, customer: &SmolStr, label: &SmolStr, json: bool) -> Result<(), Failure> {
    let key = format!("jl-{}", random_hex()?);
    let hash = KeyHash::of(&key).to_hex();
    let row = RowKey::new(RowKind::Key, &hash);
    let value = json!({"customer": customer, "label": label});
    let revision = target.edit(&[json!({"row": row, "version": 0, "value": value})])?;
    edit_wait::wait_until_in_force(target, revision, ROW_EDIT_WAIT_SECONDS)?;
    match json {
        true => print_json(&json!({"key": key, "hash": hash, "revision": revision})),
        false => println!("key {key}\nhash {}", &hash[..HASH_PREFIX_DIGITS]),
    }
    Ok(())
}

fn find_key(rows: &[VersionedRow], hash: &str) -> Result<RowKey, Failure> {
    let keys = rows.iter().filter(|row| row.key.kind == RowKind::Key);
    let found: Vec<&VersionedRow> = keys.filter(|row| row.key.name.starts_with(hash)).collect();
    match found.as_slice() {
        [row] => Ok(row.key.clone()),
        [] => Err(Failure::Local(format!(
            "no key found whose hash starts with {hash}"
        ))),
        _ => Err(Failure::Local(format!(
            "several keys found whose hash starts with {hash}; give more digits"
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
    print_table(
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

fn print_addresses(address: &str, key: Option<&str>) -> Result<(), Failure> {
    let timeouts = Timeouts {
        connect: Duration::from_secs(3),
        read: Duration::from_secs(10),
    };
    let request_failed =
        |error: jacinthlever_client::HttpError| Failure::Request(error.to_string());
    let client = HttpClient::new(address, timeouts);
    let answer: Value = match key {
        Some(key) => client
            .get_with_key("/v1/where", key)
            .map_err(request_failed)?,
        None => client.get("/v1/where").map_err(request_failed)?,
    };
    print_json(&answer);
    Ok(())
}

fn print_json(value: &Value) {
    println!("{value}");
}
