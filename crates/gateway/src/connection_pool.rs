//! Connections to backend servers and to the store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use jacinthlever_routing::ServerKey;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Body of what is sent on a connection.
pub type RequestBody = Full<Bytes>;

/// Longest time for a connection to be made; longer than a round trip between availability zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which unacknowledged bytes break a connection.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);

/// Idle time after which a connection is not used again, if the server names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Margin before the idle time-out of a server.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Idle connections that are kept to one server.
const MOST_IDLE: usize = 32;

struct Idle {
    sender: SendRequest<RequestBody>,
    usable_until: Duration,
}

/// A connection that carries one exchange.
pub struct Connection {
    /// Sends a request.
    pub sender: SendRequest<RequestBody>,
    /// Whether it has carried an exchange before.
    pub is_reused: bool,
}

/// Idle connections to backend servers.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<ServerKey, Vec<Idle>>>,
}

impl ConnectionPool {
    /// Returns an idle connection to a server, the one that was used last.
    pub fn reuse(&self, now: Duration, server: ServerKey) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        while let Some(connection) = connections.pop() {
            let usable = now < connection.usable_until && connection.sender.is_ready();
            if usable && !connection.sender.is_closed() {
                return Some(Connection {
                    sender: connection.sender,
                    is_reused: true,
                });
            }
            connections.retain(|c| now < c.usable_until && !c.sender.is_closed());
        }
        None
    }

    /// Keeps a connection whose exchange is over, unless there are `most` already; `idle_timeout`
    /// is what the server named.
    pub fn put_back(
        &self,
        now: Duration,
        server: ServerKey,
        most: usize,
        sender: SendRequest<RequestBody>,
        idle_timeout: Option<Duration>,
    ) {
        let lifetime = idle_timeout.map_or(DEFAULT_IDLE, |t| t.saturating_sub(IDLE_MARGIN));
        if lifetime.is_zero() || sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(server).or_default();
        if connections.len() < most.min(MOST_IDLE) {
            connections.push(Idle {
                sender,
                usable_until: now + lifetime,
            });
        }
    }

    /// Closes all idle connections to a server.
    pub fn close_all(&self, server: ServerKey) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes idle connections that will not be used again.
    pub fn evict_expired(&self, now: Duration) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|c| now < c.usable_until && !c.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Opens a connection to an address.
///
/// # Errors
/// Fails if there is no connection in time.
pub async fn connect(address: &str) -> io::Result<SendRequest<RequestBody>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("a connection ended: {error}");
        }
    });
    Ok(sender)
}
