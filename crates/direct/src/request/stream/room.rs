//! Whether a stream may wait for room, and what it takes of it.

use chestnutreach_routing::{CapacityRequest, CapacityWait, CapacityWaits};
use chestnutreach_telemetry::{Event, emit};

use super::Stream;
use crate::{clock::now_ms, request::running_tokens::RunningTokens};

/// Multiple of the usual wait for the first event that is kept for it.
const FIRST_EVENT_FACTOR: f64 = 1.5;
/// Share of the route's target that a stream may wait in any case: where
/// first events take the whole target, refusing all would serve nobody.
const LEAST_WAIT_SHARE: f64 = 0.25;

impl Stream<'_> {
    fn account(&self) -> &str {
        self.admitted.account.as_deref().unwrap_or("")
    }

    /// Counts that it asks for room.
    pub(super) fn note_asked(&self) {
        let ask = |waits: &mut CapacityWaits| {
            waits.record_request(self.account(), self.tokens, now_ms());
        };
        let service = &self.admitted.service.name;
        self.core.capacity_waits.update(service, ask);
    }

    /// Counts that it has found room.
    pub(super) fn note_running(&mut self) {
        let service = &self.admitted.service.name;
        let (waits, account) = (&self.core.capacity_waits, self.account());
        let running =
            RunningTokens::begin(waits, service, account, self.tokens);
        self.running = Some(running);
    }

    /// How long it may wait and still begin within its route's target.
    pub(super) fn in_time_ms(&self) -> u64 {
        let target_ms = self.admitted.route.target_ms as f64;
        let service = &self.admitted.service.name;
        let first_ms =
            self.core.median_first_event_ms(service).unwrap_or(0) as f64;
        let spent_ms = now_ms().saturating_sub(self.admitted.received_ms);
        let remaining_ms =
            target_ms - spent_ms as f64 - FIRST_EVENT_FACTOR * first_ms;
        remaining_ms.max(LEAST_WAIT_SHARE * target_ms) as u64
    }

    /// Whether it may wait for room; how long, in milliseconds.
    pub(super) fn may_wait_ms(&mut self) -> Option<u64> {
        let service = &self.admitted.service.name;
        let account = self.account();
        let queues = &self.core.path_queues;
        let before = queues.before(service, account, self.tokens);
        let need = CapacityRequest {
            account,
            tokens: self.tokens,
            tokens_before: before.tokens,
            start_within_ms: self.in_time_ms(),
            contended_for_ms: before.busy_for_ms,
        };
        let decide = |waits: &mut CapacityWaits| {
            let now_ms = now_ms();
            (waits.decide(&need, now_ms), waits.tokens_per_s(now_ms))
        };
        let (wait, tokens_per_s) =
            self.core.capacity_waits.update(service, decide);
        match wait {
            CapacityWait::UpTo(ms) => Some(ms),
            CapacityWait::Refused(expected_ms) => {
                self.note_refused(&need, expected_ms, tokens_per_s);
                self.is_refused_room = true;
                None
            }
        }
    }

    /// Time after which its client is to come back.
    pub(super) fn retry_after_ms(&self) -> u64 {
        let service = &self.admitted.service.name;
        let come_back = |waits: &mut CapacityWaits| {
            waits.retry_after_ms(now_ms(), &mut fastrand::Rng::new())
        };
        self.core.capacity_waits.update(service, come_back)
    }

    fn note_refused(
        &self,
        need: &CapacityRequest<'_>,
        expected_ms: Option<u64>,
        tokens_per_s: u64,
    ) {
        let expected =
            expected_ms.map_or_else(String::new, |ms| ms.to_string());
        emit(
            Event::RoomRefused,
            &[
                ("request", &self.admitted.id_text()),
                ("account", &need.account),
                ("tokens", &need.tokens),
                ("tokens_before", &need.tokens_before),
                ("tokens_per_s", &tokens_per_s),
                ("expected_ms", &expected),
                ("in_time_ms", &need.start_within_ms),
                ("busy_for_ms", &need.contended_for_ms),
            ],
        );
    }
}
