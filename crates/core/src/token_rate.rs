//! Decode speed of an engine, compared with that of the other engines of its shard.
//!
//! After Ouyang et al., "An Approach for Modeling and Ranking Node-level Stragglers in Cloud
//! Datacenters", SCC 2016: durations are normalised by those of sibling tasks, and a node counts as
//! a straggler by a confidence bound rather than by single slow tasks; see docs/PAPER.md.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of most recent samples that are kept.
const WINDOW: usize = 24;

/// Samples required before a mean is reported.
const MIN_SAMPLES: usize = 6;

/// Standard errors of a one-sided 97.5 % confidence bound.
const CONFIDENCE: f64 = 1.96;

/// Slowdown relative to the other engines above which an engine counts as a straggler.
const SLOWDOWN: f64 = 1.5;

/// Recent decode times of one engine, per token.
#[derive(Clone, Debug, Default)]
pub struct TokenRate {
    /// Logarithms of the seconds per token, the latest last.
    log_seconds: VecDeque<f64>,
}

impl TokenRate {
    /// Records the time that a decode took for a number of tokens; fewer than two are ignored.
    pub fn measure(&mut self, took: Duration, tokens: u64) {
        if tokens < 2 || took.is_zero() {
            return;
        }
        self.log_seconds
            .push_back((took.as_secs_f64() / tokens as f64).ln());
        if self.log_seconds.len() > WINDOW {
            self.log_seconds.pop_front();
        }
    }

    /// Returns the mean logarithm of the seconds per token; `None` with too few samples.
    pub fn mean(&self) -> Option<f64> {
        let count = self.log_seconds.len();
        (count >= MIN_SAMPLES).then(|| self.log_seconds.iter().sum::<f64>() / count as f64)
    }

    /// Whether the engine is slower than the others with high confidence, given the median of their
    /// means.
    pub fn is_straggler(&self, others_median: f64) -> bool {
        let Some(mean) = self.mean() else {
            return false;
        };
        let count = self.log_seconds.len() as f64;
        let squares: f64 = self
            .log_seconds
            .iter()
            .map(|log| (log - mean).powi(2))
            .sum();
        let error = (squares / (count - 1.0) / count).sqrt();
        mean - CONFIDENCE * error > others_median + SLOWDOWN.ln()
    }
}
