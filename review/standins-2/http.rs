//! Plain HTTP/1.1 over blocking sockets, for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message that was read: a request or the head of an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

pub fn read_line(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    stream.read_line(&mut line)?;
    match line.strip_suffix("\r\n") {
        Some(line) => Ok(line.to_string()),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

pub fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Head> {
    let mut head = Head {
        line: read_line(stream)?,
        ..Head::default()
    };
    loop {
        let line = read_line(stream)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok(head);
        };
        head.headers
            .push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
}

/// Reads the next chunk of a chunked body; empty at its end.
pub fn read_chunk(stream: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let size = read_line(stream)?;
    let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size];
    stream.read_exact(&mut chunk)?;
    read_line(stream)?;
    Ok(chunk)
}

pub fn read_body(stream: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(stream)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = head.header("content-length").unwrap_or("0");
    body.resize(length.parse().map_err(io::Error::other)?, 0);
    stream.read_exact(&mut body)?;
    Ok(body)
}

pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Answer\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}

pub fn connect(address: &str, patience: Duration) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let stream = TcpStream::connect_timeout(&address, patience)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a GET and returns the status and the body.
pub fn get(address: &str, path: &str) -> io::Result<(u16, String)> {
    let mut stream = connect(address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    )?;
    let mut stream = BufReader::new(stream);
    let head = read_head(&mut stream)?;
    let body = read_body(&mut stream, &head)?;
    Ok((head.status(), String::from_utf8_lossy(&body).into()))
}
