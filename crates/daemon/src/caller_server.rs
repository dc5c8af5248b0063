//! The HTTP server for callers; each thread serves one request at a time.

use std::io;
use std::os::unix::net::UnixListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded, select};
use jacinthlever_client::ServiceCall;
use jacinthlever_core::{Event, Inbound, Reply, Target};
use jacinthlever_types::{Code, Fingerprint, KeyHash, Verdict};
use smol_str::SmolStr;
use tiny_http::{Method, Request, Server};

use crate::completion::{Completion, Endpoint, ResponseBuilder, Usage};
use crate::connection_guard::CONNECTION_HEADER;
use crate::in_flight::{PendingRequest, Registry};
use crate::responses::{no_reply, respond, respond_reply, respond_text, respond_verdict};
use crate::stream_writer::StreamWriter;

/// Capacity of the queue of requests that wait for a thread.
const QUEUE_CAPACITY: usize = 64;

/// Stack size of a thread that serves a caller.
const STACK_BYTES: usize = 256 * 1024;

/// Maximum time to wait for the core, which itself limits the time of every request.
const MAX_REPLY_WAIT: Duration = Duration::from_secs(600);

/// `Retry-After` of requests that are refused because a queue is full.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The HTTP server for callers.
#[derive(Clone)]
pub struct CallerServer {
    /// Event queue of the core.
    pub events: Sender<Event>,
    /// Requests in flight.
    pub registry: Registry,
    /// Whether the instance is ready, as last reported by the core.
    pub ready: Arc<AtomicBool>,
}

impl CallerServer {
    /// Starts the threads that serve a listener.
    ///
    /// # Errors
    /// Fails if the HTTP library or a thread cannot be started.
    pub fn spawn(self, listener: UnixListener, threads: usize) -> io::Result<Arc<Server>> {
        let server = Server::from_listener(tiny_http::Listener::Unix(listener), None)
            .map_err(io::Error::other)?;
        let server = Arc::new(server);
        let (tx, rx) = bounded::<Request>(QUEUE_CAPACITY);
        for number in 0..threads {
            let (caller_server, rx) = (self.clone(), rx.clone());
            thread::Builder::new()
                .name(format!("caller-{number}"))
                .stack_size(STACK_BYTES)
                .spawn(move || caller_server.run(&rx))?;
        }
        let acceptor = server.clone();
        thread::Builder::new()
            .name("callers".into())
            .spawn(move || {
                while let Ok(request) = acceptor.recv() {
                    if let Err(TrySendError::Full(request)) = tx.try_send(request) {
                        let verdict = Verdict::not_run(
                            Code::Overloaded,
                            "the instance's queue of incoming requests is full",
                        );
                        respond_verdict(request, &verdict.retry_after(OVERLOAD_RETRY_AFTER));
                    }
                }
            })?;
        Ok(server)
    }

    fn run(&self, requests: &Receiver<Request>) {
        while let Ok(request) = requests.recv() {
            self.serve(request);
        }
    }

