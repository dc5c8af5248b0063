//! A run of a stream, from which its events come.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use jacinthlever_routing::ServerKey;
use smol_str::SmolStr;

use crate::exchange::SendError;
use crate::generation::DecodeRun;
use crate::relay::RelayedAnswer;

/// Type of a body that is a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// A run of a stream.
pub enum StreamRun {
    /// At an engine.
    Engine(Box<DecodeRun>),
    /// Through another instance, which has an engine run the request.
    Relayed(Box<RelayedAnswer>),
}

impl StreamRun {
    /// Returns the next chunk of the body; `None` at its end.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, SendError>> {
        match self {
            Self::Engine(decode) => decode.exchange.next_chunk().await,
            Self::Relayed(answer) => answer.next_chunk().await,
        }
    }

    /// Returns the status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Engine(decode) => decode.exchange.status,
            Self::Relayed(answer) => answer.status,
        }
    }

    /// Returns the declared type of the body.
    pub fn content_type(&self) -> Option<&HeaderValue> {
        self.headers().get(CONTENT_TYPE)
    }

    /// Whether the body may be a stream of events that goes on with one of the type `first`: it has the
    /// same type, that of such streams, or none.
    pub fn may_follow(&self, first: Option<&HeaderValue>) -> bool {
        let Some(own) = self.content_type() else {
            return true;
        };
        let essence = own.to_str().ok().and_then(|text| text.split(';').next());
        let is_stream = essence.is_some_and(|e| e.trim().eq_ignore_ascii_case(EVENT_STREAM));
        is_stream || first == Some(own)
    }

    /// Whether the body has a length or chunks; it ends with its connection otherwise.
    pub fn is_delimited(&self) -> bool {
        match self {
            Self::Engine(decode) => decode.exchange.is_delimited,
            Self::Relayed(answer) => answer.is_delimited,
        }
    }

    fn headers(&self) -> &HeaderMap {
        match self {
            Self::Engine(decode) => &decode.exchange.headers,
            Self::Relayed(answer) => &answer.headers,
        }
    }

    /// Returns the run at an engine of this instance, if it is one.
    pub fn engine_mut(&mut self) -> Option<&mut DecodeRun> {
        match self {
            Self::Engine(decode) => Some(decode),
            Self::Relayed(_) => None,
        }
    }

    /// Returns what remains of the run once it has ended.
    pub fn source(&self) -> RunSource {
        match self {
            Self::Engine(decode) => RunSource::Engine {
                server: decode.exchange.server,
                sent_at: decode.sent_at,
            },
            Self::Relayed(answer) => RunSource::Instance(answer.address.clone()),
        }
    }
}

/// Where the events of a run come from.
#[derive(Clone, Debug)]
pub enum RunSource {
    /// An engine.
    Engine {
        /// The engine.
        server: ServerKey,
        /// When the request was sent to it.
        sent_at: Duration,
    },
    /// Another instance, by its address.
    Instance(SmolStr),
}
