//! A drill: the store comes back from a copy that is some seconds old.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engines::{Caches, Engine, Run, count, events};
use crate::fleet::{HOST, Instance, Outcome, Record, configuration, has_trouble};
use crate::http::{self, Answer};
use crate::store::Store;

const KEY: &str = "key-of-cuenca";
const STREAMS: usize = 24;

/// Time after the store's return at which the workers that are missing from the copy have written their
/// entries again: the first of them, and from one to the next.
const FIRST_ENTRY: Duration = Duration::from_millis(1000);
const NEXT_ENTRY: Duration = Duration::from_millis(300);

/// Tries of a client after its first one, and the pause before each: a connection to a machine that has no
/// power takes its time to fail.
const RETRIES: usize = 3;
const PAUSE: Duration = Duration::from_millis(500);

/// Time for which the instances have no power and the store is away.
const DARK: Duration = Duration::from_millis(1000);

/// Time after the store's return at which the operator has written its configuration again.
const OPERATOR_WRITES: Duration = Duration::from_millis(1500);

/// A client's stream over all its tries.
struct Stream {
    id: String,
    /// Number and version of each event, in order.
    events: Vec<(u64, String)>,
    is_whole: bool,
}

fn stream(record: &Record, addresses: &[String], n: usize) -> Stream {
    let first = format!("s-{n}");
    let deadline = Instant::now() + Duration::from_secs(14);
    let mut stream = Stream {
        id: first.clone(),
        events: Vec::new(),
        is_whole: false,
    };
    for attempt in 0..=RETRIES {
        let id = if attempt == 0 {
            first.clone()
        } else {
            format!("{first}-{attempt}")
        };
        let last = stream
            .events
            .last()
            .map_or(0, |(number, _)| *number)
            .to_string();
        let left = deadline
            .saturating_duration_since(Instant::now())
            .as_millis()
            .to_string();
        let mut headers = vec![
            ("Host", HOST),
            ("Request-Id", id.as_str()),
            ("Api-Key", KEY),
            ("Deadline-Ms", left.as_str()),
            ("Model", "m"),
            ("Token-Counts", "1460,80"),
            ("Prompt-Prefix", "5c1e07a2:800,91bd3f06:660"),
        ];
        if !stream.events.is_empty() {
            headers.push(("Resumes", first.as_str()));
            headers.push(("Last-Event-Id", last.as_str()));
        }
        let address = &addresses[(n + attempt) % addresses.len()];
        let within = Duration::from_secs(4);
        let answer = http::call(address, "POST", "/draft/x", &headers, b"wall", within);
        let mut pause = PAUSE;
        if let Some(Answer {
            status: 200,
            is_complete,
            ..
        }) = answer
        {
            let came = events(&answer.as_ref().expect("an answer").text());
            if attempt > 0 && !came.is_empty() {
                let versions = count(came.iter().map(|(_, version)| version.clone()));
                record.line(format!("{id} goes on after event {last} with {versions:?}"));
            }
            stream.events.extend(came);
            stream.is_whole = is_complete;
            if is_complete {
                break;
            }
        } else if let Some(after) = answer
            .as_ref()
            .and_then(|a| a.header("retry-after")?.parse().ok())
        {
            pause = Duration::from_secs_f64(after);
        }
        thread::sleep(pause);
    }
    stream
}

