//! HTTP server of the platform stand-ins: connections, faults and rate limits.

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

use super::faults::{CallAction, Faults, HoldPoint};

/// Maximum body size.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A response of a service.
pub(super) struct ServiceResponse {
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
}

impl ServiceResponse {
    pub(super) fn ok(body: Vec<u8>) -> ServiceResponse {
        ServiceResponse { status: 200, body }
    }

    pub(super) fn json(value: &impl serde::Serialize) -> ServiceResponse {
        let body = serde_json::to_vec(value)
            .expect("messages of plain fields can be serialised");
        ServiceResponse::ok(body)
    }

    pub(super) fn error(status: u16, body: &str) -> ServiceResponse {
        ServiceResponse { status, body: body.as_bytes().to_vec() }
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
    /// Whether a call is a write.
    fn is_write(&self, received: &ReceivedRequest) -> bool;

    /// Handles a call.
    fn handle(&self, received: &ReceivedRequest) -> ServiceResponse;

    /// Handles `GET /stats`.
    fn stats(&self) -> ServiceResponse;

    /// Response of a service that is down.
    fn unavailable(&self) -> ServiceResponse {
        ServiceResponse::error(503, "down")
    }

    /// Response of a call that fails with an internal error.
    fn failed(&self) -> ServiceResponse {
        ServiceResponse::error(500, "failed")
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
            let connection = Connection { raw_socket, faults };
            let handler = |received| connection.handle(received, &*service);
            // Errors of one connection don't affect the others.
            let _ = serve_connection(socket, &options, handler).await;
        };
        executor.spawn(serving).detach();
    }
}

/// A connection of a caller.
struct Connection {
    /// Clone of the socket, with which a fault closes the connection without a
    /// response. The HTTP server can't do that: closing its handles only
    /// flushes them.
    raw_socket: TcpStream,
    faults: Arc<Faults>,
}

impl Connection {
    async fn handle<S: Service>(
        &self,
        received: ReceivedRequest,
        service: &S,
    ) -> Response {
        let path = received.request.url().path();
        match (received.request.method(), path) {
            (Method::Put, "/faults") => {
                set_faults(&self.faults, &received.body)
            }
            (Method::Get, "/faults") => {
                ServiceResponse::json(&self.faults.settings())
            }
            (Method::Get, "/held") => {
                ServiceResponse::json(&self.faults.held_writes())
            }
            (Method::Get, "/stats") => service.stats(),
            _ => return self.handle_call(received, service).await,
        }
        .into_response()
    }

    async fn handle_call<S: Service>(
        &self,
        received: ReceivedRequest,
        service: &S,
    ) -> Response {
        Timer::after(self.faults.delay()).await;
        let is_write = service.is_write(&received);
        if is_write {
            self.faults.hold(HoldPoint::Request).await;
        }
        let response = match self.faults.next_action(is_write) {
            CallAction::Serve => service.handle(&received),
            CallAction::Refuse => service.unavailable(),
            CallAction::FailBefore => service.failed(),
            CallAction::FailAfter => {
                service.handle(&received);
                service.failed()
            }
            CallAction::CloseBefore => return self.close(),
            CallAction::CloseAfter => {
                service.handle(&received);
                return self.close();
            }
        };
        if is_write {
            self.faults.hold(HoldPoint::Response).await;
        }
        response.into_response()
    }

    /// Closes the connection. The response returned can't be sent.
    fn close(&self) -> Response {
        // The caller may have closed the connection already.
        let _ = self.raw_socket.shutdown(Shutdown::Both);
        Response::new(StatusCode::InternalServerError)
    }
}

fn set_faults(faults: &Faults, body: &[u8]) -> ServiceResponse {
    match serde_json::from_slice(body) {
        Ok(settings) => {
            faults.set(settings);
            ServiceResponse::ok(Vec::new())
        }
        Err(e) => ServiceResponse::error(400, &e.to_string()),
    }
}

/// Rate limiter that counts calls in windows of one second.
#[derive(Debug)]
pub(super) struct RateLimiter {
    /// Start of the window and number of calls in the window.
    window: Mutex<(Instant, u64)>,
}

impl Default for RateLimiter {
    fn default() -> RateLimiter {
        RateLimiter { window: Mutex::new((Instant::now(), 0)) }
    }
}

impl RateLimiter {
    /// Counts a call. Returns false if the call exceeds the limit; 0 is no
    /// limit.
    pub(super) fn admit(&self, limit_per_s: u64) -> bool {
        let mut window = self.window.lock().expect("no holder panics");
        if window.0.elapsed() >= Duration::from_secs(1) {
            *window = (Instant::now(), 0);
        }
        window.1 += 1;
        limit_per_s == 0 || window.1 <= limit_per_s
    }
}
