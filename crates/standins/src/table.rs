//! Stand-in of the transactional table service.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use jacinthlever_types::{Transaction, TransactionReply};
use serde_json::Value;
use smol_str::SmolStr;

use crate::faults::{Faults, SharedFaults};
use crate::server::lock;
use crate::{Exchange, Server, ServerRequest, TableCounts, TableState};

/// A running table service.
#[derive(Clone)]
pub struct TableStandin {
    table: Arc<Mutex<TableState>>,
    faults: SharedFaults,
    server: Server,
}

impl TableStandin {
    /// Binds an address and serves an empty table.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn spawn(address: &str) -> io::Result<Self> {
        let table: Arc<Mutex<TableState>> = Arc::default();
        let faults = SharedFaults::default();
        let (shared, on) = (table.clone(), faults.clone());
        let server = Server::spawn(address, move |request, exchange| {
            if !on.control(&request, exchange) && on.before(exchange) {
                serve(&shared, &on, &request, exchange);
            }
        })?;
        Ok(Self {
            table,
            faults,
            server,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }

    /// Returns the operations served so far.
    pub fn counts(&self) -> TableCounts {
        lock(&self.table).counts
    }

    /// Returns every byte of the requests received so far.
    pub fn received(&self) -> Vec<u8> {
        self.server.received()
    }

    /// Returns the value of a row.
    pub fn row(&self, key: &str) -> Option<Value> {
        lock(&self.table).current(&SmolStr::new(key)).1
    }

    /// Applies a transaction as a client would.
    pub fn transact(&self, transaction: Transaction) -> TransactionReply {
        lock(&self.table).transact(transaction)
    }
}

fn serve(
    table: &Mutex<TableState>,
    faults: &SharedFaults,
    request: &ServerRequest,
    exchange: &mut Exchange,
) {
    let (status, body) = match request.path.as_str() {
        "/v1/transact" => match serde_json::from_slice(&request.body) {
            Ok(transaction) => (200, serde_json::to_value(lock(table).transact(transaction))),
            Err(error) => (400, Ok(Value::String(error.to_string()))),
        },
        "/v1/rows" => {
            let prefix = request.parameter("prefix").unwrap_or_default();
            let after = request
                .parameter("after")
                .and_then(|text| text.parse().ok());
            (
                200,
                serde_json::to_value(lock(table).rows(prefix, after.unwrap_or(0))),
            )
        }
        _ => (404, Ok(Value::Null)),
    };
    if faults.take(|faults| &mut faults.lose_replies) {
        return exchange.cut();
    }
    // A client that has left is its own affair.
    let _ = exchange.json(status, &body.unwrap_or_default());
}
