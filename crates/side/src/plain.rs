//! Requests for plain services: each is forwarded as a single call.

use std::{str::FromStr as _, sync::Arc};

use chestnutreach_http::{ClientError, retry_after};
use chestnutreach_protocol::{
    RequestId,
    wire::{self, FailureReason, FinishReason, RefusalReason, output::Part},
};
use http_types::{Method, Request, Response};

use crate::{
    backend::Server,
    node::Shared,
    run::{Run, Work},
};

/// Maximum size of one part of a forwarded response body.
const PART_BYTES: usize = 64 * 1024;
/// Headers that are not forwarded: they belong to one connection or are
/// generated again.
const HOP_HEADERS: [&str; 6] = [
    "connection",
    "content-length",
    "date",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
];

impl Shared {
    /// Calls the plain service of a run that holds a slot.
    pub(crate) fn spawn_plain_call(self: &Arc<Self>, run: &Arc<Run>) {
        let (side, run) = (self.clone(), run.clone());
        self.spawn(async move { side.call_plain(&run).await });
    }

    async fn call_plain(self: &Arc<Self>, run: &Arc<Run>) {
        let name = &run.backend.name;
        let client = match run.backend.assignment().as_deref() {
            Some(a) => match &a.server {
                Server::Plain(client) => client.clone(),
                Server::Engine(_) => {
                    self.refuse(run, RefusalReason::WrongTarget, name, 0);
                    return;
                }
            },
            None => {
                self.refuse(run, RefusalReason::WrongTarget, name, 0);
                return;
            }
        };
        let request = match to_request(run, &client) {
            Ok(request) => request,
            Err(why) => {
                self.stop(run, FailureReason::BadRequest, name, &why);
                return;
            }
        };
        let timeout = self.clock.until(run.deadline_at_ms);
        match client.send(request, timeout).await {
            Ok((response, body)) => {
                if let Some(cooldown) = retry_after::from_response(&response) {
                    self.enter_cooldown(&run.backend, cooldown);
                }
                self.forward_response(run, &response, &body);
            }
            Err(e) => self.plain_call_failed(run, &e),
        }
    }

    fn forward_response(
        self: &Arc<Self>,
        run: &Arc<Run>,
        r: &Response,
        body: &[u8],
    ) {
        let head = Part::Head(wire::PlainHead {
            status: u16::from(r.status()).into(),
            headers: to_headers(r),
        });
        self.record_plain_part(run, head, 0);
        for part in body.chunks(PART_BYTES) {
            self.record_plain_part(run, Part::Data(part.to_vec()), part.len());
        }
        self.finish(run, FinishReason::Stop);
    }

    fn plain_call_failed(
        self: &Arc<Self>,
        run: &Arc<Run>,
        error: &ClientError,
    ) {
        let name = &run.backend.name;
        self.report_down(&run.backend, error);
        if !error.may_have_run() {
            self.refuse(run, RefusalReason::BackendDown, name, 0);
            return;
        }
        let reason = match error {
            ClientError::Timeout { .. } => FailureReason::Deadline,
            _ => FailureReason::BackendError,
        };
        self.stop(run, reason, name, &error.to_string());
    }
}

fn to_request(
    run: &Run,
    client: &chestnutreach_http::Client,
) -> Result<Request, String> {
    let Work::PlainCall(call) = &run.work else {
        return Err("not a call of a plain service".to_owned());
    };
    let method = Method::from_str(&call.method)
        .map_err(|_| format!("method {:?} is not known", call.method))?;
    let url = client
        .url(&call.target)
        .map_err(|e| format!("target {:?}: {e}", call.target))?;
    let mut request = Request::new(method, url);
    for header in &call.headers {
        request.append_header(header.name.as_str(), header.value.as_str());
    }
    let id = RequestId::from_u128(run.id).to_string();
    request.insert_header("x-request-id", id);
    request.set_body(call.body.clone());
    for header in &call.headers {
        // Setting the body resets the content type.
        if header.name.eq_ignore_ascii_case("content-type") {
            request.insert_header("content-type", header.value.as_str());
        }
    }
    Ok(request)
}

fn to_headers(response: &Response) -> Vec<wire::Header> {
    let mut headers = Vec::new();
    for (name, values) in response.iter() {
        let name = name.as_str().to_ascii_lowercase();
        if HOP_HEADERS.contains(&name.as_str()) {
            continue;
        }
        for value in values.iter() {
            let (name, value) = (name.clone(), value.as_str().to_owned());
            headers.push(wire::Header { name, value });
        }
    }
    headers
}
