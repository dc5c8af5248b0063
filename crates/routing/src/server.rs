//! The state of a backend server, as known to an instance.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use slotmap::new_key_type;
use smol_str::SmolStr;

use crate::{
    COUNTED_BEFORE_LIMIT, Coldness, Delegate, LIMIT_NOTICE, LoadOrigin, LoadStatement, NamedLimit,
    RequestedPause, SharedLoad,
};

new_key_type! {
    /// Key of a backend server in a [`ServerPool`](crate::ServerPool).
    ///
    /// A restarted server gets a new key.
    pub struct ServerKey;
}

/// The phase of generations that an engine runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineRole {
    /// Processes prompts and produces their KV caches.
    Prefill,
    /// Generates output tokens.
    Decode,
}

/// The lifecycle state that a backend server has registered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// Accepts new work.
    Ready,
    /// Accepts no new work, since it is about to stop.
    Draining,
}

/// The registration of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Identifier of the server process. A restarted process may keep the identifier of the
    /// previous one; `started_ms` tells them apart.
    pub id: SmolStr,
    /// Service to which the server belongs.
    pub service: SmolStr,
    /// IP address and port.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Version of the server's software; empty if it is not registered.
    pub version: SmolStr,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new work.
    pub state: ServerState,
    /// Role of an engine; `None` for other servers and while an engine changes its role.
    pub role: Option<EngineRole>,
    /// Start time of the process, in milliseconds of Unix time; `None` if it is not registered.
    pub started_ms: Option<u64>,
    /// Time for which the server stays cold; its age is not known.
    pub cold_for: Duration,
}

/// The outcome of a call to a backend server, as far as it concerns the server's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// A complete response.
    Answered {
        /// Time from sending the request to receiving the head of the response.
        latency: Duration,
    },
    /// A response with a status that reports a failure of the server.
    ServerError,
    /// The connection broke, or the response was invalid.
    Broken,
    /// No connection could be opened, or the server did not respond in time.
    Unresponsive,
    /// The server had no capacity; this does not count as a failure.
    NoCapacity,
}

/// Weight of one outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.12;

/// Time in which the average of failures halves while no calls are made.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Weight of one response in the moving averages of latencies and prefill times.
const LATENCY_WEIGHT: f64 = 0.15;

/// Assumed prefill time per token, in milliseconds, of an engine without measurements.
const DEFAULT_PREFILL_MS_PER_TOKEN: f64 = 0.033;

/// First pause of an unresponsive server; it doubles with every further unresponsive call up to
/// [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(400);

/// Maximum pause of an unresponsive server.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Weight of a response that is slower than the shortest latency, which rises by it: the shortest
/// response of the last hundred or so counts.
const SHORTEST_LATENCY_WEIGHT: f64 = 0.01;

/// Time for which an engine without capacity is skipped, since others may have some.
const FULL_SKIP_TIME: Duration = Duration::from_millis(80);

/// Time after which the reservations reported by others expire without a new report.
const RESERVATIONS_TTL: Duration = Duration::from_millis(1500);

