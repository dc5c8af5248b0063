//! Writes the lines of the process's log on a thread of its own, so that no request waits for whoever reads the log.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use log::{Level, LevelFilter, Log, Metadata, Record};

/// Maximum number of lines that wait for the writing thread.
const MAX_QUEUED_LINES: usize = 2048;

/// Pause between two batches of lines, so that the thread writes many lines per wake-up.
const BATCH_INTERVAL: Duration = Duration::from_millis(25);

/// Number of lines that were dropped since the last call of [`take_dropped`].
static DROPPED: AtomicU64 = AtomicU64::new(0);

struct Line {
    level: Level,
    target: String,
    text: String,
}

/// Logger that queues lines for the one that writes them.
struct QueuedLogger {
    writer: Arc<dyn Log>,
    lines: Sender<Line>,
}

impl Log for QueuedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.writer.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = Line {
            level: record.level(),
            target: record.target().to_string(),
            text: record.args().to_string(),
        };
        if self.lines.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Does nothing: a reader that has stopped would be waited for.
    fn flush(&self) {}
}

/// Has all lines that are logged in the process up to a level written by `writer`, on a thread of its own. A line is
/// dropped and counted if too many wait.
///
/// # Errors
/// Fails if the thread cannot be started, or the process has a logger already.
pub fn open(writer: Box<dyn Log>, level: LevelFilter) -> io::Result<()> {
    let (tx, rx) = bounded(MAX_QUEUED_LINES);
    let writer: Arc<dyn Log> = writer.into();
    let logger = QueuedLogger {
        writer: writer.clone(),
        lines: tx,
    };
    thread::Builder::new()
        .name("journal".into())
        .spawn(move || write_lines(&rx, &*writer))?;
    log::set_boxed_logger(Box::new(logger)).map_err(io::Error::other)?;
    log::set_max_level(level);
    Ok(())
}

/// Returns the number of lines that were dropped since the last call.
pub fn take_dropped() -> u64 {
    DROPPED.swap(0, Ordering::Relaxed)
}

fn write_lines(lines: &Receiver<Line>, writer: &dyn Log) {
    let write = |line: Line| {
        let mut record = Record::builder();
        record.level(line.level).target(&line.target);
        writer.log(&record.args(format_args!("{}", line.text)).build());
    };
    while let Ok(line) = lines.recv() {
        write(line);
        lines.try_iter().for_each(write);
        thread::sleep(BATCH_INTERVAL);
    }
}
