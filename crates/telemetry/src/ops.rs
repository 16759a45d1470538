//! The operators' HTTP port.
//!
//! | path | answer |
//! |---|---|
//! | `/metrics` | all metrics in the text format of Prometheus |
//! | `/ready` | 200, or 503 with what the process waits for |
//! | `/live` | 200 while the process answers |
//! | `/status` | what the process knows of itself, as JSON |
//! | others, by `POST` | orders of an operator that this process takes |
//!
//! A connection carries one request and lives for a bounded time: a scraper
//! that went silent then holds nothing for long. Dialling for each scrape
//! costs little at the rate of scrapes.

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
    port::{Accepted, Port},
    readiness::Readiness,
};

/// Connections at once; further ones are closed.
pub const MAX_CONNECTIONS: usize = 64;
/// Longest life of a connection.
pub const CONNECTION_LIMIT: Duration = Duration::from_secs(30);

/// Longest body; requests to this port have none that matters.
const MAX_BODY_BYTES: usize = 1024;
/// Time given to a request to arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Name of the port in events.
const PORT: &str = "ops";
/// Type of the text format of Prometheus.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";
/// Type of JSON answers.
const JSON_TYPE: &str = "application/json";

/// Makes the answer of `/status`.
pub type StatusFn = Box<dyn Fn() -> serde_json::Value + Send + Sync>;

/// Carries out an order, named by its path; none for a path that is no order
/// of this process.
pub type OrderFn =
    Box<dyn Fn(&str) -> Option<serde_json::Value> + Send + Sync>;

/// Takes no orders.
pub fn no_orders() -> OrderFn {
    Box::new(|_| None)
}

/// What the port shows.
pub struct OpsState {
    /// Answer of `/metrics`.
    pub metrics: Arc<Metrics>,
    /// Answer of `/ready`.
    pub readiness: Arc<Readiness>,
    /// Answer of `/status`.
    pub status: StatusFn,
    /// Answer of a `POST`.
    pub order: OrderFn,
}

/// Serves the port until the future is dropped.
pub async fn serve_ops(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    ops: Arc<OpsState>,
) {
    let port = Port::new(listener, PORT, MAX_CONNECTIONS);
    loop {
        let accepted = port.accept().await;
        executor.spawn(serve(accepted, ops.clone())).detach();
    }
}

async fn serve(accepted: Accepted, ops: Arc<OpsState>) {
    let Accepted { socket, peer, slot: _slot } = accepted;
    let options = ServerOptions::new()
        .max_body_bytes(MAX_BODY_BYTES)
        .idle_timeout(READ_TIMEOUT)
        .read_timeout(READ_TIMEOUT);
    let serving =
        serve_connection(socket, &options, |received| answer(received, &ops));
    if let Err(e) = within_limit(serving).await {
        emit(
            Event::HttpConnectionFailed,
            &[("port", &PORT), ("peer_address", &peer), ("error", &e)],
        );
    }
}

async fn within_limit(
    serving: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    let limit = async {
        Timer::after(CONNECTION_LIMIT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    serving.or(limit).await
}

async fn answer(received: ReceivedRequest, ops: &OpsState) -> Response {
    let path = received.request.url().path();
    let mut response = match received.request.method() {
        Method::Get | Method::Head => answer_path(path, ops),
        Method::Post => match (ops.order)(path) {
            Some(answer) => json_response(StatusCode::Ok, &answer),
            None => not_allowed(),
        },
        _ => not_allowed(),
    };
    response.insert_header("connection", "close");
    response
}

fn not_allowed() -> Response {
    let mut response = Response::new(StatusCode::MethodNotAllowed);
    response.insert_header("allow", "GET, HEAD");
    response
}

fn answer_path(path: &str, ops: &OpsState) -> Response {
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
        Ok(text) => response_with(StatusCode::Ok, text, METRICS_TYPE),
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
    response_with(status, body.to_string(), JSON_TYPE)
}

fn response_with(status: StatusCode, body: String, kind: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header("content-type", kind);
    response
}
