//! Error responses: status codes, headers and error objects of outcomes.

use chestnutreach_http::head::RequestError;
use chestnutreach_protocol::RequestId;
use chestnutreach_state::{NotRunReason, Outcome};
use http_types::{Response, StatusCode};

use crate::session::{Cause, RequestFailure};

/// Header with the outcome of the request.
pub(crate) const OUTCOME_HEADER: &str = "chestnutreach-outcome";
/// Header with the request ID.
pub(crate) const REQUEST_HEADER: &str = "x-request-id";
/// Header by which OpenAI client libraries decide whether to retry.
const SHOULD_RETRY_HEADER: &str = "x-should-retry";

/// Response to a request that ended without a complete response.
pub(crate) fn for_failure(
    failure: &RequestFailure,
    request: Option<RequestId>,
    is_idempotent: bool,
) -> Box<Response> {
    let mut response = Box::new(Response::new(status(failure)));
    response.insert_header(OUTCOME_HEADER, failure.outcome.as_str());
    if let Some(request) = request {
        response.insert_header(REQUEST_HEADER, request.to_string());
    }
    if let Some(after_ms) = failure.retry_after_ms {
        let after_s = after_ms.div_ceil(1_000).max(1);
        response.insert_header("retry-after", after_s.to_string());
        response.insert_header("retry-after-ms", after_ms.to_string());
    }
    let should_retry = may_retry(failure, is_idempotent);
    response.insert_header(SHOULD_RETRY_HEADER, should_retry.to_string());
    response.set_body(error_object(failure).to_string());
    response.insert_header("content-type", "application/json");
    response
}

/// Whether a caller may retry the request automatically.
fn may_retry(failure: &RequestFailure, is_idempotent: bool) -> bool {
    match failure.outcome {
        Outcome::Completed => false,
        Outcome::NotRun { retry_after_ms, .. } => retry_after_ms.is_some(),
        Outcome::Failed => is_idempotent && failure.cause != Cause::Request,
        Outcome::Unknown => is_idempotent,
    }
}

/// The OpenAI error object, extended by the outcome and the retry delay.
pub(crate) fn error_object(failure: &RequestFailure) -> serde_json::Value {
    let (kind, code) = match failure.outcome {
        Outcome::NotRun { reason: NotRunReason::BadRequest, .. } => {
            ("invalid_request_error", "bad_request")
        }
        Outcome::NotRun { reason, .. } => ("not_run", reason.as_str()),
        Outcome::Failed => ("server_error", "failed"),
        Outcome::Unknown => ("server_error", "unknown"),
        Outcome::Completed => ("server_error", "completed"),
    };
    serde_json::json!({
        "error": {
            "message": failure.detail,
            "type": kind,
            "param": null,
            "code": code,
            "outcome": failure.outcome.as_str(),
            "retry_after_ms": failure.retry_after_ms,
        }
    })
}

fn status(failure: &RequestFailure) -> StatusCode {
    match (failure.outcome, failure.cause) {
        (Outcome::NotRun { reason, .. }, _) => match reason {
            NotRunReason::BadRequest => StatusCode::BadRequest,
            NotRunReason::ShareUsed => StatusCode::TooManyRequests,
            NotRunReason::KeyReused => StatusCode::UnprocessableEntity,
            NotRunReason::InProgress => StatusCode::Conflict,
            NotRunReason::Full
            | NotRunReason::TooLate
            | NotRunReason::NoChain
            | NotRunReason::StoreDown
            | NotRunReason::Stopping => StatusCode::ServiceUnavailable,
        },
        (_, Cause::Request) => StatusCode::BadRequest,
        (_, Cause::Deadline) => StatusCode::GatewayTimeout,
        (_, Cause::Backend) => StatusCode::BadGateway,
    }
}

/// Response with an OpenAI error object, for requests that are refused before
/// anything runs.
pub(crate) fn refusal(
    status: StatusCode,
    kind: &str,
    code: &str,
    param: Option<&str>,
    message: &str,
) -> Box<Response> {
    let mut response = Box::new(Response::new(status));
    let object = serde_json::json!({
        "error": {
            "message": message,
            "type": kind,
            "param": param,
            "code": code,
            "outcome": "not-run",
        }
    });
    response.set_body(object.to_string());
    response.insert_header("content-type", "application/json");
    response.insert_header(OUTCOME_HEADER, "not-run");
    response.insert_header(SHOULD_RETRY_HEADER, "false");
    response
}

/// Response to an invalid request.
pub(crate) fn bad_request(
    code: &str,
    param: Option<&str>,
    message: &str,
) -> Box<Response> {
    let kind = "invalid_request_error";
    refusal(StatusCode::BadRequest, kind, code, param, message)
}

/// Response to an unsupported method; `allow` lists the supported ones.
pub(crate) fn method_not_allowed(allow: &str) -> Box<Response> {
    let mut response = refusal(
        StatusCode::MethodNotAllowed,
        "invalid_request_error",
        "method_not_allowed",
        None,
        &format!("only {allow} are served here"),
    );
    response.insert_header("allow", allow);
    response
}

/// Response to a request that the HTTP layer refused.
pub(crate) fn http_error(error: &RequestError) -> Response {
    let status =
        StatusCode::try_from(error.status).unwrap_or(StatusCode::BadRequest);
    let kind = "invalid_request_error";
    let mut response = refusal(status, kind, "bad_http", None, &error.message);
    response.insert_header("connection", "close");
    *response
}
