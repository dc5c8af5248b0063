//! The plug-ins, one for each duty; each registers itself with the kernel.

pub(crate) mod authenticate;
pub(crate) mod claim;
pub(crate) mod claim_holder;
pub(crate) mod configuration;
pub(crate) mod dispatch;
pub(crate) mod edit;
pub(crate) mod finish;
pub(crate) mod lease;
pub(crate) mod limit;
pub(crate) mod limit_holder;
pub(crate) mod membership;
pub(crate) mod model_call;
pub(crate) mod operator;
pub(crate) mod plain_call;
pub(crate) mod queue;
pub(crate) mod scheduling;
pub(crate) mod slot_moves;
pub(crate) mod where_to;
