//! The requests of simulated callers.

use std::time::Duration;

use jacinthlever_core::{Inbound, Target};
use jacinthlever_types::{Fingerprint, KeyHash, ModelId};
use smol_str::SmolStr;

/// One request of a simulated caller, and how the backend servers respond to it.
#[derive(Clone, Debug)]
pub struct Script {
    /// Key that the caller presents; empty for none.
    pub key: SmolStr,
    /// The requested operation.
    pub target: Target,
    /// Number of tokens of the complete answer.
    pub length: u32,
    /// Number of tokens that the engine counts in the prompt.
    pub prompt_tokens: u32,
    /// Whether the request crashes every engine that decodes it (a query of death).
    pub crashes_engine: bool,
    /// Time after its arrival at which the caller disconnects; `None` if it stays.
    pub disconnects_after: Option<Duration>,
    /// Content of the request, part of its fingerprint.
    pub content: SmolStr,
}

impl Script {
    /// Bytes of prompt text per token, as configured for the model.
    pub const BYTES_PER_TOKEN: usize = 4;

    /// Creates a model request whose answer has `length` tokens, or `max_tokens` if that is fewer.
    pub fn model(key: &str, prompt_tokens: u32, length: u32, max_tokens: u32) -> Self {
        Self {
            key: SmolStr::new(key),
            target: Target::Model {
                model: ModelId::new("quill"),
                prompt_bytes: prompt_tokens as usize * Self::BYTES_PER_TOKEN,
                max_tokens: Some(max_tokens),
                prefix: Vec::new(),
            },
            length: length.min(max_tokens),
            prompt_tokens,
            crashes_engine: false,
            disconnects_after: None,
            content: SmolStr::default(),
        }
    }

    /// Creates a call of a plain service.
    pub fn plain(key: &str, path: &str, safe: bool, idempotency_key: Option<&str>) -> Self {
        Self {
            target: Target::Plain {
                path: SmolStr::new(path),
                safe,
                idempotency_key: idempotency_key.map(SmolStr::new),
            },
            ..Self::model(key, 0, 0, 0)
        }
    }

    /// Creates a request for the caller addresses of the key's customer.
    pub fn caller_addresses(key: &str) -> Self {
        Self {
            target: Target::Where,
            ..Self::model(key, 0, 0, 0)
        }
    }

    /// Sets the content.
    pub fn content(mut self, content: impl AsRef<str>) -> Self {
        self.content = SmolStr::new(content);
        self
    }

    /// Sets the prefix hashes of a model request.
    pub fn prefix(mut self, hashes: Vec<u64>) -> Self {
        if let Target::Model { prefix, .. } = &mut self.target {
            *prefix = hashes;
        }
        self
    }

    /// Returns the request in the form in which the core receives it.
    pub fn inbound(&self) -> Inbound {
        let target = format!("{:?}", self.target);
        Inbound {
            key: (!self.key.is_empty()).then(|| KeyHash::of(&self.key)),
            target: self.target.clone(),
            fingerprint: Fingerprint::of(&[
                self.key.as_bytes(),
                target.as_bytes(),
                self.content.as_bytes(),
            ]),
        }
    }
}
