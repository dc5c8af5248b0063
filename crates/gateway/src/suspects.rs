//! Detects requests that may have crashed the backend server that ran them.

use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::ServerKey;
use tokio::time::sleep;

use crate::EventCode;
use crate::caller_request::CallerRequest;
use crate::connection_pool::connect;
use crate::context::Context;
use crate::exchange::SendError;

/// Time from a broken connection to the check whether the server still accepts connections.
const CHECK_DELAY: Duration = Duration::from_millis(30);

/// A run of a request that ended without a complete answer.
#[derive(Clone, Copy, Debug)]
pub struct BrokenRun {
    /// Server that ran the request.
    pub server: ServerKey,
    /// How the run ended.
    pub cause: SendError,
    /// When the first event of the answer arrived; `None` if none did.
    pub answer_began_at: Option<Duration>,
}

/// Checks in the background whether the server that broke a request's connection is down, and if so
/// counts a crash against the request.
pub fn check_for_crash(cx: &Rc<Context>, run: BrokenRun, req: &CallerRequest) {
    let state = cx.state.borrow();
    let Some(entry) = state.pool.get(run.server).map(|s| s.entry.clone()) else {
        return;
    };
    drop(state);
    let (cx, fingerprint) = (cx.clone(), req.fingerprint);
    let request = req.headers.request_id.clone();
    let shared_parts = req.headers.shared_parts.clone();
    let answered_for = run.answer_began_at.map(|at| cx.now().saturating_sub(at));
    tokio::task::spawn_local(async move {
        sleep(CHECK_DELAY).await;
        if connect(&entry.address).await.is_ok() {
            return;
        }
        let now = cx.now();
        let crashes = cx
            .state
            .borrow_mut()
            .suspect_requests
            .record_crash(now, fingerprint);
        cx.metrics
            .count_crashed_run(&entry.service, answered_for.is_some());
        let parts: Vec<String> = shared_parts.iter().map(ToString::to_string).collect();
        let fields = [
            ("request", request.as_str().into()),
            ("server", entry.id.as_str().into()),
            ("address", entry.address.as_str().into()),
            ("cause", run.cause.reason().into()),
            ("crashes", crashes.into()),
            ("shared_parts", parts.into()),
            (
                "answered_for_ms",
                answered_for.map(|time| time.as_millis() as u64).into(),
            ),
        ];
        cx.log(EventCode::Suspected, fields);
    });
}
