//! Detects slow header sections and idleness on callers' connections.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use jacinthlever_routing::CallerLimits;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

use crate::memory_lease::MemoryLease;

/// Maximum size of a read while memory is saved, in bytes. hyper doubles its buffer of 8 KiB after each
/// read that fills it.
const SMALL_READ_BYTES: usize = 4 * 1024;

/// State of a caller's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No request has begun since the last answer.
    Idle,
    /// A header section is being received.
    Head,
    /// A request is being received or processed, or its answer is being sent.
    Busy,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimeoutKind {
    /// No request arrived within the idle time-out.
    Idle,
    /// A header section was not complete within the header time-out.
    SlowHead,
    /// An answer was shed that the caller does not read.
    Shed,
}

/// Phase of a connection and the time at which it began.
pub struct ActivityMonitor {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Memory of the answer that is being sent, also of the end that waits in the connection's buffer.
    answer: RefCell<Option<Rc<MemoryLease>>>,
    /// Number of connections that have read a request whose answer has not been written.
    busy_connections: Rc<Cell<usize>>,
    /// Whether this connection is counted there.
    is_counted: Cell<bool>,
    /// Whether a request was answered before its body was complete.
    has_unread_body: Cell<bool>,
}

impl ActivityMonitor {
    /// Creates the monitor of a new, idle connection, which is counted in `busy_connections` from when it has
    /// read the head of a request until the answer is written.
    pub fn start(busy_connections: &Rc<Cell<usize>>) -> Rc<Self> {
        Rc::new(Self {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
            answer: RefCell::default(),
            busy_connections: busy_connections.clone(),
            is_counted: Cell::new(false),
            has_unread_body: Cell::new(false),
        })
    }

    /// Records that the header section of a request is complete.
    pub fn request_started(&self) {
        self.enter(Phase::Busy);
        self.begin_count();
    }

    /// Counts the connection as busy until its answer is written, or it has ended.
    pub fn begin_count(&self) {
        if !self.is_counted.replace(true) {
            let busy = &self.busy_connections;
            busy.set(busy.get() + 1);
        }
    }

    /// Records that a request is answered before its body is complete.
    pub fn leave_body_unread(&self) {
        self.has_unread_body.set(true);
    }

    /// Whether a request was answered before its body was complete.
    pub fn has_unread_body(&self) -> bool {
        self.has_unread_body.get()
    }

    /// Records that an answer has been sent.
    pub fn request_finished(&self) {
        self.enter(Phase::Idle);
    }

    /// Holds the memory of an answer until it has been sent.
    pub fn hold_answer(&self, lease: Option<Rc<MemoryLease>>) {
        self.answer.replace(lease);
    }

    fn all_sent(&self) {
        if self.phase.get() != Phase::Busy {
            self.answer.take();
            self.end_count();
        }
    }

    fn end_count(&self) {
        if self.is_counted.replace(false) {
            let busy = &self.busy_connections;
            busy.set(busy.get() - 1);
        }
    }

    fn is_answer_shed(&self) -> bool {
        let answer = self.answer.borrow();
        answer.as_ref().is_some_and(|lease| lease.bytes.is_shed())
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    fn bytes_received(&self) {
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Head);
        }
    }

    /// Waits until the connection exceeds its idle time-out or header time-out, or its answer is shed.
    pub async fn timed_out(&self, limits: CallerLimits) -> TimeoutKind {
        loop {
            if self.is_answer_shed() {
                return TimeoutKind::Shed;
            }
            let (kind, limit) = match self.phase.get() {
                Phase::Idle => (TimeoutKind::Idle, limits.idle_timeout),
                Phase::Head => (TimeoutKind::SlowHead, limits.header_timeout),
                Phase::Busy => {
                    sleep(limits.header_timeout).await;
                    continue;
                }
            };
            let left = limit.saturating_sub(self.since.get().elapsed());
            if left.is_zero() {
                return kind;
            }
            // Checks at least once per header time-out, since a header section may begin during
            // the idle time.
            sleep(
                left.min(limits.header_timeout)
                    .max(Duration::from_millis(1)),
            )
            .await;
        }
    }
}

impl Drop for ActivityMonitor {
    fn drop(&mut self) {
        self.end_count();
    }
}

/// A caller's connection that reports received bytes to its monitor.
pub struct MonitoredStream {
    stream: TcpStream,
    monitor: Rc<ActivityMonitor>,
    has_small_reads: bool,
}

impl MonitoredStream {
    /// Wraps a connection so that `monitor` is notified of received bytes.
    pub fn new(stream: TcpStream, monitor: Rc<ActivityMonitor>) -> Self {
        Self {
            stream,
            monitor,
            has_small_reads: false,
        }
    }

    /// Reads small pieces from now on, so that hyper does not grow its read buffer.
    pub fn limit_reads(&mut self) {
        self.has_small_reads = true;
    }

    /// Reads and discards what is received until the other side closes the connection.
    pub async fn discard(&mut self) {
        let mut buf = vec![0; SMALL_READ_BYTES];
        while self.stream.read(&mut buf).await.is_ok_and(|n| n > 0) {}
    }

    /// Reads a small piece. The buffer is written to only when one has arrived: pages of it that were never
    /// written to take no memory.
    fn poll_small_read(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            let mut piece = [0; SMALL_READ_BYTES];
            let size = buf.remaining().min(SMALL_READ_BYTES);
            match self.stream.try_read(&mut piece[..size]) {
                Ok(length) => {
                    buf.put_slice(&piece[..length]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = match self.has_small_reads {
            false => Pin::new(&mut self.stream).poll_read(cx, buf),
            true => self.poll_small_read(cx, buf),
        };
        if buf.filled().len() > before {
            self.monitor.bytes_received();
        }
        polled
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if polled.is_ready() {
            self.monitor.all_sent();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
