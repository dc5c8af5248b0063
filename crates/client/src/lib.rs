//! Blocking clients of the platform services, the backend servers and the operators' API.
//!
//! Every call has time-outs for connecting and for reading. `docs/PLATFORM.md` describes the
//! services.

mod engine;
mod http;
mod operator;
mod platform;
mod service;

pub use engine::{DecodeStream, EngineClient};
pub use http::{HttpClient, HttpError, Timeouts};
pub use operator::{OperatorClient, OperatorError};
pub use platform::{ListChanges, PlatformClient};
pub use service::{REQUEST_ID_HEADER, ServiceCall, ServiceClient};
