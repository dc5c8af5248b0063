//! What a platform's adapter supplies: functions that translate between the wire and these types.

use std::fmt;
use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};
use jacinthlever_routing::{EngineRole, FleetConfig, ServerEntry};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// All translations of one platform.
#[derive(Clone, Copy)]
pub struct Adapter {
    /// Between callers and this instance.
    pub callers: CallerDialect,
    /// Between this instance and backend servers.
    pub servers: ServerDialect,
    /// Between this instance and the platform's store.
    pub store: StoreDialect,
}

/// How callers speak.
#[derive(Clone, Copy)]
pub struct CallerDialect {
    /// Reads the headers that routing depends on.
    pub read: fn(&HeaderMap) -> Result<CallerHeaders, DecodeError>,
    /// Path at which callers ask for addresses.
    pub directory_path: &'static str,
    /// Body of the answer: addresses, and how long they may be kept.
    pub directory_body: fn(&[SmolStr], Duration) -> Vec<u8>,
    /// Path at which the platform asks whether this instance is ready.
    pub readiness_path: &'static str,
    /// Marks an answer of this instance with the identifier of the request.
    pub set_request_id: fn(&mut HeaderMap, &SmolStr),
}

/// How backend servers speak.
#[derive(Clone, Copy)]
pub struct ServerDialect {
    /// Replaces what a caller may not set by what this instance says.
    pub write: fn(&mut HeaderMap, &ServerHeaders),
    /// Reads the head of an answer.
    pub read: fn(StatusCode, &HeaderMap) -> AnswerHead,
    /// Reads the result of a prefill.
    pub prefill_result: fn(&[u8]) -> Result<PrefillResult, DecodeError>,
    /// Asks an engine to reserve a slot and memory for a number of tokens.
    pub reserve_memory: fn(u64, Duration) -> EngineRequest,
    /// Reads the identifier of a reservation.
    pub reservation_result: fn(&[u8]) -> Result<SmolStr, DecodeError>,
    /// Releases a reservation.
    pub release_reservation: fn(&str) -> EngineRequest,
    /// Frees the KV cache of a prefill.
    pub free_kv_cache: fn(&str) -> EngineRequest,
    /// Orders an engine to change its stage, in the name of a holder with a fencing token.
    pub change_role: fn(EngineRole, &str, u64) -> EngineRequest,
}

/// How the platform's store speaks.
#[derive(Clone, Copy)]
pub struct StoreDialect {
    /// Reads the rows of a table, from a key on.
    pub read: fn(Table, &str) -> StoreRequest,
    /// Waits for changes of a table after a version.
    pub watch: fn(Table, u64, Duration) -> StoreRequest,
    /// Decodes the answer to a read.
    pub rows: fn(&[u8]) -> Result<Rows, DecodeError>,
    /// Writes or removes a row, if it has the expected version.
    pub write: fn(&RowWrite) -> StoreRequest,
    /// Decodes the answer to a write: the new version.
    pub written: fn(&[u8]) -> Result<u64, DecodeError>,
    /// Decodes the operator's configuration.
    pub config: fn(&[u8]) -> Result<FleetConfig, DecodeError>,
    /// Decodes the registration of a backend server with an identifier.
    pub server: fn(&SmolStr, &[u8]) -> Result<ServerEntry, DecodeError>,
}

/// Why something from outside could not be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError {
    /// Field or header that is wrong.
    pub field: SmolStr,
    /// What was expected there.
    pub expected: SmolStr,
}

impl DecodeError {
    /// Names the field and what was expected in it.
    pub fn new(field: impl Into<SmolStr>, expected: impl Into<SmolStr>) -> Self {
        Self {
            field: field.into(),
            expected: expected.into(),
        }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}", self.field, self.expected)
    }
}

impl std::error::Error for DecodeError {}

/// The headers of a caller that routing depends on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHeaders {
    /// Identifier of this attempt of the caller.
    pub request_id: SmolStr,
    /// Key of a customer.
    pub key: Option<SmolStr>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Set for requests to a model.
    pub generation: Option<GenerationSpec>,
    /// Last event that the caller has of this stream.
    pub last_event: Option<u64>,
}

/// Size of a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GenerationSpec {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of output.
    pub max_output: u64,
    /// The caller's estimate of the output tokens; right in the middle, often far off.
    pub expected_output: Option<u64>,
}

/// What this instance tells a backend server beside the caller's request.
#[derive(Clone, Debug, Default)]
pub struct ServerHeaders {
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// The only server that may run it.
    pub expected_server: SmolStr,
    /// Customer that holds the caller's key.
    pub customer: Option<SmolStr>,
    /// Rank for engines, 0 is the most urgent.
    pub priority: Option<u8>,
    /// Only read the prompt and keep its KV cache.
    pub prefill_only: bool,
    /// KV cache to start from.
    pub kv_source: Option<KvLocation>,
    /// Reservation to use.
    pub reservation_id: Option<SmolStr>,
    /// Last event that was forwarded of this stream.
    pub last_event: Option<u64>,
}

/// Where the KV cache of a prompt is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvLocation {
    /// Address of the engine that keeps it.
    pub address: SmolStr,
    /// Its handle there.
    pub handle: SmolStr,
}

/// What the head of a backend server's answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
    /// Identifier of the request that it answers.
    pub request_id: Option<SmolStr>,
    /// Whether the server says that it did not run the request.
    pub is_not_run: bool,
    /// Whether another server has the address now.
    pub is_other_server: bool,
    /// Whether the server signed the answer.
    pub is_signed: bool,
    /// Load of the server.
    pub load: Option<ServerLoad>,
}

/// Load of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Result of a prefill.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefillResult {
    /// Handle of the KV cache at the engine.
    pub handle: SmolStr,
}

/// A call to an engine that carries no caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineRequest {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Body; empty for none.
    pub body: Vec<u8>,
}

/// A call to the store.
pub type StoreRequest = EngineRequest;

/// A table of the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Table {
    /// The operator's configuration.
    Config,
    /// Registered backend servers.
    Servers,
    /// Registered instances.
    Instances,
    /// Who may order engines.
    Duties,
}

/// A row of a table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Key in the table.
    pub key: SmolStr,
    /// Content; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the row.
    pub version: u64,
}

/// Rows of a table as of one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// Newest version of the store.
    pub version: u64,
    /// Whether there are more rows after these.
    pub has_more: bool,
    /// Steady clock of the store, in milliseconds.
    pub store_ms: u64,
}

/// What a read of a table gave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchResult {
    /// Rows.
    Rows(Rows),
    /// The store no longer has the history that was asked for.
    Compacted,
}

/// A conditional write of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowWrite {
    /// Table.
    pub table: Table,
    /// Key of the row.
    pub key: SmolStr,
    /// New content; `None` removes the row.
    pub value: Option<Vec<u8>>,
    /// Version that the row must have; 0 if it must not exist; `None` writes in any case.
    pub expected: Option<u64>,
}
