//! Where streams began: the service and the software version of the engine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

/// Shortest time for which it is remembered where a stream began, whatever deadline its caller has.
pub const MIN_STREAM_RETENTION: Duration = Duration::from_secs(60);

/// Longest deadline of a caller that is followed. A caller may state any, and what is remembered of its stream
/// takes memory here and writes to the store until then.
pub const MAX_CALLER_WAIT: Duration = Duration::from_secs(3600);

/// Time added to a caller's deadline: the caller counts it from an earlier moment, and on another clock.
const DEADLINE_MARGIN: Duration = Duration::from_secs(5);

/// Maximum number of streams that are remembered; the one whose caller gives up first is forgotten first.
const MAX_STREAMS: usize = 16 * 1024;

/// Hash of the identifier of the attempt that brought the first event of a stream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns a number in `0.0..1.0`, uniform over the streams.
    pub fn fraction(self) -> f64 {
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Where a stream began, and the only place where it may go on.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StreamOrigin {
    /// Service of the engine; `None` if an instance that does not record it (builds up to 57e2313) has said
    /// where the stream began.
    pub service: Option<SmolStr>,
    /// Software version of the engine.
    pub version: SmolStr,
}

#[derive(Clone, Debug)]
struct Record {
    origin: StreamOrigin,
    until: Duration,
    /// Whether the stream began at this instance.
    is_own: bool,
}

/// Where each stream began, for as long as its caller may take it up.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    records: BTreeMap<StreamId, Record>,
    /// The same streams in the order in which they may be forgotten.
    by_end: BTreeSet<(Duration, StreamId)>,
}

/// Returns the time until which a stream must be known whose caller waits until `deadline`.
pub fn retention_end(now: Duration, deadline: Duration) -> Duration {
    let wait = deadline.saturating_sub(now).min(MAX_CALLER_WAIT) + DEADLINE_MARGIN;
    now + wait.max(MIN_STREAM_RETENTION)
}

impl StreamOrigins {
    /// Records where a stream began, until a time given by [`retention_end`].
    pub fn record(
        &mut self,
        now: Duration,
        stream: StreamId,
        origin: StreamOrigin,
        until: Duration,
    ) {
        self.insert(now, stream, origin, until, false);
    }

    /// Records where a stream began that a caller of this instance has received.
    pub fn record_own(
        &mut self,
        now: Duration,
        stream: StreamId,
        origin: StreamOrigin,
        until: Duration,
    ) {
        self.insert(now, stream, origin, until, true);
    }

    /// Returns the streams that began at this instance, where, and until when they must be known.
    pub fn own(&self) -> impl Iterator<Item = (StreamId, &StreamOrigin, Duration)> {
        let own = self.records.iter().filter(|(_, record)| record.is_own);
        own.map(|(stream, record)| (*stream, &record.origin, record.until))
    }

    fn insert(
        &mut self,
        now: Duration,
        stream: StreamId,
        mut origin: StreamOrigin,
        mut until: Duration,
        is_own: bool,
    ) {
        if let Some(known) = self.records.remove(&stream) {
            self.by_end.remove(&(known.until, stream));
            until = until.max(known.until);
            origin.service = origin.service.or(known.origin.service);
        }
        let record = Record {
            origin,
            until,
            is_own,
        };
        self.records.insert(stream, record);
        self.by_end.insert((until, stream));
        while let Some((end, first)) = self.by_end.first().copied() {
            if now < end && self.records.len() <= MAX_STREAMS {
                break;
            }
            self.by_end.remove(&(end, first));
            self.records.remove(&first);
        }
    }

    /// Returns where a stream began, and until when that must be known; `None` if it is not known.
    pub fn find(&self, stream: StreamId) -> Option<(&StreamOrigin, Duration)> {
        let record = self.records.get(&stream)?;
        Some((&record.origin, record.until))
    }
}
