//! Outputs of the core, to be carried out by the process around it.

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
    /// Prefills the caller's prompt, with the output produced so far, into KV cache.
    Prefill {
        /// Caller whose prompt is prefilled.
        caller: CallerId,
        /// Id of the attempt, unique within the fleet.
        attempt: SmolStr,
    },
    /// Generates tokens and streams them to the caller.
    Decode {
        /// Caller that receives the tokens.
        caller: CallerId,
        /// Id of the attempt, unique within the fleet.
        attempt: SmolStr,
        /// KV cache to import.
        source: KvSource,
        /// Maximum number of output tokens.
        max_tokens: u32,
        /// Scheduling priority at the engine.
        priority: u32,
    },
    /// Resumes a decode whose stream broke.
    Resume {
        /// Caller that receives the tokens.
        caller: CallerId,
        /// Attempt whose stream broke.
        attempt: SmolStr,
    },
    /// Frees the engine memory of an attempt.
    Cancel {
        /// Attempt to cancel.
        attempt: SmolStr,
    },
    /// Reads an engine's load.
    Load,
    /// Forwards the caller's request to a plain service.
    Plain {
        /// Caller whose request is forwarded.
        caller: CallerId,
        /// Identifier sent to the service.
        attempt: SmolStr,
    },
}

/// An operation on a platform service.
#[derive(Clone, Debug)]
pub enum PlatformOp {
    /// Applies a transaction.
    Transact(Transaction),
    /// Reads the rows below a prefix that changed after a revision.
    Rows {
        /// Key prefix.
        prefix: SmolStr,
        /// Revision of the last read.
        after: u64,
    },
    /// Writes an object.
    PutObject {
        /// Object name.
        name: SmolStr,
        /// Content.
        value: serde_json::Value,
    },
    /// Reads an object.
    GetObject {
        /// Object name.
        name: SmolStr,
    },
}

/// The final reply to a caller.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The request was refused or failed.
    Refused(Verdict),
    /// All tokens were delivered.
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
    /// The stored answer of an earlier, equal call.
    Recorded(RecordedOutcome),
    /// An answer that the instance itself produced.
    Json(serde_json::Value),
}

/// The reply to an operator.
#[derive(Clone, Debug)]
pub enum OperatorReply {
    /// The answer.
    Json(serde_json::Value),
    /// The changes are invalid; each line names the row and the problem.
    Invalid(Vec<String>),
    /// The rows were changed by another edit.
    Conflict(serde_json::Value),
    /// The outcome of the edit in the table is unknown.
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
    /// The owner of the customer's partition charged a request.
    Charged {
        /// The request.
        id: RequestId,
        /// Upper bound of its tokens.
        tokens: u64,
    },
    /// A request ended; the code is empty for a complete answer.
    Ended(&'static str),
    /// Prompt tokens whose prefill was never used by a decode.
    WastedPrefill(u64),
}

/// An output of the core.
#[derive(Clone, Debug)]
pub enum Action {
    /// Replies to a caller.
    Reply {
        /// The caller's request.
        caller: CallerId,
        /// The reply.
        reply: Reply,
    },
    /// Calls a backend server.
    Call {
        /// Number that identifies the call in its results.
        call: CallId,
        /// Address of the backend server.
        address: SmolStr,
        /// The call to make.
        request: Call,
    },
    /// Runs an operation on a platform service.
    Platform {
        /// Number that identifies the operation in its result.
        op: OpId,
        /// The operation.
        request: PlatformOp,
    },
    /// Sends a message to a peer.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Its address.
        address: SmolStr,
        /// The message.
        msg: PeerMsg,
    },
    /// Replies to an operator.
    Operator {
        /// The operator's request.
        operator: OperatorId,
        /// The reply.
        reply: OperatorReply,
    },
    /// Records a measurement.
    Measure {
        /// Customer; empty on open routes.
        customer: CustomerId,
        /// Scheduling class.
        class: Class,
        /// The value.
        sample: Sample,
    },
    /// Writes a log line.
    Log(LogEvent),
    /// Reports that the instance has handed over all its work and may exit.
    Stopped,
}
