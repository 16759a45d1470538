//! A caller of an entry, based on a published HTTP client library.

use std::{
    collections::BTreeMap,
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use ureq::{Agent, Body, http::Response as HttpResponse};

/// Timeout of a whole call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Response that a caller received.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// HTTP status; 0 if the call failed before a status was received.
    pub status: u16,
    /// Headers by name.
    pub headers: BTreeMap<String, String>,
    /// The body, or the text of all chunks of a streamed answer.
    pub text: String,
    /// Number of chunks of a streamed answer.
    pub chunks: usize,
    /// Whether the response was received to its end.
    pub is_complete: bool,
    /// Error event of a streamed answer.
    pub stream_error: Option<Value>,
    /// Time from the start of the call to each chunk.
    pub chunk_times: Vec<Duration>,
}

impl Response {
    /// The outcome reported to the caller; none if it wasn't reported.
    pub fn outcome(&self) -> Option<&str> {
        if let Some(error) = &self.stream_error {
            return error["outcome"].as_str();
        }
        if self.chunks > 0 && self.is_complete {
            return Some("completed");
        }
        let header = self.headers.get("chestnutreach-outcome");
        header.map(String::as_str)
    }

    /// The request ID; empty if the response has none.
    pub fn request(&self) -> &str {
        self.headers.get("x-request-id").map_or("", String::as_str)
    }

    /// The body as JSON; null if the body isn't valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }

    /// Text of a chat answer, streamed or not.
    pub fn content(&self) -> String {
        if self.chunks > 0 {
            return self.text.clone();
        }
        let json = self.json();
        let content = &json["choices"][0]["message"]["content"];
        content.as_str().unwrap_or_default().to_owned()
    }
}

/// A caller of one entry.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: Agent,
    base_url: String,
    key: String,
    headers: BTreeMap<String, String>,
}

impl Caller {
    /// Creates a caller with the key of a client account.
    pub fn new(entry: SocketAddr, key: &str) -> Caller {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Caller {
            agent: config.into(),
            base_url: format!("http://{entry}"),
            key: key.to_owned(),
            headers: BTreeMap::new(),
        }
    }

    /// Returns a copy of the caller that sends an additional header with each
    /// request.
    pub fn header(&self, name: &str, value: &str) -> Caller {
        let mut caller = self.clone();
        caller.headers.insert(name.to_owned(), value.to_owned());
        caller
    }

    /// Requests an answer that isn't streamed.
    pub fn chat(&self, prompt: &str, max_tokens: u32) -> Response {
        let body = chat_body(prompt, max_tokens, false);
        self.call("POST", "/v1/chat/completions", &body.to_string())
    }

    /// Requests a streamed answer. Calls `on_chunk` after each chunk with the
    /// number of chunks received so far.
    pub fn stream(
        &self,
        prompt: &str,
        max_tokens: u32,
        mut on_chunk: impl FnMut(usize),
    ) -> Response {
        let body = chat_body(prompt, max_tokens, true).to_string();
        let started = Instant::now();
        let result = self.send("POST", "/v1/chat/completions", &body);
        let Ok(mut http_response) = result else {
            return Response::default();
        };
        let mut response = response_head(&http_response);
        if response.status != 200 {
            read_body(&mut http_response, &mut response);
            return response;
        }
        let reader = BufReader::new(http_response.body_mut().as_reader());
        for line in reader.lines() {
            let Ok(line) = line else {
                return response;
            };
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                response.is_complete = true;
                continue;
            }
            apply_event(&mut response, data);
            if response.chunk_times.len() < response.chunks {
                response.chunk_times.push(started.elapsed());
                on_chunk(response.chunks);
            }
        }
        response
    }

    /// Sends a request with any method, target and body.
    pub fn call(&self, method: &str, target: &str, body: &str) -> Response {
        match self.send(method, target, body) {
            Ok(mut http_response) => {
                let mut response = response_head(&http_response);
                read_body(&mut http_response, &mut response);
                response
            }
            Err(_) => Response::default(),
        }
    }

    fn send(
        &self,
        method: &str,
        target: &str,
        body: &str,
    ) -> Result<HttpResponse<Body>, ureq::Error> {
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("{}{target}", self.base_url))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(body.to_owned())?;
        if method == "GET" {
            return self.agent.run(request.map(|_| ()));
        }
        self.agent.run(request)
    }
}

fn chat_body(prompt: &str, max_tokens: u32, is_stream: bool) -> Value {
    json!({
        "model": "desk-llm",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": is_stream,
    })
}

fn response_head(http_response: &HttpResponse<Body>) -> Response {
    let headers =
        http_response.headers().iter().filter_map(|(name, value)| {
            Some((name.to_string(), value.to_str().ok()?.to_owned()))
        });
    Response {
        status: http_response.status().as_u16(),
        headers: headers.collect(),
        ..Response::default()
    }
}

fn read_body(http_response: &mut HttpResponse<Body>, response: &mut Response) {
    if let Ok(text) = http_response.body_mut().read_to_string() {
        response.text = text;
        response.is_complete = true;
    }
}

fn apply_event(response: &mut Response, data: &str) {
    let event: Value = serde_json::from_str(data).unwrap_or(Value::Null);
    if !event["error"].is_null() {
        response.stream_error = Some(event["error"].clone());
        return;
    }
    let text = event["choices"][0]["delta"]["content"].as_str();
    if let Some(text) = text.filter(|text| !text.is_empty()) {
        response.text.push_str(text);
        response.chunks += 1;
    }
}
