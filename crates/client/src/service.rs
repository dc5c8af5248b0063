//! Client of plain services.

use std::io::Read;

use attohttpc::Method;
use attohttpc::header::CONTENT_TYPE;
use jacinthlever_core::PlainResponse;
use smol_str::SmolStr;

use crate::{HttpClient, HttpError, Timeouts};

/// Largest answer that is passed on, in bytes.
const MAX_ANSWER: u64 = 4 * 1024 * 1024;

/// Header that carries the attempt to the service.
pub const REQUEST_HEADER: &str = "x-request-id";

/// A call as it is passed on; the caller's key is not part of it.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Idempotency key, which the service may want too.
    pub idempotency_key: Option<SmolStr>,
    /// Body.
    pub body: Vec<u8>,
}

/// Client of one worker of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    http: HttpClient,
}

impl ServiceClient {
    /// Makes a client of a worker.
    pub fn new(address: &str, timeouts: Timeouts) -> Self {
        Self {
            http: HttpClient::new(address, timeouts),
        }
    }

    /// Passes a call on and reads the answer, whatever its status.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn call(&self, call: &ServiceCall, attempt: &str) -> Result<PlainResponse, HttpError> {
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|error| HttpError::Malformed(error.to_string()))?;
        let mut request = self
            .http
            .request(method, &call.path)?
            .header(REQUEST_HEADER, attempt);
        if let Some(content_type) = &call.content_type {
            request = request.try_header(CONTENT_TYPE, content_type)?;
        }
        if let Some(key) = &call.idempotency_key {
            request = request.try_header("idempotency-key", key.as_str())?;
        }
        let response = request.bytes(&call.body).send()?;
        let status = response.status().as_u16();
        let content_type = response.headers().get(CONTENT_TYPE);
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .map(SmolStr::new);
        let mut body = Vec::new();
        response
            .split()
            .2
            .take(MAX_ANSWER + 1)
            .read_to_end(&mut body)?;
        if body.len() as u64 > MAX_ANSWER {
            return Err(HttpError::Malformed(format!(
                "answer over {MAX_ANSWER} bytes"
            )));
        }
        let content_type = content_type.unwrap_or(SmolStr::new_static("application/octet-stream"));
        Ok(PlainResponse {
            status,
            content_type,
            body,
        })
    }
}
