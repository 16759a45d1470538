//! The end of a request and the release of its resources.

use std::sync::{Arc, atomic::Ordering};

use chestnutreach_protocol::{
    RequestId,
    wire::{
        self, FailureReason, FinishReason, RefusalReason, Refused, frame::Body,
    },
};
use chestnutreach_telemetry::{Event, emit};

use super::{Phase, Run, State};
use crate::node::Shared;

impl Shared {
    /// Ends a run whose output is complete.
    pub(crate) fn finish(
        self: &Arc<Self>,
        run: &Arc<Run>,
        finish: FinishReason,
    ) {
        let now_ms = self.clock.now_ms();
        let load = self.backend_load(&run.backend);
        let mut state = run.lock();
        if state.phase != Phase::Running {
            return;
        }
        state.phase = Phase::Finished;
        let finished = wire::Finished {
            request: run.wire_id(),
            attempt: run.attempt,
            output_count: run.delivered() + state.produced,
            finish: finish.into(),
            prompt_tokens: state.prompt_tokens,
            cached_tokens: state.cached_tokens,
            load: Some(load),
        };
        state.finished = Some(finished.clone());
        // The run-once table is updated first, so that the state is recorded
        // before the entry sees the end of the output.
        run.backend.table().finish(run.id, run.attempt, now_ms);
        state.send_entry(Body::Finished(finished));
        self.charge(run, &state);
        drop(state);
        self.end(run);
    }

    /// Ends a run early: fails it if it has begun, refuses it otherwise.
    pub(crate) fn stop(
        self: &Arc<Self>,
        run: &Arc<Run>,
        reason: FailureReason,
        backend: &str,
        detail: &str,
    ) {
        let now_ms = self.clock.now_ms();
        let mut state = run.lock();
        match state.phase {
            Phase::Finished | Phase::Stopped => return,
            Phase::Queued | Phase::Reserving => {
                drop(state);
                let reason = match reason {
                    FailureReason::Deadline => RefusalReason::TooLate,
                    FailureReason::StageLost => {
                        RefusalReason::StageUnreachable
                    }
                    FailureReason::Stopped => RefusalReason::Leaving,
                    _ => RefusalReason::Fenced,
                };
                self.refuse(run, reason, backend, 0);
                return;
            }
            Phase::Running => {}
        }
        state.phase = Phase::Stopped;
        state.failure = Some(reason);
        run.backend.table().fail(run.id, run.attempt, now_ms);
        state.send_entry(Body::Failed(wire::Failed {
            request: run.wire_id(),
            attempt: run.attempt,
            reason: reason.into(),
            backend: backend.to_owned(),
            detail: detail.to_owned(),
        }));
        drop(state);
        emit(
            Event::AttemptFailed,
            &[
                ("request", &RequestId::from_u128(run.id)),
                ("attempt", &run.attempt),
                ("reason", &reason.as_str_name()),
                ("backend", &backend),
                ("detail", &detail),
            ],
        );
        self.end(run);
    }

    /// Refuses a run of which no step has run.
    pub(crate) fn refuse(
        self: &Arc<Self>,
        run: &Arc<Run>,
        reason: RefusalReason,
        backend: &str,
        retry_after_ms: u64,
    ) {
        let now_ms = self.clock.now_ms();
        let mut state = run.lock();
        let was_queued = match state.phase {
            Phase::Finished | Phase::Stopped => return,
            Phase::Queued => true,
            Phase::Reserving | Phase::Running => false,
        };
        state.phase = Phase::Stopped;
        run.backend.table().refuse(run.id, run.attempt, now_ms);
        let backend =
            if backend.is_empty() { &run.backend.name } else { backend };
        let load = (backend == run.backend.name)
            .then(|| self.backend_load(&run.backend));
        state.send_entry(Body::Refused(Refused {
            request: run.wire_id(),
            attempt: run.attempt,
            reason: reason.into(),
            backend: backend.to_owned(),
            retry_after_ms: retry_after_ms.min(u32::MAX.into()) as u32,
            load,
        }));
        drop(state);
        let metrics = self.metrics.service(&run.service);
        metrics.record_attempt_refused(reason.as_str_name());
        if was_queued {
            run.backend.slots.remove_run(run);
            run.is_ended.store(true, Ordering::Release);
            self.remove_run(run);
            return;
        }
        self.end(run);
    }

    /// Releases the resources of an ended run, here and on the other stages.
    fn end(self: &Arc<Self>, run: &Arc<Run>) {
        run.is_ended.store(true, Ordering::Release);
        let (stages, output_bytes) = {
            let mut state = run.lock();
            state.entry = None;
            (std::mem::take(&mut state.stages), state.output_bytes)
        };
        let request = run.wire_id();
        let attempt = run.attempt;
        for (link, _guard) in &stages {
            let release = wire::Release { request, attempt };
            let _ = link.send(Body::Release(release));
        }
        run.backend.release_sequence(run.sequence());
        self.remove_run(run);
        self.keep_output(run, output_bytes);
        self.release_run_slot(run);
    }

    fn keep_output(&self, run: &Arc<Run>, output_bytes: usize) {
        let keep_ms = if run.is_kept {
            self.settings.run_once_retention_ms
        } else {
            self.settings.orphan_limit_ms
        };
        let until_ms = self.clock.now_ms() + keep_ms;
        self.lock_ended().insert(run.clone(), output_bytes, until_ms);
    }

    /// Releases the slot of a run and admits the next waiting request.
    pub(super) fn release_run_slot(self: &Arc<Self>, run: &Arc<Run>) {
        self.release_slot(&run.backend, run.cost_tokens);
    }

    /// Corrects the charge of the account by the tokens that were used.
    fn charge(&self, run: &Run, state: &State) {
        let used = state.prompt_tokens + state.produced;
        let difference = i64::from(used) - run.cost_tokens as i64;
        run.backend.slots.charge(&run.account, difference);
    }

    /// Handles the cancellation of an attempt by the entry.
    pub(crate) fn handle_cancel(self: &Arc<Self>, m: &wire::Cancel) {
        let Some(run) = self.find_run_by_wire_id(m.request) else {
            return;
        };
        if run.attempt <= m.attempt {
            self.stop(&run, FailureReason::Cancelled, "", "");
        }
    }

    /// Handles the failure of a later stage.
    pub(crate) fn handle_step_failed(self: &Arc<Self>, m: &wire::StepFailed) {
        if let Some(run) = self.current_run(m.request, m.attempt) {
            self.stop(&run, m.reason(), &m.backend, &m.detail);
        }
    }
}
