//! Loads that servers of plain services state in their answers, which instances share while scheduling is
//! active; see `docs/design/placement-by-cost.md`.

use std::time::Duration;

use jacinthlever_routing::{LoadOrigin, LoadStatement, ServerKey};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ServerLoad;
use crate::context::Context;
use crate::scheduling;
use crate::state::State;

/// Largest slowdown that is sent, in percent.
const MAX_SLOWDOWN_PERCENT: f64 = 65_535.0;

/// Load of a server, as instances tell each other. The names are short, since a message has several.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SharedLoad {
    #[serde(rename = "id")]
    server: SmolStr,
    /// Number of running and waiting requests.
    load: u32,
    /// Time since the statement, in milliseconds.
    #[serde(rename = "age")]
    age_ms: u64,
    /// Time that work takes on the server, in percent of the usual time.
    #[serde(default, rename = "slow", skip_serializing_if = "Option::is_none")]
    slowdown_percent: Option<u32>,
}

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
    to_share(state, now, since, LoadOrigin::Own)
}

/// Returns what servers have stated to the instances of this zone since its last digest.
pub fn for_digest(state: &mut State, now: Duration) -> Vec<SharedLoad> {
    let since = std::mem::replace(&mut state.loads_digested_at, now);
    to_share(state, now, since, LoadOrigin::Zone)
}

fn to_share(
    state: &State,
    now: Duration,
    since: Duration,
    farthest: LoadOrigin,
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
    let loads = state.pool.loads_to_share(now, since, farthest, is_plain);
    let shared = loads.into_iter().map(|(server, statement)| SharedLoad {
        server,
        load: statement.load,
        age_ms: statement.age(now).as_millis() as u64,
        slowdown_percent: statement
            .slowdown
            .map(|slowdown| (slowdown * 100.0).clamp(1.0, MAX_SLOWDOWN_PERCENT) as u32),
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
    for shared in loads {
        // A load older than this process is too old in any case.
        let Some(stated_at) = now.checked_sub(Duration::from_millis(shared.age_ms)) else {
            continue;
        };
        let statement = LoadStatement {
            load: shared.load,
            slowdown: shared
                .slowdown_percent
                .filter(|percent| *percent > 0)
                .map(|percent| f64::from(percent) / 100.0),
            stated_at,
        };
        if statement.is_fresh(now) && state.pool.merge_load(&shared.server, statement, origin) {
            cx.metrics.count_discarded_rates();
        }
    }
}

/// Adds the time for which a message was kept to the ages of its loads.
pub fn add_age(loads: &mut [SharedLoad], kept: Duration) {
    for shared in loads {
        shared.age_ms = shared.age_ms.saturating_add(kept.as_millis() as u64);
    }
}
