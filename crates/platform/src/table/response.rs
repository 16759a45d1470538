//! Interpretation of the service's responses.

use serde::de::DeserializeOwned;

use super::TableError;
use crate::{
    transport::Response,
    wire::{self, ErrorBody},
};

/// Parses the body of a successful response.
pub(super) fn decode<R: DeserializeOwned>(
    body: &[u8],
) -> Result<R, TableError> {
    serde_json::from_slice(body).map_err(|e| {
        let detail = e.to_string();
        TableError::Protocol { detail }
    })
}

/// Parses the error body of a response; empty if there is none.
fn error_body(response: &Response) -> ErrorBody {
    serde_json::from_slice(&response.body).unwrap_or_default()
}

fn is_throttling(kind: &str) -> bool {
    matches!(
        kind,
        wire::THROUGHPUT_EXCEEDED
            | "ThrottlingException"
            | "ThrottlingError"
            | "ProvisionedThroughputExceeded"
            | "RequestLimitExceeded"
    )
}

fn error_name(kind: &str) -> &str {
    kind.rsplit('#').next().unwrap_or(kind)
}

/// Returns the error for an unsuccessful response to a read.
pub(super) fn read_error(response: &Response) -> TableError {
    let body = error_body(response);
    let kind = error_name(&body.kind);
    let detail =
        format!("status {}, {kind} {}", response.status, body.message);
    let is_throttled = is_throttling(kind);
    if is_throttled || response.status >= 500 {
        return TableError::Unavailable { detail, is_throttled };
    }
    TableError::Protocol { detail }
}

/// Returns the error for an unsuccessful response to a write.
///
/// A 5xx status counts as "not applied" only if the service itself reports
/// that it is unavailable: a load balancer in between can send a 5xx after the
/// write was applied.
pub(super) fn write_error(
    response: &Response,
    write_count: usize,
) -> TableError {
    let body = error_body(response);
    let kind = error_name(&body.kind);
    let detail =
        format!("status {}, {kind} {}", response.status, body.message);
    if kind == wire::TRANSACTION_CANCELED {
        return cancellation_error(&body, detail, write_count);
    }
    let is_throttled = is_throttling(kind);
    let is_in_progress = kind == "TransactionInProgressException";
    match response.status {
        400 if is_in_progress => TableError::Ambiguous { detail },
        400 if is_throttled => {
            TableError::Unavailable { detail, is_throttled }
        }
        503 if kind == wire::SERVICE_UNAVAILABLE => {
            TableError::Unavailable { detail, is_throttled }
        }
        400..500 => TableError::Protocol { detail },
        _ => TableError::Ambiguous { detail },
    }
}

fn cancellation_error(
    body: &ErrorBody,
    detail: String,
    write_count: usize,
) -> TableError {
    let reasons = &body.cancellation_reasons;
    if reasons.len() != write_count {
        let detail = format!(
            "{} cancellation reasons for {write_count} writes: {detail}",
            reasons.len()
        );
        return TableError::Protocol { detail };
    }
    let is_condition = |i: &usize| reasons[*i].code == wire::REASON_CONDITION;
    let failed: Vec<_> = (0..write_count).filter(is_condition).collect();
    if !failed.is_empty() {
        return TableError::Conflict { failed };
    }
    // Another transaction was using one of the rows, or the rate limit was
    // exceeded: a retry can succeed.
    let is_retryable = |code: &str| {
        code == wire::REASON_NONE
            || code == "TransactionConflict"
            || is_throttling(code)
    };
    match reasons.iter().all(|r| is_retryable(&r.code)) {
        true => TableError::Unavailable { detail, is_throttled: true },
        false => TableError::Protocol { detail },
    }
}
