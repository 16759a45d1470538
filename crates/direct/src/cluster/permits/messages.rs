//! Conversion of permit requests and grants to and from messages.

use chestnutreach_protocol::peers::{
    PermitAsk, PermitGrant as PermitGrantMessage,
};
use chestnutreach_routing::{PermitGrant, PermitRequest};

pub(super) fn request_message(
    engine: u32,
    request: PermitRequest,
) -> PermitAsk {
    PermitAsk {
        engine,
        number: request.sent_ms,
        series: request.series,
        wanted: request.wanted,
        is_waiting: request.is_waiting,
        urgency: request.urgency.into(),
        used: request.used,
        returned: request.returned,
    }
}

pub(super) fn request_from(message: &PermitAsk) -> PermitRequest {
    PermitRequest {
        sent_ms: message.number,
        series: message.series,
        wanted: message.wanted,
        is_waiting: message.is_waiting,
        urgency: u8::try_from(message.urgency).unwrap_or(u8::MAX),
        used: message.used,
        returned: message.returned,
    }
}

pub(super) fn grant_message(
    engine: u32,
    grant: PermitGrant,
) -> PermitGrantMessage {
    let PermitGrant { answered_ms, series, granted } = grant;
    PermitGrantMessage { engine, answers: answered_ms, series, granted }
}

pub(super) fn grant_from(message: &PermitGrantMessage) -> PermitGrant {
    let PermitGrantMessage { answers, series, granted, .. } = *message;
    PermitGrant { answered_ms: answers, series, granted }
}
