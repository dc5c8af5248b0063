//! The connection guard protects the HTTP library against slow and oversized requests, and detects
//! disconnected callers.
//!
//! `tiny_http` reads heads without a deadline or a limit, and notices that a caller has
//! disconnected only when a write fails. The guard accepts connections, forwards complete heads
//! within the limits to the library over a local socket, and reports connections that close.
//! `docs/design/wire.md` compares the alternatives.

use std::io;
use std::net::SocketAddr;
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::{SocketAddr as LocalAddr, UnixListener, UnixStream as StdUnixStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use jacinthlever_types::{Code, Verdict};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UnixStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout, timeout_at};

/// Header that carries the connection number to the threads behind the HTTP library.
pub const CONNECTION_HEADER: &str = "x-jacinthlever-connection";

/// Maximum size of the head of a request.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Maximum number of header fields in a request.
const MAX_HEADERS: usize = 64;

/// Size of the copy buffer.
const CHUNK_BYTES: usize = 16 * 1024;

/// Time without a byte from the HTTP library after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Limits of one connection guard.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum time to receive a head, from its first byte.
    pub head_timeout: Duration,
    /// Maximum time to receive a body, from the end of its head.
    pub body_timeout: Duration,
}

type OnClose = dyn Fn(u64) + Send + Sync;

struct Shared {
    limits: ConnectionLimits,
    /// Local address on which the HTTP library listens.
    library_address: LocalAddr,
    /// Number of open connections.
    open: AtomicUsize,
    /// Number of the next connection.
    next: AtomicU64,
    on_close: Box<OnClose>,
}

/// A running connection guard.
#[derive(Debug)]
pub struct ConnectionGuard {
    /// Address that the guard has bound.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl ConnectionGuard {
    /// Binds an address and calls `on_close` with the number of each connection that closes.
    ///
    /// Returns the guard and the local listener for the HTTP library.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn spawn(
        address: SocketAddr,
        limits: ConnectionLimits,
        on_close: impl Fn(u64) + Send + Sync + 'static,
    ) -> io::Result<(Self, UnixListener)> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let name = format!("jacinthlever-{}-{address}", std::process::id());
        let library_address = LocalAddr::from_abstract_name(name)?;
        let library_listener = UnixListener::bind_addr(&library_address)?;
        let shared = Arc::new(Shared {
            limits,
            library_address,
            open: AtomicUsize::new(0),
            next: AtomicU64::new(1),
            on_close: Box::new(on_close),
        });
        let (stop, stopped) = watch::channel(false);
        thread::Builder::new()
            .name(format!("gate-{}", address.port()))
            .spawn(move || {
                run(listener, shared, stopped);
            })?;
        Ok((Self { address, stop }, library_listener))
    }

    /// Stops accepting connections; open connections continue until one side closes them.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

fn run(listener: std::net::TcpListener, shared: Arc<Shared>, stopped: watch::Receiver<bool>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        log::error!(
            "connection guard: could not build the tokio runtime; no connections are accepted"
        );
        return;
    };
    runtime.block_on(async {
        if let Err(error) = accept(listener, shared, stopped).await {
            log::error!("connection guard stopped, no more connections are accepted: {error}");
        }
    });
}

async fn accept(
    listener: std::net::TcpListener,
    shared: Arc<Shared>,
    mut stopped: watch::Receiver<bool>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        // Errors of a single accept, such as too many open files, are temporary.
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        tokio::spawn(serve_connection(stream, shared.clone()));
    }
    drop(listener);
    while shared.open.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Serves one connection from its acceptance to its end.
async fn serve_connection(mut caller: TcpStream, shared: Arc<Shared>) {
    let open = shared.open.fetch_add(1, Ordering::Relaxed);
    if open >= shared.limits.connections {
        let verdict = Verdict::not_run(Code::Overloaded, "too many connections");
        refuse(&mut caller, &verdict.retry_after(Duration::from_secs(1))).await;
    } else {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        if let Err(CloseReason::Refused(verdict)) = relay(&mut caller, number, &shared).await {
            refuse(&mut caller, &verdict).await;
        }
        (shared.on_close)(number);
    }
    shared.open.fetch_sub(1, Ordering::Relaxed);
}

/// Why a connection ends.
enum CloseReason {
    /// One side has closed it, or it failed or was idle for too long.
    Disconnected,
    /// The request is refused with this verdict.
    Refused(Verdict),
}

impl From<io::Error> for CloseReason {
    fn from(_: io::Error) -> Self {
        Self::Disconnected
    }
}

/// Forwards requests and responses until one side closes the connection or a request is refused.
async fn relay(caller: &mut TcpStream, number: u64, shared: &Shared) -> Result<(), CloseReason> {
    caller.set_nodelay(true)?;
    let library = StdUnixStream::connect_addr(&shared.library_address)?;
    library.set_nonblocking(true)?;
    let library = UnixStream::from_std(library)?;
    let (mut caller_rx, mut caller_tx) = caller.split();
    let (mut library_rx, mut library_tx) = library.into_split();
    tokio::select! {
        closed = forward_requests(&mut caller_rx, &mut library_tx, number, &shared.limits) => closed,
        closed = forward_responses(&mut library_rx, &mut caller_tx) => closed,
    }
}

/// Forwards responses to the caller.
async fn forward_responses(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
) -> Result<(), CloseReason> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let count = timeout(IDLE_TIMEOUT, from.read(&mut buf))
            .await
            .map_err(|_| CloseReason::Disconnected)??;
        if count == 0 {
            return Ok(());
        }
        to.write_all(&buf[..count]).await?;
    }
}

