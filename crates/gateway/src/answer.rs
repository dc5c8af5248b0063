//! Answers to callers.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use smol_str::SmolStr;

/// A body that ended before it was whole.
#[derive(Clone, Debug)]
pub struct IncompleteBody(pub SmolStr);

impl fmt::Display for IncompleteBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer ended early: {}", self.0)
    }
}

impl std::error::Error for IncompleteBody {}

/// Pieces of a body as they come.
pub type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, IncompleteBody>>>>;

enum Content {
    Whole(Option<Bytes>),
    ChunkStream(ChunkStream),
}

/// Body of an answer to a caller.
pub struct AnswerBody {
    content: Content,
    on_end: Vec<Box<dyn FnOnce()>>,
}

impl AnswerBody {
    /// Makes a body that is all there.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self {
            content: Content::Whole(Some(bytes.into())),
            on_end: Vec::new(),
        }
    }

    /// Makes a body of pieces that are still to come.
    pub fn streamed(pieces: ChunkStream) -> Self {
        Self {
            content: Content::ChunkStream(pieces),
            on_end: Vec::new(),
        }
    }

    /// Does something once the body has been handed over or dropped.
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
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Content::ChunkStream(pieces) => pieces
                .as_mut()
                .poll_next(cx)
                .map(|piece| piece.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::ChunkStream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Content::ChunkStream(_) => SizeHint::default(),
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

/// Why this instance answers by itself, and whether the request may have run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request has not run and will not.
    NotRun {
        /// 4xx or 503.
        status: StatusCode,
        /// Why.
        reason: &'static str,
        /// When the caller may come back, if that helps.
        retry_after: Option<Duration>,
    },
    /// A backend server may have run it, and there is no answer.
    MayHaveRun {
        /// 502 or 504.
        status: StatusCode,
        /// Why.
        reason: &'static str,
    },
}

impl Verdict {
    /// Refuses a request that will never be served as it is.
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

    /// A backend server may have run the request and gave no answer.
    pub fn lost(reason: &'static str) -> Self {
        Self::MayHaveRun {
            status: StatusCode::BAD_GATEWAY,
            reason,
        }
    }

    /// A backend server may have run the request and did not answer in time.
    pub fn timed_out() -> Self {
        Self::MayHaveRun {
            status: StatusCode::GATEWAY_TIMEOUT,
            reason: "no answer in time",
        }
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotRun { status, .. } | Self::MayHaveRun { status, .. } => *status,
        }
    }

    /// Returns when the caller may come back.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after, .. } => *retry_after,
            Self::MayHaveRun { .. } => None,
        }
    }

    /// Returns the reason.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::NotRun { reason, .. } | Self::MayHaveRun { reason, .. } => reason,
        }
    }

    /// Makes the answer.
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
        {
            let seconds = format!("{:.2}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
