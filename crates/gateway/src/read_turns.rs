//! Bounds what one connection may have read before other tasks run.

use std::task::{Context, Poll};

/// Bytes that a connection may read in one turn. What a peer sends may be of no use and cost more time to parse
/// than to send, such as informational answers.
const TURN_BYTES: usize = 64 * 1024;

/// Turns of one connection at reading. A runtime limits the number of reads in a row, but not their size.
#[derive(Debug, Default)]
pub struct ReadTurns {
    /// Bytes read in the present turn.
    read: usize,
}

impl ReadTurns {
    /// Ends the turn, and has the task polled again after others, if enough was read in it.
    pub fn poll_turn(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.read < TURN_BYTES {
            return Poll::Ready(());
        }
        self.read = 0;
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Records the result of a read of `bytes`; a connection that has nothing to read ends its turn.
    pub fn record<T>(&mut self, polled: &Poll<T>, bytes: usize) {
        match polled {
            Poll::Ready(_) => self.read += bytes,
            Poll::Pending => self.read = 0,
        }
    }
}
