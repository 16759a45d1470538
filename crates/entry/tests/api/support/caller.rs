//! A caller that writes the bytes of its requests itself.

use std::{
    collections::BTreeMap,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpStream},
};

use serde_json::Value;

use super::{CLERK, LIMIT};

/// A request, set by chained methods.
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
        .header("authorization", &format!("Bearer {CLERK}"))
    }

    /// A chat request with more fields.
    pub fn chat(more: Value) -> Request {
        let mut body = serde_json::json!({
            "model": "org/desk-llm",
            "messages": [{"role": "user", "content": "hi"}],
        });
        if let Value::Object(more) = more {
            body.as_object_mut().unwrap().extend(more);
        }
        Request::new("POST", "/v1/chat/completions").body(&body.to_string())
    }

    pub fn header(mut self, name: &str, value: &str) -> Request {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The same request without the headers of this name.
    pub fn without(mut self, name: &str) -> Request {
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

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// The body came to its stated end.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The body as JSON; null when it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Data of the events of a streamed answer.
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
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        Caller { stream: BufReader::new(stream) }
    }

    pub fn send(&mut self, request: &Request) {
        self.send_bytes(&request.to_bytes());
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        // The entry may have refused the rest already.
        let _ = self.stream.get_mut().write_all(bytes);
    }

    /// Says that nothing more will be sent.
    pub fn shut_down(&mut self) {
        let _ = self.stream.get_mut().shutdown(Shutdown::Write);
    }

    /// Reads the answer to a request.
    pub fn answer(&mut self, request: &Request) -> Answer {
        let is_head = request.method == "HEAD";
        let mut answer = self.read_head();
        if is_head || answer.status == 204 {
            answer.is_whole = true;
            return answer;
        }
        match answer.header("content-length").map(str::to_owned) {
            Some(length) => self.read_length(&mut answer, &length),
            None => self.read_chunks(&mut answer),
        }
        answer
    }

    /// Reads an answer's head.
    pub fn read_head(&mut self) -> Answer {
        let mut answer = Answer::default();
        let status_line = self.read_line();
        let status = status_line.split(' ').nth(1);
        answer.status = status
            .and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("no status: {status_line:?}"));
        loop {
            let line = self.read_line();
            let Some((name, value)) = line.split_once(": ") else {
                return answer;
            };
            answer.headers.insert(name.to_owned(), value.to_owned());
        }
    }

    /// Reads the next chunk of a streamed body; none at its end.
    pub fn read_chunk(&mut self) -> Option<String> {
        let length = self.read_line();
        let length = usize::from_str_radix(&length, 16).ok()?;
        let mut bytes = vec![0; length + 2];
        self.stream.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        Some(String::from_utf8(bytes).unwrap())
    }

    fn read_length(&mut self, answer: &mut Answer, length: &str) {
        let mut bytes = vec![0; length.parse().unwrap()];
        answer.is_whole = self.stream.read_exact(&mut bytes).is_ok();
        answer.body = String::from_utf8(bytes).unwrap();
    }

    fn read_chunks(&mut self, answer: &mut Answer) {
        while let Some(chunk) = self.read_chunk() {
            if chunk.is_empty() {
                answer.is_whole = true;
                return;
            }
            answer.body.push_str(&chunk);
        }
    }

    /// The next line; nothing at the connection's end.
    fn read_line(&mut self) -> String {
        let mut line = String::new();
        let _ = self.stream.read_line(&mut line);
        line.trim_end().to_owned()
    }
}
