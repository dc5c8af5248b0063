//! HTTP exchanges with time-outs, and the classification of their failures.

use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use attohttpc::{ErrorKind, Method, ProxySettings, RequestBuilder, Response};
use jacinthlever_core::CallFault;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum time to check whether an address still accepts connections.
const CONNECT_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of header fields in a response.
const MAX_HEADERS: usize = 64;

/// Time-outs of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Maximum time to connect.
    pub connect: Duration,
    /// Maximum time without receiving a byte.
    pub read: Duration,
}

/// Why an exchange failed.
#[derive(Debug)]
pub enum HttpError {
    /// The connection was refused, so no byte of the request was sent.
    ConnectionRefused,
    /// No byte was received within the read time-out; the request may have been processed.
    TimedOut,
    /// The connection was lost; the request may have been processed.
    ConnectionLost(String),
    /// The server responded with an error status and this body.
    Status(u16, String),
    /// The request could not be created, or the response violates the protocol.
    Malformed(String),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConnectionRefused => f.write_str("connection refused"),
            Self::TimedOut => f.write_str("timed out waiting for the response"),
            Self::ConnectionLost(problem) => write!(f, "connection lost: {problem}"),
            Self::Status(status, body) => write!(f, "status {status}: {body}"),
            Self::Malformed(problem) => write!(f, "malformed request or response: {problem}"),
        }
    }
}

impl std::error::Error for HttpError {}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::ConnectionRefused,
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Self::TimedOut,
            _ => Self::ConnectionLost(error.to_string()),
        }
    }
}

impl From<attohttpc::Error> for HttpError {
    fn from(error: attohttpc::Error) -> Self {
        match error.into_kind() {
            ErrorKind::Io(error) => error.into(),
            ErrorKind::Json(error) if error.is_io() => Self::ConnectionLost(error.to_string()),
            ErrorKind::Json(error) => Self::Malformed(error.to_string()),
            other => Self::ConnectionLost(format!("{other:?}")),
        }
    }
}

impl HttpError {
    /// Classifies the failure for the backend server at `address`. After a lost connection, this
    /// tries to connect again to distinguish a crashed process from an interrupted connection.
    pub fn call_fault(&self, address: &str) -> CallFault {
        match self {
            Self::ConnectionRefused => CallFault::Refused,
            Self::TimedOut => CallFault::Stalled,
            Self::ConnectionLost(_) if accepts_connections(address) => CallFault::Broken,
            Self::ConnectionLost(_) => CallFault::Crashed,
            Self::Status(429, _) => CallFault::Full,
            Self::Status(410, _) => CallFault::KvLost,
            Self::Status(status, _) => CallFault::Status(*status),
            Self::Malformed(_) => CallFault::WrongResponse,
        }
    }
}

/// Whether an address currently accepts connections.
fn accepts_connections(address: &str) -> bool {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return false;
    };
    match TcpStream::connect_timeout(&address, CONNECT_CHECK_TIMEOUT) {
        Ok(_) => true,
        // An unreachable address may be a network fault, which does not make the request suspect.
        Err(error) => error.kind() != io::ErrorKind::ConnectionRefused,
    }
}

/// HTTP client for one address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    address: String,
    timeouts: Timeouts,
}

impl HttpClient {
    /// Creates a client for an address, `IP:PORT`.
    pub fn new(address: &str, timeouts: Timeouts) -> Self {
        Self {
            address: address.into(),
            timeouts,
        }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns a request builder with the time-outs set. Proxy settings of the environment are
    /// ignored.
    ///
    /// # Errors
    /// Returns [`HttpError::Malformed`] if the address and the path do not form a valid URL.
    pub fn request(&self, method: Method, path: &str) -> Result<RequestBuilder, HttpError> {
        let url = format!("http://{}{path}", self.address);
        let builder = RequestBuilder::try_new(method, url)
            .map_err(|error| HttpError::Malformed(error.to_string()))?;
        Ok(builder
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .max_headers(MAX_HEADERS)
            .connect_timeout(self.timeouts.connect)
            .read_timeout(self.timeouts.read))
    }

    /// Sends a GET request and parses the JSON response.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, HttpError> {
        let response = self.request(Method::GET, path)?.send()?;
        Ok(check_status(response)?.json()?)
    }

    /// Sends a GET request with a caller's key and parses the JSON response.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn get_with_key<T: DeserializeOwned>(&self, path: &str, key: &str) -> Result<T, HttpError> {
        let response = self.request(Method::GET, path)?.bearer_auth(key).send()?;
        Ok(check_status(response)?.json()?)
    }

    /// Sends a POST request with a JSON body and parses the JSON response.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, HttpError> {
        Ok(self.post_streaming(path, body)?.json()?)
    }

    /// Sends a POST request with a JSON body; returns when the head of the response has arrived.
    /// The caller reads the body.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn post_streaming(&self, path: &str, body: &impl Serialize) -> Result<Response, HttpError> {
        check_status(self.request(Method::POST, path)?.json(body)?.send()?)
    }
}

/// Turns a response with an error status into [`HttpError::Status`].
fn check_status(response: Response) -> Result<Response, HttpError> {
    if response.is_success() {
        return Ok(response);
    }
    let status = response.status().as_u16();
    Err(HttpError::Status(
        status,
        response.text().unwrap_or_default(),
    ))
}
