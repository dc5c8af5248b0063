//! Stand-ins of workers: servers of a plain service, and prefill and decode engines.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Request, Server};
use crate::store::Store;

/// Interval at which a worker writes its registration; `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1200);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Plain,
    Prefill,
    Decode,
}

/// A request that began to run at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub worker: String,
    pub version: String,
    pub tenant: String,
    pub path: String,
    pub last_event: String,
}

/// What all workers share: the runs, and the handles of prompts that were read.
#[derive(Clone, Default)]
pub struct Floor {
    pub runs: Arc<Mutex<Vec<Run>>>,
    handles: Arc<Mutex<BTreeMap<String, String>>>,
    numbers: Arc<AtomicU64>,
}

impl Floor {
    fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::SeqCst)
    }
}

/// How long things take at a worker.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Work of a plain request.
    pub work: Duration,
    pub events: u64,
    pub event_gap: Duration,
}

pub struct Worker {
    pub id: String,
    pub kind: Kind,
    pub address: String,
    pub version: String,
    floor: Floor,
    store: Store,
    pace: Pace,
    born: u64,
    server: Option<Server>,
    alive: Arc<AtomicBool>,
    is_registered: Arc<AtomicBool>,
}

impl Worker {
    pub fn start(id: &str, kind: Kind, version: &str, floor: &Floor, store: &Store, pace: Pace) -> Self {
        let mut worker = Self {
            id: id.into(),
            kind,
            address: "127.0.0.1:0".into(),
            version: version.into(),
            floor: floor.clone(),
            store: store.clone(),
            pace,
            born: 0,
            server: None,
            alive: Arc::default(),
            is_registered: Arc::default(),
        };
        worker.begin(version);
        worker
    }

