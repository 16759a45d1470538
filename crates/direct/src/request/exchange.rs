//! Sends one request to one backend server.
//!
//! Each request uses a new connection. Connecting takes a fraction of a
//! millisecond here, while a reused connection may be stalled, may be reset on
//! its next use, or may carry a late second response to the previous request.
//! For a request that may run only once, each of these would leave the outcome
//! unknown.

use std::{io, sync::Arc, time::Duration};

use async_io::Timer;
use chestnutreach_adapter::{caller, engine};
use chestnutreach_http::relay::{
    Outbound, OutboundError, RelayRequest, ResponseBody, ResponseHead,
    is_end_to_end, push_header,
};
use chestnutreach_routing::{MemoryPool, PoolShare};
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use crate::{cluster::engine::Engine, core::Core};

/// Timeout for connecting; a machine without power does not respond at all.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Responses to other requests that may precede the response to a request.
const MAX_OTHER_RESPONSES: u32 = 4;
/// Maximum size of their bodies together.
const MAX_OTHER_BYTES: usize = 1 << 20;

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
    let mut other_bytes = 0;
    for _ in 0..=MAX_OTHER_RESPONSES {
        let head = connection.read_head().await?;
        let response_id = head.header(caller::REQUEST_ID);
        let is_other_request = match (response_id, request_id) {
            (Some(response_id), Some(own)) => response_id != own,
            _ => false,
        };
        if !is_other_request {
            return Ok(head);
        }
        let mut body = head.body(method);
        while let Some(bytes) = connection.next_bytes(&mut body).await? {
            other_bytes += bytes.len();
            if other_bytes > MAX_OTHER_BYTES {
                let detail = "responses to other requests without an end";
                return Err(OutboundError::excessive(detail));
            }
        }
    }
    let detail =
        format!("more than {MAX_OTHER_RESPONSES} responses to other requests");
    Err(OutboundError::excessive(&detail))
}

/// A body, which counts against the memory of responses until dropped.
#[derive(Debug)]
pub(crate) struct HeldBody {
    bytes: Vec<u8>,
    held: PoolShare,
}

impl HeldBody {
    pub(crate) fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Makes room for more bytes, if the memory allows it.
    fn try_reserve(&mut self, more: usize) -> Result<(), OutboundError> {
        let needed = self.bytes.len().saturating_add(more);
        if needed <= self.bytes.capacity() {
            return Ok(());
        }
        let doubled = 2 * self.bytes.capacity();
        let capacity = match self.held.try_resize(needed.max(doubled)) {
            Ok(()) => needed.max(doubled),
            Err(_) => {
                let exact = self.held.try_resize(needed);
                exact.map_err(|e| OutboundError::excessive(&e.to_string()))?;
                needed
            }
        };
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}

/// Reads the rest of a body, as long as the memory of responses allows it.
pub(crate) async fn read_body(
    connection: &mut Outbound,
    mut body: ResponseBody,
    memory: &Arc<MemoryPool>,
) -> Result<HeldBody, OutboundError> {
    let held = PoolShare::new(memory);
    let mut content = HeldBody { bytes: Vec::new(), held };
    if let ResponseBody::Length(length) = body {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        content.try_reserve(length)?;
    }
    while let Some(bytes) = connection.next_bytes(&mut body).await? {
        content.try_reserve(bytes.len())?;
        content.bytes.extend_from_slice(&bytes);
    }
    Ok(content)
}

/// Counts and logs a response that was cut off at a limit. `request` is the id
/// of a caller's request, or what the entry itself asked for.
pub(crate) fn record_cut(
    core: &Core,
    engine: &Engine,
    request: &str,
    error: &OutboundError,
) {
    if !error.is_excessive() {
        return;
    }
    core.metrics.responses_cut.inc();
    emit(
        Event::ResponseCut,
        &[
            ("request", &request),
            ("backend", &engine.id),
            ("error", error),
            ("held_bytes", &core.fleet.response_memory.held_bytes()),
        ],
    );
}

/// Requests the report of an engine.
pub(crate) async fn fetch_report(
    memory: &Arc<MemoryPool>,
    to: &Engine,
) -> Result<(u16, HeldBody), OutboundError> {
    let target = engine::REPORT_TARGET;
    let head =
        format!("GET {target} HTTP/1.1\r\nhost: {}\r\n\r\n", to.address);
    call(memory, to, "GET", head.as_bytes()).await
}

/// Sends a health check to a backend server; returns the status and the id
/// that the response states.
pub(crate) async fn check_health(
    to: &Engine,
    target: &str,
) -> Result<(u16, Option<String>), OutboundError> {
    let line = format!("GET {target} HTTP/1.1\r\n");
    let mut out = line.into_bytes();
    push_header(&mut out, "host", &to.address.to_string());
    push_header(&mut out, engine::EXPECTED_INSTANCE, &to.id);
    out.extend_from_slice(b"\r\n");
    let mut connection =
        Outbound::connect(to.address, CONNECT_TIMEOUT).await?;
    connection.send(&out).await?;
    let head = connection.read_head().await?;
    let id = head.header(engine::INSTANCE).map(str::to_owned);
    Ok((head.status, id))
}

/// Sends an order to an engine. The order names the engine's incarnation,
/// since an order for the previous process at this address must not take
/// effect.
pub(crate) async fn send_order(
    memory: &Arc<MemoryPool>,
    to: &Engine,
    body: &[u8],
) -> Result<(u16, HeldBody), OutboundError> {
    let line = format!("POST {} HTTP/1.1\r\n", engine::ORDER_TARGET);
    let mut out = line.into_bytes();
    push_header(&mut out, "host", &to.address.to_string());
    push_header(&mut out, engine::EXPECTED_INSTANCE, &to.id);
    push_header(&mut out, "content-type", "application/json");
    push_header(&mut out, "content-length", &body.len().to_string());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    call(memory, to, "POST", &out).await
}

/// Sends a request of the entry itself; returns the status and body of the
/// response.
async fn call(
    memory: &Arc<MemoryPool>,
    to: &Engine,
    method: &str,
    bytes: &[u8],
) -> Result<(u16, HeldBody), OutboundError> {
    let mut connection =
        Outbound::connect(to.address, CONNECT_TIMEOUT).await?;
    connection.send(bytes).await?;
    let head = connection.read_head().await?;
    let body = head.body(method);
    let body = read_body(&mut connection, body, memory).await?;
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
