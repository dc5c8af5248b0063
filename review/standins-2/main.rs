//! Plays one case of the review: `standins CASE REPOSITORY RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the same is done without the disruption.

mod client;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use std::{env, fs, process};

use client::{Addresses, Plan, Seen};
use fleet::Instance;
use record::Record;
use store::Store;
use worker::Worker;

const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const SERVICE: &str = "redactor-lm";
const OTHER_SERVICE: &str = "redactor-lm-2";

/// Bound of the pages after which a calm machine is in touch.
const STABLE_WINDOW: f64 = 3.0;

struct Setting {
    record: Record,
    root: PathBuf,
    folder: PathBuf,
    store: Store,
    has_trouble: bool,
    /// Whether one of two disruptions is left out, to see that both are needed.
    leaves_out: String,
}

impl Setting {
    fn worker(&self, id: &str, version: &str, stage: &'static str, zone: &str) -> Worker {
        self.worker_of(SERVICE, id, version, stage, zone)
    }

    fn worker_of(
        &self,
        service: &str,
        id: &str,
        version: &str,
        stage: &'static str,
        zone: &str,
    ) -> Worker {
        Worker::start(&self.store, &self.record, service, id, version, stage, zone)
    }

    /// Starts one instance in each zone, and waits until all are ready.
    fn instances(&self, zones: &[&str]) -> Vec<Instance> {
        let start = |zone: &&str| {
            Instance::start(
                &self.root,
                &self.folder,
                &format!("front-{zone}-1"),
                zone,
                &self.store.address,
                &self.record,
            )
        };
        let instances: Vec<Instance> = zones.iter().map(start).collect();
        if !instances
            .iter()
            .all(|i| i.wait_ready(Duration::from_secs(15)))
        {
            self.record.say("an instance does not get ready");
            drop(instances);
            self.end(2);
        }
        instances
    }

    /// Waits until a time of the case, in seconds.
    fn until(&self, start: Instant, at: f64) {
        let left = Duration::from_secs_f64(at).saturating_sub(start.elapsed());
        thread::sleep(left);
    }

    fn end(&self, code: i32) -> ! {
        let _ = fs::remove_dir_all(&self.folder);
        exit(code);
    }
}

/// Returns the operator's configuration.
fn configuration(timeout_ms: u64) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-828m82t","host":"quotes.example","pathPrefix":"/pufi791/","kind":"stream",
"timeoutMs":{timeout_ms},"targetLatencyMs":900,"priority":1,"service":"{SERVICE}","maxAttempts":2,"public":false,
"sticky":true,"resumable":true,"gapAimMs":1200}}],
"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,
"engine":{{"slots":64,"kvTokens":39101,"kvTokenBytes":327680,"linkMbps":3600000.0,"moves":true,"backups":true,
"stride":1,"most":12,"kvHoldS":0.5,"stageSwitchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{{"name":"m"}}]}}}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1,"unit":"token_gen","plainTokens":200,
"ratePerS":59649,"burst":59649}}]}}"#
    )
}

/// Returns the configuration with the route split between two services of engines, with these weights.
fn split_configuration(version: u64, weights: (u64, u64)) -> String {
    let split = format!(
        "\"trafficSplit\":[{{\"service\":\"{SERVICE}\",\"weight\":{}}},{{\"service\":\"{OTHER_SERVICE}\",\"weight\":{}}}]",
        weights.0, weights.1
    );
    let text = configuration(14_000).replace("\"version\":7", &format!("\"version\":{version}"));
    let text = text.replacen(&format!("\"service\":\"{SERVICE}\""), &split, 1);
    let begin = text.find("\"services\":[").expect("no services") + "\"services\":[".len();
    let end = text.find("],\n\"limits\"").expect("no limits");
    let service = text[begin..end].to_string();
    let other = service.replace(SERVICE, OTHER_SERVICE);
    text.replacen(&service, &format!("{service},{other}"), 1)
}

