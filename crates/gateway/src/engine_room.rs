//! What a generation holds at engines, and gives back when it is dropped.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::ServerKey;
use smol_str::SmolStr;

use crate::KvLocation;
use crate::exchange::Exchange;
use crate::node::Node;

/// Prompts that a decode engine reads by itself at the same time.
const MOST_SELF_READS: u32 = 1;

/// Part by which an answer that is longer than estimated should still grow.
const GROWTH: f64 = 1.15;

/// Memory of an engine that is set aside for a request; given back when this is dropped.
pub struct Room {
    node: Rc<Node>,
    /// The engine.
    pub server: ServerKey,
    tokens: u64,
    is_self_reading: bool,
    /// Reservation at the engine that has not been used yet.
    pub hold: Option<SmolStr>,
}

impl Room {
    /// Sets tokens aside at an engine, as far as this instance and its peers know.
    pub fn plan(node: &Rc<Node>, server: ServerKey, tokens: u64) -> Self {
        if let Some(s) = node.state.borrow_mut().pool.get_mut(server) {
            s.own_tokens += tokens;
        }
        Self {
            node: node.clone(),
            server,
            tokens,
            is_self_reading: false,
            hold: None,
        }
    }

    /// Returns the tokens that are reserved at the engine by all instances.
    pub fn tokens_here(&self, now: Duration) -> u64 {
        let state = self.node.state.borrow();
        let server = state.pool.get(self.server);
        server.map_or(self.tokens, |s| s.reserved_tokens(now))
    }

    /// Whether nothing else is reserved at the engine, as far as this instance knows.
    pub fn is_alone(&self, now: Duration) -> bool {
        self.tokens_here(now) <= self.tokens
    }

    /// Takes in how long the engine took to read what was reserved there.
    pub fn was_read(&self, tokens: u64, took: Duration) {
        let mut state = self.node.state.borrow_mut();
        if let Some(server) = state.pool.get_mut(self.server) {
            server.record_prefill(tokens, took);
        }
    }

    /// Whether the engine may read a prompt by itself now.
    pub fn may_self_read(&self) -> bool {
        let state = self.node.state.borrow();
        let server = state.pool.get(self.server);
        server.is_some_and(|s| s.local_prefills < MOST_SELF_READS)
    }

    /// Raises the reservation to what the answer may come to need, now that it is `output` long.
    pub fn grow(&mut self, prompt_tokens: u64, output: u64) {
        let tokens = prompt_tokens + (output as f64 * GROWTH) as u64;
        if tokens <= self.tokens {
            return;
        }
        let mut state = self.node.state.borrow_mut();
        if let Some(server) = state.pool.get_mut(self.server) {
            server.own_tokens += tokens - self.tokens;
            self.tokens = tokens;
        }
    }

    /// Counts that the engine reads the prompt by itself.
    pub fn self_reads(&mut self) {
        let mut state = self.node.state.borrow_mut();
        if let Some(server) = state.pool.get_mut(self.server) {
            server.local_prefills += 1;
            self.is_self_reading = true;
        }
    }

    /// Takes in that the first event has come, so the prompt has been read.
    pub fn has_read(&mut self) {
        let mut state = self.node.state.borrow_mut();
        if std::mem::take(&mut self.is_self_reading)
            && let Some(server) = state.pool.get_mut(self.server)
        {
            server.local_prefills = server.local_prefills.saturating_sub(1);
        }
    }

    /// Returns the zone of the engine.
    pub fn zone(&self) -> SmolStr {
        let state = self.node.state.borrow();
        let server = state.pool.get(self.server);
        server.map_or_else(SmolStr::default, |s| s.entry.zone.clone())
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.has_read();
        if let Some(s) = self.node.state.borrow_mut().pool.get_mut(self.server) {
            s.own_tokens = s.own_tokens.saturating_sub(self.tokens);
        }
        self.node.room.changed();
        if let Some(hold) = self.hold.take() {
            let request = (self.node.adapter.servers.drop_hold)(&hold);
            let (node, server) = (self.node.clone(), self.server);
            tokio::task::spawn_local(async move {
                // A reservation that is not released lapses by itself.
                let released = Exchange::call(&node, server, request).await;
                log::debug!("release: {}", released.is_ok());
            });
        }
    }
}

/// KV cache of a prompt; freed when this is dropped before a decode engine has taken it.
pub struct Kv {
    node: Rc<Node>,
    server: ServerKey,
    /// Where it is.
    pub location: KvLocation,
    tokens: u64,
    /// Whether a decode engine has taken it.
    pub taken: Cell<bool>,
}

impl Kv {
    /// Makes a KV cache that an engine keeps under a handle; `None` if the engine is gone.
    pub fn at(node: &Rc<Node>, server: ServerKey, handle: SmolStr, tokens: u64) -> Option<Self> {
        let state = node.state.borrow();
        let address = state.pool.get(server)?.entry.address.clone();
        Some(Self {
            node: node.clone(),
            server,
            location: KvLocation { address, handle },
            tokens,
            taken: Cell::new(false),
        })
    }
}

impl Drop for Kv {
    fn drop(&mut self) {
        if self.taken.get() {
            return;
        }
        self.node.metrics.wasted_prefill(self.tokens);
        let request = (self.node.adapter.servers.drop_kv)(&self.location.handle);
        let (node, server) = (self.node.clone(), self.server);
        tokio::task::spawn_local(async move {
            // A handle that is not freed lapses by itself.
            let freed = Exchange::call(&node, server, request).await;
            log::debug!("freed: {}", freed.is_ok());
        });
    }
}
