//! Stand-in of a model engine.

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

use crate::engine_memory::{EngineMemory, Kv, Stream, split_prompt};
use crate::faults::{Faults, SharedFaults};
use crate::server::lock;
use crate::text::answer_token;
use crate::{EngineSettings, Exchange, Server, ServerRequest};

/// Text in a prompt that crashes the engine that prefills it.
const CRASH_PREFILL: &str = "[[crash-prefill]]";

/// Text in a prompt that crashes the engine that decodes it.
const CRASH_DECODE: &str = "[[crash-decode]]";

/// Position at which such a decode crashes.
const CRASH_POSITION: u32 = 3;

/// Longest time that a stalled connection is kept.
const STALL: Duration = Duration::from_secs(60);

/// Bounds of an import of KV cache.
const IMPORT: Timeouts = Timeouts {
    connect: Duration::from_millis(500),
    read: Duration::from_secs(2),
};

struct Shared {
    settings: EngineSettings,
    memory: Mutex<EngineMemory>,
    faults: SharedFaults,
    /// Serialises prefills, as an accelerator does.
    compute: Mutex<()>,
    /// Serialises exports, as a link does.
    link: Mutex<()>,
    next_kv: AtomicU64,
    prefilled_tokens: AtomicU64,
    crashes: AtomicU64,
    server: OnceLock<Server>,
}

/// A running engine.
#[derive(Clone)]
pub struct EngineStandin {
    shared: Arc<Shared>,
}

