//! An HTTP client that writes the raw bytes of its requests.

use std::{
    collections::BTreeMap,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpStream},
};

use serde_json::Value;

use super::{CLERK_KEY, TIMEOUT};

/// A request, configured by chained methods.
#[derive(Clone, Debug)]
pub struct Request {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Request {
    /// A request of the clerk's account.
    pub fn new(method: &str, target: &str) -> Request {
        Request {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
        .header("authorization", &format!("Bearer {CLERK_KEY}"))
    }

    /// A chat request with additional fields in its body.
    pub fn chat(extra_fields: Value) -> Request {
        let mut body = serde_json::json!({
            "model": "org/desk-llm",
            "messages": [{"role": "user", "content": "hi"}],
        });
        if let Value::Object(extra_fields) = extra_fields {
            body.as_object_mut().unwrap().extend(extra_fields);
        }
        Request::new("POST", "/v1/chat/completions").body(&body.to_string())
    }

    pub fn header(mut self, name: &str, value: &str) -> Request {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The same request without the headers of this name.
    pub fn without_header(mut self, name: &str) -> Request {
        self.headers.retain(|(n, _)| n != name);
        self
    }

    pub fn body(mut self, body: &str) -> Request {
        self.body = body.as_bytes().to_vec();
        self
    }

    fn to_bytes(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        head += "host: entry\r\n";
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!("content-length: {}\r\n\r\n", self.body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// A response as received by the caller.
#[derive(Clone, Debug, Default)]
pub struct HttpResponse {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// Whether the body arrived completely.
    pub is_complete: bool,
}

impl HttpResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Data of the events of a streamed response.
    pub fn events(&self) -> Vec<&str> {
        let events = self.body.split_terminator("\n\n");
        events.filter_map(|event| event.strip_prefix("data: ")).collect()
    }
}

/// One connection of a caller.
pub struct Caller {
    stream: BufReader<TcpStream>,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> Caller {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Caller { stream: BufReader::new(stream) }
    }

    pub fn send(&mut self, request: &Request) {
        self.send_bytes(&request.to_bytes());
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        // The entry may have closed the connection after an early refusal.
        let _ = self.stream.get_mut().write_all(bytes);
    }

    /// Closes the write half of the connection.
    pub fn shut_down_write(&mut self) {
        let _ = self.stream.get_mut().shutdown(Shutdown::Write);
    }

    /// Reads the response to a request.
    pub fn read_response(&mut self, request: &Request) -> HttpResponse {
        let is_head = request.method == "HEAD";
        let mut response = self.read_head();
        if is_head || response.status == 204 {
            response.is_complete = true;
            return response;
        }
        match response.header("content-length").map(str::to_owned) {
            Some(length) => self.read_sized_body(&mut response, &length),
            None => self.read_chunked_body(&mut response),
        }
        response
    }

    /// Reads the head of a response.
    pub fn read_head(&mut self) -> HttpResponse {
        let mut response = HttpResponse::default();
        let status_line = self.read_line();
        let status = status_line.split(' ').nth(1);
        response.status = status
            .and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("no status: {status_line:?}"));
        loop {
            let line = self.read_line();
            let Some((name, value)) = line.split_once(": ") else {
                return response;
            };
            response.headers.insert(name.to_owned(), value.to_owned());
        }
    }

    /// Reads the next chunk of a chunked body; `None` if the connection ends.
    pub fn read_chunk(&mut self) -> Option<String> {
        let length = self.read_line();
        let length = usize::from_str_radix(&length, 16).ok()?;
        let mut bytes = vec![0; length + 2];
        self.stream.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        Some(String::from_utf8(bytes).unwrap())
    }

    fn read_sized_body(&mut self, response: &mut HttpResponse, length: &str) {
        let mut bytes = vec![0; length.parse().unwrap()];
        response.is_complete = self.stream.read_exact(&mut bytes).is_ok();
        response.body = String::from_utf8(bytes).unwrap();
    }

    fn read_chunked_body(&mut self, response: &mut HttpResponse) {
        while let Some(chunk) = self.read_chunk() {
            if chunk.is_empty() {
                response.is_complete = true;
                return;
            }
            response.body.push_str(&chunk);
        }
    }

    /// Reads the next line; empty at the end of the connection.
    fn read_line(&mut self) -> String {
        let mut line = String::new();
        let _ = self.stream.read_line(&mut line);
        line.trim_end().to_owned()
    }
}
