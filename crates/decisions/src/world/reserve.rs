//! Side processes: the gates of a chain's stages, one after another.

use chestnutreach_routing::{
    BackendIndex,
    slot_queue::{
        LATER_STAGE_MAX_WAIT_MS, SlotAdmission, SlotQueue, SlotRequest,
    },
};

use super::World;
use crate::{
    case::Later,
    events::{Event, Refusal, RequestIndex},
    request::Phase,
    server::{Server, Waiter},
};

type AskGate = fn(
    &mut SlotQueue<Waiter>,
    &SlotRequest<'_>,
    Waiter,
    u64,
    &mut fastrand::Rng,
) -> SlotAdmission;

impl World<'_> {
    /// The request reaches its first stage.
    pub(super) fn offer(&mut self, at: RequestIndex) {
        let request = &self.requests[at as usize];
        if request.phase != Phase::Offered {
            return;
        }
        let by = request.stages[0];
        match self.ask_gate(at, 0, SlotQueue::request) {
            SlotAdmission::Admitted => self.admitted(at),
            SlotAdmission::Queued => {}
            SlotAdmission::Full { retry_after_ms }
            | SlotAdmission::TooLate { retry_after_ms } => {
                self.refuse(at, Refusal { by, retry_after_ms });
            }
        }
    }

    fn ask_gate(
        &mut self,
        at: RequestIndex,
        stage: usize,
        ask: AskGate,
    ) -> SlotAdmission {
        let now_us = self.events.now_us();
        let request = &self.requests[at as usize];
        let is_bounded = self.case.refuses_late;
        let shape = request.shape(now_us, is_bounded);
        let accounts = &self.deployment.accounts;
        let deadline_ms = request.deadline_us() / 1_000;
        let asked = SlotRequest {
            account: &accounts[request.asking.account].name,
            shape: &shape,
            cost_tokens: request.cost_tokens().into(),
            deadline_at_ms: if is_bounded { deadline_ms } else { u64::MAX },
            stage_count: request.stages.len() as u32,
        };
        let waiter = Waiter { request: at, stage };
        let index = request.stages[stage];
        let Server { gate, rng, .. } = &mut self.servers[index.0 as usize];
        ask(gate, &asked, waiter, now_us / 1_000, rng)
    }

    fn refuse(&mut self, at: RequestIndex, refusal: Refusal) {
        let request = &mut self.requests[at as usize];
        if request.phase != Phase::Over {
            request.phase = Phase::Reserving;
        }
        let request = &self.requests[at as usize];
        let from = self.data_centre(request.stages[0]);
        let to = self.entries[request.entry].data_centre;
        let delay_us = self.deployment.links.latency_us(from, to);
        self.events.after_us(delay_us, Event::Refused(at, refusal));
    }

    /// Holds a stage: asks for the others.
    fn admitted(&mut self, at: RequestIndex) {
        let request = &mut self.requests[at as usize];
        request.phase = Phase::Reserving;
        request.held += 1;
        let delay_us = match self.case.later {
            Later::Refuses => self.farthest_us(at),
            Later::Waits => self.next_us(at),
        };
        self.events.after_us(delay_us, Event::Reserve(at));
    }

    /// Latency from the first stage to the farthest of the others.
    fn farthest_us(&self, at: RequestIndex) -> u64 {
        let stages = &self.requests[at as usize].stages;
        let to_first =
            |stage: &BackendIndex| self.latency_us(stages[0], *stage);
        stages[1..].iter().map(to_first).max().unwrap_or(0)
    }

    /// Latency of the last answer to the first stage, and of the next
    /// question from it.
    fn next_us(&self, at: RequestIndex) -> u64 {
        let request = &self.requests[at as usize];
        let first = request.stages[0];
        let to = |stage: usize| {
            let stage = request.stages.get(stage);
            stage.map_or(0, |stage| self.latency_us(first, *stage))
        };
        to(request.held - 1) + to(request.held)
    }

    pub(super) fn reserve(&mut self, at: RequestIndex) {
        match self.case.later {
            Later::Refuses => self.reserve_all(at),
            Later::Waits => self.reserve_next(at),
        }
    }

    /// Asks all later stages, which take or refuse.
    fn reserve_all(&mut self, at: RequestIndex) {
        let request = &self.requests[at as usize];
        let cost_tokens = request.cost_tokens().into();
        let later = request.stages[1..].to_vec();
        let delay_us = self.farthest_us(at);
        for index in later {
            let Server { gate, rng, .. } = &mut self.servers[index.0 as usize];
            if let Err(retry_after_ms) = gate.try_acquire(cost_tokens, rng) {
                let refusal = Refusal { by: index, retry_after_ms };
                let refused = Event::StageRefused(at, refusal);
                return self.events.after_us(delay_us, refused);
            }
            self.requests[at as usize].held += 1;
        }
        self.events.after_us(delay_us, Event::Begin(at));
    }

    /// Asks the next stage, where the request may wait.
    fn reserve_next(&mut self, at: RequestIndex) {
        let request = &self.requests[at as usize];
        if request.phase == Phase::Over || request.held == request.stages.len()
        {
            return self.begin(at);
        }
        let by = request.stages[request.held];
        match self.ask_gate(at, request.held, SlotQueue::request_later_stage) {
            SlotAdmission::Admitted => self.admitted(at),
            SlotAdmission::Queued => {
                let request = &mut self.requests[at as usize];
                request.phase = Phase::Waiting;
                request.waits += 1;
                let over = Event::WaitOver(at, request.waits);
                self.events.after_us(LATER_STAGE_MAX_WAIT_MS * 1_000, over);
            }
            SlotAdmission::Full { retry_after_ms }
            | SlotAdmission::TooLate { retry_after_ms } => {
                let refusal = Refusal { by, retry_after_ms };
                let delay_us =
                    self.latency_us(self.requests[at as usize].stages[0], by);
                let refused = Event::StageRefused(at, refusal);
                self.events.after_us(delay_us, refused);
            }
        }
    }

    /// No place came free in time at the stage that a request waits at.
    pub(super) fn wait_over(&mut self, at: RequestIndex, wait: u32) {
        let request = &mut self.requests[at as usize];
        if request.phase != Phase::Waiting || request.waits != wait {
            return;
        }
        request.phase = Phase::Reserving;
        let by = request.stages[request.held];
        self.leave_queue(at);
        let Server { gate, rng, .. } = &mut self.servers[by.0 as usize];
        let retry_after_ms = gate.retry_after_ms(rng);
        self.stage_refused(at, Refusal { by, retry_after_ms });
    }

    pub(super) fn stage_refused(
        &mut self,
        at: RequestIndex,
        refusal: Refusal,
    ) {
        self.note_stage_refused();
        self.release_held(at);
        self.refuse(at, refusal);
    }

    /// Takes a request out of the queue it waits in.
    pub(super) fn leave_queue(&mut self, at: RequestIndex) {
        let request = &self.requests[at as usize];
        let index = request.stages[request.held];
        let gate = &mut self.servers[index.0 as usize].gate;
        gate.remove(|waiter| waiter.request == at);
    }

    /// Frees every stage of a request that runs.
    pub(super) fn release_all(&mut self, at: RequestIndex) {
        self.note_released(at);
        self.release_held(at);
    }

    /// Frees the stages that a request holds.
    pub(super) fn release_held(&mut self, at: RequestIndex) {
        let request = &mut self.requests[at as usize];
        let held = std::mem::take(&mut request.held);
        let cost_tokens = request.cost_tokens().into();
        let stages = request.stages[..held].to_vec();
        for index in stages {
            self.give_back(index, cost_tokens);
        }
    }

    /// Refuses what can no longer begin in time.
    pub(super) fn expire(&mut self, index: BackendIndex) {
        let now_ms = self.events.now_ms();
        let server = &mut self.servers[index.0 as usize];
        let expired = server.gate.expire(now_ms);
        for waiter in expired {
            let Server { gate, rng, .. } = &mut self.servers[index.0 as usize];
            let retry_after_ms = gate.retry_after_ms(rng);
            let refusal = Refusal { by: index, retry_after_ms };
            if waiter.stage == 0 {
                self.refuse(waiter.request, refusal);
            } else {
                self.requests[waiter.request as usize].phase =
                    Phase::Reserving;
                let refused = Event::StageRefused(waiter.request, refusal);
                self.events.after_us(0, refused);
            }
        }
    }

    /// Gives a place back and begins what waited for it.
    fn give_back(&mut self, index: BackendIndex, cost_tokens: u64) {
        self.expire(index);
        let now_ms = self.events.now_ms();
        let gate = &mut self.servers[index.0 as usize].gate;
        if let Some(next) = gate.release(cost_tokens, now_ms) {
            self.admitted(next.request);
        }
    }
}
