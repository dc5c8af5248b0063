//! Messages between instances, encoded as CBOR over WebSocket; see `docs/PEER-PROTOCOL.md`.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    Class, CustomerId, EngineId, Fingerprint, InstanceId, ModelId, TableRow, VersionedRow, ZoneId,
};

/// Version of the peer protocol; peers of other versions ignore what they do not know.
pub const PROTOCOL_VERSION: u32 = 1;

/// Names one caller's request over the whole fleet.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// Instance that the caller is connected to.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Incarnation of the instance.
    #[serde(rename = "c")]
    pub incarnation: u64,
    /// Number within the incarnation.
    #[serde(rename = "n")]
    pub number: u64,
}

impl RequestId {
    /// Returns the name of one attempt at an engine.
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

/// A group of engines of one model that one instance schedules; see `docs/design/placement.md`.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CellId {
    /// Model of the engines.
    #[serde(rename = "m")]
    pub model: ModelId,
    /// Number of the group within the model.
    #[serde(rename = "s")]
    pub shard: u32,
}

impl fmt::Display for CellId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.model, self.shard)
    }
}

/// What an instance tells its peers of itself or of another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The instance.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Incarnation; a higher one replaces a lower one.
    #[serde(rename = "c")]
    pub incarnation: u64,
    /// Heartbeat counter within the incarnation.
    #[serde(rename = "b")]
    pub beat: u64,
    /// Whether the instance takes no new work.
    #[serde(rename = "d", default)]
    pub draining: bool,
    /// Configuration revision in force there.
    #[serde(rename = "r")]
    pub revision: u64,
}

/// Asks the keeper of a cell for engine capacity.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldRequest {
    /// The caller's request.
    pub id: RequestId,
    /// Attempt within the request, from 1.
    pub attempt: u32,
    /// Cell asked.
    pub cell: CellId,
    /// Customer, the unit of fairness.
    pub customer: CustomerId,
    /// Weight of the customer.
    pub weight: f64,
    /// Scheduling class.
    pub class: Class,
    /// Prompt tokens, with output already produced.
    pub prompt_tokens: u64,
    /// Most output tokens still to come.
    pub output_tokens: u64,
    /// Hashes of growing prompt prefixes, in blocks of [`HoldRequest::BLOCK_TOKENS`] tokens.
    pub prefix: Vec<u64>,
    /// Milliseconds left until the first token is due.
    pub due_ms: u32,
    /// Whether an earlier attempt ran on a backend server that crashed.
    pub suspect: bool,
    /// Engines that failed earlier attempts.
    #[serde(default)]
    pub avoid: Vec<EngineId>,
    /// Engine that still keeps the KV cache of the prompt, so that no prefill is needed.
    #[serde(default)]
    pub prefilled: Option<EngineId>,
}

impl HoldRequest {
    /// Tokens in one block of a prompt prefix.
    pub const BLOCK_TOKENS: u64 = 256;
}

/// Engines granted to a request.
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

/// A hold that an earlier keeper granted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Adoption {
    /// The request as it was asked.
    pub request: HoldRequest,
    /// The engines.
    pub allocation: Allocation,
    /// Whether the prefill is done.
    pub decoding: bool,
}

/// Answer to a [`HoldRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldOutcome {
    /// The request waits in the fair queue.
    Queued,
    /// Engines are held for the request.
    Granted(Allocation),
    /// The request cannot start in time.
    Refused {
        /// When capacity is expected, in milliseconds.
        retry_after_ms: u32,
    },
    /// The instance asked does not keep the cell.
    NotKeeper,
}

/// Why a charge was not made.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChargeDenied {
    /// The bucket holds too few tokens.
    OverLimit {
        /// When it will hold enough, in milliseconds; `None` if it never can.
        retry_after_ms: Option<u32>,
        /// Whether the bucket still fills after an unclean takeover, so that waiting is fair.
        #[serde(default)]
        recovering: bool,
    },
    /// The instance asked does not hold the customer's slot.
    NotHolder,
    /// Equal requests have crashed too many backend servers.
    CrashSuspect,
    /// Equal requests are running and not yet known to be harmless.
    Unproven,
}

/// How a hold ended, as the keeper needs to know it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldEnd {
    /// The request finished or was cancelled; both engines are healthy.
    Done,
    /// The prefill engine failed.
    PrefillFailed(EngineFault),
    /// The decode engine failed.
    DecodeFailed(EngineFault),
}

/// What an engine did wrong.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFault {
    /// It refuses connections.
    Down,
    /// It went down with requests running.
    Crashed,
    /// It sent nothing for too long.
    Stalled,
    /// It had no room in spite of the keeper's count.
    Full,
    /// It broke a stream or answered with an error.
    Broken,
    /// The KV cache was gone or its transfer stalled.
    KvLost,
}

/// Recorded state of a claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// Attempt that may run.
    pub attempt: SmolStr,
    /// What was claimed.
    pub fingerprint: Fingerprint,
    /// Outcome, once there is one.
    #[serde(default)]
    pub outcome: Option<RecordedOutcome>,
}

