//! The figures of a simulated case.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_core::Target;
use jacinthlever_fakes::{End, Outcome, World, invariant_violations};
use jacinthlever_types::{Code, CustomerId};

use crate::cases::{Fault, SimulatedCase};

/// Latency target for the first token.
const MAX_TIME_TO_FIRST_TOKEN: Duration = Duration::from_millis(1_300);

/// Latency target for the mean time between tokens.
const MAX_TIME_BETWEEN_TOKENS: Duration = Duration::from_millis(61);

/// The figures of one router in one case.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Accepted model requests within both latency targets, in percent.
    pub within_targets: f64,
    /// Output tokens per second of answers within both latency targets.
    pub goodput: f64,
    /// Prompt tokens whose prefill was not used, in percent of all prefilled ones.
    pub wasted_prefill: f64,
    /// Tokens of the worst-served customer, in percent of the smaller of its demand and fair share.
    pub worst_served: f64,
    /// Requests refused although the customer was within its rate and the engines had capacity, in
    /// percent.
    pub wrongful_refusals: f64,
    /// Calls that ran more than once although they must not be repeated.
    pub duplicates: f64,
    /// Customers that used more than their rate and burst allow.
    pub limit_overruns: f64,
    /// Requests that occupied engine memory for too long after their end.
    pub late_memory_releases: f64,
    /// Accepted model requests that did not get their complete answer.
    pub lost_requests: f64,
}

/// Calculates the figures of a simulated case.
pub fn measure(simulated: SimulatedCase, fault: Fault) -> Figures {
    let SimulatedCase {
        mut world,
        from,
        to,
    } = simulated;
    let violations = invariant_violations(&mut world);
    let count = |text: &str| violations.iter().filter(|line| line.contains(text)).count() as f64;
    let outcomes: Vec<&Outcome> = world
        .outcomes
        .values()
        .filter(|o| (from..to).contains(&o.arrived))
        .collect();
    let model: Vec<&&Outcome> = outcomes.iter().filter(|o| is_model(o)).collect();
    let accepted: Vec<&&&Outcome> = model.iter().filter(|o| !o.reported_not_run()).collect();
    let within_targets: Vec<&&&&Outcome> =
        accepted.iter().filter(|o| is_within_targets(o)).collect();
    let seconds = (to - from).as_secs_f64();
    let tokens: u32 = within_targets.iter().map(|o| o.tokens).sum();
    let wrongful = outcomes
        .iter()
        .filter(|o| is_wrongful(&world, o, fault))
        .count();
    let lost = accepted
        .iter()
        .filter(|o| o.end != Some(End::Finished))
        .count();
    let prefilled: u64 = world.engines.values().map(|engine| engine.prefilled).sum();
    Figures {
        within_targets: percent(within_targets.len() as f64, accepted.len() as f64),
        goodput: f64::from(tokens) / seconds,
        wasted_prefill: percent(wasted(&world) as f64, prefilled as f64),
        worst_served: worst_served(&world, &model),
        wrongful_refusals: percent(wrongful as f64, outcomes.len() as f64),
        duplicates: count(" times"),
        limit_overruns: count("limit overrun"),
        late_memory_releases: count("occupied engine memory"),
        lost_requests: lost as f64,
    }
}

fn is_model(outcome: &Outcome) -> bool {
    matches!(outcome.script.target, Target::Model { .. })
}

fn is_within_targets(outcome: &Outcome) -> bool {
    outcome.is_complete()
        && outcome
            .time_to_first_token()
            .is_some_and(|time| time <= MAX_TIME_TO_FIRST_TOKEN)
        && outcome
            .mean_time_between_tokens()
            .is_none_or(|time| time <= MAX_TIME_BETWEEN_TOKENS)
}

/// Whether a customer within its rate was refused while the engines had capacity.
///
/// Only the greedy customer goes over its rate, so its refusals do not count. The engines had
/// capacity if at that moment a healthy decode engine had two free slots and a healthy prefill
/// engine had one.
fn is_wrongful(world: &World, outcome: &Outcome, fault: Fault) -> bool {
    let Some(verdict) = outcome.verdict() else {
        return false;
    };
    if fault == Fault::Greedy && outcome.script.key == "key-of-old-town" {
        return false;
    }
    match verdict.code {
        Code::Overloaded => outcome.ended.is_some_and(|at| world.had_capacity(at)),
        _ => true,
    }
}

/// Returns the prompt tokens whose prefill was not used for an answer.
fn wasted(world: &World) -> u64 {
    world.wasted_prefill()
}

/// Returns the lowest service of any customer, in percent of the smaller of its demand and its fair
/// share.
fn worst_served(world: &World, model: &[&&Outcome]) -> f64 {
    let mut demand: BTreeMap<CustomerId, f64> = BTreeMap::new();
    let mut served: BTreeMap<CustomerId, f64> = BTreeMap::new();
    let keys = world.deployment().keys();
    for outcome in model {
        let Some(key) = outcome.script.inbound().key else {
            continue;
        };
        let Some(customer) = keys.get(&key) else {
            continue;
        };
        let tokens = f64::from(outcome.script.prompt_tokens + outcome.script.length);
        *demand.entry(customer.clone()).or_default() += tokens;
        let got = if outcome.is_complete() { tokens } else { 0.0 };
        *served.entry(customer.clone()).or_default() += got;
    }
    let total: f64 = served.values().sum();
    let shares = fair_shares(world, &demand, total);
    let parts = shares.iter().map(|(customer, share)| {
        percent(served.get(customer).copied().unwrap_or_default(), *share)
    });
    parts.fold(100.0, f64::min)
}

/// Divides the served tokens by weight, with no customer above its demand (max-min fairness).
fn fair_shares(
    world: &World,
    demand: &BTreeMap<CustomerId, f64>,
    total: f64,
) -> BTreeMap<CustomerId, f64> {
    let limits = world.deployment().limits();
    let weight = |customer: &CustomerId| limits.get(customer).map_or(1.0, |row| row.weight);
    let mut shares = BTreeMap::new();
    let mut remaining = total;
    let mut unassigned: Vec<&CustomerId> = demand.keys().collect();
    while !unassigned.is_empty() {
        let weights: f64 = unassigned.iter().map(|customer| weight(customer)).sum();
        let unit = remaining / weights;
        let (small, large): (Vec<&CustomerId>, Vec<&CustomerId>) = unassigned
            .iter()
            .partition(|customer| demand[**customer] <= unit * weight(customer));
        if small.is_empty() {
            shares.extend(large.iter().map(|c| ((*c).clone(), unit * weight(c))));
            break;
        }
        for customer in small {
            remaining -= demand[customer];
            shares.insert(customer.clone(), demand[customer]);
        }
        unassigned = large;
    }
    shares
}

fn percent(part: f64, total: f64) -> f64 {
    if total == 0.0 {
        100.0 * f64::from(u8::from(part == 0.0 && total != 0.0))
    } else {
        100.0 * part / total
    }
}
