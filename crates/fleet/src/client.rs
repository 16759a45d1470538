//! A caller, over a published HTTP client library.

use std::{
    collections::BTreeMap,
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use ureq::{Agent, Body, http::Response as HttpResponse};

/// Time after which a caller of the tests gives up.
const CALL_LIMIT: Duration = Duration::from_secs(60);

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// HTTP status; 0 when the connection broke before one.
    pub status: u16,
    /// Headers by name.
    pub headers: BTreeMap<String, String>,
    /// The body, or the text of all parts of a streamed answer.
    pub text: String,
    /// Parts of a streamed answer.
    pub chunks: usize,
    /// Whether the answer came to its end.
    pub is_complete: bool,
    /// The error that came inside a streamed answer.
    pub stream_error: Option<Value>,
    /// Times from the call to each part.
    pub chunk_times: Vec<Duration>,
}

impl Response {
    /// The outcome as the caller was told it; none when it was not told.
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

    /// The request's identity.
    pub fn request(&self) -> &str {
        self.headers.get("x-request-id").map_or("", String::as_str)
    }

    /// The body as JSON; null when it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }

    /// Text of a whole chat answer.
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
    base: String,
    key: String,
    headers: BTreeMap<String, String>,
}

impl Caller {
    /// A caller with a client account's key.
    pub fn new(entry: SocketAddr, key: &str) -> Caller {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_LIMIT))
            .build();
        Caller {
            agent: config.into(),
            base: format!("http://{entry}"),
            key: key.to_owned(),
            headers: BTreeMap::new(),
        }
    }

    /// The same caller with one more header on each request.
    pub fn header(&self, name: &str, value: &str) -> Caller {
        let mut caller = self.clone();
        caller.headers.insert(name.to_owned(), value.to_owned());
        caller
    }

    /// Asks the model for a whole answer.
    pub fn chat(&self, prompt: &str, max_tokens: u32) -> Response {
        let body = chat_body(prompt, max_tokens, false);
        self.call("POST", "/v1/chat/completions", &body.to_string())
    }

    /// Asks the model for a streamed answer; `on_part` sees the count of
    /// parts after each one.
    pub fn stream(
        &self,
        prompt: &str,
        max_tokens: u32,
        mut on_part: impl FnMut(usize),
    ) -> Response {
        let body = chat_body(prompt, max_tokens, true).to_string();
        let started = Instant::now();
        let sent = self.send("POST", "/v1/chat/completions", &body);
        let Ok(mut response) = sent else {
            return Response::default();
        };
        let mut answer = head_of(&response);
        if answer.status != 200 {
            read_whole(&mut response, &mut answer);
            return answer;
        }
        let reader = BufReader::new(response.body_mut().as_reader());
        for line in reader.lines() {
            let Ok(line) = line else {
                return answer;
            };
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                answer.is_complete = true;
                continue;
            }
            take_event(&mut answer, data);
            if answer.chunk_times.len() < answer.chunks {
                answer.chunk_times.push(started.elapsed());
                on_part(answer.chunks);
            }
        }
        answer
    }

    /// Makes any call.
    pub fn call(&self, method: &str, target: &str, body: &str) -> Response {
        match self.send(method, target, body) {
            Ok(mut response) => {
                let mut answer = head_of(&response);
                read_whole(&mut response, &mut answer);
                answer
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
            .uri(format!("{}{target}", self.base))
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

fn head_of(response: &HttpResponse<Body>) -> Response {
    let headers = response.headers().iter().filter_map(|(name, value)| {
        Some((name.to_string(), value.to_str().ok()?.to_owned()))
    });
    Response {
        status: response.status().as_u16(),
        headers: headers.collect(),
        ..Response::default()
    }
}

fn read_whole(response: &mut HttpResponse<Body>, answer: &mut Response) {
    if let Ok(text) = response.body_mut().read_to_string() {
        answer.text = text;
        answer.is_complete = true;
    }
}

fn take_event(answer: &mut Response, data: &str) {
    let event: Value = serde_json::from_str(data).unwrap_or(Value::Null);
    if !event["error"].is_null() {
        answer.stream_error = Some(event["error"].clone());
        return;
    }
    let text = event["choices"][0]["delta"]["content"].as_str();
    if let Some(text) = text.filter(|text| !text.is_empty()) {
        answer.text.push_str(text);
        answer.chunks += 1;
    }
}
