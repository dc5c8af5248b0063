//! Answers to callers: their bodies, and the verdicts of this instance.

use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use jacinthlever_routing::retry_after_text;
use smol_str::SmolStr;

use crate::exchange::NO_CONNECTION;
use crate::held_body::HeldBody;
use crate::memory_lease::MemoryLease;

/// Reason for refusing a request: this instance reaches no server of its service.
pub const OUT_OF_REACH: &str = "no server of the service is reached";

/// Reason for refusing a relayed request: the sender has a newer configuration.
pub const OLDER_CONFIG: &str = "configuration is older than the sender's";

/// Reason for refusing a request, or for giving it up: this instance is stopping.
pub const STOPPING: &str = "instance is stopping";

/// Reason for refusing a request whose body is not complete: this instance is stopping.
pub const STOPPING_UNREAD: &str = "instance is stopping and did not wait for the body";

/// Delay after which a caller may retry when this instance is stopping. It finds another one.
const RETRY_AFTER_STOPPING: Duration = Duration::from_millis(100);

/// Reason for refusing a request: its body is longer than allowed.
pub const BODY_TOO_LONG: &str = "body is too long";

/// Reason for refusing a request: its body does not fit the memory.
pub const NO_MEMORY: &str = "no memory for the body";

/// The error of a body that ended before it was complete; holds the cause.
#[derive(Clone, Debug)]
pub struct IncompleteBody(pub SmolStr);

impl fmt::Display for IncompleteBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "answer body ended early: {}", self.0)
    }
}

impl std::error::Error for IncompleteBody {}

/// Chunks of a body in the order in which they arrive.
pub type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, IncompleteBody>>>>;

enum Content {
    Full(Option<Bytes>),
    Held(HeldBody),
    Streamed(ChunkStream),
}

/// Body of an answer to a caller.
pub struct AnswerBody {
    content: Content,
    on_end: Vec<Box<dyn FnOnce()>>,
}

impl AnswerBody {
    /// Creates a body whose bytes are all available.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self {
            content: Content::Full(Some(bytes.into())),
            on_end: Vec::new(),
        }
    }

    /// Creates a body from one that is held as a whole, and that may be shed if the caller does not read it.
    pub fn held(body: HeldBody) -> Self {
        Self {
            content: Content::Held(body.into_answer()),
            on_end: Vec::new(),
        }
    }

    /// Creates a body from chunks that arrive over time.
    pub fn streamed(chunks: ChunkStream) -> Self {
        Self {
            content: Content::Streamed(chunks),
            on_end: Vec::new(),
        }
    }

    /// Returns the memory that the body holds, if it counts against the budget.
    pub fn lease(&self) -> Option<Rc<MemoryLease>> {
        match &self.content {
            Content::Held(body) => body.lease(),
            Content::Full(_) | Content::Streamed(_) => None,
        }
    }

    /// Adds a callback that runs when the body is dropped, whether or not it was sent to the end.
    pub fn on_end(mut self, end: impl FnOnce() + 'static) -> Self {
        self.on_end.push(Box::new(end));
        self
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        match &mut self.content {
            Content::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Content::Held(body) if body.is_shed() => {
                let error = IncompleteBody("memory is short".into());
                Poll::Ready(Some(Err(error)))
            }
            Content::Held(body) => Poll::Ready(body.take_segment().map(|b| Ok(Frame::data(b)))),
            Content::Streamed(chunks) => chunks
                .as_mut()
                .poll_next(cx)
                .map(|chunk| chunk.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Held(body) => body.is_end_stream(),
            Content::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Content::Held(body) => body.size_hint(),
            Content::Streamed(_) => SizeHint::default(),
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        for end in self.on_end.drain(..) {
            end();
        }
    }
}

/// Error answer of this instance, which says whether a backend server may have run the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request has not run and will not.
    NotRun {
        /// Client error, or 503 if the request may be served later or is quarantined because equal
        /// ones crashed servers.
        status: StatusCode,
        /// Reason for the answer body, logs and metrics.
        reason: &'static str,
        /// Delay after which the caller may retry; `None` if a retry would not help.
        retry_after: Option<Duration>,
    },
    /// A backend server may have run the request, and there is no answer.
    MayHaveRun {
        /// 502 if the answer was lost, 504 if it did not arrive in time.
        status: StatusCode,
        /// Reason for the answer body, logs and metrics.
        reason: &'static str,
    },
}

impl Verdict {
    /// Refuses a request whose retry is not expected to help.
    pub fn reject(status: StatusCode, reason: &'static str) -> Self {
        Self::NotRun {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Refuses a request that may be served later.
    pub fn unavailable(reason: &'static str, retry_after: Duration) -> Self {
        Self::NotRun {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Reports that a backend server may have run the request and gave no answer.
    pub fn lost(reason: &'static str) -> Self {
        Self::MayHaveRun {
            status: StatusCode::BAD_GATEWAY,
            reason,
        }
    }

    /// Reports that a backend server may have run the request and did not answer in time.
    pub fn timed_out() -> Self {
        Self::MayHaveRun {
            status: StatusCode::GATEWAY_TIMEOUT,
            reason: "no answer in time",
        }
    }

    /// Refuses a request since this instance is stopping, or gives it up if a server may have run it.
    pub fn stopping(may_have_run: bool) -> Self {
        match may_have_run {
            true => Self::MayHaveRun {
                status: StatusCode::GATEWAY_TIMEOUT,
                reason: STOPPING,
            },
            false => Self::unavailable(STOPPING, RETRY_AFTER_STOPPING),
        }
    }

    /// Refuses a request whose body is not complete, since this instance is stopping.
    pub fn stopping_unread() -> Self {
        Self::unavailable(STOPPING_UNREAD, RETRY_AFTER_STOPPING)
    }

    /// Returns the HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotRun { status, .. } | Self::MayHaveRun { status, .. } => *status,
        }
    }

    /// Returns the delay after which the caller may retry; `None` if a retry would not help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after, .. } => *retry_after,
            Self::MayHaveRun { .. } => None,
        }
    }

    /// Returns the reason for the answer body, logs and metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::NotRun { reason, .. } | Self::MayHaveRun { reason, .. } => reason,
        }
    }

    /// Whether the request has not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }

    /// Whether the request has not run since this instance cannot send it, while another one may.
    pub fn is_unreached(&self) -> bool {
        let reasons = [
            NO_CONNECTION.reason(),
            OUT_OF_REACH,
            OLDER_CONFIG,
            STOPPING,
            STOPPING_UNREAD,
        ];
        matches!(self, Self::NotRun { reason, .. } if reasons.contains(reason))
    }

    /// Whether the body of the request was refused before its end.
    pub fn leaves_body_unread(&self) -> bool {
        [BODY_TOO_LONG, NO_MEMORY, STOPPING_UNREAD].contains(&self.reason())
    }

    /// Whether the stop of this instance is the reason.
    pub fn is_stop(&self) -> bool {
        [STOPPING, STOPPING_UNREAD].contains(&self.reason())
    }

    /// Builds the HTTP answer, a JSON body with the reason and whether the request may have run.
    pub fn response(&self) -> Response<AnswerBody> {
        let run = match self {
            Self::NotRun { .. } => "not_run",
            Self::MayHaveRun { .. } => "may_have_run",
        };
        let body = serde_json::json!({ "error": self.reason(), "run": run });
        let mut response = Response::new(AnswerBody::full(body.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Self::NotRun {
            retry_after: Some(after),
            ..
        } = self
            && let Ok(value) = HeaderValue::from_str(&retry_after_text(*after))
        {
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}
