//! A complete fleet over loopback in one process, for the demo and the tests.
//!
//! The stand-ins and instances run the same code as in separate processes and communicate over TCP.
//! They only share a process.

mod caller;
mod declarations;
mod fleet;
mod loopback;
mod spec;

pub use caller::{Answer, Caller, PlainAnswer, Refusal, Stream, StreamEnd};
pub use declarations::{CustomerSpec, declarations};
pub use fleet::{Fleet, FleetError};
pub use loopback::{Loopback, Port};
pub use spec::{EngineSpec, FleetSpec, InstanceSpec, WorkerSpec};
