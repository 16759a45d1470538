//! HTTP server for callers: routing, authentication and admission.

use std::{
    net::{TcpListener, TcpStream},
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::{Async, Timer};
use chestnutreach_config::key_digest;
use chestnutreach_http::{ReceivedRequest, ServerOptions, serve_connection};
use chestnutreach_protocol::RequestId;
use chestnutreach_state::NotRunReason;
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;
use http_types::{Method, Request, Response, StatusCode};

use crate::{
    call::Call,
    error_response::{self, REQUEST_HEADER},
    language, models,
    openai::Endpoint,
    plain,
    request_options::{DeadlineLimits, RequestOptions},
    session::RequestFailure,
    shared::Shared,
    shutdown::CountGuard,
    view::{AccountView, ServiceView, View},
};

/// Methods of the endpoints that generate output.
const POST_ONLY: [Method; 2] = [Method::Post, Method::Options];
/// Methods of the read-only endpoints.
const GET_ONLY: [Method; 3] = [Method::Get, Method::Head, Method::Options];
/// Path of the list of models, and prefix of the path of each model.
const MODELS_PATH: &str = "/v1/models";
/// Maximum number of pending connections accepted when the port closes.
const MAX_PENDING_CONNECTIONS: usize = 1_024;
/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves callers until the entry stops accepting connections.
pub(crate) async fn serve(entry: Arc<Shared>, listener: Async<TcpListener>) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let closing = async {
            let _ = entry.shutdown.closing().recv().await;
            None
        };
        match closing.or(accepted).await {
            Some(Ok((socket, _))) => spawn_connection(&entry, socket),
            Some(Err(e)) => {
                emit(Event::AcceptFailed, &[("port", &"http"), ("error", &e)]);
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
            None => break,
        }
    }
    // Closing the port would reset connections that the kernel has accepted,
    // so they are served as well.
    for _ in 0..MAX_PENDING_CONNECTIONS {
        let Ok((socket, _)) = listener.get_ref().accept() else {
            break;
        };
        if let Ok(socket) = Async::new(socket) {
            spawn_connection(&entry, socket);
        }
    }
}

fn spawn_connection(entry: &Arc<Shared>, socket: Async<TcpStream>) {
    let guard = entry.shutdown.count_connection();
    let task = handle_connection(entry.clone(), socket, guard);
    entry.spawn(task);
}

async fn handle_connection(
    entry: Arc<Shared>,
    socket: Async<TcpStream>,
    _guard: CountGuard,
) {
    let options = ServerOptions::new()
        .max_body_bytes(entry.settings.max_body_bytes)
        .error_response(error_response::http_error)
        .shutdown(entry.shutdown.closing().clone());
    entry.metrics.caller_connections.inc();
    let served = serve_connection(socket, &options, |received| {
        let entry = entry.clone();
        async move { respond(&entry, received).await }
    })
    .await;
    entry.metrics.caller_connections.dec();
    if let Err(e) = served {
        emit(Event::HttpConnectionFailed, &[("port", &"http"), ("error", &e)]);
    }
}

async fn respond(entry: &Arc<Shared>, received: ReceivedRequest) -> Response {
    let arrival =
        Arrival { request: RequestId::random(), arrived: Instant::now() };
    let mut response = match route(entry, received, arrival).await {
        Ok(response) => response,
        Err(refusal) => *refusal,
    };
    if response.header(REQUEST_HEADER).is_none() {
        let request = arrival.request.to_string();
        response.insert_header(REQUEST_HEADER, request);
    }
    if entry.shutdown.is_draining() {
        response.insert_header("connection", "close");
    }
    response
}

/// ID and arrival time of a request.
#[derive(Clone, Copy)]
struct Arrival {
    request: RequestId,
    arrived: Instant,
}

type RouteResult = Result<Response, Box<Response>>;

async fn route(
    entry: &Arc<Shared>,
    received: ReceivedRequest,
    arrival: Arrival,
) -> RouteResult {
    let view = entry.view.load_full();
    if view.generation == 0 {
        return Err(no_manifest_response(entry, arrival));
    }
    let path = received.request.url().path().to_owned();
    let method = received.request.method();
    let account = authenticate(&view, &received.request)?;
    let endpoint = match path.as_str() {
        "/v1/chat/completions" => Endpoint::Chat,
        "/v1/completions" => Endpoint::Completions,
        other => {
            if let Some(model) = model_path(other) {
                check_method(method, &GET_ONLY)?;
                return serve_models(&view, &account, model);
            }
            let (service, rest) = view
                .plain(other)
                .ok_or_else(|| not_found("not_found", other))?;
            let service = check_access(&account, service)?;
            plain::refuse_tunnel(method)?;
            let rest = rest.to_owned();
            let call = admit(entry, account, service, received, arrival)?;
            return plain::serve(entry, call, &rest).await;
        }
    };
    check_method(method, &POST_ONLY)?;
    serve_completion(entry, &view, account, endpoint, received, arrival).await
}

