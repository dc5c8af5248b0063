//! A caller, as customers would write one.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use attohttpc::{Method, ResponseReader};
use jacinthlever_client::{HttpClient, HttpError, Timeouts};
use serde_json::{Value, json};

/// Bounds of one exchange.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_secs(2),
    read: Duration::from_secs(40),
};

/// A refusal as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Stable code; empty if there was no answer.
    pub code: String,
    /// Whether the request may have run.
    pub may_have_run: bool,
    /// The whole body, for messages of tests.
    pub body: String,
}

/// A whole answer of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The text.
    pub text: String,
    /// Tokens of the answer.
    pub tokens: u64,
    /// Time to the first token; the whole time for an answer that was not streamed.
    pub first_token: Duration,
    /// Time from the first token to the last.
    pub streaming: Duration,
}

/// An answer of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
    /// Whether it repeats the recorded outcome of an earlier call.
    pub replayed: bool,
}

/// A caller of one instance with one key.
#[derive(Clone, Debug)]
pub struct Caller {
    http: HttpClient,
    key: String,
}

impl Caller {
    /// Makes a caller; an empty key shows none.
    pub fn new(address: &str, key: &str) -> Self {
        Self {
            http: HttpClient::new(address, TIMEOUTS),
            key: key.into(),
        }
    }

    /// Asks for a completion in one piece.
    ///
    /// # Errors
    /// Returns the refusal.
    pub fn complete(&self, prompt: &str, max_tokens: u32) -> Result<Answer, Refusal> {
        let start = Instant::now();
        let body = json!({"model": "quill", "prompt": prompt, "max_tokens": max_tokens});
        let text = self
            .send("POST", "/v1/completions", &body.to_string(), None)?
            .body;
        let value: Value = serde_json::from_str(&text).unwrap_or_default();
        Ok(Answer {
            text: value["choices"][0]["text"]
                .as_str()
                .unwrap_or_default()
                .into(),
            tokens: value["usage"]["completion_tokens"]
                .as_u64()
                .unwrap_or_default(),
            first_token: start.elapsed(),
            streaming: Duration::ZERO,
        })
    }

    /// Opens a streamed completion.
    ///
    /// # Errors
    /// Returns the refusal.
    pub fn stream(&self, prompt: &str, max_tokens: u32) -> Result<Stream, Refusal> {
        let body = json!({
            "model": "quill", "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let start = Instant::now();
        let request = self.request("POST", "/v1/completions")?;
        let response = request.text(body.to_string()).send().map_err(no_answer)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(refusal(status, &response.text().unwrap_or_default()));
        }
        let reader = BufReader::new(response.split().2);
        let (text, last) = (String::new(), None);
        Ok(Stream {
            reader,
            start,
            text,
            tokens: 0,
            first: None,
            last,
        })
    }

    /// Calls a plain service, whatever the status of its answer.
    ///
    /// # Errors
    /// Returns the refusal of the router.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        idempotency_key: Option<&str>,
    ) -> Result<PlainAnswer, Refusal> {
        self.send(method, path, body, idempotency_key)
    }

    /// Asks which instances to use.
    ///
    /// # Errors
    /// Returns the refusal.
    pub fn where_to(&self) -> Result<Value, Refusal> {
        let answer = self.send("GET", "/v1/where", "", None)?;
        Ok(serde_json::from_str(&answer.body).unwrap_or_default())
    }

    fn send(
        &self,
        method: &str,
        path: &str,
        body: &str,
        idempotency_key: Option<&str>,
    ) -> Result<PlainAnswer, Refusal> {
        let mut request = self.request(method, path)?;
        if let Some(key) = idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let response = request.text(body).send().map_err(no_answer)?;
        let status = response.status().as_u16();
        let replayed = response.headers().contains_key("idempotency-replayed");
        let body = response.text().map_err(no_answer)?;
        let is_refusal = serde_json::from_str::<Value>(&body)
            .is_ok_and(|value| value["error"]["run"].is_string());
        match is_refusal {
            true => Err(refusal(status, &body)),
            false => Ok(PlainAnswer {
                status,
                body,
                replayed,
            }),
        }
    }

    fn request(&self, method: &str, path: &str) -> Result<attohttpc::RequestBuilder, Refusal> {
        let method = Method::from_bytes(method.as_bytes()).unwrap_or(Method::GET);
        let request = self.http.request(method, path).map_err(|error| Refusal {
            status: 0,
            code: String::new(),
            may_have_run: false,
            body: error.to_string(),
        })?;
        Ok(match self.key.is_empty() {
            true => request,
            false => request.bearer_auth(&self.key),
        })
    }
}

fn no_answer(error: attohttpc::Error) -> Refusal {
    let error = HttpError::from(error);
    let may_have_run = !matches!(error, HttpError::Refused);
    Refusal {
        status: 0,
        code: String::new(),
        may_have_run,
        body: error.to_string(),
    }
}

fn refusal(status: u16, body: &str) -> Refusal {
    let value: Value = serde_json::from_str(body).unwrap_or_default();
    Refusal {
        status,
        code: value["error"]["code"].as_str().unwrap_or_default().into(),
        may_have_run: value["error"]["run"] != json!("not_run"),
        body: body.into(),
    }
}

/// How a stream ended before its answer was whole.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEnd {
    /// The router gave the request up.
    Refused(Refusal),
    /// The connection ended without either.
    Cut,
}

/// A streamed completion.
#[derive(Debug)]
pub struct Stream {
    reader: BufReader<ResponseReader>,
    start: Instant,
    text: String,
    tokens: u64,
    first: Option<Instant>,
    last: Option<Instant>,
}

impl Stream {
    /// Reads the next token; `None` at the end.
    ///
    /// # Errors
    /// Returns how the stream ended before its answer was whole.
    pub fn token(&mut self) -> Result<Option<String>, StreamEnd> {
        loop {
            let mut line = String::new();
            if self
                .reader
                .read_line(&mut line)
                .map_err(|_| StreamEnd::Cut)?
                == 0
            {
                return Err(StreamEnd::Cut);
            }
            let Some(data) = line.trim_end().strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return Ok(None);
            }
            let value: Value = serde_json::from_str(data).unwrap_or_default();
            if value["error"].is_object() {
                return Err(StreamEnd::Refused(refusal(200, data)));
            }
            let token = value["choices"][0]["text"].as_str().unwrap_or_default();
            if !token.is_empty() {
                self.note(token);
                return Ok(Some(token.into()));
            }
        }
    }

    /// Reads to the end.
    ///
    /// # Errors
    /// Returns how the stream ended before its answer was whole.
    pub fn finish(mut self) -> Result<Answer, StreamEnd> {
        while self.token()?.is_some() {}
        let first = self.first.unwrap_or(self.start);
        Ok(Answer {
            text: self.text,
            tokens: self.tokens,
            first_token: first.duration_since(self.start),
            streaming: self.last.unwrap_or(first).duration_since(first),
        })
    }

    /// Returns the text so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    fn note(&mut self, token: &str) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.tokens += 1;
        self.text.push_str(token);
    }
}
