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
    /// Whether it consists of comments and blank lines only.
    pub is_empty: bool,
}

impl StreamEvent {
    /// Returns `None` if one of the lines is no field.
    fn parse(bytes: Vec<u8>) -> Option<Self> {
        let text = std::str::from_utf8(&bytes).ok()?;
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        if !text.lines().all(is_field) {
            return None;
        }
        let is_empty = text.lines().all(|l| l.is_empty() || l.starts_with(':'));
        let id = text.lines().find_map(|line| line.strip_prefix("id:"));
        let id = id.and_then(|value| value.trim().parse().ok());
        Some(Self {
            id,
            is_empty,
            bytes,
        })
    }
}

/// Why a run of a stream cannot be used any further.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamFault {
    /// An event has a line that is no field, or exceeds the maximum size.
    Malformed,
    /// An event does not have a greater number than the one before it.
    OutOfOrder,
    /// An event has no number, so that it cannot be told whether it is the next one.
    Unnumbered,
    /// The run ended inside an event.
    BrokenOff,
    /// The run ended without an event, and nothing shows that none was left.
    NoEvent,
}

impl StreamFault {
    /// Returns the fault for logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Malformed => "malformed event",
            Self::OutOfOrder => "events are out of order",
            Self::Unnumbered => "event has no number",
            Self::BrokenOff => "event ended early",
            Self::NoEvent => "stream has no event",
        }
    }
}

/// Assembles the events of one run of a stream from the chunks of its body, and checks that they go on
/// after an event; see the WHATWG HTML standard, section 9.2.
///
/// Numbers may step by any amount, so that a gap between two events is not noticed.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    /// Number of the last event that the caller has, if it is known.
    last_event: Option<u64>,
    /// Whether the run takes the place of another one whose answer has begun.
    is_joined: bool,
    has_event: bool,
}

impl EventSplitter {
    /// Creates a splitter for the first run of an answer, which goes on after `last_event` if that is
    /// given.
    pub fn first(last_event: Option<u64>) -> Self {
        Self {
            last_event,
            ..Self::default()
        }
    }

    /// Creates a splitter for a run that takes the place of another one within an answer, and goes on after
    /// `last_event`. All of its events must be numbered.
    pub fn joined(last_event: Option<u64>) -> Self {
        Self {
            last_event,
            is_joined: true,
            ..Self::default()
        }
    }

    /// Whether the run takes the place of another one within an answer.
    pub fn is_joined(&self) -> bool {
        self.is_joined
    }

    /// Appends a chunk and returns the events that it completes.
    ///
    /// # Errors
    /// Returns a fault of one of these events, or of the incomplete one; none of them may be used then.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<StreamEvent>, StreamFault> {
        // The line ends that complete an event may be split over two chunks.
        let mut scanned = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(chunk);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = end_of_event(&self.partial, scanned) {
            let bytes = self.partial[start..end].to_vec();
            let event = StreamEvent::parse(bytes).ok_or(StreamFault::Malformed)?;
            self.check_order(&event)?;
            events.push(event);
            start = end;
            scanned = end;
        }
        self.partial.drain(..start);
        self.partial.shrink_to(SPARE_BYTES);
        match self.partial.len() <= MAX_EVENT_BYTES {
            true => Ok(events),
            false => Err(StreamFault::Malformed),
        }
    }

    /// Returns the number of bytes that are allocated for an incomplete event.
    pub fn held_bytes(&self) -> usize {
        self.partial.capacity()
    }

    fn check_order(&mut self, event: &StreamEvent) -> Result<(), StreamFault> {
        if event.is_empty {
            return Ok(());
        }
        self.has_event = true;
        match event.id {
            Some(id) if self.last_event.is_some_and(|last| id <= last) => {
                Err(StreamFault::OutOfOrder)
            }
            None if self.is_joined => Err(StreamFault::Unnumbered),
            id => {
                self.last_event = id.or(self.last_event);
                Ok(())
            }
        }
    }

    /// Checks whether a run whose body has ended is complete, as far as that can be told. `is_delimited`
    /// says that the body had a length or chunks, so that it did not just end with its connection.
    ///
    /// A server that is asked for what follows the last event may say that nothing is left. Within an answer
    /// that is not believed: the caller can ask again itself.
    ///
    /// # Errors
    /// Returns what shows that the run was broken off.
    pub fn end(&self, is_delimited: bool) -> Result<(), StreamFault> {
        if !self.partial.is_empty() {
            return Err(StreamFault::BrokenOff);
        }
        match self.has_event || (is_delimited && !self.is_joined) {
            true => Ok(()),
            false => Err(StreamFault::NoEvent),
        }
    }
}

/// Size of the pieces in which a complete body is split, in bytes.
const PIECE_BYTES: usize = 4096;

/// Checks that a body which was received as a whole consists of complete events that go on after
/// `last_event`; `is_delimited` is that of [`EventSplitter::end`].
///
/// # Errors
/// Returns what shows that the body was broken off, or is no such stream.
pub fn check_stream(
    body: &[u8],
    last_event: Option<u64>,
    is_delimited: bool,
) -> Result<(), StreamFault> {
    let mut splitter = EventSplitter::first(last_event);
    for piece in body.chunks(PIECE_BYTES) {
        splitter.push(piece)?;
    }
    splitter.end(is_delimited)
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

/// Whether a line is a field, a comment or blank. A field without a value may stand without a colon.
fn is_field(line: &str) -> bool {
    let is_name = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    match line.split_once(':') {
        Some((name, _)) => name.chars().all(is_name),
        None => line.is_empty() || ["data", "event", "id", "retry"].contains(&line),
    }
}
