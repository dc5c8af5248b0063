//! Starts a fleet on this machine, puts load on it while components fail, and checks its
//! guarantees.

mod checks;
mod fleet;
mod hold;
mod load;
mod report;
mod tally;
mod timeline;

use std::process::ExitCode;

use bpaf::{Parser, construct, long};

struct Options {
    hold: bool,
    seconds: u64,
    seed: u64,
}

fn options() -> Options {
    let hold = long("hold")
        .help(
            "Start the fleet, print its addresses and keys as a line of JSON, and keep it running",
        )
        .switch();
    let seconds = long("seconds")
        .help("Seconds of load")
        .argument::<u64>("NUMBER")
        .fallback(10)
        .display_fallback();
    let seed = long("seed")
        .help("Seed of the load")
        .argument::<u64>("NUMBER")
        .fallback(1)
        .display_fallback();
    let about =
        "Runs 6 instances, with stand-ins for the platform and the backend servers, over loopback";
    construct!(Options {
        hold,
        seconds,
        seed
    })
    .to_options()
    .descr(about)
    .run()
}

fn main() -> ExitCode {
    let options = options();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    let result = match options.hold {
        true => hold::run(),
        false => run(&options),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<bool, Box<dyn std::error::Error>> {
    let (mut fleet, revision) = fleet::start()?;
    println!("fleet ready: 6 instances in 3 availability zones, revision {revision}");
    let tally = tally::Tally::default();
    let events = timeline::run(&mut fleet, &tally, options.seconds, options.seed)?;
    let checks = checks::run(&fleet, &tally, &events);
    report::print(&tally, &checks);
    Ok(checks.iter().all(|check| check.passed))
}
