//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head, write_answer};
use crate::json::{Json, base64, from_base64};

/// Interval at which workers write their entries.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Address at which workers listen, and the other one, for an instance that can be cut from them.
pub const ADDRESS: &str = "127.0.0.1";
pub const OTHER_ADDRESS: &str = "127.0.0.2";

/// Longest wait of a feed.
const MAX_WAIT: u64 = 30_000;

type Key = (String, String);

#[derive(Clone, Default)]
struct Rows {
    ver: u64,
    /// Value in base64 and version; no value for a dropped row.
    rows: BTreeMap<Key, (Option<String>, u64)>,
}

impl Rows {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        self.ver += 1;
        let key = (table.to_string(), key.to_string());
        self.rows.insert(key, (value, self.ver));
    }
}

#[derive(Default)]
struct State {
    era: u64,
    data: Rows,
    /// When each worker last wrote its entry.
    heard: BTreeMap<String, Instant>,
    is_away: bool,
}

/// A copy from which the store can come back.
pub struct Copy(Rows);

#[derive(Clone)]
pub struct Store {
    pub address: String,
    state: Arc<Mutex<State>>,
    started: Instant,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port for the store");
        let store = Store {
            address: listener.local_addr().expect("no address").to_string(),
            state: Arc::default(),
            started: Instant::now(),
        };
        store.serve_on(listener, false);
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        store
    }

    /// Starts a further listener on the same rows, which names the other addresses of the workers. Returns its address.
    pub fn other_view(&self) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port for the store");
        let address = listener.local_addr().expect("no address").to_string();
        self.serve_on(listener, true);
        address
    }

    fn serve_on(&self, listener: TcpListener, is_other: bool) {
        let serving = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream, is_other));
            }
        });
    }

    /// The operator, or a worker, writes a row.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.data.write(table, key, Some(base64(value.as_bytes())));
    }

    /// A worker writes its entry; whether the store has taken it. The row changes only if more than the
    /// count of writes does.
    pub fn heartbeat(&self, id: &str, entry: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return false;
        }
        state.heard.insert(id.to_string(), Instant::now());
        let value = Some(base64(entry.as_bytes()));
        let key = ("servers".to_string(), id.to_string());
        let known = state.data.rows.get(&key).map(|(value, _)| value);
        if known != Some(&value) {
            state.data.write("servers", id, value);
        }
        true
    }

    /// Removes the entry of a worker that has left.
    pub fn remove_server(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        state.heard.remove(id);
        state.data.write("servers", id, None);
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().data.clone())
    }

    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
    }

    /// Comes back from a copy: versions go back, and the era rises.
    pub fn return_from(&self, copy: &Copy) {
        let mut state = self.state.lock().unwrap();
        state.era += 1;
        state.data = copy.0.clone();
        let now = Instant::now();
        let ids: Vec<String> = state
            .data
            .rows
            .iter()
            .filter(|((table, _), (value, _))| table == "servers" && value.is_some())
            .map(|((_, id), _)| id.clone())
            .collect();
        state.heard = ids.into_iter().map(|id| (id, now)).collect();
        state.is_away = false;
    }

    /// Returns the number of rows of a table, and the newest version among them.
    pub fn table(&self, table: &str) -> (usize, u64) {
        let state = self.state.lock().unwrap();
        let rows = state.data.rows.iter();
        let rows = rows.filter(|((t, _), (value, _))| t == table && value.is_some());
        let versions: Vec<u64> = rows.map(|(_, (_, ver))| *ver).collect();
        (versions.len(), versions.iter().max().copied().unwrap_or(0))
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return;
        }
        let silent: Vec<String> = state
            .heard
            .iter()
            .filter(|(_, at)| at.elapsed() > HEARTBEAT * 3)
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            state.heard.remove(&id);
            state.data.write("servers", &id, None);
        }
    }

    fn serve(&self, stream: TcpStream, is_other: bool) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Ok(head) = read_head(&mut input) {
            let Ok(body) = read_body(&mut input, &head) else {
                return;
            };
            let (status, era, text) = self.answer(head.word(1), &body, is_other);
            let headers = [
                ("Content-Type", "application/json".to_string()),
                ("Store-Era", era.to_string()),
            ];
            if write_answer(&mut out, status, &headers, &text).is_err() {
                return;
            }
        }
    }

    fn answer(&self, url: &str, body: &[u8], is_other: bool) -> (u16, u64, String) {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(n, _)| *n == name);
            found.map_or(String::new(), |(_, value)| decode(value))
        };
        let now_ms = || self.started.elapsed().as_millis() as u64;
        if self.state.lock().unwrap().is_away {
            return (503, self.state.lock().unwrap().era, "{}".into());
        }
        if path == "/jacinthlever/rows-tx" {
            // A transaction takes some milliseconds.
            thread::sleep(Duration::from_millis(5));
            let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
            let mut state = self.state.lock().unwrap();
            if state.is_away {
                return (503, state.era, "{}".into());
            }
            let is_met = body.get("expectedRevision").list().iter().all(|row| {
                let key = (row.get("table").text().into(), row.get("key").text().into());
                let current = state.data.rows.get(&key);
                let ver = current.map_or(0, |(value, ver)| value.as_ref().map_or(0, |_| *ver));
                ver == row.get("ver").number()
            });
            if !is_met {
                return (412, state.era, "{\"rows\":[]}".into());
            }
            for row in body.get("puts").list() {
                let value = row.get("value").text().to_string();
                let (table, key) = (row.get("table").text(), row.get("key").text());
                state.data.write(table, key, Some(value));
            }
            for row in body.get("remove").list() {
                let (table, key) = (row.get("table").text(), row.get("key").text());
                state.data.write(table, key, None);
            }
            let text = format!("{{\"ver\":{},\"nowMs\":{}}}", state.data.ver, now_ms());
            return (200, state.era, text);
        }
        let table = parameter("table");
        let number = |name: &str| parameter(name).parse::<u64>().unwrap_or(0);
        let is_feed = path == "/jacinthlever/rows-feed";
        let (after, from) = (number("after"), parameter("from"));
        let until = Instant::now() + Duration::from_millis(number("waitMs").min(MAX_WAIT));
        loop {
            let state = self.state.lock().unwrap();
            if state.is_away {
                return (503, state.era, "{}".into());
            }
            if is_feed && after > state.data.ver {
                return (410, state.era, "{}".into());
            }
            let mut found: Vec<(&Key, &(Option<String>, u64))> = state
                .data
                .rows
                .iter()
                .filter(|((t, key), _)| *t == table && (is_feed || *key >= from))
                .filter(|(_, (value, ver))| match is_feed {
                    true => *ver > after,
                    false => value.is_some(),
                })
                .collect();
            if is_feed {
                found.sort_by_key(|(_, (_, ver))| *ver);
            }
            let rows: Vec<String> = found
                .into_iter()
                .map(|((table, key), (value, ver))| {
                    let content = match value {
                        Some(value) if is_other && table == "servers" => {
                            let entry = String::from_utf8_lossy(&from_base64(value)).into_owned();
                            let entry = entry.replace(ADDRESS, OTHER_ADDRESS);
                            format!("\"value\":\"{}\"", base64(entry.as_bytes()))
                        }
                        Some(value) => format!("\"value\":\"{value}\""),
                        None => "\"tombstone\":true".into(),
                    };
                    format!(
                        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"ver\":{ver}}}"
                    )
                })
                .collect();
            if !is_feed || !rows.is_empty() || Instant::now() >= until {
                let text = format!(
                    "{{\"rows\":[{}],\"morePages\":false,\"ver\":{},\"nowMs\":{}}}",
                    rows.join(","),
                    state.data.ver,
                    now_ms()
                );
                return (200, state.era, text);
            }
            drop(state);
            thread::sleep(Duration::from_millis(4));
        }
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into()
}
