//! A small HTTP server that can close its connections abruptly, as a crash would.
//!
//! The product uses HTTP libraries; a stand-in must be able to break a connection at any byte,
//! which those libraries do not allow.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Timeout of each read of a request.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of header fields in a request.
const MAX_HEADERS: usize = 64;

/// Maximum number of request bytes that are recorded, for tests to search.
const MAX_RECORDED_BYTES: usize = 32 * 1024 * 1024;

/// A request that was received completely.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// Header fields by name in lower case.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

impl ServerRequest {
    /// Returns the value of a query parameter.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// The server side of one connection, on which a request is answered.
#[derive(Debug)]
pub struct Exchange {
    stream: TcpStream,
}

impl Exchange {
    /// Sends a complete response.
    ///
    /// # Errors
    /// Fails if the connection is closed.
    pub fn respond(&mut self, status: u16, content_type: &str, body: &[u8]) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n",
            body.len()
        );
        self.stream.write_all(&[head.as_bytes(), body].concat())
    }

    /// Sends a JSON value as a complete response.
    ///
    /// # Errors
    /// Fails if the connection is closed.
    pub fn respond_json(&mut self, status: u16, value: &impl serde::Serialize) -> io::Result<()> {
        self.respond(status, "application/json", &serde_json::to_vec(value)?)
    }

    /// Begins a response whose body ends when the connection is closed.
    ///
    /// # Errors
    /// Fails if the connection is closed.
    pub fn begin_stream(&mut self, content_type: &str) -> io::Result<()> {
        let head =
            format!("HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nConnection: close\r\n\r\n");
        self.stream.write_all(head.as_bytes())
    }

    /// Sends a part of the body of a response begun with [`Exchange::begin_stream`].
    ///
    /// # Errors
    /// Fails if the connection is closed.
    pub fn send(&mut self, part: &[u8]) -> io::Result<()> {
        self.stream.write_all(part)
    }

    /// Closes the connection; the response, if there is one, is left incomplete.
    pub fn close(&mut self) {
        // An error means that the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Whether the client has closed the connection.
    pub fn is_disconnected(&self) -> bool {
        let mut byte = [0];
        let peeked = self
            .stream
            .set_nonblocking(true)
            .and_then(|()| self.stream.peek(&mut byte));
        let restored = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0 || restored.is_err(),
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

type Handler = dyn Fn(ServerRequest, &mut Exchange) + Send + Sync;

struct Shared {
    address: SocketAddr,
    is_open: AtomicBool,
    next_connection: AtomicU64,
    connections: Mutex<BTreeMap<u64, TcpStream>>,
    received: Mutex<Vec<u8>>,
    handler: Box<Handler>,
}

/// A running HTTP server.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

impl Server {
    /// Binds an address and passes its requests to a handler, with one thread per connection.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn spawn(
        address: &str,
        handler: impl Fn(ServerRequest, &mut Exchange) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let shared = Arc::new(Shared {
            address: listener.local_addr()?,
            is_open: AtomicBool::new(true),
            next_connection: AtomicU64::new(0),
            connections: Mutex::default(),
            received: Mutex::default(),
            handler: Box::new(handler),
        });
        let server = Self { shared };
        server.spawn_accept_loop(listener);
        Ok(server)
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns every byte of the requests received so far.
    pub fn received(&self) -> Vec<u8> {
        lock(&self.shared.received).clone()
    }

    /// Refuses new connections and closes those that are open, as if the process had been killed.
    pub fn crash(&self) {
        if !self.shared.is_open.swap(false, Ordering::SeqCst) {
            return;
        }
        // Wakes the accepting thread, which then closes the listener.
        let _ = TcpStream::connect_timeout(&self.shared.address, Duration::from_secs(1));
        for (_, stream) in std::mem::take(&mut *lock(&self.shared.connections)) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Binds and serves the address again after a crash.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn restart(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.shared.address)?;
        self.shared.is_open.store(true, Ordering::SeqCst);
        self.spawn_accept_loop(listener);
        Ok(())
    }

    /// Whether the server accepts connections.
    pub fn is_open(&self) -> bool {
        self.shared.is_open.load(Ordering::SeqCst)
    }

    fn spawn_accept_loop(&self, listener: TcpListener) {
        let shared = self.shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if !shared.is_open.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
    }
}

impl Shared {
    fn serve(&self, mut stream: TcpStream) {
        let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
        if let Ok(copy) = stream.try_clone() {
            lock(&self.connections).insert(number, copy);
        }
        let configured = stream
            .set_nodelay(true)
            .and_then(|()| stream.set_read_timeout(Some(READ_TIMEOUT)));
        if configured.is_ok()
            && let Ok(Some(request)) = read_request(&mut stream, &self.received)
        {
            let mut exchange = Exchange { stream };
            (self.handler)(request, &mut exchange);
            let _ = exchange.stream.shutdown(Shutdown::Write);
        }
        lock(&self.connections).remove(&number);
    }
}

fn read_request(
    stream: &mut TcpStream,
    received: &Mutex<Vec<u8>>,
) -> io::Result<Option<ServerRequest>> {
    let mut buf = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buf.extend_from_slice(&chunk[..count]);
        if let Some(request) = parse(&buf).map_err(io::Error::other)? {
            let mut recorded = lock(received);
            if recorded.len() + buf.len() < MAX_RECORDED_BYTES {
                recorded.extend_from_slice(&buf);
            }
            return Ok(Some(request));
        }
    }
}

/// Parses a request; `None` if it is not complete yet.
fn parse(buf: &[u8]) -> Result<Option<ServerRequest>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = head.parse(buf)? else {
        return Ok(None);
    };
    let headers: BTreeMap<String, String> = head
        .headers
        .iter()
        .map(|field| {
            (
                field.name.to_lowercase(),
                String::from_utf8_lossy(field.value).into_owned(),
            )
        })
        .collect();
    let body_length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let body = &buf[length..];
    if body.len() < body_length {
        return Ok(None);
    }
    let target = head.path.unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok(Some(ServerRequest {
        method: head.method.unwrap_or_default().into(),
        path: path.into(),
        query: query.into(),
        headers,
        body: body[..body_length].to_vec(),
    }))
}

/// Locks a mutex, poisoned or not: the plain data of a stand-in stays usable after a panic of
/// another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
