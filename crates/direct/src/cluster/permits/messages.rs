//! Asks and grants as entries tell them to each other.

use chestnutreach_protocol::peers::{PermitAsk, PermitGrant};
use chestnutreach_routing::{Ask, Grant};

pub(super) fn request_message(engine: u32, ask: Ask) -> PermitAsk {
    PermitAsk {
        engine,
        number: ask.number,
        series: ask.series,
        wanted: ask.wanted,
        is_waiting: ask.is_waiting,
        urgency: ask.urgency.into(),
        used: ask.used,
        returned: ask.returned,
    }
}

pub(super) fn request_from(told: &PermitAsk) -> Ask {
    Ask {
        number: told.number,
        series: told.series,
        wanted: told.wanted,
        is_waiting: told.is_waiting,
        urgency: u8::try_from(told.urgency).unwrap_or(u8::MAX),
        used: told.used,
        returned: told.returned,
    }
}

pub(super) fn grant_message(engine: u32, grant: Grant) -> PermitGrant {
    let Grant { answers, series, granted } = grant;
    PermitGrant { engine, answers, series, granted }
}

pub(super) fn grant_from(told: &PermitGrant) -> Grant {
    let PermitGrant { answers, series, granted, .. } = *told;
    Grant { answers, series, granted }
}
