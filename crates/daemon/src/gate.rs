//! Guards the HTTP library against slow and oversized requests, and sees callers leave.
//!
//! `tiny_http` reads heads without a deadline or a limit and tells of a caller's leaving only when
//! a write fails. The gate accepts connections, lets whole heads within the limits through to the
//! library over a local socket, and reports connections that close. `docs/design/wire.md` weighs
//! the ways.

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

/// Header that names the connection to the library's side.
pub const CONNECTION_HEADER: &str = "x-jacinthlever-connection";

/// Largest head of a request, in bytes.
const MAX_HEAD: usize = 32 * 1024;

/// Header fields of a request at most.
const MAX_HEADERS: usize = 64;

/// Bytes moved at once.
const CHUNK: usize = 16 * 1024;

/// Time for which a connection may carry nothing in either direction.
const IDLE: Duration = Duration::from_secs(120);

/// Bounds of one gate.
#[derive(Clone, Copy, Debug)]
pub struct GateLimits {
    /// Connections at once.
    pub connections: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Time in which a head must arrive.
    pub head_timeout: Duration,
    /// Time in which a body must arrive.
    pub body_timeout: Duration,
}

type OnGone = dyn Fn(u64) + Send + Sync;

struct Shared {
    limits: GateLimits,
    inner: LocalAddr,
    open: AtomicUsize,
    next: AtomicU64,
    on_gone: Box<OnGone>,
}

/// A running gate.
#[derive(Debug)]
pub struct Gate {
    /// Bound address.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl Gate {
    /// Binds an address; `on_gone` learns the number of each connection that closes.
    ///
    /// Returns the gate with the listener for the HTTP library.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn spawn(
        address: SocketAddr,
        limits: GateLimits,
        on_gone: impl Fn(u64) + Send + Sync + 'static,
    ) -> io::Result<(Self, UnixListener)> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let name = format!("jacinthlever-{}-{address}", std::process::id());
        let inner = LocalAddr::from_abstract_name(name)?;
        let inner_listener = UnixListener::bind_addr(&inner)?;
        let shared = Arc::new(Shared {
            limits,
            inner,
            open: AtomicUsize::new(0),
            next: AtomicU64::new(1),
            on_gone: Box::new(on_gone),
        });
        let (stop, stopped) = watch::channel(false);
        thread::Builder::new()
            .name(format!("gate-{}", address.port()))
            .spawn(move || {
                run(listener, shared, stopped);
            })?;
        Ok((Self { address, stop }, inner_listener))
    }

    /// Stops accepting; connections that are open run on until their ends close.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

