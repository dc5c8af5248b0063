//! Splits a stream of server-sent events into complete events.

/// Maximum size of an event; a larger one is treated as a fault of the backend server.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Space beyond the incomplete event that is kept for the next chunk, in bytes.
const SPARE_BYTES: usize = 64 * 1024;

/// A complete event, including the blank line at its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The event, exactly as received.
    pub bytes: Vec<u8>,
    /// Value of the `id` field, or `None` if the event has none or it is not a number.
    pub id: Option<u64>,
}

/// Assembles events from the chunks of a body; see the WHATWG HTML standard, section 9.2.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
}

impl EventSplitter {
    /// Appends a chunk and returns the events that it completes, or `None` if one of them has a line
    /// that is no field, or the incomplete one exceeds the maximum size.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Vec<StreamEvent>> {
        // The line ends that complete an event may be split over two chunks.
        let mut scanned = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(chunk);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = end_of_event(&self.partial, scanned) {
            let bytes = self.partial[start..end].to_vec();
            if !is_event(&bytes) {
                return None;
            }
            let id = id_of(&bytes);
            events.push(StreamEvent { bytes, id });
            start = end;
            scanned = end;
        }
        self.partial.drain(..start);
        self.partial.shrink_to(SPARE_BYTES);
        (self.partial.len() <= MAX_EVENT_BYTES).then_some(events)
    }

    /// Returns the number of bytes that are allocated for an incomplete event.
    pub fn held_bytes(&self) -> usize {
        self.partial.capacity()
    }

    /// Whether the data received so far ends within an event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }
}

/// Size of the pieces in which a complete body is split, in bytes.
const PIECE_BYTES: usize = 4096;

/// Whether a body consists of complete events. One that ends inside an event has been broken off, even
/// if its connection ended in order.
pub fn is_whole_stream(body: &[u8]) -> bool {
    let mut splitter = EventSplitter::default();
    let mut pieces = body.chunks(PIECE_BYTES);
    pieces.all(|piece| splitter.push(piece).is_some()) && !splitter.has_partial()
}

/// Returns the position after the first blank line whose preceding line ends at or after `from`.
/// Lines end with LF or CR LF.
fn end_of_event(bytes: &[u8], from: usize) -> Option<usize> {
    let after_line = |at: usize| match &bytes[at..] {
        [b'\n', ..] => Some(at + 1),
        [b'\r', b'\n', ..] => Some(at + 2),
        _ => None,
    };
    (from..bytes.len())
        .filter(|at| bytes[*at] == b'\n')
        .find_map(|at| after_line(at + 1))
}

/// Whether all lines are fields or comments. A field without a value may stand without a colon.
fn is_event(bytes: &[u8]) -> bool {
    let is_field = |line: &str| {
        line.is_empty() || line.contains(':') || ["data", "event", "id", "retry"].contains(&line)
    };
    std::str::from_utf8(bytes).is_ok_and(|text| text.lines().all(is_field))
}

fn id_of(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
