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
    answer::{self, OUTCOME_HEADER, REQUEST_HEADER},
    call::Call,
    language::deadline,
    session::{Job, JobWork, Progress},
    shared::Shared,
    source::{self, Source},
    tally::Tally,
};

/// Headers that end at the entry: of the connection, of the account's key,
/// and of the router itself.
const OWN_HEADERS: [&str; 12] = [
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
const OWN_PREFIX: &str = "chestnutreach-";

/// Methods that are told to a caller that asks for a tunnel; every other
/// one is passed on too.
const METHODS: &str = "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS";

/// Refuses `CONNECT`: an answer to it would be taken for an open tunnel.
///
/// # Errors
///
/// The answer that names other methods.
pub(crate) fn refuse_tunnel(method: Method) -> Result<(), Box<Response>> {
    if method != Method::Connect {
        return Ok(());
    }
    Err(answer::wrong_method(METHODS))
}

/// Serves a request for a plain service; `rest` is the path below its own.
pub(crate) async fn serve(
    entry: &Arc<Shared>,
    mut call: Call,
    rest: &str,
) -> Result<Response, Box<Response>> {
    let method = call.received.request.method();
    let keyed = source::key_of(entry, &call);
    let job = job(&mut call, rest);
    let is_idempotent = job.is_idempotent;
    let mut tally = Tally::new(entry, &call);
    let mut source = Source::start(entry, job, keyed);
    let connection = &call.received.connection;
    let mut answer = Collected::default();
    loop {
        let next = async { Some(source.next().await) };
        let gone = async {
            connection.peer_closed().await;
            None
        };
        match next.or(gone).await {
            None => {
                tally.caller_gone();
                return Err(Box::new(Response::new(StatusCode::BadRequest)));
            }
            Some(Progress::Head(head)) => {
                tally.part(0);
                answer.head = head;
            }
            Some(Progress::Data(data)) => answer.body.extend(data),
            Some(Progress::Whole(_)) => break,
            Some(Progress::Ended(ending)) => {
                tally.ended(&ending);
                let request = Some(call.request);
                return Err(answer::ended(&ending, request, is_idempotent));
            }
            Some(Progress::Token(_) | Progress::Held(_)) => {}
        }
    }
    tally.completed();
    let mut response = answer.into_response(method);
    let outcome = Outcome::Completed.as_str();
    response.insert_header(OUTCOME_HEADER, outcome);
    response.insert_header(REQUEST_HEADER, call.request.to_string());
    Ok(response)
}

fn job(call: &mut Call, rest: &str) -> Job {
    let body = std::mem::take(&mut call.received.body);
    let request = &call.received.request;
    let method = request.method();
    let is_once =
        call.terms.is_non_idempotent.unwrap_or_else(|| !is_idempotent(method));
    let plain_call = wire::PlainCall {
        method: method.to_string(),
        target: target(request, rest),
        headers: headers(request),
        body,
    };
    Job {
        request: call.request,
        service: call.service.clone(),
        account: call.account.name.clone(),
        priority: call.terms.priority,
        is_idempotent: !is_once && call.terms.key.is_none(),
        deadline: deadline(call),
        work: JobWork::PlainCall(plain_call),
    }
}

/// Whether HTTP itself calls a method idempotent.
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

fn target(request: &Request, rest: &str) -> String {
    let path = if rest.is_empty() { "/" } else { rest };
    match request.url().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

fn headers(request: &Request) -> Vec<wire::Header> {
    let mut headers = Vec::new();
    let of_connection = connection_headers(request);
    for (name, values) in request.iter() {
        let name = name.as_str().to_ascii_lowercase();
        let is_own = OWN_HEADERS.contains(&name.as_str())
            || name.starts_with(OWN_PREFIX)
            || of_connection.contains(&name);
        if is_own {
            continue;
        }
        for value in values.iter() {
            let (name, value) = (name.clone(), value.as_str().to_owned());
            headers.push(wire::Header { name, value });
        }
    }
    headers
}

/// Headers that the caller says are of its connection only.
fn connection_headers(request: &Request) -> BTreeSet<String> {
    let values = request.header("connection").into_iter().flatten();
    let names = values.flat_map(|value| value.as_str().split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// The service's answer. It is sent only when it is whole, so that its
/// status is never followed by a part of its body.
#[derive(Default)]
struct Collected {
    head: wire::PlainHead,
    body: Vec<u8>,
}

impl Collected {
    fn into_response(self, method: Method) -> Response {
        let status = StatusCode::try_from(self.head.status as u16)
            .unwrap_or(StatusCode::BadGateway);
        let mut response = Response::new(status);
        if method == Method::Head {
            // The length that GET would have is not known here, and one
            // that is stated must be that.
            response.set_body(Body::from_reader(io::empty(), None));
        } else {
            response.set_body(self.body);
        }
        // A body sets the content type, which is the service's to say.
        response.remove_header("content-type");
        for header in &self.head.headers {
            append(&mut response, header);
        }
        response
    }
}

/// Adds a header, but for one that is not ASCII: the library panics on it,
/// and a peer must not be able to have it do so.
fn append(response: &mut Response, header: &wire::Header) {
    let name = HeaderName::from_str(&header.name);
    let value = HeaderValue::from_str(&header.value);
    if let (Ok(name), Ok(value)) = (name, value) {
        response.append_header(name, value);
    }
}
