//! The configuration that operators edit, in the form that the data path uses.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Idempotent requests, which may run more than once.
    Safe,
    /// Non-idempotent requests, which run at most once for each request that a caller sends.
    Unsafe,
    /// Generations, which are answered by a stream of server-sent events.
    Stream,
}

/// A service that receives traffic of a route, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// Name of the service.
    pub service: SmolStr,
    /// Share of the traffic, relative to the weights of the other destinations of the route.
    pub weight: u32,
}

/// A rule that maps requests of a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, used in logs and metrics.
    pub name: SmolStr,
    /// Value of the `Host` header, without a port.
    pub host: SmolStr,
    /// Prefix of the paths that belong to the route.
    pub path_prefix: SmolStr,
    /// Kind of the requests, which decides how often one may run and how it is answered.
    pub kind: RouteKind,
    /// Maximum time for which a caller waits for a final response.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, counts as on time.
    pub target_latency: Duration,
    /// Maximum gap between two events of a stream that counts as on time.
    pub event_gap_target: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that receive the traffic of the route.
    pub destinations: Vec<Destination>,
    /// Maximum number of attempts, each on a backend server, for one request of a caller.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Whether an interrupted stream may be resumed on another backend server.
    pub is_resumable: bool,
}

impl Route {
    /// Picks a service by weight, or returns `None` if the route has no destination.
    ///
    /// `draw` is a uniform random number in `0.0..1.0`.
    pub fn pick_destination(&self, draw: f64) -> Option<&SmolStr> {
        let total: u32 = self.destinations.iter().map(|d| d.weight).sum();
        let mut remaining = draw * f64::from(total);
        for destination in &self.destinations {
            remaining -= f64::from(destination.weight);
            if remaining < 0.0 {
                return Some(&destination.service);
            }
        }
        self.destinations.first().map(|d| &d.service)
    }
}

/// The capacity of each engine of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// KV cache memory of an engine, in tokens.
    pub kv_tokens: u64,
    /// Maximum number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Time for which an engine is unavailable while it changes its role.
    pub role_change_time: Duration,
    /// Time after which an unused memory reservation expires.
    pub reservation_ttl: Duration,
}

/// A group of backend servers that run the same workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Maximum number of connections that a backend server accepts from all instances together.
    pub max_connections: u32,
    /// Capacity of each engine, or `None` if the backend servers are not model engines.
    pub engine: Option<EngineSpec>,
    /// Path of the servers' health check; empty if none is declared.
    pub health_path: SmolStr,
    /// Requests per second that a cold backend server tolerates; `None` without a limit.
    pub cold_rate: Option<f64>,
}

/// Fraction of a server's connections that may be idle; the others are left for calls in progress.
const IDLE_FRACTION: f64 = 0.5;

impl Service {
    /// Returns how many idle connections each of `instances` may keep to one backend server, so
    /// that all instances together do not use up its connections.
    pub fn max_idle_connections(&self, instances: usize) -> usize {
        let idle = f64::from(self.max_connections) * IDLE_FRACTION;
        (idle / instances.max(1) as f64) as usize
    }
}

/// The token bucket limit of a customer, which applies to the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Tokens per second at which the bucket refills.
    pub rate: f64,
    /// Size of the bucket, in tokens.
    pub burst: f64,
    /// Tokens charged for a request that does not state its token counts.
    pub default_tokens: u64,
}

/// A customer, whose requests share a priority and a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name of the customer, which is sent to backend servers.
    pub name: SmolStr,
    /// Priority that overrides the priority of the route.
    pub priority: Option<u8>,
    /// Limit of the customer, or `None` if it is unlimited.
    pub quota: Option<Quota>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a header section, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for sending a header section.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle.
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

/// A complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Version number assigned by the operator.
    pub version: u64,
    /// All routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services, by name.
    pub services: BTreeMap<SmolStr, Service>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// Customers, by name.
    pub customers: BTreeMap<SmolStr, Customer>,
    /// Names of customers, by key.
    pub keys: BTreeMap<SmolStr, SmolStr>,
    /// Whether requests on routes that are not public must present a key.
    pub requires_keys: bool,
}

impl FleetConfig {
    /// Returns the route of the host with the longest prefix of the path, or `None` if no route
    /// matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|r| r.host == host && path.starts_with(r.path_prefix.as_str()))
            .max_by_key(|r| r.path_prefix.len())
    }

    /// Returns the engine capacity of a service if requests of a route run there as generations,
    /// or `None` if they are sent as plain calls.
    pub fn generation_engine(&self, route: &Route, service: &str) -> Option<&EngineSpec> {
        let engine = self.services.get(service)?.engine.as_ref();
        engine.filter(|_| route.kind == RouteKind::Stream)
    }

    /// Returns the customer to whom a key belongs.
    pub fn customer_by_key(&self, key: &str) -> Option<&Customer> {
        self.customers.get(self.keys.get(key)?)
    }
}
