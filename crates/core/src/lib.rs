//! The deterministic decision core of jacinthlever: events and a time in, actions out.
//!
//! Start at [`Core`]; `docs/ARCHITECTURE.md` shows the way of a request through the [`Stage`]s.

mod action;
mod bucket;
mod cell;
mod cell_layout;
mod claims;
mod config;
mod directory;
mod engine_state;
mod event;
mod fair_queue;
mod keeper;
mod kernel;
mod lease;
mod limiter;
mod log_event;
mod members;
mod pace;
mod plugin;
mod plugins;
mod prefix_cache;
mod rendezvous;
mod request;
mod retry_budget;
mod schedule;
mod settings;
mod slots;
mod suspects;
mod table_health;
mod ticket;
mod wards;
mod workers;

pub use action::{Action, Call, OperatorReply, PlatformOp, Reply, Sample};
pub use bucket::{Bucket, BucketRecord, Pending};
pub use cell::{Cell, HoldKey, PAGE_TOKENS, Told};
pub use cell_layout::{CELL_ENGINES, CellLayout};
pub use claims::{ClaimBook, ClaimKey, ClaimWrite};
pub use config::ConfigState;
pub use directory::Directory;
pub use engine_state::EngineState;
pub use event::{
    CallFault, CallId, CallResult, CallerId, Event, HARMLESS_TOKENS, Inbound, ListDelta, OpId,
    OperatorId, OperatorRequest, PlainResponse, PlatformReply, RowChange, Target, Unsettled,
};
pub use fair_queue::{BANKED_TOKENS, FairQueue, URGENT_LEAD_TOKENS};
pub use keeper::Keeper;
pub use kernel::Core;
pub use lease::{Lease, LeaseRecord, Renewed};
pub use limiter::Limiter;
pub use log_event::{LogEvent, Severity, fault_text};
pub use members::Members;
pub use pace::Pace;
pub use plugin::{Flow, Plugin, Stage, registered};
pub use prefix_cache::PrefixCache;
pub use request::{ReqKey, Request};
pub use retry_budget::RetryBudget;
pub use schedule::{Schedule, Taking};
pub use settings::CoreSettings;
pub use slots::{SLOT_COUNT, SlotId, SlotMap, SlotRecord};
pub use suspects::{MAX_CRASHES, Suspects};
pub use table_health::TableHealth;
pub use ticket::Ticket;
pub use wards::Wards;
pub use workers::Workers;
