//! A whole fleet over loopback in one process, for the demo and the tests.
//!
//! The stand-ins and the daemon code are the same as in processes of their own, and they talk over
//! real TCP; only the process is shared.

mod caller;
mod declarations;
mod fleet;
mod loopback;
mod spec;

pub use caller::{Answer, Caller, PlainAnswer, Refusal, Stream, StreamEnd};
pub use declarations::{CustomerSpec, declarations};
pub use fleet::{Fleet, FleetError};
pub use loopback::{Loopback, Port};
pub use spec::{EngineSpec, FleetSpec, InstanceSpec, ServiceSpec};
