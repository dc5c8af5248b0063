//! Charges of a customer as instances tell each other.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What a customer was charged by the sender of a message, since the start of its process.
///
/// Only late changes are told, so a message grows with the customers at work and not with all that
/// there are.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CustomerCharges {
    /// Customer.
    pub customer: SmolStr,
    /// Tokens in all.
    pub total: u64,
    /// Tokens before the changes that are told.
    pub before: u64,
}
