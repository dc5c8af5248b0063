//! Turns scheduling by load, cost and rate on and off; see `docs/design/placement-by-cost.md`.

use crate::context::Context;
use crate::{EventCode, Settings};

/// Applies what the settings state, which may have changed.
pub fn configure(cx: &Context, settings: &Settings) {
    update(cx, "settings", |state| {
        state.is_scheduling_configured = settings.scheduling.is_active;
    });
}

/// Turns scheduling on for the rest of the process's life, since a backend server has stated its
/// slowdown: all servers of the deployment do if one does, and a restart of one must not turn it off.
pub fn record_slowdown_stated(cx: &Context) {
    update(cx, "server", |state| state.is_slowdown_stated = true);
}

fn update(cx: &Context, from: &str, change: impl FnOnce(&mut crate::state::State)) {
    let mut state = cx.state.borrow_mut();
    let before = state.is_scheduling_active();
    change(&mut state);
    let is_active = state.is_scheduling_active();
    drop(state);
    if is_active != before {
        cx.log(
            EventCode::SchedulingChanged,
            [("active", is_active.into()), ("from", from.into())],
        );
    }
}
