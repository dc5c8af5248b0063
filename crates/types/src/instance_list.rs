//! Entries of the platform's list of live and leaving machines; the list is updated with a delay.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{EngineRole, ModelId, ZoneId};

/// Kind of a listed machine.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListKind {
    /// An instance of the router; [`ListEntry::address`] is its peer address.
    Instance {
        /// Address at which callers connect.
        caller_address: SmolStr,
    },
    /// A model engine.
    Engine {
        /// Role of the engine.
        role: EngineRole,
        /// Model that the engine has loaded.
        model: ModelId,
    },
    /// A worker of a plain service.
    Service {
        /// Name of the service.
        service: SmolStr,
    },
}

/// Whether a listed machine may be given new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListState {
    /// The machine may be given new work.
    #[default]
    Live,
    /// The machine is about to be removed: it gets no new work, and running work may finish.
    Leaving,
}

/// One machine in the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListEntry {
    /// Unique name.
    pub id: SmolStr,
    /// Kind of the machine.
    pub kind: ListKind,
    /// IP address and port.
    pub address: SmolStr,
    /// Availability zone of the machine.
    pub zone: ZoneId,
    /// Whether the machine may be given new work.
    #[serde(default)]
    pub state: ListState,
}
