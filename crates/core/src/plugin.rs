//! Registration of plug-ins with the kernel; see `docs/ARCHITECTURE.md`.

use jacinthlever_types::{InstanceId, PeerMsg, Verdict};

use crate::{Core, ReqKey};

/// The stages of a request, in the order in which they run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Identifies the customer and checks whether it may use the route.
    Authenticate,
    /// Charges the customer's limit.
    Limit,
    /// Records the idempotency key.
    Idempotency,
    /// Waits for the reservation of engines.
    Queue,
    /// Runs the request on backend servers.
    Dispatch,
}

impl Stage {
    /// Returns the next stage, or `None` for the last one.
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

/// What the kernel does with a request after a stage function has run.
#[derive(Clone, Debug, PartialEq)]
pub enum Flow {
    /// Run the next stage.
    Next,
    /// Keep the request in its stage until an event arrives.
    Wait,
    /// Nothing, as the request has been answered.
    Done,
    /// End the request with this verdict.
    Refuse(Verdict),
}

/// Runs a stage for a request that enters it.
pub type StageFn = fn(&mut Core, ReqKey) -> Flow;

/// Checks, at every tick, a request that waits in the stage of the plug-in.
pub type WaitFn = fn(&mut Core, ReqKey) -> Flow;

/// Does periodic work at every tick.
pub type TickFn = fn(&mut Core);

/// Handles a message from a peer, or returns it for the next plug-in.
pub type PeerFn = fn(&mut Core, &InstanceId, PeerMsg) -> Option<PeerMsg>;

/// A part of the router, with the functions that the kernel calls.
pub struct Plugin {
    /// Unique name, by which the plug-ins are ordered.
    ///
    /// Ticks run in this order, so some plug-ins keep an older name than that of their module.
    pub name: &'static str,
    /// The stage that the plug-in runs, and its function.
    pub stage: Option<(Stage, StageFn)>,
    /// Called at every tick for each request that waits in the stage.
    pub wait: Option<WaitFn>,
    /// Called at every tick.
    pub tick: Option<TickFn>,
    /// Called for messages from peers.
    pub peer: Option<PeerFn>,
}

impl Plugin {
    /// Creates a plug-in without any functions, for struct update syntax.
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

/// Returns the registered plug-ins sorted by name.
///
/// The order in which `inventory` yields them depends on the linker.
pub fn registered() -> Vec<&'static Plugin> {
    let mut all: Vec<&Plugin> = inventory::iter::<Plugin>.into_iter().collect();
    all.sort_by_key(|plugin| plugin.name);
    all
}
