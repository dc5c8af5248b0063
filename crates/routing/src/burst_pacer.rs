//! Spreads the datagrams that an instance sends to all peers; see `docs/design/size.md`.

use std::time::Duration;

/// Rate at which datagrams are sent, in bytes per second: four fifths of a link of 10 Mbit/s.
const RATE: f64 = 1_000_000.0;

/// Bytes that are sent without a pause: the size of the largest datagram.
const BURST: f64 = 32.0 * 1024.0;

/// Paces datagrams, so that they do not overrun the buffer of a slow link.
///
/// A report goes to all peers of a zone. Sent at once it is a burst of hundreds of kilobytes in a large zone, of
/// which a link of 20 Mbit/s loses what it cannot buffer: always the same peers would miss it.
#[derive(Clone, Copy, Debug, Default)]
pub struct BurstPacer {
    /// When what has been sent so far would have been sent at the rate.
    sent_until: Duration,
}

impl BurstPacer {
    /// Counts a datagram that is sent now; returns the time to wait before the next one. A pause makes up for a
    /// whole burst, so that there are few of them.
    pub fn record(&mut self, now: Duration, bytes: usize) -> Duration {
        let burst = Duration::from_secs_f64(BURST / RATE);
        let start = self.sent_until.max(now);
        self.sent_until = start + Duration::from_secs_f64(bytes as f64 / RATE);
        let ahead = self.sent_until.saturating_sub(now);
        if ahead < burst { Duration::ZERO } else { ahead }
    }
}
