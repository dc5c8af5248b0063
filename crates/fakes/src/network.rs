//! Latency, loss and cut links between the simulated machines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

/// One-way latency between machines of different availability zones.
const LATENCY: Duration = Duration::from_micros(1_200);

/// The simulated network.
#[derive(Debug, Default)]
pub struct Network {
    /// Pairs of machines that cannot reach each other, each in ascending order of names.
    cut_links: BTreeSet<(SmolStr, SmolStr)>,
    /// Share of the messages between instances that is lost, in percent.
    pub loss_percent: u64,
    /// Maximum extra latency of a message between instances, in milliseconds.
    pub jitter_ms: u64,
    /// Arrival of the last message of each direction; links deliver in order.
    last_arrivals: BTreeMap<(SmolStr, SmolStr), Duration>,
}

impl Network {
    /// Cuts the link between two machines.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cut_links.insert(link(a, b));
    }

    /// Restores every cut link.
    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Whether two machines can reach each other.
    pub fn reaches(&self, a: &str, b: &str) -> bool {
        !self.cut_links.contains(&link(a, b))
    }

    /// Returns when a message sent now arrives; `random` determines its jitter.
    pub fn arrival(&mut self, from: &str, to: &str, random: u64, now: Duration) -> Duration {
        let jitter = match self.jitter_ms {
            0 => Duration::ZERO,
            max => Duration::from_millis(random % (max + 1)),
        };
        let last_arrival = self
            .last_arrivals
            .entry((SmolStr::new(from), SmolStr::new(to)))
            .or_default();
        *last_arrival = (now + LATENCY + jitter).max(*last_arrival);
        *last_arrival
    }

    /// Returns the one-way latency to a backend server or a platform service.
    pub fn latency(&self) -> Duration {
        LATENCY
    }
}

fn link(a: &str, b: &str) -> (SmolStr, SmolStr) {
    let (low, high) = if a <= b { (a, b) } else { (b, a) };
    (SmolStr::new(low), SmolStr::new(high))
}
