//! The parts of the fault soak that do not depend on a wire format; see `docs/design/soak.md`.
//!
//! A [`FaultPlan`] is generated from a seed. A [`Proxy`] impairs the connections that pass through
//! it. A [`Ledger`] records the requests and outcomes of callers and the runs of backend servers,
//! and checks the guarantees on which callers rely. The test that uses this crate starts the
//! programs and implements their wire formats.

mod cut_off;
mod evacuation;
mod fault;
mod fault_plan;
mod ledger;
mod limit_period;
mod proxy;
mod removal;
mod restraint;
mod retry_limit;
mod server_cut;

pub use cut_off::{CutOff, InjectedFault};
pub use evacuation::{CountedArrivals, Evacuation, ZoneArrival};
pub use fault::{Fault, LinkFault, ServerFault, StoreFault};
pub use fault_plan::{CUT_FORMS, FaultPlan, FleetSize, PlannedFault};
pub use ledger::{CallerOutcome, Ledger, Limit, Run, SentRequest};
pub use limit_period::LimitPeriod;
pub use proxy::{Impairment, Proxy};
pub use removal::Removal;
pub use restraint::{Receipt, Restraint, RestraintPeriod};
pub use retry_limit::{Arrival, RetryLimit};
pub use server_cut::{CountedAttempts, FirstAttempt, ServerCut};
