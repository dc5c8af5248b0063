//! Records the requests of callers and the runs of backend servers, and checks the guarantees: a
//! request that is refused as not run has not run, one that is answered has run, one that is not
//! idempotent runs at most once, a run is for the customer that sent the request, no backend server
//! receives a caller's key, a revoked key stops working, and no customer exceeds its limit.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

/// A request, as sent by its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct SentRequest {
    /// Time at which the request was sent, since the start of the run.
    pub at: Duration,
    /// Customer whose key was presented.
    pub customer: SmolStr,
    /// Tokens that the request counts against the limit.
    pub tokens: u64,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Service for which it is.
    pub service: SmolStr,
}

/// The outcome of a request, as seen by its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// A complete response that belongs to the request.
    Complete,
    /// A status which states that the request has not run.
    NotRun,
    /// A failure after which the request may or may not have run, or a broken connection.
    Unknown,
    /// A response that violates a guarantee, with a description of the violation.
    Violation(String),
}

/// A run of a request on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Identifier of the server.
    pub server: SmolStr,
    /// Customer whose name the server received.
    pub customer: SmolStr,
    /// Whether the server received the caller's key.
    pub has_key: bool,
}

/// The limit of a customer, with the tolerance that the operators allow.
///
/// In any window the customer may use `rate` times the length of the window plus one `burst`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: f64,
    /// Tokens that may be used at once.
    pub burst: f64,
    /// Length of the window over which tokens are counted.
    pub window: Duration,
    /// Fraction by which the sum may exceed the limit.
    pub overshoot: f64,
    /// Tokens by which the sum may exceed the limit in addition to that fraction.
    pub slack: f64,
}

impl Limit {
    fn max_tokens(&self) -> f64 {
        let sum = self.rate * self.window.as_secs_f64() + self.burst;
        sum * (1.0 + self.overshoot) + self.slack
    }
}

/// The revocation of a key, and the time at which it was granted again.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Revocation {
    acknowledged: Duration,
    granted_again: Option<Duration>,
}

/// All requests, outcomes, runs on backend servers and key revocations of one soak test.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    sent: BTreeMap<SmolStr, SentRequest>,
    outcomes: BTreeMap<SmolStr, CallerOutcome>,
    runs: BTreeMap<SmolStr, Vec<Run>>,
    revocations: BTreeMap<SmolStr, Vec<Revocation>>,
}

impl Ledger {
    /// Records that a caller sends a request. This must be called before the first byte is written,
    /// so that the time is not later than any effect of the request.
    pub fn record_sent(&mut self, id: SmolStr, sent: SentRequest) {
        self.sent.insert(id, sent);
    }

    /// Records the outcome of a request, as seen by its caller.
    pub fn record_outcome(&mut self, id: SmolStr, outcome: CallerOutcome) {
        self.outcomes.insert(id, outcome);
    }

    /// Records that a backend server starts to run a request.
    pub fn record_run(&mut self, id: SmolStr, run: Run) {
        self.runs.entry(id).or_default().push(run);
    }

    /// Removes all runs, so that they can be recorded again.
    pub fn clear_runs(&mut self) {
        self.runs.clear();
    }

    /// Returns when a caller sent a request; `None` if none did.
    pub fn sent_at(&self, id: &str) -> Option<Duration> {
        self.sent.get(id).map(|sent| sent.at)
    }

    /// Returns when callers sent requests for a service.
    pub fn sent_for(&self, service: &str) -> Vec<Duration> {
        let sent = self.sent.values().filter(|sent| sent.service == service);
        sent.map(|sent| sent.at).collect()
    }

    /// Whether all requests that were sent until a time have an outcome.
    pub fn have_ended(&self, sent_until: Duration) -> bool {
        let mut sent = self.sent.iter().filter(|(_, sent)| sent.at <= sent_until);
        sent.all(|(id, _)| self.outcomes.contains_key(id))
    }

