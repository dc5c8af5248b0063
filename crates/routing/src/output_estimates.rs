//! Estimates the output of generations from the callers' hints and from what came of earlier ones.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

/// Factor by which a hint is raised without enough samples: hints are right in the median only.
const DEFAULT_MARGIN: f64 = 1.4;

/// Bounds of the learned factor. A hint that is far too high is still reserved, since the next output may
/// be long; one that is far too low is made up for as the output grows.
const MARGIN_BOUNDS: (f64, f64) = (1.0, 2.0);

/// Quantile of the recent ratios that is used as the factor: one output in five is longer than its
/// estimate, and its reservation grows then.
const QUANTILE: f64 = 0.8;

/// Number of recent outputs that count.
const MAX_SAMPLES: usize = 32;

/// Number of outputs from which the factor is learned.
const MIN_SAMPLES: usize = 8;

/// Maximum number of groups; with their samples they take about 300 KB.
const MAX_GROUPS: usize = 1024;

/// A group of generations whose hints are off in the same way: route, customer, and the magnitude of the
/// hint as a power of two.
type Group = (SmolStr, SmolStr, u32);

/// Recent ratios of output to hint of a group.
#[derive(Clone, Debug, Default)]
struct Ratios {
    recent: VecDeque<f32>,
    used_at: Duration,
}

impl Ratios {
    fn margin(&self) -> Option<f64> {
        if self.recent.len() < MIN_SAMPLES {
            return None;
        }
        let mut ratios: Vec<f32> = self.recent.iter().copied().collect();
        let index = (QUANTILE * (ratios.len() - 1) as f64).ceil() as usize;
        let (_, ratio, _) = ratios.select_nth_unstable_by(index, f32::total_cmp);
        let (min, max) = MARGIN_BOUNDS;
        Some(f64::from(*ratio).clamp(min, max))
    }
}

/// Learned ratios of output tokens to hints. They belong to one instance and start empty.
#[derive(Clone, Debug, Default)]
pub struct OutputEstimates {
    groups: BTreeMap<Group, Ratios>,
}

impl OutputEstimates {
    /// Returns the output tokens of a generation without anything learned: its hint, raised by a fixed
    /// margin, or the maximum that the caller names, if that is less or there is no hint.
    pub fn unlearned(hint: Option<u64>, max_output: u64) -> u64 {
        raise(hint, DEFAULT_MARGIN, max_output)
    }

    /// Returns the expected output tokens of a generation, at most the maximum that the caller names.
    pub fn expected(&self, route: &str, customer: &str, hint: Option<u64>, max_output: u64) -> u64 {
        let ratios = hint.and_then(|hint| self.groups.get(&group(route, customer, hint)));
        let margin = ratios.and_then(Ratios::margin);
        raise(hint, margin.unwrap_or(DEFAULT_MARGIN), max_output)
    }

    /// Records the output tokens of a generation that has ended as a whole.
    pub fn record(&mut self, now: Duration, route: &str, customer: &str, hint: u64, output: u64) {
        let group = group(route, customer, hint);
        if self.groups.len() >= MAX_GROUPS && !self.groups.contains_key(&group) {
            let oldest = self.groups.iter().min_by_key(|(_, ratios)| ratios.used_at);
            if let Some(oldest) = oldest.map(|(group, _)| group.clone()) {
                self.groups.remove(&oldest);
            }
        }
        let ratios = self.groups.entry(group).or_default();
        ratios.used_at = now;
        if ratios.recent.len() == MAX_SAMPLES {
            ratios.recent.pop_front();
        }
        let ratio = output as f64 / hint.max(1) as f64;
        ratios.recent.push_back(ratio as f32);
    }
}

fn raise(hint: Option<u64>, margin: f64, max_output: u64) -> u64 {
    hint.map_or(max_output, |hint| {
        ((hint as f64 * margin) as u64).min(max_output)
    })
}

fn group(route: &str, customer: &str, hint: u64) -> Group {
    (route.into(), customer.into(), hint.max(1).ilog2())
}
