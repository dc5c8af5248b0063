//! The jacinthlever daemon: threads around the decision core, connected by bounded queues.
//!
//! [`Daemon::spawn`] starts an instance from validated [`Settings`]; `docs/ARCHITECTURE.md` lists
//! the threads and the queues between them.

mod backend_calls;
mod caller_server;
mod clock;
mod completion;
mod connection_guard;
mod core_thread;
mod daemon;
mod event_log;
mod in_flight;
mod metrics;
mod operator_server;
mod peer_links;
mod platform_calls;
mod responses;
mod settings;
mod stream_writer;

pub use daemon::{Daemon, StartError};
pub use settings::{SettingError, Settings};
