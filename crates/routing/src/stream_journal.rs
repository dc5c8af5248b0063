//! Streams and where they began, in the portions in which they are written to the store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::{StreamId, StreamOrigin};

/// Time for which records are added to the same row.
const ROW_TIME: Duration = Duration::from_secs(5);

/// Maximum number of streams in one row, which is far below the store's limit of a row's size.
const MAX_ROW_STREAMS: usize = 2000;

/// Maximum number of rows. One row per [`ROW_TIME`] covers the longest deadline that is followed; with more, the
/// row whose callers give up first is replaced.
const MAX_ROWS: usize = 1024;

/// Maximum number of streams in complete rows that wait to be written, such as while the store is away.
const MAX_WAITING_STREAMS: usize = 32 * 1024;

/// Time for which the content of a complete row is kept here. A store that comes back from a copy has lost what
/// was written in the last seconds.
const REWRITE_PERIOD: Duration = Duration::from_secs(30);

/// Records that belong in one row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JournalRow {
    /// Position of the row among those of the instance.
    pub index: u32,
    /// When its first record was added.
    pub since: Duration,
    /// When the last of its streams may be forgotten.
    pub until: Duration,
    /// Streams by where they began.
    pub streams: BTreeMap<StreamOrigin, Vec<StreamId>>,
    /// Streams that were about to begin where they need a record. Those that are not among `streams` may have begun there,
    /// or elsewhere without a record.
    pub intended: Vec<StreamId>,
}

impl JournalRow {
    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.values().map(Vec::len).sum::<usize>() + self.intended.len()
    }

    /// Whether the row has no streams.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A complete row of the store.
#[derive(Clone, Debug)]
struct CompleteRow {
    until: Duration,
    /// When it was completed, and its content for [`REWRITE_PERIOD`] from then.
    content: Option<(Duration, JournalRow)>,
}

/// Records of streams that this instance writes to the store.
///
/// The row of the last seconds is written again with each new record, so a write costs some bytes a
/// stream, and a reader finds all records in few rows.
#[derive(Debug, Default)]
pub struct StreamJournal {
    row: JournalRow,
    /// Whether the row has records that were not written.
    has_news: bool,
    /// Complete rows that wait to be written.
    waiting: VecDeque<JournalRow>,
    /// Complete rows whose streams may still be taken up, by index.
    complete: BTreeMap<u32, CompleteRow>,
    /// Streams whose callers wait until their records are written.
    awaited: BTreeSet<StreamId>,
    /// Streams whose records were not written in time.
    abandoned: BTreeSet<StreamId>,
    /// Number of streams that were dropped since they waited with too many others.
    dropped: usize,
}

impl StreamJournal {
    /// Adds the record of a stream that must be known until a time.
    pub fn push(&mut self, now: Duration, stream: StreamId, origin: StreamOrigin, until: Duration) {
        let row = self.row_for(now, until);
        row.streams.entry(origin).or_default().push(stream);
    }

    /// Adds a stream that is about to begin where it needs a record, and begins to wait until that is written.
    pub fn push_intended(&mut self, now: Duration, stream: StreamId, until: Duration) {
        self.awaited.insert(stream);
        self.row_for(now, until).intended.push(stream);
    }

    /// Returns the row to which a record is added that is needed until a time.
    fn row_for(&mut self, now: Duration, until: Duration) -> &mut JournalRow {
        let is_over = now >= self.row.since + ROW_TIME || self.row.len() >= MAX_ROW_STREAMS;
        if self.row.is_empty() {
            self.row.since = now;
        } else if is_over {
            self.complete_row(now);
        }
        self.row.until = self.row.until.max(until);
        self.has_news = true;
        &mut self.row
    }

    fn complete_row(&mut self, now: Duration) {
        let row = std::mem::take(&mut self.row);
        if std::mem::take(&mut self.has_news) {
            self.waiting.push_back(row.clone());
            self.limit_waiting(now);
        }
        let complete = CompleteRow {
            until: row.until,
            content: Some((now, row.clone())),
        };
        self.complete.insert(row.index, complete);
        self.complete.retain(|_, row| now < row.until);
        for row in self.complete.values_mut() {
            row.content
                .take_if(|(since, _)| now >= *since + REWRITE_PERIOD);
        }
        if self.complete.len() >= MAX_ROWS {
            let first = self.complete.iter().min_by_key(|(_, row)| row.until);
            if let Some(first) = first.map(|(index, _)| *index) {
                self.complete.remove(&first);
            }
        }
        let free = (0..).find(|index| !self.complete.contains_key(index));
        self.row = JournalRow {
            index: free.unwrap_or_default(),
            since: now,
            ..JournalRow::default()
        };
    }

    /// Drops waiting rows that nobody needs any longer and, if there are still too many, those whose callers
    /// give up first.
    fn limit_waiting(&mut self, now: Duration) {
        self.waiting.retain(|row| now < row.until);
        while self.waiting.iter().map(JournalRow::len).sum::<usize>() > MAX_WAITING_STREAMS {
            let rows = self.waiting.iter().enumerate();
            let Some((first, _)) = rows.min_by_key(|(_, row)| row.until) else {
                return;
            };
            let row = self.waiting.remove(first);
            self.dropped += row.map_or(0, |row| row.len());
        }
    }

    /// Returns the number of streams that were dropped since the last call because too many waited.
    pub fn take_dropped(&mut self) -> usize {
        std::mem::take(&mut self.dropped)
    }

    /// Returns the next row to be written; `None` if all records are written.
    pub fn next_row(&mut self) -> Option<JournalRow> {
        if let Some(row) = self.waiting.pop_front() {
            return Some(row);
        }
        std::mem::take(&mut self.has_news).then(|| self.row.clone())
    }

    /// Records that a row was written.
    pub fn record_written(&mut self, row: &JournalRow) {
        for stream in &row.intended {
            self.awaited.remove(stream);
        }
    }

    /// Ends the wait for the record of a stream; returns whether it was written. If not, the stream will begin elsewhere.
    pub fn end_wait(&mut self, stream: StreamId) -> bool {
        let is_written = !self.awaited.remove(&stream);
        if !is_written {
            self.abandoned.insert(stream);
        }
        is_written
    }

    /// Whether a stream was about to begin elsewhere, without a record in time. It needs a record of where it begins:
    /// the other one may be written yet.
    pub fn take_abandoned(&mut self, stream: StreamId) -> bool {
        self.abandoned.remove(&stream)
    }

    /// Whether the record of a stream that was waited for was written.
    pub fn is_written(&self, stream: StreamId) -> bool {
        !self.awaited.contains(&stream)
    }

    /// Takes back a row that could not be written.
    pub fn put_back(&mut self, row: JournalRow) {
        if row.index == self.row.index {
            self.has_news = true;
        } else {
            self.waiting.push_front(row);
        }
    }

    /// Has the rows of the last 30 s written again, since the store may have lost them.
    pub fn write_again(&mut self, now: Duration) {
        self.has_news = !self.row.is_empty();
        for row in self.complete.values() {
            if let Some((since, content)) = &row.content
                && now < *since + REWRITE_PERIOD
                && self.waiting.iter().all(|w| w.index != content.index)
            {
                self.waiting.push_back(content.clone());
            }
        }
    }
}
