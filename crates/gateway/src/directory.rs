//! Endpoints for the addresses of instances, the readiness of this instance, and its metrics.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use smol_str::SmolStr;

use crate::answer::AnswerBody;
use crate::context::Context;

/// Time for which callers may cache addresses, unless the operators' bound is shorter.
const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Answers a request for the addresses of instances.
pub fn resolve<B>(cx: &Context, req: &Request<B>) -> Response<AnswerBody> {
    if req.uri().path() != cx.adapter.callers.directory_path {
        return status(StatusCode::NOT_FOUND);
    }
    let addresses = addresses(cx);
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let bound = Duration::from_secs_f64(cx.settings().bounds.directory_ttl_s);
    let body = (cx.adapter.callers.directory_body)(&addresses, ADDRESS_TTL.min(bound));
    let mut response = Response::new(AnswerBody::full(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Answers a readiness check: 200 if this instance accepts requests, 503 if not.
pub fn readiness<B>(cx: &Context, req: &Request<B>) -> Response<AnswerBody> {
    if req.uri().path() != cx.adapter.callers.readiness_path {
        return status(StatusCode::NOT_FOUND);
    }
    if is_ready(cx) {
        status(StatusCode::OK)
    } else {
        status(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Answers a request for the metrics.
pub fn metrics<B>(cx: &Context, _req: &Request<B>) -> Response<AnswerBody> {
    Response::new(AnswerBody::full(Bytes::from(cx.metrics.encode())))
}

fn is_ready(cx: &Context) -> bool {
    cx.state.borrow().is_ready(cx.now(), &cx.settings())
}

/// Returns the addresses of ready instances. If no other instance is ready, this instance's own
/// address is returned as long as it can serve requests, even if it is not ready. An instance that
/// reaches no server of some service is left out while another one reaches all.
fn addresses(cx: &Context) -> Vec<SmolStr> {
    let settings = cx.settings();
    let state = cx.state.borrow();
    let own_address = SmolStr::new(settings.listen.callers.to_string());
    let mut addresses = state.members.ready_addresses(cx.now());
    addresses.truncate(MAX_ADDRESSES - 1);
    drop(state);
    let state = cx.state.borrow();
    let is_only_choice = addresses.is_empty() && state.is_serving();
    let reaches_all = state.lost_services().is_empty();
    drop(state);
    if (is_ready(cx) && reaches_all) || is_only_choice {
        addresses.push(own_address);
    }
    addresses
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(Bytes::new()));
    *response.status_mut() = status;
    response
}
