//! Bytes that count against the memory budget until they are dropped.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use jacinthlever_routing::{HoldingId, HoldingUse, MemoryShortage};
use tokio::sync::Notify;

use crate::memory_budget::MemoryBudget;

/// Size of the segments of a body, in bytes. With one size for all, the space of a body that is freed
/// serves the next one.
const SEGMENT_BYTES: usize = 16 * 1024;

/// Size of the first segment if the length of the body is not known, in bytes.
const FIRST_SEGMENT_BYTES: usize = 4 * 1024;

/// The bytes of a lease, which the budget can free while the lease exists.
#[derive(Default)]
pub struct HeldBytes {
    segments: RefCell<Vec<Bytes>>,
    /// Segment that is being filled.
    last: RefCell<BytesMut>,
    is_shed: Cell<bool>,
    shed: Notify,
}

impl HeldBytes {
    /// Frees the bytes, and notifies whoever adds to them.
    pub fn shed(&self) {
        self.is_shed.set(true);
        self.segments.take();
        self.last.take();
        self.shed.notify_one();
    }

    /// Returns a segment; `None` after the last one.
    pub fn segment(&self, index: usize) -> Option<Bytes> {
        self.segments.borrow().get(index).cloned()
    }

    /// Returns the number of segments.
    pub fn segments(&self) -> usize {
        self.segments.borrow().len()
    }

    /// Whether the bytes were freed since the memory was short.
    pub fn is_shed(&self) -> bool {
        self.is_shed.get()
    }
}

impl From<Bytes> for HeldBytes {
    fn from(bytes: Bytes) -> Self {
        let segments = match bytes.is_empty() {
            true => Vec::new(),
            false => vec![bytes],
        };
        Self {
            segments: RefCell::new(segments),
            ..Self::default()
        }
    }
}

/// A part of the memory budget, given back on drop.
pub struct MemoryLease {
    budget: Rc<MemoryBudget>,
    id: HoldingId,
    /// The bytes that the lease covers.
    pub bytes: Rc<HeldBytes>,
}

impl MemoryLease {
    /// Wraps an open holding of the budget.
    pub fn new(budget: Rc<MemoryBudget>, id: HoldingId, bytes: Rc<HeldBytes>) -> Self {
        Self { budget, id, bytes }
    }

    /// Copies a chunk, so that it does not keep the buffer into which it was read. `left` is what the body
    /// is known to have from here on, if its length is known.
    ///
    /// # Errors
    /// Fails if the memory is short or the bytes were shed.
    pub fn append(&self, mut chunk: &[u8], mut left: Option<usize>) -> Result<(), MemoryShortage> {
        self.budget.record_progress(self.id, chunk.len());
        while !chunk.is_empty() {
            if self.bytes.is_shed() {
                return Err(MemoryShortage);
            }
            let room = self.room();
            if room == 0 {
                self.add_segment(left)?;
                continue;
            }
            let (now, later) = chunk.split_at(chunk.len().min(room));
            self.bytes.last.borrow_mut().extend_from_slice(now);
            chunk = later;
            left = left.map(|left| left.saturating_sub(now.len()));
        }
        Ok(())
    }

    /// Takes bytes that are not part of the body.
    ///
    /// # Errors
    /// Fails if the memory is short.
    pub fn reserve(&self, bytes: usize) -> Result<(), MemoryShortage> {
        self.budget.grow(self.id, bytes)
    }

    fn room(&self) -> usize {
        let last = self.bytes.last.borrow();
        last.capacity() - last.len()
    }

    fn add_segment(&self, left: Option<usize>) -> Result<(), MemoryShortage> {
        let is_first = self.bytes.segments() == 0 && self.bytes.last.borrow().is_empty();
        let size = match left {
            Some(left) => left.clamp(1, SEGMENT_BYTES),
            None if is_first => FIRST_SEGMENT_BYTES,
            None => SEGMENT_BYTES,
        };
        self.budget.grow(self.id, size)?;
        self.finish_segment();
        self.bytes.last.replace(BytesMut::with_capacity(size));
        Ok(())
    }

    /// Completes the last segment, to which nothing can be added then.
    pub fn finish_segment(&self) {
        let last = self.bytes.last.take();
        if !last.is_empty() {
            self.bytes.segments.borrow_mut().push(last.freeze());
        }
    }

    /// Waits until the bytes are shed.
    pub async fn wait_until_shed(&self) {
        self.bytes.shed.notified().await;
    }

    /// Records that bytes were sent.
    pub fn record_progress(&self, bytes: usize) {
        self.budget.record_progress(self.id, bytes);
    }

    /// Changes what the bytes are used for.
    pub fn set_use(&self, usage: HoldingUse) {
        self.budget.set_use(self.id, usage);
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.budget.release(self.id);
    }
}
