//! What all duties of an instance share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{CallOutcome, ServerKey};
use serde_json::Value;
use tokio::sync::Notify;

use crate::peers::Received;
use crate::room_queue::RoomQueue;
use crate::state::State;
use crate::upstreams::Upstreams;
use crate::{Adapter, Clock, EventCode, Journal, Settings, metrics::Metrics};

/// An instance at work; all its duties but the journal run on one thread and share this.
pub struct Node {
    /// Settings; replaced when the file changes.
    pub settings: RefCell<Rc<Settings>>,
    /// Translations of the platform.
    pub adapter: Adapter,
    /// Clock.
    pub clock: Clock,
    /// Beliefs.
    pub state: RefCell<State>,
    /// Connections to backend servers.
    pub upstreams: Upstreams,
    /// Generations that wait for engine memory.
    pub room: RoomQueue,
    /// Log lines.
    pub journal: Journal,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Digests of other zones that came here.
    pub received: RefCell<Received>,
    /// Told when a peer may know newer rows of the store's tables.
    pub hinted: Notify,
    /// Told once when kept connections of callers are closed.
    pub drain: Notify,
    /// Told once when no more connections of callers are accepted.
    pub closing: Notify,
    /// When a generation last arrived here.
    pub last_generation: Cell<Option<Duration>>,
    /// Requests that are not answered in full yet.
    pub in_flight: Cell<usize>,
    /// Start of the process, in milliseconds of Unix time.
    pub incarnation: u64,
    random: Cell<u64>,
}

impl Node {
    /// Makes what the duties share.
    ///
    /// # Errors
    /// Fails if the journal or the metrics cannot be started.
    pub fn open(settings: Settings, adapter: Adapter) -> std::io::Result<Rc<Self>> {
        let clock = Clock::start();
        let incarnation = crate::journal::unix_ms();
        let seed = blake3::hash(format!("{}/{incarnation}", settings.instance).as_bytes());
        let mut word = [0; 8];
        word.copy_from_slice(&seed.as_bytes()[..8]);
        let state = State::new(&settings);
        Ok(Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            adapter,
            clock,
            state: RefCell::new(state),
            upstreams: Upstreams::default(),
            room: RoomQueue::default(),
            journal: Journal::spawn(clock)?,
            metrics: Metrics::open()?,
            received: RefCell::default(),
            hinted: Notify::new(),
            drain: Notify::new(),
            closing: Notify::new(),
            last_generation: Cell::new(None),
            in_flight: Cell::new(0),
            incarnation,
            random: Cell::new(u64::from_le_bytes(word) | 1),
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
    pub fn note<const N: usize>(&self, code: EventCode, fields: [(&str, Value); N]) {
        self.journal.note(code, fields);
    }

    /// Returns a uniform random number below 1.
    ///
    /// Xorshift; see Marsaglia, "Xorshift RNGs", 2003. It spreads load and decides nothing secret.
    pub fn draw(&self) -> f64 {
        let mut x = self.random.get();
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.random.set(x);
        (x >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Records how a call to a backend server ended.
    pub fn record(&self, server: ServerKey, outcome: CallOutcome) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.pool.record_outcome(now, server, outcome);
        if outcome != CallOutcome::Unresponsive {
            return;
        }
        let id = state.pool.id_of(server);
        drop(state);
        self.upstreams.forget(server);
        self.note(EventCode::ServerSilent, [("server", id.as_str().into())]);
    }
}
