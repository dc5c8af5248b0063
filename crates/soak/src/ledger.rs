//! What callers asked and got and what backend servers ran, and the promises about both.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

/// A request as its caller sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    /// When, from the start of the run.
    pub at: Duration,
    /// Customer whose key came with it.
    pub customer: SmolStr,
    /// Tokens that it counts as.
    pub tokens: u64,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answered {
    /// A whole answer that is its own.
    Whole,
    /// A status that says the request has not run.
    NotRun,
    /// A failure that promises nothing, or a connection that broke.
    Unknown,
    /// An answer that breaks a promise; what was wrong with it.
    Wrong(String),
}

/// A request as a backend server ran it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// The server.
    pub server: SmolStr,
    /// Customer that the server was told.
    pub customer: SmolStr,
    /// Whether the caller's key came with it.
    pub has_key: bool,
}

/// What a customer may use: in any window `rate` for its length and one `burst`, and beside that
/// the tolerance that the operators allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens at once.
    pub burst: f64,
    /// Window over which tokens are counted.
    pub window: Duration,
    /// Part by which the sum may be over.
    pub overshoot: f64,
    /// Tokens by which the sum may be over beside that.
    pub slack: f64,
}

impl Limit {
    fn most(&self) -> f64 {
        let sum = self.rate * self.window.as_secs_f64() + self.burst;
        sum * (1.0 + self.overshoot) + self.slack
    }
}

/// A key that was withdrawn, and when it was granted again.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Withdrawal {
    acknowledged: Duration,
    granted_again: Option<Duration>,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    sent: BTreeMap<SmolStr, Sent>,
    answered: BTreeMap<SmolStr, Answered>,
    runs: BTreeMap<SmolStr, Vec<Run>>,
    withdrawals: BTreeMap<SmolStr, Vec<Withdrawal>>,
}

impl Ledger {
    /// Takes in that a caller sends a request; called before its first byte is written.
    pub fn sent(&mut self, id: SmolStr, sent: Sent) {
        self.sent.insert(id, sent);
    }

    /// Takes in how a request ended for its caller.
    pub fn answered(&mut self, id: SmolStr, answered: Answered) {
        self.answered.insert(id, answered);
    }

    /// Takes in that a backend server begins to run a request.
    pub fn ran(&mut self, id: SmolStr, run: Run) {
        self.runs.entry(id).or_default().push(run);
    }

    /// Forgets all runs, so that they can be entered anew.
    pub fn forget_runs(&mut self) {
        self.runs.clear();
    }

    /// Whether a backend server has run a request.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs.contains_key(id)
    }

    /// Takes in that the store has acknowledged a configuration without a customer's key.
    pub fn withdrawn(&mut self, customer: SmolStr, at: Duration) {
        let withdrawal = Withdrawal {
            acknowledged: at,
            granted_again: None,
        };
        self.withdrawals
            .entry(customer)
            .or_default()
            .push(withdrawal);
    }

    /// Takes in that a configuration with a customer's key is about to be written.
    pub fn granted(&mut self, customer: &str, at: Duration) {
        // The key is there again, however often it was withdrawn before.
        for withdrawal in self.withdrawals.get_mut(customer).into_iter().flatten() {
            withdrawal.granted_again.get_or_insert(at);
        }
    }

    /// Returns how many requests ended in each way: whole, not run, unknown.
    pub fn tally(&self) -> (usize, usize, usize) {
        let count = |way: Answered| self.answered.values().filter(|a| **a == way).count();
        (
            count(Answered::Whole),
            count(Answered::NotRun),
            count(Answered::Unknown),
        )
    }

    /// Returns every broken promise so far, in words.
    ///
    /// A withdrawn key must have stopped working after `revoke`.
    pub fn violations(&self, limits: &BTreeMap<SmolStr, Limit>, revoke: Duration) -> Vec<String> {
        let mut found = self.wrong_answers();
        found.extend(self.wrong_runs());
        found.extend(self.withdrawn_runs(revoke));
        for (customer, limit) in limits {
            found.extend(self.over_limit(customer, limit));
        }
        found
    }

    fn wrong_answers(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (id, answered) in &self.answered {
            match answered {
                Answered::Wrong(what) => found.push(format!("{id}: {what}")),
                Answered::NotRun if self.runs.contains_key(id) => {
                    found.push(format!("{id}: refused as not run, and has run"));
                }
                Answered::Whole if !self.runs.contains_key(id) => {
                    found.push(format!("{id}: answered, and no server ran it"));
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
                found.push(format!("{id}: ran, and no caller sent it"));
                continue;
            };
            if runs.len() > 1 && !sent.is_idempotent {
                found.push(format!("{id}: ran {} times", runs.len()));
            }
            for run in runs {
                if run.has_key {
                    found.push(format!("{id}: {} saw the key", run.server));
                }
                if run.customer != sent.customer {
                    let (told, own) = (&run.customer, &sent.customer);
                    found.push(format!("{id}: ran for {told}, is of {own}"));
                }
            }
        }
        found
    }

    fn withdrawn_runs(&self, revoke: Duration) -> Vec<String> {
        let mut found = Vec::new();
        for id in self.runs.keys() {
            let Some(sent) = self.sent.get(id) else {
                continue;
            };
            let withdrawals = self.withdrawals.get(&sent.customer).into_iter().flatten();
            for w in withdrawals {
                let still_withdrawn = w.granted_again.is_none_or(|at| sent.at < at);
                if sent.at > w.acknowledged + revoke && still_withdrawn {
                    let late = sent.at - w.acknowledged;
                    found.push(format!(
                        "{id}: sent {late:?} after its key was withdrawn, ran"
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
        let (mut first, mut sum, mut most) = (0, 0, 0);
        for (at, tokens) in &ran {
            sum += tokens;
            while ran[first].0 + limit.window < *at {
                sum -= ran[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        let allowed = limit.most();
        (most as f64 > allowed).then(|| {
            let window = limit.window;
            format!("{customer}: {most} tokens in {window:?}, allowed are {allowed:.0}")
        })
    }
}