    fn serve(&self, request: Request) {
        let path = request
            .url()
            .split('?')
            .next()
            .unwrap_or_default()
            .to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/healthz") => respond_text(request, 200, "ok\n"),
            (Method::Get, "/readyz") => match self.ready.load(Ordering::Relaxed) {
                true => respond_text(request, 200, "ready\n"),
                false => respond_text(request, 503, "not ready\n"),
            },
            (Method::Post, "/v1/chat/completions") => self.serve_model(request, Endpoint::Chat),
            (Method::Post, "/v1/completions") => self.serve_model(request, Endpoint::Text),
            (Method::Get, "/v1/models") => self.serve_query(request, Target::Models),
            (Method::Get, "/v1/where") => self.serve_query(request, Target::Where),
            (_, path) if path == "/v1" || path.starts_with("/v1/") => {
                let message = "no such path, or another method is expected";
                respond_verdict(request, &Verdict::not_run(Code::RouteUnknown, message));
            }
            _ => self.serve_plain(request),
        }
    }

    fn serve_model(&self, mut request: Request, endpoint: Endpoint) {
        let key = presented_key(&request);
        let body = match read_body(&mut request) {
            Ok(body) => body,
            Err(verdict) => return respond_verdict(request, &verdict),
        };
        let completion = match Completion::parse(endpoint, &body) {
            Ok(completion) => completion,
            Err(verdict) => return respond_verdict(request, &verdict),
        };
        let target = Target::Model {
            model: completion.model.clone(),
            prompt_bytes: completion.prompt.len(),
            max_tokens: completion.max_tokens,
            prefix: completion.prefix_hashes(),
        };
        let fingerprint = fingerprint(&request, &key, &body);
        let connection = connection_number(&request);
        let prompt = completion.prompt.clone();
        let pending = self.registry.add(connection, prompt, None);
        let responses = ResponseBuilder::new(
            &completion,
            format!("req-{:016x}-{}", fingerprint.0, pending.caller.0),
        );
        if let Err(verdict) = self.submit(
            &pending,
            Inbound {
                key,
                target,
                fingerprint,
            },
        ) {
            respond_verdict(request, &verdict);
        } else {
            match completion.stream {
                true => self.serve_stream(request, &pending, &responses, completion.include_usage),
                false => respond_complete(request, &pending, &responses),
            }
        }
        self.registry.remove(connection, pending.caller);
    }

    /// Streams tokens as they arrive. The response starts with the first token, so a refusal before
    /// it has its own HTTP status.
    fn serve_stream(
        &self,
        request: Request,
        pending: &PendingRequest,
        responses: &ResponseBuilder,
        include_usage: bool,
    ) {
        let mut output = OutputReader::new(pending);
        let first = output.next();
        if let OutputItem::Reply(Reply::Refused(verdict)) = first {
            return respond_verdict(request, &verdict);
        }
        let streamed = StreamWriter::begin(request).and_then(|mut writer| {
            match write_stream(&mut writer, first, &mut output, responses, include_usage)? {
                true => writer.finish(),
                false => writer.abort(),
            }
        });
        if streamed.is_err() {
            self.report_disconnect(pending);
        }
    }

    /// Serves a request without a body, which the core answers itself.
    fn serve_query(&self, request: Request, target: Target) {
        let key = presented_key(&request);
        let connection = connection_number(&request);
        let pending = self.registry.add(connection, String::new(), None);
        let fingerprint = Fingerprint::default();
        self.exchange(
            request,
            connection,
            &pending,
            Inbound {
                key,
                target,
                fingerprint,
            },
        );
    }

    /// Serves a request for a plain service.
    fn serve_plain(&self, mut request: Request) {
        let key = presented_key(&request);
        let body = match read_body(&mut request) {
            Ok(body) => body,
            Err(verdict) => return respond_verdict(request, &verdict),
        };
        let idempotency_key = header(&request, "idempotency-key").map(SmolStr::new);
        let target = Target::Plain {
            path: SmolStr::new(request.url()),
            safe: matches!(
                request.method(),
                Method::Get | Method::Head | Method::Options
            ),
            idempotency_key: idempotency_key.clone(),
        };
        let fingerprint = fingerprint(&request, &key, &body);
        let call = ServiceCall {
            method: request.method().to_string(),
            path: request.url().to_owned(),
            content_type: header(&request, "content-type").map(str::to_owned),
            idempotency_key,
            body,
        };
        let connection = connection_number(&request);
        let pending = self.registry.add(connection, String::new(), Some(call));
        self.exchange(
            request,
            connection,
            &pending,
            Inbound {
                key,
                target,
                fingerprint,
            },
        );
    }

    /// Submits a request to the core and responds with its reply.
    fn exchange(
        &self,
        request: Request,
        connection: u64,
        pending: &PendingRequest,
        inbound: Inbound,
    ) {
        match self.submit(pending, inbound) {
            Err(verdict) => respond_verdict(request, &verdict),
            Ok(()) => respond_reply(request, pending.reply.recv_timeout(MAX_REPLY_WAIT).ok()),
        }
        self.registry.remove(connection, pending.caller);
    }

    /// Submits a request to the core; refuses it if the event queue is full.
    fn submit(&self, pending: &PendingRequest, inbound: Inbound) -> Result<(), Verdict> {
        let event = Event::Arrived {
            caller: pending.caller,
            inbound,
        };
        self.events.try_send(event).map_err(|_| {
            let verdict = Verdict::not_run(Code::Overloaded, "the instance's event queue is full");
            verdict.retry_after(OVERLOAD_RETRY_AFTER)
        })
    }

    /// Notifies the core that a caller has disconnected.
    fn report_disconnect(&self, pending: &PendingRequest) {
        if let Some(event) = self.registry.disconnect(pending.caller) {
            // If the core thread has ended, so does the instance with all requests.
            let _ = self.events.send(event);
        }
    }
}

/// The next part of the output for a caller.
enum OutputItem {
    Token(SmolStr),
    Reply(Reply),
}

/// Reads the tokens and the final reply of a request in order.
struct OutputReader<'a> {
    pending: &'a PendingRequest,
    reply: Option<Reply>,
}

