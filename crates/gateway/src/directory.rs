//! Tells callers which instances to use, and the platform whether this one is ready.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use smol_str::SmolStr;

use crate::answer::AnswerBody;
use crate::context::Context;

/// How long callers may keep addresses, unless the operators' bound is shorter.
const KEPT: Duration = Duration::from_secs(2);

/// Most addresses in one answer.
const MOST_ADDRESSES: usize = 64;

/// Answers a question for addresses.
pub fn resolve<B>(cx: &Context, req: &Request<B>) -> Response<AnswerBody> {
    if req.uri().path() != cx.adapter.callers.directory_path {
        return status(StatusCode::NOT_FOUND);
    }
    let addresses = addresses(cx);
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let bound = Duration::from_secs_f64(cx.settings().bounds.directory_ttl_s);
    let body = (cx.adapter.callers.directory_body)(&addresses, KEPT.min(bound));
    let mut response = Response::new(AnswerBody::full(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Answers whether this instance takes requests.
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

/// Answers with the metrics.
pub fn metrics<B>(cx: &Context, _req: &Request<B>) -> Response<AnswerBody> {
    Response::new(AnswerBody::full(Bytes::from(cx.metrics.encode())))
}

fn is_ready(cx: &Context) -> bool {
    cx.state.borrow().is_ready(cx.now(), &cx.settings())
}

/// The instances that take requests; if none is known to, all that this one hears.
fn addresses(cx: &Context) -> Vec<SmolStr> {
    let settings = cx.settings();
    let state = cx.state.borrow();
    let own = SmolStr::new(settings.listen.callers.to_string());
    let mut addresses = state.members.ready_addresses(cx.now());
    addresses.truncate(MOST_ADDRESSES - 1);
    drop(state);
    let alone = addresses.is_empty() && cx.state.borrow().is_serving();
    if is_ready(cx) || alone {
        addresses.push(own);
    }
    addresses
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(Bytes::new()));
    *response.status_mut() = status;
    response
}
