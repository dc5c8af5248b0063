//! Parts of the fault soak that know nothing of a wire format; see `docs/design/soak.md`.
//!
//! A [`Plan`] draws faults from a seed. A [`Proxy`] stands on a connection and harms it. A
//! [`Ledger`] keeps what callers asked and got and what backend servers ran, and checks the
//! promises. The programs are started, and their dialect is spoken, by the test that uses these.

mod fault;
mod ledger;
mod plan;
mod proxy;

pub use fault::{Fault, LinkFault, ServerFault, StoreFault};
pub use ledger::{Answered, Ledger, Limit, Run, Sent};
pub use plan::{Fleet, Plan, Strike};
pub use proxy::{Harm, Proxy};
