//! The loads that backend servers state in their answers, which instances share.

use std::time::Duration;

/// Time for which a load that a server stated is used.
const LOAD_TTL: Duration = Duration::from_millis(600);

/// Maximum number of loads in a message.
pub const MAX_SHARED_LOADS: usize = 32;

/// Maximum number of loads in a digest, which is forwarded to all instances of the other zones: with four
/// other zones they receive up to 2.2 KB/s.
pub const MAX_DIGEST_LOADS: usize = 8;

/// Bytes a second that an instance sends for loads in reports, at most.
const REPORTED_BYTES_PER_S: f64 = 4000.0;

/// Typical size of a load in a message, in bytes.
const LOAD_BYTES: f64 = 20.0;

/// Relative change of a server's slowdown after which what was learned of its speed is discarded.
const SLOWDOWN_CHANGE: f64 = 0.5;

/// Time for which the load of a server is not used after it has refused a request while it stated free
/// slots.
const DISTRUST_TIME: Duration = Duration::from_secs(10);

/// Bounds of the slowdown that is used, so that a false figure neither draws all requests to a server
/// nor keeps them all from it.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.25, 8.0);

/// By which way a statement of a server has come. It is not sent back by the same way.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LoadOrigin {
    /// In an answer to this instance.
    Own,
    /// From another instance of the zone.
    Zone,
    /// From another zone.
    OtherZone,
}

/// Returns the maximum number of loads in a report that goes to `peers` at an interval.
pub fn max_reported_loads(peers: usize, interval: Duration) -> usize {
    let bytes = REPORTED_BYTES_PER_S * interval.as_secs_f64() / peers.max(1) as f64;
    ((bytes / LOAD_BYTES) as usize).clamp(1, MAX_SHARED_LOADS)
}

/// The load that a server stated in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadStatement {
    /// Number of running and waiting requests.
    pub load: u32,
    /// Time that work takes on the server, as a multiple of the usual time; `None` if it is not stated.
    pub slowdown: Option<f64>,
    /// When it was stated, on the clock of this instance.
    pub stated_at: Duration,
}

impl LoadStatement {
    /// Whether the statement is recent enough to be used.
    pub fn is_fresh(&self, now: Duration) -> bool {
        now < self.stated_at + LOAD_TTL
    }

    /// Returns how long ago the statement was made.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.stated_at)
    }
}

/// The freshest statement of one server's load, from its own answers or from other instances.
#[derive(Clone, Debug, Default)]
pub struct SharedLoad {
    newest: Option<(LoadStatement, LoadOrigin)>,
    /// Slowdown under which the server's speed is being learned.
    learned_at: Option<f64>,
    /// Time until which the load is not used, since the server has refused a request while it stated free
    /// slots.
    distrusted_until: Duration,
}

impl SharedLoad {
    /// Records a statement. It replaces an older one, so messages may be lost, repeated or late. Returns
    /// whether the slowdown has changed so much that what was learned of the server's speed no longer
    /// holds.
    pub fn record(&mut self, statement: LoadStatement, origin: LoadOrigin) -> bool {
        let is_newer = |(newest, _): &(LoadStatement, _)| statement.stated_at > newest.stated_at;
        // Of two statements at the same time the later one to be recorded is that of a later answer.
        let is_own = origin == LoadOrigin::Own;
        if !is_own && !self.newest.as_ref().is_none_or(is_newer) {
            return false;
        }
        self.newest = Some((statement, origin));
        let Some(slowdown) = statement.slowdown else {
            return false;
        };
        let learned_at = *self.learned_at.get_or_insert(slowdown);
        let has_changed = (slowdown - learned_at).abs() >= SLOWDOWN_CHANGE * learned_at;
        if has_changed {
            self.learned_at = Some(slowdown);
        }
        has_changed
    }

    /// Records that the server, which has `slots`, has refused a request for lack of capacity.
    pub fn record_refusal(&mut self, now: Duration, slots: u32) {
        if self.fresh(now).is_some_and(|s| s.load < slots) {
            self.distrusted_until = now + DISTRUST_TIME;
        }
    }

    /// Returns the freshest statement; `None` if it is too old to be used, or probably false.
    pub fn trusted(&self, now: Duration) -> Option<&LoadStatement> {
        self.fresh(now).filter(|_| now >= self.distrusted_until)
    }

    /// Returns the freshest statement; `None` if it is too old to be used.
    pub fn fresh(&self, now: Duration) -> Option<&LoadStatement> {
        let newest = self.newest.as_ref().map(|(statement, _)| statement);
        newest.filter(|statement| statement.is_fresh(now))
    }

    /// Returns the slowdown that the server stated last, within bounds; `None` if that is too old.
    pub fn slowdown(&self, now: Duration) -> Option<f64> {
        let (min, max) = SLOWDOWN_BOUNDS;
        let slowdown = self.fresh(now)?.slowdown?;
        Some(slowdown.clamp(min, max))
    }

    /// Returns the freshest statement if it is to be sent to other instances: it was made after `since`,
    /// can still be used and has come by `farthest` or a shorter way.
    pub fn to_share(
        &self,
        now: Duration,
        since: Duration,
        farthest: LoadOrigin,
    ) -> Option<LoadStatement> {
        let (statement, origin) = self.newest?;
        let is_new = statement.stated_at > since && statement.is_fresh(now);
        (is_new && origin <= farthest).then_some(statement)
    }
}
