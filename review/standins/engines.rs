//! Stand-ins of model workers: prefill and decode engines that say which software they run.

use std::collections::BTreeMap;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::worker_row_born;
use crate::http::{self, Request, Writer};
use crate::store::Store;

/// A run of a request at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub engine: String,
    pub version: String,
    pub after_event: u64,
    pub began_at: Instant,
}

/// What an engine does; may be changed while it runs.
#[derive(Clone, Debug)]
pub struct Conduct {
    pub version: String,
    pub born: u64,
    pub stage: &'static str,
    /// Whether the process runs; one that does not resets connections.
    pub is_up: bool,
    /// Time that a prefill takes.
    pub prefill_time: Duration,
    pub events: u64,
    pub event_gap: Duration,
    /// Until when the engine is silent: it sends nothing, and goes on then.
    pub silent_until: Option<Instant>,
}

/// KV caches that prefill engines keep, by handle, with the time at which each was made.
pub type Caches = Arc<Mutex<BTreeMap<String, Instant>>>;

/// Time for which a prefill engine keeps a KV cache (`kvHoldS`).
const CACHE_TIME: Duration = Duration::from_millis(500);

#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub address: String,
    pub conduct: Arc<Mutex<Conduct>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub holds: Arc<Mutex<Vec<Instant>>>,
    caches: Caches,
    prefilling: Arc<Mutex<()>>,
    /// Requests that were refused since their KV cache could not be had, and when.
    pub refusals: Arc<Mutex<Vec<(String, Instant)>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    counter: Arc<Mutex<u64>>,
}

