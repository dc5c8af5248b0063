//! What must hold of every run of a world, whatever failed in it.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_core::{CallerId, Target};
use jacinthlever_types::CustomerId;
use smol_str::SmolStr;

use crate::{End, Outcome, World};

/// Returns a line for each promise that the run has broken.
pub fn broken_promises(world: &mut World) -> Vec<String> {
    world.settle_audit();
    let mut broken = Vec::new();
    for (caller, outcome) in &world.outcomes {
        broken.extend(one_true_answer(world, *caller, outcome));
    }
    broken.extend(single_runs(world));
    broken.extend(limits(world));
    broken.extend(freed_memory(world));
    broken.extend(withdrawn_keys(world));
    broken.extend(world.late_work.clone());
    broken
}

/// Time in which an accepted edit is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);

/// After a withdrawal is in force the key gets no result and no token.
fn withdrawn_keys(world: &World) -> Vec<String> {
    let mut broken = Vec::new();
    for (caller, outcome) in &world.outcomes {
        let Some(withdrawn) = world.withdrawn.get(&outcome.script.key) else {
            continue;
        };
        let until = *withdrawn + IN_FORCE;
        let has_result = outcome.end.is_some() && outcome.verdict().is_none();
        let served = has_result && outcome.ended.is_some_and(|at| at > until);
        if served || outcome.last_token.is_some_and(|at| at > until) {
            broken.push(format!(
                "{caller:?} was served with a withdrawn key: {outcome:?}"
            ));
        }
    }
    broken
}

fn one_true_answer(world: &World, caller: CallerId, outcome: &Outcome) -> Vec<String> {
    let mut broken = Vec::new();
    let mut breaks = |what: &str| broken.push(format!("{caller:?} {what}: {outcome:?}"));
    if outcome.answers > 1 {
        breaks("was answered twice");
    }
    if outcome.end == Some(End::Finished) && !outcome.is_whole() && outcome.left.is_none() {
        breaks("got an answer that is not whole");
    }
    if outcome.told_not_run() && world.was_dispatched(caller) {
        breaks("was told not_run and had run");
    }
    broken
}

/// Calls that may not be repeated run at most once for each idempotency key, or for each send.
fn single_runs(world: &World) -> Vec<String> {
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

fn limits(world: &World) -> Vec<String> {
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

fn freed_memory(world: &World) -> Vec<String> {
    let late = world.held_too_long.iter();
    late.map(|caller| format!("{caller:?} held engine memory for too long"))
        .collect()
}
