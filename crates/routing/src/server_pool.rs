//! The registered backend servers, and the choice of a server for a request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use slotmap::SlotMap;
use smol_str::{SmolStr, format_smolstr};

use crate::{
    CallOutcome, ColdChange, EngineRole, EvacuationStatement, Evacuations, LimitChange,
    LimitStatement, Listed, LoadOrigin, LoadStatement, MIN_STREAM_RETENTION, Server, ServerEntry,
    ServerKey, ServerState, VersionNotes, Versions,
};

/// Time for which a registration is still used that expired while the store was unreachable.
const EXPIRED_GRACE_PERIOD: Duration = Duration::from_millis(2000);

/// Time for which a removed registration is remembered; a copy of the store from which it comes back
/// is only seconds old.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Shortest time for which the version of servers that are gone is remembered, or a traffic split that has been
/// replaced. It is longer if callers may take up streams for longer; see [`ServerPool::await_callers`].
const VERSION_RETENTION: Duration = MIN_STREAM_RETENTION;

/// Name under which the traffic splits of routes are listed beside the versions of services.
pub const ROUTE_SPLITS: &str = "route-splits";

/// Prefix of the name under which the traffic splits of a route are listed whose streams callers may take up, also if it
/// leads to one service. Builds up to dbdb84d leave these lists as they are.
pub const STREAM_ROUTE_PREFIX: &str = "stream-route/";

/// Maximum number of routes with a list. The streams of further ones are recorded.
const MAX_LISTED_ROUTES: usize = 128;

/// Maximum number of traffic splits that are listed, which is far below the store's limit of a row's size.
const MAX_LISTED_SPLITS: usize = 256;

/// Listed in place of the traffic splits if there are too many. No split has this name, so that an instance which
/// reads it infers no service from the list.
const TOO_MANY_SPLITS: &str = "too many";

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

/// Random cost of a plain server whose load was stated one turnover ago, in the unit of its load, if loads
/// are shared.
const JITTER_PER_TURNOVER: f64 = 1.5;

/// Maximum number of turnovers for which the random cost grows.
const MAX_TURNOVER: f64 = 6.0;

/// Shortest time that work is assumed to take, in seconds.
const MIN_WORK_S: f64 = 0.005;

/// Maximum load of a plain server that is used, so that a false figure does not make it the last choice.
const MAX_LOAD: f64 = 8.0;

/// Cost of a plain server that has just refused a request, in the unit of its load: more than any load of
/// other servers, and less than [`PAUSED_COST`].
const FULL_COST: f64 = 25.0;

/// Fraction of what is left of its latency target for which a request waits for full servers.
const MAX_FULL_WAIT: f64 = 0.5;

/// Fraction of that wait that is random.
const FULL_WAIT_JITTER: f64 = 0.5;

/// Bounds of the learned ratio of a plain server's latency to the median of its service.
const LEARNED_RATE_BOUNDS: (f64, f64) = (0.5, 4.0);

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

/// Callers that may take up streams for longer than [`VERSION_RETENTION`].
#[derive(Clone, Copy, Debug, Default)]
struct AwaitedCallers {
    /// The last of their deadlines, by the store's clock in milliseconds.
    until_ms: u64,
    /// Time from the beginning of their streams to their deadlines, in milliseconds.
    wait_ms: u64,
}

