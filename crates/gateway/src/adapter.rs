//! Interface of a platform's adapter: functions that translate between the wire and these types.

use std::fmt;
use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};
use jacinthlever_routing::{EngineRole, FleetConfig, PromptPart, ServerEntry};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::TranslateSettings;

/// Functions that translate between one platform's formats and the types of this crate.
#[derive(Clone, Copy)]
pub struct Adapter {
    /// Translates the platform's fields of the settings file.
    pub translate_settings: TranslateSettings,
    /// Between callers and this instance.
    pub callers: CallerDialect,
    /// Between this instance and backend servers.
    pub servers: ServerDialect,
    /// Between this instance and the platform's store.
    pub store: StoreDialect,
}

/// Format of requests from callers and of answers to them.
#[derive(Clone, Copy)]
pub struct CallerDialect {
    /// Decodes the headers that routing depends on.
    pub decode_headers: fn(&HeaderMap) -> Result<CallerHeaders, DecodeError>,
    /// Sets the time for which the sender of a request waits for the answer.
    pub set_timeout: fn(&mut HeaderMap, Duration),
    /// Sets the attempt that brought the first event of a stream, and the last event that the sender of a
    /// request has received of it.
    pub set_position: fn(&mut HeaderMap, &SmolStr, u64),
    /// Path at which callers request the addresses of instances.
    pub directory_path: &'static str,
    /// Encodes the answer with addresses, and the time for which callers may cache them.
    pub directory_body: fn(&[SmolStr], Duration) -> Vec<u8>,
    /// Path of the platform's readiness checks.
    pub readiness_path: &'static str,
    /// Sets the request identifier in the headers of an answer made by this instance.
    pub set_request_id: fn(&mut HeaderMap, &SmolStr),
}

/// Format of requests to backend servers and of their answers.
#[derive(Clone, Copy)]
pub struct ServerDialect {
    /// Sets the headers of this instance, and removes those that a caller must not set.
    pub encode_headers: fn(&mut HeaderMap, &ServerHeaders),
    /// Decodes the status and headers of an answer.
    pub decode_head: fn(StatusCode, &HeaderMap) -> AnswerHead,
    /// Decodes the result of a prefill.
    pub prefill_result: fn(&[u8]) -> Result<PrefillResult, DecodeError>,
    /// Encodes a request to reserve a slot and memory for a number of tokens, for a limited time.
    pub reserve_memory: fn(u64, Duration) -> EngineRequest,
    /// Decodes the identifier of a reservation.
    pub reservation_result: fn(&[u8]) -> Result<SmolStr, DecodeError>,
    /// Encodes a request to release the reservation with an identifier.
    pub release_reservation: fn(&str) -> EngineRequest,
    /// Encodes a request to free the KV cache with a handle.
    pub free_kv_cache: fn(&str) -> EngineRequest,
    /// Encodes a role change command to an engine, with its sender and the sender's fencing token.
    pub change_role: fn(EngineRole, &str, u64) -> EngineRequest,
    /// Encodes a request that any server answers at once: to an engine, or to another server whose
    /// health check has a path.
    pub probe: fn(bool, &str) -> EngineRequest,
}

/// Format of calls to the platform's store and of its answers.
#[derive(Clone, Copy)]
pub struct StoreDialect {
    /// Encodes a read of the rows of a table, starting at a key.
    pub read: fn(Table, &str) -> StoreRequest,
    /// Encodes a read of the row of a table with a key.
    pub read_row: fn(Table, &str) -> StoreRequest,
    /// Encodes a call that waits up to a duration for changes of a table after a version.
    pub watch: fn(Table, u64, Duration) -> StoreRequest,
    /// Decodes the era of the store from the headers of an answer; `None` if they do not name it.
    pub era: fn(&HeaderMap) -> Option<u64>,
    /// Decodes the answer to a read or a watch.
    pub rows: fn(&[u8]) -> Result<Rows, DecodeError>,
    /// Encodes a write or removal of a row that must have the expected version.
    pub write: fn(&RowWrite) -> StoreRequest,
    /// Decodes the answer to a write, which holds the new version.
    pub written: fn(&[u8]) -> Result<u64, DecodeError>,
    /// Tells from its key what a row of [`Table::Config`] holds.
    pub config_row: fn(&str) -> ConfigRow,
    /// Decodes the operator's configuration.
    pub config: fn(&[u8]) -> Result<FleetConfig, DecodeError>,
    /// Decodes the registration of the backend server with an identifier.
    pub server: fn(&SmolStr, &[u8]) -> Result<ServerEntry, DecodeError>,
}

/// Error of a decoder of this interface.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError {
    /// Field or header whose value is invalid.
    pub field: SmolStr,
    /// Expected form of the value.
    pub expected: SmolStr,
}

impl DecodeError {
    /// Creates an error from the field and the expected form of its value.
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

/// Headers of a request that routing depends on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHeaders {
    /// Identifier of the request; each attempt of the caller has its own.
    pub request_id: SmolStr,
    /// API key of a customer; `None` if the caller presents none.
    pub key: Option<SmolStr>,
    /// Time for which the caller waits for the answer; `None` if it sets no limit.
    pub timeout: Option<Duration>,
    /// Size of the generation; `None` if the request is not for a model.
    pub generation: Option<GenerationSpec>,
    /// Parts of the prompt that other prompts may share, in order; empty if they are not stated.
    pub shared_parts: Vec<PromptPart>,
    /// Number of the last event that the caller has received of this stream, if it resumes one.
    pub last_event: Option<u64>,
    /// Identifier of the attempt that brought the first event of this stream, if the caller resumes
    /// one.
    pub resumes: Option<SmolStr>,
}

