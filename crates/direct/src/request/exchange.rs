//! One request to one backend server.
//!
//! Each request has a connection of its own. Dialling costs a fraction of a
//! millisecond here, and a kept connection may have gone silent, may be
//! reset on its next use, or may hold a late second answer of the request
//! before; for a request that may run once, each of these would be an
//! unknown end.

use std::{io, time::Duration};

use async_io::Timer;
use chestnutreach_adapter::{clients, engine};
use chestnutreach_http::relay::{
    Outbound, OutboundError, RelayRequest, ResponseHead, is_end_to_end,
    push_header,
};
use futures_lite::FutureExt as _;

use crate::cluster::engine::Engine;

/// Time for dialling; a machine without power does not answer at all.
pub(crate) const DIAL: Duration = Duration::from_millis(150);
/// Longest answer to a call of our own.
const MAX_CALL_BYTES: usize = 1 << 20;

/// What the entry sets on a request to a backend server.
pub(crate) struct Addressed<'a> {
    pub(crate) instance: &'a str,
    pub(crate) account: Option<&'a str>,
    pub(crate) left_ms: u64,
    pub(crate) path: Option<&'a str>,
    pub(crate) priority: Option<u8>,
    /// Last event that the client has, where the entry knows it better.
    pub(crate) last_event: Option<u64>,
}

/// The bytes of a request to a backend server.
pub(crate) fn request_bytes(
    request: &RelayRequest,
    to: &Addressed<'_>,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(1_024 + request.body.len());
    let line = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    out.extend_from_slice(line.as_bytes());
    let connection = request.header("connection");
    for header in &request.headers {
        let is_set_here = is_set_by_entry(&header.name, to);
        if !is_set_here && is_end_to_end(&header.name, connection) {
            push_header(&mut out, &header.name, &header.value);
        }
    }
    push_header(&mut out, clients::DEADLINE_MS, &to.left_ms.to_string());
    push_header(&mut out, engine::INSTANCE, to.instance);
    if let Some(account) = to.account {
        push_header(&mut out, engine::ACCOUNT, account);
    }
    if let Some(path) = to.path {
        push_header(&mut out, engine::PATH, path);
    }
    if let Some(priority) = to.priority {
        push_header(&mut out, engine::PRIORITY, &priority.to_string());
    }
    if let Some(id) = to.last_event {
        push_header(&mut out, clients::LAST_EVENT_ID, &id.to_string());
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

fn is_set_by_entry(name: &str, to: &Addressed<'_>) -> bool {
    let is = |other: &str| name.eq_ignore_ascii_case(other);
    is(clients::KEY)
        || is(clients::DEADLINE_MS)
        || is("content-length")
        || (is(clients::LAST_EVENT_ID) && to.last_event.is_some())
        || clients::SET_BY_SYSTEM.iter().any(|other| is(other))
}

/// Whether an answer states that the request was not run.
pub(crate) fn is_not_run(head: &ResponseHead) -> bool {
    head.status == 421 || head.header(engine::NOT_RUN).is_some()
}

/// Takes the head of the answer to this request; answers that belong to
/// another one are read past.
pub(crate) async fn own_head(
    connection: &mut Outbound,
    request_id: Option<&str>,
    method: &str,
) -> Result<ResponseHead, OutboundError> {
    loop {
        let head = connection.read_head().await?;
        let answered = head.header(clients::REQUEST_ID);
        let is_other = match (answered, request_id) {
            (Some(answered), Some(own)) => answered != own,
            _ => false,
        };
        if !is_other {
            return Ok(head);
        }
        let body = head.body(method);
        connection.read_body(body, MAX_CALL_BYTES).await?;
    }
}

/// Asks an engine for its report.
pub(crate) async fn fetch_report(
    to: &Engine,
) -> Result<(u16, Vec<u8>), OutboundError> {
    let target = engine::REPORT_TARGET;
    let head =
        format!("GET {target} HTTP/1.1\r\nhost: {}\r\n\r\n", to.address);
    call(to, "GET", head.as_bytes()).await
}

/// Gives an engine an order. It names the engine's start: an order that was
/// meant for the one before it at this address must not take effect.
pub(crate) async fn send_order(
    to: &Engine,
    body: &[u8],
) -> Result<(u16, Vec<u8>), OutboundError> {
    let line = format!("POST {} HTTP/1.1\r\n", engine::ORDER_TARGET);
    let mut out = line.into_bytes();
    push_header(&mut out, "host", &to.address.to_string());
    push_header(&mut out, engine::INSTANCE, &to.id);
    push_header(&mut out, "content-type", "application/json");
    push_header(&mut out, "content-length", &body.len().to_string());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    call(to, "POST", &out).await
}

/// Sends a request of our own; the status and body of its answer.
async fn call(
    to: &Engine,
    method: &str,
    bytes: &[u8],
) -> Result<(u16, Vec<u8>), OutboundError> {
    let mut connection = Outbound::connect(to.address, DIAL).await?;
    connection.send(bytes).await?;
    let head = connection.read_head().await?;
    let body = head.body(method);
    let body = connection.read_body(body, MAX_CALL_BYTES).await?;
    Ok((head.status, body))
}

/// Bounds a wait.
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
