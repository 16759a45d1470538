//! Serving HTTP with faults.
//!
//! A stand-in's handler may ask for its connection to be closed unanswered,
//! or to stay silent, besides giving an answer.

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
    faults::{Before, FaultSwitches, Faults},
    record::Record,
};

/// Longest body taken: a batch of long prompts' activations.
const MAX_BODY_BYTES: usize = 256 << 20;

/// What becomes of a call.
pub(crate) enum Reply {
    Answer(Box<Response>),
    Close,
    StaySilent,
}

impl From<Response> for Reply {
    fn from(response: Response) -> Reply {
        Reply::Answer(Box::new(response))
    }
}

/// Serves every connection until the listener fails.
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
            let (cut, is_cut) = async_channel::bounded::<()>(1);
            let options = ServerOptions::new().max_body_bytes(MAX_BODY_BYTES);
            let serving = serve_connection(socket, &options, |received| {
                answer(&handle, received, &cut)
            });
            let cutting = async {
                // The channel is never written to, only closed.
                let _ = is_cut.recv().await;
                Ok(())
            };
            let _ = serving.or(cutting).await;
        };
        executor.spawn(connection).detach();
    }
}

async fn answer<H, F>(
    handle: &H,
    received: ReceivedRequest,
    cut: &async_channel::Sender<()>,
) -> Response
where
    H: Fn(ReceivedRequest) -> F,
    F: Future<Output = Reply>,
{
    let connection = received.connection.clone();
    match handle(received).await {
        Reply::Answer(response) => return *response,
        Reply::Close => {}
        Reply::StaySilent => connection.peer_closed().await,
    }
    cut.close();
    future::pending().await
}

/// Handles a call under the switches; `run` is what the stand-in does.
pub(crate) async fn with_faults(
    switches: &FaultSwitches,
    run: impl Future<Output = Response>,
) -> Reply {
    match switches.before_run() {
        Before::Run => {}
        Before::Close => return Reply::Close,
        Before::StaySilent => return Reply::StaySilent,
        Before::Fail => return failure().into(),
        Before::Rest(rest) => return turned_away(rest).into(),
    }
    let response = run.await;
    let delay = switches.delay();
    if delay > Duration::ZERO {
        Timer::after(delay).await;
    }
    if switches.loses_answer() {
        return Reply::Close;
    }
    response.into()
}

fn failure() -> Response {
    error(StatusCode::InternalServerError, "a fault that was switched on")
}

fn turned_away(rest: Duration) -> Response {
    let status = StatusCode::ServiceUnavailable;
    let mut response = error(status, "rest is wanted");
    let rest_s = rest.as_secs_f64().to_string();
    response.insert_header(RETRY_AFTER, rest_s);
    response
}

/// Handles the paths that work whatever is switched on.
pub(crate) fn control<T: Clone + Serialize>(
    received: &ReceivedRequest,
    switches: &FaultSwitches,
    record: &Record<T>,
) -> Option<Response> {
    let method = received.request.method();
    match (method, received.request.url().path()) {
        (Method::Get, "/faults") => Some(json(&switches.read())),
        (Method::Get, "/held") => Some(json(&switches.held())),
        (Method::Get, "/rests") => Some(json(&switches.rests())),
        (Method::Put, "/faults") => {
            Some(parsed(&received.body, |faults: Faults| {
                switches.replace(faults);
                json(&switches.read())
            }))
        }
        (Method::Get, "/record") => {
            let since = query_number(received, "since").unwrap_or(0);
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(record.lines_since(since));
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

/// Answers a body of JSON, or 400 when it is none.
pub(crate) fn parsed<T: DeserializeOwned>(
    body: &[u8],
    answer: impl FnOnce(T) -> Response,
) -> Response {
    match serde_json::from_slice(body) {
        Ok(value) => answer(value),
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
