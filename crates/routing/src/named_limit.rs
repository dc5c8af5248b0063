//! The request limit that a backend server names in its answers.

use std::time::Duration;

/// The request limit that a backend server names in its answers.
///
/// Answers arrive on many connections and out of order, and instances tell each other what they
/// heard. So every statement has a time, that at which its request was sent, and a later one
/// replaces an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NamedLimit {
    /// Requests per second from all instances together; `None` without a limit.
    rate: Option<f64>,
    /// Time of the statement by the store's clock, in milliseconds.
    stated_ms: u64,
    /// When an answer with a limit last reached this instance.
    heard_at: Option<Duration>,
}

/// What a backend server says of its limit, as instances tell each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// Requests per second from all instances together; `None` if the limit was lifted.
    pub rate: Option<f64>,
    /// When the request that was answered with this was sent, by the store's clock in milliseconds.
    pub stated_ms: u64,
}

/// How a statement changes whether a server is limited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// The server had no limit before.
    Named,
    /// The server has no limit any more.
    Lifted,
}

impl NamedLimit {
    /// Returns the limit in requests per second; `None` without a limit.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Returns the last statement; `None` if the server never named a limit.
    pub fn statement(&self) -> Option<LimitStatement> {
        let (rate, stated_ms) = (self.rate, self.stated_ms);
        (stated_ms > 0).then_some(LimitStatement { rate, stated_ms })
    }

    /// Records an answer of the server to a request that was sent at `sent_at`.
    ///
    /// An answer without a limit lifts it only if its request was sent after the last answer with
    /// one had arrived: requests that are on the way at the same time may be answered in any order.
    pub fn record_answer(
        &mut self,
        now: Duration,
        sent_at: Duration,
        statement: LimitStatement,
    ) -> Option<LimitChange> {
        if statement.rate.is_some() {
            self.heard_at = Some(now);
        } else if self.rate.is_none() || self.heard_at.is_some_and(|at| sent_at < at) {
            return None;
        }
        self.merge(statement)
    }

    /// Merges a statement that another instance has heard.
    pub fn merge(&mut self, statement: LimitStatement) -> Option<LimitChange> {
        if statement.stated_ms < self.stated_ms {
            return None;
        }
        let was_limited = self.rate.is_some();
        self.rate = statement.rate;
        self.stated_ms = statement.stated_ms;
        match (was_limited, statement.rate.is_some()) {
            (false, true) => Some(LimitChange::Named),
            (true, false) => Some(LimitChange::Lifted),
            _ => None,
        }
    }
}
