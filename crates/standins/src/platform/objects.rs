//! The object store: GET and PUT by path.

use std::{
    collections::BTreeMap,
    io,
    net::TcpListener,
    sync::{Arc, Mutex},
};

use async_executor::Executor;
use async_io::Async;
use chestnutreach_http::ReceivedRequest;
use http_types::Method;
use serde::{Deserialize, Serialize};

use super::{
    faults::Faults,
    serve::{Answer, Service, serve},
};

/// Answer to `GET /stats`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectStats {
    /// GET requests.
    pub reads: u64,
    /// PUT requests.
    pub writes: u64,
    /// Bytes given out.
    pub read_bytes: u64,
    /// Bytes taken in.
    pub written_bytes: u64,
}

/// Serves a store that is empty at first until the listener fails.
///
/// # Errors
///
/// The listener failed.
pub async fn serve_objects(
    listener: Async<TcpListener>,
    faults: Arc<Faults>,
    executor: Arc<Executor<'static>>,
) -> io::Result<()> {
    serve(listener, faults, executor, Arc::new(Objects::default())).await
}

#[derive(Default)]
struct Objects {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<String, Vec<u8>>,
    stats: ObjectStats,
}

impl Service for Objects {
    fn is_write(&self, received: &ReceivedRequest) -> bool {
        received.request.method() == Method::Put
    }

    fn call(&self, received: &ReceivedRequest) -> Answer {
        let path = received.request.url().path();
        let mut state = self.state.lock().expect("no holder panics");
        match received.request.method() {
            Method::Put => state.put(path, &received.body),
            Method::Get => state.get(path),
            _ => Answer::error(405, "MethodNotAllowed"),
        }
    }

    fn stats(&self) -> Answer {
        let state = self.state.lock().expect("no holder panics");
        Answer::json(&state.stats)
    }
}

impl State {
    fn put(&mut self, path: &str, body: &[u8]) -> Answer {
        self.stats.writes += 1;
        self.stats.written_bytes += body.len() as u64;
        self.objects.insert(path.to_owned(), body.to_vec());
        Answer::ok(Vec::new())
    }

    fn get(&mut self, path: &str) -> Answer {
        self.stats.reads += 1;
        match self.objects.get(path) {
            Some(body) => {
                self.stats.read_bytes += body.len() as u64;
                Answer::ok(body.clone())
            }
            None => Answer::error(404, "NoSuchKey"),
        }
    }
}