pub fn rejoined(record: &Arc<Record>) -> Outcome {
    let store = Store::start();
    store.put("op", "config", &configuration(1, &[KEY]));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let caches = Caches::default();
    let engine = |name: String, stage| Engine::start(&name, stage, &runs, &caches);
    let prefill = [
        engine("p-1".into(), "prefill"),
        engine("p-2".into(), "prefill"),
    ];
    let old: Vec<Engine> = (1..=6)
        .map(|n| engine(format!("old-{n}"), "decode"))
        .collect();
    for engine in prefill.iter().chain(&old) {
        engine.register(&store, "ready");
    }
    let mut instances: Vec<Instance> = [
        ("dr-1", "azuay-norte"),
        ("dr-2", "azuay-norte"),
        ("dr-3", "azuay-centro"),
    ]
    .into_iter()
    .map(|(name, zone)| Instance::start(name, zone, &store.address))
    .collect();
    for instance in &instances {
        if let Err(cause) = instance.wait_ready() {
            return Outcome::NotRun(cause);
        }
    }
    thread::sleep(Duration::from_secs(4));
    let copy = store.copy();
    record.line("the store is copied; then half of the decode engines is replaced by newer ones");
    let new: Vec<Engine> = (1..=3)
        .map(|n| engine(format!("new-{n}"), "decode"))
        .collect();
    for (engine, leaving) in new.iter().zip(&old) {
        engine.change(|c| {
            c.version = "v2".into();
            c.born += 50_000_000;
        });
        engine.register(&store, "ready");
        thread::sleep(Duration::from_millis(800));
        leaving.register(&store, "draining");
    }
    thread::sleep(Duration::from_millis(500));
    record.line("streams begin");
    let addresses: Vec<String> = instances.iter().map(|i| i.callers.clone()).collect();
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (addresses, record) = (addresses.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(40 * n as u64));
                stream(&record, &addresses, n)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(2200));
    let mut writers = Vec::new();
    if has_trouble() {
        store.set_away(true);
        instances.iter_mut().for_each(Instance::kill);
        record.line("all instances have lost power, and the store is away");
        thread::sleep(DARK);
        store.restore(&copy);
        store.set_away(false);
        instances.iter_mut().for_each(Instance::start_again);
        record.line("the store is back from the copy, and the instances start");
        for (n, engine) in new.iter().enumerate() {
            let (store, record, engine) = (store.clone(), record.clone(), engine.clone());
            let old = old[n].clone();
            writers.push(thread::spawn(move || {
                thread::sleep(FIRST_ENTRY + NEXT_ENTRY * n as u32);
                engine.register(&store, "ready");
                old.register(&store, "draining");
                record.line(format!(
                    "{} and {} have written their entries again",
                    engine.name, old.name
                ));
            }));
        }
    }
    let (mut joined, mut whole) = (0, 0);
    for stream in streams {
        let Ok(stream) = stream.join() else {
            return Outcome::NotRun("a client has failed".into());
        };
        let versions = count(stream.events.iter().map(|(_, version)| version.clone()));
        let mark = if versions.len() > 1 { "JOINED" } else { "kept" };
        record.line(format!(
            "{mark}: {}: whole {}, events of {versions:?}",
            stream.id, stream.is_whole
        ));
        joined += usize::from(versions.len() > 1);
        whole += usize::from(stream.is_whole);
    }
    for writer in writers {
        let _ = writer.join();
    }
    record.line(format!(
        "{whole} of {STREAMS} streams whole, {joined} joined from two versions"
    ));
    if joined > 2 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Requests with a revoked key, at an instance that is restarted just after the store has come back.
