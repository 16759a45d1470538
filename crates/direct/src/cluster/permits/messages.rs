//! Asks and grants as entries tell them to each other.

use chestnutreach_protocol::peers::{
    PermitAsk, PermitGrant as PermitGrantMessage,
};
use chestnutreach_routing::{PermitGrant, PermitRequest};

pub(super) fn request_message(engine: u32, ask: PermitRequest) -> PermitAsk {
    PermitAsk {
        engine,
        number: ask.sent_ms,
        series: ask.series,
        wanted: ask.wanted,
        is_waiting: ask.is_waiting,
        urgency: ask.urgency.into(),
        used: ask.used,
        returned: ask.returned,
    }
}

pub(super) fn request_from(told: &PermitAsk) -> PermitRequest {
    PermitRequest {
        sent_ms: told.number,
        series: told.series,
        wanted: told.wanted,
        is_waiting: told.is_waiting,
        urgency: u8::try_from(told.urgency).unwrap_or(u8::MAX),
        used: told.used,
        returned: told.returned,
    }
}

pub(super) fn grant_message(
    engine: u32,
    grant: PermitGrant,
) -> PermitGrantMessage {
    let PermitGrant { answered_ms, series, granted } = grant;
    PermitGrantMessage { engine, answers: answered_ms, series, granted }
}

pub(super) fn grant_from(told: &PermitGrantMessage) -> PermitGrant {
    let PermitGrantMessage { answers, series, granted, .. } = *told;
    PermitGrant { answered_ms: answers, series, granted }
}
