//! Workers that start again in place, with newer software, while the store is away.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::engines::{Caches, Engine, Run, count, events};
use crate::fleet::{HOST, Instance, Outcome, Record, configuration, has_trouble};
use crate::http;
use crate::store::Store;

const KEY: &str = "key-of-cuenca";
const STREAMS: usize = 36;

/// Decode engines, beside two prefill engines, and how many of them start again.
const ENGINES: usize = 6;
const RESTARTED: usize = 4;

pub fn in_place(record: &Record) -> Outcome {
    let store = Store::start();
    store.put("op", "config", &configuration(1, &[KEY]));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let caches = Caches::default();
    let prefill = |name| Engine::start(name, "prefill", &runs, &caches);
    let mut engines = vec![prefill("p-1"), prefill("p-2")];
    for n in 1..=ENGINES {
        engines.push(Engine::start(&format!("d-{n}"), "decode", &runs, &caches));
    }
    for engine in &engines {
        engine.register(&store, "ready");
    }
    let instances = [
        Instance::start("up-1", "azuay-norte", &store.address),
        Instance::start("up-2", "azuay-norte", &store.address),
    ];
    for instance in &instances {
        if let Err(cause) = instance.wait_ready() {
            return Outcome::NotRun(cause);
        }
    }
    thread::sleep(Duration::from_secs(4));
    record.line("streams begin");
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| {
            let address = instances[n % 2].callers.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(40 * n as u64));
                let id = format!("s-{n}");
                let headers = [
                    ("Host", HOST),
                    ("Request-Id", id.as_str()),
                    ("Api-Key", KEY),
                    ("Deadline-Ms", "14000"),
                    ("Model", "m"),
                    ("Token-Counts", "1460,80"),
                    ("Prompt-Prefix", "5c1e07a2:800,91bd3f06:660"),
                ];
                let within = Duration::from_secs(5);
                (
                    id.clone(),
                    http::call(&address, "POST", "/draft/x", &headers, b"wall", within),
                )
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1700));
    if has_trouble() {
        record.line("the store is away");
        store.set_away(true);
    }
    thread::sleep(Duration::from_millis(100));
    for (n, engine) in engines.iter().skip(2).take(RESTARTED).enumerate() {
        thread::sleep(Duration::from_millis(550));
        engine.stop();
        record.line(format!("{} ends", engine.name));
        thread::sleep(Duration::from_millis(250));
        engine.change(|c| {
            c.version = "v2".into();
            c.born += 10_000_000 + n as u64;
            c.is_up = true;
        });
        record.line(format!("{} has started again with v2", engine.name));
        if !has_trouble() {
            engine.register(&store, "ready");
        }
    }
    thread::sleep(Duration::from_millis(600));
    if has_trouble() {
        store.set_away(false);
        record.line("the store is back");
        for engine in &engines {
            engine.register(&store, "ready");
        }
    }
    let (mut joined, mut whole, mut broken) = (0, 0, 0);
    for stream in streams {
        let Ok((id, answer)) = stream.join() else {
            return Outcome::NotRun("a client has failed".into());
        };
        let Some(answer) = answer else {
            record.line(format!("{id}: no answer"));
            continue;
        };
        let events = events(&answer.text());
        let versions = count(events.iter().map(|(_, version)| version.clone()));
        record.line(format!(
            "{id}: {} complete {}, {} events of versions {versions:?}",
            answer.status,
            answer.is_complete,
            events.len()
        ));
        if versions.len() > 1 {
            joined += 1;
        }
        match answer.is_complete && answer.status == 200 {
            true => whole += 1,
            false => broken += 1,
        }
    }
    let runs = runs.lock().expect("poisoned lock");
    for run in runs.iter().filter(|r| r.after_event > 0) {
        record.line(format!(
            "{} went on at {} ({}) after event {}",
            run.id, run.engine, run.version, run.after_event
        ));
    }
    record.line(format!(
        "{whole} streams whole, {broken} broken off, {joined} joined from two versions"
    ));
    if joined > 2 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
