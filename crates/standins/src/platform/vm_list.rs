//! The list of VMs, shown as it was some time ago.

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
    serve::{Answer, Service, serve},
};

/// Lists kept for the lag.
const MAX_HISTORY: usize = 1000;

/// Answer to `GET /stats`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmListStats {
    /// Times the list was read.
    pub reads: u64,
    /// Times it was set.
    pub writes: u64,
}

/// Serves a list that is empty at first until the listener fails. `PUT
/// /vms` sets it.
///
/// # Errors
///
/// The listener failed.
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

    fn call(&self, received: &ReceivedRequest) -> Answer {
        let lag = Duration::from_millis(self.faults.settings().lag_ms);
        let mut state = self.state.lock().expect("no holder panics");
        let request = &received.request;
        match (request.method(), request.url().path()) {
            (Method::Put, VM_LIST_PATH) => state.set(&received.body),
            (Method::Get, VM_LIST_PATH) => state.show(lag),
            _ => Answer::error(404, "no such path"),
        }
    }

    fn stats(&self) -> Answer {
        let state = self.state.lock().expect("no holder panics");
        Answer::json(&state.stats)
    }
}

impl State {
    fn set(&mut self, body: &[u8]) -> Answer {
        let entries = match serde_json::from_slice(body) {
            Ok(entries) => entries,
            Err(e) => return Answer::error(400, &e.to_string()),
        };
        self.stats.writes += 1;
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((Instant::now(), entries));
        Answer::ok(Vec::new())
    }

    /// The newest list of at least this age.
    fn show(&mut self, lag: Duration) -> Answer {
        self.stats.reads += 1;
        let lists = self.history.iter().rev();
        let mut old_enough = lists.filter(|(at, _)| at.elapsed() >= lag);
        match old_enough.next() {
            Some((_, entries)) => Answer::json(entries),
            None => Answer::json(&Vec::<VmEntry>::new()),
        }
    }
}
