//! Encodes the time that is left for a request or a record, for messages.

use std::time::Duration;

/// Returns the time that is left, in milliseconds, for a message to a server or another instance.
///
/// It is rounded up, so that the receiver does not time out before the sender.
pub fn time_left_ms(left: Duration) -> u64 {
    left.as_nanos().div_ceil(1_000_000) as u64
}
