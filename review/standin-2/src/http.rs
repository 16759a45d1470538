//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A request or response head with its headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Words of the first line.
    pub first: Vec<String>,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|h| h.0 == name);
        found.map(|h| h.1.as_str())
    }

    /// Status of a response; 0 if the line has none.
    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    fn length(&self) -> usize {
        let value = self.header("content-length");
        value.and_then(|v| v.trim().parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        let value = self.header("transfer-encoding");
        value.is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }
}

/// A connection with buffered reads.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = vec![0; 64 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Waits for the first bytes of a message; false at the end.
    pub fn wait(&mut self) -> io::Result<bool> {
        Ok(!self.buffer.is_empty() || self.fill()? > 0)
    }

    /// Drops what was read.
    pub fn discard(&mut self) {
        self.buffer.clear();
    }

    /// Reads a head; `None` if the connection ended before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = end {
                let bytes: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(Some(parse_head(&bytes)));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// The next chunk of a chunked body; empty for the last one.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let end = loop {
            let end = self.buffer.windows(2).position(|w| w == b"\r\n");
            if let Some(end) = end {
                break end;
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
        let text = String::from_utf8_lossy(&line);
        let size = usize::from_str_radix(text.trim(), 16);
        let size = size.map_err(|_| io::Error::other("no chunk size"))?;
        let mut bytes = self.exactly(size + 2)?;
        bytes.truncate(size);
        Ok(bytes)
    }

    /// Reads the whole body that a head announces.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.exactly(head.length());
        }
        let mut body = Vec::new();
        loop {
            let chunk = self.chunk()?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a response with a body.
    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {status} S\r\n");
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(body);
        self.send(&bytes)
    }
}

fn parse_head(bytes: &[u8]) -> Head {
    let text = String::from_utf8_lossy(bytes);
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("");
    let first = first.split(' ').map(str::to_owned).collect();
    let header = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_ascii_lowercase(), value.trim().to_owned()))
    };
    Head { first, headers: lines.filter_map(header).collect() }
}

/// A value of the query of a target.
pub fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.into_iter().find(|pair| pair.0 == name)?.1;
    let mut out = Vec::new();
    let bytes = value.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = value.get(at + 1..at + 3);
        let code = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    Some(String::from_utf8_lossy(&out).into_owned())
}
