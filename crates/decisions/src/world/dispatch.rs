//! Callers and entries: requests before dispatch and after their end.

use chestnutreach_routing::RequestOutcome;

use super::World;
use crate::{
    events::{Event, Refusal, RequestIndex},
    request::Phase,
};

/// Default of `max-attempts` of the entry.
const MAX_ATTEMPTS: u32 = 4;

impl World<'_> {
    pub(super) fn arrive(&mut self, id: RequestIndex) {
        let request = &mut self.requests[id as usize];
        if request.phase == Phase::Done {
            return;
        }
        request.attempts = 0;
        request.avoid.clear();
        request.last_retry_after_ms = None;
        let entry = request.entry;
        let is_caller_retry = request.caller_retries > 0;
        self.entries[entry].budget.record_request();
        if is_caller_retry {
            self.record_caller_retry();
        }
        self.start_attempt(id);
    }

    /// Reads the shared counters first if the strategy uses them.
    fn start_attempt(&mut self, id: RequestIndex) {
        if !self.uses_shared_counters() {
            return self.dispatch(id);
        }
        let now_us = self.events.now_us();
        let delay_us = self.table.count_up_us(now_us);
        self.events.schedule_after(delay_us, Event::TableRead(id));
    }

    pub(super) fn dispatch(&mut self, id: RequestIndex) {
        let now_us = self.events.now_us();
        let now_ms = self.events.now_ms();
        let request = &mut self.requests[id as usize];
        if request.phase == Phase::Done {
            return;
        }
        let entry = &mut self.entries[request.entry];
        let shape = request.shape(now_us, self.case.refuses_late);
        let fleet = &self.deployment.fleet;
        let avoid = &request.avoid;
        match entry.choose(fleet, &self.shared, &shape, avoid, now_ms) {
            Ok(stages) => request.stages = stages,
            Err(retry_after_ms) => {
                let first = request.last_retry_after_ms;
                return self.not_run(id, first.unwrap_or(retry_after_ms));
            }
        }
        request.phase = Phase::Dispatched;
        request.held = 0;
        request.attempts += 1;
        request.sent_us = now_us;
        entry.record_dispatch(&request.stages, request.cost_tokens(), now_ms);
        let (from, first) = (entry.data_centre, request.stages[0]);
        let to = fleet.spec(first).data_centre;
        let delay_us = self.deployment.links.latency_us(from, to);
        self.events.schedule_after(delay_us, Event::ReachFirstStage(id));
        self.record_sent(id);
        self.count_stages(id, 1);
    }

    /// Handles a refusal, after which nothing has run: retries on another
    /// chain or reports `not_run` to the caller.
    pub(super) fn refused(&mut self, id: RequestIndex, refusal: Refusal) {
        self.record_refused();
        self.end_attempt(id, &RequestOutcome::Refused, Some(refusal));
        let request = &mut self.requests[id as usize];
        if request.phase == Phase::Done {
            return;
        }
        request.phase = Phase::Idle;
        request.avoid.push(refusal.by);
        request.last_retry_after_ms = Some(refusal.retry_after_ms);
        let may_retry = request.attempts < MAX_ATTEMPTS
            && self.entries[request.entry].budget.try_take();
        if may_retry {
            self.start_attempt(id);
        } else {
            self.not_run(id, refusal.retry_after_ms);
        }
    }

    pub(super) fn finished(&mut self, id: RequestIndex) {
        let now_us = self.events.now_us();
        let request = &self.requests[id as usize];
        let total_us = now_us - request.sent_us;
        let outcome = RequestOutcome::Completed {
            prompt_tokens: request.arrival.prompt_tokens,
            output_tokens: request.arrival.output_tokens,
            first_token_ms: 0,
            total_ms: (total_us / 1_000) as u32,
        };
        let is_in_time = request.phase != Phase::Done;
        self.end_attempt(id, &outcome, None);
        if is_in_time {
            self.requests[id as usize].phase = Phase::Done;
            self.record_completed(id);
        }
    }

    /// Cancels a request in any phase once its deadline has passed.
    pub(super) fn deadline(&mut self, id: RequestIndex) {
        let phase = self.requests[id as usize].phase;
        if phase == Phase::Done {
            return;
        }
        self.requests[id as usize].phase = Phase::Done;
        self.record_late(id);
        match phase {
            Phase::Idle | Phase::Done => {}
            Phase::Dispatched => {
                self.leave_queue(id);
                self.end_attempt(id, &RequestOutcome::Cancelled, None);
            }
            Phase::Waiting => {
                self.leave_queue(id);
                self.release_held(id);
                self.end_attempt(id, &RequestOutcome::Cancelled, None);
            }
            // The responses in transit release the reserved slots.
            Phase::Reserving | Phase::Generated => {}
            Phase::Running => {
                self.release_all(id);
                self.end_attempt(id, &RequestOutcome::Cancelled, None);
            }
        }
    }

    /// Reports to the caller that nothing has run; the caller retries if
    /// the deadline allows it.
    fn not_run(&mut self, id: RequestIndex, retry_after_ms: u64) {
        let now_us = self.events.now_us();
        let max = self.case.max_caller_retries;
        let request = &mut self.requests[id as usize];
        request.phase = Phase::Idle;
        let retry_us = now_us + retry_after_ms * 1_000;
        if request.caller_retries < max && retry_us < request.deadline_us() {
            request.caller_retries += 1;
            self.events.schedule_at(retry_us, Event::Arrive(id));
            return;
        }
        request.phase = Phase::Done;
        self.record_not_run(id);
    }

    pub(super) fn end_attempt(
        &mut self,
        id: RequestIndex,
        outcome: &RequestOutcome,
        refusal: Option<Refusal>,
    ) {
        let now_ms = self.events.now_ms();
        let request = &self.requests[id as usize];
        let entry = &self.entries[request.entry];
        let tokens = request.cost_tokens();
        let by = refusal.map(|refusal| refusal.by);
        entry.record_outcome(&request.stages, tokens, outcome, by, now_ms);
        self.count_stages(id, -1);
        if self.uses_shared_counters() {
            self.table.count_down(self.events.now_us());
        }
    }

    fn count_stages(&mut self, id: RequestIndex, change: i32) {
        for index in &self.requests[id as usize].stages {
            let count = &mut self.shared.counts[index.0 as usize];
            *count = count.saturating_add_signed(change);
        }
    }
}
