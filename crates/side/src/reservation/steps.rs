//! Steps of a later stage.

use std::sync::Arc;

use chestnutreach_engine::{
    EngineError, SequenceError, SequenceOutput, SequenceStep, StepInput,
    StepOutput,
};
use chestnutreach_protocol::{
    RequestId,
    wire::{self, FailureReason, FinishReason, frame::Body},
};
use chestnutreach_state::StepRefusal;

use super::Reservation;
use crate::{
    node::Shared,
    steps::{Owner, QueuedStep, failure_reason},
};

impl Shared {
    /// Handles a step from the previous stage.
    pub(crate) fn handle_step(self: &Arc<Self>, m: wire::Step) {
        let id = m.request.map_or(0, |id| RequestId::from(id).as_u128());
        let reservation =
            self.lock_reservations().get(&(id, m.first_layer)).cloned();
        let Some(reservation) = reservation else {
            self.record_refused_step("no_reservation");
            return;
        };
        let (order_check, is_first, parameters_json) = {
            let mut state = reservation.lock();
            let is_first = state.step_gate.next_position() == 0;
            let order_check = state.step_gate.accept(
                m.attempt,
                m.first_layer,
                m.position,
                m.span,
            );
            let parameters = if order_check.is_ok() {
                std::mem::take(&mut state.parameters_json)
            } else {
                Vec::new()
            };
            (order_check, is_first, parameters)
        };
        if let Err(refusal) = order_check {
            self.record_refused_step(refusal.as_str());
            if refusal == StepRefusal::Gap {
                let detail = format!("position {} after a gap", m.position);
                let reason = FailureReason::Sequence;
                self.fail_reservation(
                    &reservation,
                    reason,
                    &reservation.stage.backend,
                    &detail,
                );
            }
            return;
        }
        if is_first && !reservation.backend.table().begin(id, m.attempt) {
            self.record_refused_step("fenced");
            return;
        }
        let step = SequenceStep {
            sequence: reservation.sequence(),
            position: m.position,
            priority: reservation.priority,
            input: StepInput::Activation { span: m.span, bytes: m.activation },
            parameters_json,
        };
        let owner = Owner::Reservation(reservation.clone());
        reservation.backend.steps.push(QueuedStep { owner, step, is_first });
    }

    /// Handles the engine's result of a step: forwards activations to the next
    /// stage and a token to the first stage.
    pub(crate) fn later_stage_step_done(
        self: &Arc<Self>,
        reservation: &Arc<Reservation>,
        position: u32,
        result: Result<SequenceOutput, SequenceError>,
    ) {
        if reservation.is_released() {
            return;
        }
        let output = match result {
            Ok(output) => output,
            Err(e) => {
                let reason = FailureReason::BackendError;
                let detail = format!("{e:?}");
                self.fail_reservation(
                    reservation,
                    reason,
                    &reservation.stage.backend,
                    &detail,
                );
                return;
            }
        };
        match output.output {
            StepOutput::Activation(activation) => {
                self.send_next(reservation, position, output.span, activation);
            }
            StepOutput::Token { token, text, is_stop } => {
                let finish = if is_stop {
                    FinishReason::Stop
                } else {
                    FinishReason::Unspecified
                };
                let result = wire::StepResult {
                    request: reservation.wire_id(),
                    attempt: reservation.attempt,
                    position: position + output.span,
                    token,
                    text,
                    finish: finish.into(),
                };
                let _ = reservation.first_stage.send(Body::StepResult(result));
            }
        }
    }

    fn send_next(
        self: &Arc<Self>,
        reservation: &Arc<Reservation>,
        position: u32,
        span: u32,
        activation: Vec<u8>,
    ) {
        let state = reservation.lock();
        let Some((link, _)) = &state.next_link else {
            drop(state);
            let detail = "no token from the last stage";
            let reason = FailureReason::Sequence;
            self.fail_reservation(
                reservation,
                reason,
                &reservation.stage.backend,
                detail,
            );
            return;
        };
        let message = wire::Step {
            request: reservation.wire_id(),
            attempt: reservation.attempt,
            position,
            span,
            first_layer: reservation.stage.end_layer,
            activation,
        };
        // A lost link is handled when its close event arrives.
        let _ = link.send(Body::Step(message));
    }

    /// Fails a reservation whose step got no result from the engine.
    pub(crate) fn later_stage_step_lost(
        self: &Arc<Self>,
        reservation: &Arc<Reservation>,
        error: &EngineError,
    ) {
        let reason = failure_reason(error);
        let detail = error.to_string();
        self.fail_reservation(
            reservation,
            reason,
            &reservation.stage.backend,
            &detail,
        );
    }
}
