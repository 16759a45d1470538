//! HTTP servers of engines and of the plain service.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    time::{Duration, Instant},
};

use async_io::{Async, Timer};
use chestnutreach_fleet::Relay;
use chestnutreach_http::relay::{
    Inbound, InboundLimits, LAST_CHUNK, RelayRequest, push_chunk, push_header,
};
use futures_lite::FutureExt as _;
use serde_json::{Value, json};

use crate::{
    backend_servers::{
        BackendServers, CRASH_PART_PREFIX, CRASH_PREFIX, CrashPoint,
        PathStage, STALL_TIMEOUT, ServerState, ServerStatus, StreamState,
        layers_json,
    },
    site::{
        HEALTH_PATH, MODEL_SERVICE, ONCE_PATH, PLAIN_SERVICE, STREAM_PATH,
        URGENT_STREAM_PATH,
    },
    unending::{self, UnendingBytes, UnendingIn},
};

/// Interval between checks of a server's state.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Connections that may wait for a server to accept them.
const QUEUE_LENGTH: i32 = 128;

/// Text of one event of a stream.
pub fn event_text(token: &str, number: u64) -> String {
    format!("id: {number}\ndata: {token}-{number}\n\n")
}

/// Starts all servers of the site on free ports.
///
/// # Errors
///
/// A port can't be opened.
pub fn start_all(backends: &BackendServers) -> io::Result<()> {
    let site = backends.site().clone();
    for data_centre in &site.data_centres {
        for _ in 0..site.engines_each {
            start(backends, MODEL_SERVICE, data_centre, 0)?;
        }
    }
    for index in 0..site.plain_servers {
        let data_centre = &site.data_centres[index % site.data_centres.len()];
        start(backends, PLAIN_SERVICE, data_centre, 0)?;
    }
    Ok(())
}

/// Starts a server on a port, or on a free port for port 0.
///
/// # Errors
///
/// The port can't be opened.
pub fn start(
    backends: &BackendServers,
    service: &'static str,
    data_centre: &str,
    port: u16,
) -> io::Result<SocketAddr> {
    let address =
        start_without_row(backends, service, data_centre, port, None)?;
    backends.write_row(address);
    Ok(address)
}

/// Restarts a server without layers, under its old id.
///
/// # Errors
///
/// The port can't be opened.
pub fn restart(
    backends: &BackendServers,
    address: SocketAddr,
    server: &ServerState,
) -> io::Result<()> {
    let id = Some(server.id.as_str());
    let data_centre = &server.data_centre;
    let port = address.port();
    let address =
        start_without_row(backends, server.service, data_centre, port, id)?;
    backends.write_row(address);
    Ok(())
}

/// Starts a server without writing its row.
///
/// # Errors
///
/// The port can't be opened.
pub fn start_without_row(
    backends: &BackendServers,
    service: &'static str,
    data_centre: &str,
    port: u16,
    old_id: Option<&str>,
) -> io::Result<SocketAddr> {
    let held = SocketAddr::from(([127, 0, 0, 1], port));
    let is_port_held = |server: ServerState| {
        server.holds_port && server.status == ServerStatus::Exited
    };
    if backends.server(held).is_some_and(is_port_held) {
        backends.add(held, service, data_centre, old_id);
        return Ok(held);
    }
    let (listener, address) = listen(backends, port)?;
    let id = backends.add(address, service, data_centre, old_id);
    let accept = accept_connections(backends.clone(), address, id, listener);
    backends.executor().spawn(accept).detach();
    Ok(address)
}

/// Accepts connections until the port is closed. If another process holds the
/// port open, connections wait there until the next process of the server
/// accepts them.
async fn accept_connections(
    backends: BackendServers,
    address: SocketAddr,
    mut id: String,
    listener: Async<TcpListener>,
) {
    loop {
        let accepted = async {
            loop {
                let socket = accept_unless_full(&backends, address, &listener);
                if let Some(socket) = socket.await {
                    return Some(socket);
                }
                fill_queue(&backends, address, &listener).await;
            }
        };
        let closed = async {
            wait_for_closed_port(&backends, address, &id).await;
            None
        };
        match closed.or(accepted).await {
            Some(Ok(socket)) => {
                let id = id.clone();
                let serve = serve(backends.clone(), address, id, socket);
                backends.executor().spawn(serve).detach();
            }
            None if backends.server(address).is_some_and(|s| s.holds_port) => {
                let Some(next) = await_next_process(&backends, address).await
                else {
                    return;
                };
                id = next;
            }
            _ => return backends.close_relay(address),
        }
    }
}

