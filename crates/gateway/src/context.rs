//! State and services shared by all tasks of an instance.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{CallOutcome, MemoryLimit, PlannedStop, ServerKey, SystemMemory};
use serde_json::Value;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::capacity_queue::CapacityQueue;
use crate::connection_pool::ConnectionPool;
use crate::memory_budget::MemoryBudget;
use crate::peers::{Message, ReceivedDigests};
use crate::permits::Permits;
use crate::relay::Relays;
use crate::state::State;
use crate::stream_origins::OriginCalls;
use crate::stream_records::RecordReader;
use crate::system_memory;
use crate::version_notes::ListReader;
use crate::zone_news::ZoneNews;
use crate::{Adapter, Clock, EventCode, EventLog, Settings, metrics::Metrics};

/// Number of low bits that number the calls of one process to other instances. The bits above hold its
/// start time, so the numbers of two processes at the same address differ.
const CALL_NUMBER_BITS: u32 = 20;

/// Bytes in a megabyte of the setting `max_memory_mb`.
const BYTES_PER_MB: u64 = 1_000_000;

/// Numbers of requests that were answered by this instance because of its stop.
#[derive(Debug, Default)]
pub struct StopVerdicts {
    /// Those that have not run.
    pub not_run: Cell<u64>,
    /// Those that a backend server may have run.
    pub may_have_run: Cell<u64>,
}

/// Shared context of a running instance. All its tasks run on one thread; only the log is written on another.
pub struct Context {
    /// Settings in force; replaced when the file changes.
    pub settings: RefCell<Rc<Settings>>,
    /// Functions that translate the platform's formats.
    pub adapter: Adapter,
    /// Clock of the instance.
    pub clock: Clock,
    /// The view of the fleet: configuration, backend servers, quotas and peers.
    pub state: RefCell<State>,
    /// Idle connections to backend servers.
    pub connection_pool: ConnectionPool<ServerKey>,
    /// Number of connections opened to backend servers and other instances.
    pub connections_opened: Cell<u64>,
    /// Other instances to which requests are relayed.
    pub relays: Relays,
    /// Generations that wait for engine memory.
    pub capacity_queue: CapacityQueue,
    /// Log of events.
    pub event_log: EventLog,
    /// Budget for the bytes that are held for callers, instances and servers.
    pub memory: Rc<MemoryBudget>,
    /// What the operating system said of the memory when the process started.
    system_memory: SystemMemory,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Digests of other zones that this instance has received.
    pub received_digests: RefCell<ReceivedDigests>,
    /// Permits for requests to backend servers that name a limit or are cold.
    pub permits: Permits,
    /// Calls for the versions that began streams.
    pub origin_calls: OriginCalls,
    /// Reader of the records of streams in the store.
    pub record_reader: RecordReader,
    /// Reader of the list of versions in the store, for streams of which no instance knows.
    pub version_list: ListReader,
    /// Highest era that the store has named; `None` before its first answer.
    pub store_era: Cell<Option<u64>>,
    /// Era of the store, for tasks that write rows again after it has come back from a copy. A task
    /// that is busy meanwhile sees the change afterwards.
    pub store_restored: watch::Sender<u64>,
    /// Notified when peers should learn at once of what a backend server has said in an answer.
    pub urgent_news: Notify,
    /// News of the store's tables that have not been sent to the zone yet.
    pub zone_news: RefCell<ZoneNews>,
    /// Notified when such news were added.
    pub zone_news_added: Notify,
    /// Notified when servers of a service have to be probed.
    pub service_doubted: Notify,
    /// Notified when an instance is ready whose registration is not known.
    pub registrations_missed: Notify,
    /// Notified when the quarantined parts of prompts have changed.
    pub quarantine_changed: Notify,
    /// Notified when servers were registered, whose versions may not be listed in the store.
    pub engine_versions_changed: Notify,
    /// Notified when records of streams are to be written to the store.
    pub streams_recorded: Notify,
    /// Notified when such records have been written, or could not be.
    pub streams_written: Notify,
    /// Notified when a peer may have newer rows of the store's tables.
    pub peer_rows_changed: Notify,
    /// Schedule of the planned stop; `None` before SIGTERM.
    pub planned_stop: watch::Sender<Option<PlannedStop>>,
    /// Requests that were answered by this instance because of its stop.
    pub stop_verdicts: StopVerdicts,
    /// Number of connections of callers and instances with a request whose answer has not been written.
    pub busy_connections: Rc<Cell<usize>>,
    /// Time at which the last generation arrived; `None` before the first one.
    pub last_generation_at: Cell<Option<Duration>>,
    /// Number of requests whose answer is not complete.
    pub in_flight: Cell<usize>,
    /// Start time of the process in milliseconds of Unix time, which identifies this run of the
    /// instance.
    pub incarnation: u64,
    rng_state: Cell<u64>,
}

