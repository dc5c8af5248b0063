//! Observations of the callers in the load.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

/// Upper bound of the latency histograms, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Counters of one customer.
#[derive(Clone, Debug, Default)]
pub struct CustomerTally {
    /// Number of requests sent, without retries on other instances.
    pub sent: u64,
    /// Number of requests answered completely.
    pub answered: u64,
    /// Number of tokens received.
    pub tokens: u64,
    /// Number of refusals by error code.
    pub refused: BTreeMap<String, u64>,
}

/// Observations of all threads so far.
#[derive(Debug)]
pub struct Counts {
    /// Counters by customer; those of open routes have the empty name.
    pub customers: BTreeMap<String, CustomerTally>,
    /// Descriptions of answers that were not the expected text.
    pub wrong_answers: Vec<String>,
    /// Descriptions of streams that were disconnected before their end.
    pub truncated_streams: Vec<String>,
    /// Bodies of the bookings that were confirmed to a caller.
    pub confirmed_bookings: Vec<String>,
    /// Time to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Mean time between the tokens of an answer, in microseconds.
    pub between_tokens: Histogram<u64>,
    /// Times at which answers to the revoked key ended, since the start of the load.
    pub revoked_key_answers: Vec<Duration>,
    /// Answers to the customer with the edited limit: end time since the start of the load, and
    /// tokens of prompt and answer.
    pub limited_answers: Vec<(Duration, u64)>,
}

impl Default for Counts {
    fn default() -> Self {
        let histogram = || {
            let made = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3);
            made.unwrap_or_else(|error| unreachable!("the bounds are constant: {error}"))
        };
        Self {
            customers: BTreeMap::new(),
            wrong_answers: Vec::new(),
            truncated_streams: Vec::new(),
            confirmed_bookings: Vec::new(),
            first_token: histogram(),
            between_tokens: histogram(),
            revoked_key_answers: Vec::new(),
            limited_answers: Vec::new(),
        }
    }
}

impl Counts {
    /// Returns the counters of a customer, which are created if needed.
    pub fn customer(&mut self, name: &str) -> &mut CustomerTally {
        self.customers.entry(name.into()).or_default()
    }

    /// Records the time to the first token and the mean time between tokens of an answer.
    pub fn record_times(&mut self, first: Duration, between: Option<Duration>) {
        self.first_token.saturating_record(first.as_micros() as u64);
        if let Some(between) = between {
            self.between_tokens
                .saturating_record(between.as_micros() as u64);
        }
    }
}

/// Observations shared by the threads of the load.
#[derive(Debug, Default)]
pub struct Tally(Mutex<Counts>);

impl Tally {
    /// Locks and returns the observations.
    pub fn counts(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
