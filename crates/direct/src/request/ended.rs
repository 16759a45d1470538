//! How a request ended, and what becomes of its connection.

use chestnutreach_adapter::clients;
use chestnutreach_http::relay::{Inbound, RelayRequest};

use crate::request::answer::{Reason, own_answer, usual_come_back_ms};

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum After {
    /// It stays open.
    Keep,
    /// It is closed in order.
    Close,
    /// It is cut, so that the answer does not look whole.
    Cut,
}

impl After {
    /// After an answer that was written, or broke off while it was.
    pub(crate) fn answer(is_sent: bool, is_last: bool) -> After {
        match (is_sent, is_last) {
            (true, false) => After::Keep,
            (true, true) => After::Close,
            (false, _) => After::Cut,
        }
    }
}

/// How a request ended, for the logs.
#[derive(Debug, Default)]
pub(crate) struct Ended {
    pub(crate) outcome: &'static str,
    pub(crate) status: u16,
    pub(crate) reason: String,
    pub(crate) attempts: u32,
    pub(crate) path_changes: u32,
    pub(crate) events: u64,
    pub(crate) first_ms: Option<u64>,
    pub(crate) max_gap_ms: u64,
}

/// Sends an answer of our own.
pub(crate) async fn refuse(
    inbound: &mut Inbound,
    request: &RelayRequest,
    reason: Reason,
    is_last: bool,
) -> (Ended, After) {
    let come_back_ms = usual_come_back_ms();
    refuse_until(inbound, request, reason, come_back_ms, is_last).await
}

/// Sends an answer of our own; where it may be asked again, with the time
/// after which.
pub(crate) async fn refuse_until(
    inbound: &mut Inbound,
    request: &RelayRequest,
    reason: Reason,
    come_back_ms: u64,
    is_last: bool,
) -> (Ended, After) {
    let id = request.header(clients::REQUEST_ID);
    let bytes = own_answer(reason, id, come_back_ms, is_last);
    let is_sent = inbound.write(&bytes).await.is_ok();
    let ended = Ended {
        outcome: reason.outcome(),
        status: reason.status(),
        reason: reason.name().to_owned(),
        ..Ended::default()
    };
    let after = After::answer(is_sent, is_last);
    (ended, after)
}
