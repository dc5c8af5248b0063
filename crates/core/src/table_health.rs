//! Reachability of the table service and of enough peers; see `docs/design/configuration.md`.

use std::time::Duration;

/// Time without an answer from the table after which keyed routes close, unless a majority of peers
/// is reachable.
///
/// It makes a key that was revoked elsewhere stop working here within the four seconds that an edit
/// may take.
pub const CUT_OFF_AFTER: Duration = Duration::from_millis(2_500);

/// Time without an answer from the table after which this is logged.
const REPORT_AFTER: Duration = Duration::from_secs(3);

/// A change of reachability, which is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// The table has not answered for this number of seconds.
    TableLost(u64),
    /// The table answers again, after this number of seconds.
    TableRecovered(u64),
    /// Keyed routes close.
    CutOff,
    /// Keyed routes open again.
    CutOffEnded,
}

/// Reachability of the table service as one instance sees it.
#[derive(Debug, Default)]
pub struct TableHealth {
    last_answer: Duration,
    reported: bool,
    /// Whether keyed routes are closed.
    pub cut_off: bool,
}

impl TableHealth {
    /// Records an answer; returns the recovery if the outage was reported.
    pub fn answered(&mut self, now: Duration) -> Option<HealthChange> {
        let elapsed = now.saturating_sub(self.last_answer).as_secs();
        self.last_answer = now;
        std::mem::take(&mut self.reported).then_some(HealthChange::TableRecovered(elapsed))
    }

    /// Returns the time since the last answer.
    pub fn time_since_answer(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_answer)
    }

    /// Updates the state; returns what has changed.
    pub fn update(&mut self, reaches_majority: bool, now: Duration) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        let elapsed = self.time_since_answer(now);
        if elapsed >= REPORT_AFTER && !self.reported {
            self.reported = true;
            changes.push(HealthChange::TableLost(elapsed.as_secs()));
        }
        let cut_off = elapsed >= CUT_OFF_AFTER && !reaches_majority;
        if cut_off != self.cut_off {
            self.cut_off = cut_off;
            changes.push(if cut_off {
                HealthChange::CutOff
            } else {
                HealthChange::CutOffEnded
            });
        }
        changes
    }
}
