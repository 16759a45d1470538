//! Requests through the entries of a fleet, as streamed answers.

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use anyhow::{anyhow, ensure};
use chestnutreach_fleet::{Fleet, fleet::ACCOUNTS};
use chestnutreach_http::SharedStream;
use futures_lite::AsyncBufReadExt as _;
use http_types::{Method, Request, Url};

use super::{Target, request_json};

/// Longest time of a request, in milliseconds.
const DEADLINE_MS: &str = "60000";
/// The line that ends a streamed answer.
const END_MARK: &str = "data: [DONE]";

/// The entries of a fleet.
pub(crate) struct Routed {
    entries: Vec<Entry>,
}

struct Entry {
    address: SocketAddr,
    url: Url,
    idle: Mutex<Vec<SharedStream>>,
}

impl Routed {
    /// All of `count` entries.
    pub(crate) fn new(fleet: &Fleet, count: usize) -> Routed {
        let entry = |number| {
            let address = fleet.entry_address(number);
            let url = format!("http://{address}/v1/chat/completions");
            let url = Url::parse(&url).expect("an address makes a URL");
            Entry { address, url, idle: Mutex::default() }
        };
        Routed { entries: (0..count).map(entry).collect() }
    }
}

impl Entry {
    async fn stream(&self) -> anyhow::Result<SharedStream> {
        let idle = self.idle.lock().expect("no holder panics").pop();
        match idle {
            Some(stream) => Ok(stream),
            None => Ok(SharedStream::connect(self.address).await?),
        }
    }

    fn keep(&self, stream: SharedStream) {
        self.idle.lock().expect("no holder panics").push(stream);
    }

    fn http_request(&self, max_tokens: u32) -> Request {
        let mut request = Request::new(Method::Post, self.url.clone());
        let key = ACCOUNTS[0].1;
        request.insert_header("authorization", format!("Bearer {key}"));
        request.insert_header("chestnutreach-deadline-ms", DEADLINE_MS);
        request.set_body(request_json(max_tokens));
        request.insert_header("content-type", "application/json");
        request
    }
}

impl Target for Routed {
    async fn request(
        &self,
        intended: Instant,
        max_tokens: u32,
    ) -> anyhow::Result<Vec<Duration>> {
        let entry = &self.entries[fastrand::usize(..self.entries.len())];
        let stream = entry.stream().await?;
        let request = entry.http_request(max_tokens);
        let sent = async_h1::connect(stream.clone(), request);
        let mut response = sent.await.map_err(|e| anyhow!("{e}"))?;
        let status = response.status();
        if !status.is_success() {
            let body = response.body_string().await.unwrap_or_default();
            return Err(anyhow!("{status}: {body}"));
        }
        let mut times = Vec::with_capacity(max_tokens as usize);
        let mut is_whole = false;
        let mut body = response.take_body();
        let mut line = String::new();
        while body.read_line(&mut line).await? > 0 {
            if has_text(&line) {
                times.push(intended.elapsed());
            } else if line.trim_end() == END_MARK {
                is_whole = true;
            }
            line.clear();
        }
        ensure!(is_whole, "the answer broke off after {}", times.len());
        entry.keep(stream);
        Ok(times)
    }
}

/// Whether an event carries text; the first names only the role.
fn has_text(line: &str) -> bool {
    const CONTENT: &str = "\"content\":\"";
    let at = line.find(CONTENT).map(|at| at + CONTENT.len());
    at.is_some_and(|at| !line[at..].starts_with('"'))
}