impl EngineStandin {
    /// Binds an address and serves as an engine.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn spawn(address: &str, settings: EngineSettings) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            settings,
            memory: Mutex::default(),
            faults: SharedFaults::default(),
            compute: Mutex::default(),
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

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.faults.set(faults);
    }

    /// Returns the load now, without lag.
    pub fn load(&self) -> EngineLoad {
        lock(&self.shared.memory).load(&self.shared.settings)
    }

    /// Returns the prompt tokens prefilled so far, without those that were cached.
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

    /// Crashes the engine: connections break, memory is lost.
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
        // Set before `spawn` returns, and a handler runs only on a bound server.
        self.server.wait()
    }

    fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.server().crash();
        *lock(&self.memory) = EngineMemory::default();
    }

    fn serve(&self, request: ServerRequest, exchange: &mut Exchange) {
        if self.faults.control(&request, exchange) || !self.faults.before(exchange) {
            return;
        }
        if request.path == "/v1/load" {
            let load = lock(&self.memory).lagging_load(&self.settings);
            // A client that has left is its own affair, here and below.
            let _ = exchange.json(200, &load);
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
                let _ = exchange.answer(404, "text/plain", b"no such path");
            }
        }
    }

    fn prefill(&self, request: &ServerRequest, exchange: &mut Exchange) {
        let Some(body) = read::<PrefillRequest>(request, exchange) else {
            return;
        };
        {
            let mut memory = lock(&self.memory);
            if self.faults.get().full || memory.load(&self.settings).used >= self.settings.slots {
                let _ = exchange.answer(429, "text/plain", b"full");
                return;
            }
            memory.prefills += 1;
        }
        let reply = self.compute(&body);
        {
            let mut memory = lock(&self.memory);
            memory.prefills = memory.prefills.saturating_sub(1);
        }
        if body.prompt.contains(CRASH_PREFILL) {
            return self.crash();
        }
        let _ = exchange.json(200, &reply);
    }

    fn compute(&self, body: &PrefillRequest) -> PrefillReply {
        let _busy = lock(&self.compute);
        let (seed, tokens) = split_prompt(&body.prompt, body.generated);
        let cached_tokens = lock(&self.memory).cached_tokens(&body.prompt).min(tokens);
        let fresh = u64::from(tokens - cached_tokens);
        let time = Duration::from_micros(fresh * 1_000_000 / self.settings.prefill_rate);
        thread::sleep(self.faults.paced(time));
        self.prefilled_tokens.fetch_add(fresh, Ordering::SeqCst);
        let kv = format_smolstr!("kv{}", self.next_kv.fetch_add(1, Ordering::SeqCst));
        let crashes = body.prompt.contains(CRASH_DECODE);
        let made = Instant::now();
        lock(&self.memory).kv.insert(
            kv.clone(),
            Kv {
                seed,
                tokens,
                crashes,
                made,
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
        let Some(body) = read::<ExportRequest>(request, exchange) else {
            return;
        };
        if self.faults.get().stall_export {
            return stall(exchange);
        }
        let keep = Duration::from_millis(self.settings.keep_ms);
        let kv = lock(&self.memory)
            .kv
            .remove(&body.kv)
            .filter(|kv| kv.made.elapsed() < keep);
        let Some(kv) = kv else {
            let _ = exchange.answer(410, "text/plain", b"evicted");
            return;
        };
        {
            let _busy = lock(&self.link);
            let micros = u64::from(kv.tokens) * 1_000_000 / self.settings.export_rate;
            thread::sleep(self.faults.paced(Duration::from_micros(micros)));
        }
        let seed = format!("{:016x}", kv.seed);
        let _ = exchange.json(
            200,
            &json!({"seed": seed, "tokens": kv.tokens, "crashes": kv.crashes}),
        );
    }

    fn decode(&self, request: &ServerRequest, exchange: &mut Exchange) {
        let Some(body) = read::<DecodeRequest>(request, exchange) else {
            return;
        };
        let import = import(&body);
        let kv = match import {
            Ok(kv) => kv,
            Err(problem) => {
                let _ = exchange.answer(410, "text/plain", problem.to_string().as_bytes());
                return;
            }
        };
        let full = self.faults.get().full;
        let stream = lock(&self.memory).admit(&self.settings, &body.request, kv, body.max_tokens);
        match stream.filter(|_| !full) {
            None => {
                let _ = exchange.answer(429, "text/plain", b"full");
            }
            Some(stream) => self.stream(&body.request, stream, body.from, exchange),
        }
    }

    fn resume(&self, request: &ServerRequest, exchange: &mut Exchange) {
        let Some(body) = read::<ResumeRequest>(request, exchange) else {
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
                let _ = exchange.answer(410, "text/plain", b"no such stream");
            }
            Some(stream) => self.stream(&body.request, stream, body.from, exchange),
        }
    }

    /// Sends tokens until the answer ends, the stream is cancelled or the connection breaks.
    fn stream(&self, name: &SmolStr, stream: Stream, from: u32, exchange: &mut Exchange) {
        let mut sent = exchange.begin("application/x-ndjson");
        for position in from..stream.end {
            thread::sleep(self.token_time());
            if !lock(&self.memory).streams.contains_key(name) {
                return exchange.cut();
            }
            if stream.kv.crashes && position == CRASH_POSITION {
                return self.crash();
            }
            if self.faults.get().stall {
                return stall(exchange);
            }
            if position == from + 3 && self.faults.take(|faults| &mut faults.break_streams) {
                exchange.cut();
                return self.mark_broken(name);
            }
            let crossed = self.faults.take(|faults| &mut faults.cross_lines);
            let request = if crossed {
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
        let reason = if stream.limited {
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

    /// A fuller batch takes longer for each step.
    fn token_time(&self) -> Duration {
        let used = lock(&self.memory).streams.len() as u32;
        let base = Duration::from_millis(self.settings.token_ms);
        self.faults
            .paced(base + base * used / self.settings.slots.max(1) / 2)
    }

    fn mark_broken(&self, name: &SmolStr) {
        if let Some(stream) = lock(&self.memory).streams.get_mut(name) {
            stream.broken = Some(Instant::now());
        }
    }

    fn cancel(&self, request: &ServerRequest, exchange: &mut Exchange) {
        let Some(body) = read::<CancelRequest>(request, exchange) else {
            return;
        };
        lock(&self.memory).streams.remove(&body.request);
        let _ = exchange.json(200, &json!({}));
    }
}

fn read<T: DeserializeOwned>(request: &ServerRequest, exchange: &mut Exchange) -> Option<T> {
    match serde_json::from_slice(&request.body) {
        Ok(body) => Some(body),
        Err(error) => {
            let _ = exchange.answer(400, "text/plain", error.to_string().as_bytes());
            None
        }
    }
}

fn send_line(exchange: &mut Exchange, line: &DecodeLine) -> io::Result<()> {
    let mut text = serde_json::to_vec(line)?;
    text.push(b'\n');
    exchange.send(&text)
}

/// Keeps a connection open without sending, until the other end leaves.
fn stall(exchange: &Exchange) {
    let until = Instant::now() + STALL;
    while Instant::now() < until && !exchange.is_gone() {
        thread::sleep(Duration::from_millis(20));
    }
}

fn import(body: &DecodeRequest) -> Result<Kv, HttpError> {
    #[derive(serde::Deserialize)]
    struct Export {
        seed: String,
        tokens: u32,
        crashes: bool,
    }
    let http = HttpClient::new(&body.source.address, IMPORT);
    let request = ExportRequest {
        kv: body.source.kv.clone(),
    };
    let export: Export = http.post("/v1/export", &request)?;
    let seed = u64::from_str_radix(&export.seed, 16)
        .map_err(|error| HttpError::Malformed(error.to_string()))?;
    let made = Instant::now();
    Ok(Kv {
        seed,
        tokens: export.tokens,
        crashes: export.crashes,
        made,
    })
}
