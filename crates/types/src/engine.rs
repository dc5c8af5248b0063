//! Messages of the model engines; see `docs/PLATFORM.md`.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Role of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Processes prompts and produces their KV cache.
    Prefill,
    /// Generates tokens from KV cache.
    Decode,
}

/// Request body of `POST /v1/prefill`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PrefillRequest {
    /// Identifier of the attempt, unique over the fleet.
    pub request: SmolStr,
    /// Prompt text, followed by the output that earlier attempts produced.
    pub prompt: String,
    /// Number of output tokens at the end of `prompt`.
    pub generated: u32,
}

/// Answer to a [`PrefillRequest`]. The engine evicts the KV cache within a second.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PrefillReply {
    /// Identifier of the attempt, as sent in the request.
    pub request: SmolStr,
    /// Handle of the KV cache on the engine.
    pub kv: SmolStr,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of those tokens that were found in the prefix cache.
    pub cached_tokens: u32,
}

/// Source from which a decode engine imports KV cache.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KvSource {
    /// Address of the prefill engine.
    pub address: SmolStr,
    /// Handle of the KV cache on the prefill engine.
    pub kv: SmolStr,
}

/// Request body of `POST /v1/export`, which a decode engine sends to a prefill engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExportRequest {
    /// Handle of the KV cache on the prefill engine.
    pub kv: SmolStr,
}

/// Request body of `POST /v1/decode`; the answer is a stream of [`DecodeLine`]s.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DecodeRequest {
    /// Identifier of the attempt, unique over the fleet.
    pub request: SmolStr,
    /// KV cache to import.
    pub source: KvSource,
    /// Position of the first token to generate.
    pub from: u32,
    /// Maximum number of output tokens, counted from position 0.
    pub max_tokens: u32,
    /// Scheduling priority; a lower value is served first.
    pub priority: u32,
}

/// Request body of `POST /v1/resume`, which continues a stream whose connection broke.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ResumeRequest {
    /// Identifier of the attempt whose stream broke.
    pub request: SmolStr,
    /// Position of the first token to send.
    pub from: u32,
}

/// Request body of `POST /v1/cancel`, which frees the memory of an attempt.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CancelRequest {
    /// Identifier of the attempt to cancel.
    pub request: SmolStr,
}

/// Reason why a decode ended.
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
    /// Identifier of the attempt, as sent in the request.
    pub request: SmolStr,
    /// Position of the token in the output, from 0.
    pub position: u32,
    /// Text of the token; empty on the last line.
    #[serde(default)]
    pub token: SmolStr,
    /// Reason why the decode ended; `None` on all lines but the last.
    #[serde(default)]
    pub finish: Option<FinishReason>,
}

/// Answer to `GET /v1/load`; up to a second old.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Number of requests that the engine can run at once.
    pub slots: u32,
    /// Number of requests running.
    pub used: u32,
    /// Number of KV pages in total; a page holds about four thousand tokens.
    pub pages: u32,
    /// Number of KV pages in use.
    pub used_pages: u32,
}
