//! An evacuation of an availability zone, and the check that its servers get no requests.

use std::fmt;
use std::time::Duration;

use crate::{Fault, InjectedFault, LinkFault};

/// Time after the store accepted an evacuation from which it must be obeyed, and time for which a fault
/// must have ended before an instance counts as in touch.
const NOTICE: Duration = Duration::from_secs(5);

/// A request that a server received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneArrival {
    /// Index of the instance that sent it.
    pub instance: usize,
    /// Index of the server.
    pub server: usize,
    /// Whether the server is in the evacuated zone.
    pub is_evacuated: bool,
    /// When the server received it.
    pub at: Duration,
}

/// A time for which the operator evacuates a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evacuation {
    /// When the store had accepted it.
    pub from: Duration,
    /// When the operator began to revoke it.
    pub until: Duration,
}

impl Evacuation {
    /// Returns the arrivals that count: those at which the evacuation must be obeyed, and that no fault
    /// may have delayed.
    pub fn counted(&self, arrivals: &[ZoneArrival], faults: &[InjectedFault]) -> CountedArrivals {
        let period = self.from.saturating_add(NOTICE)..self.until;
        let mut counted = CountedArrivals::default();
        for arrival in arrivals {
            if period.contains(&arrival.at) && !is_disturbed(arrival, faults) {
                counted.all += 1;
                counted.evacuated += usize::from(arrival.is_evacuated);
            }
        }
        counted
    }

    /// Returns a description of the evacuation if a request that counts reached a server of the zone.
    pub fn violation(&self, arrivals: &[ZoneArrival], faults: &[InjectedFault]) -> Option<String> {
        let counted = self.counted(arrivals, faults);
        (counted.evacuated > 0).then(|| {
            let (from, until) = (self.from, self.until);
            format!("zone evacuated from {from:?} to {until:?}: {counted}")
        })
    }
}

/// Arrivals that count during an evacuation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CountedArrivals {
    /// Number of arrivals at all servers.
    pub all: usize,
    /// Number of those at servers of the evacuated zone.
    pub evacuated: usize,
}

impl fmt::Display for CountedArrivals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { all, evacuated } = self;
        write!(f, "{evacuated} of {all} requests reached its servers")
    }
}

/// Whether the instance was killed, stopped, paused or cut, the store was at fault, or the link of the
/// server may have held the request, shortly before an arrival.
fn is_disturbed(arrival: &ZoneArrival, faults: &[InjectedFault]) -> bool {
    faults.iter().any(|injected| {
        let concerns = match injected.fault {
            Fault::KillAll | Fault::Store(_) => true,
            Fault::Kill { instance }
            | Fault::Stop { instance }
            | Fault::Pause { instance }
            | Fault::Link(LinkFault::Store { instance } | LinkFault::Servers { instance }, _) => {
                instance == arrival.instance
            }
            Fault::Link(LinkFault::Server { server }, _) => server == arrival.server,
            _ => false,
        };
        concerns
            && injected.from <= arrival.at
            && arrival.at <= injected.until.saturating_add(NOTICE)
    })
}
