//! Writes a chunked response of server-sent events, with a flush after each event.

use std::io::{self, Write};

use serde_json::Value;
use tiny_http::Request;

/// A stream of server-sent events to one caller.
pub struct StreamWriter {
    /// The raw writer of the connection: the chunked writer of the library buffers small chunks.
    writer: Box<dyn Write + Send>,
}

impl StreamWriter {
    /// Sends the head of the response.
    ///
    /// # Errors
    /// Fails if the caller has disconnected.
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
    /// Fails if the caller has disconnected.
    pub fn send_event(&mut self, data: &Value) -> io::Result<()> {
        self.write_chunk(&format!("data: {data}\n\n"))
    }

    /// Ends a complete response.
    ///
    /// # Errors
    /// Fails if the caller has disconnected.
    pub fn finish(mut self) -> io::Result<()> {
        self.write_chunk("data: [DONE]\n\n")?;
        self.abort()
    }

    /// Ends an incomplete response, without the `[DONE]` event of a complete one.
    ///
    /// # Errors
    /// Fails if the caller has disconnected.
    pub fn abort(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    fn write_chunk(&mut self, text: &str) -> io::Result<()> {
        write!(self.writer, "{:x}\r\n{text}\r\n", text.len())?;
        self.writer.flush()
    }
}
