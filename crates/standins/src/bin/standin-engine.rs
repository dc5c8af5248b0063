//! Stand-in for a model engine.

use jacinthlever_standins::{
    EngineSettings, EngineStandin, ProgramError, read_settings, run_until_killed,
};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    address: String,
    engine: EngineSettings,
}

fn main() -> Result<(), ProgramError> {
    let settings: Settings = read_settings("Stand-in for a model engine")?;
    let standin = EngineStandin::spawn(&settings.address, settings.engine)?;
    run_until_killed(standin.address())
}
