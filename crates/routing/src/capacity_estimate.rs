//! Estimates how long a generation waits for engine memory at this instance.

use std::collections::VecDeque;
use std::time::Duration;

/// Time over which grants are counted.
const WINDOW: Duration = Duration::from_secs(2);

/// Minimum number of grants in the window for an estimate. The rate of fewer is mostly chance.
const MIN_GRANTS: usize = 3;

/// Standard errors of the number of grants by which the true rate may exceed the estimate.
/// In simulations 1 refuses up to 8 % of the attempts although their turn comes in time, 3 up to 4 %.
const ERROR_FACTOR: f64 = 3.0;

/// The rate at which the generations of a service obtain engine memory at one instance.
///
/// Only the time during which generations wait counts, and the grants within it. Without a queue the
/// rate of grants is that of the demand, which says nothing about the capacity.
#[derive(Clone, Debug, Default)]
pub struct CapacityEstimate {
    /// Times of the grants within the window; the oldest comes first.
    grants: VecDeque<Duration>,
    /// Ended periods with a queue, which reach into the window; the oldest comes first.
    queued: VecDeque<(Duration, Duration)>,
    /// When the present period with a queue began; `None` if nothing waits.
    queued_since: Option<Duration>,
}

impl CapacityEstimate {
    /// Records that a generation waits, since no engine had room for it.
    pub fn record_queue(&mut self, now: Duration) {
        self.queued_since.get_or_insert(now);
    }

    /// Records that no generation waits any more.
    pub fn record_empty_queue(&mut self, now: Duration) {
        if let Some(since) = self.queued_since.take() {
            self.remove_expired(now);
            self.queued.push_back((since, now));
        }
    }

    /// Records that a generation has obtained memory.
    pub fn record_grant(&mut self, now: Duration) {
        if self.queued_since.is_some() {
            self.remove_expired(now);
            self.grants.push_back(now);
        }
    }

    /// Returns the number of grants on which the estimate rests.
    pub fn grants(&self, now: Duration) -> usize {
        let expired = self.grants.iter().take_while(|at| is_expired(**at, now));
        self.grants.len() - expired.count()
    }

    /// Returns the grants per second; `None` with fewer than 3 of them in the window.
    pub fn rate(&self, now: Duration) -> Option<f64> {
        let grants = self.grants(now);
        if grants < MIN_GRANTS {
            return None;
        }
        let from = now.saturating_sub(WINDOW);
        let ended = self.queued.iter().copied();
        let present = self.queued_since.map(|since| (since, now));
        let queued: Duration = ended
            .chain(present)
            .map(|(since, until)| until.saturating_sub(since.max(from)))
            .sum();
        (!queued.is_zero()).then(|| grants as f64 / queued.as_secs_f64())
    }

    /// Returns the time after which `count` more generations have obtained memory; `None` without an
    /// estimate.
    pub fn time_for(&self, now: Duration, count: usize) -> Option<Duration> {
        let rate = self.rate(now)?;
        Some(Duration::from_secs_f64(count as f64 / rate))
    }

    /// Returns the least time after which `count` more generations may well have obtained memory: the
    /// rate is taken to be higher by [`ERROR_FACTOR`] standard errors. `None` without an estimate.
    pub fn least_time_for(&self, now: Duration, count: usize) -> Option<Duration> {
        let grants = self.grants(now) as f64;
        let expected = self.time_for(now, count)?;
        Some(expected.mul_f64(grants / (grants + ERROR_FACTOR * grants.sqrt())))
    }

    fn remove_expired(&mut self, now: Duration) {
        while self.grants.front().is_some_and(|at| is_expired(*at, now)) {
            self.grants.pop_front();
        }
        while self
            .queued
            .front()
            .is_some_and(|(_, until)| is_expired(*until, now))
        {
            self.queued.pop_front();
        }
    }
}

fn is_expired(at: Duration, now: Duration) -> bool {
    at + WINDOW <= now
}
