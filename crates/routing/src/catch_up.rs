//! Decides when an instance reads rows from the store that a peer should have sent it; see
//! `docs/design/size.md`.

use std::time::Duration;

use crate::report_interval;

/// Time in which newer rows should arrive once they are due: for the way of the message, and the time that
/// the sender takes to batch and to apply rows.
const TRANSFER_TIME: Duration = Duration::from_millis(350);

/// Whether a copy of a table must be brought up to date from the store.
///
/// Peers report which rows they have, and the store watchers send the rows themselves, at once and in their
/// reports. In a large zone reports are rare, and others' may name a row long before the watchers' next ones
/// bring it. If all instances read it themselves then, each change costs as many calls as the zone has
/// instances.
#[derive(Clone, Copy, Debug, Default)]
pub struct CatchUp {
    /// When a peer first reported newer rows than the copy has.
    behind_since: Option<Duration>,
}

impl CatchUp {
    /// Whether the rows must be read now, given whether a peer has reported newer ones and the number of
    /// instances in the zone.
    pub fn is_due(&mut self, now: Duration, is_behind: bool, zone_size: usize) -> bool {
        if !is_behind {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        now >= since + report_interval(zone_size) + TRANSFER_TIME
    }

    /// Records that the rows are being read.
    pub fn restart(&mut self) {
        self.behind_since = None;
    }
}
