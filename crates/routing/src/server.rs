//! One backend server as an instance sees it.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::new_key_type;
use smol_str::SmolStr;

new_key_type! {
    /// Key of a backend server in the pool's arena.
    pub struct ServerKey;
}

/// Which half of a generation an engine serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineRole {
    /// Reads prompts.
    Prefill,
    /// Produces tokens.
    Decode,
}

/// What a registered backend server says of its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// Takes work.
    Ready,
    /// Is about to leave and takes no new work.
    Draining,
}

/// A backend server as it is registered.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Identifier of this run of the server, unless it kept an older one; see `started_ms`.
    pub id: SmolStr,
    /// Service that it belongs to.
    pub service: SmolStr,
    /// IP address and port.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: ServerState,
    /// Stage, for engines.
    pub role: Option<EngineRole>,
    /// Start of its process, in milliseconds of Unix time, if told.
    pub started_ms: Option<u64>,
}

/// How a call to a backend server ended, as far as the server's health goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// A whole answer.
    Answered {
        /// From the send to the head of the answer.
        latency: Duration,
    },
    /// An answer that says the server failed.
    ServerError,
    /// The connection broke, or what came was no answer.
    Broken,
    /// No connection, or silence.
    Unresponsive,
    /// The server had no capacity_policy; this says nothing against its health.
    NoCapacity,
}

/// Weight of one outcome in the failure average.
const FAILURE_WEIGHT: f64 = 0.12;

/// Time in which a failure average halves while nothing is sent.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Weight of one answer in the average of times.
const TIME_WEIGHT: f64 = 0.15;

/// Time to read a token of a prompt, in milliseconds, of an engine that has not read any yet.
const USUAL_READ_PACE: f64 = 0.033;

/// Pause after a server did not answer at all; doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest pause of a silent server.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// How long a load that a server told of itself is used.
const LOAD_FRESH: Duration = Duration::from_millis(600);

/// How long an engine that had no room is passed over while others may have some.
const FULL_FOR: Duration = Duration::from_millis(80);

/// How long the reservations of others are believed without a new message.
const RESERVATIONS_FRESH: Duration = Duration::from_millis(1500);

/// A backend server, what runs on it, and how it has fared.
#[derive(Clone, Debug)]
pub struct Server {
    /// Registration.
    pub entry: ServerEntry,
    /// Calls under way from this instance.
    pub in_flight: u32,
    /// Tokens reserved or being read for requests of this instance.
    pub own_tokens: u64,
    /// Prompts of this instance that a decode engine is reading by itself.
    pub local_prefills: u32,
    /// Set while the registration has lapsed without notice.
    pub expired_at: Option<Duration>,
    /// Average of failures, and when it was last changed.
    failures: f64,
    failures_at: Duration,
    /// Average time to the head of an answer, in seconds.
    time: Option<f64>,
    /// Average time to read a token of a prompt, in milliseconds.
    read_pace: Option<f64>,
    paused_until: Duration,
    pause: Duration,
    full_until: Duration,
    /// Requests running and waiting as the server told last, and when.
    reported_load: Option<(u32, Duration)>,
    /// Tokens that peers have reserved, each with when it was told.
    peer_tokens: Told,
    /// Tokens that the instances of other zones have reserved, each with when it was told.
    zone_tokens: Told,
}

impl Server {
    /// Makes a server that nothing is known of but its registration.
    pub fn new(entry: ServerEntry) -> Self {
        Self {
            entry,
            in_flight: 0,
            own_tokens: 0,
            local_prefills: 0,
            expired_at: None,
            failures: 0.0,
            failures_at: Duration::ZERO,
            time: None,
            read_pace: None,
            paused_until: Duration::ZERO,
            pause: Duration::ZERO,
            full_until: Duration::ZERO,
            reported_load: None,
            peer_tokens: BTreeMap::new(),
            zone_tokens: BTreeMap::new(),
        }
    }

