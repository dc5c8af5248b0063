//! Estimates how long requests of a route run, from their first send to the end of the answer.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::{Route, RouteKind};

/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 1.0 / 8.0;

/// Weight of a new sample in the deviation.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// Number of deviations that are added to the mean.
const DEVIATIONS: f64 = 4.0;

/// The same for requests that may be repeated or taken up again.
const REPEATABLE_DEVIATIONS: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean_s: f64,
    deviation_s: f64,
}

/// Run times of requests by the names of their routes, with mean and deviation as in RFC 6298.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    estimates: BTreeMap<SmolStr, Estimate>,
}

impl RunTimes {
    /// Records how long a request has run.
    pub fn record(&mut self, route: &SmolStr, took: Duration) {
        let took_s = took.as_secs_f64();
        let first = Estimate {
            mean_s: took_s,
            deviation_s: took_s / 2.0,
        };
        self.estimates
            .entry(route.clone())
            .and_modify(|estimate| {
                let error = took_s - estimate.mean_s;
                estimate.deviation_s += DEVIATION_GAIN * (error.abs() - estimate.deviation_s);
                estimate.mean_s += MEAN_GAIN * error;
            })
            .or_insert(first);
    }

    /// Returns for how long a request of a route is expected to run at most; `None` if none has run yet.
    pub fn expected(&self, route: &Route) -> Option<Duration> {
        let estimate = self.estimates.get(&route.name)?;
        let is_repeatable = route.kind == RouteKind::Safe || route.is_resumable;
        let deviations = match is_repeatable {
            true => REPEATABLE_DEVIATIONS,
            false => DEVIATIONS,
        };
        let expected = estimate.mean_s + deviations * estimate.deviation_s;
        Some(Duration::from_secs_f64(expected).max(route.target_latency))
    }

    /// Forgets routes that a configuration no longer has.
    pub fn retain(&mut self, mut is_kept: impl FnMut(&SmolStr) -> bool) {
        self.estimates.retain(|route, _| is_kept(route));
    }
}
