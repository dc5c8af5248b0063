//! One HTTP exchange with bounded waits, and what its failure says about the request.

use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use attohttpc::{ErrorKind, Method, ProxySettings, RequestBuilder, Response};
use jacinthlever_core::CallFault;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Time that a check takes at most whether an address still accepts connections.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Headers of an answer at most.
const MAX_HEADERS: usize = 64;

/// Bounds of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time to connect.
    pub connect: Duration,
    /// Time without any byte.
    pub read: Duration,
}

/// Why an exchange gave no answer.
#[derive(Debug)]
pub enum HttpError {
    /// The connection was refused, so no byte of the request was sent.
    Refused,
    /// No byte came for too long; the request may have been acted on.
    TimedOut,
    /// The connection broke; the request may have been acted on.
    Broken(String),
    /// The server answered with a status that is not a success, and this body.
    Status(u16, String),
    /// The body is not what the protocol says.
    Malformed(String),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("connection refused"),
            Self::TimedOut => f.write_str("no answer in time"),
            Self::Broken(problem) => write!(f, "connection broke: {problem}"),
            Self::Status(status, body) => write!(f, "status {status}: {body}"),
            Self::Malformed(problem) => write!(f, "malformed answer: {problem}"),
        }
    }
}

impl std::error::Error for HttpError {}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Self::TimedOut,
            _ => Self::Broken(error.to_string()),
        }
    }
}

impl From<attohttpc::Error> for HttpError {
    fn from(error: attohttpc::Error) -> Self {
        match error.into_kind() {
            ErrorKind::Io(error) => error.into(),
            ErrorKind::Json(error) if error.is_io() => Self::Broken(error.to_string()),
            ErrorKind::Json(error) => Self::Malformed(error.to_string()),
            other => Self::Broken(format!("{other:?}")),
        }
    }
}

impl HttpError {
    /// Returns what the failure says of the backend server at an address.
    pub fn fault(&self, address: &str) -> CallFault {
        match self {
            Self::Refused => CallFault::Refused,
            Self::TimedOut => CallFault::Stalled,
            Self::Broken(_) if accepts_connections(address) => CallFault::Broken,
            Self::Broken(_) => CallFault::Crashed,
            Self::Status(429, _) => CallFault::Full,
            Self::Status(410, _) => CallFault::KvLost,
            Self::Status(status, _) => CallFault::Status(*status),
            Self::Malformed(_) => CallFault::WrongResponse,
        }
    }
}

/// Whether an address accepts connections now.
fn accepts_connections(address: &str) -> bool {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return false;
    };
    match TcpStream::connect_timeout(&address, CHECK_TIMEOUT) {
        Ok(_) => true,
        // An unreachable address may be a network fault, which condemns no request.
        Err(error) => error.kind() != io::ErrorKind::ConnectionRefused,
    }
}

/// Sends requests to one address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    address: String,
    timeouts: Timeouts,
}

impl HttpClient {
    /// Makes a client of an address, `IP:PORT`.
    pub fn new(address: &str, timeouts: Timeouts) -> Self {
        Self {
            address: address.into(),
            timeouts,
        }
    }

    /// Returns the address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Starts a request that bypasses any proxy of the environment.
    ///
    /// # Errors
    /// Fails if address and path make no URL.
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

    /// Gets a JSON value.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, HttpError> {
        let response = self.request(Method::GET, path)?.send()?;
        Ok(success(response)?.json()?)
    }

    /// Gets a JSON value with a caller's key.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn get_with_key<T: DeserializeOwned>(&self, path: &str, key: &str) -> Result<T, HttpError> {
        let response = self.request(Method::GET, path)?.bearer_auth(key).send()?;
        Ok(success(response)?.json()?)
    }

    /// Posts a JSON value and reads one back.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, HttpError> {
        Ok(self.open(path, body)?.json()?)
    }

    /// Posts a JSON value; the answer's body is still to be read.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn open(&self, path: &str, body: &impl Serialize) -> Result<Response, HttpError> {
        success(self.request(Method::POST, path)?.json(body)?.send()?)
    }
}

fn success(response: Response) -> Result<Response, HttpError> {
    if response.is_success() {
        return Ok(response);
    }
    let status = response.status().as_u16();
    Err(HttpError::Status(
        status,
        response.text().unwrap_or_default(),
    ))
}
