//! Stand-in of the platform's metadata store: linearizable tables, conditional transactions and long
//! polls, as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request, Writer};
use crate::json::{Json, base64};

#[derive(Clone, Default)]
struct Rows {
    era: u64,
    version: u64,
    /// Value (base64) and version by table and key; the value is `None` if the row was removed.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

impl Rows {
    fn write(&mut self, table: &str, key: &str, value: Option<String>, version: u64) {
        self.rows
            .insert((table.to_string(), key.to_string()), (value, version));
    }
}

/// A copy of all rows.
pub struct Copy(Rows);

#[derive(Clone)]
pub struct Store {
    pub address: String,
    shared: Arc<(Mutex<Rows>, Condvar)>,
    /// Whether calls are refused.
    is_away: Arc<AtomicBool>,
    started: Instant,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store cannot listen");
        let store = Self {
            address: listener.local_addr().expect("no address").to_string(),
            shared: Arc::default(),
            is_away: Arc::default(),
            started: Instant::now(),
        };
        let served = store.clone();
        http::serve(listener, move |request, writer| {
            served.handle(&request, writer)
        });
        store
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    pub fn copy(&self) -> Copy {
        Copy(self.shared.0.lock().expect("poisoned lock").clone())
    }

    /// Comes back from a copy: what was written since is gone, and the era rises.
    pub fn restore(&self, copy: &Copy) {
        let mut rows = self.shared.0.lock().expect("poisoned lock");
        let era = rows.era + 1;
        *rows = Rows {
            era,
            ..copy.0.clone()
        };
        self.shared.1.notify_all();
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.shared.0.lock().expect("poisoned lock");
        rows.version += 1;
        let version = rows.version;
        rows.write(table, key, value, version);
        self.shared.1.notify_all();
    }

    fn handle(&self, request: &Request, writer: &Writer) -> bool {
        // A read or a transaction takes some milliseconds.
        std::thread::sleep(Duration::from_millis(4));
        if self.is_away.load(Ordering::SeqCst) {
            return self.respond(writer, 503, self.era(), "{}");
        }
        match request.path() {
            "/jacinthlever/rows-tx" => self.transact(request, writer),
            "/jacinthlever/rows-get" => self.read(request, writer),
            "/jacinthlever/rows-feed" => self.feed(request, writer),
            _ => self.respond(writer, 404, 0, "{}"),
        }
    }

    fn respond(&self, writer: &Writer, status: u16, era: u64, body: &str) -> bool {
        let era = era.to_string();
        let headers = [
            ("Content-Type", "application/json"),
            ("Store-Era", era.as_str()),
        ];
        http::send(writer, &http::answer(status, &headers, body.as_bytes()))
    }

    fn era(&self) -> u64 {
        self.shared.0.lock().expect("poisoned lock").era
    }

    /// Refuses all calls, or takes them again.
    pub fn set_away(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::SeqCst);
        self.shared.1.notify_all();
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn transact(&self, request: &Request, writer: &Writer) -> bool {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut rows = self.shared.0.lock().expect("poisoned lock");
        let key = |row: &Json| (row.text("table"), row.text("key"));
        for expected in body.list("expectedRevision") {
            let found = rows
                .rows
                .get(&key(expected))
                .filter(|(value, _)| value.is_some());
            let version = found.map_or(0, |(_, version)| *version);
            if version != expected.number("ver").unwrap_or(0.0) as u64 {
                let era = rows.era;
                drop(rows);
                return self.respond(writer, 412, era, "{\"rows\":[]}");
            }
        }
        rows.version += 1;
        let version = rows.version;
        for put in body.list("puts") {
            let (table, key) = key(put);
            rows.write(&table, &key, Some(put.text("value")), version);
        }
        for removed in body.list("remove") {
            let (table, key) = key(removed);
            rows.write(&table, &key, None, version);
        }
        self.shared.1.notify_all();
        let era = rows.era;
        drop(rows);
        let body = format!("{{\"ver\":{version},\"nowMs\":{}}}", self.now_ms());
        self.respond(writer, 200, era, &body)
    }

    fn read(&self, request: &Request, writer: &Writer) -> bool {
        let table = request.query("table").unwrap_or_default();
        let rows = self.shared.0.lock().expect("poisoned lock");
        let text = encode(&rows, &table, 0, false).join(",");
        let (version, era) = (rows.version, rows.era);
        drop(rows);
        let body = format!(
            "{{\"rows\":[{text}],\"morePages\":false,\"ver\":{version},\"nowMs\":{}}}",
            self.now_ms()
        );
        self.respond(writer, 200, era, &body)
    }

    fn feed(&self, request: &Request, writer: &Writer) -> bool {
        let table = request.query("table").unwrap_or_default();
        let number = |name: &str| request.query(name).and_then(|n| n.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut rows = self.shared.0.lock().expect("poisoned lock");
        let began_in = rows.era;
        loop {
            if after > rows.version || rows.era != began_in {
                let era = rows.era;
                drop(rows);
                return self.respond(writer, 410, era, "{}");
            }
            if self.is_away.load(Ordering::SeqCst) {
                let era = rows.era;
                drop(rows);
                return self.respond(writer, 503, era, "{}");
            }
            let changed = encode(&rows, &table, after, true);
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let (version, era) = (rows.version, rows.era);
                drop(rows);
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{version},\"nowMs\":{}}}",
                    changed.join(","),
                    self.now_ms()
                );
                return self.respond(writer, 200, era, &body);
            }
            rows = self
                .shared
                .1
                .wait_timeout(rows, left)
                .expect("poisoned lock")
                .0;
        }
    }
}

/// Encodes the rows of a table that changed after a version: by key, or by version for a feed.
fn encode(rows: &Rows, table: &str, after: u64, is_feed: bool) -> Vec<String> {
    let of_table = rows.rows.iter().filter(|((t, _), _)| t == table);
    let mut found: Vec<_> = of_table
        .filter(|(_, (value, version))| *version > after && (is_feed || value.is_some()))
        .collect();
    if is_feed {
        found.sort_by_key(|(_, (_, version))| *version);
    }
    let row = |((table, key), (value, version)): (&(String, String), &(Option<String>, u64))| {
        let content = match value {
            Some(value) => format!("\"value\":\"{value}\""),
            None => "\"tombstone\":true".to_string(),
        };
        format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},{content}}}"
        )
    };
    found.into_iter().map(row).collect()
}