/// Waits for the next process of a server that has exited; returns its id, or
/// `None` once the port is to be closed.
async fn await_next_process(
    backends: &BackendServers,
    address: SocketAddr,
) -> Option<String> {
    loop {
        let server = backends.server(address)?;
        if server.status != ServerStatus::Exited {
            return Some(server.id);
        }
        if !server.holds_port {
            return None;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Opens a listener on a port and returns it with its public address. If the
/// site emulates links, a relay on that port forwards to the listener.
fn listen(
    backends: &BackendServers,
    port: u16,
) -> io::Result<(Async<TcpListener>, SocketAddr)> {
    let has_links = backends.site().has_links;
    let listen_port = if has_links { 0 } else { port };
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], listen_port))?;
    let local = listener.get_ref().local_addr()?;
    if !has_links {
        return Ok((listener, local));
    }
    let relay = Relay::try_start_at(port, local)?;
    let address = relay.address();
    backends.add_relay(relay);
    Ok((listener, address))
}

/// Accepts a connection; `None` once the queue of the port is to be full.
async fn accept_unless_full(
    backends: &BackendServers,
    address: SocketAddr,
    listener: &Async<TcpListener>,
) -> Option<io::Result<Async<TcpStream>>> {
    let accepted = async {
        let accepted = listener.accept().await;
        Some(accepted.map(|(socket, _)| socket))
    };
    let is_full = async {
        wait_for_full_port(backends, address, true).await;
        None
    };
    accepted.or(is_full).await
}

/// Fills the queue of a port, and waits until it is no longer to be full.
async fn fill_queue(
    backends: &BackendServers,
    address: SocketAddr,
    listener: &Async<TcpListener>,
) {
    // The kernel keeps one connection more than it is told.
    let local = listener.get_ref().local_addr();
    let shortened = rustix::net::listen(listener.get_ref(), 0);
    let (Ok(local), Ok(())) = (local, shortened) else { return };
    let _waiting = Async::<TcpStream>::connect(local).await;
    wait_for_full_port(backends, address, false).await;
    // Without the longer queue later connections would fail too.
    let _ = rustix::net::listen(listener.get_ref(), QUEUE_LENGTH);
}

/// Waits until the queue of a port is to be full, or no longer.
async fn wait_for_full_port(
    backends: &BackendServers,
    address: SocketAddr,
    is_full: bool,
) {
    let is_so = |server: ServerState| server.has_full_port == is_full;
    while !backends.server(address).is_none_or(is_so) {
        Timer::after(POLL_INTERVAL).await;
    }
}

async fn wait_for_closed_port(
    backends: &BackendServers,
    address: SocketAddr,
    id: &str,
) {
    let is_open = |server: ServerState| {
        server.id == id
            && server.status != ServerStatus::Exited
            && !server.has_closed_port
    };
    while backends.server(address).is_some_and(is_open) {
        Timer::after(POLL_INTERVAL).await;
    }
}

async fn wait_for_exit(
    backends: &BackendServers,
    address: SocketAddr,
    id: &str,
) {
    while backends
        .server(address)
        .is_some_and(|s| s.id == id && s.status != ServerStatus::Exited)
    {
        Timer::after(POLL_INTERVAL).await;
    }
}

async fn serve(
    backends: BackendServers,
    address: SocketAddr,
    id: String,
    socket: Async<TcpStream>,
) {
    let Ok(mut inbound) = Inbound::new(socket) else { return };
    let stream = inbound.stream().clone();
    let requests = async {
        serve_requests(&backends, address, &mut inbound).await;
    };
    let exited = wait_for_exit(&backends, address, &id);
    requests.or(exited).await;
    drop(stream);
    inbound.abort();
}

