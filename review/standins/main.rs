//! Scripts of the review: `cases NAME RECORD` plays one and exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

#![allow(dead_code)]

mod bookings;
mod drill;
mod engines;
mod fleet;
mod http;
mod json;
mod notes;
mod silence;
mod store;
mod upgrade;

use std::process::exit;
use std::sync::Arc;

use fleet::{Outcome, Record};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, path] = args.as_slice() else {
        eprintln!("usage: cases NAME RECORD");
        exit(2);
    };
    let record = Arc::new(Record::create(path));
    let outcome = match name.as_str() {
        "late-refusal" => bookings::late_refusal(&record),
        "silence" => silence::while_stopping(&record),
        "rejoined" => drill::rejoined(&record),
        "prefill-left" => drill::prefill_left(&record),
        "revoked" => drill::revoked(&record),
        "broken-off" => notes::broken_off(&record),
        "upgrade" => upgrade::in_place(&record),
        _ => Outcome::NotRun(format!("there is no case {name}")),
    };
    match outcome {
        Outcome::Held => {
            record.line("the rule held");
            exit(0);
        }
        Outcome::Broken => {
            record.line("the rule was broken");
            exit(1);
        }
        Outcome::NotRun(cause) => {
            record.line(format!("the case could not run: {cause}"));
            exit(2);
        }
    }
}
