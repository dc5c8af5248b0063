//! All registered backend servers, and which of them gets a request.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::{CallOutcome, EngineRole, Server, ServerEntry, ServerKey};

/// How long a registration that lapsed while the store was away is still used.
const LAPSED_KEPT: Duration = Duration::from_millis(2000);

/// Load, in parts of a server's slots, that the way into another zone is worth.
const OTHER_ZONE: f64 = 0.5;

/// Load, in parts of a server's slots, that certain failure is worth.
const FAILURE: f64 = 6.0;

/// Load that a server which does not answer is worth, so that it goes last.
const PAUSED: f64 = 50.0;

/// Seconds of waiting that a prefill in another zone is worth, whose KV cache has a longer way.
const OTHER_ZONE_READ: f64 = 0.12;

/// Seconds of waiting that certain failure of a prefill is worth.
const FAILURE_READ: f64 = 2.0;

/// Part of an engine's memory that the way of an answer from another zone is worth.
const OTHER_ZONE_MEMORY: f64 = 0.25;

/// Part of an engine's memory by which instances draw differently, since all of them see the same
/// engine as the best until they hear of each other.
const SPREAD_MEMORY: f64 = 0.12;

/// Seconds of waiting by which instances draw differently, for the same reason.
const SPREAD_READ: f64 = 0.03;

/// Part of an engine's memory that failing all requests is worth.
const FAILURE_MEMORY: f64 = 3.0;

/// Ratio of a server's times to its siblings' from which it counts as slow.
const SLOW_RATIO: f64 = 1.8;

/// For whom a server is picked.
#[derive(Clone, Copy, Debug)]
pub struct Pick<'a> {
    /// Time.
    pub now: Duration,
    /// Service.
    pub service: &'a str,
    /// Availability zone that the work comes from.
    pub zone: &'a str,
    /// Servers that are not to be picked.
    pub avoid: &'a [ServerKey],
}

impl Pick<'_> {
    fn if_far(&self, server: &Server, cost: f64) -> f64 {
        if server.entry.zone == self.zone {
            0.0
        } else {
            cost
        }
    }
}

/// The backend servers of all services.
#[derive(Debug, Default)]
pub struct ServerPool {
    servers: SlotMap<ServerKey, Server>,
    by_id: BTreeMap<SmolStr, ServerKey>,
}

impl ServerPool {
    /// Takes in a registration; a restarted server under its old identifier starts anew.
    pub fn register(&mut self, entry: ServerEntry) -> ServerKey {
        if let Some(key) = self.by_id.get(&entry.id).copied() {
            let known = &self.servers[key].entry;
            let restarted = known.started_ms.is_some()
                && entry.started_ms.is_some()
                && known.started_ms != entry.started_ms;
            if !restarted && known.address == entry.address {
                let server = &mut self.servers[key];
                server.entry = entry;
                server.expired_at = None;
                return key;
            }
            self.servers.remove(key);
        }
        let id = entry.id.clone();
        let key = self.servers.insert(Server::new(entry));
        self.by_id.insert(id, key);
        key
    }

    /// Takes in that a registration is gone.
    ///
    /// While the store is away registrations lapse although the servers live, so such a server is
    /// used on until [`ServerPool::remove_expired`].
    pub fn unregister(&mut self, now: Duration, id: &str, store_was_away: bool) {
        let Some(key) = self.by_id.get(id).copied() else {
            return;
        };
        if store_was_away && self.servers[key].accepts_work() {
            self.servers[key].expired_at.get_or_insert(now);
            return;
        }
        self.remove(id);
    }

    /// Removes servers whose registration lapsed and did not come back.
    pub fn remove_expired(&mut self, now: Duration) {
        let expired = |s: &Server| s.expired_at.is_some_and(|at| now >= at + LAPSED_KEPT);
        let servers = self.servers.values();
        let gone: Vec<SmolStr> = servers
            .filter(|s| expired(s))
            .map(|s| s.entry.id.clone())
            .collect();
        for id in gone {
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(key) = self.by_id.remove(id) {
            self.servers.remove(key);
        }
    }

    /// Returns a server that is still there.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Returns a server that is still there, to change it.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// Returns the identifier of a server for logs; empty if it is gone.
    pub fn id_of(&self, key: ServerKey) -> SmolStr {
        let server = self.servers.get(key);
        server.map_or_else(SmolStr::default, |s| s.entry.id.clone())
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns the servers of a service that may get work.
    pub fn available<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (ServerKey, &'a Server)> {
        self.servers
            .iter()
            .filter(move |(_, s)| s.entry.service == service && s.accepts_work())
    }

    /// Records how a call ended.
    pub fn record_outcome(&mut self, now: Duration, key: ServerKey, outcome: CallOutcome) {
        if let Some(server) = self.servers.get_mut(key) {
            server.record_outcome(now, outcome);
        }
    }

    /// Picks the server of a plain service that should answer soonest.
    pub fn pick_plain(&self, pick: &Pick<'_>) -> Option<ServerKey> {
        let usual = self.usual(pick.now, pick.service);
        let cost = |s: &Server| {
            let slots = f64::from(s.entry.slots.max(1));
            let load = f64::from(s.load(pick.now)) / slots;
            load + pick.if_far(s, OTHER_ZONE) + usual.penalty(pick.now, s)
        };
        self.available(pick.service)
            .filter(|(key, _)| !pick.avoid.contains(key))
            .min_by(|a, b| cost(a.1).total_cmp(&cost(b.1)))
            .map(|(key, _)| key)
    }

    /// Picks the engine that should have read a prompt of `tokens` soonest, with the time that it
    /// should take; `draw` gives uniform random numbers below 1.
    ///
    /// An engine whose `memory` is full of prompts that wait or have not been taken yet refuses
    /// another one, so it is left out.
    pub fn pick_prefill(
        &self,
        pick: &Pick<'_>,
        memory: u64,
        tokens: u64,
        mut draw: impl FnMut() -> f64,
    ) -> Option<(ServerKey, Duration)> {
        let usual = self.usual(pick.now, pick.service);
        let mut cost = |s: &Server| {
            let failing = FAILURE_READ * usual.excess_failures(pick.now, s);
            let reading = s.expected_prefill_time(pick.now, tokens).as_secs_f64();
            reading + pick.if_far(s, OTHER_ZONE_READ) + failing + SPREAD_READ * draw()
        };
        self.stage(pick, EngineRole::Prefill)
            .filter(|(_, s)| !s.is_paused(pick.now) && !s.is_full(pick.now))
            .filter(|(_, s)| s.has_capacity(pick.now, memory, tokens))
            .map(|(key, s)| (cost(s), key, s))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, key, s)| (key, s.expected_prefill_time(pick.now, tokens)))
    }

