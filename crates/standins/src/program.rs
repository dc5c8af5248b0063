//! Start-up code that the stand-in programs share.

use std::fmt;
use std::fs;
use std::io::{self, Write};
use std::path::PathBuf;

use bpaf::Parser;
use serde::de::DeserializeOwned;
use serde_json::json;

/// Reason why a stand-in program did not start.
#[derive(Debug)]
pub enum ProgramError {
    /// The settings file cannot be read.
    Read(PathBuf, io::Error),
    /// The settings file is not the JSON that the program expects.
    Parse(PathBuf, serde_json::Error),
    /// The address cannot be bound.
    Bind(io::Error),
}

impl fmt::Display for ProgramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, error) => {
                write!(f, "cannot read settings file {}: {error}", path.display())
            }
            Self::Parse(path, error) => {
                write!(f, "cannot parse settings file {}: {error}", path.display())
            }
            Self::Bind(error) => write!(f, "cannot serve on the configured address: {error}"),
        }
    }
}

impl std::error::Error for ProgramError {}

impl From<io::Error> for ProgramError {
    fn from(error: io::Error) -> Self {
        Self::Bind(error)
    }
}

/// Reads the settings file named on the command line.
///
/// # Errors
/// Fails if the file cannot be read or is not the JSON that `T` expects; the error has its path.
pub fn read_settings<T: DeserializeOwned>(about: &'static str) -> Result<T, ProgramError> {
    let path = bpaf::positional::<PathBuf>("SETTINGS").help("Settings file in JSON");
    let path = path.to_options().descr(about).run();
    let text = fs::read_to_string(&path).map_err(|e| ProgramError::Read(path.clone(), e))?;
    serde_json::from_str(&text).map_err(|e| ProgramError::Parse(path, e))
}

/// Prints the bound address as a line of JSON and serves until the process is killed.
///
/// # Errors
/// Fails if the line cannot be printed.
pub fn run_until_killed(address: std::net::SocketAddr) -> Result<(), ProgramError> {
    let mut out = io::stdout().lock();
    writeln!(out, "{}", json!({"address": address.to_string()}))?;
    out.flush()?;
    drop(out);
    loop {
        std::thread::park();
    }
}
