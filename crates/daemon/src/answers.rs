//! Writes whole answers to callers.

use std::io;

use jacinthlever_core::Reply;
use jacinthlever_types::{Code, RecordedOutcome, Verdict};
use tiny_http::{Header, Request, Response};

/// Answers a caller with what the core has decided; nothing means that the request was lost.
pub fn answer_reply(request: Request, reply: Option<Reply>) {
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
        Some(Reply::Recorded(outcome)) => answer_recorded(request, outcome),
        Some(Reply::Refused(verdict)) => answer_verdict(request, &verdict),
        Some(Reply::Finished { .. }) | None => answer_verdict(request, &lost()),
    }
}

/// Repeats the recorded outcome of an earlier, equal call.
fn answer_recorded(request: Request, outcome: RecordedOutcome) {
    let body = outcome.body.unwrap_or_default().into_bytes();
    let mut response = Response::from_data(body).with_status_code(outcome.status);
    add_header(&mut response, "Content-Type", &outcome.content_type);
    add_header(&mut response, "Idempotency-Replayed", "true");
    send(request, response);
}

/// Answers a caller with a verdict.
pub fn answer_verdict(request: Request, verdict: &Verdict) {
    let body = verdict.to_json().to_string().into_bytes();
    let mut response = Response::from_data(body).with_status_code(verdict.code.status());
    add_header(&mut response, "Content-Type", "application/json");
    if let Some(wait) = verdict.retry_after {
        // The header counts whole seconds; a caller that comes back early is refused again.
        let seconds = wait.as_millis().div_ceil(1_000);
        add_header(&mut response, "Retry-After", &seconds.to_string());
    }
    send(request, response);
}

/// Answers a caller with a line of text.
pub fn answer_text(request: Request, status: u16, text: &str) {
    respond(request, status, "text/plain; charset=utf-8", text.into());
}

/// Answers a caller with a whole body.
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
    // A caller that has left is reported by the gate.
    if let Err(error) = request.respond(response) {
        log::debug!("an answer could not be written: {error}");
    }
}

/// Returns the verdict on a request that the instance no longer knows of.
pub fn lost() -> Verdict {
    Verdict::may_have_run(Code::BackendFailed, "the instance lost the request")
}
