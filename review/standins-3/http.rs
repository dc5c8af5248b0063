//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.into_iter().find(|(n, _)| *n == name).map_or("", |(_, v)| v);
        decode(value)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// A connection with what was received on it and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut piece = [0; 16384];
        match self.stream.read(&mut piece)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buf.extend_from_slice(&piece[..n]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            self.fill()?;
        }
        Ok(self.buf.drain(..n).collect())
    }

    fn head(&mut self) -> io::Result<(String, Vec<(String, String)>)> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok((first, headers));
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            headers.push((name.to_string(), value.trim().to_string()));
        }
    }

    /// Returns the next piece of a body in chunks; `None` after the last one.
    fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let piece = self.take(size)?;
        self.line()?;
        Ok((size > 0).then_some(piece))
    }

    pub fn request(&mut self) -> io::Result<Request> {
        let (first, headers) = self.head()?;
        let mut words = first.split(' ');
        let path = words.nth(1).unwrap_or("").to_string();
        let mut body = Vec::new();
        if header(&headers, "transfer-encoding").is_some() {
            while let Some(piece) = self.chunk()? {
                body.extend(piece);
            }
        } else if let Some(length) = header(&headers, "content-length") {
            body = self.take(length.parse().unwrap_or(0))?;
        }
        Ok(Request {
            path,
            headers,
            body,
        })
    }

    /// Sends an answer with a length.
    pub fn answer(&mut self, status: u16, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// A listener whose connections can all be cut off.
#[derive(Clone)]
pub struct Server {
    stop: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves each request with `handle` until stopped.
    pub fn start<F>(listener: TcpListener, handle: F) -> Self
    where
        F: Fn(&Request, &mut Conn) -> io::Result<()> + Send + Sync + 'static,
    {
        let server = Self {
            stop: Arc::default(),
            open: Arc::default(),
        };
        let (stop, open) = (server.stop.clone(), server.open.clone());
        let handle = Arc::new(handle);
        listener.set_nonblocking(true).expect("listener");
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (stop, handle) = (stop.clone(), handle.clone());
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(request) = conn.request() {
                        if stop.load(Ordering::SeqCst) || handle(&request, &mut conn).is_err() {
                            break;
                        }
                    }
                    let _ = conn.stream.shutdown(Shutdown::Both);
                });
            }
        });
        server
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// The answer to a client's request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Sends a request on a new connection and reads the answer, for `within` at most.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    within: Duration,
) -> Answer {
    let mut answer = Answer::default();
    let _ = try_call(address, method, path, headers, body, within, &mut answer);
    answer
}

fn try_call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    within: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let until = Instant::now() + within;
    let address = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(within))?;
    stream.set_read_timeout(Some(within))?;
    let mut conn = Conn::new(stream);
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    conn.stream.write_all(&bytes)?;
    let (first, headers) = conn.head()?;
    answer.status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    answer.headers = headers;
    if answer.header("transfer-encoding").is_some() {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            conn.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
            match conn.chunk()? {
                Some(piece) => answer.body.extend(piece),
                None => break,
            }
        }
    } else {
        let length = answer.header("content-length").and_then(|l| l.parse().ok());
        answer.body = conn.take(length.unwrap_or(0))?;
    }
    answer.is_whole = true;
    Ok(())
}
