//! Time that is left, as it is told to others.

use std::time::Duration;

/// Returns the time that is left in milliseconds, as it is told to a server or another instance.
///
/// It is rounded up: the one that is told the time must not end before the one that tells it.
pub fn time_left_ms(left: Duration) -> u64 {
    left.as_nanos().div_ceil(1_000_000) as u64
}