    /// Starts the process: it holds and knows nothing of before, and registers at once and with each heartbeat.
    pub fn begin(&mut self, version: &str) {
        let listener = (0..200)
            .find_map(|_| {
                let bound = TcpListener::bind(&self.address).ok();
                if bound.is_none() {
                    thread::sleep(Duration::from_millis(5));
                }
                bound
            })
            .expect("address of the worker");
        self.address = listener.local_addr().expect("worker").to_string();
        self.version = version.into();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.born = now.as_millis() as u64;
        self.alive = Arc::new(AtomicBool::new(true));
        self.is_registered = Arc::new(AtomicBool::new(true));
        let process = Process {
            id: self.id.clone(),
            kind: self.kind,
            version: self.version.clone(),
            born: self.born,
            address: self.address.clone(),
            pace: self.pace,
            floor: self.floor.clone(),
            holds: Arc::default(),
            alive: self.alive.clone(),
        };
        self.server = Some(Server::start(listener, move |request, conn| process.serve(request, conn)));
        let (alive, store, id) = (self.alive.clone(), self.store.clone(), self.id.clone());
        let is_registered = self.is_registered.clone();
        let (kind, address, version, born) = (self.kind, self.address.clone(), self.version.clone(), self.born);
        thread::spawn(move || {
            while alive.load(Ordering::SeqCst) && is_registered.load(Ordering::SeqCst) {
                // The entry changes only when more than its number of heartbeats does.
                store.keep("servers", &id, &entry(kind, &address, &version, born));
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Leaves without having reported it: the registration is removed, and the worker goes on serving.
    pub fn leave(&mut self) {
        self.is_registered.store(false, Ordering::SeqCst);
        self.store.remove("servers", &self.id);
    }

    /// Ends the process; its connections close.
    pub fn end(&mut self) {
        self.alive.store(false, Ordering::SeqCst);
        if let Some(server) = self.server.take() {
            server.stop();
        }
    }
}

fn entry(kind: Kind, address: &str, version: &str, born: u64) -> String {
    let (service, stage) = match kind {
        Kind::Plain => ("zvuk-library", ""),
        Kind::Prefill => ("mir-models", ",\"stage\":\"prefill\""),
        Kind::Decode => ("mir-models", ",\"stage\":\"decode\""),
    };
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"split-a\",\"version\":\"{version}\",\
         \"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1,\"born\":{born}{stage}}}"
    )
}

#[derive(Clone)]
struct Process {
    id: String,
    kind: Kind,
    version: String,
    born: u64,
    address: String,
    pace: Pace,
    floor: Floor,
    holds: Arc<Mutex<BTreeSet<String>>>,
    alive: Arc<AtomicBool>,
}

impl Process {
    fn serve(&self, request: &Request, conn: &mut Conn) -> io::Result<()> {
        let id = request.header("request-id").map(str::to_string);
        let mut headers = vec![("Instance-Id", self.id.clone())];
        if let Some(id) = &id {
            headers.push(("Request-Id", id.clone()));
        }
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            headers.push(("Not-Executed", "1".into()));
            return conn.answer(421, &headers, b"");
        }
        let refuse = |conn: &mut Conn, status: u16, mut headers: Vec<(&str, String)>| {
            headers.push(("Not-Executed", "1".into()));
            conn.answer(status, &headers, b"")
        };
        let path = request.path.as_str();
        let born = self.born;
        if path == "/jacinthlever/hold-take" {
            let hold = format!("h{}", self.floor.number());
            self.holds.lock().unwrap().insert(hold.clone());
            let body = format!("{{\"kvHold\":\"{hold}\",\"born\":{born}}}");
            return conn.answer(200, &headers, body.as_bytes());
        }
        if let Some(hold) = path.strip_prefix("/jacinthlever/hold-drop/") {
            self.holds.lock().unwrap().remove(hold);
            return conn.answer(200, &headers, b"{}");
        }
        if let Some(handle) = path.strip_prefix("/jacinthlever/kv-handle/") {
            let handle = format!("{}/{handle}", self.address);
            self.floor.handles.lock().unwrap().remove(&handle);
            return conn.answer(200, &headers, b"{}");
        }
        if path == "/jacinthlever/report" {
            let body = format!(
                "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":0,\
                 \"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":90000,\"kvHandles\":0,\"born\":{born}}}",
                if self.kind == Kind::Prefill { "prefill" } else { "decode" }
            );
            return conn.answer(200, &headers, body.as_bytes());
        }
        if path == "/jacinthlever/order" {
            // Another order is in progress.
            return conn.answer(409, &headers, b"{}");
        }
        if path == "/health" {
            return conn.answer(200, &headers, b"");
        }
        let Some(id) = id else {
            return refuse(conn, 400, headers);
        };
        if request.header("serving-stage") == Some("prefill") {
            if self.kind != Kind::Prefill {
                return refuse(conn, 421, headers);
            }
            thread::sleep(Duration::from_millis(20));
            let handle = format!("k{}", self.floor.number());
            let place = format!("{}/{handle}", self.address);
            self.floor.handles.lock().unwrap().insert(place, id);
            let body = format!("{{\"kvHandle\":\"{handle}\",\"tokens\":100,\"version\":1,\"born\":{born}}}");
            return conn.answer(200, &headers, body.as_bytes());
        }
        if self.kind == Kind::Prefill {
            return refuse(conn, 421, headers);
        }
        if let Some(hold) = request.header("kv-hold")
            && !self.holds.lock().unwrap().remove(hold)
        {
            return refuse(conn, 503, headers);
        }
        if let Some(source) = request.header("kv-source")
            && self.floor.handles.lock().unwrap().remove(source).is_none()
        {
            return refuse(conn, 503, headers);
        }
        let last_event = request.header("last-event-id").unwrap_or("").to_string();
        self.floor.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            id: id.clone(),
            worker: self.id.clone(),
            version: self.version.clone(),
            tenant: request.header("tenant").unwrap_or("").into(),
            path: path.into(),
            last_event: last_event.clone(),
        });
        headers.push(("Server-Stamp", format!("{id}.{}", self.id)));
        if self.kind == Kind::Plain {
            thread::sleep(self.pace.work);
            return conn.answer(200, &headers, format!("ran {id}").as_bytes());
        }
        headers.push(("Content-Type", "text/event-stream".into()));
        conn.begin(200, &headers)?;
        let first = last_event.parse::<u64>().map_or(1, |last| last + 1);
        for number in first..=self.pace.events {
            thread::sleep(self.pace.event_gap);
            if !self.alive.load(Ordering::SeqCst) || conn.is_closed() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let event = format!("id: {number}\ndata: software {} at {}\n\n", self.version, self.id);
            conn.send_chunk(event.as_bytes())?;
        }
        conn.send_chunk(b"")
    }
}
