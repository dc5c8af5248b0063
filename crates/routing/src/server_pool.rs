//! The registered backend servers, and the choice of a server for a request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::{
    CallOutcome, ColdChange, EngineRole, EvacuationStatement, Evacuations, LimitChange,
    LimitStatement, Server, ServerEntry, ServerKey, ServerState, VersionNotes, Versions,
};

/// Time for which a registration is still used that expired while the store was unreachable.
const EXPIRED_GRACE_PERIOD: Duration = Duration::from_millis(2000);

/// Time for which a removed registration is remembered; a copy of the store from which it comes back
/// is only seconds old.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Time for which the version of servers that are gone is remembered: streams that they began may be
/// taken up that long.
const VERSION_RETENTION: Duration = Duration::from_secs(60);

/// Cost of a server in another zone, in the unit of the load: 1 is the load of a server whose slots
/// are all in use.
const REMOTE_ZONE_COST: f64 = 0.5;

/// Cost of a server that fails all calls, in the same unit.
const FAILURE_COST: f64 = 6.0;

/// Cost of a paused server, in the same unit; so high that such a server is picked only if no other
/// one is left.
const PAUSED_COST: f64 = 50.0;

/// Cost of a server that names a limit, in the same unit: others are preferred while they have free
/// slots.
const LIMITED_COST: f64 = 1.0;

/// Cost of a prefill engine that names a limit, in seconds.
const LIMITED_PREFILL_COST_S: f64 = 0.3;

/// Cost of a prefill engine in another zone, in seconds; its KV cache has to be sent across zones.
const REMOTE_ZONE_PREFILL_COST_S: f64 = 0.12;

/// Cost of a prefill engine that fails all calls, in seconds.
const FAILURE_PREFILL_COST_S: f64 = 2.0;

/// Cost of a decode engine in another zone, as a fraction of an engine's memory.
const REMOTE_ZONE_DECODE_COST: f64 = 0.25;

/// Maximum random cost of a decode engine, as a fraction of an engine's memory. Without it, all
/// instances would pick the same engine until they receive each other's reservations.
const DECODE_JITTER: f64 = 0.12;

/// Maximum random cost of a plain server, in the unit of its load: less than that of one request. Without
/// it, all instances would pick the same one of several idle servers, and a request that is passed on a
/// second time would get the server again that did not answer it.
const PLAIN_JITTER: f64 = 0.05;

/// Maximum random cost of a prefill engine, in seconds, for the same reason as [`DECODE_JITTER`].
const PREFILL_JITTER_S: f64 = 0.03;

/// Factor by which the cost of failures and slowness is multiplied before it is added to the used
/// fraction of an engine's memory.
const DECODE_PENALTY_FACTOR: f64 = 3.0;

/// Ratio of a server's mean latency to the median of its service above which it counts as slow.
const SLOW_RATIO: f64 = 1.8;

/// The parameters of picking a server.
#[derive(Clone, Copy, Debug)]
pub struct PickParams<'a> {
    /// Current time.
    pub now: Duration,
    /// Name of the service.
    pub service: &'a str,
    /// Availability zone from which the request is sent.
    pub zone: &'a str,
    /// Servers that must not be picked.
    pub avoid: &'a [ServerKey],
    /// Version that a decode engine must have, to continue a stream.
    pub version: Option<&'a str>,
}

impl PickParams<'_> {
    fn has_version(&self, server: &Server) -> bool {
        self.version
            .is_none_or(|version| server.entry.version == version)
    }

    fn remote_zone_cost(&self, server: &Server, cost: f64) -> f64 {
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
    /// Start time of servers whose registration was removed, and when that was.
    removed: BTreeMap<SmolStr, (Option<u64>, Duration)>,
    /// When a server of a service with a version was last registered, by service and version.
    versions: BTreeMap<(SmolStr, SmolStr), Duration>,
    /// Versions that the store lists; `None` if they are not kept there.
    notes: Option<VersionNotes>,
    /// Zones whose servers get no requests.
    evacuations: Evacuations,
    /// Requests per second that cold servers tolerate, by service; services without a limit are left
    /// out.
    cold_rates: BTreeMap<SmolStr, f64>,
}

impl ServerPool {
    /// Has streams begin only at versions that the store lists.
    pub fn keep_notes(&mut self, notes: VersionNotes) {
        self.notes = Some(notes);
    }

