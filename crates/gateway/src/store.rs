//! Client of the platform's store. Each purpose for which the store is called has a client of its
//! own, with one connection.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::time::{Instant, timeout, timeout_at};

use crate::connection_pool::{RequestBody, connect, is_final};
use crate::context::Context;
use crate::server_stream::HeadProgress;
use crate::store_version;
use crate::{EventCode, Row, RowWrite, Rows, StoreRequest, Table, WatchResult};

/// Maximum size of an answer of the store, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of a table, in bytes of the answers with its pages.
const MAX_TABLE_BYTES: usize = 4 * MAX_ANSWER_BYTES;

/// Time limit until an answer begins, beyond the time for which the call asks the store to wait, and
/// for each [`MIN_PROGRESS_BYTES`] of its body.
///
/// The complete answer has no time limit: the time that a large one takes depends on the link, and a
/// call that is abandoned while bytes arrive has to start from zero.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(900);

/// Number of bytes of a body that count as progress. A store that sends single bytes would otherwise occupy
/// a client for as long as it likes.
const MIN_PROGRESS_BYTES: usize = 256;

/// Maximum number of writes in one [`StoreClient::write_own`].
const MAX_OWN_WRITES: u32 = 3;

/// Error of a call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The row changed each time after it was read, as writes were carried out whose answers were lost.
    Contended,
    /// No connection could be used; the call was not carried out.
    Unreachable,
    /// There was no answer; a write may have been carried out, or may be later.
    Unanswered,
    /// The answer broke off or stopped after this number of bytes of its body; a write was carried
    /// out.
    Incomplete(usize),
    /// The answer is from the time before the store came back from a copy, or the store came back
    /// while it was read.
    Restored,
    /// The answer is larger than [`MAX_ANSWER_BYTES`], or the table than [`MAX_TABLE_BYTES`].
    TooLarge,
    /// The store refused the call with this status; the call was not carried out.
    Refused(StatusCode),
    /// The answer has this status, which no answer can have; a write may have been carried out.
    Invalid(StatusCode),
    /// The answer cannot be decoded, or the call cannot be encoded; holds the cause.
    Unreadable(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Contended => write!(f, "the row changed after each read"),
            Self::Unreachable => write!(f, "no connection to the store"),
            Self::Unanswered => write!(f, "no answer from the store"),
            Self::Incomplete(bytes) => {
                write!(f, "answer of the store incomplete after {bytes} bytes")
            }
            Self::Restored => write!(f, "the store has come back from a copy meanwhile"),
            Self::TooLarge => {
                write!(
                    f,
                    "answer of the store exceeds {MAX_ANSWER_BYTES} bytes, or a table {MAX_TABLE_BYTES}"
                )
            }
            Self::Invalid(status) => {
                write!(
                    f,
                    "answer of the store has the invalid status {}",
                    status.as_u16()
                )
            }
            Self::Refused(status) => write!(f, "store refused the call with status {status}"),
            Self::Unreadable(cause) => write!(f, "answer of the store cannot be decoded: {cause}"),
        }
    }
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The row was written and has this version.
    Done(u64),
    /// The row has a version other than the expected one and was not written. The expected one may be stale, or
    /// somebody else has written the row; see [`StoreClient::write_own`].
    Conflict,
}

/// Version of a row that one task writes again and again, as far as the task knows it.
///
/// It goes stale when the store comes back from a copy, and when the store carries out a write whose answer is
/// lost; [`StoreClient::write_own`] notices both.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnVersion {
    /// It is not known whether the store has the row.
    Unknown,
    /// The store has no such row.
    Absent,
    /// The row has this version.
    At(u64),
}

impl OwnVersion {
    fn of(row: Option<&Row>) -> Self {
        row.map_or(Self::Absent, |row| Self::At(row.version))
    }
}

/// Result of a write of a row that one task writes again and again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnWriteResult {
    /// The row was written and has this version.
    Done(u64),
    /// Somebody else has written the row, which has this version; it was left as it is.
    Held(u64),
}

type StoreConnection = (SendRequest<RequestBody>, Rc<HeadProgress>);

