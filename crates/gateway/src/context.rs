//! What all duties of an instance share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{CallOutcome, ServerKey};
use serde_json::Value;
use tokio::sync::Notify;

use crate::capacity_queue::CapacityQueue;
use crate::connection_pool::ConnectionPool;
use crate::peers::ReceivedDigests;
use crate::state::State;
use crate::{Adapter, Clock, EventCode, EventLog, Settings, metrics::Metrics};

/// An instance at work; all its duties but the journal run on one thread and share this.
pub struct Context {
    /// Settings; replaced when the file changes.
    pub settings: RefCell<Rc<Settings>>,
    /// Translations of the platform.
    pub adapter: Adapter,
    /// Clock.
    pub clock: Clock,
    /// Beliefs.
    pub state: RefCell<State>,
    /// Connections to backend servers.
    pub connection_pool: ConnectionPool,
    /// Generations that wait for engine memory.
    pub capacity_queue: CapacityQueue,
    /// Log lines.
    pub event_log: EventLog,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Digests of other zones that came here.
    pub received_digests: RefCell<ReceivedDigests>,
    /// Told when a peer may know newer rows of the store's tables.
    pub peer_rows_changed: Notify,
    /// Told once when kept connections of callers are closed.
    pub close_connections: Notify,
    /// Told once when no more connections of callers are accepted.
    pub stop_accepting: Notify,
    /// When a generation last arrived here.
    pub last_generation_at: Cell<Option<Duration>>,
    /// Requests that are not answered in full yet.
    pub in_flight: Cell<usize>,
    /// Start of the process, in milliseconds of Unix time.
    pub incarnation: u64,
    rng_state: Cell<u64>,
}

impl Context {
    /// Makes what the duties share.
    ///
    /// # Errors
    /// Fails if the journal or the metrics cannot be started.
    pub fn open(settings: Settings, adapter: Adapter) -> std::io::Result<Rc<Self>> {
        let clock = Clock::start();
        let incarnation = crate::event_log::unix_ms();
        let seed = blake3::hash(format!("{}/{incarnation}", settings.instance).as_bytes());
        let mut word = [0; 8];
        word.copy_from_slice(&seed.as_bytes()[..8]);
        let state = State::new(&settings);
        Ok(Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            adapter,
            clock,
            state: RefCell::new(state),
            connection_pool: ConnectionPool::default(),
            capacity_queue: CapacityQueue::default(),
            event_log: EventLog::spawn(clock)?,
            metrics: Metrics::open()?,
            received_digests: RefCell::default(),
            peer_rows_changed: Notify::new(),
            close_connections: Notify::new(),
            stop_accepting: Notify::new(),
            last_generation_at: Cell::new(None),
            in_flight: Cell::new(0),
            incarnation,
            rng_state: Cell::new(u64::from_le_bytes(word) | 1),
        }))
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Writes a log line.
    pub fn log<const N: usize>(&self, code: EventCode, fields: [(&str, Value); N]) {
        self.event_log.log(code, fields);
    }

    /// Returns a uniform random number below 1.
    ///
    /// Xorshift; see Marsaglia, "Xorshift RNGs", 2003. It spreads load and decides nothing secret.
    pub fn random(&self) -> f64 {
        let mut x = self.rng_state.get();
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.rng_state.set(x);
        (x >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Records how a call to a backend server ended.
    pub fn record_outcome(&self, server: ServerKey, outcome: CallOutcome) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.pool.record_outcome(now, server, outcome);
        if outcome != CallOutcome::Unresponsive {
            return;
        }
        let id = state.pool.id_of(server);
        drop(state);
        self.connection_pool.close_all(server);
        self.log(EventCode::ServerSilent, [("server", id.as_str().into())]);
    }
}
