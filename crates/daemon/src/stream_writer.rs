//! Writes a chunked answer of server-sent events, each event out at once.

use std::io::{self, Write};

use serde_json::Value;
use tiny_http::Request;

/// A stream of events to one caller.
pub struct StreamWriter {
    /// The raw writer: the library's own chunked writer keeps small chunks back.
    writer: Box<dyn Write + Send>,
}

impl StreamWriter {
    /// Sends the head of the answer.
    ///
    /// # Errors
    /// Fails if the caller is gone.
    pub fn begin(request: Request) -> io::Result<Self> {
        let mut writer = request.into_writer();
        writer.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
              Transfer-Encoding: chunked\r\n\r\n",
        )?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Sends an event.
    ///
    /// # Errors
    /// Fails if the caller is gone.
    pub fn event(&mut self, data: &Value) -> io::Result<()> {
        self.chunk(&format!("data: {data}\n\n"))
    }

    /// Ends a whole answer.
    ///
    /// # Errors
    /// Fails if the caller is gone.
    pub fn done(mut self) -> io::Result<()> {
        self.chunk("data: [DONE]\n\n")?;
        self.end()
    }

    /// Ends an answer that broke off, without the mark of a whole one.
    ///
    /// # Errors
    /// Fails if the caller is gone.
    pub fn end(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    fn chunk(&mut self, text: &str) -> io::Result<()> {
        write!(self.writer, "{:x}\r\n{text}\r\n", text.len())?;
        self.writer.flush()
    }
}