impl CallerHeaders {
    /// Whether the caller takes up a stream that an earlier attempt began.
    pub fn take_up_stream(&self) -> bool {
        self.resumes.is_some() || self.last_event.is_some()
    }

    /// Returns the attempt that brings, or brought, the first event of the stream.
    pub fn first_attempt(&self) -> &SmolStr {
        self.resumes.as_ref().unwrap_or(&self.request_id)
    }
}

/// Size of a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GenerationSpec {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub max_output: u64,
    /// The caller's estimate of the output tokens; right in the median, but often far off for a
    /// single request.
    pub expected_output: Option<u64>,
}

/// Headers that this instance adds to a request for a backend server.
#[derive(Clone, Debug, Default)]
pub struct ServerHeaders {
    /// Time left for the answer.
    pub time_left: Duration,
    /// Identifier of the only server that may run the request.
    pub expected_server: SmolStr,
    /// Customer that owns the caller's key; `None` on public routes and for control calls.
    pub customer: Option<SmolStr>,
    /// Priority at engines, 0 is the most urgent; `None` for plain services and control calls.
    pub priority: Option<u8>,
    /// Whether the engine should only prefill the prompt and keep its KV cache.
    pub prefill_only: bool,
    /// KV cache from which the engine should start to decode.
    pub kv_source: Option<KvLocation>,
    /// Identifier of the reservation that the request uses.
    pub reservation_id: Option<SmolStr>,
    /// Number of the last event of this stream that was forwarded to the caller, if it is resumed.
    pub last_event: Option<u64>,
}

/// Location of the KV cache of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvLocation {
    /// Address of the engine that stores the KV cache.
    pub address: SmolStr,
    /// Handle of the KV cache at that engine.
    pub handle: SmolStr,
}

/// Status and headers of a backend server's answer, decoded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Identifier of the request that is answered.
    pub request_id: Option<SmolStr>,
    /// Whether the server reports that it did not run the request.
    pub is_not_run: bool,
    /// Whether the answer is from another server, which has the address now and did not run the request.
    pub is_other_server: bool,
    /// Whether the server signed the answer.
    pub is_signed: bool,
    /// Load of the server, if the answer reports it.
    pub load: Option<ServerLoad>,
    /// Requests per second that the server takes from all instances together, if the answer names
    /// such a limit.
    pub limit: Option<Result<f64, DecodeError>>,
    /// Time for which the server wants no requests from this instance, if it refuses this one and
    /// names such a time.
    pub pause: Option<Result<Duration, DecodeError>>,
    /// Whether the server says that it leaves: it is about to stop and takes no new work.
    pub is_leaving: bool,
    /// Time for which the server says that it stays cold, zero if it is warm; `None` if the answer
    /// does not say.
    pub cold_for: Option<Duration>,
}

/// Load of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoad {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that are waiting.
    pub waiting: u32,
    /// Time that work takes on the server now, as a multiple of the usual time; `None` if the answer
    /// does not state it.
    pub slowdown: Option<f64>,
}

/// Result of a prefill.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefillResult {
    /// Handle of the KV cache at the engine.
    pub handle: SmolStr,
}

/// A control call to an engine, which carries no caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
}

/// A call to the store, encoded; it has the same parts as a control call to an engine.
pub type StoreRequest = EngineRequest;

/// A table of the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Table {
    /// The operator's configuration.
    Config,
    /// Registered backend servers.
    Servers,
    /// Registered entry instances.
    Instances,
    /// Duties that one instance has for the whole fleet, such as the planning of engine roles; each
    /// row names the instance that has the duty.
    Duties,
    /// Parts of prompts that are quarantined since they crash engines.
    Quarantine,
    /// Software versions of the engines of each service that serve or served lately.
    Versions,
    /// Streams and the versions that began them, while several versions serve.
    Streams,
}

/// What a row of [`Table::Config`] holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigRow {
    /// The configuration.
    Config,
    /// The evacuation of the availability zone with this name.
    Evacuation(SmolStr),
    /// Something that this build does not know; such a row is ignored.
    Unknown,
}

/// A row of a table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Key in the table.
    pub key: SmolStr,
    /// Encoded content; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the row; see `store_version`.
    pub version: u64,
}

/// Rows of a table, as the store had them at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// Newest version of the store at that moment; see `store_version`.
    pub version: u64,
    /// Whether the table has more rows after these.
    pub has_more: bool,
    /// Time of the store's monotonic clock, in milliseconds.
    pub store_ms: u64,
}

/// Result of a watch of a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchResult {
    /// Changed rows; empty if the time ran out without a change.
    Rows(Rows),
    /// The store no longer has the changes after the requested version.
    Compacted,
}

/// A conditional write of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowWrite {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: SmolStr,
    /// New encoded content; `None` removes the row.
    pub value: Option<Vec<u8>>,
    /// Version that the row must have; 0 if it must not exist; `None` writes unconditionally.
    pub expected: Option<u64>,
}