/// Forwards requests to the HTTP library, each once its head is complete and within the limits.
async fn forward_requests(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    number: u64,
    limits: &ConnectionLimits,
) -> Result<(), CloseReason> {
    let mut buf = Vec::new();
    loop {
        let head = read_head(from, &mut buf, limits).await?;
        let line_end = buf
            .iter()
            .position(|byte| *byte == b'\n')
            .map_or(0, |at| at + 1);
        // The first field of that name is used, so a field that the caller has sent is ignored.
        to.write_all(&buf[..line_end]).await?;
        to.write_all(format!("{CONNECTION_HEADER}: {number}\r\n").as_bytes())
            .await?;
        to.write_all(&buf[line_end..head.length]).await?;
        buf.drain(..head.length);
        forward_body(from, to, &mut buf, head.body, limits).await?;
    }
}

/// Lengths of a head and of the body that follows it, in bytes.
struct Head {
    length: usize,
    body: usize,
}

async fn read_head(
    from: &mut (impl AsyncReadExt + Unpin),
    buf: &mut Vec<u8>,
    limits: &ConnectionLimits,
) -> Result<Head, CloseReason> {
    if buf.is_empty() {
        // Between requests and during a response the caller may send nothing for any time.
        read_some(from, buf).await?;
    }
    let deadline = Instant::now() + limits.head_timeout;
    loop {
        if let Some(head) = parse_head(buf, limits).map_err(CloseReason::Refused)? {
            return Ok(head);
        }
        match timeout_at(deadline, read_some(from, buf)).await {
            Ok(read) => read?,
            Err(_) => {
                let message = "the head of the request did not arrive in time";
                return Err(CloseReason::Refused(Verdict::not_run(
                    Code::ReadTimeout,
                    message,
                )));
            }
        }
    }
}

/// Appends the next bytes to the buffer.
async fn read_some(
    from: &mut (impl AsyncReadExt + Unpin),
    buf: &mut Vec<u8>,
) -> Result<(), CloseReason> {
    let mut chunk = [0; 4 * 1024];
    match from.read(&mut chunk).await? {
        0 => Err(CloseReason::Disconnected),
        count => {
            buf.extend_from_slice(&chunk[..count]);
            Ok(())
        }
    }
}

/// Parses the head of a request; returns `None` if more bytes are needed.
fn parse_head(buf: &[u8], limits: &ConnectionLimits) -> Result<Option<Head>, Verdict> {
    let too_large = |message: &str| Verdict::not_run(Code::TooLarge, message);
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(buf) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => {
            return Err(too_large("the head of the request is over 32768 bytes"));
        }
        Err(httparse::Error::TooManyHeaders) => {
            return Err(too_large("the request has over 64 header fields"));
        }
        Err(error) => {
            let message = format!("the head of the request is not HTTP/1.1: {error}");
            return Err(Verdict::not_run(Code::BodyMalformed, message));
        }
    };
    let body = body_length(&request)?;
    if body > limits.body {
        let message = format!("the body is over {} bytes", limits.body);
        return Err(too_large(&message));
    }
    Ok(Some(Head { length, body }))
}

fn body_length(request: &httparse::Request<'_, '_>) -> Result<usize, Verdict> {
    let malformed = |message: &str| Verdict::not_run(Code::BodyMalformed, message);
    let mut length = None;
    for field in request.headers.iter() {
        if field.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(malformed(
                "send the body with Content-Length, not Transfer-Encoding",
            ));
        }
        if field.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(field.value).ok().map(str::trim);
            let found: Option<usize> = text.and_then(|text| text.parse().ok());
            let found = found.ok_or_else(|| malformed("Content-Length: expected a number"))?;
            if length.is_some_and(|length| length != found) {
                return Err(malformed("Content-Length: found two that differ"));
            }
            length = Some(found);
        }
    }
    Ok(length.unwrap_or(0))
}

async fn forward_body(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    buf: &mut Vec<u8>,
    length: usize,
    limits: &ConnectionLimits,
) -> Result<(), CloseReason> {
    let deadline = Instant::now() + limits.body_timeout;
    let mut remaining = length;
    loop {
        let count = remaining.min(buf.len());
        to.write_all(&buf[..count]).await?;
        buf.drain(..count);
        remaining -= count;
        if remaining == 0 {
            return Ok(());
        }
        match timeout_at(deadline, read_some(from, buf)).await {
            Ok(read) => read?,
            Err(_) => {
                let message = "the body of the request did not arrive in time";
                return Err(CloseReason::Refused(Verdict::not_run(
                    Code::ReadTimeout,
                    message,
                )));
            }
        }
    }
}

async fn refuse(caller: &mut TcpStream, verdict: &Verdict) {
    let body = verdict.to_json().to_string();
    let status = verdict.code.status();
    let text = format!(
        "HTTP/1.1 {status} Refused\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    // The verdict is dropped if the caller has disconnected.
    let _ = timeout(Duration::from_secs(1), caller.write_all(text.as_bytes())).await;
    let _ = timeout(Duration::from_millis(100), caller.shutdown()).await;
    discard_input(caller).await;
}

/// Reads and discards what the caller still sends: closing a socket with unread bytes resets the
/// connection, and the caller would lose the response.
async fn discard_input(caller: &mut TcpStream) {
    let mut chunk = [0; CHUNK_BYTES];
    let deadline = Instant::now() + Duration::from_millis(500);
    while let Ok(Ok(count)) = timeout_at(deadline, caller.read(&mut chunk)).await {
        if count == 0 {
            return;
        }
    }
}
