//! Whether a stream may wait for capacity, and the accounting of its usage.

use chestnutreach_routing::{
    CapacityRequest, CapacityWait, CapacityWaits, LATE_CLASS,
    capacity_wait::MAX_WAIT_MS,
};
use chestnutreach_telemetry::{Event, emit};

use super::{FIRST_ATTEMPT, Stream};
use crate::{
    clock::now_ms,
    request::{
        capacity_control::{Refusal, StreamUse, class_name},
        running_tokens::RunningTokens,
    },
};

/// Multiple of the median wait for a first event that a stream keeps in
/// reserve.
const FIRST_EVENT_FACTOR: f64 = 1.5;
/// Minimum wait for capacity as a fraction of the route's target. If first
/// events take the whole target, refusing all streams would serve nobody.
const MIN_WAIT_SHARE: f64 = 0.25;

impl Stream<'_> {
    fn account(&self) -> &str {
        self.admitted.account.as_deref().unwrap_or("")
    }

    /// Records that this stream requests capacity.
    pub(super) fn record_capacity_request(&mut self) {
        let route = &self.admitted.route;
        let service = &self.admitted.service.name;
        let capacity = &self.core.capacity;
        self.demand.class = capacity.class(
            service,
            self.admitted.class,
            self.admitted.caller_remaining_ms(now_ms()),
            (route.target_ms, route.timeout_ms),
        );
        capacity.record_asked(service, self.demand);
        let record = |waits: &mut CapacityWaits| {
            waits.record_request(self.account(), self.tokens, now_ms());
        };
        self.core.capacity_waits.update(service, record);
    }

    /// Records that this stream found capacity.
    pub(super) fn record_running(&mut self) {
        let service = &self.admitted.service.name;
        let (waits, account) = (&self.core.capacity_waits, self.account());
        let running =
            RunningTokens::begin(waits, service, account, self.tokens);
        let is_first = self.cause == FIRST_ATTEMPT;
        let capacity = &self.core.capacity;
        let stream =
            StreamUse::begin(capacity, service, self.demand, is_first);
        self.running = Some((running, stream));
    }

    /// How long the stream may wait and still begin within the route's target.
    pub(super) fn start_within_ms(&self) -> u64 {
        let target_ms = self.admitted.route.target_ms as f64;
        let service = &self.admitted.service.name;
        let first_event_ms =
            self.core.median_first_event_ms(service).unwrap_or(0) as f64;
        let spent_ms = now_ms().saturating_sub(self.admitted.received_ms);
        let remaining_ms =
            target_ms - spent_ms as f64 - FIRST_EVENT_FACTOR * first_event_ms;
        remaining_ms.max(MIN_WAIT_SHARE * target_ms) as u64
    }

    /// Whether the shares in force admit the stream.
    pub(super) fn is_admitted(&mut self) -> bool {
        let service = &self.admitted.service.name;
        let capacity = &self.core.capacity;
        let admitted =
            capacity.try_admit(self.core, service, self.model, self.demand);
        if let Err(refusal) = admitted {
            self.is_refused_capacity = true;
            self.log_share_refused(&refusal);
            return false;
        }
        true
    }

    /// How long the stream may wait for capacity; `None` if it is refused.
    ///
    /// While its class is short of capacity, a stream that would begin late
    /// takes capacity from others that would not.
    pub(super) fn allowed_wait_ms(&mut self) -> Option<u64> {
        let service = &self.admitted.service.name;
        let capacity = &self.core.capacity;
        if capacity.is_active(service) {
            return match capacity.is_short(service, self.demand.class) {
                true if self.demand.class == LATE_CLASS => None,
                true => Some(self.start_within_ms()),
                false => Some(MAX_WAIT_MS),
            };
        }
        let account = self.account();
        let queues = &self.core.path_queues;
        let ahead = queues.ahead(service, account, self.tokens);
        let request = CapacityRequest {
            account,
            tokens: self.tokens,
            tokens_before: ahead.tokens,
            start_within_ms: self.start_within_ms(),
            contended_for_ms: ahead.contended_for_ms,
        };
        let decide = |waits: &mut CapacityWaits| {
            let now_ms = now_ms();
            (waits.decide(&request, now_ms), waits.tokens_per_s(now_ms))
        };
        let (wait, tokens_per_s) =
            self.core.capacity_waits.update(service, decide);
        match wait {
            CapacityWait::UpTo(ms) => Some(ms),
            CapacityWait::Refused(expected_ms) => {
                self.log_refused(&request, expected_ms, tokens_per_s);
                self.is_refused_capacity = true;
                None
            }
        }
    }

    /// Time after which the caller of a refused stream may retry.
    pub(super) fn retry_after_ms(&self) -> u64 {
        let service = &self.admitted.service.name;
        let capacity = &self.core.capacity;
        if capacity.is_active(service) {
            let remaining_ms = self.admitted.caller_remaining_ms(now_ms());
            return capacity.return_after_ms(
                service,
                self.tokens,
                remaining_ms,
            );
        }
        let retry_after = |waits: &mut CapacityWaits| {
            waits.retry_after_ms(now_ms(), &mut fastrand::Rng::new())
        };
        self.core.capacity_waits.update(service, retry_after)
    }

    fn log_share_refused(&self, refusal: &Refusal) {
        let limit = refusal.account_limit;
        let limit = limit.map_or_else(String::new, |l| format!("{l:.0}"));
        emit(
            Event::ShareRefused,
            &[
                ("request", &self.admitted.id_text()),
                ("account", &self.account()),
                ("class", &class_name(self.demand.class)),
                ("urgency", &self.admitted.urgency),
                ("tokens", &self.tokens),
                ("share", &format!("{:.3}", refusal.share)),
                ("fill", &format!("{:.3}", refusal.fill)),
                ("account_limit", &limit),
                ("shares_age_ms", &refusal.age_ms),
            ],
        );
    }

    fn log_refused(
        &self,
        request: &CapacityRequest<'_>,
        expected_ms: Option<u64>,
        tokens_per_s: u64,
    ) {
        let expected =
            expected_ms.map_or_else(String::new, |ms| ms.to_string());
        emit(
            Event::RoomRefused,
            &[
                ("request", &self.admitted.id_text()),
                ("account", &request.account),
                ("tokens", &request.tokens),
                ("tokens_before", &request.tokens_before),
                ("tokens_per_s", &tokens_per_s),
                ("expected_ms", &expected),
                ("in_time_ms", &request.start_within_ms),
                ("busy_for_ms", &request.contended_for_ms),
            ],
        );
    }
}