async fn serve_requests(
    backends: &BackendServers,
    address: SocketAddr,
    inbound: &mut Inbound,
) {
    let limits = InboundLimits {
        max_head_bytes: 32 << 10,
        max_body_bytes: backends.site().max_body_bytes,
        head_timeout: Duration::from_secs(5),
        body_timeout: Duration::from_secs(5),
        idle_timeout: Duration::from_secs(60),
    };
    while inbound.wait_for_bytes().await.is_ok() {
        let Ok(request) = inbound.receive(&limits).await else { return };
        if backends
            .server(address)
            .is_none_or(|s| s.status == ServerStatus::Unresponsive)
        {
            // Keep the connection open without a response.
            Timer::after(Duration::from_secs(60)).await;
            return;
        }
        if let Some(form) = unending_form(backends, address, &request) {
            let id = request.header("x-request-id").unwrap_or("");
            record_unending(backends, address, &request, id);
            return unending::respond(inbound, form, id).await;
        }
        let keeps_connection = match request.path() {
            _ if !is_running(backends, address) => false,
            HEALTH_PATH => health(backends, address, inbound).await,
            "/v1/report" => {
                let report = report(backends, address);
                write_json(inbound, 200, &report).await
            }
            "/v1/order" => order(backends, address, inbound, &request).await,
            _ => run(backends, address, inbound, &request).await,
        };
        if !keeps_connection {
            return;
        }
    }
}

/// Whether the process of a server runs.
fn is_running(backends: &BackendServers, address: SocketAddr) -> bool {
    let server = backends.server(address);
    server.is_some_and(|server| server.status != ServerStatus::Exited)
}

/// Responds to a health check.
async fn health(
    backends: &BackendServers,
    address: SocketAddr,
    inbound: &mut Inbound,
) -> bool {
    let Some(server) = backends.server(address) else { return false };
    let mut out = b"HTTP/1.1 200 x\r\n".to_vec();
    push_header(&mut out, "x-instance-id", &server.id);
    push_header(&mut out, "content-length", "0");
    out.extend_from_slice(b"\r\n");
    inbound.write(&out).await.is_ok()
}

/// What the server sends without an end instead of a whole response.
fn unending_form(
    backends: &BackendServers,
    address: SocketAddr,
    request: &RelayRequest,
) -> Option<UnendingBytes> {
    let (form, scope) = backends.server(address)?.unending?;
    let is_call = request.path().starts_with("/v1/");
    let is_affected = match scope {
        UnendingIn::AllResponses => true,
        UnendingIn::Calls => is_call,
        UnendingIn::AfterEvents(_) => false,
    };
    is_affected.then_some(form)
}

/// Records a request that is answered without an end, and may therefore have
/// run.
fn record_unending(
    backends: &BackendServers,
    address: SocketAddr,
    request: &RelayRequest,
    id: &str,
) {
    if request.path().starts_with("/v1/") || request.path() == HEALTH_PATH {
        return;
    }
    if let Some(server) = backends.server(address) {
        backends.record_arrival(id, &server.id, stated_deadline(request));
        backends.record_run(id, &server.id);
    }
}

/// Time that a request gives the server.
fn stated_deadline(request: &RelayRequest) -> Option<Duration> {
    let stated = request.header("x-deadline-ms")?;
    Some(Duration::from_millis(stated.parse().ok()?))
}

fn report(backends: &BackendServers, address: SocketAddr) -> Value {
    let Some(server) = backends.server(address) else { return json!({}) };
    let stalled: Vec<Value> = server
        .streams
        .iter()
        .filter_map(|(id, stream)| {
            let at = stream.stalled_at?;
            Some(json!({"id": id, "address": at.to_string()}))
        })
        .collect();
    json!({
        "stage": "both",
        "models": [],
        "busy": false,
        "seq": server.order_count,
        "born": server.started_unix_ms,
        "queued": 0,
        "active": server.streams.len(),
        "kv-used": 0,
        "kv-total": 100_000,
        "handles": 0,
        "pace": server.slowness,
        "layers": layers_json(server.layers),
        "stalled": stalled,
    })
}

