//! Applies the notices of backend servers: from the heads of responses to this
//! entry, and from the messages of other entries.

use std::sync::atomic::Ordering::Relaxed;

use chestnutreach_adapter::notices::{self, LimitNotice};
use chestnutreach_http::{
    relay::ResponseHead,
    retry_after::{self, RetryAfter},
};
use chestnutreach_protocol::peers::EngineNotice;
use chestnutreach_routing::ServerRateLimit;
use chestnutreach_telemetry::{Event, emit};

use super::Change;
use crate::{clock::now_ms, cluster::engine::Engine, core::Core};

/// Status of a server that is not the target of the request. Another server
/// may have taken over the address, so its notices are ignored.
const MISDIRECTED: u16 = 421;
/// Maximum delay of a message between entries. A reported response without a
/// limit counts as that much older.
const MAX_MESSAGE_DELAY_MS: u64 = 50;
/// Logged names of the entry that received a response: this one, or a peer.
const OWN: &str = "own";
const PEER: &str = "told";

/// Head of a response, with the request that it belongs to.
#[derive(Clone, Copy)]
pub(crate) struct ResponseContext<'a> {
    pub(crate) request: &'a str,
    /// When the request was sent.
    pub(crate) sent_ms: u64,
    pub(crate) head: &'a ResponseHead,
}

/// Applies the notices in the head of a response.
pub(crate) fn apply_response(
    core: &Core,
    engine: &Engine,
    response: &ResponseContext<'_>,
) {
    if response.head.status == MISDIRECTED {
        return;
    }
    apply_cooldown(core, engine, response);
    if notices::is_leaving(response.head.values(notices::LEAVING)) {
        apply_drain_notice(core, engine, response.request, OWN);
    }
    let now_ms = now_ms();
    let values = response.head.values(notices::LIMIT);
    let change = match notices::parse_limit(values) {
        LimitNotice::PerS(per_s) => {
            let announce = |limit: &mut ServerRateLimit| {
                limit.record_announced(per_s, now_ms);
            };
            engine.notices.lock().update_limit(announce, now_ms)
        }
        LimitNotice::None => {
            let sent_ms = response.sent_ms;
            let mut state = engine.notices.lock();
            state.own_absent_sent_ms =
                state.own_absent_sent_ms.max(Some(sent_ms));
            state.update_limit(|limit| limit.record_absent(sent_ms), now_ms)
        }
        LimitNotice::Malformed => {
            core.metrics.malformed_limits.inc();
            Change::None
        }
    };
    let source = NoticeSource { name: OWN, request: response.request };
    let age_ms = now_ms.saturating_sub(response.sent_ms);
    publish_change(core, engine, change, &source, age_ms);
}

/// Applies a cooldown that a server requested by `Retry-After`.
fn apply_cooldown(
    core: &Core,
    engine: &Engine,
    response: &ResponseContext<'_>,
) {
    let head = response.head;
    let cooldown = match retry_after::parse(
        head.status,
        head.values(retry_after::RETRY_AFTER),
    ) {
        RetryAfter::Absent => return,
        RetryAfter::Malformed => {
            return core.metrics.malformed_cooldowns.inc();
        }
        RetryAfter::Delay(cooldown) => cooldown,
    };
    let now_ms = now_ms();
    let duration_ms = cooldown.as_millis() as u64;
    let until_ms = {
        let mut state = engine.lock();
        state.enter_cooldown(duration_ms, now_ms);
        state.cooldown_until_ms
    };
    core.fleet.record_cooldown(until_ms);
    core.metrics.cooldowns_requested.inc();
    emit(
        Event::RestAsked,
        &[
            ("backend", &engine.id),
            ("request", &response.request),
            ("rest_ms", &duration_ms),
            ("left_ms", &(until_ms - now_ms)),
            ("answer_age_ms", &now_ms.saturating_sub(response.sent_ms)),
        ],
    );
}

