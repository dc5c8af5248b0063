//! Messages between instances, encoded as CBOR over WebSocket; see `docs/PEER-PROTOCOL.md`.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    Class, CustomerId, EngineId, Fingerprint, InstanceId, ModelId, TableRow, VersionedRow, ZoneId,
};

/// Version of the peer protocol; a peer of another version ignores fields that it does not know.
pub const PROTOCOL_VERSION: u32 = 1;

/// Identifier of a caller's request, unique over the fleet.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// Instance that the caller is connected to.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Incarnation of the instance.
    #[serde(rename = "c")]
    pub incarnation: u64,
    /// Sequence number of the request within the incarnation.
    #[serde(rename = "n")]
    pub number: u64,
}

impl RequestId {
    /// Returns the identifier of one attempt of the request, unique over the fleet.
    pub fn attempt(&self, attempt: u32) -> SmolStr {
        format_smolstr!("{self}-{attempt}")
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}-{:x}-{:x}",
            self.instance, self.incarnation, self.number
        )
    }
}

/// Identifier of an engine shard: engines of one model that one instance schedules; see
/// `docs/design/placement.md`.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ShardId {
    /// Model of the engines.
    #[serde(rename = "m")]
    pub model: ModelId,
    /// Number of the shard within the model, from 0.
    #[serde(rename = "s")]
    pub shard: u32,
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.model, self.shard)
    }
}

/// State of an instance, as sent to its peers by the instance itself or by another one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Instance whose state this is.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Incarnation of the instance; state of a higher incarnation replaces that of a lower one.
    #[serde(rename = "c")]
    pub incarnation: u64,
    /// Number of heartbeats that the instance has sent in this incarnation.
    #[serde(rename = "b")]
    pub heartbeat: u64,
    /// Whether the instance takes no new work.
    #[serde(rename = "d", default)]
    pub draining: bool,
    /// Configuration revision that the instance applies.
    #[serde(rename = "r")]
    pub revision: u64,
}

/// Request for engine capacity, sent to the scheduler of a shard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReservationRequest {
    /// The caller's request.
    pub id: RequestId,
    /// Attempt within the request, from 1.
    pub attempt: u32,
    /// Shard to reserve engines in.
    #[serde(rename = "cell")]
    pub shard: ShardId,
    /// Customer of the request; capacity is shared fairly among customers.
    pub customer: CustomerId,
    /// Weight of the customer in the fair queue.
    pub weight: f64,
    /// Scheduling class.
    pub class: Class,
    /// Tokens to prefill: the prompt and the output that earlier attempts produced.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens still to be generated.
    pub output_tokens: u64,
    /// Hashes of the prompt's prefixes of one, two and more blocks of
    /// [`ReservationRequest::BLOCK_TOKENS`] tokens.
    pub prefix: Vec<u64>,
    /// Time left until the first token is due, in milliseconds.
    pub due_ms: u32,
    /// Whether an earlier attempt ran on a backend server that crashed.
    pub suspect: bool,
    /// Engines that failed earlier attempts of the request.
    #[serde(default)]
    pub avoid: Vec<EngineId>,
    /// Prefill engine that still has the KV cache of the prompt; `None` if a prefill is needed.
    #[serde(default)]
    pub prefilled: Option<EngineId>,
}

impl ReservationRequest {
    /// Tokens in one block of a prompt prefix.
    pub const BLOCK_TOKENS: u64 = 256;
}

/// Engines that a scheduler granted to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Allocation {
    /// Prefill engine.
    pub prefill: EngineId,
    /// Address of the prefill engine.
    pub prefill_address: SmolStr,
    /// Decode engine.
    pub decode: EngineId,
    /// Address of the decode engine.
    pub decode_address: SmolStr,
}

/// A reservation that an earlier scheduler of the shard granted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReservationTransfer {
    /// Request for which the engines were reserved.
    pub request: ReservationRequest,
    /// Engines reserved.
    pub allocation: Allocation,
    /// Whether the prefill is done and the request is decoding.
    pub decoding: bool,
}

/// Answer to a [`ReservationRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReservationOutcome {
    /// The request waits in the scheduler's fair queue.
    Queued,
    /// Engines are reserved for the request.
    Granted(Allocation),
    /// The request cannot start before its deadline.
    Refused {
        /// Time until capacity is expected, in milliseconds.
        retry_after_ms: u32,
    },
    /// The instance that received the request does not schedule the shard.
    #[serde(rename = "not_keeper")]
    NotScheduler,
}

