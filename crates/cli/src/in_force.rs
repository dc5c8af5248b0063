//! Waits until an edit is in force on all instances.

use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::output::Failure;
use crate::target::Target;

/// Pause between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Waits for a revision and reports each instance when it is in force there.
///
/// # Errors
/// Names the instances on which it is not in force in time.
pub fn wait(target: &Target, revision: u64, seconds: u64) -> Result<Vec<Value>, Failure> {
    let start = Instant::now();
    let until = start + Duration::from_secs(seconds);
    let mut done: BTreeSet<String> = BTreeSet::new();
    let mut report = Vec::new();
    loop {
        let status = target.status()?;
        let mut behind = Vec::new();
        for instance in status["instances"].as_array().into_iter().flatten() {
            let name = instance["instance"].as_str().unwrap_or_default().to_owned();
            let has = instance["revision"].as_u64().unwrap_or_default() >= revision;
            let active = instance["active"].as_bool().unwrap_or_default();
            if has && done.insert(name.clone()) {
                let ms = start.elapsed().as_millis() as u64;
                eprintln!("in force on {name} after {ms} ms");
                report.push(serde_json::json!({"instance": name, "in_force_after_ms": ms}));
            } else if !has && active {
                behind.push(name);
            }
        }
        if behind.is_empty() {
            return Ok(report);
        }
        if Instant::now() >= until {
            return Err(Failure::NotInForce(behind));
        }
        thread::sleep(LOOK_EVERY);
    }
}
