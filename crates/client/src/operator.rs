//! Client of the operators' API of an instance.

use std::fmt;

use attohttpc::Method;
use serde::Deserialize;
use serde_json::Value;

use crate::{HttpClient, HttpError, Timeouts};

/// Why an operator's request failed.
#[derive(Debug)]
pub enum OperatorError {
    /// The exchange with the instance failed.
    Http(HttpError),
    /// The changes are invalid; each message names a row.
    Invalid(Vec<String>),
    /// Another edit has changed the rows; the value lists the conflicting rows.
    Conflict(Value),
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Http(error) => error.fmt(f),
            Self::Invalid(problems) => f.write_str(&problems.join("\n")),
            Self::Conflict(rows) => write!(f, "conflict: {rows}"),
        }
    }
}

impl std::error::Error for OperatorError {}

impl From<HttpError> for OperatorError {
    fn from(error: HttpError) -> Self {
        match &error {
            HttpError::Status(409, body) => match serde_json::from_str(body) {
                Ok(rows) => Self::Conflict(rows),
                Err(_) => Self::Http(error),
            },
            HttpError::Status(422, body) => match serde_json::from_str::<InvalidBody>(body) {
                Ok(body) => Self::Invalid(body.problems),
                Err(_) => Self::Http(error),
            },
            _ => Self::Http(error),
        }
    }
}

#[derive(Deserialize)]
struct InvalidBody {
    problems: Vec<String>,
}

/// Client of the operators' API of one instance.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    http: HttpClient,
    credential: String,
}

impl OperatorClient {
    /// Creates a client that authenticates with the operators' credential.
    pub fn new(address: &str, credential: &str, timeouts: Timeouts) -> Self {
        Self {
            http: HttpClient::new(address, timeouts),
            credential: credential.into(),
        }
    }

    /// Sends a GET request and parses the JSON response.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub fn get(&self, path: &str) -> Result<Value, OperatorError> {
        self.send(Method::GET, path, &Value::Null)
    }

    /// Sends a POST request with a JSON body and parses the JSON response.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub fn post(&self, path: &str, body: &Value) -> Result<Value, OperatorError> {
        self.send(Method::POST, path, body)
    }

    fn send(&self, method: Method, path: &str, body: &Value) -> Result<Value, OperatorError> {
        let request = self
            .http
            .request(method, path)?
            .bearer_auth(&self.credential);
        let response = request
            .json(body)
            .map_err(HttpError::from)?
            .send()
            .map_err(HttpError::from)?;
        let status = response.status().as_u16();
        let text = response.text().map_err(HttpError::from)?;
        if !(200..300).contains(&status) {
            return Err(HttpError::Status(status, text).into());
        }
        let value = serde_json::from_str(&text);
        value.map_err(|error| HttpError::Malformed(error.to_string()).into())
    }
}
