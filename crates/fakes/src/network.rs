//! Latency, loss and cuts between the machines of the world.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

/// One way, between machines of different availability zones.
const LATENCY: Duration = Duration::from_micros(1_200);

/// The network of the world.
#[derive(Debug, Default)]
pub struct Network {
    /// Pairs that cannot reach each other, each with the lesser name first.
    cut: BTreeSet<(SmolStr, SmolStr)>,
    /// Part of the messages between instances that is lost, in percent.
    pub loss_percent: u64,
    /// Extra time that a message between instances may take, in milliseconds.
    pub jitter_ms: u64,
    /// When the last message of each direction arrives; links keep their order.
    last: BTreeMap<(SmolStr, SmolStr), Duration>,
}

impl Network {
    /// Cuts two machines off from each other.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cut.insert(pair(a, b));
    }

    /// Mends every cut.
    pub fn mend(&mut self) {
        self.cut.clear();
    }

    /// Whether two machines reach each other.
    pub fn reaches(&self, a: &str, b: &str) -> bool {
        !self.cut.contains(&pair(a, b))
    }

    /// Returns when a message sent now arrives, `random` choosing its jitter.
    pub fn arrival(&mut self, from: &str, to: &str, random: u64, now: Duration) -> Duration {
        let jitter = match self.jitter_ms {
            0 => Duration::ZERO,
            most => Duration::from_millis(random % (most + 1)),
        };
        let last = self
            .last
            .entry((SmolStr::new(from), SmolStr::new(to)))
            .or_default();
        *last = (now + LATENCY + jitter).max(*last);
        *last
    }

    /// Returns the one-way time to a backend server or a platform service.
    pub fn latency(&self) -> Duration {
        LATENCY
    }
}

fn pair(a: &str, b: &str) -> (SmolStr, SmolStr) {
    let (low, high) = if a <= b { (a, b) } else { (b, a) };
    (SmolStr::new(low), SmolStr::new(high))
}
