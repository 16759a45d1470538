//! What the stand-ins share: connections, faults and counts.

use std::{
    io,
    net::{Shutdown, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::{Async, Timer};
use chestnutreach_http::{ReceivedRequest, ServerOptions, serve_connection};
use http_types::{Method, Response, StatusCode};

use super::faults::{Fate, Faults, HoldPoint};

/// Longest body taken.
const MAX_BODY_BYTES: usize = 64 << 20;

/// An answer of a service.
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
}

impl Answer {
    pub(super) fn ok(body: Vec<u8>) -> Answer {
        Answer { status: 200, body }
    }

    pub(super) fn json(value: &impl serde::Serialize) -> Answer {
        let body = serde_json::to_vec(value)
            .expect("messages of plain fields can be written");
        Answer::ok(body)
    }

    pub(super) fn error(status: u16, body: &str) -> Answer {
        Answer { status, body: body.as_bytes().to_vec() }
    }

    fn into_response(self) -> Response {
        let status = StatusCode::try_from(self.status)
            .unwrap_or(StatusCode::InternalServerError);
        let mut response = Response::new(status);
        response.set_body(self.body);
        response
    }
}

/// A service behind the connections.
pub(super) trait Service: Send + Sync + 'static {
    /// Whether a call changes something.
    fn is_write(&self, received: &ReceivedRequest) -> bool;

    /// Answers a call.
    fn call(&self, received: &ReceivedRequest) -> Answer;

    /// Answers `GET /stats`.
    fn stats(&self) -> Answer;

    /// The answer when the service is down.
    fn unavailable(&self) -> Answer {
        Answer::error(503, "down")
    }

    /// The answer when the service fails.
    fn failed(&self) -> Answer {
        Answer::error(500, "failed")
    }
}

/// Serves connections until the listener fails.
pub(super) async fn serve<S: Service>(
    listener: Async<TcpListener>,
    faults: Arc<Faults>,
    executor: Arc<Executor<'static>>,
    service: Arc<S>,
) -> io::Result<()> {
    loop {
        let (socket, _) = listener.accept().await?;
        let (faults, service) = (faults.clone(), service.clone());
        let raw_socket = socket.get_ref().try_clone()?;
        let serving = async move {
            let options = ServerOptions::new().max_body_bytes(MAX_BODY_BYTES);
            let caller = Caller { raw_socket, faults };
            let handler = |received| caller.answer(received, &*service);
            // A broken connection is the caller's business.
            let _ = serve_connection(socket, &options, handler).await;
        };
        executor.spawn(serving).detach();
    }
}

/// One connection.
struct Caller {
    /// Closes the connection under the server, whose own handles only
    /// flush.
    raw_socket: TcpStream,
    faults: Arc<Faults>,
}

impl Caller {
    async fn answer<S: Service>(
        &self,
        received: ReceivedRequest,
        service: &S,
    ) -> Response {
        let path = received.request.url().path();
        match (received.request.method(), path) {
            (Method::Put, "/faults") => {
                set_faults(&self.faults, &received.body)
            }
            (Method::Get, "/faults") => Answer::json(&self.faults.settings()),
            (Method::Get, "/held") => Answer::json(&self.faults.held()),
            (Method::Get, "/stats") => service.stats(),
            _ => return self.call(received, service).await,
        }
        .into_response()
    }

    async fn call<S: Service>(
        &self,
        received: ReceivedRequest,
        service: &S,
    ) -> Response {
        Timer::after(self.faults.pause()).await;
        let is_write = service.is_write(&received);
        if is_write {
            self.faults.hold(HoldPoint::Request).await;
        }
        let answer = match self.faults.fate(is_write) {
            Fate::Serve => service.call(&received),
            Fate::Refuse => service.unavailable(),
            Fate::FailBefore => service.failed(),
            Fate::FailAfter => {
                service.call(&received);
                service.failed()
            }
            Fate::CloseBefore => return self.close(),
            Fate::CloseAfter => {
                service.call(&received);
                return self.close();
            }
        };
        if is_write {
            self.faults.hold(HoldPoint::Answer).await;
        }
        answer.into_response()
    }

    /// Closes the connection, so that no answer can be sent.
    fn close(&self) -> Response {
        // It may be closed already.
        let _ = self.raw_socket.shutdown(Shutdown::Both);
        Response::new(StatusCode::InternalServerError)
    }
}

fn set_faults(faults: &Faults, body: &[u8]) -> Answer {
    match serde_json::from_slice(body) {
        Ok(settings) => {
            faults.set(settings);
            Answer::ok(Vec::new())
        }
        Err(e) => Answer::error(400, &e.to_string()),
    }
}

/// Calls in the current second.
#[derive(Debug)]
pub(super) struct RateCount {
    window: Mutex<(Instant, u64)>,
}

impl Default for RateCount {
    fn default() -> RateCount {
        RateCount { window: Mutex::new((Instant::now(), 0)) }
    }
}

impl RateCount {
    /// Counts a call; false when it is over the limit (0 for none).
    pub(super) fn admit(&self, limit_per_s: u64) -> bool {
        let mut window = self.window.lock().expect("no holder panics");
        if window.0.elapsed() >= Duration::from_secs(1) {
            *window = (Instant::now(), 0);
        }
        window.1 += 1;
        limit_per_s == 0 || window.1 <= limit_per_s
    }
}
