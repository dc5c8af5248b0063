//! Tells callers which instances to use, and the platform whether this one is ready.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use smol_str::SmolStr;

use crate::answer::AnswerBody;
use crate::node::Node;

/// How long callers may keep addresses, unless the operators' bound is shorter.
const KEPT: Duration = Duration::from_secs(2);

/// Most addresses in one answer.
const MOST_ADDRESSES: usize = 64;

/// Answers a question for addresses.
pub fn resolve<B>(node: &Node, req: &Request<B>) -> Response<AnswerBody> {
    if req.uri().path() != node.adapter.callers.directory_path {
        return status(StatusCode::NOT_FOUND);
    }
    let addresses = addresses(node);
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let bound = Duration::from_secs_f64(node.settings().bounds.directory_ttl_s);
    let body = (node.adapter.callers.directory_body)(&addresses, KEPT.min(bound));
    let mut response = Response::new(AnswerBody::whole(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Answers whether this instance takes requests.
pub fn readiness<B>(node: &Node, req: &Request<B>) -> Response<AnswerBody> {
    if req.uri().path() != node.adapter.callers.readiness_path {
        return status(StatusCode::NOT_FOUND);
    }
    if is_ready(node) {
        status(StatusCode::OK)
    } else {
        status(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Answers with the metrics.
pub fn metrics<B>(node: &Node, _req: &Request<B>) -> Response<AnswerBody> {
    Response::new(AnswerBody::whole(Bytes::from(node.metrics.text())))
}

fn is_ready(node: &Node) -> bool {
    node.state.borrow().is_ready(node.now(), &node.settings())
}

/// The instances that take requests; if none is known to, all that this one hears.
fn addresses(node: &Node) -> Vec<SmolStr> {
    let settings = node.settings();
    let state = node.state.borrow();
    let own = SmolStr::new(settings.listen.callers.to_string());
    let mut addresses = state.members.ready_addresses(node.now());
    addresses.truncate(MOST_ADDRESSES - 1);
    drop(state);
    let alone = addresses.is_empty() && node.state.borrow().is_serving();
    if is_ready(node) || alone {
        addresses.push(own);
    }
    addresses
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}