/// Store client of one purpose, such as the renewal of the registration.
pub struct StoreClient {
    cx: Rc<Context>,
    /// Name of the purpose in logs and metrics.
    duty: &'static str,
    connection: Option<StoreConnection>,
    /// Time limit until an answer begins; see [`PROGRESS_TIMEOUT`].
    patience: Duration,
    /// When the present call was sent.
    sent_at: Duration,
    /// Number of bytes of the body of the present answer received so far.
    received: usize,
    /// Era of the store in the last answer; `None` before the first one.
    era: Option<u64>,
    is_lost: bool,
    recovered_at: Option<Duration>,
}

impl StoreClient {
    /// Creates a client that connects on first use; `duty` names its purpose in logs and
    /// metrics.
    pub fn new(cx: Rc<Context>, duty: &'static str) -> Self {
        Self {
            cx,
            duty,
            connection: None,
            patience: PROGRESS_TIMEOUT,
            sent_at: Duration::ZERO,
            received: 0,
            era: None,
            is_lost: false,
            recovered_at: None,
        }
    }

    /// Sets the time limit until an answer begins, for calls that may wait behind those of the whole fleet.
    pub fn with_patience(self, patience: Duration) -> Self {
        Self { patience, ..self }
    }

    /// Returns the time of the first answer after the last failure, or since the store has come back
    /// from a copy; `None` before any.
    pub fn recovered_at(&self) -> Option<Duration> {
        self.recovered_at
    }

