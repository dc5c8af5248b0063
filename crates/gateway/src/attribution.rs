//! Decides which request an answer belongs to.
//!
//! A server may send an answer twice. The second copy arrives where the answer to the next request on
//! the connection is expected, and the real one arrives after it. An answer is attributed by what it names,
//! which no earlier call on its connection has had answered; see `docs/design/answers.md`.

use http::StatusCode;
use jacinthlever_routing::ServerKey;
use smol_str::SmolStr;

use crate::context::Context;
use crate::exchange::SendError;
use crate::{AnswerHead, EventCode};

/// The answer on the connection belongs to another request, so nothing is known of this one.
pub const FOREIGN_ANSWER: SendError = SendError::Lost("answer of another request");

/// Checks that an answer names the request for which it was received, or none if that one has no
/// identifier, as control calls. A copy of an earlier answer cannot name the same, since the connection has
/// carried no other call with that name ([`jacinthlever_routing::ConnectionHistory`]). Nothing else in an answer may be used before this check, and a
/// connection with the answer of another request may not be used again.
///
/// # Errors
/// Returns [`FOREIGN_ANSWER`] if the answer belongs to another request.
pub fn check(answer: &AnswerHead, request: Option<&SmolStr>) -> Result<(), SendError> {
    match answer.request_id.as_ref() == request {
        true => Ok(()),
        false => Err(FOREIGN_ANSWER),
    }
}

/// Logs the answer of another request, which came from a server.
pub fn log_foreign(
    cx: &Context,
    server: ServerKey,
    status: StatusCode,
    answer: &AnswerHead,
    request: Option<&SmolStr>,
) {
    let id = cx.state.borrow().pool.id_of(server);
    let fields = [
        ("request", request.map(SmolStr::as_str).into()),
        ("server", id.as_str().into()),
        ("answers", answer.request_id.as_deref().into()),
        ("status", status.as_u16().into()),
        ("says_not_run", answer.is_not_run.into()),
    ];
    cx.log(EventCode::ForeignAnswer, fields);
}