/// A backend server with its registration, load and health.
#[derive(Clone, Debug)]
pub struct Server {
    /// Registration of the server.
    pub entry: ServerEntry,
    /// Number of calls in progress from this instance.
    pub in_flight: u32,
    /// Tokens of requests of this instance that are reserved or in prefill on the server.
    pub own_tokens: u64,
    /// Number of local prefills for this instance: prompts that a decode engine processes itself.
    pub local_prefills: u32,
    /// Time at which the registration expired while the store was unreachable, until it is renewed.
    pub expired_at: Option<Duration>,
    /// Whether the server has said in an answer that it leaves. A restarted process is another
    /// server, so this is never undone.
    pub is_leaving: bool,
    /// Whether the operator has evacuated the server's zone.
    pub is_evacuated: bool,
    /// Pause that the server asks of this instance.
    pub requested_pause: RequestedPause,
    /// Request limit that the server names.
    pub named_limit: NamedLimit,
    /// How long the server stays cold.
    pub coldness: Coldness,
    /// Time before which no permit for a request to the server is expected.
    pub permits_from: Duration,
    /// Times of the latest sends without a permit.
    unlimited_sends: VecDeque<Duration>,
    /// Sends before the limit was known that count against it.
    earlier_sends: EarlierSends,
    /// Moving average of failures at `failures_updated_at`, between 0 and 1.
    failures: f64,
    failures_updated_at: Duration,
    /// Moving average of the time to the head of a response, in seconds.
    mean_latency_s: Option<f64>,
    /// Shortest time to the head of a response, in seconds.
    shortest_latency_s: Option<f64>,
    /// Moving average of the prefill time per token, in milliseconds.
    prefill_ms_per_token: Option<f64>,
    paused_until: Duration,
    pause: Duration,
    full_until: Duration,
    /// Load that the server stated last.
    shared_load: SharedLoad,
    /// Tokens reserved by each peer of this zone, and the time of its report.
    peer_tokens: Reservations,
    /// Tokens reserved by the instances of each other zone, and the time of the report.
    zone_tokens: Reservations,
}

impl Server {
    /// Creates a server of which only the registration is known.
    pub fn new(entry: ServerEntry) -> Self {
        Self {
            entry,
            in_flight: 0,
            own_tokens: 0,
            local_prefills: 0,
            expired_at: None,
            is_leaving: false,
            is_evacuated: false,
            requested_pause: RequestedPause::default(),
            named_limit: NamedLimit::default(),
            coldness: Coldness::default(),
            permits_from: Duration::ZERO,
            unlimited_sends: VecDeque::new(),
            earlier_sends: EarlierSends::default(),
            failures: 0.0,
            failures_updated_at: Duration::ZERO,
            mean_latency_s: None,
            shortest_latency_s: None,
            prefill_ms_per_token: None,
            paused_until: Duration::ZERO,
            pause: Duration::ZERO,
            full_until: Duration::ZERO,
            shared_load: SharedLoad::default(),
            peer_tokens: BTreeMap::new(),
            zone_tokens: BTreeMap::new(),
        }
    }

    /// Records the outcome of a call.
    pub fn record_outcome(&mut self, now: Duration, outcome: CallOutcome) {
        let failed = match outcome {
            CallOutcome::NoCapacity => {
                self.full_until = now + FULL_SKIP_TIME;
                let slots = self.entry.slots;
                self.shared_load.record_refusal(now, slots);
                return;
            }
            CallOutcome::Answered { latency } => {
                let latency = latency.as_secs_f64();
                let before = self.mean_latency_s.unwrap_or(latency);
                self.mean_latency_s = Some(before + LATENCY_WEIGHT * (latency - before));
                let shortest = self.shortest_latency_s.unwrap_or(latency);
                let raised = shortest + SHORTEST_LATENCY_WEIGHT * (latency - shortest);
                self.shortest_latency_s = Some(raised.min(latency));
                self.pause = Duration::ZERO;
                0.0
            }
            CallOutcome::ServerError | CallOutcome::Broken => 1.0,
            CallOutcome::Unresponsive => {
                self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
                self.paused_until = now + self.pause;
                1.0
            }
        };
        let before = self.failure_rate(now);
        self.failures = before + FAILURE_WEIGHT * (failed - before);
        self.failures_updated_at = now;
    }

    /// Forgets failures, since they were not the server's own.
    pub fn forgive_failures(&mut self) {
        self.failures = 0.0;
        self.pause = Duration::ZERO;
        self.paused_until = Duration::ZERO;
    }

    /// Records the time of a prefill. `tokens` is the length of the prompt plus that of the prompts
    /// that were queued before it.
    pub fn record_prefill(&mut self, tokens: u64, took: Duration) {
        let ms_per_token = took.as_secs_f64() * 1000.0 / tokens.max(1) as f64;
        let before = self
            .prefill_ms_per_token
            .unwrap_or(DEFAULT_PREFILL_MS_PER_TOKEN);
        self.prefill_ms_per_token = Some(before + LATENCY_WEIGHT * (ms_per_token - before));
    }

