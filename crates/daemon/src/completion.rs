//! Requests and responses of the model API, as far as the router interprets them.

use std::time::{SystemTime, UNIX_EPOCH};

use jacinthlever_types::{Code, Fingerprint, FinishReason, ModelId, Verdict};
use serde_json::{Map, Value, json};

/// Size of a prompt block for prefix hashes: 256 tokens of about four bytes.
const BLOCK_BYTES: usize = 1_024;

/// Maximum number of blocks that are hashed.
const MAX_BLOCKS: usize = 32;

/// Maximum output limit that is accepted; a larger one is taken for a mistake.
const MAX_TOKENS: u64 = 1 << 24;

/// The two completion endpoints of the model API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// A request of the model API.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Endpoint, which determines the format of the request and of its response.
    pub endpoint: Endpoint,
    /// Requested model.
    pub model: ModelId,
    /// Prompt; the messages of a chat are joined.
    pub prompt: String,
    /// Maximum number of output tokens; `None` if the request sets none.
    pub max_tokens: Option<u32>,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Whether a streamed response ends with the token counts.
    pub include_usage: bool,
}

impl Completion {
    /// Parses a request body.
    ///
    /// # Errors
    /// Returns a verdict that names the invalid field; nothing was executed.
    pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Self, Verdict> {
        let malformed = |message: String| Verdict::not_run(Code::BodyMalformed, message);
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| malformed(format!("expected a JSON body: {error}")))?;
        let Value::Object(fields) = value else {
            return Err(malformed("expected a JSON object".into()));
        };
        let model = string_field(&fields, "model")?;
        let prompt = match endpoint {
            Endpoint::Chat => messages(&fields)?,
            Endpoint::Text => prompt(&fields)?,
        };
        check_single_choice(&fields)?;
        let options = fields
            .get("stream_options")
            .and_then(|o| o.get("include_usage"));
        Ok(Self {
            endpoint,
            model: ModelId::new(model),
            prompt,
            max_tokens: max_tokens(&fields)?,
            stream: bool_field(&fields, "stream")?,
            include_usage: options.and_then(Value::as_bool).unwrap_or(false),
        })
    }

    /// Returns the hashes of the prefixes of the prompt; each prefix is one block longer than
    /// the previous one.
    pub fn prefix_hashes(&self) -> Vec<u64> {
        let bytes = self.prompt.as_bytes();
        let blocks = (bytes.len() / BLOCK_BYTES).min(MAX_BLOCKS);
        let mut hash = 0u64;
        (0..blocks)
            .map(|block| {
                let block_bytes = &bytes[block * BLOCK_BYTES..(block + 1) * BLOCK_BYTES];
                hash = Fingerprint::of(&[&hash.to_le_bytes(), block_bytes]).0;
                hash
            })
            .collect()
    }
}

fn invalid(message: impl AsRef<str>) -> Verdict {
    Verdict::not_run(Code::FieldInvalid, message)
}

fn string_field<'a>(fields: &'a Map<String, Value>, name: &str) -> Result<&'a str, Verdict> {
    let found = fields
        .get(name)
        .and_then(Value::as_str)
        .filter(|text| !text.is_empty());
    found.ok_or_else(|| invalid(format!("{name}: expected a non-empty string")))
}

fn bool_field(fields: &Map<String, Value>, name: &str) -> Result<bool, Verdict> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(invalid(format!("{name}: expected true or false"))),
    }
}

fn check_single_choice(fields: &Map<String, Value>) -> Result<(), Verdict> {
    match fields.get("n") {
        None | Some(Value::Null) => Ok(()),
        Some(n) if n.as_u64() == Some(1) => Ok(()),
        Some(_) => Err(invalid("n: expected 1, the only number of choices served")),
    }
}

fn max_tokens(fields: &Map<String, Value>) -> Result<Option<u32>, Verdict> {
    let names = ["max_completion_tokens", "max_tokens"];
    let found = names
        .iter()
        .find_map(|name| Some((name, fields.get(*name)?)));
    let Some((name, value)) = found.filter(|(_, value)| !value.is_null()) else {
        return Ok(None);
    };
    let number = value
        .as_u64()
        .filter(|number| (1..=MAX_TOKENS).contains(number));
    let expected = || invalid(format!("{name}: expected a number from 1 to {MAX_TOKENS}"));
    number
        .map(|number| Some(number as u32))
        .ok_or_else(expected)
}

