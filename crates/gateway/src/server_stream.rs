//! A connection to a backend server, another instance or the store, with a bound on the head of an answer.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::read_turns::ReadTurns;

/// Maximum number of bytes received before the head of an answer is complete, including informational answers,
/// which hyper skips without a limit. Part of the body may be received by the time that the head is seen.
const MAX_BYTES_TO_HEAD: usize = 256 * 1024;

/// Bytes received since the present call was sent; `None` once the head of its answer is complete.
#[derive(Debug, Default)]
pub struct HeadProgress(Cell<Option<usize>>);

impl HeadProgress {
    /// Records that a call is sent.
    pub fn begin(&self) {
        self.0.set(Some(0));
    }

    /// Records that the head of its answer is complete.
    pub fn end(&self) {
        self.0.set(None);
    }

    fn is_exceeded(&self) -> bool {
        self.0.get().is_some_and(|bytes| bytes >= MAX_BYTES_TO_HEAD)
    }

    fn record(&self, bytes: usize) {
        self.0.set(self.0.get().map(|before| before + bytes));
    }
}

/// A connection whose reads are counted.
pub struct ServerStream {
    stream: TcpStream,
    progress: Rc<HeadProgress>,
    turns: ReadTurns,
}

impl ServerStream {
    /// Wraps a connection whose calls are recorded in `progress`.
    pub fn new(stream: TcpStream, progress: Rc<HeadProgress>) -> Self {
        Self {
            stream,
            progress,
            turns: ReadTurns::default(),
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.progress.is_exceeded() {
            let error = format!("no answer within {MAX_BYTES_TO_HEAD} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        ready!(self.turns.poll_turn(cx));
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        self.turns.record(&polled, bytes);
        self.progress.record(bytes);
        polled
    }
}

impl AsyncWrite for ServerStream {
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