    /// Returns the estimated time until the prefill of a prompt of `tokens` would be complete,
    /// including the time for the tokens reserved already.
    pub fn expected_prefill_time(&self, now: Duration, tokens: u64) -> Duration {
        let ms_per_token = self
            .prefill_ms_per_token
            .unwrap_or(DEFAULT_PREFILL_MS_PER_TOKEN);
        let ms = ms_per_token * (self.reserved_tokens(now) + tokens) as f64;
        Duration::from_secs_f64(ms / 1000.0)
    }

    /// Records the load that the server stated in a response, to this instance or another one. Returns
    /// whether its slowdown has changed so much that the learned rates were discarded.
    pub fn record_load(&mut self, statement: LoadStatement, origin: LoadOrigin) -> bool {
        let has_changed = self.shared_load.record(statement, origin);
        if has_changed {
            self.mean_latency_s = None;
            self.shortest_latency_s = None;
            self.prefill_ms_per_token = None;
        }
        has_changed
    }

    /// Returns the load that the server stated last.
    pub fn shared_load(&self) -> &SharedLoad {
        &self.shared_load
    }

    /// Replaces the number of tokens that a peer of this zone has reserved.
    pub fn set_peer_reserved(&mut self, now: Duration, peer: &SmolStr, tokens: u64) {
        set_reservation(&mut self.peer_tokens, now, peer, tokens);
    }

    /// Replaces the number of tokens that the instances of another zone have reserved.
    pub fn set_zone_reserved(&mut self, now: Duration, zone: &SmolStr, tokens: u64) {
        set_reservation(&mut self.zone_tokens, now, zone, tokens);
    }