    /// Whether a backend server has run a request.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs.contains_key(id)
    }

    /// Records that the store has acknowledged a configuration without the key of a customer.
    pub fn record_revocation(&mut self, customer: SmolStr, at: Duration) {
        let revocation = Revocation {
            acknowledged: at,
            granted_again: None,
        };
        self.revocations
            .entry(customer)
            .or_default()
            .push(revocation);
    }

    /// Records that a configuration with the key of a customer is about to be written.
    pub fn record_grant(&mut self, customer: &str, at: Duration) {
        // One grant ends all earlier revocations, since the key may have been revoked repeatedly.
        for revocation in self.revocations.get_mut(customer).into_iter().flatten() {
            revocation.granted_again.get_or_insert(at);
        }
    }

    /// Returns the number of requests with each outcome: complete, not run and unknown.
    pub fn outcome_counts(&self) -> (usize, usize, usize) {
        let count =
            |outcome: CallerOutcome| self.outcomes.values().filter(|o| **o == outcome).count();
        (
            count(CallerOutcome::Complete),
            count(CallerOutcome::NotRun),
            count(CallerOutcome::Unknown),
        )
    }

    /// Returns a description of every violated guarantee so far.
    ///
    /// A revoked key must not work any more after `grace_period`.
    pub fn violations(
        &self,
        limits: &BTreeMap<SmolStr, Limit>,
        grace_period: Duration,
    ) -> Vec<String> {
        let mut found = self.wrong_answers();
        found.extend(self.wrong_runs());
        found.extend(self.runs_after_revocation(grace_period));
        for (customer, limit) in limits {
            found.extend(self.over_limit(customer, limit));
        }
        found
    }

    fn wrong_answers(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (id, outcome) in &self.outcomes {
            match outcome {
                CallerOutcome::Violation(what) => found.push(format!("{id}: {what}")),
                CallerOutcome::NotRun if self.runs.contains_key(id) => {
                    found.push(format!("{id}: refused as not run, but a server ran it"));
                }
                CallerOutcome::Complete if !self.runs.contains_key(id) => {
                    found.push(format!("{id}: answered, but no server ran it"));
                }
                _ => {}
            }
        }
        found
    }

    fn wrong_runs(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (id, runs) in &self.runs {
            let Some(sent) = self.sent.get(id) else {
                found.push(format!("{id}: ran, but no caller sent it"));
                continue;
            };
            if runs.len() > 1 && !sent.is_idempotent {
                found.push(format!("{id}: ran {} times", runs.len()));
            }
            for run in runs {
                if run.has_key {
                    found.push(format!(
                        "{id}: server {} received the caller's key",
                        run.server
                    ));
                }
                if run.customer != sent.customer {
                    let (actual, expected) = (&run.customer, &sent.customer);
                    found.push(format!(
                        "{id}: ran for customer {actual}, but was sent by {expected}"
                    ));
                }
            }
        }
        found
    }

    fn runs_after_revocation(&self, grace_period: Duration) -> Vec<String> {
        let mut found = Vec::new();
        for id in self.runs.keys() {
            let Some(sent) = self.sent.get(id) else {
                continue;
            };
            let revocations = self.revocations.get(&sent.customer).into_iter().flatten();
            for r in revocations {
                let is_revoked = r.granted_again.is_none_or(|at| sent.at < at);
                if sent.at > r.acknowledged + grace_period && is_revoked {
                    let elapsed = sent.at - r.acknowledged;
                    found.push(format!(
                        "{id}: ran, although it was sent {elapsed:?} after its key was revoked"
                    ));
                }
            }
        }
        found
    }

    fn over_limit(&self, customer: &SmolStr, limit: &Limit) -> Option<String> {
        let of_customer = self.runs.keys().filter_map(|id| self.sent.get(id));
        let mut ran: Vec<(Duration, u64)> = of_customer
            .filter(|sent| sent.customer == *customer)
            .map(|sent| (sent.at, sent.tokens))
            .collect();
        ran.sort();
        let (mut first, mut sum, mut max) = (0, 0, 0);
        for (at, tokens) in &ran {
            sum += tokens;
            while ran[first].0 + limit.window < *at {
                sum -= ran[first].1;
                first += 1;
            }
            max = max.max(sum);
        }
        let allowed = limit.max_tokens();
        (max as f64 > allowed).then(|| {
            let window = limit.window;
            format!(
                "{customer}: used {max} tokens within {window:?}, but only {allowed:.0} are allowed"
            )
        })
    }
}
