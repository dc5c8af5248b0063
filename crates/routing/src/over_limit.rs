//! Why a request is over its customer's limit.

use std::time::Duration;

use crate::Quota;

/// Why a request is over its customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverLimit {
    /// When enough tokens will have come back.
    pub retry_after: Duration,
    /// The limit.
    pub quota: Quota,
    /// Tokens left in the bucket beside those set aside; below zero if peers have charged more
    /// than it held.
    pub level: f64,
    /// Part of the fleet that hears each other, and so of the rate by which the bucket fills.
    pub fleet_share: f64,
}