    /// Takes in how a call ended.
    pub fn record_outcome(&mut self, now: Duration, outcome: CallOutcome) {
        let failed = match outcome {
            CallOutcome::NoCapacity => {
                self.full_until = now + FULL_FOR;
                return;
            }
            CallOutcome::Answered { latency: took } => {
                let took = took.as_secs_f64();
                let before = self.time.unwrap_or(took);
                self.time = Some(before + TIME_WEIGHT * (took - before));
                self.pause = Duration::ZERO;
                0.0
            }
            CallOutcome::ServerError | CallOutcome::Broken => 1.0,
            CallOutcome::Unresponsive => {
                self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
                self.paused_until = now + self.pause;
                1.0
            }
        };
        let before = self.failure_rate(now);
        self.failures = before + FAILURE_WEIGHT * (failed - before);
        self.failures_at = now;
    }

    /// Takes in how long it took to read a prompt of `tokens`, those before it included.
    pub fn record_prefill(&mut self, tokens: u64, took: Duration) {
        let pace = took.as_secs_f64() * 1000.0 / tokens.max(1) as f64;
        let before = self.read_pace.unwrap_or(USUAL_READ_PACE);
        self.read_pace = Some(before + TIME_WEIGHT * (pace - before));
    }

    /// Returns how long it should take until a prompt of `tokens` has been read here.
    pub fn expected_prefill_time(&self, now: Duration, tokens: u64) -> Duration {
        let pace = self.read_pace.unwrap_or(USUAL_READ_PACE);
        let ms = pace * (self.reserved_tokens(now) + tokens) as f64;
        Duration::from_secs_f64(ms / 1000.0)
    }

    /// Takes in the load that the server told with an answer.
    pub fn record_load(&mut self, now: Duration, running_and_waiting: u32) {
        self.reported_load = Some((running_and_waiting, now));
    }

    /// Takes in what a peer of this zone has reserved here.
    pub fn set_peer_reserved(&mut self, now: Duration, peer: &SmolStr, tokens: u64) {
        replace(&mut self.peer_tokens, now, peer, tokens);
    }

    /// Takes in what the instances of another zone have reserved here.
    pub fn set_zone_reserved(&mut self, now: Duration, zone: &SmolStr, tokens: u64) {
        replace(&mut self.zone_tokens, now, zone, tokens);
    }

    /// Returns the part of calls that failed of late, between 0 and 1.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.failures_at).as_secs_f64();
        self.failures * 0.5_f64.powf(idle / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns the average time to the head of an answer, in seconds.
    pub fn mean_latency_s(&self) -> Option<f64> {
        self.time
    }

    /// Whether new work may be sent here.
    pub fn accepts_work(&self) -> bool {
        self.entry.state == ServerState::Ready
    }

    /// Whether it has not answered lately.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Whether it had no room a moment ago.
    pub fn is_full(&self, now: Duration) -> bool {
        now < self.full_until
    }

    /// Returns the requests that run or wait here, as far as this instance knows.
    pub fn load(&self, now: Duration) -> u32 {
        let told = self
            .reported_load
            .filter(|(_, at)| now < *at + LOAD_FRESH)
            .map_or(0, |(load, _)| load);
        told.max(self.in_flight)
    }

    /// Returns the tokens that are reserved here by all instances, as far as this one knows.
    pub fn reserved_tokens(&self, now: Duration) -> u64 {
        self.same_zone_tokens(now) + fresh_sum(&self.zone_tokens, now)
    }

    /// Whether `tokens` more fit into its `memory`.
    pub fn has_capacity(&self, now: Duration, memory: u64, tokens: u64) -> bool {
        self.reserved_tokens(now) + tokens <= memory
    }

    /// Returns the tokens that are reserved here by the instances of this zone.
    pub fn same_zone_tokens(&self, now: Duration) -> u64 {
        self.own_tokens + fresh_sum(&self.peer_tokens, now)
    }
}

type Told = BTreeMap<SmolStr, (u64, Duration)>;

fn replace(told: &mut Told, now: Duration, who: &SmolStr, tokens: u64) {
    if tokens == 0 {
        told.remove(who);
    } else {
        told.insert(who.clone(), (tokens, now));
    }
}

fn fresh_sum(told: &Told, now: Duration) -> u64 {
    let fresh = told
        .values()
        .filter(|(_, at)| now < *at + RESERVATIONS_FRESH);
    fresh.map(|(tokens, _)| tokens).sum()
}
