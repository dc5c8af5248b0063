//! The command-line tool for operators of jacinthlever; `jacinthlever --help` lists the commands.

mod commands;
mod declarations;
mod edit_wait;
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
            print_failure(&failure, json);
            ExitCode::from(failure.code())
        }
    }
}

fn print_failure(failure: &Failure, json: bool) {
    match json {
        true => println!("{}", failure.to_json()),
        false => eprintln!("{failure}"),
    }
}
