//! Stand-ins of workers of a plain service.

use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Request, Server};
use crate::store::Store;

/// Interval at which a worker writes its registration; `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// A request that began to run at a worker.
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub worker: String,
}

/// The runs of all workers.
#[derive(Clone, Default)]
pub struct Floor {
    pub runs: Arc<Mutex<Vec<Run>>>,
}

pub struct Worker {
    pub id: String,
    store: Store,
    server: Server,
    /// Held while the registration is written.
    is_registered: Arc<Mutex<bool>>,
}

impl Worker {
    /// Starts the process: it registers at once and with each heartbeat, and works on each request for `work`.
    pub fn start(id: &str, floor: &Floor, store: &Store, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("worker");
        let address = listener.local_addr().expect("worker").to_string();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let process = Process {
            id: id.into(),
            work,
            floor: floor.clone(),
        };
        let server = Server::start(listener, move |request, conn| process.serve(request, conn));
        let is_registered = Arc::new(Mutex::new(true));
        let entry = format!(
            "{{\"service\":\"zvuk-library\",\"address\":\"{address}\",\"zone\":\"split-a\",\"version\":\"4.1\",\
             \"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1,\"born\":{born}}}"
        );
        let worker = Self {
            id: id.into(),
            store: store.clone(),
            server,
            is_registered: is_registered.clone(),
        };
        let (store, id) = (store.clone(), worker.id.clone());
        thread::spawn(move || {
            loop {
                {
                    let is_registered = is_registered.lock().unwrap();
                    if !*is_registered {
                        return;
                    }
                    // The entry changes only when more than its number of heartbeats does.
                    store.keep("servers", &id, &entry);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        worker
    }

    /// Leaves without having reported it: the registration is removed, and the worker goes on serving.
    pub fn leave(&mut self) {
        *self.is_registered.lock().unwrap() = false;
        self.store.remove("servers", &self.id);
    }

    /// Ends the process; its connections close.
    pub fn end(&self) {
        *self.is_registered.lock().unwrap() = false;
        self.server.stop();
    }
}

struct Process {
    id: String,
    work: Duration,
    floor: Floor,
}

impl Process {
    fn serve(&self, request: &Request, conn: &mut Conn) -> io::Result<()> {
        let mut headers = vec![("Instance-Id", self.id.clone())];
        if request.path == "/health" {
            return conn.answer(200, &headers, b"");
        }
        let Some(id) = request.header("request-id").map(str::to_string) else {
            headers.push(("Not-Executed", "1".into()));
            return conn.answer(400, &headers, b"");
        };
        headers.push(("Request-Id", id.clone()));
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            headers.push(("Not-Executed", "1".into()));
            return conn.answer(421, &headers, b"");
        }
        self.floor.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            id: id.clone(),
            worker: self.id.clone(),
        });
        headers.push(("Server-Stamp", format!("{id}.{}", self.id)));
        thread::sleep(self.work);
        conn.answer(200, &headers, format!("ran {id}").as_bytes())
    }
}
