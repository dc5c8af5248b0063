//! Entries of the platform's lagging list of live and leaving machines.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{EngineRole, ModelId, ZoneId};

/// What an entry of the list is.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListKind {
    /// An instance of the router; `address` is its peer address.
    Instance {
        /// Address for callers.
        caller_address: SmolStr,
    },
    /// A model engine.
    Engine {
        /// What the engine does.
        role: EngineRole,
        /// The model that it has loaded.
        model: ModelId,
    },
    /// A worker of a plain service.
    Service {
        /// Name of the service.
        service: SmolStr,
    },
}

/// Whether a listed machine may get new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListState {
    /// In service.
    #[default]
    Live,
    /// On its way out; running work may finish.
    Leaving,
}

/// One machine of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListEntry {
    /// Unique name.
    pub id: SmolStr,
    /// What it is.
    pub kind: ListKind,
    /// IP address and port.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether it may get new work.
    #[serde(default)]
    pub state: ListState,
}
