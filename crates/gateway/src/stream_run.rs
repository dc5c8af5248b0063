//! A run of a stream, from which its events come.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use jacinthlever_routing::ServerKey;
use smol_str::SmolStr;

use crate::exchange::SendError;
use crate::generation::DecodeRun;
use crate::relay::RelayedAnswer;

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
