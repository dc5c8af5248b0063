//! Stand-in of a model worker.

use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Head, read_body, read_head, write_answer};
use crate::json::Json;
use crate::record::Record;
use crate::store::{ADDRESS, HEARTBEAT, OTHER_ADDRESS, Store};

/// Prompt tokens that a prefill worker reads in a millisecond.
const TOKENS_PER_MS: u64 = 33;

/// Time in which a worker changes its stage.
const STAGE_SWITCH: Duration = Duration::from_secs(6);

/// Time after which a worker cuts off an answer that nobody reads.
const UNREAD_PATIENCE: Duration = Duration::from_secs(5);

struct Inner {
    id: String,
    service: String,
    version: String,
    zone: String,
    address: String,
    born: u64,
    /// `None` while it changes.
    stage: Mutex<Option<&'static str>>,
    state: Mutex<&'static str>,
    /// Whether it still writes its entry.
    reports: AtomicBool,
    has_ended: AtomicBool,
    next_handle: AtomicU64,
    seq: AtomicU64,
    fence: AtomicU64,
    running: AtomicU64,
    /// It spoils every so many-th answer; none if it is 0.
    spoils: AtomicU64,
    answers: AtomicU64,
    /// Until when it sends nothing.
    silent_until: Mutex<Instant>,
    /// Whether nothing gets through to the other address.
    is_cut: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Connections to the other address.
    cuttable: Mutex<Vec<TcpStream>>,
    record: Record,
    store: Store,
}

/// A worker. It takes streams of `pieces` events with a pause of `gap` ms, both from the query of the path.
#[derive(Clone)]
pub struct Worker(Arc<Inner>);

