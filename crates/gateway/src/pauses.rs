//! Pauses that backend servers ask for when they refuse a request.

use std::time::Duration;

use jacinthlever_routing::ServerKey;

use crate::context::Context;
use crate::{DecodeError, EventCode};

/// Maximum pause; a longer one is taken for this, so that a mistake of a server does not last for
/// ever.
const MAX_PAUSE: Duration = Duration::from_secs(3600);

/// Maximum random extension of a pause, as a fraction of it: instances should not all return at the
/// same moment.
const JITTER_RATIO: f64 = 0.1;

/// Maximum random extension of a pause of any length.
const MAX_JITTER: Duration = Duration::from_secs(1);

/// Records the pause in an answer of a server, or that it asks for none, to a request that was sent
/// at `sent_at`.
pub fn record(
    cx: &Context,
    server: ServerKey,
    sent_at: Duration,
    pause: &Option<Result<Duration, DecodeError>>,
) {
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    let id = state.pool.id_of(server);
    let Some(entry) = state.pool.get_mut(server) else {
        return;
    };
    let name = ("server", id.as_str().into());
    match pause {
        None => {
            if entry.requested_pause.record_answer(sent_at) {
                cx.log(EventCode::PauseEnded, [name]);
            }
        }
        Some(Ok(pause)) => {
            let pause = (*pause).min(MAX_PAUSE);
            let jitter = pause.mul_f64(JITTER_RATIO).min(MAX_JITTER);
            let pause = pause + jitter.mul_f64(cx.random());
            entry.requested_pause.start(now + pause);
            let ms = pause.as_millis() as u64;
            cx.log(EventCode::PauseRequested, [name, ("for_ms", ms.into())]);
        }
        Some(Err(error)) => {
            let cause = error.to_string();
            cx.log(EventCode::PauseUnreadable, [name, ("cause", cause.into())]);
        }
    }
}