/// Applies a drain notice. The server gets no new requests, and streams move
/// away from it as they do from a server that is listed as draining.
fn apply_drain_notice(
    core: &Core,
    engine: &Engine,
    request: &str,
    source: &'static str,
) {
    let now_ms = now_ms();
    let listed_ms = {
        let mut state = engine.lock();
        let listed_ms = state.leaving_ms(now_ms);
        if !state.mark_draining(now_ms) {
            return;
        }
        listed_ms
    };
    engine.notices.lock().has_said_leaving = true;
    core.permits.record_change(engine.hash);
    core.stream_subscribers.notify_all();
    if source == OWN {
        core.alerts.queue_notice(engine.hash);
    }
    let listed_ms = listed_ms.map_or_else(String::new, |ms| ms.to_string());
    emit(
        Event::LeavingTold,
        &[
            ("backend", &engine.id),
            ("request", &request),
            ("source", &source),
            ("listed_leaving_ms", &listed_ms),
        ],
    );
}

/// Applies a notice that another entry reports.
pub(crate) fn apply_peer_notice(
    core: &Core,
    engine: &Engine,
    notice: &EngineNotice,
) {
    if notice.is_leaving {
        apply_drain_notice(core, engine, "", PEER);
    }
    let now_ms = now_ms();
    let ago = |age_ms: u64| now_ms.saturating_sub(age_ms);
    let update = |limit: &mut ServerRateLimit| {
        // The value comes from the network and may be invalid.
        if notice.limit_per_s.is_finite() && notice.limit_per_s > 0.0 {
            limit.record_announced(
                notice.limit_per_s,
                ago(notice.named_age_ms),
            );
        }
        if let Some(age_ms) = notice.unnamed_age_ms {
            limit.record_absent(
                ago(age_ms).saturating_sub(MAX_MESSAGE_DELAY_MS),
            );
        }
    };
    let change = engine.notices.lock().update_limit(update, now_ms);
    let source = NoticeSource { name: PEER, request: "" };
    publish_change(core, engine, change, &source, notice.named_age_ms);
}

/// Origin of a notice, for the logs.
struct NoticeSource<'a> {
    name: &'static str,
    request: &'a str,
}

/// Makes a change of the limit effective, and logs and alerts it.
fn publish_change(
    core: &Core,
    engine: &Engine,
    change: Change,
    source: &NoticeSource<'_>,
    age_ms: u64,
) {
    let now_ms = now_ms();
    let mut state = engine.notices.lock();
    let limit = state.limit.current();
    engine.notices.is_limited.store(limit.is_some(), Relaxed);
    let should_report = match limit {
        Some(limit) => state.should_report(limit.per_s, now_ms),
        None => change != Change::None,
    };
    drop(state);
    if change != Change::None {
        core.permits.record_change(engine.hash);
    }
    if !should_report {
        return;
    }
    if source.name == OWN {
        core.alerts.queue_notice(engine.hash);
    }
    match change {
        Change::Ended(received_ms) => {
            let named_age_ms = now_ms.saturating_sub(received_ms);
            let event = Event::LimitEnded;
            log_limit(event, engine, source, ("named_age_ms", named_age_ms));
        }
        Change::None | Change::Announced => {
            let event = Event::LimitNamed;
            log_limit(event, engine, source, ("answer_age_ms", age_ms));
        }
    }
}

fn log_limit(
    event: Event,
    engine: &Engine,
    source: &NoticeSource<'_>,
    (age_name, age_ms): (&'static str, u64),
) {
    let mut state = engine.notices.lock();
    let last_per_s =
        state.limit.last_announced().map_or(0.0, |limit| limit.per_s);
    let sent_4s = state.recent_sent(now_ms()).len();
    drop(state);
    emit(
        event,
        &[
            ("backend", &engine.id),
            ("limit_per_s", &last_per_s),
            ("request", &source.request),
            ("source", &source.name),
            (age_name, &age_ms),
            ("sent_4s", &sent_4s),
        ],
    );
}
