//! The routing decisions of an entry instance, without I/O and without a clock of their own.
//!
//! Every method that depends on time takes it as a [`std::time::Duration`] since the start of the
//! process. `docs/design/platform.md` says which decision is made where.

mod charged;
mod config;
mod event_stream;
mod membership;
mod over_limit;
mod poison;
mod quota;
mod resend_budget;
mod room;
mod running_total;
mod server;
mod server_pool;
mod stage_plan;
mod stale_rows;

pub use charged::Charged;
pub use config::{
    CallerLimits, Customer, Destination, EngineSpec, FleetConfig, Quota, Route, RouteKind, Service,
};
pub use event_stream::{EventSplitter, StreamEvent};
pub use membership::{Heard, Member, MemberStatus, Membership, ZoneDigest, report_interval};
pub use over_limit::OverLimit;
pub use poison::{Fingerprint, PoisonList};
pub use quota::{QuotaBook, QuotaDecision};
pub use resend_budget::ResendBudget;
pub use room::RoomPolicy;
pub use server::{EngineStage, Outcome, Server, ServerEntry, ServerKey, ServerState};
pub use server_pool::{Pick, ServerPool};
pub use stage_plan::{EngineProfile, StageChange, StagePlan};
pub use stale_rows::StaleRows;
