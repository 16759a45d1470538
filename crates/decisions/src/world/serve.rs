//! Engines: a request that holds all its stages.

use chestnutreach_routing::{BackendIndex, RequestOutcome};

use super::World;
use crate::{
    engine::Next,
    events::{Event, RequestIndex},
    request::Phase,
};

impl World<'_> {
    /// Every stage is held: the prompt goes to the first.
    pub(super) fn begin(&mut self, at: RequestIndex) {
        if self.requests[at as usize].phase == Phase::Over {
            self.release_held(at);
            return self.end_attempt(at, &RequestOutcome::Cancelled, None);
        }
        let request = &mut self.requests[at as usize];
        request.phase = Phase::Running;
        request.at_stage = 0;
        request.produced = 0;
        self.note_begun(at);
        self.push_prompt(at);
    }

    fn push_prompt(&mut self, at: RequestIndex) {
        let now_us = self.events.now_us();
        let request = &self.requests[at as usize];
        let index = request.stages[request.at_stage];
        let priority = request.asking.trade.priority();
        let tokens = request.asking.prompt_tokens;
        let engine = &mut self.servers[index.0 as usize].engine;
        engine.push_prompt(at, priority, tokens, now_us);
        self.start(index);
    }

    /// Begins an iteration where a server has work and runs none.
    pub(super) fn start(&mut self, index: BackendIndex) {
        let now_us = self.events.now_us();
        let requests = &self.requests;
        let is_wanted =
            |at: RequestIndex| requests[at as usize].phase == Phase::Running;
        let engine = &mut self.servers[index.0 as usize].engine;
        match engine.start(now_us, is_wanted) {
            Next::Ends { at_us } => {
                self.events.at_us(at_us, Event::IterationEnd(index));
            }
            Next::Wakes { at_us } => {
                self.events.at_us(at_us, Event::Wake(index));
            }
            Next::Nothing => {}
        }
    }

    pub(super) fn iteration_end(&mut self, index: BackendIndex) {
        let now_us = self.events.now_us();
        let server = &mut self.servers[index.0 as usize];
        let took_us = server.engine.running_us(now_us);
        let (tokens, prompts) = server.engine.end(now_us);
        server.learn(tokens.len(), took_us, &prompts);
        for at in tokens {
            self.step_done(at, false);
        }
        for prompt in prompts {
            self.step_done(prompt.request, true);
        }
        self.start(index);
    }

    /// A stage has run a step: it goes to the next, or gives a token.
    fn step_done(&mut self, at: RequestIndex, is_prompt: bool) {
        let request = &mut self.requests[at as usize];
        if request.phase != Phase::Running {
            return;
        }
        let here = request.stages[request.at_stage];
        if !request.is_last_stage() {
            request.at_stage += 1;
            let next = request.stages[request.at_stage];
            return self.pass_on(at, here, next, is_prompt);
        }
        request.produced += 1;
        request.at_stage = 0;
        let first = request.stages[0];
        if request.produced < request.asking.output_tokens {
            return self.pass_on(at, here, first, false);
        }
        let back_us = self.latency_us(here, first);
        let to = self.entries[self.requests[at as usize].entry].data_centre;
        let from = self.data_centre(first);
        let home_us = self.deployment.links.latency_us(from, to);
        self.events.after_us(back_us + home_us, Event::Finished(at));
        self.settle(at);
        self.release_all(at);
        self.requests[at as usize].phase = Phase::Answered;
    }

    fn pass_on(
        &mut self,
        at: RequestIndex,
        from: BackendIndex,
        to: BackendIndex,
        is_prompt: bool,
    ) {
        let now_us = self.events.now_us();
        let links = &self.deployment.links;
        let (from, place) = (self.data_centre(from), self.data_centre(to));
        let engine = &mut self.servers[to.0 as usize].engine;
        if is_prompt {
            let request = &self.requests[at as usize];
            let tokens = request.asking.prompt_tokens;
            let at_us = now_us + links.transfer_us(from, place, tokens);
            let priority = request.asking.trade.priority();
            engine.push_prompt(at, priority, tokens, at_us);
        } else {
            let at_us = now_us + links.transfer_us(from, place, 1);
            engine.push_token(at, at_us);
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

    /// Charges the account what was really used.
    fn settle(&mut self, at: RequestIndex) {
        let request = &self.requests[at as usize];
        let missed = i64::from(request.used_tokens())
            - i64::from(request.cost_tokens());
        let account = &self.deployment.accounts[request.asking.account];
        let first = request.stages[0];
        let gate = &mut self.servers[first.0 as usize].gate;
        gate.charge(&account.name, missed);
    }
}
