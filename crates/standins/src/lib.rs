//! Small stand-ins for the platform services and backend servers, with faults to turn on.
//!
//! Each is a library type that runs in the caller's process and a program that runs alone. They
//! serve the protocols of `docs/PLATFORM.md` and nothing of them is part of the product.

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
