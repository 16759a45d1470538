//! The outcome of a request, and what happens to its connection afterwards.

use chestnutreach_adapter::caller;
use chestnutreach_http::relay::{Inbound, RelayRequest};

use crate::{
    core::Core,
    request::response::{ErrorReason, default_retry_after_ms, error_response},
};

/// What happens to the caller's connection after a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionAction {
    KeepAlive,
    /// The connection is closed after the response.
    Close,
    /// The connection is aborted, so that the response looks incomplete.
    Abort,
}

impl ConnectionAction {
    /// The action after a response that was sent whole or in part.
    pub(crate) fn after_response(
        is_sent: bool,
        is_last_request: bool,
    ) -> ConnectionAction {
        match (is_sent, is_last_request) {
            (true, false) => ConnectionAction::KeepAlive,
            (true, true) => ConnectionAction::Close,
            (false, _) => ConnectionAction::Abort,
        }
    }
}

/// Outcome and statistics of a request, for the logs.
#[derive(Debug, Default)]
pub(crate) struct RequestSummary {
    pub(crate) outcome: &'static str,
    pub(crate) status: u16,
    pub(crate) reason: String,
    pub(crate) attempts: u32,
    pub(crate) path_changes: u32,
    pub(crate) events: u64,
    pub(crate) first_event_ms: Option<u64>,
    pub(crate) max_gap_ms: u64,
}

/// Whether the connection closes after the response that is sent now.
pub(crate) fn is_last_request(core: &Core, request: &RelayRequest) -> bool {
    request.wants_close || core.stop.has_begun()
}

/// Sends an error response of the entry.
pub(crate) async fn refuse(
    inbound: &mut Inbound,
    request: &RelayRequest,
    reason: ErrorReason,
    is_last_request: bool,
) -> (RequestSummary, ConnectionAction) {
    let retry_after_ms = match reason {
        // Another entry serves the request.
        ErrorReason::Stopping => 0,
        _ => default_retry_after_ms(),
    };
    refuse_with_retry_after(
        inbound,
        request,
        reason,
        retry_after_ms,
        is_last_request,
    )
    .await
}

/// Sends an error response of the entry; with status 503, the response states
/// when the caller may retry.
pub(crate) async fn refuse_with_retry_after(
    inbound: &mut Inbound,
    request: &RelayRequest,
    reason: ErrorReason,
    retry_after_ms: u64,
    is_last_request: bool,
) -> (RequestSummary, ConnectionAction) {
    let id = request.header(caller::REQUEST_ID);
    let bytes = error_response(reason, id, retry_after_ms, is_last_request);
    let is_sent = inbound.write(&bytes).await.is_ok();
    let summary = RequestSummary {
        outcome: reason.outcome(),
        status: reason.status(),
        reason: reason.as_str().to_owned(),
        ..RequestSummary::default()
    };
    let action = ConnectionAction::after_response(is_sent, is_last_request);
    (summary, action)
}