/// The model that a path of the models endpoints names; empty for the list
/// itself, and `None` for other paths.
fn model_path(path: &str) -> Option<&str> {
    let rest = path.strip_prefix(MODELS_PATH)?;
    if rest.is_empty() {
        return Some(rest);
    }
    rest.strip_prefix('/')
}

fn serve_models(
    view: &View,
    account: &AccountView,
    model: &str,
) -> RouteResult {
    if model.is_empty() {
        return Ok(models::list(view, account));
    }
    let model = models::decode(model);
    let service = view
        .model(&model)
        .ok_or_else(|| not_found("model_not_found", &model))?;
    let service = check_access(account, service)?;
    Ok(models::one(&model, &service))
}

async fn serve_completion(
    entry: &Arc<Shared>,
    view: &View,
    account: Arc<AccountView>,
    endpoint: Endpoint,
    received: ReceivedRequest,
    arrival: Arrival,
) -> RouteResult {
    let mut parsed = language::parse(endpoint, &received.body)?;
    let service = view
        .model(&parsed.model)
        .ok_or_else(|| not_found("model_not_found", &parsed.model))?;
    let service = check_access(&account, service)?;
    language::limit_to_context(&mut parsed, &service)?;
    let call = admit(entry, account, service, received, arrival)?;
    language::serve(entry, call, endpoint, parsed).await
}

/// Parses the options of a request and checks the limit on requests in
/// flight.
fn admit(
    entry: &Arc<Shared>,
    account: Arc<AccountView>,
    service: Arc<ServiceView>,
    received: ReceivedRequest,
    arrival: Arrival,
) -> Result<Call, Box<Response>> {
    let limits = DeadlineLimits {
        default_ms: service.service.default_deadline_ms,
        max_ms: service.service.max_deadline_ms,
    };
    let options =
        RequestOptions::try_new(&received.request, limits).map_err(|e| {
            error_response::bad_request(
                "invalid_header",
                Some(e.name),
                &e.message,
            )
        })?;
    let Arrival { request, arrived } = arrival;
    if entry.is_full() {
        let detail = "this VM has as many requests in flight as it may";
        return Err(not_run_response(
            entry,
            NotRunReason::Full,
            arrival,
            detail,
        ));
    }
    Ok(Call { received, account, service, options, request, arrived })
}

/// Response while no manifest is in force: without a manifest, no bearer key
/// can be verified.
fn no_manifest_response(entry: &Shared, arrival: Arrival) -> Box<Response> {
    let detail = "no manifest is in force on this VM yet";
    not_run_response(entry, NotRunReason::NoChain, arrival, detail)
}

fn not_run_response(
    entry: &Shared,
    reason: NotRunReason,
    arrival: Arrival,
    detail: &str,
) -> Box<Response> {
    let retry_after_ms = Some(entry.retry_after_ms());
    let failure = RequestFailure::not_run(reason, retry_after_ms, detail);
    error_response::for_failure(&failure, Some(arrival.request), true)
}

fn authenticate(
    view: &View,
    request: &Request,
) -> Result<Arc<AccountView>, Box<Response>> {
    let account =
        bearer_key(request).and_then(|key| view.account(&key_digest(key)));
    account.cloned().ok_or_else(|| {
        let mut response = error_response::refusal(
            StatusCode::Unauthorized,
            "invalid_request_error",
            "invalid_api_key",
            None,
            "no client account has this bearer key",
        );
        response.insert_header("www-authenticate", "Bearer");
        response
    })
}

/// The bearer key; `None` unless the request has exactly one authorization
/// header.
fn bearer_key(request: &Request) -> Option<&str> {
    let mut values = request.header("authorization")?.iter();
    let only = values.next().filter(|_| values.next().is_none())?;
    let (scheme, key) = only.as_str().trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

fn check_access(
    account: &AccountView,
    service: &Arc<ServiceView>,
) -> Result<Arc<ServiceView>, Box<Response>> {
    if account.account.services.contains(&service.name) {
        return Ok(service.clone());
    }
    Err(error_response::refusal(
        StatusCode::Forbidden,
        "invalid_request_error",
        "service_not_allowed",
        None,
        &format!("this client account may not use {:?}", service.name),
    ))
}

/// Checks the method against the supported ones. `OPTIONS` ends with its
/// response as the error.
fn check_method(
    method: Method,
    served: &[Method],
) -> Result<(), Box<Response>> {
    let allow: Vec<&str> = served.iter().map(AsRef::as_ref).collect();
    let allow = allow.join(", ");
    if method == Method::Options {
        let mut response = Box::new(Response::new(StatusCode::NoContent));
        response.insert_header("allow", allow);
        return Err(response);
    }
    if served.contains(&method) {
        return Ok(());
    }
    Err(error_response::method_not_allowed(&allow))
}

fn not_found(code: &str, what: &str) -> Box<Response> {
    error_response::refusal(
        StatusCode::NotFound,
        "invalid_request_error",
        code,
        None,
        &format!("no service answers to {what:?}"),
    )
}
