//! One instance of the world.

use std::time::Duration;

use jacinthlever_core::{Action, Core, Event};
use smol_str::SmolStr;

use crate::NaiveRouter;

/// The router that a node runs.
pub enum Router {
    /// The decision core.
    Core(Box<Core>),
    /// The naive router that the core is measured against.
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

/// One instance of the world.
pub struct Node {
    /// Name.
    pub id: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// The router; `None` while the instance is down.
    pub router: Option<Router>,
    /// Whether the process is frozen.
    pub paused: bool,
    /// Whether the core has said that it may end.
    pub stopped: bool,
    pub(crate) started: Duration,
    pub(crate) incarnation: u64,
    /// Events that came while the process was frozen.
    pub(crate) backlog: Vec<Event>,
    pub(crate) list_revision: u64,
    /// Rate of the local clock against the world's, in parts per million.
    pub(crate) drift_ppm: i64,
}

impl Node {
    /// Returns the decision core, if the node is up and runs it.
    pub fn core(&self) -> Option<&Core> {
        match &self.router {
            Some(Router::Core(core)) => Some(core),
            _ => None,
        }
    }

    /// Returns the time since the start on the node's own clock.
    pub(crate) fn local_time(&self, now: Duration) -> Duration {
        let since = now.saturating_sub(self.started).as_nanos() as i128;
        let drift = since * i128::from(self.drift_ppm) / 1_000_000;
        Duration::from_nanos((since + drift).max(0) as u64)
    }
}
