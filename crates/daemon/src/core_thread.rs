//! The thread that runs the decision core.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use jacinthlever_core::{Action, Core, Event};
use jacinthlever_types::InstanceId;

use crate::backend_calls::BackendCalls;
use crate::clock::Clock;
use crate::event_log;
use crate::in_flight::Registry;
use crate::metrics::Metrics;
use crate::operator_server::PendingOperators;
use crate::peer_links::PeerLinks;
use crate::platform_calls::PlatformCalls;

/// Interval between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Executes the actions of the core.
pub struct ActionExecutor {
    /// This instance.
    pub instance: InstanceId,
    /// Requests in flight.
    pub registry: Registry,
    /// Calls to backend servers.
    pub backend_calls: BackendCalls,
    /// Calls to platform services.
    pub platform_calls: PlatformCalls,
    /// Links to peers.
    pub peer_links: PeerLinks,
    /// Operator requests that wait for a reply.
    pub pending_operators: PendingOperators,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Whether the instance is ready.
    pub ready: Arc<AtomicBool>,
    /// Queue that gets a message when the instance has drained.
    pub stopped: Sender<()>,
}

/// Starts the thread, which runs until all senders of `events` are dropped.
///
/// # Errors
/// Fails if the thread cannot be started.
pub fn spawn(mut core: Core, events: Receiver<Event>, executor: ActionExecutor) -> io::Result<()> {
    let clock = Clock::start();
    thread::Builder::new().name("core".into()).spawn(move || {
        let mut next_tick = Duration::ZERO;
        loop {
            let event = match events.recv_timeout(next_tick.saturating_sub(clock.now())) {
                Ok(event) => event,
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = clock.now() + TICK_INTERVAL;
                    Event::Tick
                }
                Err(RecvTimeoutError::Disconnected) => return,
            };
            for action in core.handle(clock.now(), event) {
                executor.execute(action);
            }
            executor.ready.store(core.is_ready(), Ordering::Relaxed);
        }
    })?;
    Ok(())
}

impl ActionExecutor {
    fn execute(&self, action: Action) {
        match action {
            Action::Reply { caller, reply } => self.registry.finish(caller, reply),
            Action::Call {
                call,
                address,
                request,
            } => self.backend_calls.start(call, address, request),
            Action::Platform { op, request } => self.platform_calls.start(op, request),
            Action::Send { to, address, msg } => self.peer_links.send(to, address, msg),
            Action::Operator { operator, reply } => self.pending_operators.finish(operator, reply),
            Action::Measure {
                customer,
                class,
                sample,
            } => {
                self.metrics.record(customer, class, sample);
            }
            Action::Log(event) => event_log::write(&self.instance, &event),
            Action::Stopped => {
                // The message is dropped if one is queued already or nothing waits for the end.
                let _ = self.stopped.try_send(());
            }
        }
    }
}
