//! Compares the figures with the bounds of the project's targets.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use jacinthlever_fakes::RouterKind;
use serde_json::{Value, json};

use crate::cases::{Case, Fault};
use crate::figures::{Figures, measure};

/// Load up to which a fleet without faults must meet its latency targets.
const MAX_LOAD_WITHIN_TARGETS: f64 = 0.85;

/// The bound of a figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// The figure must be at least this.
    AtLeast(f64),
    /// The figure must be at most this.
    AtMost(f64),
    /// No bound; the figure is shown for comparison only.
    None,
}

/// One figure of one case.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Load in percent of the engines' capacity.
    pub load: f64,
    /// Name of the fault.
    pub fault: &'static str,
    /// Name of the figure.
    pub measure: &'static str,
    /// Figure of the naive router.
    pub naive: f64,
    /// Figure of the core.
    pub ours: f64,
    /// Bound on the core's figure.
    pub bound: Bound,
    /// Whether the core's figure satisfies the bound.
    pub ok: bool,
}

impl Line {
    /// Returns the line as JSON, for scripts.
    pub fn to_json(&self) -> Value {
        let bound = match self.bound {
            Bound::AtLeast(value) => json!({"at_least": value}),
            Bound::AtMost(value) => json!({"at_most": value}),
            Bound::None => Value::Null,
        };
        json!({
            "deployment": self.deployment, "load": self.load, "fault": self.fault,
            "measure": self.measure, "naive": self.naive, "ours": self.ours,
            "bound": bound, "ok": self.ok,
        })
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bound = match self.bound {
            Bound::AtLeast(value) => format!(">= {value:.1}"),
            Bound::AtMost(value) => format!("<= {value:.1}"),
            Bound::None => String::new(),
        };
        let mark = if self.ok { "" } else { "  CROSSED" };
        write!(
            f,
            "{:7} {:4.0} % {:17} {:18} naive {:9.2}  ours {:9.2}  {bound}{mark}",
            self.deployment, self.load, self.fault, self.measure, self.naive, self.ours
        )
    }
}

/// Simulates all selected cases and returns their figures.
pub fn run(seed: u64, is_selected: impl Fn(&Case) -> bool) -> Vec<Line> {
    let cases: Vec<Case> = Case::all(seed)
        .into_iter()
        .filter(|case| is_selected(case))
        .collect();
    let figures = simulate_all(&cases);
    let baseline = |deployment: &str, load: f64| {
        let mut all = cases.iter().zip(&figures);
        let found = all.find(|(case, _)| {
            case.fault == Fault::None && case.deployment.name == deployment && case.load == load
        });
        found.map(|(_, (ours, _))| ours.goodput)
    };
    let mut lines = Vec::new();
    for (case, (ours, naive)) in cases.iter().zip(&figures) {
        let baseline_goodput = baseline(case.deployment.name, case.load).unwrap_or_else(|| {
            let baseline_case = Case {
                fault: Fault::None,
                ..case.clone()
            };
            measure(baseline_case.simulate(RouterKind::Core), Fault::None).goodput
        });
        let full_load_goodput = baseline(case.deployment.name, 1.0);
        lines.extend(compare(
            case,
            naive,
            ours,
            baseline_goodput,
            full_load_goodput,
        ));
    }
    lines
}

/// Simulates each case with both routers, on all processors. The figures do not depend on the
/// number of processors; the core's come first in each pair.
fn simulate_all(cases: &[Case]) -> Vec<(Figures, Figures)> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(BTreeMap::new());
    let threads = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let Some(case) = cases.get(number) else {
                        return;
                    };
                    let ours = measure(case.simulate(RouterKind::Core), case.fault);
                    let naive = measure(case.simulate(RouterKind::Naive), case.fault);
                    let mut done = done.lock().unwrap_or_else(PoisonError::into_inner);
                    done.insert(number, (ours, naive));
                }
            });
        }
    });
    let done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.into_values().collect()
}

fn compare(
    case: &Case,
    naive: &Figures,
    ours: &Figures,
    baseline_goodput: f64,
    full_load_goodput: Option<f64>,
) -> Vec<Line> {
    let has_no_fault = case.fault == Fault::None;
    let is_light = has_no_fault && case.load <= MAX_LOAD_WITHIN_TARGETS;
    let is_overload = has_no_fault && case.load >= 2.0;
    let when = |condition: bool, bound| if condition { bound } else { Bound::None };
    let max_goodput = case.deployment.decode_tokens_per_second();
    let goodput = match (has_no_fault, is_overload) {
        (false, _) => Bound::AtLeast(0.9 * baseline_goodput * case.capacity_left()),
        (_, true) => {
            Bound::AtLeast((0.9 * max_goodput).max(0.9 * full_load_goodput.unwrap_or(0.0)))
        }
        _ => Bound::None,
    };
    let wasted = Bound::AtMost(if is_light { 1.0 } else { 5.0 });
    let wrongful = match has_no_fault {
        true => when(is_light, Bound::AtMost(0.0)),
        false => Bound::AtMost(0.1),
    };
    let rows = [
        (
            "within_targets",
            naive.within_targets,
            ours.within_targets,
            when(is_light, Bound::AtLeast(95.0)),
        ),
        ("goodput", naive.goodput, ours.goodput, goodput),
        (
            "wasted_prefill",
            naive.wasted_prefill,
            ours.wasted_prefill,
            when(is_light || !has_no_fault, wasted),
        ),
        (
            "worst_served",
            naive.worst_served,
            ours.worst_served,
            when(is_overload, Bound::AtLeast(90.0)),
        ),
        (
            "wrongful_refusals",
            naive.wrongful_refusals,
            ours.wrongful_refusals,
            wrongful,
        ),
        (
            "duplicates",
            naive.duplicates,
            ours.duplicates,
            Bound::AtMost(0.0),
        ),
        (
            "limit_overruns",
            naive.limit_overruns,
            ours.limit_overruns,
            Bound::AtMost(0.0),
        ),
        (
            "memory_held",
            naive.late_memory_releases,
            ours.late_memory_releases,
            Bound::AtMost(0.0),
        ),
        (
            "lost_requests",
            naive.lost_requests,
            ours.lost_requests,
            Bound::AtMost(0.0),
        ),
    ];
    rows.map(|(measure, naive, ours, bound)| Line {
        deployment: case.deployment.name,
        load: case.load * 100.0,
        fault: case.fault.name(),
        measure,
        naive,
        ours,
        bound,
        ok: satisfies(ours, bound),
    })
    .into()
}

fn satisfies(figure: f64, bound: Bound) -> bool {
    match bound {
        Bound::AtLeast(least) => figure >= least,
        Bound::AtMost(most) => figure <= most,
        Bound::None => true,
    }
}
