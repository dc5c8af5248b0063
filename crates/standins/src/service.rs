//! Stand-in of a worker of a plain service, which keeps a record of every run.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use jacinthlever_client::REQUEST_HEADER;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::faults::{Faults, SharedFaults};
use crate::server::lock;
use crate::{Exchange, Server, ServerRequest};

/// Path that returns the runs.
const RUNS_PATH: &str = "/_runs";

/// One call that the worker has acted on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceRun {
    /// HTTP method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Body as text.
    pub body: String,
    /// Idempotency key, if one came.
    pub idempotency_key: Option<String>,
    /// Attempt that the router named.
    pub attempt: String,
}

/// A running worker.
#[derive(Clone)]
pub struct ServiceStandin {
    runs: Arc<Mutex<Vec<ServiceRun>>>,
    faults: SharedFaults,
    server: Server,
}

impl ServiceStandin {
    /// Binds an address and serves calls that take some time each.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn spawn(address: &str, takes: Duration) -> io::Result<Self> {
        let runs: Arc<Mutex<Vec<ServiceRun>>> = Arc::default();
        let faults = SharedFaults::default();
        let (shared, on) = (runs.clone(), faults.clone());
        let server = Server::spawn(address, move |request, exchange| {
            if !on.control(&request, exchange) && on.before(exchange) {
                serve(&shared, &on, takes, &request, exchange);
            }
        })?;
        Ok(Self {
            runs,
            faults,
            server,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }

    /// Returns the calls acted on so far.
    pub fn runs(&self) -> Vec<ServiceRun> {
        lock(&self.runs).clone()
    }

    /// Returns every byte of the requests received so far.
    pub fn received(&self) -> Vec<u8> {
        self.server.received()
    }

    /// Crashes the worker: connections break.
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Starts the worker again after a crash.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn restart(&self) -> io::Result<()> {
        self.server.restart()
    }
}

fn serve(
    runs: &Mutex<Vec<ServiceRun>>,
    faults: &SharedFaults,
    takes: Duration,
    request: &ServerRequest,
    exchange: &mut Exchange,
) {
    if request.path == RUNS_PATH {
        // A client that has left is its own affair, here and below.
        let _ = exchange.json(200, &*lock(runs));
        return;
    }
    let header = |name: &str| request.headers.get(name).cloned();
    let run = ServiceRun {
        method: request.method.clone(),
        path: request.path.clone(),
        body: String::from_utf8_lossy(&request.body).into_owned(),
        idempotency_key: header("idempotency-key"),
        attempt: header(REQUEST_HEADER).unwrap_or_default(),
    };
    let number = {
        let mut runs = lock(runs);
        runs.push(run.clone());
        runs.len()
    };
    std::thread::sleep(faults.paced(takes));
    if faults.get().stall {
        std::thread::sleep(Duration::from_secs(30));
    }
    if faults.take(|faults| &mut faults.lose_replies) {
        return exchange.cut();
    }
    let body = json!({"run": number, "method": run.method, "path": run.path, "body": run.body});
    let _ = exchange.json(200, &body);
}
