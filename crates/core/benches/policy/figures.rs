//! What a played case is worth.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_core::Target;
use jacinthlever_fakes::{End, Outcome, World, invariant_violations};
use jacinthlever_types::{Code, CustomerId};

use crate::cases::{Fault, Played};

/// Time in which the first token must come.
const FIRST_TOKEN: Duration = Duration::from_millis(1_300);

/// Mean time between tokens that is allowed.
const BETWEEN_TOKENS: Duration = Duration::from_millis(61);

/// The figures of one router in one case.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Accepted model requests within both latency targets, in percent.
    pub within_targets: f64,
    /// Output tokens a second of answers within both latency targets.
    pub goodput: f64,
    /// Prompt tokens prefilled in vain, in percent of those prefilled.
    pub wasted_prefill: f64,
    /// Tokens of the worst-served customer, in percent of the smaller of demand and share.
    pub worst_served: f64,
    /// Requests refused although inside their rate and with capacity there, in percent.
    pub wrongful_refusals: f64,
    /// Calls that ran more often than once and may not.
    pub duplicates: f64,
    /// Customers that got more than rate and burst.
    pub limit_overruns: f64,
    /// Requests that held engine memory for too long after their end.
    pub memory_held: f64,
    /// Accepted model requests that did not get their answer.
    pub lost_requests: f64,
}

/// Measures a played case.
pub fn measure(played: Played, fault: Fault) -> Figures {
    let Played {
        mut world,
        from,
        to,
    } = played;
    let broken = invariant_violations(&mut world);
    let count = |text: &str| broken.iter().filter(|line| line.contains(text)).count() as f64;
    let outcomes: Vec<&Outcome> = world
        .outcomes
        .values()
        .filter(|o| (from..to).contains(&o.arrived))
        .collect();
    let model: Vec<&&Outcome> = outcomes.iter().filter(|o| is_model(o)).collect();
    let accepted: Vec<&&&Outcome> = model.iter().filter(|o| !o.reported_not_run()).collect();
    let good: Vec<&&&&Outcome> = accepted.iter().filter(|o| is_good(o)).collect();
    let seconds = (to - from).as_secs_f64();
    let tokens: u32 = good.iter().map(|o| o.tokens).sum();
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
        within_targets: percent(good.len() as f64, accepted.len() as f64),
        goodput: f64::from(tokens) / seconds,
        wasted_prefill: percent(wasted(&world) as f64, prefilled as f64),
        worst_served: worst_served(&world, &model),
        wrongful_refusals: percent(wrongful as f64, outcomes.len() as f64),
        duplicates: count(" times"),
        limit_overruns: count("limit overrun"),
        memory_held: count("held engine memory"),
        lost_requests: lost as f64,
    }
}

fn is_model(outcome: &Outcome) -> bool {
    matches!(outcome.script.target, Target::Model { .. })
}

fn is_good(outcome: &Outcome) -> bool {
    outcome.is_complete()
        && outcome
            .time_to_first_token()
            .is_some_and(|time| time <= FIRST_TOKEN)
        && outcome
            .mean_time_between_tokens()
            .is_none_or(|time| time <= BETWEEN_TOKENS)
}

/// Whether a refusal hits a customer inside its rate while capacity is there.
///
/// Only the greedy customer goes over its rate, so no refusal of it counts. Capacity is there if at that moment a decode engine
/// that works as it should had two slots free and a prefill engine one.
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

/// Prompt tokens that were prefilled more often than an answer needed them.
fn wasted(world: &World) -> u64 {
    world.wasted_prefill()
}

/// Returns the least part that any customer got of the smaller of its demand and its share.
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

/// Divides what was served by weight, nobody getting more than it asked for (max-min fairness).
fn fair_shares(
    world: &World,
    demand: &BTreeMap<CustomerId, f64>,
    total: f64,
) -> BTreeMap<CustomerId, f64> {
    let limits = world.deployment().limits();
    let weight = |customer: &CustomerId| limits.get(customer).map_or(1.0, |row| row.weight);
    let mut shares = BTreeMap::new();
    let mut left = total;
    let mut open: Vec<&CustomerId> = demand.keys().collect();
    while !open.is_empty() {
        let weights: f64 = open.iter().map(|customer| weight(customer)).sum();
        let unit = left / weights;
        let (small, large): (Vec<&CustomerId>, Vec<&CustomerId>) = open
            .iter()
            .partition(|customer| demand[**customer] <= unit * weight(customer));
        if small.is_empty() {
            shares.extend(large.iter().map(|c| ((*c).clone(), unit * weight(c))));
            break;
        }
        for customer in small {
            left -= demand[customer];
            shares.insert(customer.clone(), demand[customer]);
        }
        open = large;
    }
    shares
}

fn percent(part: f64, whole: f64) -> f64 {
    if whole == 0.0 {
        100.0 * f64::from(u8::from(part == 0.0 && whole != 0.0))
    } else {
        100.0 * part / whole
    }
}
