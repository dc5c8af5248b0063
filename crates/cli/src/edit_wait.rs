//! Waits until an edit is in force on all active instances.

use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::output::Failure;
use crate::target::Target;

/// Pause between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Polls the status of the fleet until a revision is in force on all active instances.
///
/// Prints a line to standard error for each instance as soon as the revision is in force there, and
/// returns the same information as JSON.
///
/// # Errors
/// Fails if the status cannot be read. Returns [`Failure::NotInForce`] with the active instances
/// that still had an older revision after `timeout_seconds`.
pub fn wait_until_in_force(
    target: &Target,
    revision: u64,
    timeout_seconds: u64,
) -> Result<Vec<Value>, Failure> {
    let start = Instant::now();
    let deadline = start + Duration::from_secs(timeout_seconds);
    let mut reported: BTreeSet<String> = BTreeSet::new();
    let mut report = Vec::new();
    loop {
        let status = target.status()?;
        let mut lagging = Vec::new();
        for instance in status["instances"].as_array().into_iter().flatten() {
            let name = instance["instance"].as_str().unwrap_or_default().to_owned();
            let is_applied = instance["revision"].as_u64().unwrap_or_default() >= revision;
            let active = instance["active"].as_bool().unwrap_or_default();
            if is_applied && reported.insert(name.clone()) {
                let ms = start.elapsed().as_millis() as u64;
                eprintln!("in force on {name} after {ms} ms");
                report.push(serde_json::json!({"instance": name, "in_force_after_ms": ms}));
            } else if !is_applied && active {
                lagging.push(name);
            }
        }
        if lagging.is_empty() {
            return Ok(report);
        }
        if Instant::now() >= deadline {
            return Err(Failure::NotInForce(lagging));
        }
        thread::sleep(POLL_INTERVAL);
    }
}
