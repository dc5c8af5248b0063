//! Measures the policy under load and faults, next to a naive router on the same seeded load.
//!
//! `cargo bench --bench policy -- --seed N` prints a table, `--json` prints one line of JSON for
//! each figure, and `--plot FILE` draws the goodput as SVG. The exit code is 1 if a bound is
//! crossed.

mod bounds;
mod cases;
mod figures;
mod plot;
mod workload;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Parser, construct, long};

use crate::bounds::Line;
use crate::cases::Case;

struct Options {
    seed: u64,
    json: bool,
    only: Option<String>,
    plot: Option<PathBuf>,
    /// Cargo passes this to every bench.
    _bench: bool,
}

fn options() -> Options {
    let seed = long("seed")
        .help("Seed of the load and the faults")
        .argument::<u64>("NUMBER")
        .fallback(1)
        .display_fallback();
    let json = long("json")
        .help("Print one line of JSON for each figure")
        .switch();
    let only = long("only")
        .help("Run only the cases whose name contains this text")
        .argument::<String>("TEXT")
        .optional();
    let plot = long("plot")
        .help("Draw the goodput of all cases as SVG")
        .argument::<PathBuf>("FILE")
        .optional();
    let _bench = long("bench").switch().hide();
    construct!(Options {
        seed,
        json,
        only,
        plot,
        _bench
    })
    .to_options()
    .descr("Measures the policy against a naive router and against its bounds")
    .run()
}

fn main() -> ExitCode {
    let options = options();
    let is_selected = |case: &Case| {
        options
            .only
            .as_ref()
            .is_none_or(|o| case.name().contains(o))
    };
    let lines = bounds::run(options.seed, is_selected);
    for line in &lines {
        match options.json {
            true => println!("{}", line.to_json()),
            false => println!("{line}"),
        }
    }
    let crossed: Vec<&Line> = lines.iter().filter(|line| !line.ok).collect();
    if !options.json {
        println!("{} figures, {} bounds crossed", lines.len(), crossed.len());
    }
    if let Some(path) = &options.plot
        && let Err(error) = plot::draw(path, &lines)
    {
        eprintln!("{}: {error}", path.display());
        return ExitCode::FAILURE;
    }
    match crossed.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
