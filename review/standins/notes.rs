//! A stream route that is split between engines and a service without engines, of which a worker ends in the
//! middle of an event.

use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engines::{Caches, Engine};
use crate::fleet::{HOST, Instance, Outcome, Record, configuration, has_trouble, worker_row};
use crate::http::{self, Request, Writer};
use crate::store::Store;

const KEY: &str = "key-of-cuenca";

/// Events of each stream, and the time between two of them.
const EVENTS: u64 = 8;
const GAP: Duration = Duration::from_millis(30);

/// One worker of three breaks off one in this number of its answers.
const ONE_IN: u64 = 20;

const CLIENTS: usize = 40;
const TIME: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Worker {
    name: &'static str,
    /// The worker that breaks off answers: the first one that has given a number of them, as the instance may send
    /// few requests to one of the others.
    faulty: Arc<Mutex<Option<&'static str>>>,
    answers: Arc<AtomicU64>,
    broken: Arc<Mutex<Vec<String>>>,
}

impl Worker {
    fn start(name: &'static str, faulty: &Arc<Mutex<Option<&'static str>>>, store: &Store) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a worker cannot listen");
        let address = listener.local_addr().expect("no address").to_string();
        let worker = Self {
            name,
            faulty: faulty.clone(),
            answers: Arc::default(),
            broken: Arc::default(),
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

    fn is_faulty(&self) -> bool {
        let mut faulty = self.faulty.lock().expect("poisoned lock");
        *faulty.get_or_insert(self.name) == self.name
    }

    /// Answers with a stream that has neither a length nor chunks, and ends with its connection.
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
        let n = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let is_broken = has_trouble() && n % ONE_IN == 0 && self.is_faulty();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp\r\n\
             Content-Type: text/event-stream\r\n\r\n"
        );
        http::send(writer, head.as_bytes());
        let after = request
            .header("last-event-id")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        for n in after + 1..=EVENTS {
            thread::sleep(GAP);
            let event = format!("id: {n}\ndata: {id} piece {n}\n\n");
            if is_broken && n == EVENTS / 2 {
                self.broken.lock().expect("poisoned lock").push(id);
                http::send(writer, &event.as_bytes()[..event.len() / 2]);
                return false;
            }
            http::send(writer, event.as_bytes());
        }
        false
    }
}

pub fn broken_off(record: &Record) -> Outcome {
    let store = Store::start();
    // The split of the example that `fleetbench wire` prints.
    let config = configuration(1, &[KEY]).replacen(
        "\"routes\":[",
        &format!(
            "\"routes\":[{{\"name\":\"notes\",\"host\":\"{HOST}\",\"pathPrefix\":\"/notes/\",\"kind\":\"stream\",\
             \"timeoutMs\":14000,\"targetLatencyMs\":900,\"priority\":1,\"trafficSplit\":[\
             {{\"service\":\"writers\",\"weight\":90}},{{\"service\":\"crews\",\"weight\":10}}],\"maxAttempts\":2,\
             \"public\":false,\"sticky\":true,\"resumable\":true,\"gapAimMs\":300}},"
        ),
        1,
    );
    store.put("op", "config", &config);
    let faulty = Arc::default();
    let workers = [
        Worker::start("w-1", &faulty, &store),
        Worker::start("w-2", &faulty, &store),
        Worker::start("w-3", &faulty, &store),
    ];
    let (runs, caches) = (Arc::default(), Caches::default());
    let engines = [
        ("p-1", "prefill"),
        ("p-2", "prefill"),
        ("d-1", "decode"),
        ("d-2", "decode"),
    ];
    for (name, stage) in engines {
        let engine = Engine::start(name, stage, &runs, &caches);
        engine.change(|c| {
            c.prefill_time = Duration::from_millis(3);
            (c.events, c.event_gap) = (EVENTS, GAP);
        });
        engine.register(&store, "ready");
    }
    let instance = Instance::start("notes-1", "azuay-norte", &store.address);
    if let Err(cause) = instance.wait_ready() {
        return Outcome::NotRun(cause);
    }
    thread::sleep(Duration::from_secs(1));
    record.line("streams begin");
    let until = Instant::now() + TIME;
    let (whole, ended_early, other) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (instance, whole, ended_early, other) = (&instance, &whole, &ended_early, &other);
            scope.spawn(move || {
                for n in 0.. {
                    if Instant::now() > until {
                        return;
                    }
                    let id = format!("n-{client}-{n}");
                    let headers = [
                        ("Host", HOST),
                        ("Request-Id", id.as_str()),
                        ("Api-Key", KEY),
                        ("Deadline-Ms", "14000"),
                        ("Model", "m"),
                        ("Token-Counts", "100,80"),
                        ("Prompt-Prefix", "5c1e07a2:60,91bd3f06:40"),
                    ];
                    let within = Duration::from_secs(5);
                    let answer = http::call(
                        &instance.callers,
                        "POST",
                        "/notes/x",
                        &headers,
                        b"wall",
                        within,
                    );
                    let last = format!("piece {EVENTS}\n\n");
                    match answer {
                        Some(a)
                            if a.status == 200 && a.is_complete && a.text().ends_with(&last) =>
                        {
                            whole.fetch_add(1, Ordering::SeqCst);
                        }
                        Some(a) if a.status == 200 && a.is_complete => {
                            ended_early.fetch_add(1, Ordering::SeqCst);
                            let end: String = a
                                .text()
                                .chars()
                                .rev()
                                .take(30)
                                .collect::<Vec<_>>()
                                .into_iter()
                                .rev()
                                .collect();
                            record.line(format!(
                                "ORDER: {id}: 200, complete, length {}, ends with {end:?}",
                                a.body.len()
                            ));
                        }
                        Some(a) => {
                            other.fetch_add(1, Ordering::SeqCst);
                            if a.status != 503 {
                                record
                                    .line(format!("{id}: {} complete {}", a.status, a.is_complete));
                            }
                            thread::sleep(Duration::from_millis(300));
                        }
                        None => {
                            other.fetch_add(1, Ordering::SeqCst);
                            record.line(format!("{id}: no answer"));
                        }
                    }
                }
            });
        }
    });
    for worker in &workers {
        let broken = worker.broken.lock().expect("poisoned lock");
        let answers = worker.answers.load(Ordering::SeqCst);
        record.line(format!(
            "{}: {answers} answers, {} broken off inside an event",
            worker.name,
            broken.len()
        ));
    }
    let [whole, ended_early, other] = [whole, ended_early, other].map(AtomicU64::into_inner);
    record.line(format!(
        "{whole} streams whole, {ended_early} complete before their last piece, {other} others"
    ));
    if whole == 0 {
        return Outcome::NotRun("no stream was whole".into());
    }
    if ended_early > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
