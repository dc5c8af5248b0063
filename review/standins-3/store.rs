//! Stand-in of the platform's store: rows in tables, conditional transactions, and a feed of changes.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Request, Server};
use crate::json::{Json, base64};

/// Time for which changes can be read; `historyS` of the settings.
const HISTORY: Duration = Duration::from_secs(20);

type Key = (String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value (base64; `None` if removed) and version of each row.
    rows: BTreeMap<Key, (Option<String>, u64)>,
}

#[derive(Default)]
struct State {
    now: Rows,
    /// Versions that were given out lately, and when.
    given: VecDeque<(u64, Instant)>,
    /// Newest version whose change is no longer in the history.
    forgotten: u64,
}

impl State {
    /// Records the newest version, and forgets changes that are older than the history.
    fn keep_history(&mut self) {
        let now = Instant::now();
        if self.given.back().is_none_or(|(version, _)| *version < self.now.version) {
            self.given.push_back((self.now.version, now));
        }
        while let Some((version, _)) = self.given.front().filter(|(_, at)| now > *at + HISTORY) {
            self.forgotten = *version;
            self.given.pop_front();
        }
    }
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: String,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store");
        let address = listener.local_addr().expect("store").to_string();
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let own = shared.clone();
        Server::start(listener, move |request, conn| serve(&own, request, conn));
        Self { address, shared }
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    /// Writes a row unless it has the value already.
    pub fn keep(&self, table: &str, key: &str, value: &str) {
        let encoded = Some(base64(value.as_bytes()));
        let key_of_row = (table.to_string(), key.to_string());
        let is_same = {
            let state = self.shared.state.lock().unwrap();
            state.now.rows.get(&key_of_row).is_some_and(|(known, _)| *known == encoded)
        };
        if !is_same {
            self.write(table, key, encoded);
        }
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.shared.state.lock().unwrap();
        state.now.write(table, key, value);
        state.keep_history();
        self.shared.changed.notify_all();
    }
}

impl Rows {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let key = (table.to_string(), key.to_string());
        self.rows.insert(key, (value, self.version));
    }

    fn transact(&mut self, body: &Json) -> Option<u64> {
        let key = |row: &Json| {
            (
                row.get("table").text().to_string(),
                row.get("key").text().to_string(),
            )
        };
        for row in body.get("expectedRevision").list() {
            let current = self.rows.get(&key(row)).filter(|(value, _)| value.is_some());
            if current.map_or(0, |(_, version)| *version) != row.get("ver").num() as u64 {
                return None;
            }
        }
        self.version += 1;
        let version = self.version;
        for row in body.get("puts").list() {
            let value = Some(row.get("value").text().to_string());
            self.rows.insert(key(row), (value, version));
        }
        for row in body.get("remove").list() {
            self.rows.insert(key(row), (None, version));
        }
        Some(version)
    }
}

fn row_json(((table, key), (value, version)): (&Key, &(Option<String>, u64))) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_string(),
    };
    let (table, key) = (Json::Str(table.clone()), Json::Str(key.clone()));
    format!("{{\"table\":{table},\"part\":\"\",\"key\":{key},{rest},\"ver\":{version}}}")
}

fn serve(shared: &Shared, request: &Request, conn: &mut Conn) -> io::Result<()> {
    let now_ms = || shared.started.elapsed().as_millis() + 1000;
    let mut state = shared.state.lock().unwrap();
    let (status, body) = if request.path.starts_with("/jacinthlever/rows-tx") {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        match state.now.transact(&body.unwrap_or(Json::Null)) {
            Some(version) => {
                state.keep_history();
                shared.changed.notify_all();
                (200, format!("{{\"ver\":{version},\"nowMs\":{}}}", now_ms()))
            }
            None => (412, format!("{{\"rows\":[],\"ver\":{},\"nowMs\":{}}}", state.now.version, now_ms())),
        }
    } else if request.path.starts_with("/jacinthlever/rows-get") {
        let (table, from) = (request.query("table"), request.query("from"));
        let limit: usize = request.query("limit").parse().unwrap_or(500);
        let rows = state.now.rows.iter();
        let rows = rows.filter(|((t, key), (value, _))| *t == table && *key >= from && value.is_some());
        let mut rows: Vec<String> = rows.map(row_json).collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        (200, list(&rows, more, state.now.version, now_ms()))
    } else if request.path.starts_with("/jacinthlever/rows-feed") {
        let (table, after) = (request.query("table"), request.query("after").parse().unwrap_or(0));
        let wait_ms: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            state.keep_history();
            if after > state.now.version || after < state.forgotten {
                break (410, "{}".to_string());
            }
            let rows = state.now.rows.iter();
            let rows = rows.filter(|((t, _), (_, version))| *t == table && *version > after);
            let mut rows: Vec<_> = rows.collect();
            rows.sort_by_key(|(_, (_, version))| *version);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let rows: Vec<String> = rows.into_iter().map(row_json).collect();
                break (200, list(&rows, false, state.now.version, now_ms()));
            }
            state = shared.changed.wait_timeout(state, left).unwrap().0;
        }
    } else {
        (404, "{}".to_string())
    };
    drop(state);
    // An answer takes about 4 ms.
    std::thread::sleep(Duration::from_millis(3));
    let headers = [("Store-Era", "0".to_string()), ("Content-Type", "application/json".into())];
    conn.answer(status, &headers, body.as_bytes())
}

fn list(rows: &[String], more: bool, version: u64, now_ms: u128) -> String {
    let rows = rows.join(",");
    format!("{{\"rows\":[{rows}],\"ver\":{version},\"nowMs\":{now_ms},\"morePages\":{more}}}")
}