/// Reason why a charge was refused.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChargeDenied {
    /// The customer's token bucket has too few tokens.
    OverLimit {
        /// Time until the bucket has enough tokens, in milliseconds; `None` if the charge exceeds
        /// what the bucket can hold.
        retry_after_ms: Option<u32>,
        /// Whether the bucket is still refilling after an unclean takeover. The customer is then
        /// not over its limit, so the request may wait instead of being refused.
        #[serde(default)]
        recovering: bool,
    },
    /// The instance that received the request does not own the customer's partition.
    #[serde(rename = "not_holder")]
    NotOwner,
    /// Equal requests have crashed too many backend servers; the request is quarantined.
    CrashSuspect,
    /// Equal requests are running that are not cleared yet; if all of them crashed, too many
    /// backend servers would be lost.
    #[serde(rename = "unproven")]
    NotCleared,
}

/// How a reservation ended, as far as it concerns the scheduler.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReservationEnd {
    /// The request finished or was cancelled; both engines are healthy.
    Done,
    /// The prefill engine failed.
    PrefillFailed(EngineFault),
    /// The decode engine failed.
    DecodeFailed(EngineFault),
}

/// How an engine failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFault {
    /// The engine refuses connections.
    Down,
    /// The engine crashed while requests were running.
    Crashed,
    /// The engine sent nothing until a timeout expired.
    Stalled,
    /// The engine had no capacity although the scheduler counted some as free.
    Full,
    /// The engine closed a stream early or answered with an error.
    Broken,
    /// The KV cache had been evicted or its transfer stalled.
    KvLost,
}

/// Record of the call that was made with an idempotency key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct IdempotencyRecord {
    /// Only attempt that may run with the key.
    pub attempt: SmolStr,
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// Outcome of the call; `None` until it is known.
    #[serde(default)]
    pub outcome: Option<RecordedOutcome>,
}

/// Recorded answer to a non-idempotent call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordedOutcome {
    /// HTTP status that the backend server returned.
    pub status: u16,
    /// Content type of the body.
    pub content_type: SmolStr,
    /// Body as text; `None` if it was too large to record.
    pub body: Option<String>,
}

