//! Registration of plug-ins with the kernel; see `docs/ARCHITECTURE.md`.

use jacinthlever_types::{InstanceId, PeerMsg, Verdict};

use crate::{Core, ReqKey};

/// The stages of a request, in their order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Identifies the customer and checks its access to the route.
    Authenticate,
    /// Charges the customer's limit.
    Limit,
    /// Checks and records the idempotency key.
    Idempotency,
    /// Reserves engines.
    Queue,
    /// Runs the request on backend servers.
    Dispatch,
}

impl Stage {
    /// Returns the next stage; `None` after the last.
    pub fn next(self) -> Option<Self> {
        match self {
            Self::Authenticate => Some(Self::Limit),
            Self::Limit => Some(Self::Idempotency),
            Self::Idempotency => Some(Self::Queue),
            Self::Queue => Some(Self::Dispatch),
            Self::Dispatch => None,
        }
    }
}

/// What happens to a request after a stage ran.
#[derive(Clone, Debug, PartialEq)]
pub enum Flow {
    /// The request continues with the next stage.
    Next,
    /// The request waits for an event.
    Wait,
    /// The request has been answered.
    Done,
    /// The request is refused.
    Refuse(Verdict),
}

/// Runs a stage for a request.
pub type StageFn = fn(&mut Core, ReqKey) -> Flow;

/// Checks a waiting request on every tick.
pub type WaitFn = fn(&mut Core, ReqKey) -> Flow;

/// Runs periodic work on every tick.
pub type TickFn = fn(&mut Core);

/// Handles a message, or returns it for the next plug-in.
pub type PeerFn = fn(&mut Core, &InstanceId, PeerMsg) -> Option<PeerMsg>;

/// A part of the router that registers its handlers with the kernel.
pub struct Plugin {
    /// Name; plug-ins run in the order of their names.
    pub name: &'static str,
    /// Stage that the plug-in runs, if any.
    pub stage: Option<(Stage, StageFn)>,
    /// Handler for requests that wait in the plug-in's stage.
    pub wait: Option<WaitFn>,
    /// Handler for periodic work.
    pub tick: Option<TickFn>,
    /// Handler for messages of peers.
    pub peer: Option<PeerFn>,
}

impl Plugin {
    /// Returns a plug-in without handlers, for struct update syntax.
    pub const fn named(name: &'static str) -> Self {
        Self {
            name,
            stage: None,
            wait: None,
            tick: None,
            peer: None,
        }
    }
}

inventory::collect!(Plugin);

/// Returns the registered plug-ins, sorted by name so that the order does not depend on the linker.
pub fn registered() -> Vec<&'static Plugin> {
    let mut all: Vec<&Plugin> = inventory::iter::<Plugin>.into_iter().collect();
    all.sort_by_key(|plugin| plugin.name);
    all
}
