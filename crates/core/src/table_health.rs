//! Whether the table service and enough peers are reachable; see `docs/design/configuration.md`.

use std::time::Duration;

/// Silence of table and peers after which keyed routes close, so that a key withdrawn elsewhere
/// stops within the four seconds that an edit may take.
pub const CUT_OFF_AFTER: Duration = Duration::from_millis(2_500);

/// Silence of the table that is logged.
const REPORT_AFTER: Duration = Duration::from_secs(3);

/// A change worth a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// The table has been silent for a while.
    TableLost(u64),
    /// The table answers again after a silence.
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
    /// Takes in an answer; returns how long the table was silent, if that was reported.
    pub fn answered(&mut self, now: Duration) -> Option<HealthChange> {
        let silence = now.saturating_sub(self.last_answer).as_secs();
        self.last_answer = now;
        std::mem::take(&mut self.reported).then_some(HealthChange::TableRecovered(silence))
    }

    /// Returns the time since the last answer.
    pub fn time_since_answer(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_answer)
    }

    /// Judges the silence; returns what has changed.
    pub fn update(&mut self, reaches_majority: bool, now: Duration) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        let silence = self.time_since_answer(now);
        if silence >= REPORT_AFTER && !self.reported {
            self.reported = true;
            changes.push(HealthChange::TableLost(silence.as_secs()));
        }
        let cut_off = silence >= CUT_OFF_AFTER && !reaches_majority;
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