/// Clients that begin streams at a rate until they are stopped.
struct Traffic {
    is_over: Arc<AtomicBool>,
    starter: JoinHandle<()>,
    clients: Arc<Mutex<Vec<JoinHandle<()>>>>,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Traffic {
    fn start(
        record: &Record,
        addresses: &Addresses,
        name: &str,
        per_s: f64,
        plan: Plan,
    ) -> Traffic {
        Self::start_with(record, addresses, name, per_s, plan, 0.5)
    }

    /// Starts clients whose pauses vary by a part of them.
    fn start_with(
        record: &Record,
        addresses: &Addresses,
        name: &str,
        per_s: f64,
        plan: Plan,
        part: f64,
    ) -> Traffic {
        let is_over = Arc::new(AtomicBool::new(false));
        let clients: Arc<Mutex<Vec<JoinHandle<()>>>> = Arc::default();
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let (over, handles, results) = (is_over.clone(), clients.clone(), seen.clone());
        let (record, addresses, name) = (record.clone(), addresses.clone(), name.to_string());
        let number = AtomicU64::new(0);
        let starter = thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let n = number.fetch_add(1, Ordering::SeqCst);
                let (record, addresses, results) =
                    (record.clone(), addresses.clone(), results.clone());
                let (name, plan) = (format!("{name}{n}"), spread(&plan, n, part));
                handles.lock().unwrap().push(thread::spawn(move || {
                    let seen = client::run(&record, &addresses, &name, &plan);
                    results.lock().unwrap().push(seen);
                }));
                thread::sleep(Duration::from_secs_f64(1.0 / per_s));
            }
        });
        Traffic {
            is_over,
            starter,
            clients,
            seen,
        }
    }

    fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    /// Waits for all clients and returns what they saw.
    fn finish(self) -> Vec<Seen> {
        self.stop();
        let _ = self.starter.join();
        let clients: Vec<JoinHandle<()>> = self.clients.lock().unwrap().drain(..).collect();
        for client in clients {
            let _ = client.join();
        }
        std::mem::take(&mut *self.seen.lock().unwrap())
    }
}

/// Varies the pauses of a client by up to a part of them, so that clients don't return together.
fn spread(plan: &Plan, number: u64, part: f64) -> Plan {
    let mut word = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    let mut draw = || {
        word ^= word << 13;
        word ^= word >> 7;
        word ^= word << 17;
        1.0 + part * (2.0 * (word >> 11) as f64 / (1u64 << 53) as f64 - 1.0)
    };
    Plan {
        pauses: plan.pauses.iter().map(|p| p.mul_f64(draw())).collect(),
        ..plan.clone()
    }
}

fn addresses(instances: &[Instance]) -> Addresses {
    let callers = instances.iter().map(|i| i.callers.clone());
    Arc::new(Mutex::new(callers.collect()))
}

fn seconds(list: &[f64]) -> Vec<Duration> {
    list.iter().map(|s| Duration::from_secs_f64(*s)).collect()
}

/// Counts streams that hold events of two versions, and says which.
fn joined(record: &Record, seen: &[Seen]) -> usize {
    let joined: Vec<&Seen> = seen.iter().filter(|s| s.versions.len() > 1).collect();
    for stream in &joined {
        record.line(&format!(
            "stream {} holds events of {}, of {} take-ups the last was answered {}",
            stream.name,
            stream.versions.join(" and "),
            stream.take_ups.len(),
            stream.take_ups.last().map_or(0, |attempt| attempt.status)
        ));
    }
    joined.len()
}

