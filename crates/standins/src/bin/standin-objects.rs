//! Stand-in for the platform's object store.

use jacinthlever_standins::{ObjectStandin, ProgramError, read_settings, run_until_killed};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    address: String,
}

fn main() -> Result<(), ProgramError> {
    let settings: Settings = read_settings("Stand-in for the platform's object store")?;
    let standin = ObjectStandin::spawn(&settings.address)?;
    run_until_killed(standin.address())
}
