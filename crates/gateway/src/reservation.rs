//! Resources of a generation at engines: reserved memory and the KV cache of its prompt. Both are
//! released on drop.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::ServerKey;
use smol_str::SmolStr;

use crate::KvLocation;
use crate::context::Context;
use crate::exchange::Exchange;
use crate::permits;

/// Maximum number of concurrent local prefills on a decode engine.
const MAX_LOCAL_PREFILLS: u32 = 1;

/// Factor by which the reservation exceeds the present length of an answer that has outgrown its
/// estimate.
const GROWTH_FACTOR: f64 = 1.15;

/// Memory of an engine that is reserved for a request; released when this is dropped.
pub struct Reservation {
    cx: Rc<Context>,
    /// The engine.
    pub server: ServerKey,
    tokens: u64,
    is_prefilling_locally: bool,
    /// Identifier of the reservation at the engine; `None` if there is none, or once a decode has
    /// used it.
    pub pending_id: Option<SmolStr>,
    /// When the engine drops the reservation unless a decode has used it; zero if there is none.
    pub expires_at: Duration,
    /// Whether permits were acquired for the reservation and the decode.
    pub has_permits: bool,
}

impl Reservation {
    /// Counts tokens as reserved at an engine, in this instance and its reports to peers. The
    /// engine itself is not called.
    pub fn new(cx: &Rc<Context>, server: ServerKey, tokens: u64) -> Self {
        if let Some(s) = cx.state.borrow_mut().pool.get_mut(server) {
            s.own_tokens += tokens;
        }
        Self {
            cx: cx.clone(),
            server,
            tokens,
            is_prefilling_locally: false,
            pending_id: None,
            expires_at: Duration::ZERO,
            has_permits: false,
        }
    }

    /// Returns the tokens that all instances have reserved at the engine, as far as this instance
    /// knows.
    pub fn reserved_at_engine(&self, now: Duration) -> u64 {
        let state = self.cx.state.borrow();
        let server = state.pool.get(self.server);
        server.map_or(self.tokens, |s| s.reserved_tokens(now))
    }

    /// Whether this is the only reservation at the engine, as far as this instance knows.
    pub fn is_sole_reservation(&self, now: Duration) -> bool {
        self.reserved_at_engine(now) <= self.tokens
    }

    /// Records how long the engine took to prefill the tokens that were reserved there.
    pub fn record_prefill(&self, tokens: u64, took: Duration) {
        let mut state = self.cx.state.borrow_mut();
        if let Some(server) = state.pool.get_mut(self.server) {
            server.record_prefill(tokens, took);
        }
    }

    /// Whether the engine has less than the maximum number of local prefills.
    pub fn may_prefill_locally(&self) -> bool {
        let state = self.cx.state.borrow();
        let server = state.pool.get(self.server);
        server.is_some_and(|s| s.local_prefills < MAX_LOCAL_PREFILLS)
    }

    /// Raises the reservation if an answer of `output` tokens so far is likely to outgrow it.
    pub fn grow(&mut self, prompt_tokens: u64, output: u64) {
        let tokens = prompt_tokens + (output as f64 * GROWTH_FACTOR) as u64;
        if tokens <= self.tokens {
            return;
        }
        let mut state = self.cx.state.borrow_mut();
        if let Some(server) = state.pool.get_mut(self.server) {
            server.own_tokens += tokens - self.tokens;
            self.tokens = tokens;
        }
    }

    /// Records that the engine starts a local prefill of the prompt.
    pub fn start_local_prefill(&mut self) {
        let mut state = self.cx.state.borrow_mut();
        if let Some(server) = state.pool.get_mut(self.server) {
            server.local_prefills += 1;
            self.is_prefilling_locally = true;
        }
    }

    /// Records that the local prefill is over, as the first event has arrived. Does nothing if
    /// there was none.
    pub fn finish_local_prefill(&mut self) {
        let mut state = self.cx.state.borrow_mut();
        if std::mem::take(&mut self.is_prefilling_locally)
            && let Some(server) = state.pool.get_mut(self.server)
        {
            server.local_prefills = server.local_prefills.saturating_sub(1);
        }
    }

    /// Returns the software version of the engine; empty if the engine is no longer registered.
    pub fn version(&self) -> SmolStr {
        let state = self.cx.state.borrow();
        let server = state.pool.get(self.server);
        server.map_or_else(SmolStr::default, |s| s.entry.version.clone())
    }

    /// Returns the availability zone of the engine; empty if the engine is no longer registered.
    pub fn zone(&self) -> SmolStr {
        let state = self.cx.state.borrow();
        let server = state.pool.get(self.server);
        server.map_or_else(SmolStr::default, |s| s.entry.zone.clone())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.finish_local_prefill();
        if let Some(s) = self.cx.state.borrow_mut().pool.get_mut(self.server) {
            s.own_tokens = s.own_tokens.saturating_sub(self.tokens);
        }
        self.cx.capacity_queue.notify_waiters();
        if let Some(id) = self.pending_id.take() {
            let request = (self.cx.adapter.servers.release_reservation)(&id);
            let (cx, server) = (self.cx.clone(), self.server);
            tokio::task::spawn_local(async move {
                // Without the call, the reservation expires at the engine.
                if permits::acquire_if_cold(&cx, server).await.is_err() {
                    return;
                }
                let released = Exchange::call(&cx, server, request).await;
                log::debug!(
                    "release of a reservation at an engine succeeded: {}",
                    released.is_ok()
                );
            });
        }
    }
}

/// KV cache of a prompt at a prefill engine; freed when this is dropped before a decode engine has
/// fetched it.
pub struct KvCache {
    cx: Rc<Context>,
    server: ServerKey,
    /// Location for the decode engine to fetch it from.
    pub location: KvLocation,
    tokens: u64,
    /// Whether a decode engine has fetched it; it is not freed then.
    pub is_transferred: Cell<bool>,
}

impl KvCache {
    /// Creates a reference to a KV cache that an engine keeps under a handle; `None` if the engine
    /// is no longer registered.
    pub fn at(cx: &Rc<Context>, server: ServerKey, handle: SmolStr, tokens: u64) -> Option<Self> {
        let state = cx.state.borrow();
        let address = state.pool.get(server)?.entry.address.clone();
        Some(Self {
            cx: cx.clone(),
            server,
            location: KvLocation { address, handle },
            tokens,
            is_transferred: Cell::new(false),
        })
    }
}

impl Drop for KvCache {
    fn drop(&mut self) {
        if self.is_transferred.get() {
            return;
        }
        self.cx.metrics.count_wasted_prefill(self.tokens);
        let request = (self.cx.adapter.servers.free_kv_cache)(&self.location.handle);
        let (cx, server) = (self.cx.clone(), self.server);
        tokio::task::spawn_local(async move {
            // Without the call, the handle expires at the engine.
            if permits::acquire_if_cold(&cx, server).await.is_err() {
                return;
            }
            let freed = Exchange::call(&cx, server, request).await;
            log::debug!(
                "release of a KV cache at an engine succeeded: {}",
                freed.is_ok()
            );
        });
    }
}
