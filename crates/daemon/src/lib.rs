//! The jacinthlever daemon: threads around the decision core, joined by bounded rings.
//!
//! [`Daemon::spawn`] starts an instance from checked [`Settings`]; `docs/ARCHITECTURE.md` lists the
//! threads and the rings between them.

mod backend;
mod callers;
mod clock;
mod completion;
mod connection_guard;
mod core_duty;
mod daemon;
mod in_flight;
mod log_duty;
mod metrics;
mod operators;
mod peers;
mod platform;
mod responses;
mod settings;
mod stream_writer;

pub use daemon::{Daemon, StartError};
pub use settings::{SettingError, Settings};