    /// Returns the decode engines that should have room for `tokens` in their `memory`, the best
    /// first; `draw` gives uniform random numbers below 1.
    pub fn decode_candidates(
        &self,
        pick: &Pick<'_>,
        memory: u64,
        tokens: u64,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<ServerKey> {
        let usual = self.usual(pick.now, pick.service);
        let mut cost = |s: &Server| {
            let used = s.reserved_tokens(pick.now) as f64 / memory as f64;
            let failing = FAILURE_MEMORY * usual.penalty(pick.now, s);
            used + pick.if_far(s, OTHER_ZONE_MEMORY) + failing + SPREAD_MEMORY * draw()
        };
        let mut candidates: Vec<(f64, ServerKey)> = self
            .stage(pick, EngineRole::Decode)
            .filter(|(_, s)| !s.is_paused(pick.now) && !s.is_full(pick.now))
            .filter(|(_, s)| s.has_capacity(pick.now, memory, tokens))
            .map(|(key, s)| (cost(s), key))
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        candidates.into_iter().map(|(_, key)| key).collect()
    }

    fn stage<'a>(
        &'a self,
        pick: &'a Pick<'_>,
        stage: EngineRole,
    ) -> impl Iterator<Item = (ServerKey, &'a Server)> {
        self.available(pick.service)
            .filter(move |(key, s)| s.entry.role == Some(stage) && !pick.avoid.contains(key))
    }

    /// Takes in all that a peer of this zone has reserved, replacing what it said before.
    pub fn set_peer_reserved(&mut self, now: Duration, peer: &SmolStr, held: &[(SmolStr, u64)]) {
        let held: BTreeMap<&SmolStr, u64> = held.iter().map(|(id, n)| (id, *n)).collect();
        for server in self.servers.values_mut() {
            let tokens = held.get(&server.entry.id).copied().unwrap_or(0);
            server.set_peer_reserved(now, peer, tokens);
        }
    }

    /// Takes in all that the instances of another zone have reserved.
    pub fn set_zone_reserved(&mut self, now: Duration, zone: &SmolStr, held: &[(SmolStr, u64)]) {
        let held: BTreeMap<&SmolStr, u64> = held.iter().map(|(id, n)| (id, *n)).collect();
        for server in self.servers.values_mut() {
            let tokens = held.get(&server.entry.id).copied().unwrap_or(0);
            server.set_zone_reserved(now, zone, tokens);
        }
    }

    /// Returns what this instance has reserved at each server.
    pub fn own_reserved(&self) -> Vec<(SmolStr, u64)> {
        self.reserved(|s| s.own_tokens)
    }

    /// Returns what the instances of this zone have reserved at each server.
    pub fn same_zone_reserved(&self, now: Duration) -> Vec<(SmolStr, u64)> {
        self.reserved(|s| s.same_zone_tokens(now))
    }

    fn reserved(&self, tokens: impl Fn(&Server) -> u64) -> Vec<(SmolStr, u64)> {
        let servers = self.servers.values();
        servers
            .map(|s| (s.entry.id.clone(), tokens(s)))
            .filter(|(_, tokens)| *tokens > 0)
            .collect()
    }

    /// Marks an engine as changing its stage: it gets no work until its registration changes.
    pub fn start_role_change(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.entry.role = None;
        }
    }

    fn usual(&self, now: Duration, service: &str) -> Usual {
        let mut rates: Vec<f64> = self
            .available(service)
            .map(|(_, s)| s.failure_rate(now))
            .collect();
        let mut times: Vec<f64> = self
            .available(service)
            .filter_map(|(_, s)| s.mean_latency_s())
            .collect();
        Usual {
            failure_rate: lower_median(&mut rates).unwrap_or(0.0),
            time: lower_median(&mut times),
        }
    }
}

/// How the servers of a service usually fare; one that is worse than its siblings goes last.
struct Usual {
    failure_rate: f64,
    time: Option<f64>,
}

impl Usual {
    fn penalty(&self, now: Duration, server: &Server) -> f64 {
        let paused = if server.is_paused(now) { PAUSED } else { 0.0 };
        paused + FAILURE * self.excess_failures(now, server) + self.slowness(server)
    }

    fn excess_failures(&self, now: Duration, server: &Server) -> f64 {
        (server.failure_rate(now) - self.failure_rate).max(0.0)
    }

    fn slowness(&self, server: &Server) -> f64 {
        let Some((time, usual)) = server.mean_latency_s().zip(self.time) else {
            return 0.0;
        };
        let ratio = time / usual.max(0.001);
        if ratio > SLOW_RATIO {
            (ratio - 1.0).min(4.0) / 2.0
        } else {
            0.0
        }
    }
}

fn lower_median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let middle = values.len().checked_sub(1)? / 2;
    values.get(middle).copied()
}
