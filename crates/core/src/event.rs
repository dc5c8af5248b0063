//! Inputs of the core.

use std::sync::Arc;

use jacinthlever_types::{
    EngineLoad, Fingerprint, FinishReason, InstanceId, KeyHash, ListEntry, ModelId, PeerMsg,
    RowKey, RowsReply, TransactionReply,
};
use smol_str::SmolStr;

/// Number of a caller's request, assigned by the process around the core.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallerId(pub u64);

/// Number of a call to a backend server, assigned by the core.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Number of an operation on the platform's services, assigned by the core.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct OpId(pub u64);

/// Number of an operator's request, assigned by the process around the core.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct OperatorId(pub u64);

/// The parts of a caller's request that decisions need; the body stays outside the core.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// Hash of the key that the caller presented.
    pub key: Option<KeyHash>,
    /// Model or service that the request is for.
    pub target: Target,
    /// Fingerprint of the method, path and body.
    pub fingerprint: Fingerprint,
}

/// What a caller's request is for.
#[derive(Clone, Debug)]
pub enum Target {
    /// A generation by a model.
    Model {
        /// Model named in the body.
        model: ModelId,
        /// Length of the prompt text in bytes.
        prompt_bytes: usize,
        /// Output limit named in the body.
        max_tokens: Option<u32>,
        /// Hashes of successively longer prefixes of the prompt.
        prefix: Vec<u64>,
    },
    /// A call of a plain service.
    Plain {
        /// Path of the request.
        path: SmolStr,
        /// Whether the method is safe by RFC 9110, section 9.2.1.
        safe: bool,
        /// The `Idempotency-Key` header.
        idempotency_key: Option<SmolStr>,
    },
    /// The list of models that the key gives access to.
    Models,
    /// The addresses of the instances that the caller should use.
    Where,
}

/// Why a call to a backend server failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFault {
    /// The connection was refused; no byte was sent.
    Refused,
    /// The connection broke, and the address refuses connections now.
    Crashed,
    /// The connection broke, but the address still accepts connections.
    Broken,
    /// No data arrived before the time-out.
    Stalled,
    /// The backend server had no capacity.
    Full,
    /// The KV cache had been evicted, or its transfer stalled.
    KvLost,
    /// The response is malformed or belongs to another request.
    WrongResponse,
    /// The backend server answered with an error.
    Status(u16),
}

/// Answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: SmolStr,
    /// Body.
    pub body: Vec<u8>,
}

/// Progress or end of a call to a backend server.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// A prefill finished.
    Prefilled {
        /// Handle of the KV cache.
        kv: SmolStr,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Tokens that were in the prefix cache.
        cached_tokens: u32,
    },
    /// A decode produced its first token.
    FirstToken,
    /// A decode has produced enough tokens for its request to be cleared.
    Cleared,
    /// A decode finished.
    Decoded {
        /// Why it ended.
        finish: FinishReason,
        /// Tokens of the whole answer.
        position: u32,
    },
    /// An engine reported its load.
    Load(EngineLoad),
    /// A plain service answered.
    Plain(Arc<PlainResponse>),
    /// A cancelled call ended.
    Cancelled,
    /// The call failed.
    Failed {
        /// Reason of the failure.
        fault: CallFault,
        /// Tokens of the whole answer so far.
        position: u32,
    },
}

/// Output tokens after which a request is cleared: it has not crashed its engine, so equal requests
/// may run at the same time.
pub const CLEARED_AFTER_TOKENS: u32 = 32;

/// Result of an operation on the platform's services.
#[derive(Clone, Debug)]
pub enum PlatformReply {
    /// Reply to a transaction.
    Transaction(TransactionReply),
    /// Reply to a read of rows.
    Rows(RowsReply),
    /// Reply to a read of an object; `None` if it does not exist.
    Object(Option<serde_json::Value>),
    /// An object was written.
    Stored,
}

/// The platform service did not answer; a write may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unsettled;

/// A change of one configuration row, requested by an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct RowChange {
    /// Row to change.
    pub key: RowKey,
    /// Version that the change is based on; `None` for the current one.
    pub version: Option<u64>,
    /// New JSON; `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

/// A request of an operator to an instance.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// Returns all configuration rows.
    Rows,
    /// Applies a set of changes atomically.
    Edit {
        /// Identifier that makes repeats of the edit idempotent.
        edit: SmolStr,
        /// The changes.
        changes: Vec<RowChange>,
    },
    /// Returns the state of the fleet as this instance sees it.
    Status,
    /// Stops accepting new work, hands over and shuts down.
    Drain,
}

/// Changes of the platform's list since the last read.
#[derive(Clone, Debug, Default)]
pub struct ListDelta {
    /// Added and changed entries.
    pub entries: Vec<ListEntry>,
    /// Names of removed entries.
    pub removed: Vec<SmolStr>,
}

/// An input of the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A caller sent a request.
    Arrived {
        /// The caller's request.
        caller: CallerId,
        /// The parts of the request that decisions need.
        inbound: Inbound,
    },
    /// A caller disconnected.
    CallerDisconnected {
        /// The caller's request.
        caller: CallerId,
        /// Number of output tokens that were delivered.
        position: u32,
    },
    /// A call to a backend server made progress.
    Call {
        /// The call.
        call: CallId,
        /// Its progress or end.
        result: CallResult,
    },
    /// An operation on a platform service ended.
    Platform {
        /// The operation.
        op: OpId,
        /// Its result.
        result: Result<PlatformReply, Unsettled>,
    },
    /// The platform's list changed.
    List(ListDelta),
    /// A peer sent a message.
    Peer {
        /// The sender.
        from: InstanceId,
        /// The message.
        msg: PeerMsg,
    },
    /// The link to a peer broke; messages may be lost.
    PeerLost(InstanceId),
    /// An operator sent a request.
    Operator {
        /// Number of the operator's request.
        operator: OperatorId,
        /// The request.
        request: OperatorRequest,
    },
}
