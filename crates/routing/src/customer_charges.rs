//! The charges of a customer as instances report them to each other.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The tokens that the sender of a message has charged to a customer since its process started.
///
/// Only customers with recent changes are reported, so the size of a message depends on the number
/// of active customers and not on the number of all customers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CustomerCharges {
    /// Name of the customer.
    pub customer: SmolStr,
    /// Tokens charged since the start of the sender's process.
    pub total: u64,
    /// Value of `total` before the recent changes.
    pub before: u64,
}
