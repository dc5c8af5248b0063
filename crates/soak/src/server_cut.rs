//! A cut of some instances from all backend servers, and the check that they serve nevertheless.

use std::fmt;
use std::time::Duration;

use crate::{Fault, InjectedFault, LinkFault};

/// Time after the begin of a cut from which the instances must serve, and time after another fault of an
/// instance from which its attempts count.
const NOTICE: Duration = Duration::from_secs(3);

/// Number of failed attempts that is always allowed.
const ALLOWED_FAILURES: usize = 10;

/// One in so many of all attempts may fail besides.
const ALLOWED_ONE_IN: usize = 50;

/// The first attempt of a caller to have a request served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstAttempt {
    /// Index of the instance to which it was sent.
    pub instance: usize,
    /// When its caller sent it, or tried to connect.
    pub sent: Duration,
    /// When its caller saw the end.
    pub ended: Duration,
    /// Whether its answer was complete and a success.
    pub is_served: bool,
}

/// A cut of some instances, but not of all, from all backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerCut {
    /// Indices of the instances.
    pub instances: Vec<usize>,
    /// When it began.
    pub from: Duration,
    /// When its end began.
    pub until: Duration,
}

impl ServerCut {
    /// Returns the attempts that count.
    pub fn counted(&self, attempts: &[FirstAttempt], faults: &[InjectedFault]) -> CountedAttempts {
        let period = self.from + NOTICE..self.until;
        let mut counted = CountedAttempts::default();
        for attempt in attempts {
            if period.contains(&attempt.sent) && !is_disturbed(attempt, faults) {
                let is_cut = self.instances.contains(&attempt.instance);
                let (all, served) = match is_cut {
                    true => (&mut counted.cut, &mut counted.cut_served),
                    false => (&mut counted.others, &mut counted.others_served),
                };
                *all += 1;
                *served += usize::from(attempt.is_served);
            }
        }
        counted
    }

    /// Returns a description of the cut if its instances served first attempts less than two thirds as
    /// often as the others, and more attempts failed there than are allowed.
    pub fn violation(&self, attempts: &[FirstAttempt], faults: &[InjectedFault]) -> Option<String> {
        let counted = self.counted(attempts, faults);
        let CountedAttempts {
            cut,
            cut_served,
            others,
            others_served,
        } = counted;
        // Two thirds of the share of the others, without divisions.
        let is_less = 3 * cut_served * others < 2 * others_served * cut;
        let failed = cut - cut_served;
        let excess = failed.saturating_sub(ALLOWED_FAILURES);
        let is_more = excess * ALLOWED_ONE_IN > cut + others;
        (is_less && is_more).then(|| {
            let (from, until, instances) = (self.from, self.until, &self.instances);
            format!("first attempts at instances {instances:?}, cut from all servers from {from:?} to {until:?}: {counted}")
        })
    }
}

/// First attempts that count during a cut.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CountedAttempts {
    /// Number of attempts at the instances that are cut from all servers.
    pub cut: usize,
    /// Number of those that were served.
    pub cut_served: usize,
    /// Number of attempts at the other instances.
    pub others: usize,
    /// Number of those that were served.
    pub others_served: usize,
}

impl fmt::Display for CountedAttempts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            cut,
            cut_served,
            others,
            others_served,
        } = self;
        write!(
            f,
            "{cut_served} of {cut} served, at the others {others_served} of {others}"
        )
    }
}

/// Whether the instance of an attempt was killed, stopped, paused or cut from the store, or the store was
/// at fault, shortly before the attempt or during it: the instance was not in touch then.
fn is_disturbed(attempt: &FirstAttempt, faults: &[InjectedFault]) -> bool {
    faults.iter().any(|injected| {
        let concerns = match injected.fault {
            Fault::KillAll | Fault::Store(_) => true,
            Fault::Kill { instance }
            | Fault::Stop { instance }
            | Fault::Pause { instance }
            | Fault::Link(LinkFault::Store { instance }, _) => instance == attempt.instance,
            _ => false,
        };
        let is_near =
            injected.from <= attempt.ended && attempt.sent <= injected.until.saturating_add(NOTICE);
        concerns && is_near
    })
}
