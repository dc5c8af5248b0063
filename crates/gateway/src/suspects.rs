//! Detects requests that may have crashed the backend server that ran them.

use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::ServerKey;
use tokio::time::sleep;

use crate::EventCode;
use crate::caller_request::CallerRequest;
use crate::connection_pool::connect;
use crate::context::Context;
use crate::exchange::{SendError, TIMED_OUT};
use crate::quarantine;
use crate::reach;
use crate::stream::SILENT_ENGINE;

/// Time from a broken connection to the check whether the server still accepts connections.
const CHECK_DELAY: Duration = Duration::from_millis(30);

/// A run of a request that ended without a complete answer.
#[derive(Clone, Copy, Debug)]
pub struct BrokenRun {
    /// Server that ran the request.
    pub server: ServerKey,
    /// How the run ended.
    pub cause: SendError,
    /// When the request was sent to the server, or earlier.
    pub sent_at: Duration,
    /// When the first event of the answer arrived; `None` if none did.
    pub answer_began_at: Option<Duration>,
}

/// Time for which an answer must have been arriving to show that its prompt does not crash servers.
pub const PROVING_TIME: Duration = Duration::from_secs(1);

impl BrokenRun {
    /// Whether the prompt may have crashed the server: it crashes one that begins to answer, so its
    /// process ends and its connections break. A server that is silent has been lost otherwise.
    fn implicates_prompt(&self, answered_for: Option<Duration>) -> bool {
        let is_proven = answered_for.is_some_and(|time| time >= PROVING_TIME);
        !is_proven && ![TIMED_OUT, SILENT_ENGINE].contains(&self.cause)
    }
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
    let ended_at = cx.now();
    let answered_for = run.answer_began_at.map(|at| ended_at.saturating_sub(at));
    tokio::task::spawn_local(async move {
        sleep(CHECK_DELAY).await;
        if connect(&entry.address).await.is_ok() {
            return;
        }
        // Without a way to any server, this instance cannot tell that one has ended.
        if !reach::hears_another(&cx, run.server).await {
            return;
        }
        let now = cx.now();
        let crashes = cx
            .state
            .borrow_mut()
            .suspect_requests
            .record_crash(now, fingerprint);
        if run.implicates_prompt(answered_for) {
            let run_time = (run.sent_at, ended_at);
            quarantine::record_crash(&cx, &entry, run_time, &shared_parts);
        }
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
