//! The model API's requests and answers, as far as the router must understand them.

use std::time::{SystemTime, UNIX_EPOCH};

use jacinthlever_types::{Code, Fingerprint, FinishReason, ModelId, Verdict};
use serde_json::{Map, Value, json};

/// Bytes of prompt in one block of a prefix hash; 256 tokens of about four bytes.
const BLOCK_BYTES: usize = 1_024;

/// Blocks hashed at most.
const MAX_BLOCKS: usize = 32;

/// Largest output limit that is taken for meant, in tokens.
const MAX_TOKENS: u64 = 1 << 24;

/// The two shapes of the model API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// A request of the model API.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Shape of the request and its answer.
    pub shape: Shape,
    /// Model asked for.
    pub model: ModelId,
    /// Prompt as one text.
    pub prompt: String,
    /// Output limit.
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a stream ends with the token counts.
    pub include_usage: bool,
}

impl Completion {
    /// Reads a request body.
    ///
    /// # Errors
    /// Names the field at fault; nothing has run.
    pub fn parse(shape: Shape, body: &[u8]) -> Result<Self, Verdict> {
        let malformed = |message: String| Verdict::not_run(Code::BodyMalformed, message);
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| malformed(format!("expected a JSON body: {error}")))?;
        let Value::Object(fields) = value else {
            return Err(malformed("expected a JSON object".into()));
        };
        let model = text_field(&fields, "model")?;
        let prompt = match shape {
            Shape::Chat => messages(&fields)?,
            Shape::Text => prompt(&fields)?,
        };
        one_choice(&fields)?;
        let options = fields
            .get("stream_options")
            .and_then(|o| o.get("include_usage"));
        Ok(Self {
            shape,
            model: ModelId::new(model),
            prompt,
            max_tokens: max_tokens(&fields)?,
            stream: flag(&fields, "stream")?,
            include_usage: options.and_then(Value::as_bool).unwrap_or(false),
        })
    }

    /// Returns the hashes of the prompt's growing prefixes.
    pub fn prefix(&self) -> Vec<u64> {
        let bytes = self.prompt.as_bytes();
        let blocks = (bytes.len() / BLOCK_BYTES).min(MAX_BLOCKS);
        let mut hash = 0u64;
        (0..blocks)
            .map(|block| {
                let part = &bytes[block * BLOCK_BYTES..(block + 1) * BLOCK_BYTES];
                hash = Fingerprint::of(&[&hash.to_le_bytes(), part]).0;
                hash
            })
            .collect()
    }
}

fn invalid(message: impl AsRef<str>) -> Verdict {
    Verdict::not_run(Code::FieldInvalid, message)
}

fn text_field<'a>(fields: &'a Map<String, Value>, name: &str) -> Result<&'a str, Verdict> {
    let found = fields
        .get(name)
        .and_then(Value::as_str)
        .filter(|text| !text.is_empty());
    found.ok_or_else(|| invalid(format!("{name}: expected a text that is not empty")))
}

fn flag(fields: &Map<String, Value>, name: &str) -> Result<bool, Verdict> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(invalid(format!("{name}: expected true or false"))),
    }
}

fn one_choice(fields: &Map<String, Value>) -> Result<(), Verdict> {
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
        _ => Err(invalid("prompt: expected one text that is not empty")),
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

/// Returns the text of a message, which may come in parts.
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

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer.
    pub output: u32,
}

impl Usage {
    fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.output,
            "total_tokens": self.prompt + self.output,
        })
    }
}

/// Writes the answers to one request.
#[derive(Clone, Debug)]
pub struct Answers {
    shape: Shape,
    model: ModelId,
    id: String,
    created: u64,
}

impl Answers {
    /// Makes the answers to a request, all under one identifier.
    pub fn new(completion: &Completion, id: String) -> Self {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let model = completion.model.clone();
        Self {
            shape: completion.shape,
            model,
            id,
            created: now.as_secs(),
        }
    }

    /// Returns a whole answer.
    pub fn whole(&self, text: &str, finish: FinishReason, usage: Usage) -> Value {
        let choice = match self.shape {
            Shape::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }),
            Shape::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
        };
        let object = match self.shape {
            Shape::Chat => "chat.completion",
            Shape::Text => "text_completion",
        };
        self.envelope(object, json!([choice]), Some(usage))
    }

    /// Returns a part of a stream with one token, or with the end of the answer.
    pub fn part(&self, token: &str, finish: Option<FinishReason>) -> Value {
        let choice = match (self.shape, finish) {
            (Shape::Chat, None) => {
                json!({"index": 0, "delta": {"content": token}, "finish_reason": null})
            }
            (Shape::Chat, Some(_)) => json!({"index": 0, "delta": {}, "finish_reason": finish}),
            (Shape::Text, _) => json!({"index": 0, "text": token, "finish_reason": finish}),
        };
        self.envelope(self.part_object(), json!([choice]), None)
    }

    /// Returns the part of a stream that carries the token counts.
    pub fn usage(&self, usage: Usage) -> Value {
        self.envelope(self.part_object(), json!([]), Some(usage))
    }

    fn part_object(&self) -> &'static str {
        match self.shape {
            Shape::Chat => "chat.completion.chunk",
            Shape::Text => "text_completion",
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
