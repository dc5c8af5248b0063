//! State of one caller's request as it passes through the stages.

use std::time::Duration;

use jacinthlever_types::{
    Allocation, Class, CustomerId, EngineId, InstanceId, RequestId, RouteId, Run, ShardId, Verdict,
};
use slotmap::new_key_type;
use smol_str::SmolStr;

use crate::{CallId, CallerId, Inbound, Stage};

new_key_type! {
    /// Key of a request in the core's arena.
    pub struct ReqKey;
}

/// A charge at the owner of the customer's partition.
#[derive(Clone, Debug)]
pub struct Charge {
    /// Customer that is charged.
    pub customer: CustomerId,
    /// Upper bound of the tokens that the request uses.
    pub tokens: u64,
    /// Whether the owner has confirmed the charge.
    pub confirmed: bool,
    /// Time at which the charge is sent again.
    pub retry_at: Duration,
    /// Last denial of the owner, which becomes the refusal when the deadline passes.
    pub last_denial: Option<Verdict>,
}

/// Progress of recording a request under its idempotency key.
#[derive(Clone, Debug)]
pub struct IdempotencyState {
    /// Customer of the key; empty on open routes.
    pub customer: CustomerId,
    /// The key.
    pub key: SmolStr,
    /// Whether the key begins with an idempotency token of the customer's partition, so that the
    /// partition owner rather than the table decides.
    pub has_token: bool,
    /// Whether the record belongs to this request.
    pub granted: bool,
    /// Table version of the record's row, once written by this instance.
    pub version: u64,
    /// Time at which the record is requested again.
    pub retry_at: Duration,
    /// Whether an operation on the record is in progress.
    pub in_progress: bool,
    /// Whether a record of an earlier, equal call without an outcome was found.
    pub seen_pending: bool,
}

/// Engines reserved, or requested, at the scheduler of a shard.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// Shard of the engines.
    pub shard: ShardId,
    /// Instance that schedules the shard.
    pub scheduler: InstanceId,
    /// Time at which the request is sent again.
    pub retry_at: Duration,
    /// Time of the first request that the scheduler has not answered; `None` once it answers.
    pub unanswered_since: Option<Duration>,
    /// Time at which engines were first requested.
    pub requested_at: Duration,
    /// The granted engines; `None` while the request waits.
    pub allocation: Option<Allocation>,
}

/// Kind of a call to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// A prefill.
    Prefill,
    /// A decode.
    Decode,
    /// A decode resumed after its stream broke.
    Resume,
    /// A call of a plain service.
    Plain,
}

/// A call in progress.
#[derive(Clone, Copy, Debug)]
pub struct OngoingCall {
    /// Number of the call.
    pub call: CallId,
    /// Kind of the call.
    pub kind: CallKind,
    /// Start time of the call.
    pub since: Duration,
}

/// KV cache of the prompt, which a prefill engine keeps for a short time.
#[derive(Clone, Debug)]
pub struct KvCache {
    /// Prefill engine.
    pub engine: EngineId,
    /// Address of the prefill engine.
    pub address: SmolStr,
    /// Handle of the KV cache on that engine.
    pub handle: SmolStr,
    /// Time at which the prefill finished.
    pub created_at: Duration,
}

/// A caller's request and all resources it uses.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id, unique within the fleet.
    pub id: RequestId,
    /// Number of the request in the process around the core.
    pub caller: CallerId,
    /// The request as it arrived.
    pub inbound: Inbound,
    /// Arrival time.
    pub arrived: Duration,
    /// Time at which the request is refused if no backend server has started it.
    pub deadline: Duration,
    /// Current stage.
    pub stage: Stage,
    /// Customer; `None` on open routes.
    pub customer: Option<CustomerId>,
    /// Route; `None` before authentication.
    pub route: Option<RouteId>,
    /// Scheduling class.
    pub class: Class,
    /// Upper bound of the prompt's tokens.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Charge at the limit of the customer, if there is one.
    pub charge: Option<Charge>,
    /// State of the idempotency key, if the request has one.
    pub idempotency: Option<IdempotencyState>,
    /// Reservation of engines, if there is one.
    pub reservation: Option<Reservation>,
    /// Call to a backend server, if one is in progress.
    pub ongoing_call: Option<OngoingCall>,
    /// Number of attempts at backend servers so far.
    pub attempt: u32,
    /// Attempts that ended because an engine was full, which wastes no work.
    pub full_attempts: u32,
    /// Whether a backend server may have started the request.
    pub run: Run,
    /// Value of `run` before the call in progress started.
    pub run_before_call: Run,
    /// Whether the request ran on a backend server that crashed.
    pub suspect: bool,
    /// Number of times that a broken decode stream was resumed on its engine.
    pub resumes: u32,
    /// Backend servers that failed this request, and workers that it was sent to; retries avoid
    /// them.
    pub avoid: Vec<SmolStr>,
    /// Prompt tokens as counted by the engine.
    pub counted_prompt_tokens: Option<u32>,
    /// KV cache of the prompt, until a decode has imported it.
    pub kv: Option<KvCache>,
    /// Number of output tokens delivered to the caller.
    pub position: u32,
    /// Whether `position` is exact although a decode is in progress.
    pub position_known: bool,
    /// Time of the first token.
    pub first_token: Option<Duration>,
    /// Whether a prefill finished whose result no decode has used yet.
    pub unused_prefill: bool,
}

impl Request {
    /// Creates the state of a request that has just arrived.
    pub fn new(id: RequestId, caller: CallerId, inbound: Inbound, now: Duration) -> Self {
        Self {
            id,
            caller,
            inbound,
            arrived: now,
            deadline: now,
            stage: Stage::Authenticate,
            customer: None,
            route: None,
            class: Class::Patient,
            prompt_tokens: 0,
            max_tokens: 0,
            charge: None,
            idempotency: None,
            reservation: None,
            ongoing_call: None,
            attempt: 0,
            full_attempts: 0,
            run: Run::NotRun,
            run_before_call: Run::NotRun,
            suspect: false,
            resumes: 0,
            avoid: Vec::new(),
            counted_prompt_tokens: None,
            kv: None,
            position: 0,
            position_known: false,
            first_token: None,
            unused_prefill: false,
        }
    }

    /// Returns the id of the current attempt at a backend server.
    pub fn attempt_id(&self) -> SmolStr {
        self.id.attempt(self.attempt)
    }

    /// Returns an upper bound of the tokens that the request has used.
    pub fn used_tokens(&self) -> u64 {
        if self.run == Run::NotRun {
            return 0;
        }
        let prompt = self
            .counted_prompt_tokens
            .map_or(self.prompt_tokens, u64::from);
        // An interrupted decode may have produced any part of its output.
        let exact = self.position_known || !self.is_decoding();
        let output = if exact {
            self.position
        } else {
            self.max_tokens
        };
        prompt + u64::from(output)
    }

    /// Whether a decode is in progress.
    pub fn is_decoding(&self) -> bool {
        let kind = self.ongoing_call.map(|call| call.kind);
        matches!(kind, Some(CallKind::Decode | CallKind::Resume))
    }

    /// Returns the number of tokens that the next prefill must process: prompt and delivered
    /// output.
    pub fn prefill_tokens(&self) -> u64 {
        self.prompt_tokens + u64::from(self.position)
    }
}
