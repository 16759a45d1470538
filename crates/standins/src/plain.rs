//! A plain service whose runs are counted.
//!
//! It takes any method and path, counts how often each body was sent to each
//! path, and answers what it saw. A run counts from the moment the call is
//! read, before any delay: a caller that gives up has still caused it.

use std::{
    collections::BTreeMap,
    io,
    net::TcpListener,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_executor::Executor;
use async_io::{Async, Timer};
use chestnutreach_http::ReceivedRequest;
use http_types::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    faults::{FaultSwitches, HoldPoint},
    record::Record,
    serving::{self, Reply},
};

/// Header that names the request.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that asks for a delay, in milliseconds.
const SLEEP_HEADER: &str = "x-sleep-ms";
/// Path that is always answered 500.
const FAIL_PATH: &str = "/fail";
/// Position that a call counts as where calls are held.
const CALL_POSITION: u32 = 0;

/// The answer to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlainResponse {
    /// Method of the call.
    pub method: String,
    /// Path of the call.
    pub path: String,
    /// BLAKE3 digest of the body, in hex.
    pub body_digest: String,
    /// How often this body has been sent to this path, this time included.
    pub run: u64,
}

/// A call that was run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlainRecord {
    /// The header `x-request-id`, or nothing.
    pub request_id: String,
    /// What was run.
    #[serde(flatten)]
    pub response: PlainResponse,
}

/// Serves until the listener fails.
///
/// # Errors
///
/// The listener failed.
pub async fn serve(
    executor: Arc<Executor<'static>>,
    listener: Async<TcpListener>,
) -> io::Result<()> {
    let service = Arc::new(Service::new());
    let handle = move |received| {
        let service = service.clone();
        async move { service.handle(received).await }
    };
    serving::serve(executor, listener, handle).await
}

#[derive(Debug)]
struct Service {
    switches: FaultSwitches,
    record: Record<PlainRecord>,
    runs: Mutex<BTreeMap<RunKey, u64>>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RunKey {
    method: String,
    path: String,
    body_digest: String,
}

#[derive(Serialize)]
struct Stats {
    distinct_calls: usize,
    runs: u64,
}

impl Service {
    fn new() -> Service {
        Service {
            switches: FaultSwitches::default(),
            record: Record::new(),
            runs: Mutex::default(),
        }
    }

    async fn handle(&self, received: ReceivedRequest) -> Reply {
        let control =
            serving::control(&received, &self.switches, &self.record);
        if let Some(response) = control {
            return response.into();
        }
        if received.request.url().path() == "/stats" {
            return serving::json(&self.stats()).into();
        }
        serving::with_faults(&self.switches, self.run(&received)).await
    }

    async fn run(&self, received: &ReceivedRequest) -> Response {
        self.switches.hold(HoldPoint::Before, &[CALL_POSITION]).await;
        let answer = self.count(received);
        let request_id = header(received, REQUEST_ID_HEADER).to_owned();
        let entry = PlainRecord { request_id, response: answer.clone() };
        self.record.push(entry);
        if let Ok(sleep_ms) = header(received, SLEEP_HEADER).parse() {
            Timer::after(Duration::from_millis(sleep_ms)).await;
        }
        self.switches.hold(HoldPoint::After, &[CALL_POSITION]).await;
        if answer.path == FAIL_PATH {
            let status = StatusCode::InternalServerError;
            return serving::json_with_status(status, &answer);
        }
        serving::json(&answer)
    }

    fn count(&self, received: &ReceivedRequest) -> PlainResponse {
        let key = RunKey {
            method: received.request.method().to_string(),
            path: received.request.url().path().to_owned(),
            body_digest: blake3::hash(&received.body).to_hex().to_string(),
        };
        let mut runs = self.runs.lock().expect("no holder panics");
        let run = runs.entry(key.clone()).or_insert(0);
        *run += 1;
        let RunKey { method, path, body_digest } = key;
        PlainResponse { method, path, body_digest, run: *run }
    }

    fn stats(&self) -> Stats {
        let runs = self.runs.lock().expect("no holder panics");
        Stats { distinct_calls: runs.len(), runs: runs.values().sum() }
    }
}

fn header<'a>(received: &'a ReceivedRequest, name: &str) -> &'a str {
    received.request.header(name).map_or("", |value| value.as_str())
}
