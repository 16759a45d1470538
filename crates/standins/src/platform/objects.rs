//! The object store, with GET and PUT by path.

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
    serve::{Service, ServiceResponse, serve},
};

/// Response to `GET /stats`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectStats {
    /// Number of GET requests.
    pub reads: u64,
    /// Number of PUT requests.
    pub writes: u64,
    /// Bytes of objects returned.
    pub read_bytes: u64,
    /// Bytes of objects stored.
    pub written_bytes: u64,
}

/// Serves an initially empty store until the listener fails.
///
/// # Errors
///
/// Returns the error of the listener.
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

    fn handle(&self, received: &ReceivedRequest) -> ServiceResponse {
        let path = received.request.url().path();
        let mut state = self.state.lock().expect("no holder panics");
        match received.request.method() {
            Method::Put => state.put(path, &received.body),
            Method::Get => state.get(path),
            _ => ServiceResponse::error(405, "MethodNotAllowed"),
        }
    }

    fn stats(&self) -> ServiceResponse {
        let state = self.state.lock().expect("no holder panics");
        ServiceResponse::json(&state.stats)
    }
}

impl State {
    fn put(&mut self, path: &str, body: &[u8]) -> ServiceResponse {
        self.stats.writes += 1;
        self.stats.written_bytes += body.len() as u64;
        self.objects.insert(path.to_owned(), body.to_vec());
        ServiceResponse::ok(Vec::new())
    }

    fn get(&mut self, path: &str) -> ServiceResponse {
        self.stats.reads += 1;
        match self.objects.get(path) {
            Some(body) => {
                self.stats.read_bytes += body.len() as u64;
                ServiceResponse::ok(body.clone())
            }
            None => ServiceResponse::error(404, "NoSuchKey"),
        }
    }
}
