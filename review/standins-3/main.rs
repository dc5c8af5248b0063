//! Stand-ins and scripts of the third review: `drill CASE RECORD` plays a case and exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod json;
mod store;
mod worker;

use std::fs::File;
use std::io::Write;
use std::panic;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {text}\n");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// What came of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let path = std::env::args().nth(2).unwrap_or_else(|| "record.txt".into());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(file) = File::create(&path) else {
        eprintln!("cannot write {path}");
        exit(2);
    };
    let record = Record {
        file: Arc::new(Mutex::new(file)),
        started: Instant::now(),
    };
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let outcome = panic::catch_unwind(|| match case.as_str() {
        "removed" => cases::removed(&record, has_trouble),
        _ => Outcome::NotRun(format!("no case {case:?}")),
    });
    let outcome = outcome.unwrap_or_else(|_| Outcome::NotRun("a stand-in failed".into()));
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held".to_string(), 0),
        Outcome::Broken => ("the rule was broken".to_string(), 1),
        Outcome::NotRun(why) => (format!("not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
