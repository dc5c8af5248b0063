//! Client of a model engine.

use std::io::{BufRead, BufReader};

use attohttpc::{Response, ResponseReader};
use jacinthlever_types::{
    CancelRequest, DecodeLine, DecodeRequest, EngineLoad, PrefillReply, PrefillRequest,
    ResumeRequest,
};
use smol_str::SmolStr;

use crate::{HttpClient, HttpError, Timeouts};

/// Maximum length of one line of a decode stream.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Client of one model engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Creates a client for the engine at `address` (`IP:PORT`).
    pub fn new(address: &str, timeouts: Timeouts) -> Self {
        Self {
            http: HttpClient::new(address, timeouts),
        }
    }

    /// Prefills a prompt and returns the handle of its KV cache.
    ///
    /// # Errors
    /// See [`HttpError`]; a response for another attempt is [`HttpError::Malformed`].
    pub fn prefill(&self, request: &PrefillRequest) -> Result<PrefillReply, HttpError> {
        let reply: PrefillReply = self.http.post("/v1/prefill", request)?;
        match reply.request == request.request {
            true => Ok(reply),
            false => Err(HttpError::Malformed(
                "the response belongs to another attempt".into(),
            )),
        }
    }

    /// Starts a decode and returns the stream of its tokens.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn decode(&self, request: &DecodeRequest) -> Result<DecodeStream, HttpError> {
        let response = self.http.post_streaming("/v1/decode", request)?;
        Ok(DecodeStream::new(response, request.request.clone()))
    }

    /// Resumes a decode whose stream was interrupted.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn resume(&self, request: &ResumeRequest) -> Result<DecodeStream, HttpError> {
        let response = self.http.post_streaming("/v1/resume", request)?;
        Ok(DecodeStream::new(response, request.request.clone()))
    }

    /// Cancels an attempt, which frees its engine memory.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn cancel(&self, attempt: &SmolStr) -> Result<(), HttpError> {
        let request = CancelRequest {
            request: attempt.clone(),
        };
        self.http
            .post::<serde_json::Value>("/v1/cancel", &request)
            .map(|_| ())
    }

    /// Returns the current load of the engine.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn load(&self) -> Result<EngineLoad, HttpError> {
        self.http.get("/v1/load")
    }
}

/// Stream of the lines of one decode; each line is checked to belong to the attempt.
#[derive(Debug)]
pub struct DecodeStream {
    reader: BufReader<ResponseReader>,
    attempt: SmolStr,
}

impl DecodeStream {
    fn new(response: Response, attempt: SmolStr) -> Self {
        let (_, _, reader) = response.split();
        Self {
            reader: BufReader::new(reader),
            attempt,
        }
    }

    /// Reads the next line; blocks for at most the read timeout without data.
    ///
    /// # Errors
    /// See [`HttpError`]; a line of another attempt is [`HttpError::Malformed`], a stream that ends
    /// within a line [`HttpError::ConnectionLost`].
    pub fn next_line(&mut self) -> Result<DecodeLine, HttpError> {
        let mut line = String::new();
        let mut limited = std::io::Read::take(&mut self.reader, MAX_LINE_BYTES as u64);
        limited.read_line(&mut line)?;
        if !line.ends_with('\n') {
            return Err(HttpError::ConnectionLost(
                "the decode stream ended before its last line".into(),
            ));
        }
        let line: DecodeLine =
            serde_json::from_str(&line).map_err(|e| HttpError::Malformed(e.to_string()))?;
        match line.request == self.attempt {
            true => Ok(line),
            false => Err(HttpError::Malformed(
                "a line of the decode stream belongs to another attempt".into(),
            )),
        }
    }
}