impl<'a> OutputReader<'a> {
    fn new(pending: &'a PendingRequest) -> Self {
        Self {
            pending,
            reply: None,
        }
    }

    /// Waits for the next token or, after the last token, the final reply. A received
    /// refusal is returned immediately; tokens that are still queued are not read.
    fn next(&mut self) -> OutputItem {
        loop {
            if !matches!(self.reply, Some(Reply::Refused(_)))
                && let Ok(token) = self.pending.tokens.try_recv()
            {
                return OutputItem::Token(token);
            }
            if let Some(reply) = self.reply.take() {
                return OutputItem::Reply(reply);
            }
            select! {
                recv(self.pending.tokens) -> token => match token {
                    Ok(token) => return OutputItem::Token(token),
                    Err(_) => self.reply = Some(self.final_reply()),
                },
                recv(self.pending.reply) -> reply => {
                    self.reply = Some(reply.unwrap_or_else(|_| Reply::Refused(no_reply())));
                }
            }
        }
    }

    /// Waits for the final reply after the last token.
    fn final_reply(&self) -> Reply {
        let reply = self.pending.reply.recv_timeout(MAX_REPLY_WAIT);
        reply.unwrap_or_else(|_| Reply::Refused(no_reply()))
    }
}

/// Writes a stream from its first item; returns whether the answer is complete.
fn write_stream(
    writer: &mut StreamWriter,
    first: OutputItem,
    output: &mut OutputReader<'_>,
    responses: &ResponseBuilder,
    include_usage: bool,
) -> io::Result<bool> {
    let mut next = first;
    loop {
        match next {
            OutputItem::Token(token) => writer.send_event(&responses.chunk(&token, None))?,
            OutputItem::Reply(Reply::Finished {
                finish,
                prompt_tokens,
                output_tokens,
            }) => {
                writer.send_event(&responses.chunk("", Some(finish)))?;
                if include_usage {
                    let usage = Usage {
                        prompt_tokens,
                        output_tokens,
                    };
                    writer.send_event(&responses.usage_chunk(usage))?;
                }
                return Ok(true);
            }
            OutputItem::Reply(Reply::Refused(verdict)) => {
                writer.send_event(&verdict.to_json())?;
                return Ok(false);
            }
            OutputItem::Reply(_) => {
                writer.send_event(&no_reply().to_json())?;
                return Ok(false);
            }
        }
        next = output.next();
    }
}

/// Collects the output and responds with the complete answer.
fn respond_complete(request: Request, pending: &PendingRequest, responses: &ResponseBuilder) {
    let mut output = OutputReader::new(pending);
    let mut text = String::new();
    loop {
        match output.next() {
            OutputItem::Token(token) => text.push_str(&token),
            OutputItem::Reply(Reply::Finished {
                finish,
                prompt_tokens,
                output_tokens,
            }) => {
                let usage = Usage {
                    prompt_tokens,
                    output_tokens,
                };
                let body = responses.complete(&text, finish, usage).to_string();
                return respond(request, 200, "application/json", body.into_bytes());
            }
            OutputItem::Reply(reply) => return respond_reply(request, Some(reply)),
        }
    }
}

/// Reads the body of a request, which must have the announced length.
fn read_body(request: &mut Request) -> Result<Vec<u8>, Verdict> {
    let mut body = Vec::new();
    let read = request.as_reader().read_to_end(&mut body);
    let is_truncated = request
        .body_length()
        .is_some_and(|length| body.len() < length);
    match read {
        Ok(_) if !is_truncated => Ok(body),
        _ => Err(Verdict::not_run(
            Code::ReadTimeout,
            "the body of the request did not arrive completely",
        )),
    }
}

/// Returns the value of the first header field with a name.
fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let fields = request.headers().iter();
    let mut found = fields.filter(|field| field.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.next().map(|field| field.value.as_str())
}

/// Returns the hash of the key that the caller presents; the key itself is not passed on.
fn presented_key(request: &Request) -> Option<KeyHash> {
    let value = header(request, "authorization")?;
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| KeyHash::of(key.trim()))
}

/// Returns the connection number that the connection guard has added.
fn connection_number(request: &Request) -> u64 {
    header(request, CONNECTION_HEADER)
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}

/// Returns the fingerprint of a request, which is equal for equal requests with the same key.
fn fingerprint(request: &Request, key: &Option<KeyHash>, body: &[u8]) -> Fingerprint {
    let key = key.map(KeyHash::to_hex).unwrap_or_default();
    let method = request.method().to_string();
    Fingerprint::of(&[
        key.as_bytes(),
        method.as_bytes(),
        request.url().as_bytes(),
        body,
    ])
}
