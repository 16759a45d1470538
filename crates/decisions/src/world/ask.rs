//! Callers and entries: a request until it is sent and after it ended.

use chestnutreach_routing::RequestOutcome;

use super::World;
use crate::{
    events::{Event, Refusal, RequestIndex},
    request::Phase,
};

/// As the entry's `max-attempts` is by default.
const MAX_ATTEMPTS: u32 = 4;

impl World<'_> {
    pub(super) fn arrive(&mut self, at: RequestIndex) {
        let request = &mut self.requests[at as usize];
        if request.phase == Phase::Over {
            return;
        }
        request.attempts = 0;
        request.avoid.clear();
        request.last_retry_after_ms = None;
        let entry = request.entry;
        let is_comeback = request.comebacks > 0;
        self.entries[entry].budget.record_request();
        if is_comeback {
            self.note_comeback();
        }
        self.count_up(at);
    }

    /// Asks the table first where counts are shared.
    fn count_up(&mut self, at: RequestIndex) {
        if !self.is_counted() {
            return self.dispatch(at);
        }
        let now_us = self.events.now_us();
        let delay_us = self.table.count_up_us(now_us);
        self.events.after_us(delay_us, Event::TableRead(at));
    }

    pub(super) fn dispatch(&mut self, at: RequestIndex) {
        let now_us = self.events.now_us();
        let now_ms = self.events.now_ms();
        let request = &mut self.requests[at as usize];
        if request.phase == Phase::Over {
            return;
        }
        let entry = &mut self.entries[request.entry];
        let shape = request.shape(now_us, self.case.refuses_late);
        let fleet = &self.deployment.fleet;
        let avoid = &request.avoid;
        match entry.choose(fleet, &self.common, &shape, avoid, now_ms) {
            Ok(stages) => request.stages = stages,
            Err(retry_after_ms) => {
                let first = request.last_retry_after_ms;
                return self.not_run(at, first.unwrap_or(retry_after_ms));
            }
        }
        request.phase = Phase::Offered;
        request.held = 0;
        request.attempts += 1;
        request.sent_us = now_us;
        entry.sent(&request.stages, request.cost_tokens(), now_ms);
        let (from, first) = (entry.data_centre, request.stages[0]);
        let to = fleet.spec(first).data_centre;
        let delay_us = self.deployment.links.latency_us(from, to);
        self.events.after_us(delay_us, Event::Offer(at));
        self.note_sent(at);
        self.count_stages(at, 1);
    }

    /// Nothing has run: tries another chain or tells the caller.
    pub(super) fn refused(&mut self, at: RequestIndex, refusal: Refusal) {
        self.note_refused();
        self.end_attempt(at, &RequestOutcome::Refused, Some(refusal));
        let request = &mut self.requests[at as usize];
        if request.phase == Phase::Over {
            return;
        }
        request.phase = Phase::Idle;
        request.avoid.push(refusal.by);
        request.last_retry_after_ms = Some(refusal.retry_after_ms);
        let may_try = request.attempts < MAX_ATTEMPTS
            && self.entries[request.entry].budget.try_take();
        if may_try {
            self.count_up(at);
        } else {
            self.not_run(at, refusal.retry_after_ms);
        }
    }

    pub(super) fn finished(&mut self, at: RequestIndex) {
        let now_us = self.events.now_us();
        let request = &self.requests[at as usize];
        let total_us = now_us - request.sent_us;
        let ended = RequestOutcome::Completed {
            prompt_tokens: request.asking.prompt_tokens,
            output_tokens: request.asking.output_tokens,
            first_token_ms: 0,
            total_ms: (total_us / 1_000) as u32,
        };
        let is_in_time = request.phase != Phase::Over;
        self.end_attempt(at, &ended, None);
        if is_in_time {
            self.requests[at as usize].phase = Phase::Over;
            self.note_completed(at);
        }
    }

    /// The caller's time is over, wherever the request is.
    pub(super) fn deadline(&mut self, at: RequestIndex) {
        let phase = self.requests[at as usize].phase;
        if phase == Phase::Over {
            return;
        }
        self.requests[at as usize].phase = Phase::Over;
        self.note_late(at);
        match phase {
            Phase::Idle | Phase::Over => {}
            Phase::Offered => {
                self.leave_queue(at);
                self.end_attempt(at, &RequestOutcome::Cancelled, None);
            }
            Phase::Waiting => {
                self.leave_queue(at);
                self.release_held(at);
                self.end_attempt(at, &RequestOutcome::Cancelled, None);
            }
            // What is held is freed when the answers come.
            Phase::Reserving | Phase::Answered => {}
            Phase::Running => {
                self.release_all(at);
                self.end_attempt(at, &RequestOutcome::Cancelled, None);
            }
        }
    }

    /// Tells the caller, who comes back while there is time.
    fn not_run(&mut self, at: RequestIndex, retry_after_ms: u64) {
        let now_us = self.events.now_us();
        let most = self.case.comebacks;
        let request = &mut self.requests[at as usize];
        request.phase = Phase::Idle;
        let again_us = now_us + retry_after_ms * 1_000;
        if request.comebacks < most && again_us < request.deadline_us() {
            request.comebacks += 1;
            self.events.at_us(again_us, Event::Arrive(at));
            return;
        }
        request.phase = Phase::Over;
        self.note_not_run(at);
    }

    pub(super) fn end_attempt(
        &mut self,
        at: RequestIndex,
        ended: &RequestOutcome,
        refusal: Option<Refusal>,
    ) {
        let now_ms = self.events.now_ms();
        let request = &self.requests[at as usize];
        let entry = &self.entries[request.entry];
        let tokens = request.cost_tokens();
        let by = refusal.map(|refusal| refusal.by);
        entry.ended(&request.stages, tokens, ended, by, now_ms);
        self.count_stages(at, -1);
        if self.is_counted() {
            self.table.count_down(self.events.now_us());
        }
    }

    fn count_stages(&mut self, at: RequestIndex, change: i32) {
        for index in &self.requests[at as usize].stages {
            let count = &mut self.common.counts[index.0 as usize];
            *count = count.saturating_add_signed(change);
        }
    }
}
