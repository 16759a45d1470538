//! HTTP/1.1 over blocking sockets, as much as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Bytes read from a connection and not yet consumed.
pub struct Conn {
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found =
            self.headers.iter().filter(|h| h.0.eq_ignore_ascii_case(name));
        found.next().map(|h| h.1.as_str())
    }

    /// Word of the first line.
    pub fn word(&self, at: usize) -> &str {
        self.line.split(' ').nth(at).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

impl Conn {
    pub fn new(socket: TcpStream) -> Conn {
        let _ = socket.set_nodelay(true);
        Conn { socket, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.socket.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = end {
                let text: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&text).into_owned();
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|l| l.split_once(':'))
                    .map(|(n, v)| (n.to_owned(), v.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { line, headers }));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    pub fn exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn text_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) =
                self.buffer.windows(2).position(|w| w == b"\r\n")
            {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line).trim().to_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// The next chunk of a chunked body; empty for the last one.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.text_line()?;
        let size = usize::from_str_radix(&line, 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let bytes = self.exact(size)?;
        self.text_line()?;
        Ok(bytes)
    }

    /// The body of a message with a length or in chunks.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if let Some(length) = head.get("content-length") {
            return self.exact(length.parse().unwrap_or(0));
        }
        let mut body = Vec::new();
        if head.get("transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                body.extend_from_slice(&chunk);
            }
        }
        Ok(body)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }

    /// Sends a response with a length.
    pub fn respond(
        &mut self,
        status: u16,
        headers: &str,
        body: &str,
    ) -> io::Result<()> {
        let text = format!(
            "HTTP/1.1 {status} x\r\n{headers}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.send(text.as_bytes())
    }
}
