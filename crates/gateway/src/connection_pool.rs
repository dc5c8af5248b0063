//! Connections to backend servers, to other instances and to the store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use jacinthlever_routing::{CallIdentity, ConnectionHistory};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::context::Context;
use crate::exchange::{NO_CONNECTION, SendError};
use crate::held_body::HeldBody;
use crate::server_stream::{HeadProgress, ServerStream};

/// Body of requests sent on a connection.
pub type RequestBody = HeldBody;

/// Time limit for connecting; longer than a round trip between availability zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a connection with unacknowledged bytes is closed (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a byte after which the other side of a monitored connection is probed, and interval of the probes.
/// `TCP_USER_TIMEOUT` also decides when they give up; see tcp(7).
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// Idle time after which a connection is not reused if the server announces no idle time-out.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time before the idle time-out of a server at which a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Maximum number of idle connections to one server.
const MAX_IDLE: usize = 32;

/// Maximum size of the buffer of a connection, in bytes. The head of an answer has to fit.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

struct IdleConnection {
    connection: Connection,
    usable_until: Duration,
}

impl IdleConnection {
    fn is_usable(&self, now: Duration) -> bool {
        now < self.usable_until && !self.connection.sender.is_closed()
    }
}

/// A connection that is checked out for one request.
pub struct Connection {
    /// Handle that sends a request on the connection.
    sender: SendRequest<RequestBody>,
    progress: Rc<HeadProgress>,
    /// Number of the connection in this process, for the log.
    pub number: u64,
    history: ConnectionHistory,
}

impl Connection {
    /// Opens a connection to an address.
    ///
    /// # Errors
    /// Fails if the connection cannot be established within [`CONNECT_TIMEOUT`].
    pub async fn open(cx: &Context, address: &str) -> Result<Self, SendError> {
        Self::open_with(cx, address, false).await
    }

    /// Opens a connection as [`Connection::open`] that breaks after [`TCP_USER_TIMEOUT`] if the other side does not
    /// answer keep-alive probes, also while nothing is to be sent.
    ///
    /// # Errors
    /// Fails as [`Connection::open`].
    pub async fn open_monitored(cx: &Context, address: &str) -> Result<Self, SendError> {
        Self::open_with(cx, address, true).await
    }

    async fn open_with(cx: &Context, address: &str, is_monitored: bool) -> Result<Self, SendError> {
        let opened = connect_with(address, is_monitored).await;
        let (sender, progress) = opened.map_err(|_| NO_CONNECTION)?;
        let number = cx.connections_opened.get() + 1;
        cx.connections_opened.set(number);
        Ok(Self {
            sender,
            progress,
            number,
            history: ConnectionHistory::default(),
        })
    }

    /// Returns the number of calls that were sent on the connection.
    pub fn calls(&self) -> usize {
        self.history.calls()
    }

    /// Whether the connection has carried a call before the present one.
    pub fn is_reused(&self) -> bool {
        self.calls() > 1
    }

    /// Sends a request, whose answer names `call`, and waits for the head of the answer.
    ///
    /// # Errors
    /// Returns an error that says whether the request may have been written to the connection.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
        call: CallIdentity<'_>,
    ) -> Result<Response<Incoming>, SendError> {
        self.history.record(call);
        self.progress.begin();
        let sent = self.sender.try_send_request(request).await;
        self.progress.end();
        // A message that is returned with the error has not been written to the connection.
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::Unsent("connection closed at once"),
            None => SendError::Lost("connection broke"),
        })?;
        match is_final(response.status()) {
            true => Ok(response),
            false => Err(INVALID_STATUS),
        }
    }
}

/// An answer whose status cannot be that of one; see [`is_final`].
pub const INVALID_STATUS: SendError = SendError::Lost("answer with an invalid status");

/// Whether a status can be that of an answer. Informational ones precede it, and beyond 599 there are none; see RFC
/// 9110, section 15. Nothing is known of a call whose answer has another status.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Idle connections to servers with keys of type `K`.
pub struct ConnectionPool<K> {
    idle: RefCell<BTreeMap<K, Vec<IdleConnection>>>,
}

impl<K> Default for ConnectionPool<K> {
    fn default() -> Self {
        Self {
            idle: RefCell::default(),
        }
    }
}

impl<K: Ord> ConnectionPool<K> {
    /// Takes the most recently used idle connection to a server on which the answer to `call` can be
    /// attributed; `None` if there is none.
    pub fn reuse(&self, now: Duration, server: &K, call: CallIdentity<'_>) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(server)?;
        connections.retain(|c| c.is_usable(now));
        let index = connections.iter().rposition(|c| {
            c.connection.sender.is_ready() && c.connection.history.may_carry(call)
        })?;
        Some(connections.remove(index).connection)
    }

    /// Returns a connection to the pool after its answer is complete; the oldest idle one is closed if the
    /// server already has `max_idle` of them. `idle_timeout` is the one that the server announced, if any.
    pub fn put_back(
        &self,
        now: Duration,
        server: K,
        max_idle: usize,
        connection: Connection,
        idle_timeout: Option<Duration>,
    ) {
        let lifetime = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |t| t.saturating_sub(IDLE_MARGIN));
        if lifetime.is_zero() || connection.sender.is_closed() || connection.history.is_full() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(server).or_default();
        let max_idle = max_idle.min(MAX_IDLE);
        if max_idle == 0 {
            return;
        }
        // The oldest one is closed: a server ends a reservation with the connection on which it was made.
        if connections.len() >= max_idle {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            usable_until: now + lifetime,
        });
    }

    /// Closes all idle connections to a server.
    pub fn close_all(&self, server: &K) {
        self.idle.borrow_mut().remove(server);
    }

    /// Closes idle connections that can no longer be reused.
    pub fn evict_expired(&self, now: Duration) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|c| c.is_usable(now));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Opens a connection to an address. The progress of each call on it has to be recorded.
///
/// # Errors
/// Fails if the connection cannot be established within [`CONNECT_TIMEOUT`].
pub async fn connect(address: &str) -> io::Result<(SendRequest<RequestBody>, Rc<HeadProgress>)> {
    connect_with(address, false).await
}

async fn connect_with(
    address: &str,
    is_monitored: bool,
) -> io::Result<(SendRequest<RequestBody>, Rc<HeadProgress>)> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    if is_monitored {
        let probes = TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
            .with_interval(KEEPALIVE_TIME);
        socket.set_tcp_keepalive(&probes)?;
    }
    let progress = Rc::new(HeadProgress::default());
    let io = TokioIo::new(ServerStream::new(stream, progress.clone()));
    let mut client = http1::Builder::new();
    let handshake = client.max_buf_size(MAX_BUFFER_BYTES).handshake(io);
    let (sender, connection) = handshake.await.map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to a backend server or the store ended with an error: {error}");
        }
    });
    Ok((sender, progress))
}
