//! Backend servers that have started lately and tolerate few requests until they are warm.

use std::time::Duration;

/// Part of the rate that a cold server tolerates at which permits for it are granted.
///
/// While the delegate of a zone changes, two instances may grant permits in the same second: one up
/// to 1.5 times its rate (the rate and a burst of half a second), and the newer one, whose bucket
/// starts empty, its rate. Together that is 2.5 x 0.6 = 1.5 times what the server tolerates.
const COLD_RATE_RATIO: f64 = 0.6;

/// Longest time for which a server counts as cold by one statement, so that a mistake of a server
/// does not last for ever.
const MAX_COLD_TIME: Duration = Duration::from_secs(3600);

/// Where a statement that a server is cold came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdSource {
    /// The server's registration.
    Registration,
    /// An answer of the server.
    Answer,
}

/// A change of a server between cold and warm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdChange {
    /// The server is cold for a time, as a source has stated.
    Cold(Duration, ColdSource),
    /// The server is warm.
    Warm,
}

/// How long a backend server stays cold, by its latest statement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Coldness {
    until: Duration,
    /// When the latest statement was made at the earliest.
    stated_at: Duration,
    source: Option<ColdSource>,
    /// Version of the registration that was applied last.
    row: Option<u64>,
    /// Whether [`Coldness::take_change`] has returned that the server is cold.
    is_reported: bool,
}

impl Coldness {
    /// Whether the server is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Records the statement of a registration, the row with version `row`.
    ///
    /// Its age is not known, so the whole time counts from now on. The same row may be read again;
    /// that is no new statement.
    pub fn record_registration(&mut self, now: Duration, cold_for: Duration, row: u64) {
        if self.row.replace(row) == Some(row) {
            return;
        }
        self.until = now.saturating_add(cold_for.min(MAX_COLD_TIME));
        self.stated_at = now;
        self.source = Some(ColdSource::Registration);
    }

    /// Records the statement of an answer to a request that was sent at `sent_at`.
    ///
    /// It is not known which of two statements is the later one if the other was recorded meanwhile;
    /// the one that is cold for longer holds then.
    pub fn record_answer(&mut self, now: Duration, sent_at: Duration, cold_for: Duration) {
        let until = now.saturating_add(cold_for.min(MAX_COLD_TIME));
        if sent_at < self.stated_at && until <= self.until {
            return;
        }
        self.until = until;
        self.stated_at = self.stated_at.max(sent_at);
        self.source = Some(ColdSource::Answer);
    }

    /// Returns the limit of a cold server of a service whose cold servers tolerate `cold_rate`
    /// requests per second; `None` if the server is warm or the service has no such rate.
    pub fn rate_limit(&self, now: Duration, cold_rate: Option<f64>) -> Option<f64> {
        let rate = cold_rate.filter(|_| self.is_cold(now))?;
        Some(COLD_RATE_RATIO * rate)
    }

    /// Returns the change since the last call; `None` without one.
    pub fn take_change(&mut self, now: Duration) -> Option<ColdChange> {
        let is_cold = self.is_cold(now);
        if is_cold == std::mem::replace(&mut self.is_reported, is_cold) {
            return None;
        }
        let source = self.source.unwrap_or(ColdSource::Registration);
        Some(match is_cold {
            true => ColdChange::Cold(self.until.saturating_sub(now), source),
            false => ColdChange::Warm,
        })
    }
}
