//! Which request goes where, and who may send it.

use std::{
    net::{TcpListener, TcpStream},
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::{Async, Timer};
use chestnutreach_config::key_digest;
use chestnutreach_http::{Received, ServerOptions, serve_connection};
use chestnutreach_protocol::RequestId;
use chestnutreach_routing::Priority;
use chestnutreach_state::NotRunReason;
use chestnutreach_telemetry::{Event, emit};
use http_types::{Method, Request, Response, StatusCode};

use crate::{
    answer, language,
    node::Shared,
    openai::Endpoint,
    plain,
    session::Ending,
    view::{AccountView, ServiceView, View},
};

/// Header with the caller's time in milliseconds.
const DEADLINE_HEADER: &str = "chestnutreach-deadline-ms";
/// Header that marks a request as non-idempotent.
const NON_IDEMPOTENT_HEADER: &str = "chestnutreach-non-idempotent";
/// Header with the request's priority.
const PRIORITY_HEADER: &str = "chestnutreach-priority";
/// Published header with the key of a request that runs at most once.
const KEY_HEADER: &str = "idempotency-key";
/// Longest key.
const MAX_KEY_BYTES: usize = 255;
/// Wait after the system refuses a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// When to come back to a VM that has as many requests as it may.
const BUSY_RETRY_MS: u64 = 1_000;

/// Serves callers until the process ends.
pub(crate) async fn serve(entry: Arc<Shared>, listener: Async<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let task = serve_caller(entry.clone(), socket);
                entry.spawn(task);
            }
            Err(e) => {
                emit(Event::AcceptFailed, &[("port", &"http"), ("error", &e)]);
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(entry: Arc<Shared>, socket: Async<TcpStream>) {
    let options = ServerOptions::new()
        .max_body_bytes(entry.settings.max_body_bytes)
        .error_response(answer::http_refusal);
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

async fn respond(entry: &Arc<Shared>, received: Received) -> Response {
    let mut response = match route(entry, received).await {
        Ok(response) | Err(response) => response,
    };
    if entry.is_leaving() {
        response.insert_header("connection", "close");
    }
    response
}

/// What every handler gets.
pub(crate) struct Call {
    pub(crate) received: Received,
    pub(crate) account: Arc<AccountView>,
    pub(crate) service: Arc<ServiceView>,
    pub(crate) terms: Terms,
    pub(crate) request: RequestId,
    pub(crate) arrived: Instant,
}

/// What the headers of a request say of how it is to be served.
pub(crate) struct Terms {
    pub(crate) deadline_ms: u64,
    pub(crate) priority: Priority,
    /// None where the caller does not say.
    pub(crate) is_non_idempotent: Option<bool>,
    pub(crate) key: Option<String>,
}

type Routed = Result<Response, Response>;

async fn route(entry: &Arc<Shared>, received: Received) -> Routed {
    let arrived = Instant::now();
    let view = entry.view.load_full();
    let path = received.request.url().path().to_owned();
    let method = received.request.method();
    let account = authenticate(&view, &received.request)?;
    match path.as_str() {
        "/v1/chat/completions" => {
            only(method, Method::Post)?;
            let endpoint = Endpoint::Chat;
            complete(entry, &view, account, endpoint, received, arrived).await
        }
        "/v1/completions" => {
            only(method, Method::Post)?;
            let endpoint = Endpoint::Completions;
            complete(entry, &view, account, endpoint, received, arrived).await
        }
        "/v1/models" => {
            only(method, Method::Get)?;
            Ok(models(&view, &account))
        }
        other => {
            let (service, rest) = view
                .plain(other)
                .ok_or_else(|| not_found("not_found", other))?;
            let service = allowed(&account, service)?;
            let rest = rest.to_owned();
            let call = admit(entry, account, service, received, arrived)?;
            plain::serve(entry, call, &rest).await
        }
    }
}

async fn complete(
    entry: &Arc<Shared>,
    view: &View,
    account: Arc<AccountView>,
    endpoint: Endpoint,
    received: Received,
    arrived: Instant,
) -> Routed {
    let asked = language::parse(endpoint, &received.body)?;
    let service = view
        .model(&asked.model)
        .ok_or_else(|| not_found("model_not_found", &asked.model))?;
    let service = allowed(&account, service)?;
    language::check_size(&asked, &service)?;
    let call = admit(entry, account, service, received, arrived)?;
    language::serve(entry, call, endpoint, asked).await
}

/// Reads the terms and gives the request its identity.
fn admit(
    entry: &Arc<Shared>,
    account: Arc<AccountView>,
    service: Arc<ServiceView>,
    received: Received,
    arrived: Instant,
) -> Result<Call, Response> {
    let terms = Terms::try_new(&received.request, &service)?;
    let request = RequestId::random();
    if entry.is_full() {
        let ending = Ending::not_run(
            NotRunReason::Full,
            Some(BUSY_RETRY_MS + fastrand::u64(0..=BUSY_RETRY_MS)),
            "this VM has as many requests in flight as it may",
        );
        return Err(answer::ended(&ending, Some(request), true));
    }
    Ok(Call { received, account, service, terms, request, arrived })
}

fn authenticate(
    view: &View,
    request: &Request,
) -> Result<Arc<AccountView>, Response> {
    let header = request.header("authorization");
    let key = header.and_then(|values| {
        let (scheme, key) = values.as_str().split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    });
    let account = key.and_then(|key| view.account(&key_digest(key)));
    account.cloned().ok_or_else(|| {
        let mut response = answer::refusal(
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

fn allowed(
    account: &AccountView,
    service: &Arc<ServiceView>,
) -> Result<Arc<ServiceView>, Response> {
    if account.account.services.contains(&service.name) {
        return Ok(service.clone());
    }
    Err(answer::refusal(
        StatusCode::Forbidden,
        "invalid_request_error",
        "service_not_allowed",
        None,
        &format!("this client account may not use {:?}", service.name),
    ))
}

fn only(method: Method, expected: Method) -> Result<(), Response> {
    if method == expected {
        return Ok(());
    }
    let message = format!("only {expected} is served here");
    let mut response = answer::refusal(
        StatusCode::MethodNotAllowed,
        "invalid_request_error",
        "method_not_allowed",
        None,
        &message,
    );
    response.insert_header("allow", expected.to_string());
    Err(response)
}

fn not_found(code: &str, what: &str) -> Response {
    answer::refusal(
        StatusCode::NotFound,
        "invalid_request_error",
        code,
        None,
        &format!("no service answers to {what:?}"),
    )
}

fn models(view: &View, account: &AccountView) -> Response {
    let data: Vec<serde_json::Value> = view
        .models()
        .filter(|(_, s)| account.account.services.contains(&s.name))
        .map(|(model, service)| {
            serde_json::json!({
                "id": model,
                "object": "model",
                "created": 0,
                "owned_by": service.name,
            })
        })
        .collect();
    let list = serde_json::json!({"object": "list", "data": data});
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(list.to_string());
    response.insert_header("content-type", "application/json");
    response
}

impl Terms {
    fn try_new(
        request: &Request,
        service: &ServiceView,
    ) -> Result<Terms, Response> {
        let max_ms = service.service.max_deadline_ms;
        let deadline_ms = match value(request, DEADLINE_HEADER) {
            None => service.service.default_deadline_ms,
            Some(text) => text
                .parse()
                .ok()
                .filter(|ms| (1..=max_ms).contains(ms))
                .ok_or_else(|| {
                    let range = format!("a number of ms from 1 to {max_ms}");
                    wrong_header(DEADLINE_HEADER, text, &range)
                })?,
        };
        let priority = match value(request, PRIORITY_HEADER) {
            None => Priority::Normal,
            Some("low") => Priority::Low,
            Some("normal") => Priority::Normal,
            Some("high") => Priority::High,
            Some(text) => {
                let range = "low, normal or high";
                return Err(wrong_header(PRIORITY_HEADER, text, range));
            }
        };
        let is_non_idempotent = match value(request, NON_IDEMPOTENT_HEADER) {
            None => None,
            Some("true") => Some(true),
            Some("false") => Some(false),
            Some(text) => {
                let range = "true or false";
                return Err(wrong_header(NON_IDEMPOTENT_HEADER, text, range));
            }
        };
        let key = match value(request, KEY_HEADER) {
            None => None,
            Some(text) if is_key(text) => Some(text.to_owned()),
            Some(text) => {
                let range = format!("1 to {MAX_KEY_BYTES} visible characters");
                return Err(wrong_header(KEY_HEADER, text, &range));
            }
        };
        Ok(Terms { deadline_ms, priority, is_non_idempotent, key })
    }
}

fn value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.as_str())
}

fn is_key(text: &str) -> bool {
    let is_visible = text.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
    (1..=MAX_KEY_BYTES).contains(&text.len()) && is_visible
}

fn wrong_header(name: &str, value: &str, range: &str) -> Response {
    answer::refusal(
        StatusCode::BadRequest,
        "invalid_request_error",
        "invalid_header",
        Some(name),
        &format!("header {name} is {value:?}, not {range}"),
    )
}
