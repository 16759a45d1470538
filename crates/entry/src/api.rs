//! Which request goes where, and who may send it.

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
    answer::{self, REQUEST_HEADER},
    call::Call,
    language, models,
    openai::Endpoint,
    plain,
    session::Ending,
    shared::Shared,
    stop::Counted,
    terms::{DeadlineLimits, Terms},
    view::{AccountView, ServiceView, View},
};

/// Methods of the endpoints that make an answer.
const POST_ONLY: [Method; 2] = [Method::Post, Method::Options];
/// Methods of the endpoints that only tell something.
const GET_ONLY: [Method; 3] = [Method::Get, Method::Head, Method::Options];
/// Path of the list of models, and prefix of each.
const MODELS_PATH: &str = "/v1/models";
/// Most connections taken over from the system when a port closes.
const MAX_WAITING: usize = 1_024;
/// Wait after the system refuses a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers until the entry takes no more of them.
pub(crate) async fn serve(entry: Arc<Shared>, listener: Async<TcpListener>) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let closing = async {
            let _ = entry.stop.closing().recv().await;
            None
        };
        match closing.or(accepted).await {
            Some(Ok((socket, _))) => spawn_caller(&entry, socket),
            Some(Err(e)) => {
                emit(Event::AcceptFailed, &[("port", &"http"), ("error", &e)]);
                Timer::after(ACCEPT_PAUSE).await;
            }
            None => break,
        }
    }
    // Those that the system has taken already would be reset with the port.
    for _ in 0..MAX_WAITING {
        let Ok((socket, _)) = listener.get_ref().accept() else {
            break;
        };
        if let Ok(socket) = Async::new(socket) {
            spawn_caller(&entry, socket);
        }
    }
}

fn spawn_caller(entry: &Arc<Shared>, socket: Async<TcpStream>) {
    let counted = entry.stop.enter_caller();
    let task = serve_caller(entry.clone(), socket, counted);
    entry.spawn(task);
}

async fn serve_caller(
    entry: Arc<Shared>,
    socket: Async<TcpStream>,
    _counted: Counted,
) {
    let options = ServerOptions::new()
        .max_body_bytes(entry.settings.max_body_bytes)
        .error_response(answer::http_refusal)
        .shutdown(entry.stop.closing().clone());
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
    if entry.stop.is_leaving() {
        response.insert_header("connection", "close");
    }
    response
}

/// What a request is given when it arrives.
#[derive(Clone, Copy)]
struct Arrival {
    request: RequestId,
    arrived: Instant,
}

type Routed = Result<Response, Box<Response>>;

async fn route(
    entry: &Arc<Shared>,
    received: ReceivedRequest,
    arrival: Arrival,
) -> Routed {
    let view = entry.view.load_full();
    if view.generation == 0 {
        return Err(no_manifest(entry, arrival));
    }
    let path = received.request.url().path().to_owned();
    let method = received.request.method();
    let account = authenticate(&view, &received.request)?;
    let endpoint = match path.as_str() {
        "/v1/chat/completions" => Endpoint::Chat,
        "/v1/completions" => Endpoint::Completions,
        other => {
            if let Some(model) = model_path(other) {
                only(method, &GET_ONLY)?;
                return tell_models(&view, &account, model);
            }
            let (service, rest) = view
                .plain(other)
                .ok_or_else(|| not_found("not_found", other))?;
            let service = allowed(&account, service)?;
            plain::refuse_tunnel(method)?;
            let rest = rest.to_owned();
            let call = admit(entry, account, service, received, arrival)?;
            return plain::serve(entry, call, &rest).await;
        }
    };
    only(method, &POST_ONLY)?;
    complete(entry, &view, account, endpoint, received, arrival).await
}

/// The model that a path below the list of models names, if it is one;
/// nothing for the list itself.
fn model_path(path: &str) -> Option<&str> {
    let rest = path.strip_prefix(MODELS_PATH)?;
    if rest.is_empty() {
        return Some(rest);
    }
    rest.strip_prefix('/')
}

fn tell_models(view: &View, account: &AccountView, model: &str) -> Routed {
    if model.is_empty() {
        return Ok(models::list(view, account));
    }
    let model = models::decode(model);
    let service = view
        .model(&model)
        .ok_or_else(|| not_found("model_not_found", &model))?;
    let service = allowed(account, service)?;
    Ok(models::one(&model, &service))
}

async fn complete(
    entry: &Arc<Shared>,
    view: &View,
    account: Arc<AccountView>,
    endpoint: Endpoint,
    received: ReceivedRequest,
    arrival: Arrival,
) -> Routed {
    let mut asked = language::parse(endpoint, &received.body)?;
    let service = view
        .model(&asked.model)
        .ok_or_else(|| not_found("model_not_found", &asked.model))?;
    let service = allowed(&account, service)?;
    language::fit(&mut asked, &service)?;
    let call = admit(entry, account, service, received, arrival)?;
    language::serve(entry, call, endpoint, asked).await
}

/// Reads the terms of a request and counts it against this VM's limit.
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
    let terms = Terms::try_new(&received.request, limits).map_err(|e| {
        answer::bad_request("invalid_header", Some(e.name), &e.message)
    })?;
    let Arrival { request, arrived } = arrival;
    if entry.is_full() {
        let detail = "this VM has as many requests in flight as it may";
        return Err(come_back(entry, NotRunReason::Full, arrival, detail));
    }
    Ok(Call { received, account, service, terms, request, arrived })
}

/// Without a manifest nobody can tell whether a key is right.
fn no_manifest(entry: &Shared, arrival: Arrival) -> Box<Response> {
    let detail = "no manifest is in force on this VM yet";
    come_back(entry, NotRunReason::NoChain, arrival, detail)
}

fn come_back(
    entry: &Shared,
    reason: NotRunReason,
    arrival: Arrival,
    detail: &str,
) -> Box<Response> {
    let retry_after_ms = Some(entry.come_back_ms());
    let ending = Ending::not_run(reason, retry_after_ms, detail);
    answer::ended(&ending, Some(arrival.request), true)
}

fn authenticate(
    view: &View,
    request: &Request,
) -> Result<Arc<AccountView>, Box<Response>> {
    let account =
        bearer_key(request).and_then(|key| view.account(&key_digest(key)));
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

/// The bearer key; none where there is not exactly one.
fn bearer_key(request: &Request) -> Option<&str> {
    let mut values = request.header("authorization")?.iter();
    let only = values.next().filter(|_| values.next().is_none())?;
    let (scheme, key) = only.as_str().trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

fn allowed(
    account: &AccountView,
    service: &Arc<ServiceView>,
) -> Result<Arc<ServiceView>, Box<Response>> {
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

/// Refuses another method than those served, and answers `OPTIONS`.
fn only(method: Method, served: &[Method]) -> Result<(), Box<Response>> {
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
    Err(answer::wrong_method(&allow))
}

fn not_found(code: &str, what: &str) -> Box<Response> {
    answer::refusal(
        StatusCode::NotFound,
        "invalid_request_error",
        code,
        None,
        &format!("no service answers to {what:?}"),
    )
}
