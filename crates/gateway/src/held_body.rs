//! Whole bodies that are held in memory.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context as TaskContext, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jacinthlever_routing::HoldingUse;

use crate::context::Context;
use crate::memory_lease::{HeldBytes, MemoryLease};

/// Memory of a request besides its body: its headers, and the state of its task. 2,200 requests that waited
/// for their bodies took 9 KB each.
const REQUEST_BYTES: usize = 8 * 1024;

/// Further memory of a request that is processed: the state of its task, and the connection to a server with
/// its buffer. 2,200 requests that were processed at once took 40 KB each.
const PROCESSING_BYTES: usize = 24 * 1024;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// It is longer than allowed.
    TooLong,
    /// The connection failed, or the body is malformed.
    Broken,
    /// The memory is short.
    NoMemory,
}

/// A complete body. If it was received, it counts against the memory budget until all clones are dropped.
#[derive(Clone)]
pub struct HeldBody {
    bytes: Rc<HeldBytes>,
    lease: Option<Rc<MemoryLease>>,
    len: usize,
    /// Index of the next segment to be sent, and the bytes from there on.
    next: usize,
    left: usize,
}

impl HeldBody {
    /// Reads a body of up to `max` bytes; `usage` says what is read, and so whether it may be shed meanwhile.
    ///
    /// # Errors
    /// Fails if the body is too long, breaks off or is shed. One whose announced length is too long is not
    /// read at all.
    pub async fn read(
        cx: &Context,
        body: &mut Incoming,
        max: usize,
        usage: HoldingUse,
    ) -> Result<Self, ReadError> {
        cx.refresh_memory_budget();
        let announced = body.size_hint().exact().map(|length| length as usize);
        if announced.is_some_and(|length| length > max) {
            return Err(ReadError::TooLong);
        }
        let lease = cx.memory.open(usage, announced);
        if usage == HoldingUse::Receiving {
            let reserved = lease.reserve(REQUEST_BYTES);
            reserved.map_err(|_| ReadError::NoMemory)?;
        }
        let mut len = 0;
        loop {
            let frame = tokio::select! {
                biased;
                () = lease.wait_until_shed() => return Err(ReadError::NoMemory),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|_| ReadError::Broken)?;
            // Trailers are not forwarded.
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            let left = announced.map(|length| length.saturating_sub(len));
            len += chunk.len();
            if len > max {
                return Err(ReadError::TooLong);
            }
            let appended = lease.append(&chunk, left);
            appended.map_err(|_| ReadError::NoMemory)?;
        }
        lease.finish_segment();
        if usage == HoldingUse::Receiving {
            let reserved = lease.reserve(PROCESSING_BYTES);
            reserved.map_err(|_| ReadError::NoMemory)?;
        }
        lease.set_use(HoldingUse::Processing);
        Ok(Self {
            bytes: lease.bytes.clone(),
            lease: Some(Rc::new(lease)),
            len,
            next: 0,
            left: len,
        })
    }

    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns all segments in their order.
    pub fn segments(&self) -> impl Iterator<Item = Bytes> {
        (0..self.bytes.segments()).filter_map(|index| self.bytes.segment(index))
    }

    /// Returns the bytes as a whole; they are copied if there are several segments.
    pub fn to_bytes(&self) -> Bytes {
        match self.bytes.segments() {
            0 => Bytes::new(),
            1 => self.bytes.segment(0).unwrap_or_default(),
            _ => {
                let mut whole = BytesMut::with_capacity(self.len);
                self.segments().for_each(|s| whole.extend_from_slice(&s));
                whole.freeze()
            }
        }
    }

    /// Marks the body as one that waits for a caller to read it, so that it may be shed.
    pub fn into_answer(self) -> Self {
        if let Some(lease) = &self.lease {
            lease.set_use(HoldingUse::Sending);
        }
        self
    }

    /// Returns the memory that the body holds; `None` if it does not count against the budget.
    pub fn lease(&self) -> Option<Rc<MemoryLease>> {
        self.lease.clone()
    }

    /// Whether the body was shed, so that it cannot be sent to its end.
    pub fn is_shed(&self) -> bool {
        self.bytes.is_shed()
    }

    /// Takes the next segment to be sent; `None` after the last one, or if the body was shed.
    pub fn take_segment(&mut self) -> Option<Bytes> {
        let segment = self.bytes.segment(self.next)?;
        self.next += 1;
        self.left -= segment.len();
        if let Some(lease) = &self.lease {
            lease.record_progress(segment.len());
        }
        Some(segment)
    }
}

impl From<Bytes> for HeldBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            len: bytes.len(),
            next: 0,
            left: bytes.len(),
            bytes: Rc::new(bytes.into()),
            lease: None,
        }
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.take_segment().map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
