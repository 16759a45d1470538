//! Steps of the first stage, and output tokens.

use std::sync::Arc;

use chestnutreach_engine::{
    EngineError, SequenceError, SequenceOutput, SequenceStep, StepInput,
    StepOutput,
};
use chestnutreach_protocol::wire::{
    self, FailureReason, FinishReason, Output, RefusalReason, frame::Body,
    output::Part,
};

use super::{Phase, Run};
use crate::{
    node::Shared,
    priority::step_priority,
    steps::{Owner, QueuedStep, failure_reason},
};

/// Bytes accounted for a kept token in addition to its text.
const TOKEN_OVERHEAD_BYTES: usize = 64;

/// A token from an engine.
struct Token {
    token: u32,
    text: String,
    is_stop: bool,
}

impl Shared {
    pub(super) fn push_first_stage_step(
        &self,
        run: &Arc<Run>,
        position: u32,
        input: StepInput,
        is_first: bool,
    ) {
        let step = SequenceStep {
            sequence: run.sequence(),
            position,
            priority: step_priority(run.shape.priority),
            input,
            parameters_json: Vec::new(),
        };
        let owner = Owner::Run(run.clone());
        run.backend.steps.push(QueuedStep { owner, step, is_first });
    }

    /// Handles the first stage's result of a step: forwards activations to the
    /// next stage, or handles the token of a whole model.
    pub(crate) fn first_stage_step_done(
        self: &Arc<Self>,
        run: &Arc<Run>,
        position: u32,
        result: Result<SequenceOutput, SequenceError>,
    ) {
        let output = match result {
            Ok(output) => output,
            Err(e) => {
                let (reason, detail) = sequence_failure(&e);
                self.stop(run, reason, &run.backend.name, &detail);
                return;
            }
        };
        let mut state = run.lock();
        if state.phase != Phase::Running {
            return;
        }
        if state.first_span.is_none() {
            state.first_span = Some(output.span);
            state.prompt_tokens = output.prompt_tokens;
            state.cached_tokens = output.cached_tokens;
        }
        match output.output {
            StepOutput::Activation(activation) => {
                let Some(next) = run.chain.get(1) else {
                    drop(state);
                    let detail = "no token from a whole model";
                    let reason = FailureReason::Sequence;
                    self.stop(run, reason, &run.backend.name, detail);
                    return;
                };
                let message = wire::Step {
                    request: run.wire_id(),
                    attempt: run.attempt,
                    position,
                    span: output.span,
                    first_layer: next.first_layer,
                    activation,
                };
                // A lost link is handled when its close event arrives.
                let _ = state.stages[0].0.send(Body::Step(message));
            }
            StepOutput::Token { token, text, is_stop } => {
                drop(state);
                let at = position + output.span;
                self.handle_token(run, at, Token { token, text, is_stop });
            }
        }
    }

    /// Refuses or fails a run whose step got no result from the engine.
    pub(crate) fn first_stage_step_lost(
        self: &Arc<Self>,
        run: &Arc<Run>,
        is_first: bool,
        error: &EngineError,
    ) {
        let name = &run.backend.name;
        if is_first && !error.may_have_run() {
            // No step of the request has run.
            let cooldown_ms =
                error.cooldown().unwrap_or_default().as_millis() as u64;
            self.refuse(run, RefusalReason::BackendDown, name, cooldown_ms);
            return;
        }
        let reason = failure_reason(error);
        self.stop(run, reason, name, &error.to_string());
    }

    /// Handles a token from the last stage.
    pub(crate) fn handle_step_result(self: &Arc<Self>, m: wire::StepResult) {
        let Some(run) = self.current_run(m.request, m.attempt) else {
            self.record_refused_step("no_run");
            return;
        };
        let is_stop = m.finish() == FinishReason::Stop;
        let token = Token { token: m.token, text: m.text, is_stop };
        self.handle_token(&run, m.position, token);
    }

    /// Sends the next token to the entry and queues the next step.
    fn handle_token(
        self: &Arc<Self>,
        run: &Arc<Run>,
        position: u32,
        token: Token,
    ) {
        let mut state = run.lock();
        if state.phase != Phase::Running {
            return;
        }
        let expected = state.first_span.map(|span| span + state.produced);
        if expected != Some(position) {
            let is_repeat = expected.is_some_and(|e| position < e);
            drop(state);
            self.record_refused_step(if is_repeat {
                "repeated"
            } else {
                "gap"
            });
            if !is_repeat {
                let detail = "a token came before the one it follows";
                self.stop(run, FailureReason::Sequence, "", detail);
            }
            return;
        }
        state.produced += 1;
        let number = run.delivered() + state.produced - 1;
        let bytes = token.text.len() + TOKEN_OVERHEAD_BYTES;
        let wire_token = wire::Token { token: token.token, text: token.text };
        let output = Output {
            request: run.wire_id(),
            attempt: run.attempt,
            position: number,
            part: Some(Part::Token(wire_token)),
        };
        state.record_output(output, bytes);
        drop(state);
        if token.is_stop {
            self.finish(run, FinishReason::Stop);
        } else if number + 1 >= run.max_tokens() {
            self.finish(run, FinishReason::Length);
        } else {
            let input = StepInput::Token(token.token);
            self.push_first_stage_step(run, position, input, false);
        }
    }

    /// Records a part of a plain response and sends it to the entry.
    pub(crate) fn record_plain_part(
        &self,
        run: &Run,
        part: Part,
        bytes: usize,
    ) {
        let mut state = run.lock();
        let output = Output {
            request: run.wire_id(),
            attempt: run.attempt,
            position: state.outputs.len() as u32,
            part: Some(part),
        };
        state.record_output(output, bytes);
        state.produced += 1;
    }
}

fn sequence_failure(error: &SequenceError) -> (FailureReason, String) {
    match error {
        SequenceError::BadRequest(why) => {
            (FailureReason::BadRequest, why.clone())
        }
        SequenceError::OutOfOrder(why) => {
            (FailureReason::Sequence, why.clone())
        }
        other => (FailureReason::BackendError, format!("{other:?}")),
    }
}
