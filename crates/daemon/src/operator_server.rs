//! The operators' API, which has its own listener and its own credential.

use std::collections::BTreeMap;
use std::io;
use std::os::unix::net::UnixListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Sender, bounded};
use jacinthlever_core::{Event, OperatorId, OperatorReply, OperatorRequest, RowChange};
use jacinthlever_types::RowKey;
use serde::Deserialize;
use serde_json::{Value, json};
use smol_str::SmolStr;
use tiny_http::{Header, Method, Request, Response, Server};

use crate::in_flight::lock;
use crate::metrics::Metrics;

/// Number of threads that serve operators.
const THREADS: usize = 4;

/// Maximum time to wait for a reply of the core, which may have to commit an edit.
const MAX_REPLY_WAIT: Duration = Duration::from_secs(30);

/// Request body of an edit.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EditBody {
    edit: SmolStr,
    changes: Vec<ChangeBody>,
}

/// One change of a row in an edit.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    row: RowKey,
    #[serde(default)]
    version: Option<u64>,
    #[serde(default)]
    value: Option<Value>,
}

/// Operator requests that wait for a reply of the core.
#[derive(Clone, Debug, Default)]
pub struct PendingOperators {
    replies: Arc<Mutex<BTreeMap<OperatorId, Sender<OperatorReply>>>>,
    next_operator: Arc<AtomicU64>,
}

impl PendingOperators {
    /// Delivers a reply of the core.
    pub fn finish(&self, operator: OperatorId, reply: OperatorReply) {
        if let Some(tx) = lock(&self.replies).remove(&operator) {
            // The reply is dropped if the request has timed out.
            let _ = tx.try_send(reply);
        }
    }
}

/// The HTTP server of the operators' API.
#[derive(Clone)]
pub struct OperatorServer {
    /// Event queue of the core.
    pub events: Sender<Event>,
    /// Operator requests that wait for a reply of the core.
    pub pending: PendingOperators,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Whether the instance is ready.
    pub ready: Arc<AtomicBool>,
    /// Hash of the operators' credential.
    pub credential: blake3::Hash,
}

impl OperatorServer {
    /// Starts the threads that serve a listener.
    ///
    /// # Errors
    /// Fails if the HTTP library or a thread cannot be started.
    pub fn spawn(self, listener: UnixListener) -> io::Result<Arc<Server>> {
        let listener = tiny_http::Listener::Unix(listener);
        let server = Arc::new(Server::from_listener(listener, None).map_err(io::Error::other)?);
        for number in 0..THREADS {
            let (operator_server, server) = (self.clone(), server.clone());
            thread::Builder::new()
                .name(format!("operator-{number}"))
                .spawn(move || {
                    while let Ok(request) = server.recv() {
                        operator_server.serve(request);
                    }
                })?;
        }
        Ok(server)
    }

    fn serve(&self, mut request: Request) {
        let path = request
            .url()
            .split('?')
            .next()
            .unwrap_or_default()
            .to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/healthz") => return respond(request, 200, "text/plain", "ok\n"),
            (Method::Get, "/readyz") => {
                let ready = self.ready.load(Ordering::Relaxed);
                let status = if ready { 200 } else { 503 };
                return respond(request, status, "text/plain", &format!("ready: {ready}\n"));
            }
            (Method::Get, "/metrics") => {
                let text = self.metrics.text();
                return respond(
                    request,
                    200,
                    "text/plain; version=0.0.4; charset=utf-8",
                    &text,
                );
            }
            _ => {}
        }
        if !self.is_authorized(&request) {
            let body = json!({"problem": "missing or wrong operator credential"});
            return respond_json(request, 401, &body);
        }
        let operation = match (request.method(), path.as_str()) {
            (Method::Get, "/ops/v1/rows") => Ok(OperatorRequest::Rows),
            (Method::Get, "/ops/v1/status") => Ok(OperatorRequest::Status),
            (Method::Post, "/ops/v1/drain") => Ok(OperatorRequest::Drain),
            (Method::Post, "/ops/v1/edit") => read_edit(&mut request),
            _ => {
                let body = json!({"problem": "no such path, or another method is expected"});
                return respond_json(request, 404, &body);
            }
        };
        match operation {
            Ok(operation) => self.submit(request, operation),
            Err(problem) => respond_json(request, 422, &json!({"problems": [problem]})),
        }
    }

    /// Submits an operation to the core and responds with its reply.
    fn submit(&self, request: Request, operation: OperatorRequest) {
        let operator = OperatorId(self.pending.next_operator.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = bounded(1);
        lock(&self.pending.replies).insert(operator, tx);
        let sent = self.events.try_send(Event::Operator {
            operator,
            request: operation,
        });
        let reply = match sent {
            Ok(()) => rx.recv_timeout(MAX_REPLY_WAIT).ok(),
            Err(_) => None,
        };
        lock(&self.pending.replies).remove(&operator);
        match reply {
            Some(OperatorReply::Json(body)) => respond_json(request, 200, &body),
            Some(OperatorReply::Invalid(problems)) => {
                respond_json(request, 422, &json!({"problems": problems}));
            }
            Some(OperatorReply::Conflict(rows)) => respond_json(request, 409, &rows),
            Some(OperatorReply::Unavailable(problem)) => {
                respond_json(request, 503, &json!({"problem": problem}));
            }
            None => {
                let problem = "the instance did not answer; send an edit again with the same id";
                respond_json(request, 503, &json!({"problem": problem}));
            }
        }
    }

    fn is_authorized(&self, request: &Request) -> bool {
        let fields = request.headers().iter();
        let mut found = fields.filter(|field| field.field.equiv("Authorization"));
        let value = found
            .next()
            .map(|field| field.value.as_str())
            .unwrap_or_default();
        let presented = value.strip_prefix("Bearer ").unwrap_or_default();
        // Hashes are compared in constant time, so the response time reveals nothing about the
        // credential.
        blake3::hash(presented.as_bytes()) == self.credential
    }
}

fn read_edit(request: &mut Request) -> Result<OperatorRequest, String> {
    let mut body = String::new();
    request
        .as_reader()
        .read_to_string(&mut body)
        .map_err(|error| error.to_string())?;
    let body: EditBody = serde_json::from_str(&body).map_err(|error| error.to_string())?;
    if body.edit.is_empty()
        || !body
            .edit
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || c == '-')
    {
        return Err("edit: expected an identifier of letters, digits and '-'".into());
    }
    let changes = body.changes.into_iter().map(|change| RowChange {
        key: change.row,
        version: change.version,
        value: change.value,
    });
    Ok(OperatorRequest::Edit {
        edit: body.edit,
        changes: changes.collect(),
    })
}

fn respond_json(request: Request, status: u16, body: &Value) {
    respond(request, status, "application/json", &body.to_string());
}

fn respond(request: Request, status: u16, content_type: &str, body: &str) {
    let mut response = Response::from_string(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", content_type) {
        response.add_header(header);
    }
    if let Err(error) = request.respond(response) {
        log::debug!("could not write a response to an operator: {error}");
    }
}
