//! A time for which a backend server asks instances to hold back, and the check that they do.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time from an answer of a server until the instance that got it must act on it.
const ANSWER_TRANSIT: Duration = Duration::from_millis(500);

/// Time from the answer of a server that leaves until it gets no more requests sent by callers since.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Number of requests that may reach a server during a pause that it has asked for.
const ALLOWED_IN_PAUSE: usize = 2;

/// What a server asks of each instance that gets its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Restraint {
    /// No requests for a time after each refusal.
    Pause(Duration),
    /// No requests any more, since it leaves.
    Leave,
}

/// A request that a server received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Receipt {
    /// Index of the instance that forwarded it.
    pub instance: usize,
    /// When its caller sent it.
    pub sent: Duration,
    /// When the server received it.
    pub received: Duration,
}

/// A time for which a server asks for a restraint in all its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RestraintPeriod {
    /// What it asks for.
    pub restraint: Restraint,
    /// When it begins to ask.
    pub from: Duration,
    /// When it stops to ask.
    pub until: Duration,
}

impl RestraintPeriod {
    /// Returns a description of the first instance that did not hold back, given all requests that the
    /// server received, in order. `is_disturbed` returns whether a fault of an instance overlaps a time.
    pub fn violation(
        &self,
        receipts: &[Receipt],
        is_disturbed: impl Fn(usize, Duration, Duration) -> bool,
    ) -> Option<String> {
        let mut by_instance: BTreeMap<usize, Vec<&Receipt>> = BTreeMap::new();
        for receipt in receipts {
            if (self.from..self.until).contains(&receipt.received) {
                by_instance
                    .entry(receipt.instance)
                    .or_default()
                    .push(receipt);
            }
        }
        by_instance.into_iter().find_map(|(instance, receipts)| {
            let asked = receipts.iter().map(|r| r.received);
            asked
                .filter_map(|at| self.count_after(at, &receipts).map(|found| (at, found)))
                .find(|(at, (_, end))| !is_disturbed(instance, *at, *end))
                .map(|(at, (count, _))| {
                    let restraint = self.restraint;
                    format!("{count} requests of instance {instance} after the answer at {at:?} with {restraint:?}")
                })
        })
    }

    /// Returns the number of requests that came although an answer at `at` asked for a restraint, and
    /// the time of the last one; `None` if they are not too many.
    fn count_after(&self, at: Duration, receipts: &[&Receipt]) -> Option<(usize, Duration)> {
        let is_late = |receipt: &&&Receipt| match self.restraint {
            Restraint::Pause(pause) => {
                (at + ANSWER_TRANSIT..at + pause).contains(&receipt.received)
            }
            Restraint::Leave => receipt.sent > at + ANSWER_TRANSIT + DRAIN_TIME,
        };
        let allowed = match self.restraint {
            Restraint::Pause(_) => ALLOWED_IN_PAUSE,
            Restraint::Leave => 0,
        };
        let late: Vec<Duration> = receipts
            .iter()
            .filter(is_late)
            .map(|r| r.received)
            .collect();
        let end = late.iter().max().copied()?;
        (late.len() > allowed).then_some((late.len(), end))
    }
}
