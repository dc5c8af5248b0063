//! Invariants of every simulation, whichever faults it had.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_core::{CallerId, Target};
use jacinthlever_types::CustomerId;
use smol_str::SmolStr;

use crate::{End, Outcome, World};

/// Returns a line for each violation of an invariant.
pub fn invariant_violations(world: &mut World) -> Vec<String> {
    world.record_usage();
    let mut violations = Vec::new();
    for (caller, outcome) in &world.outcomes {
        violations.extend(answer_violations(world, *caller, outcome));
    }
    violations.extend(repeated_runs(world));
    violations.extend(limit_overruns(world));
    violations.extend(late_memory_releases(world));
    violations.extend(uses_of_revoked_keys(world));
    violations.extend(world.late_dispatches.clone());
    violations
}

/// Time within which an accepted edit applies on every instance.
const MAX_EDIT_DELAY: Duration = Duration::from_secs(4);

/// Once a revocation is in force, the key gets no result and no token.
fn uses_of_revoked_keys(world: &World) -> Vec<String> {
    let mut violations = Vec::new();
    for (caller, outcome) in &world.outcomes {
        let Some(revoked_at) = world.revoked_keys.get(&outcome.script.key) else {
            continue;
        };
        let until = *revoked_at + MAX_EDIT_DELAY;
        let has_result = outcome.end.is_some() && outcome.verdict().is_none();
        let served = has_result && outcome.ended.is_some_and(|at| at > until);
        if served || outcome.last_token.is_some_and(|at| at > until) {
            violations.push(format!(
                "{caller:?} was served with a revoked key: {outcome:?}"
            ));
        }
    }
    violations
}

fn answer_violations(world: &World, caller: CallerId, outcome: &Outcome) -> Vec<String> {
    let mut violations = Vec::new();
    let mut report = |what: &str| violations.push(format!("{caller:?} {what}: {outcome:?}"));
    if outcome.answers > 1 {
        report("was answered twice");
    }
    if outcome.end == Some(End::Finished)
        && !outcome.is_complete()
        && outcome.disconnected_at.is_none()
    {
        report("got an incomplete answer");
    }
    if outcome.reported_not_run() && world.was_dispatched(caller) {
        report("got not_run for a request that had run");
    }
    violations
}

/// Calls that must not be repeated run at most once per idempotency key, or per request without
/// one.
fn repeated_runs(world: &World) -> Vec<String> {
    let mut by_key: BTreeMap<(SmolStr, SmolStr), Vec<CallerId>> = BTreeMap::new();
    for (caller, outcome) in &world.outcomes {
        if let Target::Plain {
            safe: false,
            idempotency_key,
            ..
        } = &outcome.script.target
        {
            let own = SmolStr::new(format!("send {}", caller.0));
            let key = (
                outcome.script.key.clone(),
                idempotency_key.clone().unwrap_or(own),
            );
            by_key.entry(key).or_default().push(*caller);
        }
    }
    by_key
        .iter()
        .filter(|(_, callers)| world.runs_of(callers) > 1)
        .map(|((_, key), callers)| format!("{key} ran {} times", world.runs_of(callers)))
        .collect()
}

fn limit_overruns(world: &World) -> Vec<String> {
    let customers = world.deployment().customers.iter();
    customers
        .filter_map(|c| {
            world
                .audit
                .overrun(&CustomerId::new(&c.name), c.rate, c.burst)
        })
        .map(|overrun| format!("limit overrun: {overrun:?}"))
        .collect()
}

fn late_memory_releases(world: &World) -> Vec<String> {
    let callers = world.late_releases.iter();
    callers
        .map(|caller| format!("{caller:?} occupied engine memory for too long"))
        .collect()
}