impl Context {
    /// Creates the context.
    ///
    /// # Errors
    /// Fails if the metrics cannot be started.
    pub fn open(settings: Settings, adapter: Adapter) -> std::io::Result<Rc<Self>> {
        let clock = Clock::start();
        let incarnation = crate::event_log::unix_ms();
        let seed = blake3::hash(format!("{}/{incarnation}", settings.instance).as_bytes());
        let mut word = [0; 8];
        word.copy_from_slice(&seed.as_bytes()[..8]);
        let phase = f64::from(seed.as_bytes()[8]) / 256.0;
        let state = State::new(&settings);
        Ok(Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            adapter,
            clock,
            state: RefCell::new(state),
            connection_pool: ConnectionPool::default(),
            connections_opened: Cell::new(0),
            relays: Relays::default(),
            capacity_queue: CapacityQueue::default(),
            event_log: EventLog::new(clock),
            memory: MemoryBudget::new(clock),
            system_memory: system_memory::read(),
            metrics: Metrics::open()?,
            received_digests: RefCell::default(),
            permits: Permits::new(incarnation << CALL_NUMBER_BITS, phase),
            origin_calls: OriginCalls::new(incarnation << CALL_NUMBER_BITS),
            record_reader: RecordReader::default(),
            version_list: ListReader::default(),
            urgent_news: Notify::new(),
            zone_news: RefCell::default(),
            zone_news_added: Notify::new(),
            store_era: Cell::new(None),
            store_restored: watch::Sender::default(),
            service_doubted: Notify::new(),
            registrations_missed: Notify::new(),
            quarantine_changed: Notify::new(),
            engine_versions_changed: Notify::new(),
            streams_recorded: Notify::new(),
            streams_written: Notify::new(),
            peer_rows_changed: Notify::new(),
            planned_stop: watch::Sender::default(),
            stop_verdicts: StopVerdicts::default(),
            busy_connections: Rc::default(),
            last_generation_at: Cell::new(None),
            in_flight: Cell::new(0),
            incarnation,
            rng_state: Cell::new(u64::from_le_bytes(word) | 1),
        }))
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Returns the memory that the process may use.
    pub fn memory_limit(&self) -> MemoryLimit {
        let stated = self.settings.borrow().max_memory_mb;
        let stated = stated.map(|mb| (mb as u64).saturating_mul(BYTES_PER_MB));
        self.system_memory.limit(stated)
    }

    /// Applies the settings and the configuration in force to the memory budget.
    pub fn refresh_memory_budget(&self) {
        let state = self.state.borrow();
        let limits = state.config.as_ref().map(|config| config.limits);
        let body_bytes = limits.unwrap_or_default().body_bytes;
        self.memory.configure(self.memory_limit().bytes, body_bytes);
    }

    /// Waits for a time of the planned stop. Does not return unless one begins.
    pub async fn wait_for_stop(&self, time: impl Fn(&PlannedStop) -> Duration) {
        let mut stop = self.planned_stop.subscribe();
        loop {
            let at = stop.borrow_and_update().as_ref().map(&time);
            let left = at.map(|at| at.saturating_sub(self.now()));
            // The sender is a part of the context, so the channel stays open.
            match left {
                Some(Duration::ZERO) => return,
                Some(left) => {
                    tokio::select! {
                        _ = stop.changed() => {}
                        () = sleep(left) => {}
                    }
                }
                None => drop(stop.changed().await),
            }
        }
    }

    /// Logs an event with its fields.
    pub fn log<const N: usize>(&self, code: EventCode, fields: [(&str, Value); N]) {
        self.event_log.log(code, fields);
    }

    /// Sends a message to another instance.
    pub fn send(&self, message: Message, address: &str) {
        match address.parse() {
            Ok(to) => self.permits.send(message, to),
            Err(error) => log::debug!("invalid address {address} of an instance: {error}"),
        }
    }

    /// Returns a uniform random number below 1.
    ///
    /// Xorshift; see Marsaglia, "Xorshift RNGs", 2003. It serves to spread load and is not
    /// cryptographically secure.
    pub fn random(&self) -> f64 {
        let mut x = self.rng_state.get();
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.rng_state.set(x);
        (x >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Records the outcome of a call to a backend server. If the server is unresponsive, logs that
    /// and closes its idle connections.
    pub fn record_outcome(&self, server: ServerKey, outcome: CallOutcome) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.pool.record_outcome(now, server, outcome);
        if outcome != CallOutcome::Unresponsive {
            return;
        }
        let id = state.pool.id_of(server);
        drop(state);
        self.connection_pool.close_all(&server);
        self.log(EventCode::ServerSilent, [("server", id.as_str().into())]);
    }
}