impl Worker {
    /// Starts a worker and writes its entry.
    pub fn start(
        store: &Store,
        record: &Record,
        service: &str,
        id: &str,
        version: &str,
        stage: &'static str,
        zone: &str,
    ) -> Worker {
        let (listener, other) = loop {
            let listener = TcpListener::bind((ADDRESS, 0)).expect("no port for a worker");
            let port = listener.local_addr().expect("no address").port();
            if let Ok(other) = TcpListener::bind((OTHER_ADDRESS, port)) {
                break (listener, other);
            }
        };
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let worker = Worker(Arc::new(Inner {
            id: id.into(),
            service: service.into(),
            version: version.into(),
            zone: zone.into(),
            address: listener.local_addr().expect("no address").to_string(),
            born: born.map_or(0, |time| time.as_millis() as u64),
            stage: Mutex::new(Some(stage)),
            state: Mutex::new("ready"),
            reports: AtomicBool::new(true),
            has_ended: AtomicBool::new(false),
            next_handle: AtomicU64::new(1),
            seq: AtomicU64::new(0),
            fence: AtomicU64::new(0),
            running: AtomicU64::new(0),
            spoils: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            silent_until: Mutex::new(Instant::now()),
            is_cut: AtomicBool::new(false),
            connections: Mutex::default(),
            cuttable: Mutex::default(),
            record: record.clone(),
            store: store.clone(),
        }));
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in other.incoming().flatten() {
                if serving.0.is_cut.load(Ordering::SeqCst) {
                    return;
                }
                let worker = serving.clone();
                if let Ok(handle) = stream.try_clone() {
                    worker.0.cuttable.lock().unwrap().push(handle);
                }
                thread::spawn(move || worker.serve(stream));
            }
        });
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.0.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let worker = serving.clone();
                if let Ok(handle) = stream.try_clone() {
                    worker.0.connections.lock().unwrap().push(handle);
                }
                thread::spawn(move || worker.serve(stream));
            }
        });
        worker.report();
        let reporting = worker.clone();
        thread::spawn(move || {
            while !reporting.0.has_ended.load(Ordering::SeqCst) {
                thread::sleep(HEARTBEAT);
                reporting.report();
            }
        });
        record.line(&format!(
            "worker {id} of version {version} starts as {stage} at {}",
            worker.0.address
        ));
        worker
    }

    fn report(&self) {
        let worker = &self.0;
        if !worker.reports.load(Ordering::SeqCst) || worker.has_ended.load(Ordering::SeqCst) {
            return;
        }
        let stage = match *worker.stage.lock().unwrap() {
            Some(stage) => format!("\"{stage}\""),
            None => "null".into(),
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":64,\
             \"state\":\"{}\",\"coldRemainingMs\":0,\"stage\":{stage},\"born\":{},\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{}}}",
            worker.service,
            worker.address,
            worker.zone,
            worker.version,
            worker.state.lock().unwrap(),
            worker.born,
            worker.seq.load(Ordering::SeqCst),
        );
        worker.store.heartbeat(&worker.id, &entry);
    }

    /// Leaves without a report of draining: the entry is removed, and it serves on.
    pub fn leave_list(&self) {
        self.0.reports.store(false, Ordering::SeqCst);
        self.0.store.remove_server(&self.0.id);
        self.0.record.line(&format!(
            "worker {} leaves the list and serves on",
            self.0.id
        ));
    }

    /// Cuts the instance off that uses the other address: its connections are closed, and new ones refused.
    pub fn cut(&self) {
        self.0.is_cut.store(true, Ordering::SeqCst);
        let address = self.0.address.replace(ADDRESS, OTHER_ADDRESS);
        // The accepting thread has to see it.
        let _ = TcpStream::connect(address);
        for stream in self.0.cuttable.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Sends nothing for a time, and then goes on.
    pub fn fall_silent(&self, time: Duration) {
        *self.0.silent_until.lock().unwrap() = Instant::now() + time;
        let id = &self.0.id;
        let text = format!("worker {id} falls silent for {:.2} s", time.as_secs_f64());
        self.0.record.line(&text);
    }

    /// Spoils every so many-th answer from now on, with 0 none.
    pub fn spoil(&self, every: u64) {
        self.0.spoils.store(every, Ordering::SeqCst);
        let id = &self.0.id;
        self.0.record.line(&match every {
            0 => format!("worker {id} spoils no answers any more"),
            _ => format!("worker {id} spoils one of {every} answers"),
        });
    }

    /// Whether the present answer is to be spoiled.
    fn is_spoiled(&self) -> bool {
        let number = self.0.answers.fetch_add(1, Ordering::SeqCst);
        let every = self.0.spoils.load(Ordering::SeqCst);
        every > 0 && number.is_multiple_of(every)
    }

    /// Writes an answer in JSON. A spoiled one has as many other bytes.
    fn write_json(
        &self,
        out: &mut TcpStream,
        headers: &[(&str, String)],
        text: &str,
        is_spoiled: bool,
    ) -> std::io::Result<()> {
        match is_spoiled {
            true => write_answer(out, 200, headers, &"#".repeat(text.len())),
            false => write_answer(out, 200, headers, text),
        }
    }

    fn wait_while_silent(&self) {
        loop {
            let until = *self.0.silent_until.lock().unwrap();
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left);
        }
    }

    /// Ends the process: the listener and all connections are closed.
    pub fn end(&self) {
        self.0.has_ended.store(true, Ordering::SeqCst);
        // The accepting thread has to see it.
        let _ = TcpStream::connect(&self.0.address);
        for stream in self.0.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.0.record.line(&format!("worker {} ends", self.0.id));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(UNREAD_PATIENCE));
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Ok(head) = read_head(&mut input) {
            let Ok(body) = read_body(&mut input, &head) else {
                return;
            };
            if self.0.has_ended.load(Ordering::SeqCst) {
                return;
            }
            self.wait_while_silent();
            if self.answer(&mut out, &head, &body).is_err() {
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer(&self, out: &mut TcpStream, head: &Head, body: &[u8]) -> std::io::Result<()> {
        let worker = &self.0;
        let (method, path) = (head.word(0), head.word(1));
        let request = head.header("request-id").unwrap_or("");
        let is_spoiled = self.is_spoiled();
        if is_spoiled {
            let text = format!(
                "worker {} spoils its answer to {method} {path} {request}",
                worker.id
            );
            worker.record.line(&text);
        }
        let running = worker.running.load(Ordering::SeqCst);
        let mut headers = vec![("Server-Load", format!("{running},0,64"))];
        if !request.is_empty() {
            headers.push(("Request-Id", request.to_string()));
        }
        let is_other = head
            .header("expect-instance")
            .is_some_and(|id| id != worker.id);
        let not_run = ("Not-Executed", "1".to_string());
        if is_other {
            headers.push(not_run);
            return write_answer(out, 421, &headers, "");
        }
        let json = ("Content-Type", "application/json".to_string());
        let stage = *worker.stage.lock().unwrap();
        if path == "/jacinthlever/report" {
            headers.push(json);
            let text = format!(
                "{{\"stage\":\"{}\",\"models\":[],\"busy\":{},\"seq\":{},\"waiting\":0,\"running\":{running},\
                 \"kvUsed\":0,\"kvTotal\":40000,\"kvHandles\":0,\"born\":{}}}",
                stage.unwrap_or(""),
                stage.is_none(),
                worker.seq.load(Ordering::SeqCst),
                worker.born
            );
            return self.write_json(out, &headers, &text, is_spoiled);
        }
        if path == "/jacinthlever/order" {
            let status = self.order(&String::from_utf8_lossy(body));
            return write_answer(out, status, &headers, "");
        }
        if path == "/jacinthlever/hold-take" {
            headers.push(json);
            let hold = worker.next_handle.fetch_add(1, Ordering::SeqCst);
            let text = format!("{{\"kvHold\":\"{}-{hold}\"}}", worker.id);
            return self.write_json(out, &headers, &text, is_spoiled);
        }
        if method == "DELETE" {
            return self.write_json(out, &headers, "{}", is_spoiled);
        }
        if path == "/health" {
            headers.push(("Instance-Id", worker.id.clone()));
            return write_answer(out, 200, &headers, "");
        }
        if request.is_empty() {
            headers.push(not_run);
            return write_answer(out, 400, &headers, "");
        }
        if head.header("serving-stage") == Some("prefill") {
            if stage != Some("prefill") {
                headers.push(not_run);
                return write_answer(out, 421, &headers, "");
            }
            let counts = head.header("token-counts").unwrap_or("0,0");
            let tokens: u64 = counts.split(',').next().unwrap_or("").parse().unwrap_or(0);
            thread::sleep(Duration::from_millis(tokens / TOKENS_PER_MS + 5));
            let handle = worker.next_handle.fetch_add(1, Ordering::SeqCst);
            headers.push(json);
            let text = format!(
                "{{\"kvHandle\":\"{}-{handle}\",\"tokens\":{tokens},\"version\":1}}",
                worker.id
            );
            return self.write_json(out, &headers, &text, is_spoiled);
        }
        if stage != Some("decode") {
            headers.push(not_run);
            return write_answer(out, 421, &headers, "");
        }
        worker.running.fetch_add(1, Ordering::SeqCst);
        let streamed = self.stream(out, head, headers, is_spoiled);
        worker.running.fetch_sub(1, Ordering::SeqCst);
        streamed
    }

    fn stream(
        &self,
        out: &mut TcpStream,
        head: &Head,
        mut headers: Vec<(&str, String)>,
        is_spoiled: bool,
    ) -> std::io::Result<()> {
        let worker = &self.0;
        let parameter = |name: &str| -> Option<u64> {
            let (_, query) = head.word(1).split_once('?')?;
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name)?.1.parse().ok()
        };
        let pieces = parameter("pieces").unwrap_or(5);
        let gap = Duration::from_millis(parameter("gap").unwrap_or(100));
        let last = head.header("last-event-id").and_then(|id| id.parse().ok());
        let first: u64 = last.unwrap_or(0) + 1;
        let request = head.header("request-id").unwrap_or("").to_string();
        worker.record.line(&format!(
            "worker {} ({}) runs {request} from event {first}",
            worker.id, worker.version
        ));
        headers.push(("Server-Stamp", format!("{}.{request}", worker.id)));
        headers.push(("Weight-Versions", "1".into()));
        headers.push(("Content-Type", "text/event-stream".into()));
        headers.push(("Transfer-Encoding", "chunked".into()));
        let mut text = "HTTP/1.1 200 OK\r\n".to_string();
        for (name, value) in &headers {
            text += &format!("{name}: {value}\r\n");
        }
        out.write_all((text + "\r\n").as_bytes())?;
        let began = Instant::now();
        for piece in first..=pieces {
            thread::sleep(gap);
            self.wait_while_silent();
            if worker.has_ended.load(Ordering::SeqCst) || has_left(out) {
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            // A spoiled stream is broken off in the middle.
            if is_spoiled && piece > first.midpoint(pieces) {
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            let event = format!("id: {piece}\ndata: {} piece {piece}\n\n", worker.version);
            out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        out.write_all(b"0\r\n\r\n")?;
        worker.record.line(&format!(
            "worker {} has run {request} to its end in {:.1} s",
            worker.id,
            began.elapsed().as_secs_f64()
        ));
        Ok(())
    }

    fn order(&self, body: &str) -> u16 {
        let worker = &self.0;
        let order = Json::parse(body).unwrap_or(Json::Null);
        let (stage, token) = (
            order.get("stage").text(),
            order.get("fencingToken").number(),
        );
        worker.record.line(&format!(
            "worker {} gets the order {stage} of {} with fence {token}",
            worker.id,
            order.get("holder").text()
        ));
        let stage = match stage {
            "prefill" => "prefill",
            "decode" => "decode",
            _ => return 400,
        };
        if token < worker.fence.load(Ordering::SeqCst) {
            return 412;
        }
        worker.fence.store(token, Ordering::SeqCst);
        let mut current = worker.stage.lock().unwrap();
        match *current {
            None => 409,
            Some(same) if same == stage => 200,
            Some(_) => {
                *current = None;
                drop(current);
                worker.seq.fetch_add(1, Ordering::SeqCst);
                self.report();
                let switching = self.clone();
                thread::spawn(move || {
                    while switching.0.running.load(Ordering::SeqCst) > 0 {
                        thread::sleep(Duration::from_millis(50));
                    }
                    thread::sleep(STAGE_SWITCH);
                    *switching.0.stage.lock().unwrap() = Some(stage);
                    switching.report();
                });
                202
            }
        }
    }
}

/// Whether the other side has closed the connection.
fn has_left(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let mut byte = [0; 1];
    let left = match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    left
}
