//! A plain service that counts how often each call ran.
//!
//! The service accepts any method and path, counts how often each body was
//! sent to each path, and returns what it received. A run is counted before
//! any delay, so a call whose caller times out is counted as well.

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

/// Header with the request ID.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with a delay before the response, in milliseconds.
const DELAY_HEADER: &str = "x-sleep-ms";
/// Path that always returns status 500.
const FAIL_PATH: &str = "/fail";
/// Position that stands for every call in the hold faults; a plain call has no
/// token positions.
const HOLD_POSITION: u32 = 0;

/// Response to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlainResponse {
    /// HTTP method of the call.
    pub method: String,
    /// Path of the call.
    pub path: String,
    /// BLAKE3 digest of the body, in hex.
    pub body_digest: String,
    /// How often this body has been sent to this path with this method,
    /// including this call.
    pub run: u64,
}

/// Record of a call that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlainRecord {
    /// Value of the header `x-request-id`; empty if missing.
    pub request_id: String,
    /// Response to the call.
    #[serde(flatten)]
    pub response: PlainResponse,
}

/// Serves connections until the listener fails.
///
/// # Errors
///
/// Returns the error of the listener.
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
    faults: FaultSwitches,
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
            faults: FaultSwitches::default(),
            record: Record::new(),
            runs: Mutex::default(),
        }
    }

    async fn handle(&self, received: ReceivedRequest) -> Reply {
        let control_response =
            serving::handle_control(&received, &self.faults, &self.record);
        if let Some(response) = control_response {
            return response.into();
        }
        if received.request.url().path() == "/stats" {
            return serving::json(&self.stats()).into();
        }
        serving::with_faults(&self.faults, self.run(&received)).await
    }

    async fn run(&self, received: &ReceivedRequest) -> Response {
        self.faults.hold(HoldPoint::Before, &[HOLD_POSITION]).await;
        let response = self.count_run(received);
        let request_id = header(received, REQUEST_ID_HEADER).to_owned();
        let entry = PlainRecord { request_id, response: response.clone() };
        self.record.push(entry);
        if let Ok(delay_ms) = header(received, DELAY_HEADER).parse() {
            Timer::after(Duration::from_millis(delay_ms)).await;
        }
        self.faults.hold(HoldPoint::After, &[HOLD_POSITION]).await;
        if response.path == FAIL_PATH {
            let status = StatusCode::InternalServerError;
            return serving::json_with_status(status, &response);
        }
        serving::json(&response)
    }

    fn count_run(&self, received: &ReceivedRequest) -> PlainResponse {
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