/// Recorded answer of a non-idempotent call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordedOutcome {
    /// HTTP status of the backend server.
    pub status: u16,
    /// Content type.
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
        /// Its availability zone.
        zone: ZoneId,
    },
    /// Liveness and configuration revision of the sender and of some others.
    Heartbeat {
        /// The sender first, then others that it heard of.
        members: Vec<MemberStatus>,
    },
    /// Asks for configuration rows that changed after a revision.
    ConfigPull {
        /// Revision that the asker has.
        after: u64,
    },
    /// Configuration rows that changed between two revisions.
    ConfigDelta {
        /// Revision that the rows follow.
        after: u64,
        /// Revision that they lead to.
        revision: u64,
        /// Changed rows.
        rows: Vec<VersionedRow>,
    },
    /// Slot rows that the sender wrote or read.
    SlotRows {
        /// The rows with their versions.
        rows: Vec<TableRow>,
    },
    /// Asks a heir not to take the sender's slots for one lease term.
    PromiseAsk {
        /// Number of the question.
        number: u64,
        /// Term for which the promise is asked, in milliseconds.
        term_ms: u64,
    },
    /// The heir's promise.
    Promised {
        /// Number of the question.
        number: u64,
    },
    /// Charges tokens to a customer at the holder of its slot.
    Charge {
        /// The caller's request; a charge is made once for an id.
        id: RequestId,
        /// Customer charged.
        customer: CustomerId,
        /// Upper bound of the tokens the request can use.
        tokens: u64,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// Answer to a charge.
    Charged {
        /// The caller's request.
        id: RequestId,
        /// Why not, if not.
        denied: Option<ChargeDenied>,
    },
    /// Settles a charge with what was used.
    Settle {
        /// The caller's request.
        id: RequestId,
        /// Customer charged.
        customer: CustomerId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Tokens used.
        tokens: u64,
        /// Whether the request ran to its end without harm to a backend server.
        harmless: bool,
    },
    /// The request has run long enough to be harmless to backend servers.
    Harmless {
        /// The caller's request.
        id: RequestId,
        /// Customer of the request.
        customer: CustomerId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// A backend server crashed while it ran the request.
    Crash {
        /// The caller's request.
        id: RequestId,
        /// Customer of the request.
        customer: CustomerId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// Asks for engines.
    Hold(HoldRequest),
    /// Tells a new keeper of engines that an earlier one granted.
    Adopt(Box<Adoption>),
    /// Answer to a hold.
    HoldReply {
        /// The caller's request.
        id: RequestId,
        /// Attempt that the answer is for.
        attempt: u32,
        /// The answer.
        outcome: HoldOutcome,
        /// Requests that wait in the cell for each of its decode slots, in percent.
        #[serde(default)]
        pressure: u32,
    },
    /// The prefill of a held request is done.
    Prefilled {
        /// The caller's request.
        id: RequestId,
        /// Cell of the hold.
        cell: CellId,
        /// Tokens that were in the prefix cache.
        cached_tokens: u32,
        /// Duration of the prefill in milliseconds.
        took_ms: u32,
    },
    /// The decode of a held request gave its first tokens.
    Decoding {
        /// The caller's request.
        id: RequestId,
        /// Cell of the hold.
        cell: CellId,
    },
    /// The decode of a held request has given enough tokens to tell its pace.
    Paced {
        /// The caller's request.
        id: RequestId,
        /// Cell of the hold.
        cell: CellId,
        /// Tokens since the first.
        tokens: u32,
        /// Time for them, in milliseconds.
        took_ms: u32,
    },
    /// Asks an instance which of its holds at the sender it still has; it releases the others.
    HoldCheck {
        /// Cell of the holds.
        cell: CellId,
        /// Requests that hold engines at the sender.
        requests: Vec<RequestId>,
    },
    /// Gives up a hold.
    Release {
        /// The caller's request.
        id: RequestId,
        /// Cell of the hold.
        cell: CellId,
        /// How it ended.
        end: HoldEnd,
        /// Output tokens that were not produced.
        unused_tokens: u64,
    },
    /// Claims an idempotency key at the holder of the customer's slot.
    Claim {
        /// The caller's request.
        id: RequestId,
        /// Customer of the key.
        customer: CustomerId,
        /// Idempotency key, beginning with a ticket.
        key: SmolStr,
        /// What is claimed.
        fingerprint: Fingerprint,
    },
    /// Answer to a claim.
    Claimed {
        /// The caller's request.
        id: RequestId,
        /// The answer.
        reply: ClaimReply,
    },
    /// Records the outcome of a claimed call at the holder.
    ClaimOutcome {
        /// The caller's request.
        id: RequestId,
        /// Customer of the key.
        customer: CustomerId,
        /// Idempotency key.
        key: SmolStr,
        /// Outcome; `None` withdraws the claim of a call that was not sent.
        outcome: Option<RecordedOutcome>,
    },
}

/// Answer to a claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimReply {
    /// The asker alone may run the call.
    Granted,
    /// The key is claimed already.
    Exists(ClaimRecord),
    /// The key may have been used before a takeover that lost its claims.
    Unsettled,
    /// The instance asked does not hold the slot.
    NotHolder,
}

/// A message with its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerEnvelope {
    /// Sender.
    #[serde(rename = "f")]
    pub from: InstanceId,
    /// Message.
    #[serde(rename = "m")]
    pub msg: PeerMsg,
}
