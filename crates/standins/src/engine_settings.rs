//! Settings of a stand-in engine.

use jacinthlever_types::EngineRole;
use serde::{Deserialize, Serialize};

/// Role, capacity and speed of a stand-in engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Role of the engine.
    pub role: EngineRole,
    /// Number of requests that the engine runs at once.
    pub slots: u32,
    /// Number of KV pages, each of [`EngineSettings::PAGE_TOKENS`] tokens.
    pub pages: u32,
    /// Prefill rate, in prompt tokens per second.
    pub prefill_rate: u64,
    /// Time between two tokens of a stream on an otherwise idle engine, in milliseconds.
    pub token_ms: u64,
    /// Transfer rate of exports, in tokens of KV cache per second.
    pub export_rate: u64,
    /// Time for which the KV cache of a prefill is kept, in milliseconds.
    pub keep_ms: u64,
    /// Age of the load that is reported, in milliseconds.
    pub load_lag_ms: u64,
}

impl EngineSettings {
    /// Tokens in one page of KV memory.
    pub const PAGE_TOKENS: u64 = 4_096;

    /// Number of bytes of text per token.
    pub const TOKEN_BYTES: usize = 4;

    /// Returns the default settings of a decode engine.
    pub fn decode() -> Self {
        Self {
            role: EngineRole::Decode,
            slots: 20,
            pages: 64,
            prefill_rate: 20_000,
            token_ms: 20,
            export_rate: 200_000,
            keep_ms: 800,
            load_lag_ms: 500,
        }
    }

    /// Returns the default settings of a prefill engine.
    pub fn prefill() -> Self {
        Self {
            role: EngineRole::Prefill,
            slots: 2,
            ..Self::decode()
        }
    }

    /// Returns the number of tokens in a text.
    pub fn tokens(text: &str) -> u32 {
        text.len().div_ceil(Self::TOKEN_BYTES).max(1) as u32
    }
}
