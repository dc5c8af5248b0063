//! The threads that serve callers: one request each, from its bytes to its answer.

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

use crate::completion::{Answers, Completion, Shape, Usage};
use crate::connection_guard::CONNECTION_HEADER;
use crate::in_flight::{Pending, Registry};
use crate::responses::{no_reply, respond, respond_reply, respond_text, respond_verdict};
use crate::stream_writer::StreamWriter;

/// Requests that may wait for a thread.
const WAITING: usize = 64;

/// Stack of a thread that serves a caller, in bytes.
const STACK: usize = 256 * 1024;

/// Longest wait for the core, which bounds every request itself.
const LONGEST: Duration = Duration::from_secs(600);

/// Pause named to a caller when the instance is full.
const RETRY_SOON: Duration = Duration::from_secs(1);

/// What a thread that serves callers needs.
#[derive(Clone)]
pub struct Callers {
    /// Ring to the core.
    pub events: Sender<Event>,
    /// Requests under way.
    pub registry: Registry,
    /// Whether the instance is ready, as the core last said.
    pub ready: Arc<AtomicBool>,
}

impl Callers {
    /// Serves a listener with a number of threads.
    ///
    /// # Errors
    /// Fails if the library or a thread cannot be started.
    pub fn spawn(self, listener: UnixListener, threads: usize) -> io::Result<Arc<Server>> {
        let server = Server::from_listener(tiny_http::Listener::Unix(listener), None)
            .map_err(io::Error::other)?;
        let server = Arc::new(server);
        let (tx, rx) = bounded::<Request>(WAITING);
        for number in 0..threads {
            let (callers, rx) = (self.clone(), rx.clone());
            thread::Builder::new()
                .name(format!("caller-{number}"))
                .stack_size(STACK)
                .spawn(move || callers.run(&rx))?;
        }
        let accepting = server.clone();
        thread::Builder::new()
            .name("callers".into())
            .spawn(move || {
                while let Ok(request) = accepting.recv() {
                    if let Err(TrySendError::Full(request)) = tx.try_send(request) {
                        let verdict = Verdict::not_run(Code::Overloaded, "the instance is full");
                        respond_verdict(request, &verdict.retry_after(RETRY_SOON));
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
            (Method::Post, "/v1/chat/completions") => self.model(request, Shape::Chat),
            (Method::Post, "/v1/completions") => self.model(request, Shape::Text),
            (Method::Get, "/v1/models") => self.simple(request, Target::Models),
            (Method::Get, "/v1/where") => self.simple(request, Target::Where),
            (_, path) if path == "/v1" || path.starts_with("/v1/") => {
                let message = "no such path, or another method is expected";
                respond_verdict(request, &Verdict::not_run(Code::RouteUnknown, message));
            }
            _ => self.plain(request),
        }
    }

    fn model(&self, mut request: Request, shape: Shape) {
        let key = shown_key(&request);
        let body = match read_body(&mut request) {
            Ok(body) => body,
            Err(verdict) => return respond_verdict(request, &verdict),
        };
        let completion = match Completion::parse(shape, &body) {
            Ok(completion) => completion,
            Err(verdict) => return respond_verdict(request, &verdict),
        };
        let target = Target::Model {
            model: completion.model.clone(),
            prompt_bytes: completion.prompt.len(),
            max_tokens: completion.max_tokens,
            prefix: completion.prefix(),
        };
        let fingerprint = fingerprint(&request, &key, &body);
        let connection = connection(&request);
        let prompt = completion.prompt.clone();
        let pending = self.registry.add(connection, prompt, None);
        let answers = Answers::new(
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
                true => self.stream(request, &pending, &answers, completion.include_usage),
                false => whole(request, &pending, &answers),
            }
        }
        self.registry.remove(connection, pending.caller);
    }

    /// Streams tokens as they come; the first one decides between an answer and a refusal.
    fn stream(&self, request: Request, pending: &Pending, answers: &Answers, usage: bool) {
        let mut incoming = Incoming::new(pending);
        let first = incoming.next();
        if let Next::Reply(Reply::Refused(verdict)) = first {
            return respond_verdict(request, &verdict);
        }
        let streamed = StreamWriter::begin(request).and_then(|mut writer| {
            match write_stream(&mut writer, first, &mut incoming, answers, usage)? {
                true => writer.done(),
                false => writer.end(),
            }
        });
        if streamed.is_err() {
            self.gone(pending);
        }
    }

    fn simple(&self, request: Request, target: Target) {
        let key = shown_key(&request);
        let connection = connection(&request);
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

    fn plain(&self, mut request: Request) {
        let key = shown_key(&request);
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
        let connection = connection(&request);
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

    /// Hands a request to the core and answers with its one reply.
    fn exchange(&self, request: Request, connection: u64, pending: &Pending, inbound: Inbound) {
        match self.submit(pending, inbound) {
            Err(verdict) => respond_verdict(request, &verdict),
            Ok(()) => respond_reply(request, pending.reply.recv_timeout(LONGEST).ok()),
        }
        self.registry.remove(connection, pending.caller);
    }

    fn submit(&self, pending: &Pending, inbound: Inbound) -> Result<(), Verdict> {
        let event = Event::Arrived {
            caller: pending.caller,
            inbound,
        };
        self.events.try_send(event).map_err(|_| {
            let verdict = Verdict::not_run(Code::Overloaded, "the instance is full");
            verdict.retry_after(RETRY_SOON)
        })
    }

    fn gone(&self, pending: &Pending) {
        if let Some(event) = self.registry.gone(pending.caller) {
            // Without the core the instance is ending, and so is every request.
            let _ = self.events.send(event);
        }
    }
}

/// What comes next for a caller.
enum Next {
    Token(SmolStr),
    Reply(Reply),
}

/// The tokens and the final answer of a request, in their order.
struct Incoming<'a> {
    pending: &'a Pending,
    reply: Option<Reply>,
}

impl<'a> Incoming<'a> {
    fn new(pending: &'a Pending) -> Self {
        Self {
            pending,
            reply: None,
        }
    }

    /// Waits for the next token or, once there is none before it, the final answer.
    fn next(&mut self) -> Next {
        loop {
            if !matches!(self.reply, Some(Reply::Refused(_)))
                && let Ok(token) = self.pending.tokens.try_recv()
            {
                return Next::Token(token);
            }
            if let Some(reply) = self.reply.take() {
                return Next::Reply(reply);
            }
            select! {
                recv(self.pending.tokens) -> token => match token {
                    Ok(token) => return Next::Token(token),
                    Err(_) => self.reply = Some(self.last()),
                },
                recv(self.pending.reply) -> reply => {
                    self.reply = Some(reply.unwrap_or_else(|_| Reply::Refused(no_reply())));
                }
            }
        }
    }

    /// Returns the final answer of a request whose tokens have ended.
    fn last(&self) -> Reply {
        let reply = self.pending.reply.recv_timeout(LONGEST);
        reply.unwrap_or_else(|_| Reply::Refused(no_reply()))
    }
}

/// Writes a stream whose first token or end has come.
fn write_stream(
    writer: &mut StreamWriter,
    first: Next,
    incoming: &mut Incoming<'_>,
    answers: &Answers,
    with_usage: bool,
) -> io::Result<bool> {
    let mut next = first;
    loop {
        match next {
            Next::Token(token) => writer.event(&answers.part(&token, None))?,
            Next::Reply(Reply::Finished {
                finish,
                prompt_tokens,
                output_tokens,
            }) => {
                writer.event(&answers.part("", Some(finish)))?;
                if with_usage {
                    let usage = Usage {
                        prompt: prompt_tokens,
                        output: output_tokens,
                    };
                    writer.event(&answers.usage(usage))?;
                }
                return Ok(true);
            }
            Next::Reply(Reply::Refused(verdict)) => {
                writer.event(&verdict.to_json())?;
                return Ok(false);
            }
            Next::Reply(_) => {
                writer.event(&no_reply().to_json())?;
                return Ok(false);
            }
        }
        next = incoming.next();
    }
}

fn whole(request: Request, pending: &Pending, answers: &Answers) {
    let mut incoming = Incoming::new(pending);
    let mut text = String::new();
    loop {
        match incoming.next() {
            Next::Token(token) => text.push_str(&token),
            Next::Reply(Reply::Finished {
                finish,
                prompt_tokens,
                output_tokens,
            }) => {
                let usage = Usage {
                    prompt: prompt_tokens,
                    output: output_tokens,
                };
                let body = answers.whole(&text, finish, usage).to_string();
                return respond(request, 200, "application/json", body.into_bytes());
            }
            Next::Reply(reply) => return respond_reply(request, Some(reply)),
        }
    }
}

fn read_body(request: &mut Request) -> Result<Vec<u8>, Verdict> {
    let mut body = Vec::new();
    let read = request.as_reader().read_to_end(&mut body);
    let short = request
        .body_length()
        .is_some_and(|length| body.len() < length);
    match read {
        Ok(_) if !short => Ok(body),
        _ => Err(Verdict::not_run(
            Code::ReadTimeout,
            "the body did not arrive whole",
        )),
    }
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let fields = request.headers().iter();
    let mut found = fields.filter(|field| field.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.next().map(|field| field.value.as_str())
}

/// Hashes the key that the caller shows; the key itself goes no further.
fn shown_key(request: &Request) -> Option<KeyHash> {
    let value = header(request, "authorization")?;
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| KeyHash::of(key.trim()))
}

fn connection(request: &Request) -> u64 {
    header(request, CONNECTION_HEADER)
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}

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
