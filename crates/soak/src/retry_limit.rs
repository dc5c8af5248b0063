//! The limit on repeated arrivals of requests at the servers of a service, and the check that it holds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

/// An arrival of a request at a server, whatever the server did with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it arrived.
    pub at: Duration,
    /// The request.
    pub request: SmolStr,
    /// Whether it was a prefill that the server carried out.
    pub is_complete_prefill: bool,
}

/// The limit on repeats, which holds for all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Repeats that are allowed per request.
    pub ratio: f64,
    /// Repeats that are allowed in a window in addition.
    pub allowance: f64,
    /// Length of the window over which repeats are counted.
    pub window: Duration,
}

impl RetryLimit {
    /// Returns when requests arrived that had arrived before. The first complete prefill of a request is
    /// no repeat, wherever it comes in the order.
    pub fn repeats(arrivals: &[Arrival]) -> Vec<Duration> {
        let mut ordered: Vec<&Arrival> = arrivals.iter().collect();
        ordered.sort_by_key(|arrival| arrival.at);
        let (mut prefilled, mut arrived) = (BTreeSet::new(), BTreeSet::new());
        ordered
            .into_iter()
            .filter(|arrival| {
                let is_free = arrival.is_complete_prefill && prefilled.insert(&arrival.request);
                !is_free && !arrived.insert(&arrival.request)
            })
            .map(|arrival| arrival.at)
            .collect()
    }

    /// Returns a description of the window with the most repeats, if these are too many. `requests` are
    /// the times at which callers sent requests for the service.
    pub fn violation(&self, requests: &[Duration], arrivals: &[Arrival]) -> Option<String> {
        let repeats = Self::repeats(arrivals);
        let mut counts: BTreeMap<Duration, usize> = BTreeMap::new();
        for from in &repeats {
            let window = *from..=*from + self.window;
            let count = repeats.iter().filter(|at| window.contains(at)).count();
            counts.insert(*from, count);
        }
        let excess = |(from, count): &(Duration, usize)| {
            let allowed = self.ratio * self.requests_for(*from, requests) as f64 + self.allowance;
            *count as f64 - allowed
        };
        let worst = counts
            .into_iter()
            .max_by(|a, b| excess(a).total_cmp(&excess(b)))?;
        let (from, count) = worst;
        let sent = self.requests_for(from, requests);
        (excess(&worst) > 0.0).then(|| {
            let window = self.window;
            format!("{count} repeats within {window:?} from {from:?}, for {sent} requests")
        })
    }

    /// Returns the number of requests that count for a window: those sent in it, in the one before it,
    /// or in the one that begins half a window earlier, whichever is the most.
    fn requests_for(&self, from: Duration, requests: &[Duration]) -> usize {
        let starts = [Duration::ZERO, self.window / 2, self.window];
        let counts = starts.map(|earlier| {
            let sent = requests
                .iter()
                .filter(|at| **at + earlier >= from && **at + earlier <= from + self.window);
            sent.count()
        });
        counts.into_iter().max().unwrap_or(0)
    }
}
