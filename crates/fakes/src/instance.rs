//! One simulated instance.

use std::time::Duration;

use jacinthlever_core::{Action, Core, Event};
use smol_str::SmolStr;

use crate::NaiveRouter;

/// The router that an instance runs.
pub enum Router {
    /// The decision core.
    Core(Box<Core>),
    /// The naive router that serves as the baseline.
    Naive(Box<NaiveRouter>),
}

impl Router {
    pub(crate) fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match self {
            Self::Core(core) => core.handle(now, event),
            Self::Naive(naive) => naive.handle(now, event),
        }
    }
}

/// One simulated instance.
pub struct FakeInstance {
    /// Name of the instance, also its address.
    pub id: SmolStr,
    /// Availability zone of the instance.
    pub zone: SmolStr,
    /// The router; `None` while the instance is down.
    pub router: Option<Router>,
    /// Whether the process is paused.
    pub paused: bool,
    /// Whether the core has finished draining, so that the process may exit.
    pub stopped: bool,
    pub(crate) started: Duration,
    pub(crate) incarnation: u64,
    /// Events that arrived while the process was paused.
    pub(crate) backlog: Vec<Event>,
    pub(crate) list_revision: u64,
    /// Drift of the local clock relative to the simulation's, in parts per million.
    pub(crate) drift_ppm: i64,
}

impl FakeInstance {
    /// Returns the decision core, if the instance is up and runs it.
    pub fn core(&self) -> Option<&Core> {
        match &self.router {
            Some(Router::Core(core)) => Some(core),
            _ => None,
        }
    }

    /// Returns the time since the start of the process on the instance's own clock.
    pub(crate) fn local_time(&self, now: Duration) -> Duration {
        let since = now.saturating_sub(self.started).as_nanos() as i128;
        let drift = since * i128::from(self.drift_ppm) / 1_000_000;
        Duration::from_nanos((since + drift).max(0) as u64)
    }
}
