//! Stand-in for the platform's list of live and leaving machines, which is updated with a delay.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use jacinthlever_client::ListChanges;
use jacinthlever_types::{ListEntry, ListState};
use smol_str::SmolStr;

use crate::faults::{Faults, SharedFaults};
use crate::server::lock;
use crate::{Exchange, Server, ServerRequest};

#[derive(Debug, Default)]
struct ListContents {
    revision: u64,
    /// Revision and time of the last change of each entry, with the entry; the entry is `None` if
    /// it was removed.
    entries: BTreeMap<SmolStr, (u64, ChangedAt, Option<ListEntry>)>,
}

/// Time of a change; `None` for entries listed from the start.
type ChangedAt = Option<Instant>;

impl ListContents {
    fn put(&mut self, id: SmolStr, entry: Option<ListEntry>, at: Option<Instant>) {
        self.revision += 1;
        self.entries.insert(id, (self.revision, at, entry));
    }

    /// Returns the changes after a revision that are older than the lag.
    fn changes(&self, after: u64, lag: Duration) -> ListChanges {
        let is_visible = |at: &Option<Instant>| at.is_none_or(|at| at.elapsed() >= lag);
        let visible_entries: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, (_, at, _))| is_visible(at))
            .collect();
        let hidden = self.entries.values().filter(|(_, at, _)| !is_visible(at));
        // Changes are reported in order, so none after the first hidden one is reported yet.
        let revision = hidden.map(|(r, ..)| r - 1).min().unwrap_or(self.revision);
        let mut list = ListChanges {
            revision,
            ..ListChanges::default()
        };
        for (id, (changed, _, entry)) in visible_entries {
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

/// A running stand-in for the list.
#[derive(Clone)]
pub struct ListStandin {
    contents: Arc<Mutex<ListContents>>,
    faults: SharedFaults,
    server: Server,
}

impl ListStandin {
    /// Binds an address and serves a list whose changes become visible after a lag.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn spawn(address: &str, entries: Vec<ListEntry>, lag: Duration) -> io::Result<Self> {
        let mut contents = ListContents::default();
        for entry in entries {
            contents.put(entry.id.clone(), Some(entry), None);
        }
        let contents = Arc::new(Mutex::new(contents));
        let faults = SharedFaults::default();
        let (shared, active_faults) = (contents.clone(), faults.clone());
        let server = Server::spawn(address, move |request, exchange| {
            if !active_faults.handle_control(&request, exchange)
                && active_faults.apply_before(exchange)
            {
                serve(&shared, lag, &request, exchange);
            }
        })?;
        Ok(Self {
            contents,
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

    /// Adds or replaces an entry.
    pub fn put(&self, entry: ListEntry) {
        lock(&self.contents).put(entry.id.clone(), Some(entry), Some(Instant::now()));
    }

    /// Removes an entry.
    pub fn remove(&self, id: &str) {
        lock(&self.contents).put(SmolStr::new(id), None, Some(Instant::now()));
    }

    /// Marks an entry as leaving.
    pub fn mark_leaving(&self, id: &str) {
        let entry = lock(&self.contents)
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

fn serve(
    contents: &Mutex<ListContents>,
    lag: Duration,
    request: &ServerRequest,
    exchange: &mut Exchange,
) {
    let sent = match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/v1/instances") => {
            let after = request
                .query_parameter("after")
                .and_then(|text| text.parse().ok());
            let list = lock(contents).changes(after.unwrap_or(0), lag);
            exchange.respond_json(200, &list)
        }
        ("PUT", "/v1/instances") => match serde_json::from_slice::<ListEntry>(&request.body) {
            Ok(entry) => {
                lock(contents).put(entry.id.clone(), Some(entry), Some(Instant::now()));
                exchange.respond(200, "application/json", b"{}")
            }
            Err(error) => exchange.respond(400, "text/plain", error.to_string().as_bytes()),
        },
        ("DELETE", path) => {
            let id = path.trim_start_matches("/v1/instances/");
            lock(contents).put(SmolStr::new(id), None, Some(Instant::now()));
            exchange.respond(200, "application/json", b"{}")
        }
        _ => exchange.respond(404, "text/plain", b"no such path"),
    };
    // A failed write means that the client has disconnected; there is no one to report it to.
    let _ = sent;
}
