//! Client of the model engines.

use std::io::{BufRead, BufReader};

use attohttpc::{Response, ResponseReader};
use jacinthlever_types::{
    CancelRequest, DecodeLine, DecodeRequest, EngineLoad, PrefillReply, PrefillRequest,
    ResumeRequest,
};
use smol_str::SmolStr;

use crate::{HttpClient, HttpError, Timeouts};

/// Longest line of a decode stream, in bytes.
const MAX_LINE: usize = 64 * 1024;

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Makes a client of an engine.
    pub fn new(address: &str, timeouts: Timeouts) -> Self {
        Self {
            http: HttpClient::new(address, timeouts),
        }
    }

    /// Turns a prompt into KV cache.
    ///
    /// # Errors
    /// See [`HttpError`]; an answer to another attempt is malformed.
    pub fn prefill(&self, request: &PrefillRequest) -> Result<PrefillReply, HttpError> {
        let reply: PrefillReply = self.http.post("/v1/prefill", request)?;
        match reply.request == request.request {
            true => Ok(reply),
            false => Err(HttpError::Malformed("answer to another attempt".into())),
        }
    }

    /// Starts a decode.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn decode(&self, request: &DecodeRequest) -> Result<DecodeStream, HttpError> {
        let response = self.http.open("/v1/decode", request)?;
        Ok(DecodeStream::new(response, request.request.clone()))
    }

    /// Continues a decode whose stream broke.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn resume(&self, request: &ResumeRequest) -> Result<DecodeStream, HttpError> {
        let response = self.http.open("/v1/resume", request)?;
        Ok(DecodeStream::new(response, request.request.clone()))
    }

    /// Frees the memory of an attempt.
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

    /// Reads the load.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn load(&self) -> Result<EngineLoad, HttpError> {
        self.http.get("/v1/load")
    }
}

/// Lines of one decode, checked to belong to its attempt.
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

    /// Reads the next line.
    ///
    /// # Errors
    /// See [`HttpError`]; a line of another attempt is malformed, an early end is broken.
    pub fn next_line(&mut self) -> Result<DecodeLine, HttpError> {
        let mut line = String::new();
        let mut limited = std::io::Read::take(&mut self.reader, MAX_LINE as u64);
        limited.read_line(&mut line)?;
        if !line.ends_with('\n') {
            return Err(HttpError::Broken("the stream ended early".into()));
        }
        let line: DecodeLine =
            serde_json::from_str(&line).map_err(|e| HttpError::Malformed(e.to_string()))?;
        match line.request == self.attempt {
            true => Ok(line),
            false => Err(HttpError::Malformed("a line of another attempt".into())),
        }
    }
}
