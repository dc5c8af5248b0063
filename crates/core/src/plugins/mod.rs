//! The plug-ins, one for each responsibility, and the functions that they share.
//!
//! Each plug-in registers itself with the kernel.

pub(crate) mod authenticate;
pub(crate) mod caller_addresses;
pub(crate) mod configuration;
pub(crate) mod dispatch;
pub(crate) mod edit;
pub(crate) mod finish;
pub(crate) mod idempotency;
pub(crate) mod idempotency_owner;
pub(crate) mod lease;
pub(crate) mod limit;
pub(crate) mod limit_owner;
pub(crate) mod membership;
pub(crate) mod model_call;
pub(crate) mod operator;
pub(crate) mod partition_moves;
pub(crate) mod plain_call;
pub(crate) mod queue;
pub(crate) mod scheduling;
