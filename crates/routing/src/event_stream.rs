//! Cuts a stream of server-sent events into whole events.

use std::mem;

/// Longest event that is put together; longer ones are a fault of the backend server.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One whole event, with the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The event as it came.
    pub bytes: Vec<u8>,
    /// Its `id` field, if it has one that is a number.
    pub id: Option<u64>,
}

/// Puts events together from pieces of a body; see the WHATWG HTML standard, section 9.2.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
}

impl EventSplitter {
    /// Takes in a piece and returns the events that it completes; `None` if one is too long.
    pub fn push(&mut self, piece: &[u8]) -> Option<Vec<StreamEvent>> {
        let mut scanned = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(piece);
        let mut events = Vec::new();
        while let Some(end) = end_of_event(&self.partial, scanned) {
            let rest = self.partial.split_off(end);
            let bytes = mem::replace(&mut self.partial, rest);
            let id = id_of(&bytes);
            events.push(StreamEvent { bytes, id });
            scanned = 0;
        }
        (self.partial.len() <= MAX_EVENT_BYTES).then_some(events)
    }

    /// Whether the stream ends inside an event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }
}

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

fn id_of(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
