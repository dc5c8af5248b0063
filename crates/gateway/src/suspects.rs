//! Detects requests that may have crashed the backend server that ran them.

use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::ServerKey;
use tokio::time::sleep;

use crate::EventCode;
use crate::caller_request::CallerRequest;
use crate::connection_pool::connect;
use crate::context::Context;

/// Time from a broken connection to the check whether the server still accepts connections.
const CHECK_DELAY: Duration = Duration::from_millis(30);

/// Checks in the background whether the server that broke a request's connection is down, and if so
/// counts a crash against the request.
pub fn check_for_crash(cx: &Rc<Context>, server: ServerKey, req: &CallerRequest) {
    let state = cx.state.borrow();
    let Some(address) = state.pool.get(server).map(|s| s.entry.address.clone()) else {
        return;
    };
    drop(state);
    let (cx, fingerprint) = (cx.clone(), req.fingerprint);
    let request = req.headers.request_id.clone();
    tokio::task::spawn_local(async move {
        sleep(CHECK_DELAY).await;
        if connect(&address).await.is_ok() {
            return;
        }
        let now = cx.now();
        let crashes = cx
            .state
            .borrow_mut()
            .suspect_requests
            .record_crash(now, fingerprint);
        let fields = [
            ("request", request.as_str().into()),
            ("server", address.as_str().into()),
            ("crashes", crashes.into()),
        ];
        cx.log(EventCode::Suspected, fields);
    });
}
