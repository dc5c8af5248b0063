//! What a caller of the world asks for, and what its request then does.

use std::time::Duration;

use jacinthlever_core::{Inbound, Target};
use jacinthlever_types::{Fingerprint, KeyHash, ModelId};
use smol_str::SmolStr;

/// One request of a fake caller.
#[derive(Clone, Debug)]
pub struct Script {
    /// Key that is shown; empty for none.
    pub key: SmolStr,
    /// What is asked for.
    pub target: Target,
    /// Tokens of the whole answer, if nothing limits it.
    pub length: u32,
    /// Tokens that the engine counts in the prompt.
    pub prompt_tokens: u32,
    /// Whether the request crashes every backend server that runs it.
    pub poison: bool,
    /// When the caller goes away, after its arrival.
    pub leaves_after: Option<Duration>,
    /// Content that makes fingerprints differ.
    pub content: SmolStr,
}

impl Script {
    /// Bytes of prompt that one token stands for, as the declared model has it.
    pub const TOKEN_BYTES: usize = 4;

    /// Asks a model for an answer of a length.
    pub fn model(key: &str, prompt_tokens: u32, length: u32, max_tokens: u32) -> Self {
        Self {
            key: SmolStr::new(key),
            target: Target::Model {
                model: ModelId::new("quill"),
                prompt_bytes: prompt_tokens as usize * Self::TOKEN_BYTES,
                max_tokens: Some(max_tokens),
                prefix: Vec::new(),
            },
            length: length.min(max_tokens),
            prompt_tokens,
            poison: false,
            leaves_after: None,
            content: SmolStr::default(),
        }
    }

    /// Calls a plain service.
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

    /// Asks where to go.
    pub fn where_to(key: &str) -> Self {
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

    /// Returns the request as a shell would hand it to the core.
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
