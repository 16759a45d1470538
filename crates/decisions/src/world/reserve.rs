//! Side processes: reservation of a slot at each stage of a chain.

use chestnutreach_routing::{
    BackendIndex,
    slot_queue::{
        LATER_STAGE_MAX_WAIT_MS, SlotAdmission, SlotQueue, SlotRequest,
    },
};

use super::World;
use crate::{
    case::LaterStagePolicy,
    events::{Event, Refusal, RequestIndex},
    request::Phase,
    server::{Server, Waiter},
};

type SlotRequestFn = fn(
    &mut SlotQueue<Waiter>,
    &SlotRequest<'_>,
    Waiter,
    u64,
    &mut fastrand::Rng,
) -> SlotAdmission;

impl World<'_> {
    /// Requests a slot at the first stage.
    pub(super) fn reach_first_stage(&mut self, id: RequestIndex) {
        let request = &self.requests[id as usize];
        if request.phase != Phase::Dispatched {
            return;
        }
        let by = request.stages[0];
        match self.request_slot(id, 0, SlotQueue::request) {
            SlotAdmission::Admitted => self.admitted(id),
            SlotAdmission::Queued => {}
            SlotAdmission::Full { retry_after_ms }
            | SlotAdmission::TooLate { retry_after_ms } => {
                self.refuse(id, Refusal { by, retry_after_ms });
            }
        }
    }

    fn request_slot(
        &mut self,
        id: RequestIndex,
        stage: usize,
        ask: SlotRequestFn,
    ) -> SlotAdmission {
        let now_us = self.events.now_us();
        let request = &self.requests[id as usize];
        let is_bounded = self.case.refuses_late;
        let shape = request.shape(now_us, is_bounded);
        let accounts = &self.deployment.accounts;
        let deadline_ms = request.deadline_us() / 1_000;
        let slot_request = SlotRequest {
            account: &accounts[request.arrival.account].name,
            shape: &shape,
            cost_tokens: request.cost_tokens().into(),
            deadline_at_ms: if is_bounded { deadline_ms } else { u64::MAX },
            stage_count: request.stages.len() as u32,
        };
        let waiter = Waiter { request: id, stage };
        let index = request.stages[stage];
        let Server { slot_queue, rng, .. } =
            &mut self.servers[index.0 as usize];
        ask(slot_queue, &slot_request, waiter, now_us / 1_000, rng)
    }

    fn refuse(&mut self, id: RequestIndex, refusal: Refusal) {
        let request = &mut self.requests[id as usize];
        if request.phase != Phase::Done {
            request.phase = Phase::Reserving;
        }
        let request = &self.requests[id as usize];
        let from = self.data_centre(request.stages[0]);
        let to = self.entries[request.entry].data_centre;
        let delay_us = self.deployment.links.latency_us(from, to);
        self.events.schedule_after(delay_us, Event::Refused(id, refusal));
    }

    /// Records a reserved stage and requests the others.
    fn admitted(&mut self, id: RequestIndex) {
        let request = &mut self.requests[id as usize];
        request.phase = Phase::Reserving;
        request.held += 1;
        let delay_us = match self.case.later_stage_policy {
            LaterStagePolicy::Refuse => self.max_stage_latency_us(id),
            LaterStagePolicy::Wait => self.next_stage_latency_us(id),
        };
        self.events.schedule_after(delay_us, Event::Reserve(id));
    }

    /// Highest latency from the first stage to another stage.
    fn max_stage_latency_us(&self, id: RequestIndex) -> u64 {
        let stages = &self.requests[id as usize].stages;
        let to_first =
            |stage: &BackendIndex| self.latency_us(stages[0], *stage);
        stages[1..].iter().map(to_first).max().unwrap_or(0)
    }

    /// Latency of the last response to the first stage, plus that of the
    /// next request from the first stage.
    fn next_stage_latency_us(&self, id: RequestIndex) -> u64 {
        let request = &self.requests[id as usize];
        let first = request.stages[0];
        let to = |stage: usize| {
            let stage = request.stages.get(stage);
            stage.map_or(0, |stage| self.latency_us(first, *stage))
        };
        to(request.held - 1) + to(request.held)
    }

    pub(super) fn reserve(&mut self, id: RequestIndex) {
        match self.case.later_stage_policy {
            LaterStagePolicy::Refuse => self.reserve_all(id),
            LaterStagePolicy::Wait => self.reserve_next(id),
        }
    }

    /// Requests a slot at all later stages, which admit or refuse at once.
    fn reserve_all(&mut self, id: RequestIndex) {
        let request = &self.requests[id as usize];
        let cost_tokens = request.cost_tokens().into();
        let later_stage_policy = request.stages[1..].to_vec();
        let delay_us = self.max_stage_latency_us(id);
        for index in later_stage_policy {
            let Server { slot_queue, rng, .. } =
                &mut self.servers[index.0 as usize];
            if let Err(retry_after_ms) =
                slot_queue.try_acquire(cost_tokens, rng)
            {
                let refusal = Refusal { by: index, retry_after_ms };
                let refused = Event::StageRefused(id, refusal);
                return self.events.schedule_after(delay_us, refused);
            }
            self.requests[id as usize].held += 1;
        }
        self.events.schedule_after(delay_us, Event::Begin(id));
    }

    /// Requests a slot at the next stage, where the request may be queued.
    fn reserve_next(&mut self, id: RequestIndex) {
        let request = &self.requests[id as usize];
        if request.phase == Phase::Done || request.held == request.stages.len()
        {
            return self.begin(id);
        }
        let by = request.stages[request.held];
        match self.request_slot(
            id,
            request.held,
            SlotQueue::request_later_stage,
        ) {
            SlotAdmission::Admitted => self.admitted(id),
            SlotAdmission::Queued => {
                let request = &mut self.requests[id as usize];
                request.phase = Phase::Waiting;
                request.waits += 1;
                let over = Event::WaitTimeout(id, request.waits);
                self.events
                    .schedule_after(LATER_STAGE_MAX_WAIT_MS * 1_000, over);
            }
            SlotAdmission::Full { retry_after_ms }
            | SlotAdmission::TooLate { retry_after_ms } => {
                let refusal = Refusal { by, retry_after_ms };
                let delay_us =
                    self.latency_us(self.requests[id as usize].stages[0], by);
                let refused = Event::StageRefused(id, refusal);
                self.events.schedule_after(delay_us, refused);
            }
        }
    }

    /// Refuses a request that got no slot within the wait limit.
    pub(super) fn wait_timed_out(&mut self, id: RequestIndex, wait: u32) {
        let request = &mut self.requests[id as usize];
        if request.phase != Phase::Waiting || request.waits != wait {
            return;
        }
        request.phase = Phase::Reserving;
        let by = request.stages[request.held];
        self.leave_queue(id);
        let Server { slot_queue, rng, .. } = &mut self.servers[by.0 as usize];
        let retry_after_ms = slot_queue.retry_after_ms(rng);
        self.stage_refused(id, Refusal { by, retry_after_ms });
    }

    pub(super) fn stage_refused(
        &mut self,
        id: RequestIndex,
        refusal: Refusal,
    ) {
        self.record_stage_refused();
        self.release_held(id);
        self.refuse(id, refusal);
    }

    /// Removes a request from the slot queue that it waits in.
    pub(super) fn leave_queue(&mut self, id: RequestIndex) {
        let request = &self.requests[id as usize];
        let index = request.stages[request.held];
        let slot_queue = &mut self.servers[index.0 as usize].slot_queue;
        slot_queue.remove(|waiter| waiter.request == id);
    }

    /// Releases all stages of a running request.
    pub(super) fn release_all(&mut self, id: RequestIndex) {
        self.record_released(id);
        self.release_held(id);
    }

    /// Releases the stages that a request holds.
    pub(super) fn release_held(&mut self, id: RequestIndex) {
        let request = &mut self.requests[id as usize];
        let held = std::mem::take(&mut request.held);
        let cost_tokens = request.cost_tokens().into();
        let stages = request.stages[..held].to_vec();
        for index in stages {
            self.release_slot(index, cost_tokens);
        }
    }

    /// Refuses queued requests that can no longer start by their deadline.
    pub(super) fn expire(&mut self, index: BackendIndex) {
        let now_ms = self.events.now_ms();
        let server = &mut self.servers[index.0 as usize];
        let expired = server.slot_queue.expire(now_ms);
        for waiter in expired {
            let Server { slot_queue, rng, .. } =
                &mut self.servers[index.0 as usize];
            let retry_after_ms = slot_queue.retry_after_ms(rng);
            let refusal = Refusal { by: index, retry_after_ms };
            if waiter.stage == 0 {
                self.refuse(waiter.request, refusal);
            } else {
                self.requests[waiter.request as usize].phase =
                    Phase::Reserving;
                let refused = Event::StageRefused(waiter.request, refusal);
                self.events.schedule_after(0, refused);
            }
        }
    }

    /// Releases a slot and admits the next queued request.
    fn release_slot(&mut self, index: BackendIndex, cost_tokens: u64) {
        self.expire(index);
        let now_ms = self.events.now_ms();
        let slot_queue = &mut self.servers[index.0 as usize].slot_queue;
        if let Some(next) = slot_queue.release(cost_tokens, now_ms) {
            self.admitted(next.request);
        }
    }
}
