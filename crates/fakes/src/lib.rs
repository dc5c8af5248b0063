//! Fakes of everything around the decision core, on a virtual clock.
//!
//! A [`World`] runs several cores against one fake table, list, engines and workers. All random
//! choices derive from a seed and nothing reads a real clock, so a run gives the same results on
//! every machine.

mod audit;
mod engine;
mod instance;
mod invariants;
mod naive;
mod network;
mod outcome;
mod platform;
mod script;
mod setup;
mod worker;
mod world;
mod world_checks;
mod world_engines;
mod world_platform;

pub use audit::{LimitAudit, Overrun};
pub use engine::{EngineFaults, EngineSpec, FakeEngine};
pub use instance::{FakeInstance, Router};
pub use invariants::invariant_violations;
pub use naive::NaiveRouter;
pub use network::Network;
pub use outcome::{End, Outcome};
pub use platform::TableFaults;
pub use script::Script;
pub use setup::{CustomerSetup, Deployment};
pub use worker::FakeWorker;
pub use world::{OnPeerMessage, RouterKind, World};
