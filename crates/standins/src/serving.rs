//! HTTP server of the stand-ins, with fault injection.
//!
//! Instead of returning a response, the handler of a stand-in may close the
//! connection or never respond.

use std::{future, io, net::TcpListener, sync::Arc, time::Duration};

use async_executor::Executor;
use async_io::{Async, Timer};
use chestnutreach_http::{
    ReceivedRequest, ServerOptions, retry_after::RETRY_AFTER, serve_connection,
};
use futures_lite::FutureExt as _;
use http_types::{Method, Response, StatusCode, mime};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    faults::{CallAction, FaultSwitches, Faults},
    record::Record,
};

/// Maximum body size, large enough for the activations of a batch of long
/// prompts.
const MAX_BODY_BYTES: usize = 256 << 20;

/// Result of a call.
pub(crate) enum Reply {
    Respond(Box<Response>),
    Close,
    Hang,
}

impl From<Response> for Reply {
    fn from(response: Response) -> Reply {
        Reply::Respond(Box::new(response))
    }
}

/// Serves connections until the listener fails.
pub(crate) async fn serve<H, F>(
    executor: Arc<Executor<'static>>,
    listener: Async<TcpListener>,
    handle: H,
) -> io::Result<()>
where
    H: Fn(ReceivedRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send,
{
    loop {
        let (socket, _) = listener.accept().await?;
        let handle = handle.clone();
        let connection = async move {
            let (abort, aborted) = async_channel::bounded::<()>(1);
            let options = ServerOptions::new().max_body_bytes(MAX_BODY_BYTES);
            let serving = serve_connection(socket, &options, |received| {
                respond(&handle, received, &abort)
            });
            let until_aborted = async {
                // Nothing is sent on the channel; closing it aborts the
                // connection.
                let _ = aborted.recv().await;
                Ok(())
            };
            let _ = serving.or(until_aborted).await;
        };
        executor.spawn(connection).detach();
    }
}

async fn respond<H, F>(
    handle: &H,
    received: ReceivedRequest,
    abort: &async_channel::Sender<()>,
) -> Response
where
    H: Fn(ReceivedRequest) -> F,
    F: Future<Output = Reply>,
{
    let connection = received.connection.clone();
    match handle(received).await {
        Reply::Respond(response) => return *response,
        Reply::Close => {}
        Reply::Hang => connection.peer_closed().await,
    }
    abort.close();
    future::pending().await
}

/// Handles a call under the current faults; `run` computes the response.
pub(crate) async fn with_faults(
    faults: &FaultSwitches,
    run: impl Future<Output = Response>,
) -> Reply {
    match faults.next_action() {
        CallAction::Run => {}
        CallAction::Close => return Reply::Close,
        CallAction::Hang => return Reply::Hang,
        CallAction::Fail => return injected_error().into(),
        CallAction::Reject(cooldown) => return rejection(cooldown).into(),
    }
    let response = run.await;
    let delay = faults.delay();
    if delay > Duration::ZERO {
        Timer::after(delay).await;
    }
    if faults.loses_response() {
        return Reply::Close;
    }
    response.into()
}

fn injected_error() -> Response {
    error(StatusCode::InternalServerError, "injected fault")
}

fn rejection(cooldown: Duration) -> Response {
    let status = StatusCode::ServiceUnavailable;
    let mut response = error(status, "the server requests a cooldown");
    let cooldown_s = cooldown.as_secs_f64().to_string();
    response.insert_header(RETRY_AFTER, cooldown_s);
    response
}

/// Handles the control paths, which faults don't affect; none for any other
/// path.
pub(crate) fn handle_control<T: Clone + Serialize>(
    received: &ReceivedRequest,
    faults: &FaultSwitches,
    record: &Record<T>,
) -> Option<Response> {
    let method = received.request.method();
    match (method, received.request.url().path()) {
        (Method::Get, "/faults") => Some(json(&faults.read())),
        (Method::Get, "/held") => Some(json(&faults.held_calls())),
        (Method::Get, "/rests") => Some(json(&faults.cooldown_stats())),
        (Method::Put, "/faults") => {
            Some(with_json_body(&received.body, |new_faults: Faults| {
                faults.replace(new_faults);
                json(&faults.read())
            }))
        }
        (Method::Get, "/record") => {
            let since = query_number(received, "since").unwrap_or(0);
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(record.json_lines_since(since));
            response.set_content_type(mime::PLAIN);
            Some(response)
        }
        (Method::Delete, "/record") => {
            record.clear();
            Some(json(&()))
        }
        _ => None,
    }
}

fn query_number(received: &ReceivedRequest, name: &str) -> Option<u64> {
    let mut pairs = received.request.url().query_pairs();
    pairs.find(|(key, _)| key == name)?.1.parse().ok()
}

/// Parses the body as JSON and handles it; returns status 400 if the body
/// can't be parsed.
pub(crate) fn with_json_body<T: DeserializeOwned>(
    body: &[u8],
    handle: impl FnOnce(T) -> Response,
) -> Response {
    match serde_json::from_slice(body) {
        Ok(value) => handle(value),
        Err(e) => error(StatusCode::BadRequest, &e.to_string()),
    }
}

pub(crate) fn json<T: Serialize>(value: &T) -> Response {
    json_with_status(StatusCode::Ok, value)
}

pub(crate) fn json_with_status<T: Serialize>(
    status: StatusCode,
    value: &T,
) -> Response {
    let body = serde_json::to_vec(value).expect("plain structs make JSON");
    json_bytes(status, body)
}

pub(crate) fn json_bytes(status: StatusCode, body: Vec<u8>) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.set_content_type(mime::JSON);
    response
}

pub(crate) fn error(status: StatusCode, message: &str) -> Response {
    let body = chestnutreach_engine::order::ErrorBody {
        error: message.to_owned(),
        fencing_number: None,
    };
    json_with_status(status, &body)
}
