//! The routing decisions of an entry instance, without I/O and without access to a clock.
//!
//! Every method that depends on time takes it as a [`std::time::Duration`] since the start of the
//! process. `docs/design/platform.md` describes which decision is made where.

mod allowance_share;
mod burst_pacer;
mod capacity_policy;
mod catch_up;
mod coldness;
mod config;
mod connection_history;
mod customer_charges;
mod evacuations;
mod event_stream;
mod forwarding;
mod freshness;
mod membership;
mod memory_ledger;
mod memory_limit;
mod named_limit;
mod output_estimates;
mod over_limit;
mod pace;
mod permit_ledger;
mod planned_stop;
mod prompt_part;
mod quota;
mod report_schedule;
mod requested_pause;
mod retry_after;
mod retry_budget;
mod role_planner;
mod run_times;
mod running_total;
mod server;
mod server_pool;
mod service_reach;
mod shared_loads;
mod stale_rows;
mod store_watch;
mod stream_journal;
mod stream_origins;
mod suspect_parts;
mod suspect_requests;
mod time_left;
mod version_notes;

pub use allowance_share::AllowanceShare;
pub use burst_pacer::BurstPacer;
pub use capacity_policy::CapacityPolicy;
pub use catch_up::CatchUp;
pub use coldness::{ColdChange, ColdSource, Coldness};
pub use config::{
    CallerLimits, Customer, Destination, EngineSpec, FleetConfig, Quota, Route, RouteKind, Service,
};
pub use connection_history::{CallIdentity, ConnectionHistory};
pub use customer_charges::CustomerCharges;
pub use evacuations::{EvacuationStatement, Evacuations};
pub use event_stream::{EventSplitter, StreamEvent, StreamFault, check_stream};
pub use forwarding::{Forwarding, ForwardingGroup};
pub use freshness::Freshness;
pub use membership::{
    Delegate, DigestOutcome, KEEPERS, LostServices, Member, MemberStatus, Membership,
    RelayCandidates, ReportOutcome, ZoneDigest, report_interval,
};
pub use memory_ledger::{HoldingId, HoldingUse, MemoryLedger, MemoryShortage, SMALL_BYTES};
pub use memory_limit::{
    MemoryLimit, MemorySource, SystemMemory, control_group_files, parse_control_group_limit,
};
pub use named_limit::{LimitChange, LimitStatement, NamedLimit};
pub use output_estimates::OutputEstimates;
pub use over_limit::OverLimit;
pub use permit_ledger::{COUNTED_BEFORE_LIMIT, LIMIT_NOTICE, PermitCall, PermitLedger};
pub use planned_stop::PlannedStop;
pub use prompt_part::PromptPart;
pub use quota::{QuotaDecision, QuotaLedger};
pub use report_schedule::{DueMessages, ReportSchedule};
pub use requested_pause::RequestedPause;
pub use retry_after::retry_after_text;
pub use retry_budget::{BudgetUse, RetryBudget};
pub use role_planner::{EngineProfile, RoleChange, RolePlanner};
pub use run_times::RunTimes;
pub use server::{CallOutcome, EngineRole, Server, ServerEntry, ServerKey, ServerState};
pub use server_pool::{PickParams, ROUTE_SPLITS, STREAM_ROUTE_PREFIX, ServerPool};
pub use service_reach::{Reach, ServiceReach};
pub use shared_loads::{
    LoadOrigin, LoadStatement, MAX_DIGEST_LOADS, MAX_SHARED_LOADS, SharedLoad, max_reported_loads,
};
pub use stale_rows::StaleRows;
pub use store_watch::StoreWatch;
pub use stream_journal::{JournalRow, StreamJournal};
pub use stream_origins::{
    MAX_CALLER_WAIT, MIN_STREAM_RETENTION, StreamId, StreamOrigin, StreamOrigins, retention_end,
};
pub use suspect_parts::{Crash, CrashId, PartEvidence, QuarantinedParts, SuspectParts};
pub use suspect_requests::{Fingerprint, SuspectRequests};
pub use time_left::time_left_ms;
pub use version_notes::{Listed, VersionNotes, Versions};
