//! A running instance.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, Sender, bounded};
use jacinthlever_core::{Core, Event, OperatorId, OperatorRequest};

use crate::Settings;
use crate::backend::Backend;
use crate::callers::Callers;
use crate::connection_guard::{ConnectionGuard, ConnectionLimits};
use crate::core_duty::{self, Outside};
use crate::in_flight::Registry;
use crate::metrics::Metrics;
use crate::operators::{Operators, Waiting};
use crate::peers::Peers;
use crate::platform::Platform;

/// Events that may wait for the core.
const WAITING: usize = 8_192;

/// Connections for each request that may be held.
const CONNECTIONS_PER_REQUEST: usize = 4;

/// Connections of operators at once.
const OPERATOR_CONNECTIONS: usize = 64;

/// Time for the last answers to leave after a drain.
const LAST_ANSWERS: Duration = Duration::from_secs(10);

/// Why an instance did not start.
#[derive(Debug)]
pub struct StartError {
    part: &'static str,
    error: io::Error,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.part, self.error)
    }
}

impl std::error::Error for StartError {}

fn part(part: &'static str) -> impl Fn(io::Error) -> StartError {
    move |error| StartError { part, error }
}

/// A running instance of the router.
pub struct Daemon {
    events: Sender<Event>,
    stopped: Receiver<()>,
    registry: Registry,
    guards: [ConnectionGuard; 2],
}

impl Daemon {
    /// Binds the addresses of the settings and starts all threads.
    ///
    /// # Errors
    /// Names the part that could not be started.
    pub fn spawn(settings: &Settings) -> Result<Self, StartError> {
        let (events, event_rx) = bounded(WAITING);
        let (stopped, stopped_rx) = bounded(1);
        let registry = Registry::default();
        let ready = Arc::new(AtomicBool::new(false));
        let waiting = Waiting::default();
        let metrics = Metrics::spawn().map_err(part("metrics"))?;
        let peers = Peers::spawn(settings, events.clone()).map_err(part("peer_address"))?;
        let platform = Platform::spawn(settings, events.clone()).map_err(part("platform"))?;
        let backend = Backend::spawn(settings, registry.clone(), events.clone())
            .map_err(part("backend calls"))?;
        let callers = Callers {
            events: events.clone(),
            registry: registry.clone(),
            ready: ready.clone(),
        };
        let operators = Operators {
            events: events.clone(),
            waiting: waiting.clone(),
            metrics: metrics.clone(),
            ready: ready.clone(),
            credential: blake3::hash(settings.operator_credential.as_bytes()),
        };
        let guards = [
            serve_callers(settings, callers).map_err(part("caller_address"))?,
            serve_operators(settings, operators).map_err(part("operator_address"))?,
        ];
        let outside = Outside {
            instance: settings.instance.clone(),
            registry: registry.clone(),
            backend,
            platform,
            peers,
            waiting,
            metrics,
            ready,
            stopped,
        };
        let started = incarnation();
        let core = Core::new(settings.core(started, started));
        core_duty::spawn(core, event_rx, outside).map_err(part("core"))?;
        Ok(Self {
            events,
            stopped: stopped_rx,
            registry,
            guards,
        })
    }

    /// Returns the bound address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.guards[0].address
    }

    /// Returns the bound address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.guards[1].address
    }

    /// Asks the instance to take no new work, hand over, and end.
    pub fn drain(&self) {
        let drain = Event::Operator {
            operator: OperatorId(u64::MAX),
            request: OperatorRequest::Drain,
        };
        // Without the core there is nothing left to drain.
        let _ = self.events.send(drain);
    }

    /// Waits until a drain has ended and the last answer has left.
    pub fn wait(&self) {
        let _ = self.stopped.recv();
        let until = Instant::now() + LAST_ANSWERS;
        while !self.registry.is_idle() && Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
        }
        self.guards.iter().for_each(ConnectionGuard::stop);
    }
}

fn serve_callers(settings: &Settings, callers: Callers) -> io::Result<ConnectionGuard> {
    let limits = ConnectionLimits {
        connections: settings.max_requests * CONNECTIONS_PER_REQUEST,
        body: settings.max_body,
        head_timeout: settings.head_timeout,
        body_timeout: settings.body_timeout,
    };
    let (registry, events) = (callers.registry.clone(), callers.events.clone());
    let (guard, listener) =
        ConnectionGuard::spawn(settings.caller_address, limits, move |connection| {
            let caller = registry.of_connection(connection);
            if let Some(event) = caller.and_then(|caller| registry.gone(caller)) {
                // Without the core the instance is ending, and so is every request.
                let _ = events.try_send(event);
            }
        })?;
    callers.spawn(listener, settings.max_requests)?;
    Ok(guard)
}

fn serve_operators(settings: &Settings, operators: Operators) -> io::Result<ConnectionGuard> {
    let limits = ConnectionLimits {
        connections: OPERATOR_CONNECTIONS,
        body: settings.max_body,
        head_timeout: settings.head_timeout,
        body_timeout: settings.body_timeout,
    };
    let (guard, listener) = ConnectionGuard::spawn(settings.operator_address, limits, |_| {})?;
    operators.spawn(listener)?;
    Ok(guard)
}

/// Returns a number that grows with each start, as long as the clock does not go back between.
fn incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_micros() as u64
}
