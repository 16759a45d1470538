//! HTTP port for operators and scrapers.
//!
//! | path | response |
//! |---|---|
//! | `/metrics` | all metrics in the Prometheus text format |
//! | `/ready` | 200, or 503 with the conditions that block the process |
//! | `/live` | 200 while the process responds |
//! | `/status` | state of the process, as JSON |
//! | others, by `POST` | operator commands that the process supports |
//!
//! A connection carries one request and is closed after
//! [`MAX_CONNECTION_LIFETIME`], so that an unresponsive scraper cannot hold a
//! connection for long. Scrapes are infrequent, so a new connection for each
//! scrape costs little.

use std::{future::Future, io, net::TcpListener, sync::Arc, time::Duration};

use async_executor::Executor;
use async_io::{Async, Timer};
use chestnutreach_http::{ReceivedRequest, ServerOptions, serve_connection};
use futures_lite::FutureExt as _;
use http_types::{Method, Response, StatusCode};
use serde_json::json;

use crate::{
    event::{Event, emit},
    metrics::Metrics,
    port::{AcceptedConnection, Port},
    readiness::Readiness,
};

/// Maximum number of open connections; additional ones are closed.
pub const MAX_CONNECTIONS: usize = 64;
/// Time after which an open connection is closed.
pub const MAX_CONNECTION_LIFETIME: Duration = Duration::from_secs(30);

/// Maximum request body size; no request to this port needs a body.
const MAX_BODY_BYTES: usize = 1024;
/// Maximum time to receive a request.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Name of the port in events.
const PORT_NAME: &str = "ops";
/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";
/// Content type of JSON responses.
const JSON_CONTENT_TYPE: &str = "application/json";

/// Produces the response of `/status`.
pub type StatusFn = Box<dyn Fn() -> serde_json::Value + Send + Sync>;

/// Executes the operator command with the given path; `None` if this process
/// has no such command.
pub type CommandFn =
    Box<dyn Fn(&str) -> Option<serde_json::Value> + Send + Sync>;

/// Supports no commands.
pub fn no_commands() -> CommandFn {
    Box::new(|_| None)
}

/// Data and callbacks that the port serves.
pub struct OpsState {
    /// Source of `/metrics`.
    pub metrics: Arc<Metrics>,
    /// Source of `/ready`.
    pub readiness: Arc<Readiness>,
    /// Source of `/status`.
    pub status: StatusFn,
    /// Handler of `POST` requests.
    pub command: CommandFn,
}

/// Accepts and serves connections until the future is dropped.
pub async fn serve_ops(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    ops: Arc<OpsState>,
) {
    let port = Port::new(listener, PORT_NAME, MAX_CONNECTIONS);
    loop {
        let accepted = port.accept().await;
        executor.spawn(serve_accepted(accepted, ops.clone())).detach();
    }
}

async fn serve_accepted(accepted: AcceptedConnection, ops: Arc<OpsState>) {
    let AcceptedConnection { socket, peer, slot: _slot } = accepted;
    let options = ServerOptions::new()
        .max_body_bytes(MAX_BODY_BYTES)
        .idle_timeout(READ_TIMEOUT)
        .read_timeout(READ_TIMEOUT);
    let serving =
        serve_connection(socket, &options, |received| respond(received, &ops));
    if let Err(e) = with_connection_timeout(serving).await {
        emit(
            Event::HttpConnectionFailed,
            &[("port", &PORT_NAME), ("peer_address", &peer), ("error", &e)],
        );
    }
}

async fn with_connection_timeout(
    serving: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    let limit = async {
        Timer::after(MAX_CONNECTION_LIFETIME).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    serving.or(limit).await
}

async fn respond(received: ReceivedRequest, ops: &OpsState) -> Response {
    let path = received.request.url().path();
    let mut response = match received.request.method() {
        Method::Get | Method::Head => respond_to_get(path, ops),
        Method::Post => match (ops.command)(path) {
            Some(result) => json_response(StatusCode::Ok, &result),
            None => method_not_allowed(),
        },
        _ => method_not_allowed(),
    };
    response.insert_header("connection", "close");
    response
}

fn method_not_allowed() -> Response {
    let mut response = Response::new(StatusCode::MethodNotAllowed);
    response.insert_header("allow", "GET, HEAD");
    response
}

fn respond_to_get(path: &str, ops: &OpsState) -> Response {
    match path {
        "/metrics" => metrics(ops),
        "/ready" => ready(ops),
        "/live" => json_response(StatusCode::Ok, &json!({"is_live": true})),
        "/status" => json_response(StatusCode::Ok, &(ops.status)()),
        _ => Response::new(StatusCode::NotFound),
    }
}

fn metrics(ops: &OpsState) -> Response {
    match ops.metrics.to_text() {
        Ok(text) => response_with(StatusCode::Ok, text, METRICS_CONTENT_TYPE),
        Err(e) => {
            let error = json!({"error": e.to_string()});
            json_response(StatusCode::InternalServerError, &error)
        }
    }
}

fn ready(ops: &OpsState) -> Response {
    let reasons = ops.readiness.reasons();
    let is_ready = reasons.is_empty();
    let status =
        if is_ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable };
    let body = json!({"is_ready": is_ready, "reasons": reasons});
    json_response(status, &body)
}

fn json_response(status: StatusCode, body: &serde_json::Value) -> Response {
    response_with(status, body.to_string(), JSON_CONTENT_TYPE)
}

fn response_with(
    status: StatusCode,
    body: String,
    content_type: &str,
) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header("content-type", content_type);
    response
}
