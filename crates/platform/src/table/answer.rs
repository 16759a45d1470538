//! What an answer of the service means.

use serde::de::DeserializeOwned;

use super::TableError;
use crate::{
    transport::Answer,
    wire::{self, ErrorBody},
};

/// Reads the body of an answer.
pub(super) fn decode<R: DeserializeOwned>(
    body: &[u8],
) -> Result<R, TableError> {
    serde_json::from_slice(body).map_err(|e| {
        let detail = e.to_string();
        TableError::Protocol { detail }
    })
}

/// The named error of an answer, if it has one.
fn error_body(answer: &Answer) -> ErrorBody {
    serde_json::from_slice(&answer.body).unwrap_or_default()
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

fn short_kind(kind: &str) -> &str {
    kind.rsplit('#').next().unwrap_or(kind)
}

/// The error that a read got.
pub(super) fn read_error(answer: &Answer) -> TableError {
    let body = error_body(answer);
    let kind = short_kind(&body.kind);
    let detail = format!("status {}, {kind} {}", answer.status, body.message);
    let is_throttled = is_throttling(kind);
    if is_throttled || answer.status >= 500 {
        return TableError::Unavailable { detail, is_throttled };
    }
    TableError::Protocol { detail }
}

/// The error that a write got. A 5xx counts as "not applied" only when the service itself says that it
/// is unavailable; one of a balancer in between may come after the write.
pub(super) fn write_error(answer: &Answer, write_count: usize) -> TableError {
    let body = error_body(answer);
    let kind = short_kind(&body.kind);
    let detail = format!("status {}, {kind} {}", answer.status, body.message);
    if kind == wire::TRANSACTION_CANCELED {
        return cancelled(&body, detail, write_count);
    }
    let is_throttled = is_throttling(kind);
    let is_overlap = kind == "TransactionInProgressException";
    match answer.status {
        400 if is_overlap => TableError::Ambiguous { detail },
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

fn cancelled(
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
    // Another transaction held a row at that moment, or the rate was passed:
    // worth another try.
    let is_known = |code: &str| {
        code == wire::REASON_NONE
            || code == "TransactionConflict"
            || is_throttling(code)
    };
    match reasons.iter().all(|r| is_known(&r.code)) {
        true => TableError::Unavailable { detail, is_throttled: true },
        false => TableError::Protocol { detail },
    }
}
