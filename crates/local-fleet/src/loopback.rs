//! Loopback addresses that no other fleet of this machine uses.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

static NEXT: AtomicU8 = AtomicU8::new(1);

/// What an address is for; each has a port of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Port {
    /// The table service.
    Table,
    /// The object store.
    Objects,
    /// The list of machines.
    List,
    /// Callers of an instance.
    Callers(u16),
    /// Peers of an instance.
    Peers(u16),
    /// Operators of an instance.
    Operators(u16),
    /// An engine.
    Engine(u16),
    /// A worker of a plain service.
    Worker(u16),
}

/// One IP number of the loopback range, used by one fleet.
#[derive(Clone, Copy, Debug)]
pub struct Loopback {
    ip: Ipv4Addr,
}

impl Loopback {
    /// Picks an IP number by process and count, so that fleets of parallel tests do not meet.
    pub fn pick() -> Self {
        let pid = std::process::id();
        let [_, _, high, low] = pid.to_be_bytes();
        let count = NEXT.fetch_add(1, Ordering::Relaxed);
        Self {
            ip: Ipv4Addr::new(127, 1 + high % 250, low, count.max(1)),
        }
    }

    /// Returns the address for a purpose.
    pub fn address(self, port: Port) -> SocketAddr {
        let number = match port {
            Port::Table => 7_001,
            Port::Objects => 7_002,
            Port::List => 7_003,
            Port::Callers(n) => 7_100 + n,
            Port::Peers(n) => 7_200 + n,
            Port::Operators(n) => 7_300 + n,
            Port::Engine(n) => 7_400 + n,
            Port::Worker(n) => 7_900 + n,
        };
        SocketAddr::from((self.ip, number))
    }
}