/// ORDER: a release, and streams whose clients come back after a minute.
fn late_take_up(s: &Setting) -> i32 {
    s.store.put("op", "config", &configuration(100_000));
    let old = [
        s.worker("i-1a", "v1", "prefill", "a"),
        s.worker("i-1b", "v1", "decode", "a"),
        s.worker("i-1c", "v1", "decode", "b"),
    ];
    let instances = s.instances(&["a", "b"]);
    let addresses = addresses(&instances);
    let start = Instant::now();
    let plan = Plan {
        path: "/pufi791/2f?pieces=85&gap=1000".into(),
        pieces: 85,
        deadline: Duration::from_secs(98),
        pauses: seconds(&[1.0, 8.0, 62.0]),
        key: KEY,
    };
    let short = Plan {
        path: "/pufi791/2f?pieces=5&gap=200".into(),
        pieces: 5,
        deadline: Duration::from_secs(14),
        pauses: seconds(&[0.3]),
        key: KEY,
    };
    let long = Traffic::start_with(&s.record, &addresses, "long", 20.0, plan, 0.1);
    let others = Traffic::start(&s.record, &addresses, "short", 3.0, short);
    s.until(start, 1.0);
    long.stop();
    let mut new = Vec::new();
    if s.has_trouble {
        s.until(start, 3.0);
        new.push(s.worker("i-2a", "v2", "prefill", "a"));
        new.push(s.worker("i-2b", "v2", "decode", "a"));
        new.push(s.worker("i-2c", "v2", "decode", "b"));
        s.until(start, 5.0);
        old.iter().for_each(Worker::leave_list);
        s.until(start, 10.0);
        old.iter().for_each(Worker::end);
    }
    s.until(start, 96.0);
    others.stop();
    let long = long.finish();
    let others = others.finish();
    let whole = long.iter().filter(|s| s.is_whole).count();
    let began = others.iter().filter(|s| s.first.status == 200).count();
    let joined = joined(&s.record, &long);
    s.record.say(&format!(
        "{} long streams, {whole} whole, {joined} joined from two versions (2 are allowed); {began} of {} short ones served",
        long.len(),
        others.len()
    ));
    drop(instances);
    i32::from(joined > 2)
}

/// Checks LOST for streams that are taken up. `is_in_touch` says of a time and an address whether the machine was
/// in touch then; new streams count that were sent before `to`.
fn take_up_share(
    s: &Setting,
    seen: &[Seen],
    is_in_touch: impl Fn(f64, &str) -> bool,
    (from, to): (f64, f64),
) -> i32 {
    let counts =
        |a: &&client::Attempt| a.at >= from && a.status != 0 && is_in_touch(a.at, &a.address);
    let taken: Vec<Vec<&client::Attempt>> = seen
        .iter()
        .map(|s| s.take_ups.iter().filter(counts).collect::<Vec<_>>())
        .filter(|attempts| !attempts.is_empty())
        .collect();
    let gone_on = taken.iter().filter(|t| t.iter().any(|a| a.went_on)).count();
    let new: Vec<&client::Attempt> = seen
        .iter()
        .map(|s| &s.first)
        .filter(|a| counts(a) && a.at < to)
        .collect();
    let begun = new.iter().filter(|a| a.went_on).count();
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let (old_share, new_share) = (share(gone_on, taken.len()), share(begun, new.len()));
    s.record.say(&format!(
        "from {from:.1} s, at machines in touch: {gone_on} of {} streams that were taken up go on ({old_share:.2}), \
         {begun} of {} new ones begin ({new_share:.2})",
        taken.len(),
        new.len()
    ));
    i32::from(taken.len() >= 12 && old_share < new_share / 2.0)
}

/// LOST: streams older than a minute, two versions side by side, and one instance that is stopped as planned.
fn long_streams(s: &Setting) -> i32 {
    s.store.put("op", "config", &configuration(100_000));
    let _workers = [
        s.worker("i-1a", "v1", "prefill", "a"),
        s.worker("i-1b", "v1", "decode", "a"),
        s.worker("i-1c", "v1", "decode", "b"),
        s.worker("i-2a", "v2", "prefill", "a"),
        s.worker("i-2b", "v2", "decode", "a"),
        s.worker("i-2c", "v2", "decode", "b"),
    ];
    let mut instances = s.instances(&["a", "b", "c"]);
    let at_first = addresses(&instances[..1]);
    let all = addresses(&instances);
    let start = Instant::now();
    let plan = Plan {
        path: "/pufi791/2f?pieces=90&gap=1000".into(),
        pieces: 90,
        deadline: Duration::from_secs(98),
        pauses: seconds(&[0.5, 2.0, 6.0]),
        key: KEY,
    };
    let short = Plan {
        path: "/pufi791/2f?pieces=5&gap=200".into(),
        pieces: 5,
        deadline: Duration::from_secs(14),
        pauses: seconds(&[0.3]),
        key: KEY,
    };
    let long = Traffic::start(&s.record, &at_first, "long", 20.0, plan);
    let others = Traffic::start(&s.record, &all, "short", 4.0, short);
    s.until(start, 1.0);
    long.stop();
    s.until(start, 5.0);
    // Clients know all instances.
    *at_first.lock().unwrap() = all.lock().unwrap().clone();
    s.until(start, 66.0);
    let killed_at = s.record.at();
    if s.has_trouble {
        instances[0].terminate();
        s.until(start, 74.0);
        instances[0].kill();
        s.until(start, 75.0);
        instances[0].restart();
    }
    s.until(start, 84.0);
    others.stop();
    let others = others.finish();
    s.until(start, 96.0);
    let long = long.finish();
    let mut all_seen = long.clone();
    all_seen.extend(others);
    let stopped = instances[0].callers.clone();
    let in_touch = |_: f64, address: &str| address != stopped;
    let broken = take_up_share(s, &all_seen, in_touch, (killed_at, killed_at + 14.0));
    let whole = long.iter().filter(|s| s.is_whole).count();
    s.record
        .say(&format!("{whole} of {} long streams are whole", long.len()));
    drop(instances);
    broken
}

