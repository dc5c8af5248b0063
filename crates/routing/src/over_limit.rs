//! Details of a request that exceeds its customer's limit.

use std::time::Duration;

use crate::Quota;

/// Details of a request that exceeds its customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverLimit {
    /// Time until the bucket will have refilled enough for the request.
    pub retry_after: Duration,
    /// Limit of the customer.
    pub quota: Quota,
    /// Tokens in the bucket, less the pending tokens; negative if peers have charged more than the
    /// bucket contained.
    pub level: f64,
    /// Reachable fraction of the fleet, by which the refill rate was multiplied.
    pub fleet_share: f64,
}
