//! What the core wants done outside.

use std::sync::Arc;
use std::time::Duration;

use jacinthlever_types::{
    Class, CustomerId, FinishReason, InstanceId, KvSource, PeerMsg, RecordedOutcome, RequestId,
    Transaction, Verdict,
};
use smol_str::SmolStr;

use crate::{CallId, CallerId, LogEvent, OpId, OperatorId, PlainResponse};

/// A call to a backend server.
#[derive(Clone, Debug)]
pub enum Call {
    /// Turn the caller's prompt, with output produced so far, into KV cache.
    Prefill {
        /// Whose prompt.
        caller: CallerId,
        /// Attempt, unique over the fleet.
        attempt: SmolStr,
    },
    /// Generate tokens and hand them to the caller.
    Decode {
        /// Whose answer.
        caller: CallerId,
        /// Attempt, unique over the fleet.
        attempt: SmolStr,
        /// KV cache to import.
        source: KvSource,
        /// Most tokens of output.
        max_tokens: u32,
        /// Scheduling priority at the engine.
        priority: u32,
    },
    /// Continue a decode whose stream broke.
    Resume {
        /// Whose answer.
        caller: CallerId,
        /// Attempt whose stream broke.
        attempt: SmolStr,
    },
    /// Free the engine memory of an attempt.
    Cancel {
        /// Attempt to cancel.
        attempt: SmolStr,
    },
    /// Read an engine's load.
    Load,
    /// Pass the caller's request to a plain service.
    Plain {
        /// Whose request.
        caller: CallerId,
        /// Identifier sent to the service.
        attempt: SmolStr,
    },
}

/// An operation on a platform service.
#[derive(Clone, Debug)]
pub enum PlatformOp {
    /// Apply a transaction.
    Transact(Transaction),
    /// Read rows below a prefix that changed after a revision.
    Rows {
        /// Key prefix.
        prefix: SmolStr,
        /// Revision of the last read.
        after: u64,
    },
    /// Write an object.
    PutObject {
        /// Object name.
        name: SmolStr,
        /// Content.
        value: serde_json::Value,
    },
    /// Read an object.
    GetObject {
        /// Object name.
        name: SmolStr,
    },
}

/// What a caller is told.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The final answer is a verdict.
    Refused(Verdict),
    /// All tokens were handed over.
    Finished {
        /// Why the answer ended.
        finish: FinishReason,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Tokens of the answer.
        output_tokens: u32,
    },
    /// The answer of a plain service.
    Plain(Arc<PlainResponse>),
    /// The answer of an earlier, equal call.
    Recorded(RecordedOutcome),
    /// An answer of the instance itself.
    Json(serde_json::Value),
}

/// What an operator is told.
#[derive(Clone, Debug)]
pub enum OperatorReply {
    /// The answer.
    Json(serde_json::Value),
    /// The changes do not check; each line names the row.
    Invalid(Vec<String>),
    /// The rows were changed by another edit.
    Conflict(serde_json::Value),
    /// The table did not settle the edit.
    Unavailable(SmolStr),
}

/// A measured value.
#[derive(Clone, Debug, PartialEq)]
pub enum Sample {
    /// Time from a request's arrival to its first token.
    FirstToken(Duration),
    /// Time that a request waited for engines.
    QueueWait(Duration),
    /// Mean time between the tokens of an answer.
    BetweenTokens(Duration),
    /// Tokens that a request used.
    Tokens(u64),
    /// The holder of the customer's limit charged a request.
    Charged {
        /// The request.
        id: RequestId,
        /// Upper bound of its tokens.
        tokens: u64,
    },
    /// A request ended; the code is empty for an answer in full.
    Ended(&'static str),
    /// Prompt tokens that were prefilled and never decoded from.
    WastedPrefill(u64),
}

/// An output of the core.
#[derive(Clone, Debug)]
pub enum Action {
    /// Tell a caller.
    Reply {
        /// The caller's request.
        caller: CallerId,
        /// What to tell.
        reply: Reply,
    },
    /// Call a backend server.
    Call {
        /// Number for the result.
        call: CallId,
        /// Address of the backend server.
        address: SmolStr,
        /// What to send.
        request: Call,
    },
    /// Use a platform service.
    Platform {
        /// Number for the result.
        op: OpId,
        /// What to do.
        request: PlatformOp,
    },
    /// Send a message to a peer.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Its address.
        address: SmolStr,
        /// The message.
        msg: PeerMsg,
    },
    /// Answer an operator.
    Operator {
        /// The operator's request.
        operator: OperatorId,
        /// The answer.
        reply: OperatorReply,
    },
    /// Record a measurement.
    Measure {
        /// Customer; empty on open routes.
        customer: CustomerId,
        /// Scheduling class.
        class: Class,
        /// The value.
        sample: Sample,
    },
    /// Write a log line.
    Log(LogEvent),
    /// The instance has handed over all its work and may end.
    Stopped,
}
