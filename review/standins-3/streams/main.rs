//! Streams that clients take up after all instances were killed: `streams RECORD`, with the stand-ins of the second review.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the kill out, `WITHOUT=release`
//! the worker of a second version.

#[allow(dead_code)]
#[path = "../../standins-2/client.rs"]
mod client;
#[allow(dead_code)]
#[path = "../../standins-2/fleet.rs"]
mod fleet;
#[path = "../../standins-2/http.rs"]
mod http;
#[allow(dead_code)]
#[path = "../../standins-2/json.rs"]
mod json;
#[path = "../../standins-2/record.rs"]
mod record;
#[allow(dead_code)]
#[path = "../../standins-2/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "../../standins-2/worker.rs"]
mod worker;

use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use std::{env, fs, panic, process};

use client::{Addresses, Attempt, Plan, Seen};
use fleet::Instance;
use record::Record;
use store::Store;
use worker::Worker;

const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const SERVICE: &str = "mir-models";
const ZONES: [&str; 3] = ["split-a", "zadar-b", "rijeka-c"];
const INSTANCES: [usize; 3] = [3, 2, 1];

/// Seconds from the start of the traffic.
const KILLED_AT: f64 = 12.0;
const JOINS_AT: f64 = 12.4;
const BACK_AT: f64 = 13.0;
const ENDS_AT: f64 = 22.0;

/// `stableWindowMs`, after which a machine is in touch.
const STABLE_WINDOW: f64 = 3.0;

/// Time for which requests are counted at machines in touch: until then clients take up streams of before the kill.
const COUNTED: f64 = 6.0;

/// Number of streams that are taken up from which the rule counts.
const MIN_TAKEN_UP: usize = 12;

/// Returns the operator's configuration: streams that may be resumed.
fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-828m82t","host":"quotes.example","pathPrefix":"/pufi791/","kind":"stream",
"timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"{SERVICE}","maxAttempts":2,"public":false,
"sticky":true,"resumable":true,"gapAimMs":300}}],
"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,
"engine":{{"slots":64,"kvTokens":35118,"kvTokenBytes":327680,"linkMbps":3100000.0,"moves":true,"backups":true,
"stride":1,"most":12,"kvHoldS":0.5,"stageSwitchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{{"name":"m"}}]}}}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1,"unit":"token_gen","plainTokens":200,
"ratePerS":59649,"burst":59649}}]}}"#
    )
}

/// Starts clients at a rate until the traffic ends, and returns what they saw once all have ended.
fn traffic(record: Record, addresses: Addresses, is_over: Arc<AtomicBool>) -> Vec<Seen> {
    let mut clients = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let n = clients.len() as u32;
        // Clients do not come back together.
        let pause = |s: f64| Duration::from_secs_f64(s * (0.6 + 0.1 * f64::from(n * 5 % 9)));
        let plan = Plan {
            path: "/pufi791/2f?pieces=80&gap=100".into(),
            pieces: 80,
            deadline: Duration::from_secs(14),
            pauses: [0.6, 1.6, 2.6].map(pause).to_vec(),
            key: KEY,
        };
        let (record, addresses) = (record.clone(), addresses.clone());
        clients.push(thread::spawn(move || client::run(&record, &addresses, &format!("s{n}"), &plan)));
        thread::sleep(Duration::from_millis(125));
    }
    clients.into_iter().map(|client| client.join().expect("a client")).collect()
}

/// Checks LOST over the attempts that were sent in a span to machines in touch and answered.
fn is_broken(record: &Record, seen: &[Seen], from: f64) -> bool {
    let counts = |attempt: &&Attempt| (from..from + COUNTED).contains(&attempt.at) && attempt.status != 0;
    let streams = seen.iter().map(|s| s.take_ups.iter().filter(counts).collect::<Vec<_>>());
    let taken_up: Vec<_> = streams.filter(|attempts| !attempts.is_empty()).collect();
    let gone_on = taken_up.iter().filter(|attempts| attempts.iter().any(|attempt| attempt.went_on)).count();
    let new: Vec<_> = seen.iter().map(|s| &s.first).filter(counts).collect();
    let begun = new.iter().filter(|attempt| attempt.went_on).count();
    record.say(&format!(
        "from {from:.1} s, at machines in touch: {gone_on} of {} streams that were taken up go on, {begun} of {} new ones begin",
        taken_up.len(),
        new.len()
    ));
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    taken_up.len() >= MIN_TAKEN_UP && share(gone_on, taken_up.len()) < share(begun, new.len()) / 2.0
}

fn play(record: &Record, folder: &Path) -> i32 {
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let has_release = env::var("WITHOUT").as_deref() != Ok("release");
    let store = Store::start();
    store.put("op", "config", &configuration());
    let start_worker = |id: &str, version: &str, stage, zone: usize| {
        Worker::start(&store, record, SERVICE, id, version, stage, ZONES[zone])
    };
    let _old = [
        start_worker("i-1a", "v1", "prefill", 0),
        start_worker("i-1b", "v1", "decode", 0),
        start_worker("i-1c", "v1", "decode", 1),
        start_worker("i-1d", "v1", "decode", 2),
    ];
    let root = env::current_dir().expect("folder of the repository");
    let mut instances = Vec::new();
    for (zone, count) in ZONES.into_iter().zip(INSTANCES) {
        for n in 1..=count {
            let name = format!("front-{zone}-{n}");
            instances.push(Instance::start(&root, folder, &name, zone, &store.address, record));
        }
    }
    if !instances.iter().all(|instance| instance.wait_ready(Duration::from_secs(15))) {
        record.say("an instance does not get ready");
        return 2;
    }
    let addresses = instances.iter().map(|instance| instance.callers.clone()).collect();
    let addresses = Arc::new(Mutex::new(addresses));
    let is_over = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let until = |at: f64| thread::sleep(Duration::from_secs_f64(at).saturating_sub(start.elapsed()));
    let clients = {
        let (record, is_over) = (record.clone(), is_over.clone());
        thread::spawn(move || traffic(record, addresses, is_over))
    };
    until(KILLED_AT);
    if has_trouble {
        instances.iter_mut().for_each(Instance::kill);
    }
    until(JOINS_AT);
    let _new = has_release.then(|| start_worker("i-2a", "v2", "decode", 0));
    until(BACK_AT);
    if has_trouble {
        instances.iter_mut().for_each(Instance::restart);
    }
    let back = record.at();
    until(ENDS_AT);
    is_over.store(true, Ordering::SeqCst);
    let seen = clients.join().expect("the clients");
    let before: Vec<_> = seen.iter().filter(|s| s.first.went_on && s.first.at < back).collect();
    let whole = before.iter().filter(|s| s.is_whole).count();
    record.say(&format!("{whole} of {} streams that began before {back:.1} s reached their clients whole", before.len()));
    let joined = seen.iter().filter(|s| s.versions.len() > 1).count();
    record.say(&format!("{joined} of {} streams hold events of two versions", seen.len()));
    i32::from(is_broken(record, &seen, back + STABLE_WINDOW))
}

fn main() {
    let path = env::args().nth(1).unwrap_or_else(|| "record.txt".into());
    let record = Record::create(Path::new(&path));
    let folder = env::temp_dir().join(format!("jl-review-streams-{}", process::id()));
    fs::create_dir_all(&folder).expect("temporary folder");
    let code = panic::catch_unwind(|| play(&record, &folder)).unwrap_or(2);
    record.say(match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    });
    let _ = fs::remove_dir_all(&folder);
    exit(code);
}
