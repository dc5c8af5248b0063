//! An evacuation of an availability zone, and the check that its servers get no requests.

use std::fmt;
use std::time::Duration;

use crate::{Fault, InjectedFault, LinkFault, StoreFault};

/// Time in touch since the store accepted an evacuation from which an instance must obey it, and time after
/// a fault for which requests may be late.
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
    /// Returns the arrivals that count: those from instances that must know of the evacuation, unless a
    /// fault may have delayed them.
    pub fn counted(&self, arrivals: &[ZoneArrival], faults: &[InjectedFault]) -> CountedArrivals {
        let mut counted = CountedArrivals::default();
        for arrival in arrivals {
            let must_know = arrival.at < self.until && self.is_known(arrival, faults);
            if must_know && !may_be_late(arrival, faults) {
                counted.all += 1;
                counted.evacuated += usize::from(arrival.is_evacuated);
            }
        }
        counted
    }

    /// Whether the instance of an arrival was in touch for long enough since the acceptance, and has lost
    /// nothing since. What it knows stays in force while it is out of touch.
    fn is_known(&self, arrival: &ZoneArrival, faults: &[InjectedFault]) -> bool {
        let of = arrival.instance;
        let overlaps = |injected: &InjectedFault, from: Duration, until: Duration| {
            injected.from <= until && from < injected.until
        };
        let ends = faults.iter().map(|injected| injected.until);
        let mut starts = ends.filter(|at| *at > self.from).chain([self.from]);
        starts.any(|start| {
            let known = start.saturating_add(NOTICE);
            let prevents = |injected: &InjectedFault| {
                let fault = injected.fault;
                is_out_of_touch(fault, of) && overlaps(injected, start, known)
                    || is_forgetting(fault, of) && overlaps(injected, known, arrival.at)
            };
            known <= arrival.at && !faults.iter().any(prevents)
        })
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

/// Whether a fault may have delayed an arrival: its instance was paused, or a link may have held it.
fn may_be_late(arrival: &ZoneArrival, faults: &[InjectedFault]) -> bool {
    faults.iter().any(|injected| {
        let concerns = match injected.fault {
            Fault::Pause { instance } | Fault::Link(LinkFault::Servers { instance }, _) => {
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

/// Whether a fault makes an instance lose what it knows: a restart, or a store without the row.
fn is_forgetting(fault: Fault, of: usize) -> bool {
    match fault {
        Fault::KillAll | Fault::Store(StoreFault::Restore) => true,
        Fault::Kill { instance } | Fault::Stop { instance } => instance == of,
        _ => false,
    }
}

/// Whether an instance learns nothing, or not in time, during a fault.
fn is_out_of_touch(fault: Fault, of: usize) -> bool {
    match fault {
        Fault::Store(_) => true,
        Fault::Pause { instance } | Fault::Link(LinkFault::Store { instance }, _) => instance == of,
        _ => is_forgetting(fault, of),
    }
}
