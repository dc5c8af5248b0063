//! How long an engine takes for its work, to compare it with its siblings.
//!
//! After Ouyang et al., "An Approach for Modeling and Ranking Node-level Stragglers in Cloud
//! Datacenters", SCC 2016: durations are normalised by those of sibling work, and a node counts as a
//! straggler by a bound on confidence rather than by single slow tasks; see docs/PAPER.md.

use std::collections::VecDeque;
use std::time::Duration;

/// Durations that are looked at.
const WINDOW: usize = 24;

/// Durations without which nothing is said.
const LEAST: usize = 6;

/// Standard errors of a one-sided bound that holds in 97.5 of 100 cases.
const CONFIDENCE: f64 = 1.96;

/// Slowdown against the siblings from which an engine counts as a straggler.
const SLOWDOWN: f64 = 1.5;

/// Recent durations of one engine.
#[derive(Clone, Debug, Default)]
pub struct TokenRate {
    /// Logarithms of the seconds for one token, the latest last.
    logs: VecDeque<f64>,
}

impl TokenRate {
    /// Takes in how long a decode took for its tokens.
    pub fn measure(&mut self, took: Duration, tokens: u64) {
        if tokens < 2 || took.is_zero() {
            return;
        }
        self.logs
            .push_back((took.as_secs_f64() / tokens as f64).ln());
        if self.logs.len() > WINDOW {
            self.logs.pop_front();
        }
    }

    /// Returns the mean, once enough was measured.
    pub fn mean(&self) -> Option<f64> {
        let count = self.logs.len();
        (count >= LEAST).then(|| self.logs.iter().sum::<f64>() / count as f64)
    }

    /// Whether the engine is slower than its siblings for certain, whose mean is given.
    pub fn is_straggler(&self, siblings: f64) -> bool {
        let Some(mean) = self.mean() else {
            return false;
        };
        let count = self.logs.len() as f64;
        let squares: f64 = self.logs.iter().map(|log| (log - mean).powi(2)).sum();
        let error = (squares / (count - 1.0) / count).sqrt();
        mean - CONFIDENCE * error > siblings + SLOWDOWN.ln()
    }
}
