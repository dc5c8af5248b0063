//! Watches a caller's connection for slow headers and idleness.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use jacinthlever_routing::CallerLimits;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Between two requests.
    Idle,
    /// A header section has begun.
    Head,
    /// A request is being read or answered.
    Busy,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimeoutKind {
    /// No request came for too long.
    Idle,
    /// A header section took too long.
    SlowHead,
}

/// Phase of a connection and when it began.
pub struct ActivityMonitor {
    phase: Cell<Phase>,
    since: Cell<Instant>,
}

impl ActivityMonitor {
    /// Starts to watch a new connection.
    pub fn start() -> Rc<Self> {
        Rc::new(Self {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
        })
    }

    /// Takes in that a request's header section is complete.
    pub fn request_started(&self) {
        self.enter(Phase::Busy);
    }

    /// Takes in that an answer has been handed over.
    pub fn request_finished(&self) {
        self.enter(Phase::Idle);
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    fn received(&self) {
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Head);
        }
    }

    /// Waits until the connection has been idle, or in a header section, for too long.
    pub async fn timed_out(&self, limits: CallerLimits) -> TimeoutKind {
        loop {
            let (expiry, limit) = match self.phase.get() {
                Phase::Idle => (TimeoutKind::Idle, limits.idle_timeout),
                Phase::Head => (TimeoutKind::SlowHead, limits.header_timeout),
                Phase::Busy => {
                    sleep(limits.header_timeout).await;
                    continue;
                }
            };
            let left = limit.saturating_sub(self.since.get().elapsed());
            if left.is_zero() {
                return expiry;
            }
            // A header section may begin while an idle connection is waited for.
            sleep(
                left.min(limits.header_timeout)
                    .max(Duration::from_millis(1)),
            )
            .await;
        }
    }
}

/// A caller's connection that tells its watch of incoming bytes.
pub struct MonitoredStream {
    stream: TcpStream,
    monitor: Rc<ActivityMonitor>,
}

impl MonitoredStream {
    /// Watches a connection.
    pub fn new(stream: TcpStream, monitor: Rc<ActivityMonitor>) -> Self {
        Self { stream, monitor }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.monitor.received();
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
        Pin::new(&mut self.stream).poll_flush(cx)
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
