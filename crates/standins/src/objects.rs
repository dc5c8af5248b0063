//! Stand-in of the object store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::faults::{Faults, SharedFaults};
use crate::server::lock;
use crate::{Exchange, Server, ServerRequest};

type Objects = Mutex<BTreeMap<String, Vec<u8>>>;

/// A running object store.
#[derive(Clone)]
pub struct ObjectStandin {
    faults: SharedFaults,
    server: Server,
}

impl ObjectStandin {
    /// Binds an address and serves an empty store.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn spawn(address: &str) -> io::Result<Self> {
        let objects = Arc::new(Objects::default());
        let faults = SharedFaults::default();
        let on = faults.clone();
        let server = Server::spawn(address, move |request, exchange| {
            if !on.control(&request, exchange) && on.before(exchange) {
                serve(&objects, request, exchange);
            }
        })?;
        Ok(Self { faults, server })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }
}

fn serve(objects: &Objects, request: ServerRequest, exchange: &mut Exchange) {
    let sent = match request.method.as_str() {
        "PUT" => {
            lock(objects).insert(request.path, request.body);
            exchange.answer(200, "application/json", b"{}")
        }
        _ => match lock(objects).get(&request.path).cloned() {
            Some(object) => exchange.answer(200, "application/json", &object),
            None => exchange.answer(404, "text/plain", b"no such object"),
        },
    };
    // A client that has left is its own affair.
    let _ = sent;
}
