//! Client of a plain service.

use std::io::Read;

use attohttpc::Method;
use attohttpc::header::CONTENT_TYPE;
use jacinthlever_core::PlainResponse;
use smol_str::SmolStr;

use crate::{HttpClient, HttpError, Timeouts};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;

/// Header that carries the identifier of the attempt to the service.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// A call to forward to a service, without the caller's key.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Idempotency key, which is forwarded to the service.
    pub idempotency_key: Option<SmolStr>,
    /// Body of the request.
    pub body: Vec<u8>,
}

/// Client of one worker of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    http: HttpClient,
}

impl ServiceClient {
    /// Creates a client for the worker at `address` (`IP:PORT`).
    pub fn new(address: &str, timeouts: Timeouts) -> Self {
        Self {
            http: HttpClient::new(address, timeouts),
        }
    }

    /// Forwards a call and returns the response, whatever its status.
    ///
    /// # Errors
    /// See [`HttpError`]; a response body over 4 MiB is [`HttpError::Malformed`].
    pub fn call(&self, call: &ServiceCall, attempt: &str) -> Result<PlainResponse, HttpError> {
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|error| HttpError::Malformed(error.to_string()))?;
        let mut request = self
            .http
            .request(method, &call.path)?
            .header(REQUEST_ID_HEADER, attempt);
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
            .take(MAX_RESPONSE_BYTES + 1)
            .read_to_end(&mut body)?;
        if body.len() as u64 > MAX_RESPONSE_BYTES {
            return Err(HttpError::Malformed(format!(
                "response body over {MAX_RESPONSE_BYTES} bytes"
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
