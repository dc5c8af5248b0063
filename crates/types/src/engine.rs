//! Messages of the model engines; see `docs/PLATFORM.md`.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What an engine does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Turns prompts into KV cache.
    Prefill,
    /// Generates tokens from KV cache.
    Decode,
}

/// `POST /v1/prefill`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PrefillRequest {
    /// Attempt, unique over the fleet.
    pub request: SmolStr,
    /// Prompt text, followed by output that an earlier attempt already produced.
    pub prompt: String,
    /// Tokens of output at the end of `prompt`.
    pub generated: u32,
}

/// Answer to a [`PrefillRequest`]; the engine evicts the KV cache within a second.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PrefillReply {
    /// Echo of the attempt.
    pub request: SmolStr,
    /// Handle of the KV cache on this engine.
    pub kv: SmolStr,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of it that were in the prefix cache.
    pub cached_tokens: u32,
}

/// Where a decode engine imports KV cache from.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KvSource {
    /// Address of the prefill engine.
    pub address: SmolStr,
    /// Handle on that engine.
    pub kv: SmolStr,
}

/// `POST /v1/export`, sent by a decode engine to a prefill engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExportRequest {
    /// Handle on the engine asked.
    pub kv: SmolStr,
}

/// `POST /v1/decode`; the answer is a stream of [`DecodeLine`]s.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DecodeRequest {
    /// Attempt, unique over the fleet.
    pub request: SmolStr,
    /// KV cache to import.
    pub source: KvSource,
    /// Position of the first token to generate.
    pub from: u32,
    /// Most tokens of output, counted from position 0.
    pub max_tokens: u32,
    /// Scheduling priority; lower goes first.
    pub priority: u32,
}

/// `POST /v1/resume`; continues a stream whose connection broke.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ResumeRequest {
    /// Attempt whose stream broke.
    pub request: SmolStr,
    /// Position of the first token to send.
    pub from: u32,
}

/// `POST /v1/cancel`; frees the memory of an attempt.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CancelRequest {
    /// Attempt to cancel.
    pub request: SmolStr,
}

/// Why a decode ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// The token limit was reached.
    Length,
}

/// One line of a decode stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DecodeLine {
    /// Echo of the attempt.
    pub request: SmolStr,
    /// Position of the token.
    pub position: u32,
    /// Text of the token; empty on the last line.
    #[serde(default)]
    pub token: SmolStr,
    /// Set on the last line only.
    #[serde(default)]
    pub finish: Option<FinishReason>,
}

/// `GET /v1/load`, as much as a second old.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Requests the engine can hold.
    pub slots: u32,
    /// Requests it holds.
    pub used: u32,
    /// KV pages it has; a page is about four thousand tokens.
    pub pages: u32,
    /// KV pages in use.
    pub used_pages: u32,
}
