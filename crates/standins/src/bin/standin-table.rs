//! Stand-in for the platform's table service.

use jacinthlever_standins::{ProgramError, TableStandin, read_settings, run_until_killed};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    address: String,
}

fn main() -> Result<(), ProgramError> {
    let settings: Settings = read_settings("Stand-in for the platform's table service")?;
    let standin = TableStandin::spawn(&settings.address)?;
    run_until_killed(standin.address())
}