/// LOST: the weights of a split route change, and one instance is killed.
fn moved_weights(s: &Setting) -> i32 {
    s.store
        .put("op", "config", &split_configuration(7, (90, 10)));
    let _workers = [
        s.worker("i-1a", "v1", "prefill", "a"),
        s.worker("i-1b", "v1", "decode", "a"),
        s.worker("i-1c", "v1", "decode", "b"),
        s.worker_of(OTHER_SERVICE, "i-2a", "v2", "prefill", "a"),
        s.worker_of(OTHER_SERVICE, "i-2b", "v2", "decode", "a"),
        s.worker_of(OTHER_SERVICE, "i-2c", "v2", "decode", "b"),
    ];
    let mut instances = s.instances(&["a", "b", "c"]);
    let addresses = addresses(&instances);
    let start = Instant::now();
    let plan = Plan {
        path: "/pufi791/2f?pieces=80&gap=100".into(),
        pieces: 80,
        deadline: Duration::from_secs(14),
        pauses: seconds(&[0.4, 1.0, 1.6]),
        key: KEY,
    };
    let traffic = Traffic::start(&s.record, &addresses, "s", 15.0, plan);
    s.until(start, 9.0);
    if s.has_trouble && s.leaves_out != "weights" {
        s.store
            .put("op", "config", &split_configuration(9, (10, 90)));
        s.record
            .line("the operator moves the weights from 90 and 10 to 10 and 90");
    }
    s.until(start, 9.3);
    let killed_at = s.record.at();
    if s.has_trouble && s.leaves_out != "kill" {
        instances[0].kill();
        s.until(start, 10.3);
        instances[0].restart();
    }
    s.until(start, 16.0);
    let seen = traffic.finish();
    let killed = instances[0].callers.clone();
    let in_touch = |_: f64, address: &str| address != killed;
    let broken = take_up_share(s, &seen, in_touch, (killed_at, killed_at + 5.0));
    drop(instances);
    broken
}

/// LOST: two versions side by side for longer than a minute, then the store comes back from a copy, and some
/// seconds later all instances are killed.
fn restored_journal(s: &Setting) -> i32 {
    s.store.put("op", "config", &configuration(14_000));
    let _workers = [
        s.worker("i-1a", "v1", "prefill", "a"),
        s.worker("i-1b", "v1", "decode", "a"),
        s.worker("i-1c", "v1", "decode", "b"),
        s.worker("i-2a", "v2", "prefill", "a"),
        s.worker("i-2b", "v2", "decode", "a"),
        s.worker("i-2c", "v2", "decode", "b"),
    ];
    let mut instances = s.instances(&["a", "b", "c"]);
    let addresses = addresses(&instances);
    let start = Instant::now();
    let plan = Plan {
        path: "/pufi791/2f?pieces=60&gap=100".into(),
        pieces: 60,
        deadline: Duration::from_secs(14),
        pauses: seconds(&[0.6, 1.6, 2.6]),
        key: KEY,
    };
    let traffic = Traffic::start(&s.record, &addresses, "s", 8.0, plan);
    s.until(start, 78.0);
    let copy = s.store.copy();
    s.record.line("the copy of the store is made");
    s.until(start, 81.0);
    if s.has_trouble && s.leaves_out != "restore" {
        s.record.line("the store goes away");
        s.store.go_away();
        s.until(start, 82.0);
        s.store.return_from(&copy);
        s.record.line("the store comes back from the copy");
    }
    s.until(start, 91.0);
    let (rows, newest) = s.store.table("streams");
    s.record.say(&format!(
        "table of the streams: {rows} rows, the newest of version {newest}"
    ));
    let mut back_at = s.record.at();
    if s.has_trouble && s.leaves_out != "kill" {
        instances.iter_mut().for_each(Instance::kill);
        s.until(start, 92.0);
        instances.iter_mut().for_each(Instance::restart);
        back_at = s.record.at();
    }
    s.until(start, 102.0);
    let seen = traffic.finish();
    let taken: Vec<&Seen> = seen.iter().filter(|s| !s.take_ups.is_empty()).collect();
    let whole = taken.iter().filter(|s| s.is_whole).count();
    s.record.say(&format!(
        "of {} streams that were taken up at any time, {whole} are whole",
        taken.len()
    ));
    let from = back_at + STABLE_WINDOW;
    let broken = take_up_share(s, &seen, |_, _| true, (from, from + 4.0));
    drop(instances);
    broken
}