async fn order(
    backends: &BackendServers,
    address: SocketAddr,
    inbound: &mut Inbound,
    request: &RelayRequest,
) -> bool {
    let expected = request.header("x-expected-instance");
    if !backends.is_instance(address, expected) {
        return write_json(inbound, 421, &json!({})).await;
    }
    let body: Value =
        serde_json::from_slice(&request.body).unwrap_or_default();
    let number = |name: &str| body[name].as_u64();
    match body["op"].as_str() {
        Some("place") => {
            let range = (
                number("from").unwrap_or(0) as u32,
                number("target").unwrap_or(0) as u32,
            );
            if number("expect-rev").is_none() {
                let text = format!("{address}: an order expects no count");
                backends.record_violation(text);
            }
            let status =
                backends.place_layers(address, range, number("expect-rev"));
            write_json(inbound, status, &json!({})).await
        }
        Some("repath") => {
            let id = body["id"].as_str().unwrap_or("");
            let path = parse_path(body["path"].as_str().unwrap_or(""));
            let (status, at) = backends.change_path(address, id, path);
            let body = match at {
                Some(at) => json!({"address": at.to_string()}),
                None => json!({}),
            };
            write_json(inbound, status, &body).await
        }
        _ => write_json(inbound, 400, &json!({})).await,
    }
}

fn parse_path(text: &str) -> Vec<PathStage> {
    let stage = |stage: &str| {
        let (address, range) = stage.split_once('=')?;
        let (from, to) = range.split_once('-')?;
        let from = from.parse().ok()?;
        Some((address.parse().ok()?, from, to.parse().ok()?))
    };
    text.split(',').filter_map(stage).collect()
}

