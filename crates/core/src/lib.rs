//! The deterministic decision core of jacinthlever, which turns events into actions.
//!
//! [`Core`] is the entry point; `docs/ARCHITECTURE.md` describes how a request passes through the
//! [`Stage`]s.

mod action;
mod bucket;
mod config;
mod directory;
mod engine_shard;
mod engine_state;
mod event;
mod fair_queue;
mod idempotency_ledger;
mod idempotency_token;
mod kernel;
mod lease;
mod limiter;
mod log_event;
mod members;
mod partitions;
mod peer_leases;
mod periodic_tasks;
mod plugin;
mod plugins;
mod prefix_cache;
mod rendezvous;
mod request;
mod retry_budget;
mod scheduler;
mod settings;
mod shard_layout;
mod suspect_requests;
mod table_health;
mod token_rate;
mod workers;

pub use action::{Action, Call, OperatorReply, PlatformOp, Reply, Sample};
pub use bucket::{Bucket, BucketRecord, PendingCharge};
pub use config::ConfigState;
pub use directory::Directory;
pub use engine_shard::{EngineShard, PAGE_TOKENS, ReservationKey, ReservationNotice};
pub use engine_state::EngineState;
pub use event::{
    CLEARED_AFTER_TOKENS, CallFault, CallId, CallResult, CallerId, Event, Inbound, ListDelta, OpId,
    OperatorId, OperatorRequest, PlainResponse, PlatformReply, RowChange, Target, Unsettled,
};
pub use fair_queue::{FairQueue, MAX_CREDIT_TOKENS, URGENT_LEAD_TOKENS};
pub use idempotency_ledger::{IdempotencyLedger, IdempotencyRecordKey, IdempotencyWrite};
pub use idempotency_token::IdempotencyToken;
pub use kernel::Core;
pub use lease::{Lease, LeaseRecord, RenewalOutcome};
pub use limiter::Limiter;
pub use log_event::{LogEvent, Severity, fault_text};
pub use members::Members;
pub use partitions::{PARTITION_COUNT, PartitionId, PartitionMap, PartitionRecord};
pub use peer_leases::PeerLeases;
pub use periodic_tasks::{Acquisition, PeriodicTasks};
pub use plugin::{Flow, Plugin, Stage, registered};
pub use prefix_cache::PrefixCache;
pub use request::{ReqKey, Request};
pub use retry_budget::RetryBudget;
pub use scheduler::Scheduler;
pub use settings::CoreSettings;
pub use shard_layout::{ENGINES_PER_SHARD, ShardLayout};
pub use suspect_requests::{MAX_CRASHES, SuspectRequests};
pub use table_health::TableHealth;
pub use token_rate::TokenRate;
pub use workers::Workers;
