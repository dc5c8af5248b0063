//! Loopback addresses of a fleet, separate from those of other fleets on this machine.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

/// Number of the next fleet of this process.
static NEXT_FLEET: AtomicU8 = AtomicU8::new(1);

/// The purpose of an address, which determines its port number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Port {
    /// The table service.
    Table,
    /// The object store.
    Objects,
    /// The platform's list of machines.
    List,
    /// The API for callers of the instance with this number.
    Callers(u16),
    /// The API for peers of the instance with this number.
    Peers(u16),
    /// The API for operators of the instance with this number.
    Operators(u16),
    /// The engine with this index in the specification.
    Engine(u16),
    /// The worker with this index in the specification.
    Worker(u16),
}

/// An IP address of the loopback range that one fleet uses.
#[derive(Clone, Copy, Debug)]
pub struct Loopback {
    ip: Ipv4Addr,
}

impl Loopback {
    /// Allocates an IP address from the process identifier and a counter, so that fleets of
    /// parallel tests do not share addresses.
    pub fn allocate() -> Self {
        let pid = std::process::id();
        let [_, _, high, low] = pid.to_be_bytes();
        let fleet = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        Self {
            ip: Ipv4Addr::new(127, 1 + high % 250, low, fleet.max(1)),
        }
    }

    /// Returns the socket address for a purpose.
    pub fn address(self, port: Port) -> SocketAddr {
        let port_number = match port {
            Port::Table => 7_001,
            Port::Objects => 7_002,
            Port::List => 7_003,
            Port::Callers(n) => 7_100 + n,
            Port::Peers(n) => 7_200 + n,
            Port::Operators(n) => 7_300 + n,
            Port::Engine(n) => 7_400 + n,
            Port::Worker(n) => 7_900 + n,
        };
        SocketAddr::from((self.ip, port_number))
    }
}
