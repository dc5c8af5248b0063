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
use crate::backend_calls::BackendCalls;
use crate::caller_server::CallerServer;
use crate::connection_guard::{ConnectionGuard, ConnectionLimits};
use crate::core_thread::{self, ActionExecutor};
use crate::in_flight::Registry;
use crate::metrics::Metrics;
use crate::operator_server::{OperatorServer, PendingOperators};
use crate::peer_links::PeerLinks;
use crate::platform_calls::PlatformCalls;

/// Capacity of the event queue of the core.
const EVENT_QUEUE_CAPACITY: usize = 8_192;

/// Maximum number of caller connections, as a multiple of `max_requests`: an open connection need
/// not carry a request.
const CONNECTIONS_PER_REQUEST: usize = 4;

/// Maximum number of concurrent connections of operators.
const MAX_OPERATOR_CONNECTIONS: usize = 64;

/// Maximum time after a drain to send the remaining responses.
const FINAL_RESPONSES_TIMEOUT: Duration = Duration::from_secs(10);

/// Why an instance did not start.
#[derive(Debug)]
pub struct StartError {
    component: &'static str,
    error: io::Error,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.component, self.error)
    }
}

impl std::error::Error for StartError {}

/// Returns a function that adds the name of the failed component to an error.
fn start_error(component: &'static str) -> impl Fn(io::Error) -> StartError {
    move |error| StartError { component, error }
}

/// A running instance of the router.
pub struct Daemon {
    events: Sender<Event>,
    stopped: Receiver<()>,
    registry: Registry,
    /// Guards of the listeners for callers and for operators, in this order.
    guards: [ConnectionGuard; 2],
}

impl Daemon {
    /// Binds the addresses of the settings and starts all threads.
    ///
    /// # Errors
    /// Returns the name of the component that could not be started, with the cause.
    pub fn spawn(settings: &Settings) -> Result<Self, StartError> {
        let (events, event_rx) = bounded(EVENT_QUEUE_CAPACITY);
        let (stopped, stopped_rx) = bounded(1);
        let registry = Registry::default();
        let ready = Arc::new(AtomicBool::new(false));
        let pending_operators = PendingOperators::default();
        let metrics = Metrics::spawn().map_err(start_error("metrics"))?;
        let peer_links =
            PeerLinks::spawn(settings, events.clone()).map_err(start_error("peer_address"))?;
        let platform_calls =
            PlatformCalls::spawn(settings, events.clone()).map_err(start_error("platform"))?;
        let backend_calls = BackendCalls::spawn(settings, registry.clone(), events.clone())
            .map_err(start_error("backend calls"))?;
        let caller_server = CallerServer {
            events: events.clone(),
            registry: registry.clone(),
            ready: ready.clone(),
        };
        let operator_server = OperatorServer {
            events: events.clone(),
            pending: pending_operators.clone(),
            metrics: metrics.clone(),
            ready: ready.clone(),
            credential: blake3::hash(settings.operator_credential.as_bytes()),
        };
        let guards = [
            serve_callers(settings, caller_server).map_err(start_error("caller_address"))?,
            serve_operators(settings, operator_server).map_err(start_error("operator_address"))?,
        ];
        let executor = ActionExecutor {
            instance: settings.instance.clone(),
            registry: registry.clone(),
            backend_calls,
            platform_calls,
            peer_links,
            pending_operators,
            metrics,
            ready,
            stopped,
        };
        // The incarnation is also the seed, so that each start makes other random choices.
        let incarnation = incarnation();
        let core = Core::new(settings.core_settings(incarnation, incarnation));
        core_thread::spawn(core, event_rx, executor).map_err(start_error("core"))?;
        Ok(Self {
            events,
            stopped: stopped_rx,
            registry,
            guards,
        })
    }

    /// Returns the address that is bound for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.guards[0].address
    }

    /// Returns the address that is bound for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.guards[1].address
    }

    /// Starts a drain: the instance accepts no new requests, completes those in flight, releases
    /// its partitions and stops.
    pub fn drain(&self) {
        // No request of an operator has this identifier, so the reply of the core is dropped.
        let drain = Event::Operator {
            operator: OperatorId(u64::MAX),
            request: OperatorRequest::Drain,
        };
        // If the core thread has ended, there is nothing to drain.
        let _ = self.events.send(drain);
    }

    /// Waits until a drain has ended and the remaining responses are sent.
    pub fn wait(&self) {
        let _ = self.stopped.recv();
        let deadline = Instant::now() + FINAL_RESPONSES_TIMEOUT;
        while !self.registry.is_idle() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(10));
        }
        self.guards.iter().for_each(ConnectionGuard::stop);
    }
}

/// Starts the HTTP server for callers behind its connection guard.
fn serve_callers(settings: &Settings, caller_server: CallerServer) -> io::Result<ConnectionGuard> {
    let limits = ConnectionLimits {
        connections: settings.max_requests * CONNECTIONS_PER_REQUEST,
        body: settings.max_body,
        head_timeout: settings.head_timeout,
        body_timeout: settings.body_timeout,
    };
    let (registry, events) = (caller_server.registry.clone(), caller_server.events.clone());
    let (guard, listener) =
        ConnectionGuard::spawn(settings.caller_address, limits, move |connection| {
            let caller = registry.caller_of_connection(connection);
            if let Some(event) = caller.and_then(|caller| registry.disconnect(caller)) {
                // If the core thread has ended, so does the instance with all requests.
                let _ = events.try_send(event);
            }
        })?;
    caller_server.spawn(listener, settings.max_requests)?;
    Ok(guard)
}

/// Starts the HTTP server of the operators' API behind its connection guard.
fn serve_operators(
    settings: &Settings,
    operator_server: OperatorServer,
) -> io::Result<ConnectionGuard> {
    let limits = ConnectionLimits {
        connections: MAX_OPERATOR_CONNECTIONS,
        body: settings.max_body,
        head_timeout: settings.head_timeout,
        body_timeout: settings.body_timeout,
    };
    let (guard, listener) = ConnectionGuard::spawn(settings.operator_address, limits, |_| {})?;
    operator_server.spawn(listener)?;
    Ok(guard)
}

/// Returns the incarnation: the time in microseconds since the Unix epoch, which grows with each
/// start unless the clock was set back.
fn incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_micros() as u64
}
