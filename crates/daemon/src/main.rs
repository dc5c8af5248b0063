//! The jacinthlever daemon.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::{Parser, construct, long, positional};
use jacinthlever_daemon::{Daemon, Settings};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code if the settings are invalid.
const EXIT_SETTINGS: u8 = 2;

/// Exit code if the instance could not be started.
const EXIT_START: u8 = 1;

struct Options {
    check: bool,
    settings: PathBuf,
}

fn options() -> Options {
    let check = long("check").help("Only check the settings file").switch();
    let settings = positional::<PathBuf>("SETTINGS").help("Settings file in JSON");
    let about = "Runs one instance of the jacinthlever router until SIGTERM or SIGINT drains it";
    construct!(Options { check, settings })
        .to_options()
        .descr(about)
        .run()
}

fn main() -> ExitCode {
    let options = options();
    init_log();
    let settings = match Settings::read(&options.settings) {
        Ok(settings) => settings,
        Err(errors) => {
            errors.iter().for_each(|error| eprintln!("{error}"));
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check {
        println!("{}: ok", options.settings.display());
        return ExitCode::SUCCESS;
    }
    // A panic in any thread ends the process: an instance without one of its threads would still
    // appear alive to its peers.
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        std::process::abort();
    }));
    match run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", options.settings.display());
            ExitCode::from(EXIT_START)
        }
    }
}

/// Initializes the log. The HTTP and WebSocket libraries log at `info` at most, as they write
/// credentials to the log at finer levels.
fn init_log() {
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    for library in ["attohttpc", "tungstenite", "tokio_tungstenite", "tiny_http"] {
        builder.filter_module(library, log::LevelFilter::Info);
    }
    builder.init();
}

fn run(settings: &Settings) -> Result<(), Box<dyn std::error::Error>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let daemon = Arc::new(Daemon::spawn(settings)?);
    let signalled = daemon.clone();
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for _ in signals.forever() {
                signalled.drain();
            }
        })?;
    daemon.wait();
    Ok(())
}
