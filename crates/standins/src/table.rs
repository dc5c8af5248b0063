//! Stand-in for the platform's transactional table service.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use jacinthlever_types::{Transaction, TransactionReply};
use serde_json::Value;
use smol_str::SmolStr;

use crate::faults::{Faults, SharedFaults};
use crate::server::lock;
use crate::{Exchange, Server, ServerRequest, TableCounts, TableState};

/// A running stand-in for the table service.
#[derive(Clone)]
pub struct TableStandin {
    table: Arc<Mutex<TableState>>,
    faults: SharedFaults,
    server: Server,
}

impl TableStandin {
    /// Binds an address and serves a table that is empty at first.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn spawn(address: &str) -> io::Result<Self> {
        let table: Arc<Mutex<TableState>> = Arc::default();
        let faults = SharedFaults::default();
        let (shared, active_faults) = (table.clone(), faults.clone());
        let server = Server::spawn(address, move |request, exchange| {
            if !active_faults.handle_control(&request, exchange)
                && active_faults.apply_before(exchange)
            {
                serve(&shared, &active_faults, &request, exchange);
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

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }

    /// Returns the numbers of operations served so far.
    pub fn counts(&self) -> TableCounts {
        lock(&self.table).counts
    }

    /// Returns every byte of the requests received so far.
    pub fn received(&self) -> Vec<u8> {
        self.server.received()
    }

    /// Returns the value of a row; `None` if the row does not exist.
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
            let prefix = request.query_parameter("prefix").unwrap_or_default();
            let after = request
                .query_parameter("after")
                .and_then(|text| text.parse().ok());
            (
                200,
                serde_json::to_value(lock(table).rows(prefix, after.unwrap_or(0))),
            )
        }
        _ => (404, Ok(Value::Null)),
    };
    if faults.consume(|faults| &mut faults.lose_replies) {
        return exchange.close();
    }
    // A failed write means that the client has disconnected; there is no one to report it to.
    let _ = exchange.respond_json(status, &body.unwrap_or_default());
}
