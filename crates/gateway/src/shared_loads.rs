//! Loads that servers of plain services state in their answers, which instances share while scheduling is
//! active; see `docs/design/placement-by-cost.md`.

use std::time::Duration;

use jacinthlever_routing::{
    LoadOrigin, LoadStatement, MAX_DIGEST_LOADS, ServerKey, max_reported_loads, report_interval,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ServerLoad;
use crate::context::Context;
use crate::scheduling;
use crate::state::State;

/// Largest slowdown that is sent, in percent.
const MAX_SLOWDOWN_PERCENT: f64 = 65_535.0;

/// Load of a server in messages between instances, without names of fields, since a message has several:
/// the server, the number of running and waiting requests, the time since the statement in milliseconds,
/// and the time that work takes on the server in percent of the usual time, if it is stated.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SharedLoad(SmolStr, u32, u64, Option<u32>);

/// Records the load in an answer of a server.
pub fn record(cx: &Context, server: ServerKey, load: ServerLoad) {
    let statement = LoadStatement {
        load: load.running.saturating_add(load.waiting),
        slowdown: load.slowdown,
        stated_at: cx.now(),
    };
    let mut state = cx.state.borrow_mut();
    let known = state.pool.get_mut(server);
    let has_changed = known.is_some_and(|s| s.record_load(statement, LoadOrigin::Own));
    drop(state);
    if has_changed {
        cx.metrics.count_discarded_rates();
    }
    if load.slowdown.is_some() {
        scheduling::record_slowdown_stated(cx);
    }
}

/// Returns what servers have stated to this instance since its last report.
pub fn for_report(state: &mut State, now: Duration) -> Vec<SharedLoad> {
    let since = std::mem::replace(&mut state.loads_reported_at, now);
    let zone_size = state.members.zone_size(now);
    let peers = zone_size.saturating_sub(1);
    let max = max_reported_loads(peers, report_interval(zone_size));
    to_share(state, now, since, LoadOrigin::Own, max)
}

/// Returns what servers have stated to the instances of this zone since its last digest.
pub fn for_digest(state: &mut State, now: Duration) -> Vec<SharedLoad> {
    let since = std::mem::replace(&mut state.loads_digested_at, now);
    to_share(state, now, since, LoadOrigin::Zone, MAX_DIGEST_LOADS)
}

fn to_share(
    state: &State,
    now: Duration,
    since: Duration,
    farthest: LoadOrigin,
    max: usize,
) -> Vec<SharedLoad> {
    let Some(config) = state
        .config
        .as_ref()
        .filter(|_| state.is_scheduling_active())
    else {
        return Vec::new();
    };
    let is_plain = |service: &str| {
        let service = config.services.get(service);
        service.is_some_and(|service| service.engine.is_none())
    };
    let loads = state
        .pool
        .loads_to_share(now, since, farthest, max, is_plain);
    let shared = loads.into_iter().map(|(server, statement)| {
        let age_ms = statement.age(now).as_millis() as u64;
        let percent = |slowdown: f64| (slowdown * 100.0).clamp(1.0, MAX_SLOWDOWN_PERCENT) as u32;
        let slowdown = statement.slowdown.map(percent);
        SharedLoad(server, statement.load, age_ms, slowdown)
    });
    shared.collect()
}

/// Merges the loads in a message that has come from another instance of the zone, or from another zone.
pub fn merge(cx: &Context, loads: &[SharedLoad], origin: LoadOrigin) {
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    if !state.is_scheduling_active() {
        return;
    }
    for SharedLoad(server, load, age_ms, percent) in loads {
        // A load older than this process is too old in any case.
        let Some(stated_at) = now.checked_sub(Duration::from_millis(*age_ms)) else {
            continue;
        };
        let percent = percent.filter(|percent| *percent > 0);
        let statement = LoadStatement {
            load: *load,
            slowdown: percent.map(|percent| f64::from(percent) / 100.0),
            stated_at,
        };
        if statement.is_fresh(now) && state.pool.merge_load(server, statement, origin) {
            cx.metrics.count_discarded_rates();
        }
    }
}

/// Adds the time for which a message was kept to the ages of its loads.
pub fn add_age(loads: &mut [SharedLoad], kept: Duration) {
    for SharedLoad(_, _, age_ms, _) in loads {
        *age_ms = age_ms.saturating_add(kept.as_millis() as u64);
    }
}
