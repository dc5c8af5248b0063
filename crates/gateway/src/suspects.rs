//! Finds out whether a request crashed the backend server that ran it.

use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::ServerKey;
use tokio::time::sleep;

use crate::EventCode;
use crate::caller_request::CallerRequest;
use crate::node::Node;
use crate::upstreams::connect;

/// Time after a broken connection at which the server is looked at.
const LOOK_AFTER: Duration = Duration::from_millis(30);

/// Looks whether the server that broke a request's connection is down, and if so counts a crash.
pub fn check(node: &Rc<Node>, server: ServerKey, req: &CallerRequest) {
    let state = node.state.borrow();
    let Some(address) = state.pool.get(server).map(|s| s.entry.address.clone()) else {
        return;
    };
    drop(state);
    let (node, fingerprint) = (node.clone(), req.fingerprint);
    let request = req.headers.request_id.clone();
    tokio::task::spawn_local(async move {
        sleep(LOOK_AFTER).await;
        if connect(&address).await.is_ok() {
            return;
        }
        let now = node.now();
        let crashes = node
            .state
            .borrow_mut()
            .poison
            .record_crash(now, fingerprint);
        let fields = [
            ("request", request.as_str().into()),
            ("server", address.as_str().into()),
            ("crashes", crashes.into()),
        ];
        node.note(EventCode::Suspected, fields);
    });
}
