//! How parts of the router register with the kernel; see `docs/ARCHITECTURE.md`.

use jacinthlever_types::{InstanceId, PeerMsg, Verdict};

use crate::{Core, ReqKey};

/// The stages of a request, in their order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Whose request it is, and whether the route may be used.
    Authenticate,
    /// Charge the customer's limit.
    Limit,
    /// Claim the idempotency key.
    Idempotency,
    /// Wait for engines.
    Queue,
    /// Run on backend servers.
    Dispatch,
}

impl Stage {
    /// Returns the stage that follows.
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

/// What a stage does with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Flow {
    /// Go on with the next stage.
    Next,
    /// Wait for an event.
    Wait,
    /// The request has been answered.
    Done,
    /// Give the request up.
    Refuse(Verdict),
}

/// Runs a stage for a request.
pub type StageFn = fn(&mut Core, ReqKey) -> Flow;

/// Looks at a waiting request as time passes.
pub type WaitFn = fn(&mut Core, ReqKey) -> Flow;

/// Does periodic work.
pub type TickFn = fn(&mut Core);

/// Takes a message, or gives it back for the next plug-in.
pub type PeerFn = fn(&mut Core, &InstanceId, PeerMsg) -> Option<PeerMsg>;

/// A part of the router.
pub struct Plugin {
    /// Name, which also orders the plug-ins.
    pub name: &'static str,
    /// Stage that it runs.
    pub stage: Option<(Stage, StageFn)>,
    /// What it does with requests that wait in its stage.
    pub wait: Option<WaitFn>,
    /// Periodic work.
    pub tick: Option<TickFn>,
    /// Messages that it takes.
    pub peer: Option<PeerFn>,
}

impl Plugin {
    /// Makes a plug-in that does nothing yet, for struct update syntax.
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

/// Returns the registered plug-ins in the order of their names, which no linker changes.
pub fn registered() -> Vec<&'static Plugin> {
    let mut all: Vec<&Plugin> = inventory::iter::<Plugin>.into_iter().collect();
    all.sort_by_key(|plugin| plugin.name);
    all
}
