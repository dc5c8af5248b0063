//! Formats the time after which a caller may come back.

use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};

/// Formats a time as the value of `Retry-After`, in seconds with two decimals.
///
/// It is rounded up: a caller that keeps to a shorter time comes back while it is still refused.
pub fn retry_after_text(after: Duration) -> SmolStr {
    let hundredths = after.as_micros().div_ceil(10_000);
    format_smolstr!("{}.{:02}", hundredths / 100, hundredths % 100)
}