/// A message between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMsg {
    /// First message on a link.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u32,
        /// The sender.
        instance: InstanceId,
        /// Availability zone of the sender.
        zone: ZoneId,
    },
    /// Liveness and configuration revision of the sender and of some other instances.
    Heartbeat {
        /// State of the sender, followed by that of other instances known to it.
        members: Vec<MemberStatus>,
    },
    /// Request for the configuration rows that changed after a revision.
    ConfigPull {
        /// Revision that the sender has.
        after: u64,
    },
    /// Configuration rows that changed between two revisions.
    ConfigDelta {
        /// Revision to which the rows are applied.
        after: u64,
        /// Revision that results.
        revision: u64,
        /// Changed rows.
        rows: Vec<VersionedRow>,
    },
    /// Partition rows of the table that the sender wrote or read.
    #[serde(rename = "slot_rows")]
    PartitionRows {
        /// Rows with their versions.
        rows: Vec<TableRow>,
    },
    /// Request to a successor not to take over the sender's partitions for one lease term.
    #[serde(rename = "promise_ask")]
    PromiseRequest {
        /// Sequence number of the request.
        number: u64,
        /// Lease term for which the promise holds, in milliseconds.
        term_ms: u64,
    },
    /// Answer to a [`PeerMsg::PromiseRequest`]: the successor's promise.
    Promised {
        /// Sequence number of the request.
        number: u64,
    },
    /// Charges tokens to a customer; sent to the owner of the customer's partition.
    Charge {
        /// The caller's request; it is charged once even if the message is repeated.
        id: RequestId,
        /// Customer charged.
        customer: CustomerId,
        /// Upper bound of the tokens that the request can use.
        tokens: u64,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// Answer to a [`PeerMsg::Charge`].
    Charged {
        /// The caller's request.
        id: RequestId,
        /// Reason of a refusal; `None` if the charge was made.
        denied: Option<ChargeDenied>,
    },
    /// Replaces the charge of a request by the tokens that it used.
    #[serde(rename = "settle")]
    SettleCharge {
        /// The caller's request.
        id: RequestId,
        /// Customer charged.
        customer: CustomerId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Tokens used.
        tokens: u64,
        /// Whether the request finished without crashing a backend server.
        #[serde(rename = "harmless")]
        cleared: bool,
    },
    /// The request has run long enough without crashing a backend server to be cleared.
    #[serde(rename = "harmless")]
    Cleared {
        /// The caller's request.
        id: RequestId,
        /// Customer of the request.
        customer: CustomerId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// A backend server crashed while it was running the request.
    Crash {
        /// The caller's request.
        id: RequestId,
        /// Customer of the request.
        customer: CustomerId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// Request to reserve engines.
    #[serde(rename = "hold")]
    Reserve(ReservationRequest),
    /// Transfers a reservation that an earlier scheduler granted to the new one.
    #[serde(rename = "adopt")]
    TransferReservation(Box<ReservationTransfer>),
    /// Answer to a [`PeerMsg::Reserve`].
    #[serde(rename = "hold_reply")]
    ReservationReply {
        /// The caller's request.
        id: RequestId,
        /// Attempt that the answer belongs to.
        attempt: u32,
        /// Decision of the scheduler.
        outcome: ReservationOutcome,
        /// Requests waiting in the shard per decode slot of the shard, in percent.
        #[serde(default)]
        pressure: u32,
    },
    /// The prefill of a request with a reservation is done.
    Prefilled {
        /// The caller's request.
        id: RequestId,
        /// Shard of the reservation.
        #[serde(rename = "cell")]
        shard: ShardId,
        /// Prompt tokens that were found in the prefix cache.
        cached_tokens: u32,
        /// Duration of the prefill in milliseconds.
        took_ms: u32,
    },
    /// The decode of a request with a reservation has returned its first tokens.
    Decoding {
        /// The caller's request.
        id: RequestId,
        /// Shard of the reservation.
        #[serde(rename = "cell")]
        shard: ShardId,
    },
    /// The decode of a request with a reservation has returned enough tokens to measure the token
    /// rate.
    #[serde(rename = "paced")]
    TokenRate {
        /// The caller's request.
        id: RequestId,
        /// Shard of the reservation.
        #[serde(rename = "cell")]
        shard: ShardId,
        /// Tokens after the first one.
        tokens: u32,
        /// Time from the first token to the last of `tokens`, in milliseconds.
        took_ms: u32,
    },
    /// Asks the receiver which of its reservations with the sender are still in use. The receiver
    /// releases the others.
    #[serde(rename = "hold_check")]
    ReservationCheck {
        /// Shard of the reservations.
        #[serde(rename = "cell")]
        shard: ShardId,
        /// Requests of the receiver that have engines reserved with the sender.
        requests: Vec<RequestId>,
    },
    /// Releases a reservation.
    Release {
        /// The caller's request.
        id: RequestId,
        /// Shard of the reservation.
        #[serde(rename = "cell")]
        shard: ShardId,
        /// How the reservation ended.
        end: ReservationEnd,
        /// Output tokens that were reserved but not generated.
        unused_tokens: u64,
    },
    /// Request for an idempotency record; sent to the owner of the customer's partition.
    #[serde(rename = "claim")]
    IdempotencyRequest {
        /// The caller's request.
        id: RequestId,
        /// Customer of the key.
        customer: CustomerId,
        /// Idempotency key, beginning with an idempotency token.
        key: SmolStr,
        /// Fingerprint of the call.
        fingerprint: Fingerprint,
    },
    /// Answer to a [`PeerMsg::IdempotencyRequest`].
    #[serde(rename = "claimed")]
    IdempotencyReply {
        /// The caller's request.
        id: RequestId,
        /// Whether the call may run.
        reply: IdempotencyReply,
    },
    /// Adds the outcome of a call to its idempotency record at the partition owner.
    #[serde(rename = "claim_outcome")]
    IdempotencyOutcome {
        /// The caller's request.
        id: RequestId,
        /// Customer of the key.
        customer: CustomerId,
        /// Idempotency key.
        key: SmolStr,
        /// Outcome of the call; `None` revokes the record of a call that was not sent.
        outcome: Option<RecordedOutcome>,
    },
}

/// Answer to a request for an idempotency record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyReply {
    /// The record was created for this request, which alone may run the call.
    Granted,
    /// The key has a record already.
    Exists(IdempotencyRecord),
    /// The key may have been used before a takeover in which idempotency records were lost.
    Unsettled,
    /// The instance that received the request does not own the customer's partition.
    #[serde(rename = "not_holder")]
    NotOwner,
}

/// A peer message with its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerEnvelope {
    /// Instance that sent the message.
    #[serde(rename = "f")]
    pub from: InstanceId,
    /// The message itself.
    #[serde(rename = "m")]
    pub msg: PeerMsg,
}
