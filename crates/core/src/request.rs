//! One caller's request on its way through the stages.

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

/// A charge at the holder of the customer's slot.
#[derive(Clone, Debug)]
pub struct Charge {
    /// Customer charged.
    pub customer: CustomerId,
    /// Upper bound of tokens.
    pub tokens: u64,
    /// Whether the holder has confirmed the charge.
    pub confirmed: bool,
    /// When the holder is asked again.
    pub ask_at: Duration,
    /// What the holder answered last, for the refusal if time runs out.
    pub last_denial: Option<Verdict>,
}

/// A claim of an idempotency key.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Customer of the key; empty on open routes.
    pub customer: CustomerId,
    /// The key.
    pub key: SmolStr,
    /// Whether the key is claimed at the slot holder rather than in the table.
    pub ticketed: bool,
    /// Whether this request holds the claim.
    pub granted: bool,
    /// Table version of the claim's row, once written by this instance.
    pub version: u64,
    /// When the claim is tried again.
    pub ask_at: Duration,
    /// Whether an operation on the claim is under way.
    pub busy: bool,
    /// The claim of an earlier, equal call that has no outcome yet was seen.
    pub seen_pending: bool,
}

/// Engines held, or asked for, at the keeper of a cell.
#[derive(Clone, Debug)]
pub struct Hold {
    /// The cell.
    pub cell: ShardId,
    /// The instance asked.
    pub keeper: InstanceId,
    /// When the keeper is asked again.
    pub ask_at: Duration,
    /// When the keeper was first asked, until it answers.
    pub unanswered: Option<Duration>,
    /// When engines were first asked for.
    pub since: Duration,
    /// The engines, once granted.
    pub allocation: Option<Allocation>,
}

/// Which call to a backend server is under way.
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

/// A call under way.
#[derive(Clone, Copy, Debug)]
pub struct Calling {
    /// Number of the call.
    pub call: CallId,
    /// What it does.
    pub kind: CallKind,
    /// When it began.
    pub since: Duration,
}

/// KV cache of the prompt that a prefill engine keeps for a short time.
#[derive(Clone, Debug)]
pub struct Kv {
    /// Engine that keeps it.
    pub engine: EngineId,
    /// Address of the engine.
    pub address: SmolStr,
    /// Handle on the engine.
    pub handle: SmolStr,
    /// When it was made.
    pub made: Duration,
}

/// A caller's request and everything held for it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Name over the fleet.
    pub id: RequestId,
    /// The caller's connection.
    pub caller: CallerId,
    /// What is asked for.
    pub inbound: Inbound,
    /// When it arrived.
    pub arrived: Duration,
    /// When it is given up if no backend server has started it.
    pub deadline: Duration,
    /// Stage that it is in.
    pub stage: Stage,
    /// Customer; `None` on open routes.
    pub customer: Option<CustomerId>,
    /// Route, once authenticated.
    pub route: Option<RouteId>,
    /// Scheduling class.
    pub class: Class,
    /// Upper bound of the prompt's tokens.
    pub prompt_tokens: u64,
    /// Most tokens of output.
    pub max_tokens: u32,
    /// Charge, if there is one.
    pub charge: Option<Charge>,
    /// Claim, if there is one.
    pub claim: Option<Claim>,
    /// Hold, if there is one.
    pub hold: Option<Hold>,
    /// Call, if one is under way.
    pub calling: Option<Calling>,
    /// Attempts at backend servers so far.
    pub attempt: u32,
    /// Attempts that ended with a full engine, which costs no work.
    pub fulls: u32,
    /// Whether a backend server may have started the request.
    pub run: Run,
    /// What `run` was before the call under way began.
    pub run_before_call: Run,
    /// Whether it ran on a backend server that crashed.
    pub suspect: bool,
    /// Times that a broken decode stream was resumed on its engine.
    pub resumes: u32,
    /// Backend servers that failed this request, and workers that it was sent to.
    pub avoid: Vec<SmolStr>,
    /// Tokens of prompt as counted by the engine.
    pub counted_prompt: Option<u32>,
    /// KV cache of the prompt, until a decode has imported it.
    pub kv: Option<Kv>,
    /// Tokens of output handed to the caller.
    pub position: u32,
    /// Whether `position` is exact although a decode is under way.
    pub position_known: bool,
    /// When the first token came.
    pub first_token: Option<Duration>,
    /// Whether the current prefill's result is not decoded from yet.
    pub unused_prefill: bool,
}

impl Request {
    /// Makes a request that has just arrived.
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
            claim: None,
            hold: None,
            calling: None,
            attempt: 0,
            fulls: 0,
            run: Run::NotRun,
            run_before_call: Run::NotRun,
            suspect: false,
            resumes: 0,
            avoid: Vec::new(),
            counted_prompt: None,
            kv: None,
            position: 0,
            position_known: false,
            first_token: None,
            unused_prefill: false,
        }
    }

    /// Returns the name of the current attempt at a backend server.
    pub fn attempt_name(&self) -> SmolStr {
        self.id.attempt(self.attempt)
    }

    /// Returns the tokens that the request has used, at most.
    pub fn used_tokens(&self) -> u64 {
        if self.run == Run::NotRun {
            return 0;
        }
        let prompt = self.counted_prompt.map_or(self.prompt_tokens, u64::from);
        // A decode that is cut short may have handed over any part of its output.
        let exact = self.position_known || !self.is_decoding();
        let output = if exact {
            self.position
        } else {
            self.max_tokens
        };
        prompt + u64::from(output)
    }

    /// Whether a decode is under way.
    pub fn is_decoding(&self) -> bool {
        let kind = self.calling.map(|calling| calling.kind);
        matches!(kind, Some(CallKind::Decode | CallKind::Resume))
    }

    /// Returns the tokens of the prompt that the next prefill must process.
    pub fn prefill_tokens(&self) -> u64 {
        self.prompt_tokens + u64::from(self.position)
    }
}
