//! Graceful shutdown on SIGTERM, and reload of the settings.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep};

use crate::context::Context;
use crate::scheduling;
use crate::{EventCode, Settings};

/// Time after SIGTERM during which new connections are accepted, since callers use this instance
/// until they resolve addresses again. After that a refused connection makes them use another
/// instance at once.
const ACCEPT_PERIOD: Duration = Duration::from_millis(2600);

/// Time allowed for requests that are already on their way on an open connection.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(250);

/// Margin before the platform's kill at which the process exits even if answers are in flight.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Interval at which the number of requests in flight is polled while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the settings file is checked, since it may change without a signal.
const RELOAD_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Waits for SIGTERM, then drains: returns when all answers are complete or the grace period is
/// about to end.
///
/// # Errors
/// Fails if the signal handler cannot be installed.
pub async fn drain_on_sigterm(cx: Rc<Context>) -> io::Result<()> {
    signal(SignalKind::terminate())?.recv().await;
    let began = Instant::now();
    cx.state.borrow_mut().is_draining = true;
    let in_flight = cx.in_flight.get();
    cx.log(EventCode::Stopping, [("in_flight", in_flight.into())]);
    let max_drain = cx
        .settings()
        .bounds
        .grace_period()
        .saturating_sub(KILL_MARGIN);
    sleep(ACCEPT_PERIOD.min(max_drain)).await;
    cx.stop_accepting.notify_one();
    cx.close_connections.notify_waiters();
    sleep(LAST_REQUEST_WAIT).await;
    while cx.in_flight.get() > 0 && began.elapsed() < max_drain {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    let in_flight = cx.in_flight.get();
    cx.log(EventCode::Stopped, [("in_flight", in_flight.into())]);
    Ok(())
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