impl AwaitedCallers {
    /// Returns the time that the store should list, given the one that it lists. It is written ahead of need, so
    /// that not every stream needs a write, nor waits for one.
    fn wanted_ms(self, listed_ms: u64) -> u64 {
        match self.until_ms + self.wait_ms / 2 <= listed_ms {
            true => listed_ms,
            false => self.until_ms + self.wait_ms,
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
    /// When a server of a service with a version was last registered, by service and version, and when a traffic
    /// split was last in force, under [`ROUTE_SPLITS`].
    versions: BTreeMap<(SmolStr, SmolStr), Duration>,
    /// Traffic splits in force of the routes whose streams begin at several services, in an encoding of the
    /// caller's.
    splits: BTreeSet<SmolStr>,
    /// Traffic splits in force of the routes whose streams callers may take up, by the names of their lists.
    stream_routes: BTreeMap<SmolStr, SmolStr>,
    /// Until when callers may take up streams that begin now, where that is later than after
    /// [`VERSION_RETENTION`]; by the same keys as `versions`.
    awaited: BTreeMap<(SmolStr, SmolStr), AwaitedCallers>,
    /// Versions that the store lists; `None` if they are not kept there.
    notes: Option<VersionNotes>,
    /// Zones whose servers get no requests.
    evacuations: Evacuations,
    /// Requests per second that cold servers tolerate, by service; services without a limit are left
    /// out.
    cold_rates: BTreeMap<SmolStr, f64>,
}

/// Returns the name under which the splits of a route are listed.
fn route_list(route: &str) -> SmolStr {
    format_smolstr!("{STREAM_ROUTE_PREFIX}{route}")
}

/// Whether a list has traffic splits in place of versions.
pub(crate) fn is_route_list(subject: &str) -> bool {
    subject == ROUTE_SPLITS || subject.starts_with(STREAM_ROUTE_PREFIX)
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
        if cold_rates.is_empty() {
            return Vec::new();
        }
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

    /// Returns the versions that the store lists; `None` if they are not kept there.
    pub fn notes_mut(&mut self) -> Option<&mut VersionNotes> {
        self.notes.as_mut()
    }

    /// Replaces the traffic splits in force of the routes whose streams begin at several services. `replaced` has
    /// those of any route that are no longer in force.
    pub fn set_route_splits(
        &mut self,
        now: Duration,
        in_force: BTreeSet<SmolStr>,
        replaced: BTreeSet<SmolStr>,
    ) {
        self.splits = in_force;
        for split in replaced {
            self.versions.insert((ROUTE_SPLITS.into(), split), now);
        }
    }

    /// Replaces the traffic splits in force of all routes whose streams callers may take up, by route.
    pub fn set_stream_routes(&mut self, now: Duration, in_force: BTreeMap<SmolStr, SmolStr>) {
        let in_force = in_force.into_iter().take(MAX_LISTED_ROUTES);
        let in_force = in_force.map(|(route, split)| (route_list(&route), split));
        let before = std::mem::replace(&mut self.stream_routes, in_force.collect());
        for (list, split) in before {
            if self.stream_routes.get(&list) != Some(&split) {
                self.versions.insert((list, split), now);
            }
        }
    }

    /// Returns the only traffic split of a route under which streams begin without a record in the store.
    pub fn unrecorded_split(&self, route: &str) -> Option<&SmolStr> {
        self.notes.as_ref()?.unrecorded(&route_list(route))
    }

    /// Whether the store lists anything for a route.
    pub fn has_route_list(&self, route: &str) -> bool {
        self.is_listed(&route_list(route))
    }

    /// Whether the store lists anything for a service, or in another list.
    pub fn is_listed(&self, subject: &str) -> bool {
        let notes = self.notes.as_ref();
        notes.is_some_and(|notes| notes.listed(subject).next().is_some())
    }

    /// Returns the only version of a service at which streams begin without a record in the store; see
    /// [`VersionNotes::unrecorded`].
    pub fn unrecorded_version(&self, service: &str) -> Option<&SmolStr> {
        self.notes.as_ref()?.unrecorded(service)
    }

    /// Whether the store lists several versions of a service.
    pub fn is_listed_mixed(&self, service: &str) -> bool {
        let notes = self.notes.as_ref();
        notes.is_some_and(|notes| notes.listed(service).count() > 1)
    }

    /// Whether the store lists several splits of a route.
    pub fn is_route_mixed(&self, route: &str) -> bool {
        self.is_listed_mixed(&route_list(route))
    }

    /// Whether the store lists versions of one service only.
    pub fn has_one_service(&self) -> bool {
        self.notes
            .as_ref()
            .is_some_and(VersionNotes::has_one_service)
    }

    /// Records that a caller may take up a stream of a service until `until_ms`, by the store's clock, which is
    /// `wait_ms` after the stream began under a traffic split. Not needed for less than
    /// [`MIN_STREAM_RETENTION`].
    pub fn await_callers(&mut self, service: &str, split: &SmolStr, until_ms: u64, wait_ms: u64) {
        let servers = self.servers.values().map(|server| &server.entry);
        let engines = servers.filter(|e| e.role.is_some() && e.service == service);
        let keys = engines.map(|e| (e.service.clone(), e.version.clone()));
        let routes = self.stream_routes.iter().filter(|(_, s)| *s == split);
        let lists = routes
            .map(|(list, _)| list.clone())
            .chain([ROUTE_SPLITS.into()]);
        let splits: Vec<_> = lists.map(|list| (list, split.clone())).collect();
        for key in keys.chain(splits) {
            let awaited = self.awaited.entry(key).or_default();
            awaited.until_ms = awaited.until_ms.max(until_ms);
            awaited.wait_ms = wait_ms;
        }
    }

    /// Whether the store lists all versions at which a stream of a service may begin now for as long as a caller
    /// may take it up that waits until `until_ms`, by the store's clock.
    pub fn is_listed_until(&self, service: &str, until_ms: u64) -> bool {
        let Some(notes) = &self.notes else {
            return true;
        };
        let servers = self.servers.values().map(|server| &server.entry);
        let mut engines = servers.filter(|e| e.role.is_some() && e.service == service);
        engines.all(|e| {
            let is_left_out = !notes.may_begin(service, &e.version);
            is_left_out || notes.stored_until(service, &e.version) >= until_ms
        })
    }

    /// Returns the lists of versions and traffic splits that the store should have and does not; `store_ms` is the
    /// time of its clock.
    pub fn note_changes(&self, now: Duration, store_ms: u64) -> Versions {
        let Some(notes) = &self.notes else {
            return Versions::new();
        };
        let mut in_use = Versions::new();
        let servers = self.servers.values().map(|server| &server.entry);
        let engines = servers.filter(|e| e.role.is_some());
        let versions = engines.map(|e| (e.service.clone(), e.version.clone()));
        let splits = self.splits.iter();
        let splits = splits.map(|split| (ROUTE_SPLITS.into(), split.clone()));
        let routes = self.stream_routes.iter();
        let routes = routes.map(|(list, split)| (list.clone(), split.clone()));
        for key in versions.chain(splits).chain(routes) {
            let listed_ms = notes.stored_until(&key.0, &key.1);
            let awaited = self.awaited.get(&key);
            let wanted_ms = awaited.map_or(0, |awaited| awaited.wanted_ms(listed_ms));
            let list: &mut Listed = in_use.entry(key.0).or_default();
            list.insert(key.1, wanted_ms);
        }
        // The list of splits may become empty; a service without engines keeps its list.
        in_use.entry(ROUTE_SPLITS.into()).or_default();
        for key in self.versions.keys() {
            let awaited = self.awaited.get(key).filter(|_| is_route_list(&key.0));
            let until_ms = awaited.map_or(0, |awaited| awaited.until_ms);
            if let Some(list) = in_use.get_mut(&key.0) {
                let known = list.entry(key.1.clone()).or_default();
                *known = until_ms.max(*known);
            }
        }
        if let Some(splits) = in_use.get_mut(ROUTE_SPLITS)
            && splits.len() > MAX_LISTED_SPLITS
        {
            let until_ms = splits.values().copied().max();
            *splits = Listed::from([(TOO_MANY_SPLITS.into(), until_ms.unwrap_or(0))]);
        }
        notes.changes(&in_use, now >= VERSION_RETENTION, store_ms)
    }

    /// Forgets versions and traffic splits that the store no longer lists; `store_ms` is the time of its clock.
    pub fn forget_versions(&mut self, now: Duration, store_ms: u64) {
        self.awaited
            .retain(|_, awaited| store_ms < awaited.until_ms);
        if now >= VERSION_RETENTION
            && let Some(notes) = &mut self.notes
        {
            notes.forget_removed(store_ms);
        }
    }

    /// Whether it is known which versions of a service served lately.
    pub fn knows_versions(&self) -> bool {
        self.notes.as_ref().is_none_or(VersionNotes::is_known)
    }

    /// Whether streams of a service may have begun at several versions.
    pub fn is_mixed(&self, service: &str) -> bool {
        self.versions(service).len() > 1
    }

    /// Returns the services with engines whose streams may have begun at several versions.
    pub fn mixed_services(&self) -> BTreeSet<SmolStr> {
        let engines = self.servers.values().filter(|s| s.entry.role.is_some());
        let services: BTreeSet<_> = engines.map(|s| s.entry.service.clone()).collect();
        let mixed = services.into_iter().filter(|s| self.is_mixed(s));
        mixed.collect()
    }

    /// Whether streams of any service with engines may have begun at several versions.
    pub fn is_any_mixed(&self) -> bool {
        !self.mixed_services().is_empty()
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
        for split in &self.splits {
            let split = (ROUTE_SPLITS.into(), split.clone());
            self.versions.insert(split, now);
        }
        for (list, split) in &self.stream_routes {
            self.versions.insert((list.clone(), split.clone()), now);
        }
        let notes = &mut self.notes;
        self.versions.retain(|(subject, name), at| {
            let is_recent = now < *at + VERSION_RETENTION;
            if let Some(notes) = notes.as_mut().filter(|_| !is_recent) {
                notes.doubt(subject, name);
            }
            is_recent
        });
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
    /// as only the store lists them; for [`ROUTE_SPLITS`], the traffic splits under which streams may have
    /// begun.
    pub fn versions(&self, service: &str) -> BTreeSet<&SmolStr> {
        let lately = self.versions.keys();
        let lately = lately
            .filter(|(name, _)| name == service)
            .map(|(_, version)| version);
        let splits = self.splits.iter().filter(|_| service == ROUTE_SPLITS);
        let registered = self.servers.values().map(|s| &s.entry);
        let registered = registered
            .filter(|entry| entry.service == service)
            .map(|entry| &entry.version);
        let noted = self.notes.iter().flat_map(|notes| notes.listed(service));
        let noted = noted.map(|(version, _)| version);
        let known = lately.chain(registered).chain(splits);
        known.chain(noted).collect()
    }

    /// Whether a decode engine that may be picked exists, also if it has no room now.
    pub fn has_decode_engine(&self, pick: &PickParams<'_>) -> bool {
        let mut engines = self.available(pick.service);
        engines.any(|(key, s)| {
            s.entry.role == Some(EngineRole::Decode)
                && !pick.avoid.contains(&key)
                && pick.has_version(s)
                && self.may_begin(pick, s)
        })
    }

    /// Whether streams may begin at an engine, or go on there.
    fn may_begin(&self, pick: &PickParams<'_>, server: &Server) -> bool {
        let ServerEntry {
            service, version, ..
        } = &server.entry;
        let goes_on = pick.version.is_some();
        self.notes.as_ref().is_none_or(|notes| {
            notes.may_begin(service, version)
                && (goes_on || notes.may_begin_unrecorded(service, version))
        })
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
                + limited_cost(s, LIMITED_COST)
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

    /// Picks the server of a plain service on which a request is expected to cost least, by the shared
    /// loads and the rates of the servers; `None` if no server is available.
    ///
    /// Differences that a load may have lost since it was stated are random: a server turns over a
    /// request per slot in the time that its work takes. Otherwise all instances would send to the
    /// server that was the least loaded one, until the next statement. A server whose load is not known
    /// has the mean of the others. `draw` returns uniform random numbers in `0.0..1.0`.
    pub fn pick_plain_by_cost(
        &self,
        pick: &PickParams<'_>,
        mut draw: impl FnMut() -> f64,
    ) -> Option<ServerKey> {
        let now = pick.now;
        let medians = self.medians(now, pick.service);
        let (mut known, mut loads) = (0.0, 0.0);
        let mut work_s = f64::INFINITY;
        for (_, s) in self.available(pick.service) {
            if s.shared_load().trusted(now).is_some() {
                known += 1.0;
                loads += f64::from(s.load(now)) / f64::from(s.entry.slots.max(1));
            }
            work_s = work_s.min(s.shortest_latency_s().unwrap_or(f64::INFINITY));
        }
        let mean_load = if known > 0.0 { loads / known } else { 0.0 };
        let cost = |s: &Server, draw: f64| {
            let slots = f64::from(s.entry.slots.max(1));
            let (load, turnover) = match s.shared_load().trusted(now) {
                Some(stated) => {
                    let turnover = stated.age(now).as_secs_f64() / work_s.max(MIN_WORK_S);
                    (f64::from(s.load(now)) / slots, turnover)
                }
                None => (mean_load.max(f64::from(s.in_flight) / slots), MAX_TURNOVER),
            };
            let full = if s.is_full(now) { FULL_COST } else { 0.0 };
            let jitter = PLAIN_JITTER + JITTER_PER_TURNOVER * turnover.min(MAX_TURNOVER);
            (load.min(MAX_LOAD) + 1.0 / slots + jitter * draw) * medians.rate_factor(now, s)
                + pick.remote_zone_cost(s, REMOTE_ZONE_COST)
                + limited_cost(s, LIMITED_COST)
                + medians.failure_penalty(now, s)
                + full
        };
        self.available(pick.service)
            .filter(|(key, s)| {
                !pick.avoid.contains(key) && self.wait_before_requests(now, s).is_none()
            })
            .map(|(key, s)| (cost(s, draw()), key))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, key)| key)
    }

    /// Returns how long a request waits if all servers of a service that could be picked have just
    /// refused requests: until the first of them no longer counts as full, at most half of
    /// `target_left`, which is left of the request's latency target. `None` if it does not wait: a server
    /// may have room, or the answer would be late by the mean latency of the servers.
    ///
    /// `draw` is a uniform random number in `0.0..1.0`. It shortens the wait, so that requests which wait
    /// at the same time do not fill the first server together.
    pub fn wait_while_full(
        &self,
        pick: &PickParams<'_>,
        target_left: Duration,
        draw: f64,
    ) -> Option<Duration> {
        let now = pick.now;
        let mut full_for: Option<Duration> = None;
        let mut latency_s: f64 = 0.0;
        for (key, s) in self.available(pick.service) {
            let takes_requests = self.wait_before_requests(now, s).is_none() && !s.is_paused(now);
            if pick.avoid.contains(&key) || !takes_requests {
                continue;
            }
            let wait = s.full_for(now)?;
            full_for = Some(full_for.map_or(wait, |least| least.min(wait)));
            let turns = 1.0 + f64::from(s.load(now)) / f64::from(s.entry.slots.max(1));
            let queued_s = turns.min(MAX_LOAD) * s.shortest_latency_s().unwrap_or(0.0);
            let mean_s = s.mean_latency_s().unwrap_or(0.0);
            latency_s = latency_s.max(queued_s).max(mean_s);
        }
        let wait = full_for?.min(target_left.mul_f64(MAX_FULL_WAIT));
        let wait = wait.mul_f64(1.0 - FULL_WAIT_JITTER * draw);
        let left_s = target_left.saturating_sub(wait).as_secs_f64();
        (latency_s < left_s).then_some(wait)
    }

    /// Merges the load that another instance has heard of a server; returns whether the learned rates
    /// of the server were discarded for it.
    pub fn merge_load(&mut self, id: &str, statement: LoadStatement, origin: LoadOrigin) -> bool {
        let key = self.by_id.get(id).copied();
        let server = key.and_then(|key| self.servers.get_mut(key));
        server.is_some_and(|s| s.record_load(statement, origin))
    }

    /// Returns the loads that servers of the services for which `is_shared` holds stated after `since`,
    /// the latest `max` of those that have come by `farthest` or a shorter way.
    pub fn loads_to_share(
        &self,
        now: Duration,
        since: Duration,
        farthest: LoadOrigin,
        max: usize,
        is_shared: impl Fn(&str) -> bool,
    ) -> Vec<(SmolStr, LoadStatement)> {
        let servers = self.servers.values();
        let servers = servers.filter(|s| is_shared(&s.entry.service));
        let loads = servers.filter_map(|s| {
            let statement = s.shared_load().to_share(now, since, farthest)?;
            Some((s.entry.id.clone(), statement))
        });
        let mut loads: Vec<_> = loads.collect();
        loads.sort_by_key(|(_, statement)| std::cmp::Reverse(statement.stated_at));
        loads.truncate(max);
        loads
    }

    /// Returns the number of servers whose load is known.
    pub fn known_loads(&self, now: Duration) -> usize {
        let servers = self.servers.values();
        let known = servers.filter(|s| s.shared_load().fresh(now).is_some());
        known.count()
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
                + limited_cost(s, LIMITED_PREFILL_COST_S)
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
                + limited_cost(s, LIMITED_COST)
                + penalty
                + DECODE_JITTER * draw()
        };
        let mut candidates: Vec<(f64, ServerKey)> = self
            .engines(pick, EngineRole::Decode)
            .filter(|(_, s)| pick.has_version(s) && self.may_begin(pick, s))
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
        self.failure_penalty(now, server) + self.slowness_cost(server)
    }

    fn failure_penalty(&self, now: Duration, server: &Server) -> f64 {
        let paused = if server.is_paused(now) {
            PAUSED_COST
        } else {
            0.0
        };
        paused + FAILURE_COST * self.excess_failures(now, server)
    }

    /// Returns how long work takes on a server: the slowdown that it states, or else its mean latency
    /// against the median. The waits in the latency are part of the load, so a lower one counts little.
    fn rate_factor(&self, now: Duration, server: &Server) -> f64 {
        let learned = || {
            let (latency, median) = server.mean_latency_s().zip(self.latency)?;
            let (min, max) = LEARNED_RATE_BOUNDS;
            Some((latency / median.max(0.001)).clamp(min, max))
        };
        let stated = server.shared_load().slowdown(now);
        stated.or_else(learned).unwrap_or(1.0)
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

/// Returns the cost of a server that names a limit.
///
/// A cold server has none: permits bound its rate, and if a whole zone is cold, the others could not take
/// all of its work.
fn limited_cost(server: &Server, cost: f64) -> f64 {
    match server.named_limit.rate() {
        Some(_) => cost,
        None => 0.0,
    }
}

/// Returns the median or, of two middle values, the lower one, so that the worse of two servers
/// exceeds it.
fn lower_median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let middle = values.len().checked_sub(1)? / 2;
    values.get(middle).copied()
}