    /// Replaces the requests per second that cold servers tolerate, by service.
    pub fn set_cold_rates(&mut self, cold_rates: BTreeMap<SmolStr, f64>) {
        self.cold_rates = cold_rates;
    }

    fn cold_rate(&self, server: &Server) -> Option<f64> {
        self.cold_rates.get(&server.entry.service).copied()
    }

    /// Returns the requests per second that a server takes from all instances together, as
    /// [`Server::rate_limit`].
    pub fn rate_limit(&self, now: Duration, key: ServerKey) -> Option<f64> {
        let server = self.servers.get(key)?;
        server.rate_limit(now, self.cold_rate(server))
    }

    /// Whether a server is cold, and its service has a limit for cold servers.
    pub fn is_cold(&self, now: Duration, key: ServerKey) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|s| s.coldness.rate_limit(now, self.cold_rate(s)).is_some())
    }

    /// Returns the number of cold servers of services that have a limit for them.
    pub fn cold_servers(&self, now: Duration) -> usize {
        let keys = self.servers.keys();
        keys.filter(|key| self.is_cold(now, *key)).count()
    }

    /// Returns the servers of services with a limit for cold servers that have become cold or warm
    /// since the last call.
    pub fn take_cold_changes(&mut self, now: Duration) -> Vec<(SmolStr, ColdChange)> {
        let Self {
            servers,
            cold_rates,
            ..
        } = self;
        let servers = servers.values_mut();
        let limited = servers.filter(|s| cold_rates.contains_key(&s.entry.service));
        let changes = limited.filter_map(|s| {
            let change = s.coldness.take_change(now)?;
            Some((s.entry.id.clone(), change))
        });
        changes.collect()
    }

    /// Records a send to a server; see [`Server::record_send`].
    pub fn record_send(&mut self, now: Duration, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            let cold_rate = self.cold_rates.get(&server.entry.service).copied();
            server.record_send(now, cold_rate);
        }
    }

    fn wait_before_requests(&self, now: Duration, server: &Server) -> Option<Duration> {
        server.wait_before_requests(now, self.cold_rate(server))
    }

    fn limited_cost(&self, now: Duration, server: &Server, cost: f64) -> f64 {
        match server.rate_limit(now, self.cold_rate(server)) {
            Some(_) => cost,
            None => 0.0,
        }
    }

    /// Returns the versions that the store lists; `None` if they are not kept there.
    pub fn notes_mut(&mut self) -> Option<&mut VersionNotes> {
        self.notes.as_mut()
    }

    /// Returns the lists of versions that the store should have and does not.
    pub fn note_changes(&self, now: Duration) -> Versions {
        let Some(notes) = &self.notes else {
            return Versions::new();
        };
        let mut in_use = Versions::new();
        for server in self.servers.values().filter(|s| s.entry.role.is_some()) {
            let versions = in_use.entry(server.entry.service.clone()).or_default();
            versions.insert(server.entry.version.clone());
        }
        for (service, version) in self.versions.keys() {
            if let Some(versions) = in_use.get_mut(service) {
                versions.insert(version.clone());
            }
        }
        notes.changes(&in_use, now >= VERSION_RETENTION)
    }

    /// Whether it is known which versions of a service served lately.
    pub fn knows_versions(&self) -> bool {
        self.notes.as_ref().is_none_or(VersionNotes::is_known)
    }

    /// Whether streams of a service may have begun at several versions.
    pub fn is_mixed(&self, service: &str) -> bool {
        self.versions(service).len() > 1
    }

    /// Whether streams of any service with engines may have begun at several versions.
    pub fn is_any_mixed(&self) -> bool {
        let engines = self.servers.values().filter(|s| s.entry.role.is_some());
        let services: BTreeSet<_> = engines.map(|s| &s.entry.service).collect();
        services.into_iter().any(|service| self.is_mixed(service))
    }

    /// Adds or updates a registration.
    ///
    /// A restarted server that kept its identifier gets a new key, and nothing of its previous
    /// state remains.
    pub fn register(&mut self, mut entry: ServerEntry) -> ServerKey {
        self.removed.remove(&entry.id);
        let is_evacuated = self.evacuations.is_evacuated(&entry.zone);
        if let Some(key) = self.by_id.get(&entry.id).copied() {
            let known = &self.servers[key].entry;
            let restarted = known.started_ms.is_some()
                && entry.started_ms.is_some()
                && known.started_ms != entry.started_ms;
            if !restarted && known.address == entry.address {
                // A server that drains never accepts work again, but a store that has come back
                // from a copy may have its earlier registration.
                if known.state == ServerState::Draining {
                    entry.state = ServerState::Draining;
                }
                let server = &mut self.servers[key];
                server.entry = entry;
                server.is_evacuated = is_evacuated;
                server.expired_at = None;
                return key;
            }
            self.servers.remove(key);
        }
        let id = entry.id.clone();
        let mut server = Server::new(entry);
        server.is_evacuated = is_evacuated;
        let key = self.servers.insert(server);
        self.by_id.insert(id, key);
        key
    }

    /// Removes a server whose registration was removed.
    ///
    /// While the store is unreachable, registrations expire although the servers are running. Such
    /// a server therefore stays in use until [`ServerPool::remove_expired`] removes it.
    pub fn unregister(&mut self, now: Duration, id: &str, store_was_unreachable: bool) {
        let Some(key) = self.by_id.get(id).copied() else {
            return;
        };
        if store_was_unreachable && self.servers[key].accepts_work() {
            self.servers[key].expired_at.get_or_insert(now);
            return;
        }
        let started_ms = self.servers[key].entry.started_ms;
        self.removed.insert(id.into(), (started_ms, now));
        self.remove(id);
    }

    /// Whether the registration of this server process was removed lately.
    pub fn was_removed(&self, now: Duration, entry: &ServerEntry) -> bool {
        self.removed.get(&entry.id).is_some_and(|(started_ms, at)| {
            *started_ms == entry.started_ms && now < *at + REMOVED_RETENTION
        })
    }

    /// Removes servers whose registration expired and was not renewed within the grace period.
    pub fn remove_expired(&mut self, now: Duration) {
        self.removed
            .retain(|_, (_, at)| now < *at + REMOVED_RETENTION);
        for server in self.servers.values() {
            let entry = &server.entry;
            let version = (entry.service.clone(), entry.version.clone());
            self.versions.insert(version, now);
        }
        self.versions.retain(|_, at| now < *at + VERSION_RETENTION);
        let is_expired = |s: &Server| {
            s.expired_at
                .is_some_and(|at| now >= at + EXPIRED_GRACE_PERIOD)
        };
        let servers = self.servers.values();
        let expired: Vec<SmolStr> = servers
            .filter(|s| is_expired(s))
            .map(|s| s.entry.id.clone())
            .collect();
        for id in expired {
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(key) = self.by_id.remove(id) {
            self.servers.remove(key);
        }
    }

    /// Returns a server, or `None` if it was removed.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Returns a mutable reference to a server, or `None` if it was removed.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// Returns the identifier of a server for use in logs; it is empty if the server was removed.
    pub fn id_of(&self, key: ServerKey) -> SmolStr {
        let server = self.servers.get(key);
        server.map_or_else(SmolStr::default, |s| s.entry.id.clone())
    }

    /// Returns an iterator over all servers, including those that accept no work.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns an iterator over the servers of a service that accept work.
    pub fn available<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (ServerKey, &'a Server)> {
        self.servers
            .iter()
            .filter(move |(_, s)| s.entry.service == service && s.accepts_work())
    }

    /// Whether most servers of a service are paused since they were unresponsive.
    pub fn is_mostly_paused(&self, now: Duration, service: &str) -> bool {
        let (mut paused, mut all) = (0, 0);
        for (_, server) in self.available(service) {
            paused += usize::from(server.is_paused(now));
            all += 1;
        }
        paused * 2 > all
    }

    /// Returns the versions of the servers of a service that are registered, or were lately, also as far
    /// as only the store lists them.
    pub fn versions(&self, service: &str) -> BTreeSet<&SmolStr> {
        let lately = self.versions.keys();
        let lately = lately
            .filter(|(name, _)| name == service)
            .map(|(_, version)| version);
        let registered = self.servers.values().map(|s| &s.entry);
        let registered = registered
            .filter(|entry| entry.service == service)
            .map(|entry| &entry.version);
        let noted = self.notes.iter().flat_map(|notes| notes.versions(service));
        lately.chain(registered).chain(noted).collect()
    }

    /// Whether a decode engine that may be picked exists, also if it has no room now.
    pub fn has_decode_engine(&self, pick: &PickParams<'_>) -> bool {
        let mut engines = self.available(pick.service);
        engines.any(|(key, s)| {
            s.entry.role == Some(EngineRole::Decode)
                && !pick.avoid.contains(&key)
                && pick.has_version(s)
                && self.may_begin(s)
        })
    }

    /// Whether streams may begin at an engine, or go on there.
    fn may_begin(&self, server: &Server) -> bool {
        let entry = &server.entry;
        let notes = self.notes.as_ref();
        notes.is_none_or(|notes| notes.may_begin(&entry.service, &entry.version))
    }

    /// Records the outcome of a call to a server.
    pub fn record_outcome(&mut self, now: Duration, key: ServerKey, outcome: CallOutcome) {
        if let Some(server) = self.servers.get_mut(key) {
            server.record_outcome(now, outcome);
        }
    }

    /// Forgets the failures of all servers of a service.
    pub fn forgive_failures(&mut self, service: &str) {
        for server in self.servers.values_mut() {
            if server.entry.service == service {
                server.forgive_failures();
            }
        }
    }

    /// Picks the server of a plain service with the lowest cost, which depends on load, zone,
    /// failures and latency; `None` if no server is available.
    ///
    /// `draw` returns uniform random numbers in `0.0..1.0`.
    pub fn pick_plain(
        &self,
        pick: &PickParams<'_>,
        mut draw: impl FnMut() -> f64,
    ) -> Option<ServerKey> {
        let medians = self.medians(pick.now, pick.service);
        let cost = |s: &Server| {
            let slots = f64::from(s.entry.slots.max(1));
            let load = f64::from(s.load(pick.now)) / slots;
            load + pick.remote_zone_cost(s, REMOTE_ZONE_COST)
                + self.limited_cost(pick.now, s, LIMITED_COST)
                + medians.penalty(pick.now, s)
        };
        self.available(pick.service)
            .filter(|(key, s)| {
                !pick.avoid.contains(key) && self.wait_before_requests(pick.now, s).is_none()
            })
            .map(|(key, s)| (cost(s) + PLAIN_JITTER * draw(), key))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, key)| key)
    }

    /// Picks the engine that is expected to complete the prefill of a prompt of `tokens` first, and
    /// returns it with the estimated time; `None` if no engine is available.
    ///
    /// An engine whose `memory` is taken up by prompts that wait or whose KV caches have not been
    /// fetched yet refuses another one, so it is skipped. `draw` returns uniform random numbers in
    /// `0.0..1.0`.
    pub fn pick_prefill(
        &self,
        pick: &PickParams<'_>,
        memory: u64,
        tokens: u64,
        mut draw: impl FnMut() -> f64,
    ) -> Option<(ServerKey, Duration)> {
        let medians = self.medians(pick.now, pick.service);
        let mut cost = |s: &Server| {
            let failures = FAILURE_PREFILL_COST_S * medians.excess_failures(pick.now, s);
            let prefill = s.expected_prefill_time(pick.now, tokens).as_secs_f64();
            prefill
                + pick.remote_zone_cost(s, REMOTE_ZONE_PREFILL_COST_S)
                + self.limited_cost(pick.now, s, LIMITED_PREFILL_COST_S)
                + failures
                + PREFILL_JITTER_S * draw()
        };
        self.engines(pick, EngineRole::Prefill)
            .filter(|(_, s)| !s.is_paused(pick.now) && !s.is_full(pick.now))
            .filter(|(_, s)| s.has_capacity(pick.now, memory, tokens))
            .map(|(key, s)| (cost(s), key, s))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, key, s)| (key, s.expected_prefill_time(pick.now, tokens)))
    }

    /// Returns the decode engines that are expected to have capacity for `tokens` in their
    /// `memory`, the one with the lowest cost first.
    ///
    /// `draw` returns uniform random numbers in `0.0..1.0`.
    pub fn decode_candidates(
        &self,
        pick: &PickParams<'_>,
        memory: u64,
        tokens: u64,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<ServerKey> {
        let medians = self.medians(pick.now, pick.service);
        let mut cost = |s: &Server| {
            let used = s.reserved_tokens(pick.now) as f64 / memory as f64;
            let penalty = DECODE_PENALTY_FACTOR * medians.penalty(pick.now, s);
            used + pick.remote_zone_cost(s, REMOTE_ZONE_DECODE_COST)
                + self.limited_cost(pick.now, s, LIMITED_COST)
                + penalty
                + DECODE_JITTER * draw()
        };
        let mut candidates: Vec<(f64, ServerKey)> = self
            .engines(pick, EngineRole::Decode)
            .filter(|(_, s)| pick.has_version(s) && self.may_begin(s))
            .filter(|(_, s)| !s.is_paused(pick.now) && !s.is_full(pick.now))
            .filter(|(_, s)| s.has_capacity(pick.now, memory, tokens))
            .map(|(key, s)| (cost(s), key))
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        candidates.into_iter().map(|(_, key)| key).collect()
    }

    fn engines<'a>(
        &'a self,
        pick: &'a PickParams<'_>,
        role: EngineRole,
    ) -> impl Iterator<Item = (ServerKey, &'a Server)> {
        self.available(pick.service)
            .filter(move |(key, s)| s.entry.role == Some(role) && !pick.avoid.contains(key))
            .filter(move |(_, s)| self.wait_before_requests(pick.now, s).is_none())
    }

    /// Merges a statement on the evacuation of a zone; returns whether the zone's servers get requests
    /// again or no longer get any.
    pub fn merge_evacuation(&mut self, zone: &SmolStr, statement: EvacuationStatement) -> bool {
        let has_changed = self.evacuations.merge(zone, statement);
        if has_changed {
            let is_evacuated = self.evacuations.is_evacuated(zone);
            for server in self.servers.values_mut() {
                if server.entry.zone == *zone {
                    server.is_evacuated = is_evacuated;
                }
            }
        }
        has_changed
    }

    /// Returns the evacuations of zones.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Whether a service has servers, and all that would accept work are in evacuated zones.
    pub fn is_fully_evacuated(&self, service: &str) -> bool {
        let mut servers = self.servers.values().filter(|s| s.entry.service == service);
        let has_evacuated = servers.clone().any(|s| s.is_evacuated);
        has_evacuated && !servers.any(Server::accepts_work)
    }

    /// Records that a server leaves; returns whether that is new.
    pub fn mark_leaving(&mut self, key: ServerKey) -> bool {
        let server = self.servers.get_mut(key);
        server.is_some_and(|s| !std::mem::replace(&mut s.is_leaving, true))
    }

    /// Returns the server with an identifier and start time, in milliseconds of Unix time.
    pub fn find(&self, id: &str, started_ms: Option<u64>) -> Option<ServerKey> {
        let key = self.by_id.get(id).copied()?;
        (self.servers[key].entry.started_ms == started_ms).then_some(key)
    }

    /// Returns the servers that have said that they leave and are still registered.
    pub fn leaving(&self) -> impl Iterator<Item = &ServerEntry> {
        let servers = self.servers.values();
        servers.filter(|s| s.is_leaving).map(|s| &s.entry)
    }

    /// Returns the time until a server of a service takes requests again, if none of them does now;
    /// `None` otherwise.
    pub fn wait_for_service(&self, now: Duration, service: &str) -> Option<Duration> {
        let waits = self
            .available(service)
            .map(|(_, s)| self.wait_before_requests(now, s));
        waits.collect::<Option<Vec<_>>>()?.into_iter().min()
    }

    /// Returns the number of servers that want no requests from this instance for now.
    pub fn pausing_servers(&self, now: Duration) -> usize {
        let servers = self.servers.values();
        servers.filter(|s| s.requested_pause.is_active(now)).count()
    }

    /// Merges what another instance has heard of a server's limit; returns the server if that
    /// changes whether it is limited.
    pub fn merge_limit(
        &mut self,
        id: &str,
        statement: LimitStatement,
    ) -> Option<(ServerKey, LimitChange)> {
        let key = self.by_id.get(id).copied()?;
        let change = self.servers.get_mut(key)?.named_limit.merge(statement)?;
        Some((key, change))
    }

    /// Returns what servers have said of their limits since a time of the store's clock, the latest
    /// `max` of them.
    pub fn limit_statements(&self, since_ms: u64, max: usize) -> Vec<(SmolStr, LimitStatement)> {
        let statements = self.servers.values().filter_map(|s| {
            let statement = s.named_limit.statement()?;
            (statement.stated_ms >= since_ms).then(|| (s.entry.id.clone(), statement))
        });
        let mut statements: Vec<_> = statements.collect();
        statements.sort_by_key(|(_, s)| std::cmp::Reverse(s.stated_ms));
        statements.truncate(max);
        statements
    }

    /// Returns the number of servers that name a limit.
    pub fn limited_servers(&self) -> usize {
        let servers = self.servers.values();
        servers.filter(|s| s.named_limit.rate().is_some()).count()
    }

    /// Replaces all reservations of a peer of this zone; servers that are not listed have none.
    pub fn set_peer_reserved(
        &mut self,
        now: Duration,
        peer: &SmolStr,
        reserved: &[(SmolStr, u64)],
    ) {
        let reserved: BTreeMap<&SmolStr, u64> = reserved.iter().map(|(id, n)| (id, *n)).collect();
        for server in self.servers.values_mut() {
            let tokens = reserved.get(&server.entry.id).copied().unwrap_or(0);
            server.set_peer_reserved(now, peer, tokens);
        }
    }

    /// Replaces all reservations of the instances of another zone; servers that are not listed have
    /// none.
    pub fn set_zone_reserved(
        &mut self,
        now: Duration,
        zone: &SmolStr,
        reserved: &[(SmolStr, u64)],
    ) {
        let reserved: BTreeMap<&SmolStr, u64> = reserved.iter().map(|(id, n)| (id, *n)).collect();
        for server in self.servers.values_mut() {
            let tokens = reserved.get(&server.entry.id).copied().unwrap_or(0);
            server.set_zone_reserved(now, zone, tokens);
        }
    }

    /// Returns the tokens reserved by this instance, by identifier of the server.
    pub fn own_reserved(&self) -> Vec<(SmolStr, u64)> {
        self.reserved(|s| s.own_tokens)
    }

    /// Returns the tokens reserved by the instances of this zone, by identifier of the server.
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

    /// Marks an engine as changing its role. It gets no generations until its registration is
    /// updated.
    pub fn start_role_change(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.entry.role = None;
        }
    }

    fn medians(&self, now: Duration, service: &str) -> ServiceMedians {
        let mut rates: Vec<f64> = self
            .available(service)
            .map(|(_, s)| s.failure_rate(now))
            .collect();
        let mut latencies: Vec<f64> = self
            .available(service)
            .filter_map(|(_, s)| s.mean_latency_s())
            .collect();
        ServiceMedians {
            failure_rate: lower_median(&mut rates).unwrap_or(0.0),
            latency: lower_median(&mut latencies),
        }
    }
}

