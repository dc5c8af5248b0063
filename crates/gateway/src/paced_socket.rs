//! Socket for messages that go to many other instances.

use std::cell::RefCell;
use std::rc::Rc;

use jacinthlever_routing::BurstPacer;
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::context::Context;

/// Sends datagrams at a rate that slow links bear.
pub struct PacedSocket {
    cx: Rc<Context>,
    socket: Rc<UdpSocket>,
    pacer: RefCell<BurstPacer>,
}

impl PacedSocket {
    /// Creates a sender of datagrams on a bound socket.
    pub fn new(cx: Rc<Context>, socket: Rc<UdpSocket>) -> Self {
        Self {
            cx,
            socket,
            pacer: RefCell::default(),
        }
    }

    /// Sends a datagram to several instances, one after the other.
    pub async fn send(&self, bytes: &[u8], addresses: &[SmolStr]) {
        for address in addresses {
            // The next datagram makes up for a lost one.
            if let Err(error) = self.socket.send_to(bytes, address.as_str()).await {
                log::debug!("cannot send a datagram to {address}: {error}");
            }
            let now = self.cx.now();
            let wait = self.pacer.borrow_mut().record(now, bytes.len());
            if !wait.is_zero() {
                sleep(wait).await;
            }
        }
    }
}
