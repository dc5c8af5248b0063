//! Stand-in for a worker of a plain service, which records every call that it runs.

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

/// Path that returns the recorded calls.
const RUNS_PATH: &str = "/_runs";

/// A call that the worker has run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceRun {
    /// HTTP method.
    pub method: String,
    /// Path of the call.
    pub path: String,
    /// Body as text.
    pub body: String,
    /// Idempotency key; `None` if the call had none.
    pub idempotency_key: Option<String>,
    /// Identifier of the attempt, as sent by the router; empty if it sent none.
    pub attempt: String,
}

/// A running stand-in for a worker.
#[derive(Clone)]
pub struct ServiceStandin {
    runs: Arc<Mutex<Vec<ServiceRun>>>,
    faults: SharedFaults,
    server: Server,
}

impl ServiceStandin {
    /// Binds an address and serves calls, each of which takes the given time.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn spawn(address: &str, call_time: Duration) -> io::Result<Self> {
        let runs: Arc<Mutex<Vec<ServiceRun>>> = Arc::default();
        let faults = SharedFaults::default();
        let (shared, active_faults) = (runs.clone(), faults.clone());
        let server = Server::spawn(address, move |request, exchange| {
            if !active_faults.handle_control(&request, exchange)
                && active_faults.apply_before(exchange)
            {
                serve(&shared, &active_faults, call_time, &request, exchange);
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

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }

    /// Returns the calls run so far.
    pub fn runs(&self) -> Vec<ServiceRun> {
        lock(&self.runs).clone()
    }

    /// Returns every byte of the requests received so far.
    pub fn received(&self) -> Vec<u8> {
        self.server.received()
    }

    /// Crashes the worker: its connections break.
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
    call_time: Duration,
    request: &ServerRequest,
    exchange: &mut Exchange,
) {
    if request.path == RUNS_PATH {
        // Here and below, a failed write means that the client has disconnected; there is no one to
        // report it to.
        let _ = exchange.respond_json(200, &*lock(runs));
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
    std::thread::sleep(faults.scaled(call_time));
    if faults.get().stall {
        std::thread::sleep(Duration::from_secs(30));
    }
    if faults.consume(|faults| &mut faults.lose_replies) {
        return exchange.close();
    }
    let body = json!({"run": number, "method": run.method, "path": run.path, "body": run.body});
    let _ = exchange.respond_json(200, &body);
}