/// LOST: workers fall silent for a second or so while streams run that an instance has passed on, since it is cut
/// off from all workers.
fn silent_relays(s: &Setting) -> i32 {
    let config = configuration(14_000);
    let config = config.replace("\"targetLatencyMs\":900", "\"targetLatencyMs\":150");
    let config = config.replace("\"gapAimMs\":1200", "\"gapAimMs\":150");
    s.store.put("op", "config", &config);
    let workers = [
        s.worker("i-1a", "v1", "prefill", "a"),
        s.worker("i-1b", "v1", "decode", "a"),
        s.worker("i-1c", "v1", "decode", "b"),
        s.worker("i-1d", "v1", "decode", "b"),
    ];
    let start = |zone: &str, store: &str| {
        let name = format!("front-{zone}-1");
        Instance::start(&s.root, &s.folder, &name, zone, store, &s.record)
    };
    let mut instances = vec![
        start("a", &s.store.other_view()),
        start("b", &s.store.address),
        start("c", &s.store.address),
    ];
    if !instances
        .iter()
        .all(|i| i.wait_ready(Duration::from_secs(15)))
    {
        s.record.say("an instance does not get ready");
        drop(instances);
        s.end(2);
    }
    let address = addresses(&instances[..1]);
    let start = Instant::now();
    let plan = Plan {
        path: "/pufi791/2f?pieces=80&gap=100".into(),
        pieces: 80,
        deadline: Duration::from_secs(14),
        pauses: Vec::new(),
        key: KEY,
    };
    s.until(start, 2.0);
    if s.leaves_out != "cut" {
        s.record
            .line("front-a-1 is cut off from all workers, for the rest of the case");
        workers.iter().for_each(Worker::cut);
    }
    s.until(start, 5.5);
    let traffic = Traffic::start(&s.record, &address, "s", 20.0, plan);
    s.until(start, 8.0);
    traffic.stop();
    instances[0].hang_up();
    let planned_at = s.record.at();
    s.until(start, 8.5);
    if s.has_trouble {
        let silence = Duration::from_millis(1750);
        workers.iter().for_each(|w| w.fall_silent(silence));
    }
    let seen = traffic.finish();
    let begun = seen.iter().filter(|s| s.first.went_on).count();
    let whole = seen.iter().filter(|s| s.is_whole).count();
    let is_cut = |s: &&Seen| s.first.broken_at.is_some_and(|at| at > planned_at);
    let cut = seen.iter().filter(is_cut).count();
    s.record.say(&format!(
        "{} streams, {begun} begun, {whole} whole, {cut} cut off after the SIGHUP",
        seen.len()
    ));
    drop(instances);
    i32::from(cut > 3)
}