/// The median failure rate and latency of the servers of a service.
///
/// A server is penalized only for what exceeds them, so a failure that all servers share does not
/// move the load.
struct ServiceMedians {
    failure_rate: f64,
    /// In seconds.
    latency: Option<f64>,
}

impl ServiceMedians {
    fn penalty(&self, now: Duration, server: &Server) -> f64 {
        let paused = if server.is_paused(now) {
            PAUSED_COST
        } else {
            0.0
        };
        paused + FAILURE_COST * self.excess_failures(now, server) + self.slowness_cost(server)
    }

    fn excess_failures(&self, now: Duration, server: &Server) -> f64 {
        (server.failure_rate(now) - self.failure_rate).max(0.0)
    }

    /// Returns the cost of a server whose latency exceeds the median by more than [`SLOW_RATIO`]
    /// permits: half of the relative excess, and at most 2.
    fn slowness_cost(&self, server: &Server) -> f64 {
        let Some((latency, median)) = server.mean_latency_s().zip(self.latency) else {
            return 0.0;
        };
        let ratio = latency / median.max(0.001);
        if ratio > SLOW_RATIO {
            (ratio - 1.0).min(4.0) / 2.0
        } else {
            0.0
        }
    }
}

/// Returns the median or, of two middle values, the lower one, so that the worse of two servers
/// exceeds it.
fn lower_median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let middle = values.len().checked_sub(1)? / 2;
    values.get(middle).copied()
}
