//! The command-line tool of jacinthlever's operators; `jacinthlever --help` lists the commands.

mod commands;
mod declared;
mod in_force;
mod options;
mod output;
mod plan;
mod target;

use std::process::ExitCode;

use output::Failure;

fn main() -> ExitCode {
    let options = options::parse();
    let json = options.json;
    match commands::run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            report(&failure, json);
            ExitCode::from(failure.code())
        }
    }
}

fn report(failure: &Failure, json: bool) {
    match json {
        true => println!("{}", failure.to_json()),
        false => eprintln!("{failure}"),
    }
}
