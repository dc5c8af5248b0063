//! Sends complete HTTP responses to callers.

use std::io;

use jacinthlever_core::Reply;
use jacinthlever_types::{Code, RecordedOutcome, Verdict};
use tiny_http::{Header, Request, Response};

/// Responds with a reply of the core; `None` means that the core did not reply.
pub fn respond_reply(request: Request, reply: Option<Reply>) {
    match reply {
        Some(Reply::Json(body)) => {
            respond(
                request,
                200,
                "application/json",
                body.to_string().into_bytes(),
            );
        }
        Some(Reply::Plain(response)) => {
            let body = response.body.clone();
            respond(request, response.status, &response.content_type, body);
        }
        Some(Reply::Recorded(outcome)) => respond_recorded(request, outcome),
        Some(Reply::Refused(verdict)) => respond_verdict(request, &verdict),
        Some(Reply::Finished { .. }) | None => respond_verdict(request, &no_reply()),
    }
}

/// Responds with the recorded outcome of an earlier call with the same idempotency key.
fn respond_recorded(request: Request, outcome: RecordedOutcome) {
    let body = outcome.body.unwrap_or_default().into_bytes();
    let mut response = Response::from_data(body).with_status_code(outcome.status);
    add_header(&mut response, "Content-Type", &outcome.content_type);
    add_header(&mut response, "Idempotency-Replayed", "true");
    send(request, response);
}

/// Responds with a verdict as JSON.
pub fn respond_verdict(request: Request, verdict: &Verdict) {
    let body = verdict.to_json().to_string().into_bytes();
    let mut response = Response::from_data(body).with_status_code(verdict.code.status());
    add_header(&mut response, "Content-Type", "application/json");
    if let Some(wait) = verdict.retry_after {
        // The header has whole seconds, rounded up: a caller that retries early is refused again.
        let seconds = wait.as_millis().div_ceil(1_000);
        add_header(&mut response, "Retry-After", &seconds.to_string());
    }
    send(request, response);
}

/// Responds with plain text.
pub fn respond_text(request: Request, status: u16, text: &str) {
    respond(request, status, "text/plain; charset=utf-8", text.into());
}

/// Responds with a status, a content type and a body.
pub fn respond(request: Request, status: u16, content_type: &str, body: Vec<u8>) {
    let mut response = Response::from_data(body).with_status_code(status);
    add_header(&mut response, "Content-Type", content_type);
    send(request, response);
}

fn add_header(response: &mut Response<io::Cursor<Vec<u8>>>, name: &str, value: &str) {
    if let Ok(header) = Header::from_bytes(name, value) {
        response.add_header(header);
    }
}

fn send(request: Request, response: Response<io::Cursor<Vec<u8>>>) {
    // The connection guard reports a caller that has disconnected.
    if let Err(error) = request.respond(response) {
        log::debug!("could not write a response to a caller: {error}");
    }
}

/// Returns the verdict on a request that ended without a reply of the core.
pub fn no_reply() -> Verdict {
    Verdict::may_have_run(
        Code::BackendFailed,
        "the instance produced no response to the request",
    )
}
