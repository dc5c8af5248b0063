//! Stand-in of the platform's lagging list of live and leaving machines.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use jacinthlever_client::InstanceList;
use jacinthlever_types::{ListEntry, ListState};
use smol_str::SmolStr;

use crate::faults::{Faults, SharedFaults};
use crate::server::lock;
use crate::{Exchange, Server, ServerRequest};

#[derive(Debug, Default)]
struct Listed {
    revision: u64,
    /// Entry, or `None` for one that is gone, with the revision and time of its last change.
    entries: BTreeMap<SmolStr, (u64, ChangedAt, Option<ListEntry>)>,
}

/// Time of a change; absent for entries listed at the start.
type ChangedAt = Option<Instant>;

impl Listed {
    fn put(&mut self, id: SmolStr, entry: Option<ListEntry>, at: Option<Instant>) {
        self.revision += 1;
        self.entries.insert(id, (self.revision, at, entry));
    }

    /// Returns what changed after a revision and longer ago than the lag.
    fn changes(&self, after: u64, lag: Duration) -> InstanceList {
        let visible = |at: &Option<Instant>| at.is_none_or(|at| at.elapsed() >= lag);
        let shown: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, (_, at, _))| visible(at))
            .collect();
        let hidden = self.entries.values().filter(|(_, at, _)| !visible(at));
        // Changes come in order, so nothing after the first hidden one is named yet.
        let revision = hidden.map(|(r, ..)| r - 1).min().unwrap_or(self.revision);
        let mut list = InstanceList {
            revision,
            ..InstanceList::default()
        };
        for (id, (changed, _, entry)) in shown {
            if *changed <= after || *changed > revision {
                continue;
            }
            match entry {
                Some(entry) => list.entries.push(entry.clone()),
                None => list.removed.push(id.clone()),
            }
        }
        list
    }
}

/// A running list.
#[derive(Clone)]
pub struct ListStandin {
    listed: Arc<Mutex<Listed>>,
    faults: SharedFaults,
    server: Server,
}

impl ListStandin {
    /// Binds an address and serves a list whose changes show after a lag.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn spawn(address: &str, entries: Vec<ListEntry>, lag: Duration) -> io::Result<Self> {
        let mut listed = Listed::default();
        for entry in entries {
            listed.put(entry.id.clone(), Some(entry), None);
        }
        let listed = Arc::new(Mutex::new(listed));
        let faults = SharedFaults::default();
        let (shared, on) = (listed.clone(), faults.clone());
        let server = Server::spawn(address, move |request, exchange| {
            if !on.control(&request, exchange) && on.before(exchange) {
                serve(&shared, lag, &request, exchange);
            }
        })?;
        Ok(Self {
            listed,
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

    /// Adds or replaces an entry.
    pub fn put(&self, entry: ListEntry) {
        lock(&self.listed).put(entry.id.clone(), Some(entry), Some(Instant::now()));
    }

    /// Removes an entry.
    pub fn remove(&self, id: &str) {
        lock(&self.listed).put(SmolStr::new(id), None, Some(Instant::now()));
    }

    /// Marks an entry as leaving.
    pub fn leave(&self, id: &str) {
        let entry = lock(&self.listed)
            .entries
            .get(id)
            .and_then(|(_, _, entry)| entry.clone());
        if let Some(entry) = entry {
            self.put(ListEntry {
                state: ListState::Leaving,
                ..entry
            });
        }
    }
}

fn serve(listed: &Mutex<Listed>, lag: Duration, request: &ServerRequest, exchange: &mut Exchange) {
    let sent = match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/v1/instances") => {
            let after = request
                .parameter("after")
                .and_then(|text| text.parse().ok());
            let list = lock(listed).changes(after.unwrap_or(0), lag);
            exchange.json(200, &list)
        }
        ("PUT", "/v1/instances") => match serde_json::from_slice::<ListEntry>(&request.body) {
            Ok(entry) => {
                lock(listed).put(entry.id.clone(), Some(entry), Some(Instant::now()));
                exchange.answer(200, "application/json", b"{}")
            }
            Err(error) => exchange.answer(400, "text/plain", error.to_string().as_bytes()),
        },
        ("DELETE", path) => {
            let id = path.trim_start_matches("/v1/instances/");
            lock(listed).put(SmolStr::new(id), None, Some(Instant::now()));
            exchange.answer(200, "application/json", b"{}")
        }
        _ => exchange.answer(404, "text/plain", b"no such path"),
    };
    // A client that has left is its own affair.
    let _ = sent;
}
