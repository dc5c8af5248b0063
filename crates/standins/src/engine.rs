//! Stand-in for a model engine.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use jacinthlever_client::{HttpClient, HttpError, Timeouts};
use jacinthlever_types::{
    CancelRequest, DecodeLine, DecodeRequest, EngineLoad, ExportRequest, FinishReason,
    PrefillReply, PrefillRequest, ResumeRequest,
};
use serde::de::DeserializeOwned;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use crate::engine_memory::{EngineMemory, KvCache, Stream, seed_and_tokens};
use crate::faults::{Faults, SharedFaults};
use crate::server::lock;
use crate::text::answer_token;
use crate::{EngineSettings, Exchange, Server, ServerRequest};

/// Text in a prompt that makes the prefill engine crash.
const CRASH_PREFILL_MARKER: &str = "[[crash-prefill]]";

/// Text in a prompt that makes the decode engine crash.
const CRASH_DECODE_MARKER: &str = "[[crash-decode]]";

/// Position of the output at which a decode of such a prompt crashes.
const DECODE_CRASH_POSITION: u32 = 3;

/// Maximum time for which a stalled connection is kept open.
const MAX_STALL: Duration = Duration::from_secs(60);

/// Timeouts of an import of KV cache.
const IMPORT_TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(500),
    read: Duration::from_secs(2),
};

struct Shared {
    settings: EngineSettings,
    memory: Mutex<EngineMemory>,
    faults: SharedFaults,
    /// Held during a prefill: prefills run one after another, as on an accelerator.
    accelerator: Mutex<()>,
    /// Held during an export: exports run one after another, as on a network link.
    link: Mutex<()>,
    next_kv: AtomicU64,
    prefilled_tokens: AtomicU64,
    crashes: AtomicU64,
    server: OnceLock<Server>,
}

/// A running stand-in for an engine.
#[derive(Clone)]
pub struct EngineStandin {
    shared: Arc<Shared>,
}

impl EngineStandin {
    /// Binds an address and serves the protocol of an engine.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn spawn(address: &str, settings: EngineSettings) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            settings,
            memory: Mutex::default(),
            faults: SharedFaults::default(),
            accelerator: Mutex::default(),
            link: Mutex::default(),
            next_kv: AtomicU64::new(1),
            prefilled_tokens: AtomicU64::new(0),
            crashes: AtomicU64::new(0),
            server: OnceLock::new(),
        });
        let serving = shared.clone();
        let server = Server::spawn(address, move |request, exchange| {
            serving.serve(request, exchange)
        })?;
        shared.server.get_or_init(|| server);
        Ok(Self { shared })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.shared.server().address()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.faults.set(faults);
    }

    /// Returns the current load, without the delay of `/v1/load`.
    pub fn load(&self) -> EngineLoad {
        lock(&self.shared.memory).load(&self.shared.settings)
    }

    /// Returns the number of prompt tokens prefilled so far, without those found in the cache.
    pub fn prefilled_tokens(&self) -> u64 {
        self.shared.prefilled_tokens.load(Ordering::SeqCst)
    }

    /// Returns how often the engine has crashed.
    pub fn crashes(&self) -> u64 {
        self.shared.crashes.load(Ordering::SeqCst)
    }

    /// Returns every byte of the requests received so far.
    pub fn received(&self) -> Vec<u8> {
        self.shared.server().received()
    }

    /// Crashes the engine: its connections break and its memory is lost.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Starts the engine again after a crash.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn restart(&self) -> io::Result<()> {
        self.shared.server().restart()
    }
}

impl Shared {
    fn server(&self) -> &Server {
        // `spawn` sets it before it returns; a handler that runs earlier waits here.
        self.server.wait()
    }

    fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.server().crash();
        *lock(&self.memory) = EngineMemory::default();
    }

    fn serve(&self, request: ServerRequest, exchange: &mut Exchange) {
        if self.faults.handle_control(&request, exchange) || !self.faults.apply_before(exchange) {
            return;
        }
        if request.path == "/v1/load" {
            let load = lock(&self.memory).delayed_load(&self.settings);
            // Here and below, a failed write means that the client has disconnected; there is no
            // one to report it to.
            let _ = exchange.respond_json(200, &load);
            return;
        }
        if request.path == "/v1/cancel" {
            return self.cancel(&request, exchange);
        }
        if self.faults.get().stall {
            return stall(exchange);
        }
        match request.path.as_str() {
            "/v1/prefill" => self.prefill(&request, exchange),
            "/v1/export" => self.export(&request, exchange),
            "/v1/decode" => self.decode(&request, exchange),
            "/v1/resume" => self.resume(&request, exchange),
            _ => {
                let _ = exchange.respond(404, "text/plain", b"no such path");
            }
        }
    }

    fn prefill(&self, request: &ServerRequest, exchange: &mut Exchange) {
        let Some(body) = parse_body::<PrefillRequest>(request, exchange) else {
            return;
        };
        {
            let mut memory = lock(&self.memory);
            if self.faults.get().full || memory.load(&self.settings).used >= self.settings.slots {
                let _ = exchange.respond(429, "text/plain", b"full");
                return;
            }
            memory.prefills += 1;
        }
        let reply = self.compute(&body);
        {
            let mut memory = lock(&self.memory);
            memory.prefills = memory.prefills.saturating_sub(1);
        }
        if body.prompt.contains(CRASH_PREFILL_MARKER) {
            return self.crash();
        }
        let _ = exchange.respond_json(200, &reply);
    }

    fn compute(&self, body: &PrefillRequest) -> PrefillReply {
        let _guard = lock(&self.accelerator);
        let (seed, tokens) = seed_and_tokens(&body.prompt, body.generated);
        let cached_tokens = lock(&self.memory).cached_tokens(&body.prompt).min(tokens);
        let uncached_tokens = u64::from(tokens - cached_tokens);
        let time = Duration::from_micros(uncached_tokens * 1_000_000 / self.settings.prefill_rate);
        thread::sleep(self.faults.scaled(time));
        self.prefilled_tokens
            .fetch_add(uncached_tokens, Ordering::SeqCst);
        let kv = format_smolstr!("kv{}", self.next_kv.fetch_add(1, Ordering::SeqCst));
        let crashes_decode = body.prompt.contains(CRASH_DECODE_MARKER);
        let created = Instant::now();
        lock(&self.memory).kv.insert(
            kv.clone(),
            KvCache {
                seed,
                tokens,
                crashes_decode,
                created,
            },
        );
        PrefillReply {
            request: body.request.clone(),
            kv,
            prompt_tokens: tokens,
            cached_tokens,
        }
    }

    fn export(&self, request: &ServerRequest, exchange: &mut Exchange) {
        let Some(body) = parse_body::<ExportRequest>(request, exchange) else {
            return;
        };
        if self.faults.get().stall_export {
            return stall(exchange);
        }
        let keep = Duration::from_millis(self.settings.keep_ms);
        let kv = lock(&self.memory)
            .kv
            .remove(&body.kv)
            .filter(|kv| kv.created.elapsed() < keep);
        let Some(kv) = kv else {
            let _ = exchange.respond(410, "text/plain", b"evicted");
            return;
        };
        {
            let _guard = lock(&self.link);
            let micros = u64::from(kv.tokens) * 1_000_000 / self.settings.export_rate;
            thread::sleep(self.faults.scaled(Duration::from_micros(micros)));
        }
        let seed = format!("{:016x}", kv.seed);
        let _ = exchange.respond_json(
            200,
            &json!({"seed": seed, "tokens": kv.tokens, "crashes": kv.crashes_decode}),
        );
    }

    fn decode(&self, request: &ServerRequest, exchange: &mut Exchange) {
        let Some(body) = parse_body::<DecodeRequest>(request, exchange) else {
            return;
        };
        let import = import(&body);
        let kv = match import {
            Ok(kv) => kv,
            Err(problem) => {
                let _ = exchange.respond(410, "text/plain", problem.to_string().as_bytes());
                return;
            }
        };
        let full = self.faults.get().full;
        let stream = lock(&self.memory).admit(&self.settings, &body.request, kv, body.max_tokens);
        match stream.filter(|_| !full) {
            None => {
                let _ = exchange.respond(429, "text/plain", b"full");
            }
            Some(stream) => self.stream(&body.request, stream, body.from, exchange),
        }
    }

    fn resume(&self, request: &ServerRequest, exchange: &mut Exchange) {
        let Some(body) = parse_body::<ResumeRequest>(request, exchange) else {
            return;
        };
        let stream = {
            let mut memory = lock(&self.memory);
            memory.streams.get_mut(&body.request).map(|stream| {
                stream.broken = None;
                stream.clone()
            })
        };
        match stream {
            None => {
                let _ = exchange.respond(410, "text/plain", b"no such stream");
            }
            Some(stream) => self.stream(&body.request, stream, body.from, exchange),
        }
    }

    /// Sends tokens until the answer is complete, the stream is cancelled or the connection breaks.
    fn stream(&self, name: &SmolStr, stream: Stream, from: u32, exchange: &mut Exchange) {
        let mut sent = exchange.begin_stream("application/x-ndjson");
        for position in from..stream.end {
            thread::sleep(self.token_interval());
            if !lock(&self.memory).streams.contains_key(name) {
                return exchange.close();
            }
            if stream.kv.crashes_decode && position == DECODE_CRASH_POSITION {
                return self.crash();
            }
            if self.faults.get().stall {
                return stall(exchange);
            }
            if position == from + 3 && self.faults.consume(|faults| &mut faults.break_streams) {
                exchange.close();
                return self.mark_broken(name);
            }
            let is_misattributed = self.faults.consume(|faults| &mut faults.cross_lines);
            let request = if is_misattributed {
                SmolStr::new_static("another")
            } else {
                name.clone()
            };
            let token = SmolStr::new(answer_token(stream.kv.seed, position));
            let line = DecodeLine {
                request,
                position,
                token,
                finish: None,
            };
            sent = sent.and_then(|()| send_line(exchange, &line));
            if sent.is_err() {
                return self.mark_broken(name);
            }
        }
        lock(&self.memory).streams.remove(name);
        let reason = if stream.hits_limit {
            FinishReason::Length
        } else {
            FinishReason::Stop
        };
        let line = DecodeLine {
            request: name.clone(),
            position: stream.end,
            token: SmolStr::default(),
            finish: Some(reason),
        };
        let _ = send_line(exchange, &line);
    }

    /// Returns the time between two tokens, which grows with the number of streams in the batch.
    fn token_interval(&self) -> Duration {
        let used = lock(&self.memory).streams.len() as u32;
        let base = Duration::from_millis(self.settings.token_ms);
        self.faults
            .scaled(base + base * used / self.settings.slots.max(1) / 2)
    }

    fn mark_broken(&self, name: &SmolStr) {
        if let Some(stream) = lock(&self.memory).streams.get_mut(name) {
            stream.broken = Some(Instant::now());
        }
    }

    fn cancel(&self, request: &ServerRequest, exchange: &mut Exchange) {
        let Some(body) = parse_body::<CancelRequest>(request, exchange) else {
            return;
        };
        lock(&self.memory).streams.remove(&body.request);
        let _ = exchange.respond_json(200, &json!({}));
    }
}

