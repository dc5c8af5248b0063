//! What the outside tells the core.

use std::sync::Arc;

use jacinthlever_types::{
    EngineLoad, Fingerprint, FinishReason, InstanceId, KeyHash, ListEntry, ModelId, PeerMsg,
    RowKey, RowsReply, TransactionReply,
};
use smol_str::SmolStr;

/// Number of a caller's request, given by the shell.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallerId(pub u64);

/// Number of a call to a backend server, given by the core.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Number of an operation on the platform's services, given by the core.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct OpId(pub u64);

/// Number of an operator's request, given by the shell.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct OperatorId(pub u64);

/// A caller's request as far as decisions need it; the shell keeps the bytes.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// Hash of the key that the caller showed.
    pub key: Option<KeyHash>,
    /// What is asked for.
    pub target: Target,
    /// Fingerprint of method, path and body.
    pub fingerprint: Fingerprint,
}

/// What a caller asks for.
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
        /// Hashes of growing prefixes of the prompt.
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
    /// The list of models that the key may use.
    Models,
    /// The addresses that the caller should use.
    Where,
}

/// Why a call to a backend server gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFault {
    /// The connection was refused; no byte was sent.
    Refused,
    /// The connection broke, and the address refuses connections now.
    Crashed,
    /// The connection broke, but the address still accepts connections.
    Broken,
    /// No byte came for too long.
    Stalled,
    /// The backend server had no room.
    Full,
    /// The KV cache was gone or its transfer stalled.
    KvLost,
    /// The answer belongs to another request.
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

/// What a call to a backend server led to.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// A prefill is done.
    Prefilled {
        /// Handle of the KV cache.
        kv: SmolStr,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Tokens that were in the prefix cache.
        cached_tokens: u32,
    },
    /// A decode sent its first token.
    FirstToken,
    /// A decode has sent enough tokens for its request to count as harmless.
    Cleared,
    /// A decode ended whole.
    Decoded {
        /// Why it ended.
        finish: FinishReason,
        /// Tokens of the whole answer.
        position: u32,
    },
    /// An engine told its load.
    Load(EngineLoad),
    /// A plain service answered.
    Plain(Arc<PlainResponse>),
    /// A cancelled call has come to its end.
    Cancelled,
    /// The call failed.
    Failed {
        /// Why.
        fault: CallFault,
        /// Tokens of the whole answer so far.
        position: u32,
    },
}

/// Tokens of an answer after which its request counts as harmless to its engine.
pub const CLEARED_AFTER_TOKENS: u32 = 32;

/// Result of an operation on the platform's services.
#[derive(Clone, Debug)]
pub enum PlatformReply {
    /// Answer to a transaction.
    Transaction(TransactionReply),
    /// Answer to a read of rows.
    Rows(RowsReply),
    /// Answer to a read of an object; `None` if there is none.
    Object(Option<serde_json::Value>),
    /// An object is written.
    Stored,
}

/// The platform service did not answer; a write may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unsettled;

/// One change of a configuration row that an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct RowChange {
    /// Row to change.
    pub key: RowKey,
    /// Version that the operator saw; `None` takes the current one.
    pub version: Option<u64>,
    /// New JSON; `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

/// What an operator asks of an instance.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// All configuration rows.
    Rows,
    /// A set of changes, applied whole or not at all.
    Edit {
        /// Identifier that makes a repeated edit harmless.
        edit: SmolStr,
        /// The changes.
        changes: Vec<RowChange>,
    },
    /// State of the fleet as this instance sees it.
    Status,
    /// Stop taking new work, hand over, and end.
    Drain,
}

/// Changes of the platform's list since the last read.
#[derive(Clone, Debug, Default)]
pub struct ListDelta {
    /// Added and changed entries.
    pub entries: Vec<ListEntry>,
    /// Names of entries that are gone.
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
        /// What it asks for.
        inbound: Inbound,
    },
    /// A caller went away.
    CallerDisconnected {
        /// The caller's request.
        caller: CallerId,
        /// Tokens of output that it had been handed.
        position: u32,
    },
    /// A call to a backend server made progress.
    Call {
        /// The call.
        call: CallId,
        /// What happened.
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
    /// A link to a peer broke; messages may be lost.
    PeerLost(InstanceId),
    /// An operator asks something.
    Operator {
        /// The operator's request.
        operator: OperatorId,
        /// What is asked.
        request: OperatorRequest,
    },
}
