//! Streamed requests through the entries of a fleet.

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

const DEADLINE_MS: &str = "60000";
const END_MARK: &str = "data: [DONE]";

/// The entries of a fleet.
pub(crate) struct RoutedTarget {
    entries: Vec<Entry>,
}

struct Entry {
    address: SocketAddr,
    url: Url,
    idle_streams: Mutex<Vec<SharedStream>>,
}

impl RoutedTarget {
    /// Creates a target for the first `count` entries.
    pub(crate) fn new(fleet: &Fleet, count: usize) -> RoutedTarget {
        let entry = |number| {
            let address = fleet.entry_address(number);
            let url = format!("http://{address}/v1/chat/completions");
            let url = Url::parse(&url).expect("the address forms a valid URL");
            Entry { address, url, idle_streams: Mutex::default() }
        };
        RoutedTarget { entries: (0..count).map(entry).collect() }
    }
}

impl Entry {
    async fn acquire_stream(&self) -> anyhow::Result<SharedStream> {
        let idle = self.idle_streams.lock().expect("no holder panics").pop();
        match idle {
            Some(stream) => Ok(stream),
            None => Ok(SharedStream::connect(self.address).await?),
        }
    }

    fn return_stream(&self, stream: SharedStream) {
        self.idle_streams.lock().expect("no holder panics").push(stream);
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

impl Target for RoutedTarget {
    async fn request(
        &self,
        scheduled: Instant,
        max_tokens: u32,
    ) -> anyhow::Result<Vec<Duration>> {
        let entry = &self.entries[fastrand::usize(..self.entries.len())];
        let stream = entry.acquire_stream().await?;
        let request = entry.http_request(max_tokens);
        let sent = async_h1::connect(stream.clone(), request);
        let mut response = sent.await.map_err(|e| anyhow!("{e}"))?;
        let status = response.status();
        if !status.is_success() {
            let body = response.body_string().await.unwrap_or_default();
            return Err(anyhow!("{status}: {body}"));
        }
        let mut times = Vec::with_capacity(max_tokens as usize);
        let mut is_complete = false;
        let mut body = response.take_body();
        let mut line = String::new();
        while body.read_line(&mut line).await? > 0 {
            if has_text(&line) {
                times.push(scheduled.elapsed());
            } else if line.trim_end() == END_MARK {
                is_complete = true;
            }
            line.clear();
        }
        ensure!(
            is_complete,
            "the answer ended after {} tokens, without [DONE]",
            times.len()
        );
        entry.return_stream(stream);
        Ok(times)
    }
}

/// Whether an event carries text; the first event has only the role and an
/// empty text.
fn has_text(line: &str) -> bool {
    const CONTENT: &str = "\"content\":\"";
    let start = line.find(CONTENT).map(|at| at + CONTENT.len());
    start.is_some_and(|start| !line[start..].starts_with('"'))
}