impl Engine {
    pub fn start(
        name: &str,
        stage: &'static str,
        runs: &Arc<Mutex<Vec<Run>>>,
        caches: &Caches,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an engine cannot listen");
        let address = listener.local_addr().expect("no address").to_string();
        let engine = Self {
            name: name.to_string(),
            address,
            conduct: Arc::new(Mutex::new(Conduct {
                version: "v1".into(),
                born: 1_764_900_000_000,
                stage,
                is_up: true,
                prefill_time: Duration::from_millis(60),
                events: 45,
                event_gap: Duration::from_millis(100),
                silent_until: None,
            })),
            caches: caches.clone(),
            prefilling: Arc::default(),
            refusals: Arc::default(),
            runs: runs.clone(),
            holds: Arc::default(),
            connections: Arc::default(),
            counter: Arc::default(),
        };
        let served = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !served.conduct().is_up {
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    served.connections.lock().expect("poisoned lock").push(copy);
                }
                let served = served.clone();
                let handle =
                    move |request: Request, writer: &Writer| served.handle(&request, writer);
                thread::spawn(move || drop(http::serve_connection(stream, handle)));
            }
        });
        engine
    }

    pub fn conduct(&self) -> Conduct {
        self.conduct.lock().expect("poisoned lock").clone()
    }

    pub fn change(&self, f: impl FnOnce(&mut Conduct)) {
        f(&mut self.conduct.lock().expect("poisoned lock"));
    }

    pub fn register(&self, store: &Store, state: &str) {
        let c = self.conduct();
        let row = worker_row_born("writers", &self.address, &c.version, state, c.stage, c.born);
        store.put("servers", &self.name, &row);
    }

    /// Ends the process: its connections close, and new ones are refused.
    pub fn stop(&self) {
        self.change(|c| c.is_up = false);
        for connection in self.connections.lock().expect("poisoned lock").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Waits while the engine is silent.
    fn wait_silence(&self) {
        while let Some(until) = self
            .conduct()
            .silent_until
            .filter(|until| Instant::now() < *until)
        {
            thread::sleep(until.saturating_duration_since(Instant::now()));
        }
    }

    fn next(&self) -> u64 {
        let mut counter = self.counter.lock().expect("poisoned lock");
        *counter += 1;
        *counter
    }

    fn handle(&self, request: &Request, writer: &Writer) -> bool {
        let c = self.conduct();
        if !c.is_up {
            return false;
        }
        self.wait_silence();
        let id = request.header("request-id").unwrap_or("").to_string();
        let by_id = [("Request-Id", id.as_str())];
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.name)
        {
            return http::send(writer, &http::answer(421, &by_id, b""));
        }
        let born = c.born;
        let json = |body: String| {
            http::answer(
                200,
                &[("Content-Type", "application/json")],
                body.as_bytes(),
            )
        };
        match (request.method.as_str(), request.path()) {
            ("POST", "/jacinthlever/hold-take") => {
                self.holds
                    .lock()
                    .expect("poisoned lock")
                    .push(Instant::now());
                let body = format!("{{\"kvHold\":\"h{}\",\"born\":{born}}}", self.next());
                return http::send(writer, &json(body));
            }
            ("GET", "/jacinthlever/report") => {
                let body = format!(
                    "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
                     \"seq\":0,\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":39101,\"kvHandles\":0,\"born\":{born}}}",
                    c.stage
                );
                return http::send(writer, &json(body));
            }
            ("POST", "/jacinthlever/order") => {
                return http::send(writer, &http::answer(202, &[], b"{}"));
            }
            (_, path) if path.starts_with("/jacinthlever/") => {
                return http::send(writer, &json("{}".into()));
            }
            _ => {}
        }
        if request.header("serving-stage") == Some("prefill") {
            {
                // One prompt after the other.
                let _turn = self.prefilling.lock().expect("poisoned lock");
                thread::sleep(c.prefill_time);
            }
            let tokens = request
                .header("token-counts")
                .and_then(|t| t.split(',').next())
                .unwrap_or("0");
            let handle = format!("{}-{}", self.name, self.next());
            self.caches
                .lock()
                .expect("poisoned lock")
                .insert(handle.clone(), Instant::now());
            let body = format!("{{\"kvHandle\":\"{handle}\",\"tokens\":{tokens},\"version\":1}}");
            let headers = [
                ("Request-Id", id.as_str()),
                ("Content-Type", "application/json"),
            ];
            return http::send(writer, &http::answer(200, &headers, body.as_bytes()));
        }
        if let Some(source) = request.header("kv-source") {
            let handle = source.rsplit('/').next().unwrap_or("");
            let made_at = self.caches.lock().expect("poisoned lock").remove(handle);
            if made_at.is_none_or(|at| at.elapsed() > CACHE_TIME) {
                self.refusals
                    .lock()
                    .expect("poisoned lock")
                    .push((id.clone(), Instant::now()));
                let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
                return http::send(writer, &http::answer(503, &headers, b""));
            }
        }
        self.stream(request, &id, &c, writer)
    }

    fn stream(&self, request: &Request, id: &str, c: &Conduct, writer: &Writer) -> bool {
        let after = request
            .header("last-event-id")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        self.runs.lock().expect("poisoned lock").push(Run {
            id: id.to_string(),
            engine: self.name.clone(),
            version: c.version.clone(),
            after_event: after,
            began_at: Instant::now(),
        });
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if !http::send(writer, head.as_bytes()) {
            return false;
        }
        for n in after + 1..=c.events {
            thread::sleep(c.event_gap);
            self.wait_silence();
            let event = format!("id: {n}\ndata: {} piece {n}\n\n", c.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if !self.conduct().is_up || !http::send(writer, chunk.as_bytes()) {
                return false;
            }
        }
        http::send(writer, b"0\r\n\r\n")
    }
}

/// Returns the versions and the numbers of the events in the answer to a stream.
pub fn events(text: &str) -> Vec<(u64, String)> {
    let mut found = Vec::new();
    let mut number = 0;
    for line in text.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            number = id.parse().unwrap_or(0);
        } else if let Some(data) = line.strip_prefix("data: ") {
            found.push((number, data.split(' ').next().unwrap_or("").to_string()));
        }
    }
    found
}

/// Counts texts.
pub fn count<T: Ord>(items: impl Iterator<Item = T>) -> BTreeMap<T, usize> {
    let mut counts = BTreeMap::new();
    for item in items {
        *counts.entry(item).or_default() += 1;
    }
    counts
}
