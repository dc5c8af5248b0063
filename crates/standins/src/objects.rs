//! Stand-in for the platform's object store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::faults::{Faults, SharedFaults};
use crate::server::lock;
use crate::{Exchange, Server, ServerRequest};

type Objects = Mutex<BTreeMap<String, Vec<u8>>>;

/// A running stand-in for the object store.
#[derive(Clone)]
pub struct ObjectStandin {
    faults: SharedFaults,
    server: Server,
}

impl ObjectStandin {
    /// Binds an address and serves a store that is empty at first.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn spawn(address: &str) -> io::Result<Self> {
        let objects = Arc::new(Objects::default());
        let faults = SharedFaults::default();
        let active_faults = faults.clone();
        let server = Server::spawn(address, move |request, exchange| {
            if !active_faults.handle_control(&request, exchange)
                && active_faults.apply_before(exchange)
            {
                serve(&objects, request, exchange);
            }
        })?;
        Ok(Self { faults, server })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }
}

fn serve(objects: &Objects, request: ServerRequest, exchange: &mut Exchange) {
    let sent = match request.method.as_str() {
        "PUT" => {
            lock(objects).insert(request.path, request.body);
            exchange.respond(200, "application/json", b"{}")
        }
        _ => match lock(objects).get(&request.path).cloned() {
            Some(object) => exchange.respond(200, "application/json", &object),
            None => exchange.respond(404, "text/plain", b"no such object"),
        },
    };
    // A failed write means that the client has disconnected; there is no one to report it to.
    let _ = sent;
}
