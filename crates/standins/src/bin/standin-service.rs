//! Stand-in for a worker of a plain service.

use std::time::Duration;

use jacinthlever_standins::{ProgramError, ServiceStandin, read_settings, run_until_killed};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    address: String,
    #[serde(default)]
    takes_ms: u64,
}

fn main() -> Result<(), ProgramError> {
    let settings: Settings = read_settings("Stand-in for a worker of a plain service")?;
    let takes = Duration::from_millis(settings.takes_ms);
    let standin = ServiceStandin::spawn(&settings.address, takes)?;
    run_until_killed(standin.address())
}