fn prompt(fields: &Map<String, Value>) -> Result<String, Verdict> {
    match fields.get("prompt") {
        Some(Value::String(text)) if !text.is_empty() => Ok(text.clone()),
        Some(Value::Array(parts)) if parts.len() == 1 && parts[0].is_string() => {
            Ok(parts[0].as_str().unwrap_or_default().to_owned())
        }
        _ => Err(invalid("prompt: expected one non-empty string")),
    }
}

fn messages(fields: &Map<String, Value>) -> Result<String, Verdict> {
    let expected = || invalid("messages: expected a list of objects with role and content");
    let messages = fields
        .get("messages")
        .and_then(Value::as_array)
        .ok_or_else(expected)?;
    if messages.is_empty() {
        return Err(expected());
    }
    let mut prompt = String::new();
    for message in messages {
        let role = message
            .get("role")
            .and_then(Value::as_str)
            .ok_or_else(expected)?;
        let content = message
            .get("content")
            .and_then(content_text)
            .ok_or_else(expected)?;
        prompt.push_str(&format!("{role}: {content}\n"));
    }
    Ok(prompt)
}

/// Returns the text of a message, which may be split into parts.
fn content_text(content: &Value) -> Option<String> {
    match content {
        Value::String(text) => Some(text.clone()),
        Value::Array(parts) => parts
            .iter()
            .map(|part| part.get("text")?.as_str().map(str::to_owned))
            .collect(),
        _ => None,
    }
}

/// Token counts of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub output_tokens: u32,
}

impl Usage {
    fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.output_tokens,
            "total_tokens": self.prompt_tokens + self.output_tokens,
        })
    }
}

/// Builds the JSON bodies of the response to one request.
#[derive(Clone, Debug)]
pub struct ResponseBuilder {
    endpoint: Endpoint,
    model: ModelId,
    id: String,
    created: u64,
}

impl ResponseBuilder {
    /// Creates a builder for the response to a request; every body carries the identifier.
    pub fn new(completion: &Completion, id: String) -> Self {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let model = completion.model.clone();
        Self {
            endpoint: completion.endpoint,
            model,
            id,
            created: now.as_secs(),
        }
    }

    /// Returns a complete response.
    pub fn complete(&self, text: &str, finish: FinishReason, usage: Usage) -> Value {
        let choice = match self.endpoint {
            Endpoint::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }),
            Endpoint::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
        };
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion",
            Endpoint::Text => "text_completion",
        };
        self.envelope(object, json!([choice]), Some(usage))
    }

    /// Returns a chunk of a stream with one token, or with the reason of its end.
    pub fn chunk(&self, token: &str, finish: Option<FinishReason>) -> Value {
        let choice = match (self.endpoint, finish) {
            (Endpoint::Chat, None) => {
                json!({"index": 0, "delta": {"content": token}, "finish_reason": null})
            }
            (Endpoint::Chat, Some(_)) => json!({"index": 0, "delta": {}, "finish_reason": finish}),
            (Endpoint::Text, _) => json!({"index": 0, "text": token, "finish_reason": finish}),
        };
        self.envelope(self.chunk_object(), json!([choice]), None)
    }

    /// Returns the chunk of a stream with the token counts.
    pub fn usage_chunk(&self, usage: Usage) -> Value {
        self.envelope(self.chunk_object(), json!([]), Some(usage))
    }

    fn chunk_object(&self) -> &'static str {
        match self.endpoint {
            Endpoint::Chat => "chat.completion.chunk",
            Endpoint::Text => "text_completion",
        }
    }

    fn envelope(&self, object: &str, choices: Value, usage: Option<Usage>) -> Value {
        let mut value = json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": choices,
        });
        if let Some(usage) = usage {
            value["usage"] = usage.to_json();
        }
        value
    }
}
