//! The client of the platform's store: one connection for each duty that uses it.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::SendRequest;
use tokio::time::timeout;

use crate::connection_pool::{RequestBody, connect};
use crate::context::Context;
use crate::{EventCode, RowWrite, Rows, StoreRequest, Table, WatchResult};

/// Longest answer of the store that is read, in bytes.
const MOST_BYTES: usize = 4 * 1024 * 1024;

/// Time for an answer beyond the time that a call is asked to wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Why a call to the store gave no result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// There is no connection; nothing was done.
    Unreachable,
    /// There was no answer; a write may have been done or may still be.
    Unanswered,
    /// The store refused the call; nothing was done.
    Refused(StatusCode),
    /// The answer cannot be decoded.
    Unreadable(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => write!(f, "no connection"),
            Self::Unanswered => write!(f, "no answer in time"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Unreadable(cause) => write!(f, "unreadable answer: {cause}"),
        }
    }
}

/// What a conditional write led to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The row was written; its new version.
    Done(u64),
    /// The row has another version.
    Conflict,
}

/// The client of one duty.
pub struct StoreClient {
    cx: Rc<Context>,
    duty: &'static str,
    connection: Option<SendRequest<RequestBody>>,
    is_lost: bool,
    recovered_at: Option<Duration>,
}

impl StoreClient {
    /// Makes a client that connects when it is first used.
    pub fn new(cx: Rc<Context>, duty: &'static str) -> Self {
        Self {
            cx,
            duty,
            connection: None,
            is_lost: false,
            recovered_at: None,
        }
    }

    /// Returns when the store answered again after it last had not.
    pub fn recovered_at(&self) -> Option<Duration> {
        self.recovered_at
    }

    /// Reads all rows of a table.
    ///
    /// # Errors
    /// Fails if the store does not answer.
    pub async fn read(&mut self, table: Table) -> Result<Rows, StoreError> {
        let dialect = self.cx.adapter.store;
        let mut all = Rows::default();
        let mut from = String::new();
        loop {
            let bytes = self
                .ok((dialect.read)(table, &from), Duration::ZERO)
                .await?;
            let page = self.decode((dialect.rows)(&bytes))?;
            // Pages are read one after the other, so changes are watched from the oldest version.
            let first = all.rows.is_empty();
            all.version = if first { page.version } else { all.version };
            all.store_ms = page.store_ms;
            from = match page.rows.last() {
                Some(last) if page.has_more => format!("{}\0", last.key),
                _ => {
                    all.rows.extend(page.rows);
                    return Ok(all);
                }
            };
            all.rows.extend(page.rows);
        }
    }

    /// Waits for changes of a table.
    ///
    /// # Errors
    /// Fails if the store does not answer.
    pub async fn watch(
        &mut self,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        let dialect = self.cx.adapter.store;
        let (status, bytes) = self.call((dialect.watch)(table, after, wait), wait).await?;
        match status {
            StatusCode::GONE => Ok(WatchResult::Compacted),
            StatusCode::OK => Ok(WatchResult::Rows(self.decode((dialect.rows)(&bytes))?)),
            other => Err(self.fault(StoreError::Refused(other))),
        }
    }

    /// Writes a row.
    ///
    /// # Errors
    /// Fails if the store does not answer; the row may have been written all the same.
    pub async fn write(&mut self, write: &RowWrite) -> Result<WriteResult, StoreError> {
        let dialect = self.cx.adapter.store;
        let (status, bytes) = self.call((dialect.write)(write), Duration::ZERO).await?;
        match status {
            StatusCode::PRECONDITION_FAILED => Ok(WriteResult::Conflict),
            StatusCode::OK => Ok(WriteResult::Done(self.decode((dialect.written)(&bytes))?)),
            other => Err(self.fault(StoreError::Refused(other))),
        }
    }

    fn decode<T>(&mut self, decoded: Result<T, crate::DecodeError>) -> Result<T, StoreError> {
        decoded.map_err(|error| self.fault(StoreError::Unreadable(error.to_string())))
    }

    async fn ok(&mut self, call: StoreRequest, wait: Duration) -> Result<Bytes, StoreError> {
        let (status, bytes) = self.call(call, wait).await?;
        match status {
            StatusCode::OK => Ok(bytes),
            other => Err(self.fault(StoreError::Refused(other))),
        }
    }

    async fn call(
        &mut self,
        call: StoreRequest,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        self.cx.metrics.count_store_call(self.duty);
        let exchanged = timeout(wait + ANSWER_TIMEOUT, self.exchange(call)).await;
        let result = exchanged.unwrap_or(Err(StoreError::Unanswered));
        match result {
            Ok((status, bytes)) if status.is_server_error() || status.as_u16() == 429 => {
                drop(bytes);
                Err(self.fault(StoreError::Refused(status)))
            }
            Ok(answer) => {
                self.answered();
                Ok(answer)
            }
            Err(fault) => {
                // An answer that still comes on this connection would belong to no call.
                self.connection = None;
                Err(self.fault(fault))
            }
        }
    }

    async fn exchange(&mut self, call: StoreRequest) -> Result<(StatusCode, Bytes), StoreError> {
        let address = self.cx.settings().store.address.to_string();
        let kept = self.connection.take().filter(|c| !c.is_closed());
        let mut sender = match kept {
            Some(sender) => sender,
            None => connect(&address)
                .await
                .map_err(|_| StoreError::Unreachable)?,
        };
        let request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(http::header::HOST, &address)
            .body(Full::new(Bytes::from(call.body)))
            .map_err(|error| StoreError::Unreadable(error.to_string()))?;
        sender.ready().await.map_err(|_| StoreError::Unreachable)?;
        let response = sender.send_request(request).await;
        let response = response.map_err(|_| StoreError::Unanswered)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MOST_BYTES)
            .collect()
            .await;
        let bytes = body.map_err(|_| StoreError::Unanswered)?.to_bytes();
        self.connection = Some(sender);
        Ok((status, bytes))
    }

    fn answered(&mut self) {
        if std::mem::take(&mut self.is_lost) {
            self.recovered_at = Some(self.cx.now());
            self.cx
                .log(EventCode::StoreRegained, [("duty", self.duty.into())]);
        }
    }

    fn fault(&mut self, fault: StoreError) -> StoreError {
        if !std::mem::replace(&mut self.is_lost, true) {
            self.cx.log(
                EventCode::StoreLost,
                [
                    ("duty", self.duty.into()),
                    ("cause", fault.to_string().into()),
                ],
            );
        }
        fault
    }
}
