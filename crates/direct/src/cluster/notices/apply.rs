//! Taking what backend servers say of themselves: in the heads of answers to
//! this entry, and as other entries tell of theirs.

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

/// Status of a server that is not the one that was asked, or lacks what was
/// asked for: another one may have its address.
const MISDIRECTED: u16 = 421;
/// Most that a message takes from one entry to another: what it tells of an
/// answer without a limit is taken to be that much older.
const MESSAGE_MS: u64 = 50;
/// Names of who got an answer: this entry, or another one that told.
const OWN: &str = "own";
const TOLD: &str = "told";

/// The head of an answer, with what it answers.
#[derive(Clone, Copy)]
pub(crate) struct ResponseContext<'a> {
    pub(crate) request: &'a str,
    /// When the request was sent.
    pub(crate) sent_ms: u64,
    pub(crate) head: &'a ResponseHead,
}

/// Takes what an answer says of its server.
pub(crate) fn apply_response(
    core: &Core,
    engine: &Engine,
    answered: &ResponseContext<'_>,
) {
    if answered.head.status == MISDIRECTED {
        return;
    }
    take_rest(core, engine, answered);
    if notices::is_leaving(answered.head.values(notices::LEAVING)) {
        take_leaving(core, engine, answered.request, OWN);
    }
    let now_ms = now_ms();
    let values = answered.head.values(notices::LIMIT);
    let change = match notices::limit(values) {
        LimitNotice::PerS(per_s) => {
            let name = |limit: &mut ServerRateLimit| {
                limit.record_announced(per_s, now_ms);
            };
            engine.notices.lock().change(name, now_ms)
        }
        LimitNotice::None => {
            let sent_ms = answered.sent_ms;
            let mut state = engine.notices.lock();
            state.own_unnamed_ms = state.own_unnamed_ms.max(Some(sent_ms));
            state.change(|limit| limit.record_absent(sent_ms), now_ms)
        }
        LimitNotice::Malformed => {
            core.metrics.malformed_limits.inc();
            Change::None
        }
    };
    let source = Source { name: OWN, request: answered.request };
    let age_ms = now_ms.saturating_sub(answered.sent_ms);
    settle(core, engine, change, &source, age_ms);
}

/// Takes a rest that a server wants.
fn take_rest(core: &Core, engine: &Engine, answered: &ResponseContext<'_>) {
    let head = answered.head;
    let rest = match retry_after::parse(
        head.status,
        head.values(retry_after::RETRY_AFTER),
    ) {
        RetryAfter::Absent => return,
        RetryAfter::Malformed => return core.metrics.malformed_rests.inc(),
        RetryAfter::Delay(rest) => rest,
    };
    let now_ms = now_ms();
    let rest_ms = rest.as_millis() as u64;
    let until_ms = {
        let mut state = engine.lock();
        state.enter_cooldown(rest_ms, now_ms);
        state.cooldown_until_ms
    };
    core.fleet.record_cooldown(until_ms);
    core.metrics.rests_asked.inc();
    emit(
        Event::RestAsked,
        &[
            ("backend", &engine.id),
            ("request", &answered.request),
            ("rest_ms", &rest_ms),
            ("left_ms", &(until_ms - now_ms)),
            ("answer_age_ms", &now_ms.saturating_sub(answered.sent_ms)),
        ],
    );
}

/// Takes that a server said that it leaves: it gets nothing new, and streams
/// leave it as they do one that the list says drains.
fn take_leaving(
    core: &Core,
    engine: &Engine,
    request: &str,
    source: &'static str,
) {
    let now_ms = now_ms();
    let listed_ms = {
        let mut state = engine.lock();
        let listed_ms = state.leaving_ms(now_ms);
        if !state.say_leaving(now_ms) {
            return;
        }
        listed_ms
    };
    engine.notices.lock().has_said_leaving = true;
    core.permits.note_change(engine.hash);
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

/// Takes what another entry tells of what a server said.
pub(crate) fn apply_peer_notice(
    core: &Core,
    engine: &Engine,
    told: &EngineNotice,
) {
    if told.is_leaving {
        take_leaving(core, engine, "", TOLD);
    }
    let now_ms = now_ms();
    let ago = |age_ms: u64| now_ms.saturating_sub(age_ms);
    let take = |limit: &mut ServerRateLimit| {
        // A peer's number may be any.
        if told.limit_per_s.is_finite() && told.limit_per_s > 0.0 {
            limit.record_announced(told.limit_per_s, ago(told.named_age_ms));
        }
        if let Some(age_ms) = told.unnamed_age_ms {
            limit.record_absent(ago(age_ms).saturating_sub(MESSAGE_MS));
        }
    };
    let change = engine.notices.lock().change(take, now_ms);
    let source = Source { name: TOLD, request: "" };
    settle(core, engine, change, &source, told.named_age_ms);
}

/// From whom a change is known.
struct Source<'a> {
    name: &'static str,
    request: &'a str,
}

/// Puts a change in force, and tells of it.
fn settle(
    core: &Core,
    engine: &Engine,
    change: Change,
    source: &Source<'_>,
    age_ms: u64,
) {
    let now_ms = now_ms();
    let mut state = engine.notices.lock();
    let limit = state.limit.current();
    engine.notices.is_limited.store(limit.is_some(), Relaxed);
    let is_to_be_told = match limit {
        Some(named) => state.is_to_be_told(named.per_s, now_ms),
        None => change != Change::None,
    };
    drop(state);
    if change != Change::None {
        core.permits.note_change(engine.hash);
    }
    if !is_to_be_told {
        return;
    }
    if source.name == OWN {
        core.alerts.queue_notice(engine.hash);
    }
    match change {
        Change::Ended(named_ms) => {
            let named_age_ms = now_ms.saturating_sub(named_ms);
            let event = Event::LimitEnded;
            emit_limit(event, engine, source, ("named_age_ms", named_age_ms));
        }
        Change::None | Change::Named => {
            let event = Event::LimitNamed;
            emit_limit(event, engine, source, ("answer_age_ms", age_ms));
        }
    }
}

fn emit_limit(
    event: Event,
    engine: &Engine,
    source: &Source<'_>,
    (age_name, age_ms): (&'static str, u64),
) {
    let mut state = engine.notices.lock();
    let last = state.limit.last_announced().map_or(0.0, |named| named.per_s);
    let sent_4s = state.sent_of_late(now_ms()).len();
    drop(state);
    emit(
        event,
        &[
            ("backend", &engine.id),
            ("limit_per_s", &last),
            ("request", &source.request),
            ("source", &source.name),
            (age_name, &age_ms),
            ("sent_4s", &sent_4s),
        ],
    );
}
