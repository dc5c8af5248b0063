//! The times of a planned stop, and which requests may still begin.

use std::time::Duration;

/// Time after the begin of a stop during which new connections are accepted, since callers use this
/// instance until they resolve addresses again. After that a refused connection makes them use another
/// instance at once.
const ACCEPT_PERIOD: Duration = Duration::from_millis(2600);

/// Time allowed for requests that are already on their way on an open connection.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(250);

/// Margin before the platform's kill at which the process exits even if streams are in flight.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Time for answers to be written before the exit.
const WRITE_TIME: Duration = Duration::from_millis(250);

/// A planned stop of this instance. Times are on its clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedStop {
    began: Duration,
    exit_by: Duration,
}

impl PlannedStop {
    /// Creates the schedule of a stop that begins now; the process is killed after the grace period.
    pub fn new(now: Duration, grace_period: Duration) -> Self {
        Self {
            began: now,
            exit_by: now + grace_period.saturating_sub(KILL_MARGIN),
        }
    }

    /// Returns the time from which no new connections are accepted.
    pub fn stop_accepting_at(&self) -> Duration {
        self.exit_by.min(self.began + ACCEPT_PERIOD)
    }

    /// Returns the time at which connections are closed after their current request.
    pub fn close_connections_at(&self) -> Duration {
        self.answer_by()
            .min(self.stop_accepting_at() + LAST_REQUEST_WAIT)
    }

    /// Returns the time by which all requests are answered, but for streams that have begun.
    pub fn answer_by(&self) -> Duration {
        self.began.max(self.exit_by.saturating_sub(WRITE_TIME))
    }

    /// Returns the time by which the process exits.
    pub fn exit_by(&self) -> Duration {
        self.exit_by
    }

    /// Returns the time until which a request may begin that has a deadline of its own and is expected to
    /// take a time; `None` if that is not known, so that it may take until its deadline.
    pub fn begin_by(&self, deadline: Duration, expected: Option<Duration>) -> Duration {
        match expected {
            _ if deadline <= self.answer_by() => deadline,
            Some(expected) => self.answer_by().saturating_sub(expected),
            None => Duration::ZERO,
        }
    }

    /// Returns the schedule of a process that exits now: no further request may begin.
    pub fn ended_at(self, now: Duration) -> Self {
        Self {
            exit_by: self.exit_by.min(now),
            ..self
        }
    }
}