async fn write_json(inbound: &mut Inbound, status: u16, body: &Value) -> bool {
    let body = body.to_string();
    let head = format!(
        "HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    inbound.write(head.as_bytes()).await.is_ok()
}

/// Runs a client request; returns false if the connection must be closed.
async fn run(
    backends: &BackendServers,
    address: SocketAddr,
    inbound: &mut Inbound,
    request: &RelayRequest,
) -> bool {
    let id = request.header("x-request-id").unwrap_or("").to_owned();
    let Some(server) = backends.server(address) else { return false };
    backends.record_arrival(&id, &server.id, stated_deadline(request));
    let account = request.header("x-tenant");
    let has_key = request.header("authorization").is_some();
    backends.check_request(&id, account, has_key);
    let expected = request.header("x-expected-instance");
    if !backends.is_instance(address, expected) {
        return reject(backends, address, inbound, &id, (421, address)).await;
    }
    if let Some(cooldown) = backends.reject_for_cooldown(address, &id) {
        return reject_with_cooldown(
            backends, address, inbound, &id, &cooldown,
        )
        .await;
    }
    match server.service {
        PLAIN_SERVICE => {
            run_plain(backends, address, &server, inbound, request, &id).await
        }
        _ => run_stream(backends, address, inbound, request, &id).await,
    }
}

/// Rejects a request with a status and the address of the rejecting engine.
async fn reject(
    backends: &BackendServers,
    address: SocketAddr,
    inbound: &mut Inbound,
    id: &str,
    (status, at): (u16, SocketAddr),
) -> bool {
    let header = ("at-server", at.to_string());
    send_rejection(backends, address, inbound, id, (status, header)).await
}

/// Rejects a request and requests a cooldown.
async fn reject_with_cooldown(
    backends: &BackendServers,
    address: SocketAddr,
    inbound: &mut Inbound,
    id: &str,
    cooldown: &str,
) -> bool {
    let header = ("retry-after", cooldown.to_owned());
    send_rejection(backends, address, inbound, id, (503, header)).await
}

/// Responds to a request that was not run, with one additional header.
async fn send_rejection(
    backends: &BackendServers,
    address: SocketAddr,
    inbound: &mut Inbound,
    id: &str,
    (status, (name, value)): (u16, (&str, String)),
) -> bool {
    let mut out = format!("HTTP/1.1 {status} x\r\n").into_bytes();
    push_header(&mut out, "x-request-id", id);
    push_header(&mut out, "x-not-executed", "1");
    push_header(&mut out, name, &value);
    push_notices(&mut out, backends, address, id);
    push_header(&mut out, "content-length", "0");
    out.extend_from_slice(b"\r\n");
    inbound.write(&out).await.is_ok()
}

async fn run_plain(
    backends: &BackendServers,
    address: SocketAddr,
    server: &crate::backend_servers::ServerState,
    inbound: &mut Inbound,
    request: &RelayRequest,
    id: &str,
) -> bool {
    let crash = backends.record_crashing(crash_cause(request));
    if let Some(arrival) = crash {
        begin_plain_response(backends, inbound, request, id).await;
        backends.crash(address, arrival).await;
        return false;
    }
    let runs = backends.record_run(id, &server.id);
    if runs > 1 && request.path().starts_with(ONCE_PATH) {
        backends.record_violation(format!("{id}: ran {runs} times"));
    }
    let ms = backends.site().plain_ms as f64 * server.slowness;
    Timer::after(Duration::from_millis(ms as u64)).await;
    if fastrand::f64() < server.response_loss_rate {
        return false;
    }
    let is_stream = [STREAM_PATH, URGENT_STREAM_PATH]
        .iter()
        .any(|prefix| request.path().starts_with(prefix));
    if is_stream {
        backends.record_violation(format!("{id}: ran at another service"));
    }
    let status = if fastrand::f64() < server.failure_rate { 500 } else { 200 };
    let body = token_of(request);
    let mut out = Vec::new();
    if server.sends_foreign_response {
        out.extend_from_slice(
            b"HTTP/1.1 200 x\r\nx-request-id: other\r\n\
              x-response-signature: signed-other\r\n\
              content-length: 5\r\n\r\nother",
        );
    }
    out.extend_from_slice(format!("HTTP/1.1 {status} x\r\n").as_bytes());
    push_header(&mut out, "x-request-id", id);
    push_header(&mut out, "x-response-signature", &signature(id));
    if !server.omits_framing {
        push_header(&mut out, "content-length", &body.len().to_string());
    }
    push_notices(&mut out, backends, address, id);
    if fastrand::f64() < server.head_cut_rate {
        send_part(inbound, &out).await;
        return false;
    }
    out.extend_from_slice(b"\r\n");
    if server.exits_within_response {
        out.extend_from_slice(&body.as_bytes()[..body.len() / 2]);
        // The server exits, whether or not the caller is still there.
        let _ = inbound.write(&out).await;
        backends.terminate(address);
        return false;
    }
    out.extend_from_slice(body.as_bytes());
    inbound.write(&out).await.is_ok() && !server.omits_framing
}

/// Sends what a server sends of a plain response before it crashes.
async fn begin_plain_response(
    backends: &BackendServers,
    inbound: &mut Inbound,
    request: &RelayRequest,
    id: &str,
) {
    let body = token_of(request);
    let mut out = b"HTTP/1.1 200 x\r\n".to_vec();
    push_header(&mut out, "x-request-id", id);
    push_header(&mut out, "x-response-signature", &signature(id));
    push_header(&mut out, "content-length", &body.len().to_string());
    out.extend_from_slice(b"\r\n");
    match backends.crash_plan().point {
        CrashPoint::BeforeHead => return,
        CrashPoint::AfterHead => {}
        CrashPoint::AfterEvents(_) => {
            out.extend_from_slice(&body.as_bytes()[..body.len() / 2]);
        }
    }
    // The server crashes, whether or not the caller is still there.
    let _ = inbound.write(&out).await;
}

/// Sends some first bytes of a head without its last line.
async fn send_part(inbound: &mut Inbound, head: &[u8]) {
    let length = fastrand::usize(..head.len());
    // The caller may have left.
    let _ = inbound.write(&head[..length]).await;
}

/// Adds the headers with which a server announces its limit and its leaving.
fn push_notices(
    out: &mut Vec<u8>,
    backends: &BackendServers,
    address: SocketAddr,
    request: &str,
) {
    for (name, value) in backends.notice_headers(address, request) {
        push_header(out, name, &value);
    }
}

/// Signature of the response to a request.
pub fn signature(id: &str) -> String {
    format!("signed-{id}")
}

fn token_of(request: &RelayRequest) -> &str {
    let path = request.path();
    path.rsplit('/').next().unwrap_or(path)
}

/// What a server that runs this request crashes of, if it does.
fn crash_cause(request: &RelayRequest) -> Option<&str> {
    let token = token_of(request);
    if token.starts_with(CRASH_PREFIX) {
        return Some(token);
    }
    let parts = request.header("x-prompt-prefix")?.split(',');
    let mut ids = parts.map(|part| part.split(':').next().unwrap_or(part));
    ids.find(|id| id.starts_with(CRASH_PART_PREFIX))
}

async fn run_stream(
    backends: &BackendServers,
    address: SocketAddr,
    inbound: &mut Inbound,
    request: &RelayRequest,
    id: &str,
) -> bool {
    let path = parse_path(request.header("x-hop-count").unwrap_or(""));
    if path.first().is_none_or(|stage| stage.0 != address) {
        return reject(backends, address, inbound, id, (400, address)).await;
    }
    if let Some((at, status)) = backends.unavailable_stage(&path) {
        return reject(backends, address, inbound, id, (status, at)).await;
    }
    let arrival = backends.record_crashing(crash_cause(request));
    let state = StreamState { path, stalled_at: None };
    backends.update_server(address, |server| {
        server.streams.insert(id.to_owned(), state);
    });
    let server = backends.server(address);
    let server_id = server.as_ref().map_or("", |server| &server.id);
    backends.record_run(id, server_id);
    let draw = |rate: fn(&ServerState) -> f64| {
        fastrand::f64() < server.as_ref().map_or(0.0, rate)
    };
    if draw(|server| server.failure_rate) {
        return respond_with_error(backends, address, inbound, id).await;
    }
    if draw(|server| server.hang_rate) {
        Timer::after(STALL_TIMEOUT).await;
        return false;
    }
    if let Some(arrival) = arrival {
        let ways = (backends, address);
        crash_under_stream(ways, inbound, request, id, arrival).await;
        return false;
    }
    let resets = draw(|server| server.response_loss_rate);
    if draw(|server| server.head_cut_rate) {
        let head = stream_head(backends, address, id);
        send_part(inbound, &head[..head.len() - 2]).await;
        backends.update_server(address, |server| {
            server.streams.remove(id);
        });
        return false;
    }
    let keeps_connection =
        !resets && send_events(backends, address, inbound, request, id).await;
    backends.update_server(address, |server| {
        server.streams.remove(id);
    });
    keeps_connection
}

/// Runs a stream up to the point at which it crashes its server.
async fn crash_under_stream(
    (backends, address): (&BackendServers, SocketAddr),
    inbound: &mut Inbound,
    request: &RelayRequest,
    id: &str,
    arrival: usize,
) {
    let is_sent = match backends.crash_plan().point {
        CrashPoint::BeforeHead => true,
        CrashPoint::AfterHead => {
            let head = stream_head(backends, address, id);
            inbound.write(&head).await.is_ok()
        }
        CrashPoint::AfterEvents(count) => {
            let left = backends.site().events - last_event(request);
            let count = count.min(left.saturating_sub(1));
            send_some_events(backends, address, inbound, request, id, count)
                .await
        }
    };
    if is_sent {
        backends.crash(address, arrival).await;
    }
}

/// Sends the head and some events; returns false if the caller left, or the
/// engine exited meanwhile.
async fn send_some_events(
    backends: &BackendServers,
    address: SocketAddr,
    inbound: &mut Inbound,
    request: &RelayRequest,
    id: &str,
    count: u64,
) -> bool {
    let head = stream_head(backends, address, id);
    let mut is_sent = inbound.write(&head).await.is_ok();
    let last = last_event(request);
    for number in last + 1..=last + count {
        if !is_sent || !produce_token(backends, address, id).await {
            return false;
        }
        let mut out = Vec::new();
        let event = event_text(token_of(request), number);
        push_chunk(&mut out, event.as_bytes());
        is_sent = inbound.write(&out).await.is_ok();
    }
    is_sent
}

/// Number of the last event that the caller of a stream has.
fn last_event(request: &RelayRequest) -> u64 {
    let last = request.header("last-event-id");
    last.and_then(|v| v.parse().ok()).unwrap_or(0)
}

async fn respond_with_error(
    backends: &BackendServers,
    address: SocketAddr,
    inbound: &mut Inbound,
    id: &str,
) -> bool {
    backends.update_server(address, |server| {
        server.streams.remove(id);
    });
    let mut out = b"HTTP/1.1 500 x\r\n".to_vec();
    push_header(&mut out, "x-request-id", id);
    push_header(&mut out, "x-response-signature", &signature(id));
    push_header(&mut out, "content-length", "0");
    push_notices(&mut out, backends, address, id);
    out.extend_from_slice(b"\r\n");
    inbound.write(&out).await.is_ok()
}

fn stream_head(
    backends: &BackendServers,
    address: SocketAddr,
    id: &str,
) -> Vec<u8> {
    let mut head = b"HTTP/1.1 200 OK\r\n".to_vec();
    push_header(&mut head, "x-request-id", id);
    push_header(&mut head, "x-response-signature", &signature(id));
    push_header(&mut head, "content-type", "text/event-stream");
    if !omits_framing(backends, address) {
        push_header(&mut head, "transfer-encoding", "chunked");
    }
    push_notices(&mut head, backends, address, id);
    head.extend_from_slice(b"\r\n");
    head
}

async fn send_events(
    backends: &BackendServers,
    address: SocketAddr,
    inbound: &mut Inbound,
    request: &RelayRequest,
    id: &str,
) -> bool {
    if inbound.write(&stream_head(backends, address, id)).await.is_err() {
        return false;
    }
    let last = last_event(request);
    let token = token_of(request);
    let is_framed = !omits_framing(backends, address);
    let partial_rate =
        backends.server(address).map_or(0.0, |s| s.partial_event_rate);
    let partial_at = (fastrand::f64() < partial_rate)
        .then(|| fastrand::u64(1..=backends.site().events));
    for number in last + 1..=backends.site().events {
        if !produce_token(backends, address, id).await {
            return false;
        }
        let event = event_text(token, number);
        let is_partial = partial_at == Some(number);
        let length = if is_partial { event.len() / 2 } else { event.len() };
        let mut out = Vec::new();
        match is_framed {
            true => push_chunk(&mut out, &event.as_bytes()[..length]),
            false => out.extend_from_slice(&event.as_bytes()[..length]),
        }
        if inbound.write(&out).await.is_err() {
            return false;
        }
        if is_partial {
            break;
        }
        let unending = backends.server(address).and_then(|s| s.unending);
        if let Some((form, UnendingIn::AfterEvents(events))) = unending
            && number >= events
        {
            unending::go_on(inbound, form).await;
            return false;
        }
    }
    is_framed && inbound.write(LAST_CHUNK).await.is_ok()
}

fn omits_framing(backends: &BackendServers, address: SocketAddr) -> bool {
    backends.server(address).is_some_and(|server| server.omits_framing)
}

/// Waits until the path of a stream has produced a token; returns false if the
/// stream stalled for too long.
async fn produce_token(
    backends: &BackendServers,
    address: SocketAddr,
    id: &str,
) -> bool {
    let until = Instant::now() + STALL_TIMEOUT;
    loop {
        let Some(path) = current_path(backends, address, id) else {
            return false;
        };
        let Some(failed) = backends.failed_engine(&path) else {
            backends.check_layer_order(id, &path);
            Timer::after(backends.event_time(&path)).await;
            // An engine may have failed meanwhile.
            if backends.failed_engine(&path).is_none() {
                return true;
            }
            continue;
        };
        backends.update_server(address, |server| {
            if let Some(stream) = server.streams.get_mut(id)
                && stream.path == path
            {
                stream.stalled_at = Some(failed);
            }
        });
        if Instant::now() >= until {
            return false;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

fn current_path(
    backends: &BackendServers,
    address: SocketAddr,
    id: &str,
) -> Option<Vec<PathStage>> {
    let server = backends.server(address)?;
    Some(server.streams.get(id)?.path.clone())
}
