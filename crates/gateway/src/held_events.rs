//! Events of a stream of which the last one may be incomplete and held in memory.

use jacinthlever_routing::{EventSplitter, HoldingUse, StreamEvent, StreamFault};

use crate::context::Context;
use crate::exchange::{NO_ANSWER_MEMORY, SendError};
use crate::memory_lease::MemoryLease;

/// Size up to which an incomplete event does not count against the memory budget, in bytes.
const UNCOUNTED_BYTES: usize = 64 * 1024;

/// Splits a stream into events. An incomplete one counts against the memory budget if it is large.
pub struct HeldEvents {
    splitter: EventSplitter,
    /// Bytes of the budget that are held; `None` while the incomplete event is small.
    held: Option<(MemoryLease, usize)>,
}

impl HeldEvents {
    /// Creates it for the run whose events a splitter assembles.
    pub fn new(splitter: EventSplitter) -> Self {
        Self {
            splitter,
            held: None,
        }
    }

    /// Whether the run takes the place of another one within an answer.
    pub fn is_joined(&self) -> bool {
        self.splitter.is_joined()
    }

    /// Appends a chunk and returns the events that it completes.
    ///
    /// # Errors
    /// Fails if an event cannot be used, or if there is no memory for the incomplete one.
    pub fn push(&mut self, cx: &Context, chunk: &[u8]) -> Result<Vec<StreamEvent>, SendError> {
        let events = self.splitter.push(chunk);
        let events = events.map_err(|fault| SendError::Lost(fault.reason()))?;
        let bytes = self.splitter.held_bytes();
        if bytes <= UNCOUNTED_BYTES {
            self.held = None;
            return Ok(events);
        }
        let (lease, held) = self
            .held
            .get_or_insert_with(|| (cx.memory.open(HoldingUse::Processing, None), 0));
        if bytes > *held {
            let reserved = lease.reserve(bytes - *held);
            reserved.map_err(|_| NO_ANSWER_MEMORY)?;
            *held = bytes;
        }
        Ok(events)
    }

    /// Checks whether a run whose body has ended is complete; see [`EventSplitter::end`].
    ///
    /// # Errors
    /// Returns what shows that the run was broken off.
    pub fn end(&self, is_delimited: bool) -> Result<(), StreamFault> {
        self.splitter.end(is_delimited)
    }
}
