//! Sends one request to one backend server.
//!
//! Each request uses a new connection. Connecting takes a fraction of a
//! millisecond here, while a reused connection may be stalled, may be reset on
//! its next use, or may carry a late second response to the previous request.
//! For a request that may run only once, each of these would leave the outcome
//! unknown.

use std::{io, time::Duration};

use async_io::Timer;
use chestnutreach_adapter::{caller, engine};
use chestnutreach_http::relay::{
    Outbound, OutboundError, RelayRequest, ResponseHead, is_end_to_end,
    push_header,
};
use futures_lite::FutureExt as _;

use crate::cluster::engine::Engine;

/// Timeout for connecting; a machine without power does not respond at all.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum size of the response to a report or order request.
const MAX_CALL_RESPONSE_BYTES: usize = 1 << 20;

/// Values of the headers that the entry sets on a request to a backend
/// server.
pub(crate) struct BackendHeaders<'a> {
    pub(crate) instance: &'a str,
    pub(crate) account: Option<&'a str>,
    pub(crate) remaining_ms: u64,
    pub(crate) path: Option<&'a str>,
    pub(crate) priority: Option<u8>,
    /// Id of the last event that the caller has, which replaces the caller's
    /// own header.
    pub(crate) last_event_id: Option<u64>,
}

/// Encodes a request to a backend server.
pub(crate) fn request_bytes(
    request: &RelayRequest,
    values: &BackendHeaders<'_>,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(1_024 + request.body.len());
    let line = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    out.extend_from_slice(line.as_bytes());
    let connection = request.header("connection");
    for header in &request.headers {
        let is_replaced = is_set_by_entry(&header.name, values);
        if !is_replaced && is_end_to_end(&header.name, connection) {
            push_header(&mut out, &header.name, &header.value);
        }
    }
    push_header(
        &mut out,
        caller::DEADLINE_MS,
        &values.remaining_ms.to_string(),
    );
    push_header(&mut out, engine::EXPECTED_INSTANCE, values.instance);
    if let Some(account) = values.account {
        push_header(&mut out, engine::ACCOUNT, account);
    }
    if let Some(path) = values.path {
        push_header(&mut out, engine::PATH, path);
    }
    if let Some(priority) = values.priority {
        push_header(&mut out, engine::PRIORITY, &priority.to_string());
    }
    if let Some(id) = values.last_event_id {
        push_header(&mut out, caller::LAST_EVENT_ID, &id.to_string());
    }
    let has_body = !request.body.is_empty() || request.method == "POST";
    if has_body {
        let length = request.body.len().to_string();
        push_header(&mut out, "content-length", &length);
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
    out
}

fn is_set_by_entry(name: &str, values: &BackendHeaders<'_>) -> bool {
    let is = |other: &str| name.eq_ignore_ascii_case(other);
    is(caller::AUTHORIZATION)
        || is(caller::DEADLINE_MS)
        || is("content-length")
        || (is(caller::LAST_EVENT_ID) && values.last_event_id.is_some())
        || caller::RESERVED_HEADERS.iter().any(|other| is(other))
}

/// Whether a response states that the request did not run.
pub(crate) fn is_not_run(head: &ResponseHead) -> bool {
    head.status == 421 || head.header(engine::NOT_RUN).is_some()
}

/// Reads the head of the response to this request, skipping responses to other
/// requests.
pub(crate) async fn read_matching_head(
    connection: &mut Outbound,
    request_id: Option<&str>,
    method: &str,
) -> Result<ResponseHead, OutboundError> {
    loop {
        let head = connection.read_head().await?;
        let response_id = head.header(caller::REQUEST_ID);
        let is_other_request = match (response_id, request_id) {
            (Some(response_id), Some(own)) => response_id != own,
            _ => false,
        };
        if !is_other_request {
            return Ok(head);
        }
        let body = head.body(method);
        connection.read_body(body, MAX_CALL_RESPONSE_BYTES).await?;
    }
}

/// Requests the report of an engine.
pub(crate) async fn fetch_report(
    to: &Engine,
) -> Result<(u16, Vec<u8>), OutboundError> {
    let target = engine::REPORT_TARGET;
    let head =
        format!("GET {target} HTTP/1.1\r\nhost: {}\r\n\r\n", to.address);
    call(to, "GET", head.as_bytes()).await
}

/// Sends an order to an engine. The order names the engine's incarnation,
/// since an order for the previous process at this address must not take
/// effect.
pub(crate) async fn send_order(
    to: &Engine,
    body: &[u8],
) -> Result<(u16, Vec<u8>), OutboundError> {
    let line = format!("POST {} HTTP/1.1\r\n", engine::ORDER_TARGET);
    let mut out = line.into_bytes();
    push_header(&mut out, "host", &to.address.to_string());
    push_header(&mut out, engine::EXPECTED_INSTANCE, &to.id);
    push_header(&mut out, "content-type", "application/json");
    push_header(&mut out, "content-length", &body.len().to_string());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    call(to, "POST", &out).await
}

/// Sends a request of the entry itself; returns the status and body of the
/// response.
async fn call(
    to: &Engine,
    method: &str,
    bytes: &[u8],
) -> Result<(u16, Vec<u8>), OutboundError> {
    let mut connection =
        Outbound::connect(to.address, CONNECT_TIMEOUT).await?;
    connection.send(bytes).await?;
    let head = connection.read_head().await?;
    let body = head.body(method);
    let body = connection.read_body(body, MAX_CALL_RESPONSE_BYTES).await?;
    Ok((head.status, body))
}

/// Bounds a future in time.
pub(crate) async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = T>,
) -> io::Result<T> {
    let work = async { Ok(work.await) };
    let limit = async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(limit).await
}
