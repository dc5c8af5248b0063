//! Paces customers that exceed their limits.

use std::time::Duration;

/// Time for which a part stays in force: in it, charges of all instances are reported to all others,
/// and those before it drop out of the recent ones.
pub const PACE_TIME: Duration = Duration::from_millis(3000);

/// Factor by which the part is lowered if the customer exceeds its limit nevertheless.
const LOWER: f64 = 0.8;

/// The part of a customer's requests that is admitted while it sends more than its limit.
///
/// Instances learn late of what others admit. When a bucket has some tokens again, all of them would
/// admit all requests until they hear of each other's, so a customer that presses would get more than
/// its limit in each round. While it is paced, each instance admits the same part, so that the whole
/// fleet admits the rate: the limit divided by the demand, which follows from what was charged while
/// a known part was admitted. More is admitted while the bucket is over half full. See `docs/design/platform.md`.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Part of the requests that is admitted while the bucket has tokens.
    pub admitted: f64,
    /// Since when that part is in force.
    since: Duration,
    /// Whether the bucket has been exceeded since then.
    is_over: bool,
    /// Tokens that the customer sends a second, measured while the bucket is exceeded.
    demand: f64,
    /// Requests that are due to be admitted, as a sum of parts. It begins with a random part, so that
    /// instances do not all admit one at the same moment.
    due: f64,
}

impl Pace {
    /// Creates the pacing of a customer that has just exceeded its limit; `phase` is a random number in
    /// `0.0..1.0`.
    pub fn new(now: Duration, phase: f64) -> Self {
        Self {
            admitted: 1.0,
            since: now,
            is_over: true,
            demand: 0.0,
            due: phase,
        }
    }

    /// Returns the part that is admitted while the upper part of the bucket is filled to `spare`, from 0 to 1: a
    /// customer that has saved tokens may use them at once.
    pub fn admitted_with(&self, spare: f64) -> f64 {
        self.admitted + (1.0 - self.admitted) * spare
    }

    /// Adjusts the part, given whether the bucket is exceeded now, the rate at which the customer sends, as
    /// far as can be seen, and the rate that the limit allows, in tokens a second.
    pub fn update(&mut self, now: Duration, is_over: bool, demand: f64, allowed_rate: f64) {
        if is_over {
            // Charges of before go on being reported.
            self.is_over = true;
            self.demand = self.demand.max(demand);
        } else if self.is_over {
            let highest = match self.admitted < 1.0 {
                true => self.admitted * LOWER,
                false => 1.0,
            };
            self.begin(now, (allowed_rate / self.demand.max(1.0)).min(highest));
        } else if now >= self.since + PACE_TIME {
            self.begin(now, allowed_rate / demand.max(1.0));
        }
    }

    fn begin(&mut self, now: Duration, admitted: f64) {
        self.admitted = admitted.min(1.0);
        self.since = now;
        self.is_over = false;
        self.demand = 0.0;
    }

    /// Whether the next request belongs to the part that is admitted; see [`Pace::admitted_with`].
    pub fn admits(&mut self, spare: f64) -> bool {
        self.due += self.admitted_with(spare);
        let admits = self.due >= 1.0;
        if admits {
            self.due -= 1.0;
        }
        admits
    }
}
