//! Permits for requests to backend servers that name a limit; see `docs/design/platform.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Window in which a server counts the requests that it gets.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after a server has named a limit from which it counts its requests. It is shorter than the
/// window, so the first window begins before the limit.
pub const LIMIT_NOTICE: Duration = Duration::from_secs(3);

/// Number of requests in a window that a server accepts beyond one and a half times its limit.
const TOLERATED_REQUESTS: f64 = 5.0;

/// Time for which unused permits accumulate.
const BURST: Duration = Duration::from_millis(500);

/// Lowest rate of permits, in requests per second: only an answer can lift a limit of zero.
const MIN_RATE: f64 = 0.25;

/// Time without a call after which a bucket is dropped.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Time before a limit is named whose requests count in the first window.
pub const COUNTED_BEFORE_LIMIT: Duration = WINDOW.saturating_sub(LIMIT_NOTICE);

/// A call for permits to send requests to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitCall {
    /// Identifier of the server.
    pub server: SmolStr,
    /// Limit that the server names, in requests per second.
    pub rate: f64,
    /// Number of requests for which permits are needed.
    pub requests: u32,
    /// Number of requests that the caller has sent without permits within
    /// [`COUNTED_BEFORE_LIMIT`] before it learned of the limit, unless it has reported them.
    pub sent_before: u32,
    /// Whether the server is cold, so that more requests in a second than it tolerates end it.
    pub is_cold: bool,
}

/// The permits of the servers for which this instance grants them.
#[derive(Debug, Default)]
pub struct PermitLedger {
    buckets: BTreeMap<SmolStr, Bucket>,
    /// Random number in `0.0..1.0`.
    phase: f64,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    refilled_at: Duration,
    /// Reported requests that were sent before the limit was known.
    sent_before: f64,
    /// Part of them that has been deducted from the level.
    deducted: f64,
    reported_at: Duration,
}

impl PermitLedger {
    /// Creates a ledger without permits. `phase` is a random number in `0.0..1.0` that differs between
    /// instances.
    pub fn with_phase(phase: f64) -> Self {
        Self {
            phase,
            ..Self::default()
        }
    }

    /// Grants permits or, with an error, returns the time until they may be granted.
    ///
    /// `share` is the reachable fraction of the fleet: parts of a fleet that are cut off from each
    /// other grant permits on their own, and together not more than the limit. A new bucket is
    /// empty, since another instance may have granted permits a moment ago.
    ///
    /// A part of the fleet with a small share would grant its first permit for a cold server at the
    /// same moment as all other such parts. Its bucket starts below empty by up to one permit, so that
    /// the first permits of all parts are spread over the time in which each of them gets one.
    pub fn take(&mut self, now: Duration, share: f64, call: &PermitCall) -> Result<(), Duration> {
        self.buckets
            .retain(|_, bucket| now < bucket.refilled_at + IDLE_TIME);
        let rate = call.rate.max(MIN_RATE) * share;
        let requests = f64::from(call.requests);
        let bucket =
            self.buckets
                .entry(call.server.clone())
                .or_insert_with(|| match call.is_cold {
                    true => Bucket::new(now, -self.phase * (1.0 - share)),
                    false => Bucket::new(now, 0.0),
                });
        let capacity = (rate * BURST.as_secs_f64()).max(requests).max(1.0);
        bucket.refill(now, rate, capacity);
        if call.sent_before > 0 {
            bucket.deduct(now, rate, capacity, call.sent_before);
        }
        if bucket.level >= requests {
            bucket.level -= requests;
            return Ok(());
        }
        let wait = (requests - bucket.level) / rate;
        Err(Duration::from_secs_f64(wait.min(IDLE_TIME.as_secs_f64())))
    }
}

impl Bucket {
    fn new(now: Duration, level: f64) -> Self {
        Self {
            level,
            refilled_at: now,
            sent_before: 0.0,
            deducted: 0.0,
            reported_at: now,
        }
    }

    fn refill(&mut self, now: Duration, rate: f64, capacity: f64) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.level = (self.level + elapsed * rate).min(capacity);
        self.refilled_at = now;
    }

    /// Deducts requests that were sent before the limit was known, as far as the first window has
    /// no space for them beside the permits of its remainder.
    fn deduct(&mut self, now: Duration, rate: f64, capacity: f64, sent_before: u32) {
        if now >= self.reported_at + WINDOW {
            (self.sent_before, self.deducted) = (0.0, 0.0);
        }
        self.reported_at = now;
        self.sent_before += f64::from(sent_before);
        let permits = rate * LIMIT_NOTICE.as_secs_f64();
        let allowed = 1.5 * rate * WINDOW.as_secs_f64() + TOLERATED_REQUESTS;
        let excess = (self.sent_before + permits + capacity - allowed).clamp(0.0, permits);
        self.level -= (excess - self.deducted).max(0.0);
        self.deducted = self.deducted.max(excess);
    }
}