fn parse_body<T: DeserializeOwned>(request: &ServerRequest, exchange: &mut Exchange) -> Option<T> {
    match serde_json::from_slice(&request.body) {
        Ok(body) => Some(body),
        Err(error) => {
            let _ = exchange.respond(400, "text/plain", error.to_string().as_bytes());
            None
        }
    }
}

fn send_line(exchange: &mut Exchange, line: &DecodeLine) -> io::Result<()> {
    let mut text = serde_json::to_vec(line)?;
    text.push(b'\n');
    exchange.send(&text)
}

/// Keeps a connection open without sending until the client disconnects.
fn stall(exchange: &Exchange) {
    let until = Instant::now() + MAX_STALL;
    while Instant::now() < until && !exchange.is_disconnected() {
        thread::sleep(Duration::from_millis(20));
    }
}

fn import(body: &DecodeRequest) -> Result<KvCache, HttpError> {
    #[derive(serde::Deserialize)]
    struct Export {
        seed: String,
        tokens: u32,
        crashes: bool,
    }
    let http = HttpClient::new(&body.source.address, IMPORT_TIMEOUTS);
    let request = ExportRequest {
        kv: body.source.kv.clone(),
    };
    let export: Export = http.post("/v1/export", &request)?;
    let seed = u64::from_str_radix(&export.seed, 16)
        .map_err(|error| HttpError::Malformed(error.to_string()))?;
    let created = Instant::now();
    Ok(KvCache {
        seed,
        tokens: export.tokens,
        crashes_decode: export.crashes,
        created,
    })
}
