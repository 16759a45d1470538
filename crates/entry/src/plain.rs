//! Requests for a plain service.

use std::{collections::BTreeSet, str::FromStr as _, sync::Arc};

use chestnutreach_protocol::wire;
use chestnutreach_state::Outcome;
use futures_lite::{FutureExt as _, io};
use http_types::{
    Body, Method, Request, Response, StatusCode,
    headers::{HeaderName, HeaderValue},
};

use crate::{
    call::Call,
    error_response::{self, OUTCOME_HEADER, REQUEST_HEADER},
    language::deadline,
    progress_source::{self, ProgressSource},
    request_tracker::RequestTracker,
    session::{Job, JobWork, Progress},
    shared::Shared,
};

/// Request headers that are not forwarded: those of the connection and the
/// bearer key. Headers of the router itself are removed by prefix.
const STRIPPED_HEADERS: [&str; 12] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
const STRIPPED_PREFIX: &str = "chestnutreach-";

/// Methods in the `allow` header of a refused tunnel. All methods except
/// `CONNECT` are forwarded, also those that are not listed here.
const ADVERTISED_METHODS: &str =
    "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS";

/// Refuses `CONNECT`: a client takes a successful response as an open tunnel.
///
/// # Errors
///
/// Returns the error response if the method is `CONNECT`.
pub(crate) fn refuse_tunnel(method: Method) -> Result<(), Box<Response>> {
    if method != Method::Connect {
        return Ok(());
    }
    Err(error_response::method_not_allowed(ADVERTISED_METHODS))
}

/// Serves a request for a plain service; `subpath` is the path below that of
/// the service.
pub(crate) async fn serve(
    entry: &Arc<Shared>,
    mut call: Call,
    subpath: &str,
) -> Result<Response, Box<Response>> {
    let method = call.received.request.method();
    let keyed = progress_source::keyed_request(entry, &call);
    let job = job(&mut call, subpath);
    let is_idempotent = job.is_idempotent;
    let mut tracker = RequestTracker::new(entry, &call);
    let mut source = ProgressSource::start(entry, job, keyed);
    let connection = &call.received.connection;
    let mut buffer = ResponseBuffer::default();
    loop {
        let next = async { Some(source.next().await) };
        let disconnected = async {
            connection.peer_closed().await;
            None
        };
        match next.or(disconnected).await {
            None => {
                tracker.record_disconnect();
                return Err(Box::new(Response::new(StatusCode::BadRequest)));
            }
            Some(Progress::Head(head)) => {
                tracker.record_delivery(0);
                buffer.head = head;
            }
            Some(Progress::Data(data)) => buffer.body.extend(data),
            Some(Progress::Finished(_)) => break,
            Some(Progress::Failed(failure)) => {
                tracker.record_failure(&failure);
                let request = Some(call.request);
                return Err(error_response::for_failure(
                    &failure,
                    request,
                    is_idempotent,
                ));
            }
            Some(Progress::Token(_) | Progress::KeyHeld(_)) => {}
        }
    }
    tracker.record_completed();
    let mut response = buffer.into_response(method);
    let outcome = Outcome::Completed.as_str();
    response.insert_header(OUTCOME_HEADER, outcome);
    response.insert_header(REQUEST_HEADER, call.request.to_string());
    Ok(response)
}

fn job(call: &mut Call, subpath: &str) -> Job {
    let body = std::mem::take(&mut call.received.body);
    let request = &call.received.request;
    let method = request.method();
    let is_non_idempotent = call
        .options
        .is_non_idempotent
        .unwrap_or_else(|| !is_idempotent(method));
    let plain_call = wire::PlainCall {
        method: method.to_string(),
        target: target(request, subpath),
        headers: headers(request),
        body,
    };
    Job {
        request: call.request,
        service: call.service.clone(),
        account: call.account.name.clone(),
        priority: call.options.priority,
        is_idempotent: !is_non_idempotent && call.options.key.is_none(),
        deadline: deadline(call),
        work: JobWork::PlainCall(plain_call),
    }
}

/// Whether the HTTP standard defines the method as idempotent.
fn is_idempotent(method: Method) -> bool {
    matches!(
        method,
        Method::Get
            | Method::Head
            | Method::Put
            | Method::Delete
            | Method::Options
            | Method::Trace
    )
}

fn target(request: &Request, subpath: &str) -> String {
    let path = if subpath.is_empty() { "/" } else { subpath };
    match request.url().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

fn headers(request: &Request) -> Vec<wire::Header> {
    let mut headers = Vec::new();
    let connection_specific = connection_headers(request);
    for (name, values) in request.iter() {
        let name = name.as_str().to_ascii_lowercase();
        let is_stripped = STRIPPED_HEADERS.contains(&name.as_str())
            || name.starts_with(STRIPPED_PREFIX)
            || connection_specific.contains(&name);
        if is_stripped {
            continue;
        }
        for value in values.iter() {
            let (name, value) = (name.clone(), value.as_str().to_owned());
            headers.push(wire::Header { name, value });
        }
    }
    headers
}

/// Headers that the request's `connection` header lists as hop-by-hop.
fn connection_headers(request: &Request) -> BTreeSet<String> {
    let values = request.header("connection").into_iter().flatten();
    let names = values.flat_map(|value| value.as_str().split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// Buffers the service's response, which is sent only once it is complete, so
/// that a success status is never followed by a truncated body.
#[derive(Default)]
struct ResponseBuffer {
    head: wire::PlainHead,
    body: Vec<u8>,
}

impl ResponseBuffer {
    fn into_response(self, method: Method) -> Response {
        let status = StatusCode::try_from(self.head.status as u16)
            .unwrap_or(StatusCode::BadGateway);
        let mut response = Response::new(status);
        if method == Method::Head {
            // Content-Length would have to match the length of the GET
            // response, which is not known here.
            response.set_body(Body::from_reader(io::empty(), None));
        } else {
            response.set_body(self.body);
        }
        // Setting the body sets a content type, which only the service
        // decides.
        response.remove_header("content-type");
        for header in &self.head.headers {
            append(&mut response, header);
        }
        response
    }
}

/// Adds a header unless it is not ASCII: `http_types` panics on a header that
/// is not ASCII, and a peer must not be able to trigger the panic.
fn append(response: &mut Response, header: &wire::Header) {
    let name = HeaderName::from_str(&header.name);
    let value = HeaderValue::from_str(&header.value);
    if let (Ok(name), Ok(value)) = (name, value) {
        response.append_header(name, value);
    }
}
