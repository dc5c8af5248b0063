//! Stand-in for the platform's list of machines.

use std::time::Duration;

use jacinthlever_standins::{ListStandin, ProgramError, read_settings, run_until_killed};
use jacinthlever_types::ListEntry;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    address: String,
    entries: Vec<ListEntry>,
    #[serde(default)]
    lag_ms: u64,
}

fn main() -> Result<(), ProgramError> {
    let settings: Settings = read_settings("Stand-in for the platform's list of machines")?;
    let lag = Duration::from_millis(settings.lag_ms);
    let standin = ListStandin::spawn(&settings.address, settings.entries, lag)?;
    run_until_killed(standin.address())
}
