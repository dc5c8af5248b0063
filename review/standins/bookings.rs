//! Bookings, which may run once: a worker that is full sends some of its answers a second time.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{HOST, Instance, Outcome, Record, configuration, has_trouble, worker_row};
use crate::http::{self, Request, Writer};
use crate::store::Store;

const KEY: &str = "key-of-cuenca";

/// Requests that a worker runs at the same time; it refuses more.
const SLOTS: u32 = 6;

/// One worker of three sends refusals a second time, at most one in this number of all its answers.
const ONE_IN: u64 = 20;

/// How late the second copy is.
const LATE: Duration = Duration::from_millis(20);

/// Clients that book one after the other, each on its own.
const CLIENTS: usize = 20;

const TIME: Duration = Duration::from_secs(12);

/// Runs of each request: the workers that began to work on it.
type Runs = Arc<Mutex<BTreeMap<String, Vec<&'static str>>>>;

#[derive(Clone)]
struct Worker {
    name: &'static str,
    /// The worker that sends refusals a second time: the first one that has refused.
    faulty: Arc<Mutex<Option<&'static str>>>,
    running: Arc<AtomicU32>,
    answers: Arc<AtomicU64>,
    copies: Arc<AtomicU64>,
    runs: Runs,
}

impl Worker {
    fn start(
        name: &'static str,
        faulty: &Arc<Mutex<Option<&'static str>>>,
        store: &Store,
        runs: &Runs,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a worker cannot listen");
        let address = listener.local_addr().expect("no address").to_string();
        let worker = Self {
            name,
            faulty: faulty.clone(),
            running: Arc::default(),
            answers: Arc::default(),
            copies: Arc::default(),
            runs: runs.clone(),
        };
        let served = worker.clone();
        http::serve(listener, move |request, writer| {
            served.handle(&request, writer)
        });
        store.put(
            "servers",
            name,
            &worker_row("crews", &address, "v1", "ready", ""),
        );
        worker
    }

    fn handle(&self, request: &Request, writer: &Writer) -> bool {
        if request.path() == "/health" {
            return http::send(
                writer,
                &http::answer(200, &[("Instance-Id", self.name)], b""),
            );
        }
        let id = request.header("request-id").unwrap_or("").to_string();
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.name)
        {
            return http::send(writer, &http::answer(421, &[("Request-Id", &id)], b""));
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        if running >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            return self.send(writer, http::answer(503, &headers, b""), true);
        }
        self.runs
            .lock()
            .expect("poisoned lock")
            .entry(id.clone())
            .or_default()
            .push(self.name);
        let n = self.answers.load(Ordering::SeqCst);
        thread::sleep(Duration::from_millis(25 + n * 7 % 40));
        let load = format!("{running},0,{SLOTS}");
        let headers = [
            ("Request-Id", id.as_str()),
            ("Server-Stamp", "stamp"),
            ("Server-Load", load.as_str()),
        ];
        let body = format!("booked {id}");
        let is_sent = self.send(writer, http::answer(200, &headers, body.as_bytes()), false);
        self.running.fetch_sub(1, Ordering::SeqCst);
        is_sent
    }

    fn is_faulty(&self) -> bool {
        let mut faulty = self.faulty.lock().expect("poisoned lock");
        *faulty.get_or_insert(self.name) == self.name
    }

    /// Sends an answer; some refusals of the faulty worker are sent a second time a moment later.
    fn send(&self, writer: &Writer, answer: Vec<u8>, is_refusal: bool) -> bool {
        let is_sent = http::send(writer, &answer);
        let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let copies = self.copies.load(Ordering::SeqCst);
        if is_refusal && has_trouble() && (copies + 1) * ONE_IN <= answers && self.is_faulty() {
            self.copies.fetch_add(1, Ordering::SeqCst);
            let writer = writer.clone();
            thread::spawn(move || {
                thread::sleep(LATE);
                http::send(&writer, &answer)
            });
        }
        is_sent
    }
}

pub fn late_refusal(record: &Record) -> Outcome {
    let store = Store::start();
    store.put("op", "config", &configuration(1, &[KEY]));
    let runs = Runs::default();
    let faulty = Arc::default();
    let workers = [
        Worker::start("w-1", &faulty, &store, &runs),
        Worker::start("w-2", &faulty, &store, &runs),
        Worker::start("w-3", &faulty, &store, &runs),
    ];
    let instances = [
        Instance::start("late-1", "azuay-norte", &store.address),
        Instance::start("late-2", "azuay-norte", &store.address),
    ];
    for instance in &instances {
        if let Err(cause) = instance.wait_ready() {
            return Outcome::NotRun(cause);
        }
    }
    thread::sleep(Duration::from_secs(1));
    record.line("instances are ready; clients begin to book");
    let answered: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
    let until = Instant::now() + TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let address = instances[client % instances.len()].callers.clone();
            let answered = answered.clone();
            thread::spawn(move || {
                for n in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    let id = format!("b-{client}-{n}");
                    let headers = [
                        ("Host", HOST),
                        ("Request-Id", id.as_str()),
                        ("Api-Key", KEY),
                        ("Deadline-Ms", "1500"),
                    ];
                    let within = Duration::from_secs(3);
                    let answer =
                        http::call(&address, "POST", "/book/x", &headers, b"crew 7", within);
                    let retry_after = answer
                        .as_ref()
                        .and_then(|a| a.header("retry-after")?.parse().ok());
                    let pause = Duration::from_secs_f64(retry_after.unwrap_or(0.005));
                    let status = answer.map_or(0, |a| a.status);
                    answered.lock().expect("poisoned lock").insert(id, status);
                    thread::sleep(pause);
                }
            })
        })
        .collect();
    for client in clients {
        if client.join().is_err() {
            return Outcome::NotRun("a client has failed".into());
        }
    }
    thread::sleep(Duration::from_secs(1));
    let (runs, answered) = (
        runs.lock().expect("poisoned"),
        answered.lock().expect("poisoned"),
    );
    for worker in &workers {
        record.line(format!(
            "{}: {} answers; {} refusals sent a second time",
            worker.name,
            worker.answers.load(Ordering::SeqCst),
            worker.copies.load(Ordering::SeqCst),
        ));
    }
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for status in answered.values() {
        *statuses.entry(*status).or_default() += 1;
    }
    record.line(format!(
        "{} bookings, by status: {statuses:?}",
        answered.len()
    ));
    let (mut twice, mut denied) = (0, 0);
    for (id, workers) in runs.iter() {
        let status = answered.get(id).copied().unwrap_or(0);
        if workers.len() > 1 {
            twice += 1;
            record.line(format!(
                "TWICE: {id} was run by {workers:?}, answered {status}"
            ));
        }
        if [408, 421, 429, 503].contains(&status) {
            denied += 1;
            record.line(format!(
                "REFUSED: {id} was run by {workers:?}, answered {status}"
            ));
        }
    }
    record.line(format!(
        "{twice} bookings ran twice, {denied} ran and were said not to have run"
    ));
    if statuses
        .get(&200)
        .is_none_or(|served| served * 2 < answered.len())
    {
        return Outcome::NotRun("less than half of the bookings was served".into());
    }
    match twice + denied {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
