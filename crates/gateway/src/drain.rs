//! Stops the process without cutting an answer off.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep};

use crate::context::Context;
use crate::{EventCode, Settings};

/// Time from SIGTERM for which connections are accepted: callers still come until they ask for
/// addresses again. After that a refused connection sends them elsewhere at once.
const LINGER: Duration = Duration::from_millis(2600);

/// Time for a request that was on its way on an accepted connection.
const LAST_REQUESTS: Duration = Duration::from_millis(250);

/// Time before the kill at which the process ends in any case.
const END_BEFORE_KILL: Duration = Duration::from_millis(400);

/// Pause between two looks at what is still under way.
const LOOK: Duration = Duration::from_millis(50);

/// Pause between two looks at the settings file, which may change without a signal.
const RELOAD_EVERY: Duration = Duration::from_secs(1);

/// Waits for SIGTERM, then until all answers are handed over.
///
/// # Errors
/// Fails if the signal cannot be waited for.
pub async fn drain_on_sigterm(cx: Rc<Context>) -> io::Result<()> {
    signal(SignalKind::terminate())?.recv().await;
    let began = Instant::now();
    cx.state.borrow_mut().is_draining = true;
    let in_flight = cx.in_flight.get();
    cx.log(EventCode::Stopping, [("in_flight", in_flight.into())]);
    let most = cx
        .settings()
        .bounds
        .grace_period()
        .saturating_sub(END_BEFORE_KILL);
    sleep(LINGER.min(most)).await;
    cx.stop_accepting.notify_one();
    cx.close_connections.notify_waiters();
    sleep(LAST_REQUESTS).await;
    while cx.in_flight.get() > 0 && began.elapsed() < most {
        sleep(LOOK).await;
    }
    let in_flight = cx.in_flight.get();
    cx.log(EventCode::Stopped, [("in_flight", in_flight.into())]);
    Ok(())
}

/// Reads the settings again on SIGHUP and when the file changes.
///
/// # Errors
/// Fails if the signal cannot be waited for.
pub async fn reload_on_change(cx: Rc<Context>, path: PathBuf) -> io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    let mut changed = modified(&path);
    loop {
        tokio::select! {
            _ = hangups.recv() => {}
            () = sleep(RELOAD_EVERY) => {
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
    match Settings::open(path) {
        Ok(settings) => {
            let is_new = settings != *cx.settings();
            *cx.settings.borrow_mut() = Rc::new(settings);
            cx.log(EventCode::Reloaded, [("changed", is_new.into())]);
        }
        Err(error) => {
            let fields = [("cause", error.to_string().into())];
            cx.log(EventCode::ReloadFailed, fields);
        }
    }
}
