//! Engines: execution of requests that hold all their stages.

use chestnutreach_routing::{BackendIndex, RequestOutcome};

use super::World;
use crate::{
    engine::EngineEvent,
    events::{Event, RequestIndex},
    request::Phase,
};

impl World<'_> {
    /// Starts the prefill at the first stage once all stages are held.
    pub(super) fn begin(&mut self, id: RequestIndex) {
        if self.requests[id as usize].phase == Phase::Done {
            self.release_held(id);
            return self.end_attempt(id, &RequestOutcome::Cancelled, None);
        }
        let request = &mut self.requests[id as usize];
        request.phase = Phase::Running;
        request.at_stage = 0;
        request.produced = 0;
        self.record_begun(id);
        self.push_prompt(id);
    }

    fn push_prompt(&mut self, id: RequestIndex) {
        let now_us = self.events.now_us();
        let request = &self.requests[id as usize];
        let index = request.stages[request.at_stage];
        let priority = request.arrival.kind.priority();
        let tokens = request.arrival.prompt_tokens;
        let engine = &mut self.servers[index.0 as usize].engine;
        engine.push_prompt(id, priority, tokens, now_us);
        self.start(index);
    }

    /// Starts an iteration if the server is idle and has work.
    pub(super) fn start(&mut self, index: BackendIndex) {
        let now_us = self.events.now_us();
        let requests = &self.requests;
        let is_active =
            |id: RequestIndex| requests[id as usize].phase == Phase::Running;
        let engine = &mut self.servers[index.0 as usize].engine;
        match engine.start(now_us, is_active) {
            EngineEvent::IterationEnds { at_us } => {
                self.events.schedule_at(at_us, Event::IterationEnd(index));
            }
            EngineEvent::Wakes { at_us } => {
                self.events.schedule_at(at_us, Event::Wake(index));
            }
            EngineEvent::Unchanged => {}
        }
    }

    pub(super) fn iteration_end(&mut self, index: BackendIndex) {
        let now_us = self.events.now_us();
        let server = &mut self.servers[index.0 as usize];
        let duration_us = server.engine.running_us(now_us);
        let (tokens, prompts) = server.engine.end(now_us);
        server.record_iteration(tokens.len(), duration_us, &prompts);
        for id in tokens {
            self.step_done(id, false);
        }
        for prompt in prompts {
            self.step_done(prompt.request, true);
        }
        self.start(index);
    }

    /// Sends the step to the next stage, or records a token after the last.
    fn step_done(&mut self, id: RequestIndex, is_prompt: bool) {
        let request = &mut self.requests[id as usize];
        if request.phase != Phase::Running {
            return;
        }
        let here = request.stages[request.at_stage];
        if !request.is_last_stage() {
            request.at_stage += 1;
            let next = request.stages[request.at_stage];
            return self.send_to_stage(id, here, next, is_prompt);
        }
        request.produced += 1;
        request.at_stage = 0;
        let first = request.stages[0];
        if request.produced < request.arrival.output_tokens {
            return self.send_to_stage(id, here, first, false);
        }
        let to_first_us = self.latency_us(here, first);
        let to = self.entries[self.requests[id as usize].entry].data_centre;
        let from = self.data_centre(first);
        let to_entry_us = self.deployment.links.latency_us(from, to);
        self.events
            .schedule_after(to_first_us + to_entry_us, Event::Finished(id));
        self.charge_account(id);
        self.release_all(id);
        self.requests[id as usize].phase = Phase::Generated;
    }

    fn send_to_stage(
        &mut self,
        id: RequestIndex,
        from: BackendIndex,
        to: BackendIndex,
        is_prompt: bool,
    ) {
        let now_us = self.events.now_us();
        let links = &self.deployment.links;
        let (from, to_data_centre) =
            (self.data_centre(from), self.data_centre(to));
        let engine = &mut self.servers[to.0 as usize].engine;
        if is_prompt {
            let request = &self.requests[id as usize];
            let tokens = request.arrival.prompt_tokens;
            let at_us =
                now_us + links.transfer_us(from, to_data_centre, tokens);
            let priority = request.arrival.kind.priority();
            engine.push_prompt(id, priority, tokens, at_us);
        } else {
            let at_us = now_us + links.transfer_us(from, to_data_centre, 1);
            engine.push_token(id, at_us);
        }
        self.start(to);
    }

    pub(super) fn latency_us(
        &self,
        from: BackendIndex,
        to: BackendIndex,
    ) -> u64 {
        let (from, to) = (self.data_centre(from), self.data_centre(to));
        self.deployment.links.latency_us(from, to)
    }

    /// Corrects the charge of the account to the tokens used.
    fn charge_account(&mut self, id: RequestIndex) {
        let request = &self.requests[id as usize];
        let difference = i64::from(request.used_tokens())
            - i64::from(request.cost_tokens());
        let account = &self.deployment.accounts[request.arrival.account];
        let first = request.stages[0];
        let slot_queue = &mut self.servers[first.0 as usize].slot_queue;
        slot_queue.charge(&account.name, difference);
    }
}