/// CONFIG: nobody reads the logs of the instances for a time, while a worker spoils some of its answers.
fn unread_logs(s: &Setting) -> i32 {
    let timeout = 14.0;
    s.store.put("op", "config", &configuration(14_000));
    let workers = [
        s.worker("i-1a", "v1", "prefill", "a"),
        s.worker("i-1b", "v1", "prefill", "b"),
        s.worker("i-1c", "v1", "decode", "a"),
        s.worker("i-1d", "v1", "decode", "b"),
    ];
    let pauses = Arc::new(AtomicBool::new(false));
    let start = |zone: &&str| {
        Instance::start_with(
            &s.root,
            &s.folder,
            &format!("front-{zone}-1"),
            zone,
            &s.store.address,
            &s.record,
            Some(pauses.clone()),
        )
    };
    let instances: Vec<Instance> = ["a", "b", "c"].iter().map(start).collect();
    if !instances
        .iter()
        .all(|i| i.wait_ready(Duration::from_secs(15)))
    {
        s.record.say("an instance does not get ready");
        drop(instances);
        s.end(2);
    }
    let addresses = addresses(&instances);
    let start = Instant::now();
    let plan = Plan {
        path: "/pufi791/2f?pieces=40&gap=100".into(),
        pieces: 40,
        deadline: Duration::from_secs(20),
        pauses: Vec::new(),
        key: KEY,
    };
    s.until(start, 1.0);
    let traffic = Traffic::start(&s.record, &addresses, "s", 20.0, plan);
    s.until(start, 5.0);
    if s.has_trouble && s.leaves_out != "pause" {
        s.record.line("nobody reads the logs");
        pauses.store(true, Ordering::SeqCst);
    }
    for from in [20.0, 28.0, 36.0] {
        s.until(start, from);
        if s.has_trouble && s.leaves_out != "spoil" {
            workers[2].spoil(50);
        }
        s.until(start, from + 6.0);
        if s.has_trouble && s.leaves_out != "spoil" {
            workers[2].spoil(0);
        }
    }
    traffic.stop();
    s.until(start, 58.0);
    for instance in &instances {
        let is_ready = instance.is_ready();
        s.record
            .say(&format!("{} is ready: {is_ready}", instance.name));
    }
    pauses.store(false, Ordering::SeqCst);
    s.record.line("the logs are read again");
    let seen = traffic.finish();
    // Streams that have begun, so that an instance has read and sent them, and their last byte or end of connection.
    let lasted = |seen: &Seen| match (seen.is_whole, seen.first.broken_at) {
        (false, Some(at)) => at - seen.first.at,
        _ => 0.0,
    };
    let begun: Vec<&Seen> = seen.iter().filter(|s| s.first.went_on).collect();
    let late = begun.iter().filter(|s| lasted(s) >= timeout).count();
    let unanswered = begun.iter().filter(|s| lasted(s) >= timeout + 0.5).count();
    let whole = begun.iter().filter(|s| s.is_whole).count();
    s.record.say(&format!(
        "{} streams, {} begun, {whole} whole; of {late} that had no end when the route's time was over, \
         {unanswered} had none half a second later",
        seen.len(),
        begun.len()
    ));
    drop(instances);
    i32::from(unanswered >= 8 && unanswered * 2 > late)
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("usage: standins CASE REPOSITORY RECORD");
        exit(2);
    };
    let root = fs::canonicalize(root).expect("no repository");
    let folder = env::temp_dir().join(format!("jacinthlever-review-{}", process::id()));
    fs::create_dir_all(&folder).expect("no temporary folder");
    if !root.join("target/release/jacinthlever-instance").exists() {
        eprintln!("the program is not built");
        exit(2);
    }
    let setting = Setting {
        record: Record::create(Path::new(record)),
        root,
        folder,
        store: Store::start(),
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
        leaves_out: env::var("WITHOUT").unwrap_or_default(),
    };
    setting.record.say(&format!(
        "case {case}, {}",
        match setting.has_trouble {
            true => "with the disruption",
            false => "without the disruption",
        }
    ));
    let code = match case.as_str() {
        "late-take-up" => late_take_up(&setting),
        "long-streams" => long_streams(&setting),
        "restored-journal" => restored_journal(&setting),
        "moved-weights" => moved_weights(&setting),
        "silent-relays" => silent_relays(&setting),
        "unread-logs" => unread_logs(&setting),
        _ => 2,
    };
    let verdict = match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    };
    setting.record.say(verdict);
    setting.end(code);
}
