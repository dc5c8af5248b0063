//! Graceful shutdown on SIGTERM, and reload of the settings.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use jacinthlever_routing::{PlannedStop, Route};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use crate::context::Context;
use crate::scheduling;
use crate::{EventCode, Settings};

/// Interval at which the number of busy connections is polled while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time for the last answers to be written before the exit.
const LAST_WRITE_TIME: Duration = Duration::from_millis(100);

/// Interval at which it is checked whether they are written.
const WRITE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Interval at which the settings file is checked, since it may change without a signal.
const RELOAD_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Whether a request with a deadline may begin: it is expected to end before this instance stops.
pub fn may_begin(cx: &Context, route: &Route, deadline: Duration) -> bool {
    let stop = *cx.planned_stop.borrow();
    stop.is_none_or(|stop| cx.now() <= begin_by(cx, &stop, route, deadline))
}

/// Waits until it is too late for a request to begin. Does not return unless a planned stop begins.
pub async fn too_late_to_begin(cx: &Context, route: &Route, deadline: Duration) {
    cx.wait_for_stop(|stop| begin_by(cx, stop, route, deadline))
        .await;
}

fn begin_by(cx: &Context, stop: &PlannedStop, route: &Route, deadline: Duration) -> Duration {
    let expected = cx.state.borrow().run_times.expected(route);
    stop.begin_by(deadline, expected)
}

/// Waits for SIGTERM, then drains: returns when all answers are written or the grace period is about to
/// end.
///
/// # Errors
/// Fails if the signal handler cannot be installed.
pub async fn drain_on_sigterm(cx: Rc<Context>) -> io::Result<()> {
    signal(SignalKind::terminate())?.recv().await;
    let grace_period = cx.settings().bounds.grace_period();
    let stop = PlannedStop::new(cx.now(), grace_period);
    cx.state.borrow_mut().is_draining = true;
    cx.planned_stop.send_replace(Some(stop));
    let in_flight = cx.in_flight.get();
    cx.log(EventCode::Stopping, [("in_flight", in_flight.into())]);
    cx.wait_for_stop(PlannedStop::close_connections_at).await;
    loop {
        // Connections that are asked to close may have bytes of a request.
        sleep(DRAIN_POLL_INTERVAL).await;
        if cx.busy_connections.get() == 0 || cx.now() >= stop.exit_by() {
            break;
        }
    }
    cx.planned_stop.send_replace(Some(stop.ended_at(cx.now())));
    let verdicts = &cx.stop_verdicts;
    cx.log(
        EventCode::Stopped,
        [
            ("in_flight", cx.in_flight.get().into()),
            ("not_run", verdicts.not_run.get().into()),
            ("may_have_run", verdicts.may_have_run.get().into()),
        ],
    );
    Ok(())
}

/// Waits, for a moment only, until the answers to the last requests that were read are written. The
/// process must exit without a further wait: nothing is read in between.
pub async fn finish_writing(cx: &Context) {
    let until = cx.now() + LAST_WRITE_TIME;
    while cx.busy_connections.get() > cx.in_flight.get() && cx.now() < until {
        sleep(WRITE_POLL_INTERVAL).await;
    }
}

/// Reloads the settings on SIGHUP and when the file changes.
///
/// # Errors
/// Fails if the signal handler cannot be installed.
pub async fn reload_on_change(cx: Rc<Context>, path: PathBuf) -> io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    let mut changed = modified(&path);
    loop {
        tokio::select! {
            _ = hangups.recv() => {}
            () = sleep(RELOAD_POLL_INTERVAL) => {
                let now = modified(&path);
                if now == changed {
                    continue;
                }
                changed = now;
            }
        }
        reload(&cx, &path);
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

fn reload(cx: &Context, path: &Path) {
    match Settings::open(path, cx.adapter.translate_settings) {
        Ok(settings) => {
            let is_new = settings != *cx.settings();
            scheduling::configure(cx, &settings);
            *cx.settings.borrow_mut() = Rc::new(settings);
            cx.log(EventCode::Reloaded, [("changed", is_new.into())]);
        }
        Err(error) => {
            let fields = [("cause", error.to_string().into())];
            cx.log(EventCode::ReloadFailed, fields);
        }
    }
}