pub fn revoked(record: &Record) -> Outcome {
    const REVOKED: &str = "key-that-is-taken-away";
    let store = Store::start();
    store.put("op", "config", &configuration(10, &[KEY, REVOKED]));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let caches = Caches::default();
    let engines = [
        Engine::start("p-1", "prefill", &runs, &caches),
        Engine::start("d-1", "decode", &runs, &caches),
        Engine::start("d-2", "decode", &runs, &caches),
    ];
    for engine in &engines {
        engine.change(|c| c.events = 3);
        engine.register(&store, "ready");
    }
    let mut instances: Vec<Instance> = ["rv-1", "rv-2", "rv-3"]
        .into_iter()
        .map(|name| Instance::start(name, "azuay-norte", &store.address))
        .collect();
    for instance in &instances {
        if let Err(cause) = instance.wait_ready() {
            return Outcome::NotRun(cause);
        }
    }
    thread::sleep(Duration::from_secs(3));
    let copy = store.copy();
    store.put("op", "config", &configuration(13, &[KEY]));
    let revoked_at = Instant::now();
    record.line("version 13, which takes the key away, is acknowledged");
    thread::sleep(Duration::from_millis(7000));
    let call = |address: &str, n: usize| {
        let id = format!("k-{n}");
        let headers = [
            ("Host", HOST),
            ("Request-Id", id.as_str()),
            ("Api-Key", REVOKED),
            ("Deadline-Ms", "3000"),
            ("Model", "m"),
            ("Token-Counts", "1460,80"),
            ("Prompt-Prefix", "5c1e07a2:800,91bd3f06:660"),
        ];
        let answer = http::call(
            address,
            "POST",
            "/draft/x",
            &headers,
            b"wall",
            Duration::from_secs(3),
        );
        (id, answer.map_or(0, |a| a.status))
    };
    // One instance is killed and started again; with trouble, while the store comes back from the copy.
    if has_trouble() {
        store.set_away(true);
        record.line("the store is away");
    }
    instances[0].kill();
    record.line("rv-1 is killed");
    thread::sleep(Duration::from_millis(1000));
    if has_trouble() {
        store.restore(&copy);
        store.set_away(false);
        record.line("the store is back from a copy that is 8 s old");
    }
    instances[0].start_again();
    record.line("rv-1 starts again");
    let mut n = 0;
    let mut written = false;
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(4) {
        if has_trouble() && !written && began.elapsed() > OPERATOR_WRITES {
            store.put("op", "config", &configuration(13, &[KEY]));
            record.line("the operator has written version 13 again");
            written = true;
        }
        for instance in &instances {
            let (id, status) = call(&instance.callers, n);
            record.line(format!(
                "{id} with the key, {:?} after it was taken away, at {}: {status}",
                revoked_at.elapsed(),
                instance.name
            ));
            n += 1;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let ran = runs
        .lock()
        .expect("poisoned lock")
        .iter()
        .filter(|r| r.id.starts_with("k-"))
        .count();
    record.line(format!("{ran} requests with the key have run"));
    if ran > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Streams of a version of which only prefill engines are left.
pub fn prefill_left(record: &Arc<Record>) -> Outcome {
    let store = Store::start();
    store.put("op", "config", &configuration(1, &[KEY]));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let caches = Caches::default();
    let engine = |name: &str, stage| Engine::start(name, stage, &runs, &caches);
    let old = [engine("old-1", "decode"), engine("old-2", "decode")];
    let prefill = [engine("p-1", "prefill"), engine("p-2", "prefill")];
    for engine in prefill.iter().chain(&old) {
        engine.register(&store, "ready");
    }
    let instances: Vec<Instance> = ["pl-1", "pl-2"]
        .into_iter()
        .map(|name| Instance::start(name, "azuay-norte", &store.address))
        .collect();
    for instance in &instances {
        if let Err(cause) = instance.wait_ready() {
            return Outcome::NotRun(cause);
        }
    }
    thread::sleep(Duration::from_secs(4));
    record.line("streams begin");
    let addresses: Vec<String> = instances.iter().map(|i| i.callers.clone()).collect();
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (addresses, record) = (addresses.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(40 * n as u64));
                stream(&record, &addresses, n)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1000));
    let new = [engine("new-1", "decode"), engine("new-2", "decode")];
    if has_trouble() {
        for (engine, leaving) in new.iter().zip(&old) {
            engine.change(|c| c.version = "v2".into());
            engine.register(&store, "ready");
            leaving.register(&store, "draining");
            record.line(format!(
                "{} replaces {}, which drains",
                engine.name, leaving.name
            ));
            thread::sleep(Duration::from_millis(800));
        }
        thread::sleep(Duration::from_millis(700));
        for engine in &old {
            engine.stop();
            store.remove("servers", &engine.name);
            record.line(format!("{} has ended", engine.name));
        }
    }
    let whole = streams
        .into_iter()
        .filter_map(|s| s.join().ok())
        .filter(|s| s.is_whole)
        .count();
    record.line(format!(
        "{whole} of {STREAMS} streams whole, while two workers of their version serve"
    ));
    if whole * 2 < STREAMS {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
