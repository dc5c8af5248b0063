//! Sends of a request to further engines beside a run that is silent.

use std::future::{Future, pending};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use jacinthlever_routing::ServerKey;
use smol_str::SmolStr;

use crate::exchange::{Exchange, SendError};
use crate::generation::{DecodeRun, PreparedDecode, Search};

/// A send of the request to another engine.
pub struct Successor {
    /// The engine.
    pub server: ServerKey,
    /// Version of the engine's software.
    pub version: SmolStr,
    /// When the request was sent.
    pub sent_at: Duration,
    /// The search that has found the engine.
    pub search: Search,
}

/// The answer of an engine to a [`Successor`].
pub struct Answered {
    /// The send that is answered.
    pub successor: Successor,
    /// What was prepared for the decode.
    pub prepared: PreparedDecode,
    /// The head of the answer.
    pub sent: Result<Exchange, SendError>,
}

impl Answered {
    /// Converts this into a run, if the engine has accepted the request.
    ///
    /// # Errors
    /// Returns the reason for which it has not.
    pub fn into_run(self) -> Result<(Successor, DecodeRun), (Successor, SendError)> {
        let successor = self.successor;
        match self.sent {
            Ok(exchange) if exchange.status.is_success() => {
                let (sent_at, version) = (successor.sent_at, successor.version.clone());
                let decode = self.prepared.into_run(exchange, sent_at, version);
                Ok((successor, decode))
            }
            Ok(_) => Err((successor, SendError::Lost("engine answered with a failure"))),
            Err(error) => Err((successor, error)),
        }
    }
}

/// Sends that engines have neither accepted nor refused yet. Dropping this closes their connections.
#[derive(Default)]
pub struct Successors {
    running: FuturesUnordered<LocalBoxFuture<'static, Answered>>,
    servers: Vec<ServerKey>,
}

impl Successors {
    /// Returns the engines that have not answered.
    pub fn servers(&self) -> &[ServerKey] {
        &self.servers
    }

    /// Adds a send to an engine.
    pub fn push(&mut self, server: ServerKey, answer: impl Future<Output = Answered> + 'static) {
        self.servers.push(server);
        self.running.push(Box::pin(answer));
    }

    /// Waits for the next answer; forever if there is no send.
    pub async fn next(&mut self) -> Answered {
        let Some(answered) = self.running.next().await else {
            return pending().await;
        };
        let server = answered.successor.server;
        self.servers.retain(|running| *running != server);
        answered
    }
}
