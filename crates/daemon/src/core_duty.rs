//! The thread that runs the decision core.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use jacinthlever_core::{Action, Core, Event};
use jacinthlever_types::InstanceId;

use crate::backend::Backend;
use crate::clock::Clock;
use crate::in_flight::Registry;
use crate::log_duty;
use crate::metrics::Metrics;
use crate::operators::Waiting;
use crate::peers::Peers;
use crate::platform::Platform;

/// Pause between two ticks of the core.
const TICK: Duration = Duration::from_millis(20);

/// Everything that the core's actions go to.
pub struct Outside {
    /// Own instance.
    pub instance: InstanceId,
    /// Requests under way.
    pub registry: Registry,
    /// Calls to backend servers.
    pub backend: Backend,
    /// Operations on platform services.
    pub platform: Platform,
    /// Links to peers.
    pub peers: Peers,
    /// Operators who wait.
    pub waiting: Waiting,
    /// Metrics.
    pub metrics: Metrics,
    /// Whether the instance is ready.
    pub ready: Arc<AtomicBool>,
    /// Told when the instance has drained.
    pub stopped: Sender<()>,
}

/// Starts the thread.
///
/// # Errors
/// Fails if the thread cannot be started.
pub fn spawn(mut core: Core, events: Receiver<Event>, outside: Outside) -> io::Result<()> {
    let clock = Clock::start();
    thread::Builder::new().name("core".into()).spawn(move || {
        let mut next_tick = Duration::ZERO;
        loop {
            let event = match events.recv_timeout(next_tick.saturating_sub(clock.now())) {
                Ok(event) => event,
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = clock.now() + TICK;
                    Event::Tick
                }
                Err(RecvTimeoutError::Disconnected) => return,
            };
            for action in core.handle(clock.now(), event) {
                outside.perform(action);
            }
            outside.ready.store(core.is_ready(), Ordering::Relaxed);
        }
    })?;
    Ok(())
}

impl Outside {
    fn perform(&self, action: Action) {
        match action {
            Action::Reply { caller, reply } => self.registry.finish(caller, reply),
            Action::Call {
                call,
                address,
                request,
            } => self.backend.start(call, address, request),
            Action::Platform { op, request } => self.platform.start(op, request),
            Action::Send { to, address, msg } => self.peers.send(to, address, msg),
            Action::Operator { operator, reply } => self.waiting.finish(operator, reply),
            Action::Measure {
                customer,
                class,
                sample,
            } => {
                self.metrics.record(customer, class, sample);
            }
            Action::Log(event) => log_duty::write(&self.instance, &event),
            Action::Stopped => {
                // Nobody may be waiting for the end.
                let _ = self.stopped.try_send(());
            }
        }
    }
}