    /// Reads all rows of a table.
    ///
    /// # Errors
    /// Fails if the store does not answer, refuses the call, or its answer cannot be decoded.
    pub async fn read(&mut self, table: Table) -> Result<Rows, StoreError> {
        let dialect = self.cx.adapter.store;
        let mut all = Rows::default();
        let mut from = String::new();
        let mut era = None;
        let mut received = 0;
        loop {
            let bytes = self
                .call_ok((dialect.read)(table, &from), Duration::ZERO)
                .await?;
            received += bytes.len();
            if received > MAX_TABLE_BYTES {
                return Err(self.record_error(StoreError::TooLarge));
            }
            let page = self.decode_rows(&bytes)?;
            if page
                .rows
                .first()
                .is_some_and(|first| first.key.as_str() < from.as_str())
            {
                let cause = format!("page from key {from} begins before it");
                return Err(self.record_error(StoreError::Unreadable(cause)));
            }
            if *era.get_or_insert(self.era) != self.era {
                return Err(self.record_error(StoreError::Restored));
            }
            // Pages are read one after the other. A change that comes meanwhile may be in none of them, so the
            // rows are complete as of the first one.
            let is_first = all.rows.is_empty();
            if is_first {
                all.version = page.version;
                all.store_ms = page.store_ms;
            }
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

    /// Reads one row; `None` if the store does not have it.
    ///
    /// # Errors
    /// Fails if the store does not answer, refuses the call, or its answer cannot be decoded.
    pub async fn read_row(&mut self, table: Table, key: &str) -> Result<Option<Row>, StoreError> {
        let call = (self.cx.adapter.store.read_row)(table, key);
        let bytes = self.call_ok(call, Duration::ZERO).await?;
        let mut rows = self.decode_rows(&bytes)?.rows.into_iter();
        Ok(rows.find(|row| row.key == key && row.value.is_some()))
    }

    /// Writes a row that this task writes again and again, on the condition that nobody else has written it;
    /// `is_own` recognizes the task's own row. `write.expected` is not used: the version that the row must have is
    /// `known`, and is updated.
    ///
    /// A conflict means that the version is stale, or that another writer holds the row. The row is read to distinguish
    /// them, and if it is still this task's own, the write is repeated.
    ///
    /// # Errors
    /// Fails as [`StoreClient::write`], or if the row changed after each read.
    pub async fn write_own(
        &mut self,
        write: RowWrite,
        known: &mut OwnVersion,
        is_own: impl Fn(&Row) -> bool,
    ) -> Result<OwnWriteResult, StoreError> {
        for _ in 0..MAX_OWN_WRITES {
            if *known == OwnVersion::Unknown {
                let row = self.read_row(write.table, &write.key).await?;
                if let Some(row) = row.as_ref().filter(|row| !is_own(row)) {
                    return Ok(OwnWriteResult::Held(row.version));
                }
                *known = OwnVersion::of(row.as_ref());
            }
            let expected = match *known {
                OwnVersion::At(version) => version,
                OwnVersion::Absent | OwnVersion::Unknown => 0,
            };
            let write = RowWrite {
                expected: Some(expected),
                ..write.clone()
            };
            match self.write(&write).await? {
                WriteResult::Done(version) => {
                    *known = OwnVersion::At(version);
                    return Ok(OwnWriteResult::Done(version));
                }
                WriteResult::Conflict => {
                    let fields = [
                        ("duty", self.duty.into()),
                        ("row", write.key.as_str().into()),
                        ("expected", expected.into()),
                    ];
                    self.cx.log(EventCode::VersionStale, fields);
                    *known = OwnVersion::Unknown;
                }
            }
        }
        Err(StoreError::Contended)
    }

    /// Waits up to `wait` for changes of a table after version `after`.
    ///
    /// # Errors
    /// Fails if the store does not answer, refuses the call, or its answer cannot be decoded.
    pub async fn watch(
        &mut self,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        let dialect = self.cx.adapter.store;
        let era = store_version::era(after);
        if self.cx.store_era.get().is_some_and(|known| known != era) {
            return Ok(WatchResult::Compacted);
        }
        let call = (dialect.watch)(table, store_version::number(after), wait);
        let (status, bytes) = self.call(call, wait).await?;
        match status {
            StatusCode::GONE => Ok(WatchResult::Compacted),
            // Changes after a version of a former era would leave a gap.
            StatusCode::OK if self.era != Some(era) => Ok(WatchResult::Compacted),
            StatusCode::OK => Ok(WatchResult::Rows(self.decode_rows(&bytes)?)),
            other => Err(self.record_error(StoreError::Refused(other))),
        }
    }

    /// Writes or removes a row, if it has the expected version.
    ///
    /// # Errors
    /// Fails if the store does not answer or refuses the call. Without an answer, the row may have
    /// been written.
    pub async fn write(&mut self, write: &RowWrite) -> Result<WriteResult, StoreError> {
        let dialect = self.cx.adapter.store;
        let expected_era = write.expected.filter(|v| *v > 0).map(store_version::era);
        let is_other_era = |era: Option<u64>| expected_era.is_some_and(|e| era != Some(e));
        if self.cx.store_era.get().is_some() && is_other_era(self.cx.store_era.get()) {
            return Ok(WriteResult::Conflict);
        }
        let call = (dialect.write)(&RowWrite {
            expected: write.expected.map(store_version::number),
            ..write.clone()
        });
        let (status, bytes) = self.call(call, Duration::ZERO).await?;
        match status {
            StatusCode::PRECONDITION_FAILED => Ok(WriteResult::Conflict),
            // The row that had the expected version was not the one that was meant.
            StatusCode::OK if is_other_era(self.era) => Ok(WriteResult::Conflict),
            StatusCode::OK => {
                let number = self.decode((dialect.written)(&bytes))?;
                let era = self.era.unwrap_or(0);
                Ok(WriteResult::Done(store_version::version(era, number)))
            }
            other => Err(self.record_error(StoreError::Refused(other))),
        }
    }

    /// Decodes rows, and combines their versions with the era of the answer.
    fn decode_rows(&mut self, bytes: &[u8]) -> Result<Rows, StoreError> {
        let mut rows = self.decode((self.cx.adapter.store.rows)(bytes))?;
        let era = self.era.unwrap_or(0);
        rows.version = store_version::version(era, rows.version);
        for row in &mut rows.rows {
            row.version = store_version::version(era, row.version);
        }
        Ok(rows)
    }

    fn decode<T>(&mut self, decoded: Result<T, crate::DecodeError>) -> Result<T, StoreError> {
        decoded.map_err(|error| self.record_error(StoreError::Unreadable(error.to_string())))
    }

    async fn call_ok(&mut self, call: StoreRequest, wait: Duration) -> Result<Bytes, StoreError> {
        let (status, bytes) = self.call(call, wait).await?;
        match status {
            StatusCode::OK => Ok(bytes),
            other => Err(self.record_error(StoreError::Refused(other))),
        }
    }

    async fn call(
        &mut self,
        call: StoreRequest,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        self.cx.metrics.count_store_call(self.duty);
        self.sent_at = self.cx.now();
        self.received = 0;
        let result = self.send_and_receive(call, wait).await;
        let took = self.cx.now().saturating_sub(self.sent_at);
        self.cx
            .metrics
            .record_store_answer(self.duty, result.is_ok(), took, self.received);
        match result {
            Ok((status, bytes)) if status.is_server_error() || status.as_u16() == 429 => {
                drop(bytes);
                Err(self.record_error(StoreError::Refused(status)))
            }
            Ok(answer) => {
                self.record_answer();
                Ok(answer)
            }
            Err(error) => {
                // A late answer on this connection would be taken for that of the next call.
                self.connection = None;
                Err(self.record_error(error))
            }
        }
    }

    /// Sends a call and receives its complete answer.
    async fn send_and_receive(
        &mut self,
        call: StoreRequest,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let (response, connection) = timeout(wait + self.patience, self.send(call))
            .await
            .unwrap_or(Err(StoreError::Unanswered))?;
        let status = response.status();
        if !is_final(status) {
            return Err(StoreError::Invalid(status));
        }
        let era = (self.cx.adapter.store.era)(response.headers());
        self.record_era(era)?;
        let bytes = self.receive_body(response.into_body()).await?;
        self.connection = Some(connection);
        Ok((status, bytes))
    }

    /// Records the era of an answer.
    ///
    /// # Errors
    /// Fails if the answer is from a former era.
    fn record_era(&mut self, named: Option<u64>) -> Result<(), StoreError> {
        let known = self.cx.store_era.get();
        let era = named.or(known).unwrap_or(0);
        match known {
            Some(known) if era < known => return Err(StoreError::Restored),
            Some(known) if era > known => {
                self.cx.log(
                    EventCode::StoreRestored,
                    [("era", era.into()), ("before", known.into())],
                );
                self.cx.store_restored.send_replace(era);
            }
            _ => {}
        }
        self.cx.store_era.set(Some(era));
        if self.era.is_some_and(|last| last != era) {
            self.recovered_at = Some(self.cx.now());
        }
        self.era = Some(era);
        Ok(())
    }

    /// Sends a call and waits until its answer begins.
    async fn send(
        &mut self,
        call: StoreRequest,
    ) -> Result<(Response<Incoming>, StoreConnection), StoreError> {
        let address = self.cx.settings().store.address.to_string();
        let idle = self.connection.take().filter(|(c, _)| !c.is_closed());
        let (mut sender, progress) = match idle {
            Some(connection) => connection,
            None => connect(&address)
                .await
                .map_err(|_| StoreError::Unreachable)?,
        };
        let request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(http::header::HOST, &address)
            .body(Bytes::from(call.body).into())
            .map_err(|error| StoreError::Unreadable(error.to_string()))?;
        sender.ready().await.map_err(|_| StoreError::Unreachable)?;
        progress.begin();
        let response = sender.send_request(request).await;
        progress.end();
        let response = response.map_err(|_| StoreError::Unanswered)?;
        Ok((response, (sender, progress)))
    }

    async fn receive_body(&mut self, mut body: Incoming) -> Result<Bytes, StoreError> {
        let mut bytes = BytesMut::new();
        let mut progress_at = Instant::now();
        let mut counted = 0;
        loop {
            let frame = match timeout_at(progress_at + PROGRESS_TIMEOUT, body.frame()).await {
                Ok(None) => return Ok(bytes.freeze()),
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) | Err(_) => return Err(StoreError::Incomplete(self.received)),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.received += data.len();
            if self.received > MAX_ANSWER_BYTES {
                return Err(StoreError::TooLarge);
            }
            if self.received >= counted + MIN_PROGRESS_BYTES {
                counted = self.received;
                progress_at = Instant::now();
            }
            bytes.extend_from_slice(&data);
        }
    }

    fn record_answer(&mut self) {
        if std::mem::take(&mut self.is_lost) {
            self.recovered_at = Some(self.cx.now());
            self.cx
                .log(EventCode::StoreRegained, [("duty", self.duty.into())]);
        }
    }

    fn record_error(&mut self, error: StoreError) -> StoreError {
        let took_ms = self.cx.now().saturating_sub(self.sent_at).as_millis() as u64;
        if !std::mem::replace(&mut self.is_lost, true) {
            self.cx.log(
                EventCode::StoreLost,
                [
                    ("duty", self.duty.into()),
                    ("cause", error.to_string().into()),
                    ("received_bytes", self.received.into()),
                    ("took_ms", took_ms.into()),
                ],
            );
        }
        error
    }
}
