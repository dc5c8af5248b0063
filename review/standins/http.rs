//! A minimal HTTP/1.1 server and client over blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A received request.
pub struct Request {
    pub method: String,
    pub target: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_string())
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(n, _)| n == name)
        .map(|(_, v)| v.as_str())
}

/// The writing side of a connection, which several threads may use.
pub type Writer = Arc<Mutex<TcpStream>>;

/// Serves a listener until the process ends, each connection in a thread of its own. `handle` returns
/// whether the connection is kept.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(Request, &Writer) -> bool + Clone + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || drop(serve_connection(stream, handle)));
        }
    });
}

pub fn serve_connection(
    stream: TcpStream,
    handle: impl Fn(Request, &Writer) -> bool,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let writer: Writer = Arc::new(Mutex::new(stream));
    while let Some(request) = read_request(&mut reader)? {
        if !handle(request, &writer) {
            break;
        }
    }
    let stream = writer.lock().expect("poisoned lock");
    stream.shutdown(std::net::Shutdown::Both)
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(headers);
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace().map(str::to_string);
    let (method, target) = (
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        body = read_chunks(reader)?;
    } else if let Some(length) = find(&headers, "content-length") {
        body = vec![0; length.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let length = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; length];
        reader.read_exact(&mut chunk)?;
        reader.read_line(&mut String::new())?;
        if length == 0 {
            return Ok(body);
        }
        body.extend(chunk);
    }
}

/// Encodes a complete answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Writes bytes; returns whether that was possible.
pub fn send(writer: &Writer, bytes: &[u8]) -> bool {
    writer
        .lock()
        .expect("poisoned lock")
        .write_all(bytes)
        .is_ok()
}

/// An answer that a client has received.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the answer; `None` if the connection ends before one.
pub fn call(
    address: &str,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> Option<Answer> {
    let to = address.parse().ok()?;
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    let mut text = format!(
        "{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes).ok()?;
    read_answer(&mut BufReader::new(stream)).ok()
}

fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok());
    let headers = read_headers(reader)?;
    let mut answer = Answer {
        status: status.unwrap_or(0),
        headers,
        body: Vec::new(),
        is_complete: true,
    };
    if answer.header("transfer-encoding").is_some() {
        // What arrives before a break is kept.
        loop {
            let mut size = String::new();
            let is_read = reader.read_line(&mut size).is_ok_and(|n| n > 0);
            let Some(length) = usize::from_str_radix(size.trim(), 16)
                .ok()
                .filter(|_| is_read)
            else {
                answer.is_complete = false;
                return Ok(answer);
            };
            let mut chunk = vec![0; length];
            let is_whole = reader.read_exact(&mut chunk).is_ok()
                && reader.read_line(&mut String::new()).is_ok();
            if !is_whole {
                answer.is_complete = false;
                return Ok(answer);
            }
            if length == 0 {
                return Ok(answer);
            }
            answer.body.extend(chunk);
        }
    }
    let length = answer
        .header("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    answer.body = vec![0; length];
    answer.is_complete = reader.read_exact(&mut answer.body).is_ok();
    Ok(answer)
}
