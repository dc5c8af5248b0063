//! The pause that a backend server asks of an instance.

use std::time::Duration;

/// Time after which a request that ends a pause no longer keeps others from the server.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause that a backend server asks of this instance when it refuses a request.
///
/// During the pause the server gets nothing from this instance. Then it gets one request, and all
/// others once that one has been answered without a further pause.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestedPause {
    until: Duration,
    needs_probe: bool,
    probe_sent_at: Option<Duration>,
}

impl RequestedPause {
    /// Whether the pause lasts.
    pub fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns the time until the server may get requests again; `None` if it may now.
    pub fn wait(&self, now: Duration) -> Option<Duration> {
        let probe_ends = self.probe_sent_at.map(|at| at + PROBE_TIMEOUT);
        let until = match probe_ends.filter(|_| self.needs_probe) {
            Some(probe_ends) => self.until.max(probe_ends),
            None => self.until,
        };
        until.checked_sub(now).filter(|wait| !wait.is_zero())
    }

    /// Records a send to the server.
    pub fn record_send(&mut self, now: Duration) {
        if self.needs_probe && !self.is_active(now) {
            self.probe_sent_at = Some(now);
        }
    }

    /// Starts a pause that lasts until `until`, or extends the present one.
    pub fn start(&mut self, until: Duration) {
        self.until = self.until.max(until);
        self.needs_probe = true;
        self.probe_sent_at = None;
    }

    /// Records an answer without a pause to a request that was sent at `sent_at`; returns whether
    /// that ends a pause.
    pub fn record_answer(&mut self, sent_at: Duration) -> bool {
        let ends = self.needs_probe && sent_at >= self.until;
        if ends {
            *self = Self::default();
        }
        ends
    }
}
