//! Whether this instance reaches the backend servers of a service at all.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ServerKey;

/// Number of servers that must be missed in succession before the way to all of them is doubted.
const DOUBTED_AFTER: usize = 2;

/// Time without an answer before which there is no doubt: answers of other servers may be on their way.
const MIN_UNHEARD: Duration = Duration::from_millis(100);

/// Time after which an answer says nothing of the present: the first server that is missed later
/// raises a doubt.
const HEARD_TTL: Duration = Duration::from_secs(2);

/// State of the way to the servers of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reach {
    /// Servers answer, or nothing says otherwise.
    #[default]
    Reached,
    /// Several servers in succession were missed; others are probed.
    Doubted,
    /// No probed server answered either.
    Lost,
}

/// What an instance has seen of the servers of one service as a whole.
///
/// A server that does not answer may be at fault itself. If several do not, and none answers in
/// between, the instance may have lost its own way to them.
#[derive(Clone, Debug, Default)]
pub struct ServiceReach {
    reach: Reach,
    /// When a server last answered; `None` if none has yet.
    heard_at: Option<Duration>,
    /// Servers that were missed since then.
    missed: BTreeSet<ServerKey>,
}

impl ServiceReach {
    /// Returns the present state.
    pub fn reach(&self) -> Reach {
        self.reach
    }

    /// Returns when a server last answered; `None` if none has yet.
    pub fn heard_at(&self) -> Option<Duration> {
        self.heard_at
    }

    /// Returns the number of servers that were missed since then.
    pub fn missed(&self) -> usize {
        self.missed.len()
    }

    /// Records that a server has answered, with whatever. Returns whether the service was lost.
    pub fn record_heard(&mut self, now: Duration) -> bool {
        self.heard_at = Some(now);
        self.missed.clear();
        std::mem::take(&mut self.reach) == Reach::Lost
    }

    /// Records that a server could not be connected to, or gave no answer; `servers` is the number
    /// of servers of the service. Returns whether the service is now doubted and was not.
    pub fn record_missed(&mut self, now: Duration, server: ServerKey, servers: usize) -> bool {
        self.missed.insert(server);
        let unheard = self.heard_at.map(|at| now.saturating_sub(at));
        let is_doubtful = match unheard {
            Some(time) if time < MIN_UNHEARD => false,
            Some(time) if time < HEARD_TTL => self.missed.len() >= DOUBTED_AFTER.min(servers),
            _ => true,
        };
        if self.reach != Reach::Reached || !is_doubtful {
            return false;
        }
        self.reach = Reach::Doubted;
        true
    }

    /// Records that no probed server has answered. Returns whether the service is now lost and was
    /// not. Does nothing if a server has been heard meanwhile.
    pub fn record_probes_missed(&mut self) -> bool {
        if self.reach != Reach::Doubted {
            return false;
        }
        self.reach = Reach::Lost;
        true
    }
}
