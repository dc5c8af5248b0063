//! What the callers of the demo have seen.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

/// Largest time that a histogram holds, in microseconds.
const LONGEST_MICROS: u64 = 60_000_000;

/// Counts of one customer.
#[derive(Clone, Debug, Default)]
pub struct CustomerTally {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered in full.
    pub answered: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
}

/// Everything seen so far.
#[derive(Debug)]
pub struct Counts {
    /// By customer; the empty name stands for open routes.
    pub customers: BTreeMap<String, CustomerTally>,
    /// Answers that were not the expected text.
    pub wrong: Vec<String>,
    /// Streams that ended without an end.
    pub cut: Vec<String>,
    /// Bookings confirmed to a caller, by their body.
    pub confirmed: Vec<String>,
    /// Time to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Mean time between tokens, in microseconds.
    pub between: Histogram<u64>,
    /// When answers of the withdrawn key ended, since the load began.
    pub withdrawn_answers: Vec<Duration>,
    /// Answers of the limited customer: end and tokens of prompt and answer.
    pub limited: Vec<(Duration, u64)>,
}

impl Default for Counts {
    fn default() -> Self {
        let histogram = || {
            let made = Histogram::new_with_bounds(1, LONGEST_MICROS, 3);
            made.unwrap_or_else(|error| unreachable!("the bounds are constant: {error}"))
        };
        Self {
            customers: BTreeMap::new(),
            wrong: Vec::new(),
            cut: Vec::new(),
            confirmed: Vec::new(),
            first_token: histogram(),
            between: histogram(),
            withdrawn_answers: Vec::new(),
            limited: Vec::new(),
        }
    }
}

impl Counts {
    /// Returns the counts of a customer.
    pub fn customer(&mut self, name: &str) -> &mut CustomerTally {
        self.customers.entry(name.into()).or_default()
    }

    /// Notes the times of an answer.
    pub fn times(&mut self, first: Duration, between: Option<Duration>) {
        self.first_token.saturating_record(first.as_micros() as u64);
        if let Some(between) = between {
            self.between.saturating_record(between.as_micros() as u64);
        }
    }
}

/// Counts shared by the threads of the load.
#[derive(Debug, Default)]
pub struct Tally(Mutex<Counts>);

impl Tally {
    /// Returns the counts.
    pub fn counts(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