    /// Returns the moving average of failed calls, between 0 and 1.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.failures_updated_at).as_secs_f64();
        self.failures * 0.5_f64.powf(idle / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns the moving average of the time to the head of a response, in seconds; `None` before
    /// the first response.
    pub fn mean_latency_s(&self) -> Option<f64> {
        self.mean_latency_s
    }

    /// Returns the shortest time to the head of a response lately, in seconds, which is about the time
    /// that the work takes; `None` before the first response.
    pub fn shortest_latency_s(&self) -> Option<f64> {
        self.shortest_latency_s
    }

    /// Whether the server accepts new work.
    pub fn accepts_work(&self) -> bool {
        self.entry.state == ServerState::Ready && !self.is_leaving && !self.is_evacuated
    }

    /// Returns the requests per second that the server takes from all instances together: the limit
    /// that it names or, while it is cold, that of its service, whichever is lower. `None` without a
    /// limit.
    ///
    /// `cold_rate` is what cold servers of the service tolerate, in requests per second.
    pub fn rate_limit(&self, now: Duration, cold_rate: Option<f64>) -> Option<f64> {
        let cold = self.coldness.rate_limit(now, cold_rate);
        let named = self.named_limit.rate();
        cold.into_iter().chain(named).reduce(f64::min)
    }

    /// Records a send to the server; the latest ones without a permit count against a limit that
    /// the server names. `cold_rate` is as for [`Server::rate_limit`].
    pub fn record_send(&mut self, now: Duration, cold_rate: Option<f64>) {
        self.requested_pause.record_send(now);
        if self.rate_limit(now, cold_rate).is_some() {
            return;
        }
        self.drop_old_sends(now);
        self.unlimited_sends.push_back(now);
    }

    /// Records that this instance has just learned of a limit: the sends in the last
    /// [`COUNTED_BEFORE_LIMIT`] count against it.
    pub fn start_limit(&mut self, now: Duration) {
        self.drop_old_sends(now);
        self.earlier_sends = EarlierSends {
            count: std::mem::take(&mut self.unlimited_sends).len() as u32,
            until: now + LIMIT_NOTICE,
            reported_to: None,
        };
    }

    /// Returns the number of sends before the limit that have to be reported to the instance that
    /// grants permits. Each of them gets it once, so that one which takes over the permits early
    /// knows of these sends as well.
    pub fn unreported_sends(&mut self, now: Duration, granted_by: &Delegate) -> u32 {
        let earlier = &mut self.earlier_sends;
        let is_reported = earlier.reported_to.as_ref() == Some(granted_by);
        if earlier.count == 0 || is_reported || now >= earlier.until {
            return 0;
        }
        earlier.reported_to = Some(granted_by.clone());
        earlier.count
    }

    fn drop_old_sends(&mut self, now: Duration) {
        let is_old = |at: &Duration| *at + COUNTED_BEFORE_LIMIT < now;
        while self.unlimited_sends.front().is_some_and(is_old) {
            self.unlimited_sends.pop_front();
        }
    }

    /// Returns the time for which the server takes no requests of this instance, because of a pause
    /// that it asked for or because the permits for it are used up; `None` if it takes them.
    /// `cold_rate` is as for [`Server::rate_limit`].
    pub fn wait_before_requests(&self, now: Duration, cold_rate: Option<f64>) -> Option<Duration> {
        let limit = self.rate_limit(now, cold_rate);
        let permits_from = limit.map(|_| self.permits_from);
        let for_permit = permits_from.and_then(|at| at.checked_sub(now));
        let for_permit = for_permit.filter(|wait| !wait.is_zero());
        self.requested_pause.wait(now).max(for_permit)
    }

    /// Whether the server is paused because it was unresponsive.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Whether the server has recently refused a request because it had no capacity.
    pub fn is_full(&self, now: Duration) -> bool {
        now < self.full_until
    }

    /// Returns the time for which the server counts as full, since it refused a request; `None` if it does
    /// not.
    pub fn full_for(&self, now: Duration) -> Option<Duration> {
        self.is_full(now).then(|| self.full_until - now)
    }

    /// Returns the known number of requests that run or wait on the server: the reported load or
    /// the calls of this instance, whichever is larger.
    pub fn load(&self, now: Duration) -> u32 {
        let stated = self.shared_load.fresh(now);
        stated
            .map_or(0, |statement| statement.load)
            .max(self.in_flight)
    }

    /// Returns the tokens reserved by all instances, as far as they are known here.
    pub fn reserved_tokens(&self, now: Duration) -> u64 {
        self.same_zone_tokens(now) + sum_fresh(&self.zone_tokens, now)
    }

    /// Whether `tokens` more fit into the `memory` of the engine, in tokens.
    pub fn has_capacity(&self, now: Duration, memory: u64, tokens: u64) -> bool {
        self.reserved_tokens(now) + tokens <= memory
    }

    /// Returns the tokens reserved by the instances of this zone.
    pub fn same_zone_tokens(&self, now: Duration) -> u64 {
        self.own_tokens + sum_fresh(&self.peer_tokens, now)
    }
}

/// Sends to a server before its limit was known.
#[derive(Clone, Debug, Default)]
struct EarlierSends {
    count: u32,
    /// Time from which they no longer count.
    until: Duration,
    /// Instance to which they were reported.
    reported_to: Option<Delegate>,
}

/// Reserved tokens and time of the report, by the name of the peer or zone.
type Reservations = BTreeMap<SmolStr, (u64, Duration)>;

fn set_reservation(reservations: &mut Reservations, now: Duration, source: &SmolStr, tokens: u64) {
    if tokens == 0 {
        reservations.remove(source);
    } else {
        reservations.insert(source.clone(), (tokens, now));
    }
}

fn sum_fresh(reservations: &Reservations, now: Duration) -> u64 {
    let fresh = reservations
        .values()
        .filter(|(_, at)| now < *at + RESERVATIONS_TTL);
    fresh.map(|(tokens, _)| tokens).sum()
}
