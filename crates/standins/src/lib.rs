//! Small stand-ins for the platform services and backend servers, with faults that can be injected.
//!
//! Each is available as a type that runs in the process of its caller and as a program of its own.
//! They serve the protocols of `docs/PLATFORM.md`. No part of this crate belongs to the product.

mod engine;
mod engine_memory;
mod engine_settings;
mod faults;
mod list;
mod objects;
mod program;
mod server;
mod service;
mod table;
mod table_state;
mod text;

pub use engine::EngineStandin;
pub use engine_settings::EngineSettings;
pub use faults::Faults;
pub use list::ListStandin;
pub use objects::ObjectStandin;
pub use program::{ProgramError, read_settings, run_until_killed};
pub use server::{Exchange, Server, ServerRequest};
pub use service::{ServiceRun, ServiceStandin};
pub use table::TableStandin;
pub use table_state::{TableCounts, TableState};
pub use text::{answer_length, answer_token, expected_answer, prompt_seed};
