//! Bounds what the operating system keeps for many connections together.

use socket2::SockRef;
use tokio::net::TcpStream;

/// Part of the machine's memory for bytes that were received and not read yet. As much again may be
/// used for bytes that were sent and not acknowledged.
const SYSTEM_PART: u64 = 8;

/// Bytes that the system accepts on a new connection before they are read.
const USUAL_BYTES: usize = 64 * 1024;

/// Smallest buffer that is set, in bytes. The system doubles it; a usual request or answer fits.
const MIN_BYTES: usize = 4 * 1024;

/// Buffer sizes of the connections of one listener.
#[derive(Clone, Copy, Debug)]
pub struct SocketBuffers {
    /// Number of connections that keep the usual buffers.
    usual: usize,
    /// Size of the buffers of further connections, in bytes.
    small_bytes: usize,
}

impl SocketBuffers {
    /// Divides a `share` of the system's part of `memory_bytes` between up to `max_open`
    /// connections.
    pub fn new(memory_bytes: u64, share: f64, max_open: usize) -> Self {
        let part = ((memory_bytes / SYSTEM_PART) as f64 * share) as usize;
        Self {
            usual: part / USUAL_BYTES,
            small_bytes: (part / max_open.max(1)).clamp(MIN_BYTES, USUAL_BYTES),
        }
    }

    /// Makes the buffers of a connection small if `open` others are open that may fill up the system's part;
    /// returns whether it has.
    pub fn apply(&self, stream: &TcpStream, open: usize) -> bool {
        if open < self.usual {
            return false;
        }
        let socket = SockRef::from(stream);
        let set = socket
            .set_recv_buffer_size(self.small_bytes)
            .and_then(|()| socket.set_send_buffer_size(self.small_bytes));
        if let Err(error) = set {
            log::debug!("buffers of a connection keep their size: {error}");
        }
        true
    }
}