fn run(listener: std::net::TcpListener, shared: Arc<Shared>, stopped: watch::Receiver<bool>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        log::error!("the gate's runtime could not be built");
        return;
    };
    runtime.block_on(async {
        if let Err(error) = accept(listener, shared, stopped).await {
            log::error!("the gate stopped: {error}");
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
        // An error of one accept, such as too many open files, passes.
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        tokio::spawn(serve(stream, shared.clone()));
    }
    drop(listener);
    while shared.open.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn serve(mut caller: TcpStream, shared: Arc<Shared>) {
    let open = shared.open.fetch_add(1, Ordering::Relaxed);
    if open >= shared.limits.connections {
        let verdict = Verdict::not_run(Code::Overloaded, "too many connections");
        refuse(&mut caller, &verdict.retry_after(Duration::from_secs(1))).await;
    } else {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        if let Err(Closed::Refused(verdict)) = relay(&mut caller, number, &shared).await {
            refuse(&mut caller, &verdict).await;
        }
        (shared.on_gone)(number);
    }
    shared.open.fetch_sub(1, Ordering::Relaxed);
}

/// Why a connection ends.
enum Closed {
    /// One end has closed it.
    Gone,
    /// The caller is told why.
    Refused(Verdict),
}

impl From<io::Error> for Closed {
    fn from(_: io::Error) -> Self {
        Self::Gone
    }
}

async fn relay(caller: &mut TcpStream, number: u64, shared: &Shared) -> Result<(), Closed> {
    caller.set_nodelay(true)?;
    let inner = StdUnixStream::connect_addr(&shared.inner)?;
    inner.set_nonblocking(true)?;
    let inner = UnixStream::from_std(inner)?;
    let (mut caller_in, mut caller_out) = caller.split();
    let (mut inner_in, mut inner_out) = inner.into_split();
    tokio::select! {
        closed = forward(&mut caller_in, &mut inner_out, number, &shared.limits) => closed,
        closed = back(&mut inner_in, &mut caller_out) => closed,
    }
}

/// Passes answers back to the caller.
async fn back(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
) -> Result<(), Closed> {
    let mut buf = vec![0; CHUNK];
    loop {
        let count = timeout(IDLE, from.read(&mut buf))
            .await
            .map_err(|_| Closed::Gone)??;
        if count == 0 {
            return Ok(());
        }
        to.write_all(&buf[..count]).await?;
    }
}

/// Passes requests on, each once its head is whole and within the limits.
async fn forward(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    number: u64,
    limits: &GateLimits,
) -> Result<(), Closed> {
    let mut buf = Vec::new();
    loop {
        let head = read_head(from, &mut buf, limits).await?;
        let line_end = buf
            .iter()
            .position(|byte| *byte == b'\n')
            .map_or(0, |at| at + 1);
        // The own field goes first, so that the same field of a caller is not looked at.
        to.write_all(&buf[..line_end]).await?;
        to.write_all(format!("{CONNECTION_HEADER}: {number}\r\n").as_bytes())
            .await?;
        to.write_all(&buf[line_end..head.length]).await?;
        buf.drain(..head.length);
        pass_body(from, to, &mut buf, head.body, limits).await?;
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
    limits: &GateLimits,
) -> Result<Head, Closed> {
    if buf.is_empty() {
        // Between requests, and while an answer is on its way, the caller may be silent.
        read_some(from, buf).await?;
    }
    let until = Instant::now() + limits.head_timeout;
    loop {
        if let Some(head) = parse_head(buf, limits).map_err(Closed::Refused)? {
            return Ok(head);
        }
        match timeout_at(until, read_some(from, buf)).await {
            Ok(read) => read?,
            Err(_) => {
                let message = "the head of the request did not arrive in time";
                return Err(Closed::Refused(Verdict::not_run(
                    Code::ReadTimeout,
                    message,
                )));
            }
        }
    }
}

async fn read_some(
    from: &mut (impl AsyncReadExt + Unpin),
    buf: &mut Vec<u8>,
) -> Result<(), Closed> {
    let mut chunk = [0; 4 * 1024];
    match from.read(&mut chunk).await? {
        0 => Err(Closed::Gone),
        count => {
            buf.extend_from_slice(&chunk[..count]);
            Ok(())
        }
    }
}

/// Looks for a whole head; `None` if more bytes are needed.
fn parse_head(buf: &[u8], limits: &GateLimits) -> Result<Option<Head>, Verdict> {
    let too_large = |message: &str| Verdict::not_run(Code::TooLarge, message);
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(buf) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD => return Ok(None),
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
    let wrong = |message: &str| Verdict::not_run(Code::BodyMalformed, message);
    let mut length = None;
    for field in request.headers.iter() {
        if field.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(wrong(
                "send the body with Content-Length, not Transfer-Encoding",
            ));
        }
        if field.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(field.value).ok().map(str::trim);
            let found: Option<usize> = text.and_then(|text| text.parse().ok());
            let found = found.ok_or_else(|| wrong("Content-Length: expected a number"))?;
            if length.is_some_and(|length| length != found) {
                return Err(wrong("Content-Length: found two that differ"));
            }
            length = Some(found);
        }
    }
    Ok(length.unwrap_or(0))
}

async fn pass_body(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    buf: &mut Vec<u8>,
    length: usize,
    limits: &GateLimits,
) -> Result<(), Closed> {
    let until = Instant::now() + limits.body_timeout;
    let mut left = length;
    loop {
        let count = left.min(buf.len());
        to.write_all(&buf[..count]).await?;
        buf.drain(..count);
        left -= count;
        if left == 0 {
            return Ok(());
        }
        match timeout_at(until, read_some(from, buf)).await {
            Ok(read) => read?,
            Err(_) => {
                let message = "the body of the request did not arrive in time";
                return Err(Closed::Refused(Verdict::not_run(
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
    // A caller that has left needs no answer.
    let _ = timeout(Duration::from_secs(1), caller.write_all(text.as_bytes())).await;
    let _ = timeout(Duration::from_millis(100), caller.shutdown()).await;
    drain(caller).await;
}

/// Reads what the caller still sends, as closing with unread bytes would reset the answer away.
async fn drain(caller: &mut TcpStream) {
    let mut chunk = [0; CHUNK];
    let until = Instant::now() + Duration::from_millis(500);
    while let Ok(Ok(count)) = timeout_at(until, caller.read(&mut chunk)).await {
        if count == 0 {
            return;
        }
    }
}
