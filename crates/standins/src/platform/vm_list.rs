//! The VM list, returned with a configurable lag.

use std::{
    collections::VecDeque,
    io,
    net::TcpListener,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::Async;
use chestnutreach_http::ReceivedRequest;
use chestnutreach_platform::vm_list::{VM_LIST_PATH, VmEntry};
use http_types::Method;
use serde::{Deserialize, Serialize};

use super::{
    faults::Faults,
    serve::{Service, ServiceResponse, serve},
};

/// Maximum number of past lists kept for the lag.
const MAX_HISTORY: usize = 1000;

/// Response to `GET /stats`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmListStats {
    /// Number of reads of the list.
    pub reads: u64,
    /// Number of writes of the list.
    pub writes: u64,
}

/// Serves an initially empty list until the listener fails. `PUT /vms`
/// replaces the list.
///
/// # Errors
///
/// Returns the error of the listener.
pub async fn serve_vm_list(
    listener: Async<TcpListener>,
    faults: Arc<Faults>,
    executor: Arc<Executor<'static>>,
) -> io::Result<()> {
    let state = Mutex::default();
    let list = Arc::new(VmList { state, faults: faults.clone() });
    serve(listener, faults, executor, list).await
}

struct VmList {
    state: Mutex<State>,
    faults: Arc<Faults>,
}

#[derive(Default)]
struct State {
    history: VecDeque<(Instant, Vec<VmEntry>)>,
    stats: VmListStats,
}

impl Service for VmList {
    fn is_write(&self, received: &ReceivedRequest) -> bool {
        received.request.method() == Method::Put
    }

    fn handle(&self, received: &ReceivedRequest) -> ServiceResponse {
        let lag = Duration::from_millis(self.faults.settings().lag_ms);
        let mut state = self.state.lock().expect("no holder panics");
        let request = &received.request;
        match (request.method(), request.url().path()) {
            (Method::Put, VM_LIST_PATH) => state.set(&received.body),
            (Method::Get, VM_LIST_PATH) => state.get(lag),
            _ => ServiceResponse::error(404, "no such path"),
        }
    }

    fn stats(&self) -> ServiceResponse {
        let state = self.state.lock().expect("no holder panics");
        ServiceResponse::json(&state.stats)
    }
}

impl State {
    fn set(&mut self, body: &[u8]) -> ServiceResponse {
        let entries = match serde_json::from_slice(body) {
            Ok(entries) => entries,
            Err(e) => return ServiceResponse::error(400, &e.to_string()),
        };
        self.stats.writes += 1;
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((Instant::now(), entries));
        ServiceResponse::ok(Vec::new())
    }

    /// Returns the newest list of at least this age.
    fn get(&mut self, lag: Duration) -> ServiceResponse {
        self.stats.reads += 1;
        let lists = self.history.iter().rev();
        let mut old_enough = lists.filter(|(at, _)| at.elapsed() >= lag);
        match old_enough.next() {
            Some((_, entries)) => ServiceResponse::json(entries),
            None => ServiceResponse::json(&Vec::<VmEntry>::new()),
        }
    }
}
