//! The configuration that operators edit, as the data path uses it.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Non-idempotent: runs at most once for each attempt of a caller.
    Unsafe,
    /// A generation that is answered by a stream of events.
    Stream,
}

/// A service that a route leads to, with its share of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// Name of the service.
    pub service: SmolStr,
    /// Share of the traffic, relative to the other destinations of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: SmolStr,
    /// Host that callers name.
    pub host: SmolStr,
    /// Beginning of the paths that belong to the route.
    pub path_prefix: SmolStr,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting for a final answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// Longest pause between the events of a stream that is on time.
    pub event_gap_target: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that the route leads to.
    pub destinations: Vec<Destination>,
    /// Most backend servers that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether a broken stream may continue on another backend server.
    pub is_resumable: bool,
}

impl Route {
    /// Picks a destination by weight; `draw` is a uniform random number below 1.
    pub fn pick_destination(&self, draw: f64) -> Option<&SmolStr> {
        let total: u32 = self.destinations.iter().map(|d| d.weight).sum();
        let mut left = draw * f64::from(total);
        for destination in &self.destinations {
            left -= f64::from(destination.weight);
            if left < 0.0 {
                return Some(&destination.service);
            }
        }
        self.destinations.first().map(|d| &d.service)
    }
}

/// What the engines of a service can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Memory of an engine in tokens.
    pub kv_tokens: u64,
    /// Tokens in one event of a stream, at most.
    pub tokens_per_event: u32,
    /// How long an engine is away while it changes its stage.
    pub role_switch: Duration,
    /// Longest reservation of memory.
    pub reservation_ttl: Duration,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Most connections that a backend server accepts from all callers together.
    pub max_connections: u32,
    /// Set if the backend servers are model engines.
    pub engine: Option<EngineSpec>,
}

/// Part of a server's connections that may be idle ones; the rest is for calls under way.
const IDLE_PART: f64 = 0.5;

impl Service {
    /// Returns how many idle connections each of `instances` may keep to one backend server, so
    /// that all of them together leave room for new ones.
    pub fn max_idle_connections(&self, instances: usize) -> usize {
        let idle = f64::from(self.max_connections) * IDLE_PART;
        (idle / instances.max(1) as f64) as usize
    }
}

/// Limit of a customer over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens that may be used at once after a pause.
    pub burst: f64,
    /// Tokens that a request counts as if it does not say.
    pub default_tokens: u64,
}

/// One customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name, sent to backend servers.
    pub name: SmolStr,
    /// Rank that takes precedence over the route's.
    pub priority: Option<u8>,
    /// Limit; `None` is unlimited.
    pub quota: Option<Quota>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Longest header section, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a header section.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Version that the operator gave it.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<SmolStr, Service>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Customers by name.
    pub customers: BTreeMap<SmolStr, Customer>,
    /// Name of the customer of each key.
    pub keys: BTreeMap<SmolStr, SmolStr>,
    /// Whether requests on routes that are not public need a key.
    pub requires_keys: bool,
}

impl FleetConfig {
    /// Returns the route of a request: the longest prefix of its host that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|r| r.host == host && path.starts_with(r.path_prefix.as_str()))
            .max_by_key(|r| r.path_prefix.len())
    }

    /// Returns what the engines of a service can hold if requests of a route are generations there;
    /// others go to it as plain calls.
    pub fn generation_engine(&self, route: &Route, service: &str) -> Option<&EngineSpec> {
        let engine = self.services.get(service)?.engine.as_ref();
        engine.filter(|_| route.kind == RouteKind::Stream)
    }

    /// Returns the customer that holds a key.
    pub fn customer_by_key(&self, key: &str) -> Option<&Customer> {
        self.customers.get(self.keys.get(key)?)
    }
}
