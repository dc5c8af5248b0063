//! A blocking HTTP client like those that customers write.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use attohttpc::{Method, ResponseReader};
use jacinthlever_client::{HttpClient, HttpError, Timeouts};
use serde_json::{Value, json};

/// Time-outs of one request.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_secs(2),
    read: Duration::from_secs(40),
};

/// Why a request failed, as seen by its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// HTTP status; 0 if no response was received.
    pub status: u16,
    /// Error code of the router; empty if no response was received.
    pub code: String,
    /// Whether the request may have been executed. Without a response, this is false only if the
    /// connection was refused or the request could not be created.
    pub may_have_run: bool,
    /// The complete body of the response, or the description of the connection error.
    pub body: String,
}

/// A complete answer of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The generated text.
    pub text: String,
    /// Number of generated tokens.
    pub tokens: u64,
    /// Time from sending the request to the first token, or to the complete response if the answer
    /// was not streamed.
    pub time_to_first_token: Duration,
    /// Time from the first token to the last; zero if the answer was not streamed.
    pub streaming_time: Duration,
}

/// A response of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body of the response.
    pub body: String,
    /// Whether this is the recorded response of an earlier call with the same idempotency key.
    pub replayed: bool,
}

/// A caller that sends requests to one instance with one key.
#[derive(Clone, Debug)]
pub struct Caller {
    http: HttpClient,
    key: String,
}

impl Caller {
    /// Creates a caller. With an empty key, requests carry no key.
    pub fn new(address: &str, key: &str) -> Self {
        Self {
            http: HttpClient::new(address, TIMEOUTS),
            key: key.into(),
        }
    }

    /// Requests a completion without streaming.
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
            time_to_first_token: start.elapsed(),
            streaming_time: Duration::ZERO,
        })
    }

    /// Requests a streamed completion; returns when the response has begun.
    ///
    /// # Errors
    /// Returns the refusal.
    pub fn stream(&self, prompt: &str, max_tokens: u32) -> Result<Stream, Refusal> {
        let body = json!({
            "model": "quill", "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let start = Instant::now();
        let request = self.request("POST", "/v1/completions")?;
        let response = request
            .text(body.to_string())
            .send()
            .map_err(connection_error)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(parse_refusal(status, &response.text().unwrap_or_default()));
        }
        let reader = BufReader::new(response.split().2);
        let (text, last_token_at) = (String::new(), None);
        Ok(Stream {
            reader,
            start,
            text,
            tokens: 0,
            first_token_at: None,
            last_token_at,
        })
    }

    /// Calls a plain service; returns its response regardless of the status.
    ///
    /// # Errors
    /// Returns the refusal if the router refused the request or no response was received.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        idempotency_key: Option<&str>,
    ) -> Result<PlainAnswer, Refusal> {
        self.send(method, path, body, idempotency_key)
    }

    /// Requests the addresses of the instances that the caller should use; returns the JSON body of
    /// `/v1/where`.
    ///
    /// # Errors
    /// Returns the refusal.
    pub fn lookup_addresses(&self) -> Result<Value, Refusal> {
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
        let response = request.text(body).send().map_err(connection_error)?;
        let status = response.status().as_u16();
        let replayed = response.headers().contains_key("idempotency-replayed");
        let body = response.text().map_err(connection_error)?;
        let is_refusal = serde_json::from_str::<Value>(&body)
            .is_ok_and(|value| value["error"]["run"].is_string());
        match is_refusal {
            true => Err(parse_refusal(status, &body)),
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

fn connection_error(error: attohttpc::Error) -> Refusal {
    let error = HttpError::from(error);
    let may_have_run = !matches!(error, HttpError::ConnectionRefused);
    Refusal {
        status: 0,
        code: String::new(),
        may_have_run,
        body: error.to_string(),
    }
}

fn parse_refusal(status: u16, body: &str) -> Refusal {
    let value: Value = serde_json::from_str(body).unwrap_or_default();
    Refusal {
        status,
        code: value["error"]["code"].as_str().unwrap_or_default().into(),
        may_have_run: value["error"]["run"] != json!("not_run"),
        body: body.into(),
    }
}

/// How a stream ended before its answer was complete.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEnd {
    /// The router ended the request with an error event.
    Refused(Refusal),
    /// The connection ended without an error event or an end marker.
    Disconnected,
}

/// A streamed completion.
#[derive(Debug)]
pub struct Stream {
    reader: BufReader<ResponseReader>,
    start: Instant,
    text: String,
    tokens: u64,
    first_token_at: Option<Instant>,
    last_token_at: Option<Instant>,
}

impl Stream {
    /// Waits for the next token and returns it, or `None` at the end of the answer.
    ///
    /// # Errors
    /// Returns how the stream ended if the answer is not complete.
    pub fn next_token(&mut self) -> Result<Option<String>, StreamEnd> {
        loop {
            let mut line = String::new();
            if self
                .reader
                .read_line(&mut line)
                .map_err(|_| StreamEnd::Disconnected)?
                == 0
            {
                return Err(StreamEnd::Disconnected);
            }
            let Some(data) = line.trim_end().strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return Ok(None);
            }
            let value: Value = serde_json::from_str(data).unwrap_or_default();
            if value["error"].is_object() {
                return Err(StreamEnd::Refused(parse_refusal(200, data)));
            }
            let token = value["choices"][0]["text"].as_str().unwrap_or_default();
            if !token.is_empty() {
                self.record_token(token);
                return Ok(Some(token.into()));
            }
        }
    }

    /// Reads the remaining tokens and returns the complete answer.
    ///
    /// # Errors
    /// Returns how the stream ended if the answer is not complete.
    pub fn finish(mut self) -> Result<Answer, StreamEnd> {
        while self.next_token()?.is_some() {}
        let first = self.first_token_at.unwrap_or(self.start);
        Ok(Answer {
            text: self.text,
            tokens: self.tokens,
            time_to_first_token: first.duration_since(self.start),
            streaming_time: self.last_token_at.unwrap_or(first).duration_since(first),
        })
    }

    /// Returns the text received so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    fn record_token(&mut self, token: &str) {
        let now = Instant::now();
        self.first_token_at.get_or_insert(now);
        self.last_token_at = Some(now);
        self.tokens += 1;
        self.text.push_str(token);
    }
}
