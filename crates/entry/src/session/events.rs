//! Output of an attempt, and how attempts end.

use std::time::Instant;

use chestnutreach_protocol::wire::{
    self, FailureReason, RefusalReason, frame::Body, output::Part,
};
use chestnutreach_routing::{fleet::BackendIndex, live_state::RequestOutcome};
use chestnutreach_state::{NotRunReason, Outcome};
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use super::{
    Attempt, Cause, Phase, Progress, RequestFailure, Session, SessionEvent,
};
use crate::failure::{failure_message, refusal_message};

impl Session {
    /// Waits for an event of the first stage or for the deadline, and handles
    /// it.
    pub(super) async fn handle_next_event(&mut self) {
        match self.next_event().await {
            Some(SessionEvent::Frame { link_id, body }) => {
                if self.is_current(link_id) {
                    self.handle_frame(body);
                }
            }
            Some(SessionEvent::LinkClosed { link_id }) => {
                if self.is_current(link_id) {
                    self.phase = Phase::ConnectionLost;
                }
            }
            // `next` checks for an abort before the request continues.
            Some(SessionEvent::Abort) => {}
            None => self.handle_deadline(),
        }
    }

    /// Aborts the request because the drain limit of the entry has passed. A
    /// keyed request continues at its side process, where a repeated request
    /// finds it.
    pub(super) fn abort(&mut self) {
        let detail = "the VM that took the request has stopped";
        let is_keyed = self.keyed.is_some();
        if !is_keyed {
            self.cancel();
        }
        let Some(attempt) = self.attempt.take() else {
            let reason = NotRunReason::Stopping;
            self.last_refusal = Some(RequestFailure::not_run(
                reason,
                Some(self.entry.retry_after_ms()),
                detail,
            ));
            self.fail_without_retry(Cause::Backend, detail);
            return;
        };
        self.record_attempt_outcome(
            &attempt,
            &RequestOutcome::Cancelled,
            None,
        );
        let outcome = match attempt.is_accepted && !is_keyed {
            true => Outcome::Failed,
            false => Outcome::Unknown,
        };
        self.fail(RequestFailure::new(outcome, Cause::Backend, detail));
    }

    /// The next event; `None` at the deadline.
    async fn next_event(&mut self) -> Option<SessionEvent> {
        let events = &self.events;
        let event = async { events.recv().await.ok() };
        let deadline = async {
            (&mut self.deadline).await;
            None
        };
        event.or(deadline).await
    }

    fn is_current(&self, link_id: u64) -> bool {
        let link = self.attempt.as_ref().and_then(|a| a.link.as_ref());
        link.is_some_and(|(link, _)| link.id() == link_id)
    }

    fn handle_deadline(&mut self) {
        self.cancel();
        let is_accepted = self.attempt.as_ref().is_some_and(|a| a.is_accepted);
        if is_accepted || self.attempt.is_none() {
            self.fail_without_retry(Cause::Deadline, "the time was over");
        } else {
            let detail = "the time was over before the backend server \
                          told whether it began";
            let outcome = Outcome::Unknown;
            self.fail(RequestFailure::new(outcome, Cause::Deadline, detail));
        }
    }

    /// Cancels the attempt at the first stage.
    pub(super) fn cancel(&self) {
        let attempt = self.attempt.as_ref();
        if let Some((link, _)) = attempt.and_then(|a| a.link.as_ref()) {
            let _ = link.send(Body::Cancel(wire::Cancel {
                request: Some(self.job.request.into()),
                attempt: self.attempt_number,
            }));
        }
    }

    fn handle_frame(&mut self, body: Body) {
        let number = self.attempt_number;
        match body {
            Body::Accepted(m) if m.attempt == number => self.handle_accepted(),
            Body::Output(m) if m.attempt == number => self.handle_output(m),
            Body::Finished(m) if m.attempt == number => {
                self.handle_finished(m)
            }
            Body::Failed(m) if m.attempt == number => {
                self.fail_attempt(m.reason(), &m.backend, &m.detail);
            }
            Body::Refused(m) if m.attempt == number => self.handle_refused(&m),
            // A frame of an older attempt, or a late response to a query.
            _ => {}
        }
    }

    fn handle_accepted(&mut self) {
        self.may_have_started = true;
        if let Some(attempt) = &mut self.attempt {
            attempt.is_accepted = true;
        }
    }

    /// Passes on each position exactly once and in order.
    pub(super) fn handle_output(&mut self, m: wire::Output) {
        if m.position < self.next_position {
            return;
        }
        if m.position > self.next_position {
            let reason = FailureReason::Sequence;
            self.fail_attempt(
                reason,
                "",
                "a position of the answer is missing",
            );
            return;
        }
        self.handle_accepted();
        if let Some(attempt) = &mut self.attempt {
            attempt.first_output.get_or_insert_with(Instant::now);
        }
        self.next_position += 1;
        match m.part {
            Some(Part::Token(token)) => {
                self.tokens.push(token.token);
                self.pending_progress.push_back(Progress::Token(token));
            }
            Some(Part::Head(head)) => {
                self.pending_progress.push_back(Progress::Head(head));
            }
            Some(Part::Data(data)) => {
                self.pending_progress.push_back(Progress::Data(data));
            }
            None => {}
        }
    }

    pub(super) fn handle_finished(&mut self, m: wire::Finished) {
        if m.output_count != self.next_position {
            let reason = FailureReason::Sequence;
            self.fail_attempt(reason, "", "the answer has another length");
            return;
        }
        self.record_completed(&m);
        self.choices.record_outcome(Some(Outcome::Completed), "");
        self.phase = Phase::Ended;
        self.attempt = None;
        self.pending_progress.push_back(Progress::Finished(m));
    }

    fn record_completed(&self, m: &wire::Finished) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let now = Instant::now();
        let first = attempt.first_output.unwrap_or(now);
        let since = |at: Instant| {
            at.saturating_duration_since(attempt.started).as_millis() as u32
        };
        let outcome = RequestOutcome::Completed {
            prompt_tokens: m.prompt_tokens,
            output_tokens: m.output_count - attempt.first_position,
            first_token_ms: since(first),
            total_ms: since(now),
        };
        self.record_attempt_outcome(attempt, &outcome, None);
    }

    /// Records the end of an attempt at its backend servers: `outcome` for the
    /// server at fault, or for all servers if none is given. The other servers
    /// only release the load of the attempt.
    pub(super) fn record_attempt_outcome(
        &self,
        attempt: &Attempt,
        outcome: &RequestOutcome,
        at_fault: Option<BackendIndex>,
    ) {
        self.choices.record_attempt_outcome(
            &attempt.stages,
            outcome,
            at_fault,
        );
        let now_ms = self.entry.clock.now_ms();
        for stage in &attempt.stages {
            let is_at_fault = at_fault.is_none_or(|at| at == *stage);
            let outcome =
                if is_at_fault { outcome } else { &RequestOutcome::Cancelled };
            let live = &self.job.service.live;
            live.record_outcome(*stage, attempt.cost_tokens, outcome, now_ms);
        }
    }

    /// Handles a refusal: the first stage states that nothing has run.
    pub(super) fn handle_refused(&mut self, m: &wire::Refused) {
        if self.attempt.is_none() {
            return;
        }
        if m.reason() == RefusalReason::AlreadyRun {
            let detail = "the backend server has seen the request before";
            let outcome = Outcome::Unknown;
            self.fail(RequestFailure::new(outcome, Cause::Backend, detail));
            return;
        }
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.phase = Phase::Idle;
        // Nothing of this attempt has run, even if it was accepted.
        self.may_have_started = attempt.may_have_started_before;
        let at_fault = self.job.service.fleet.find(&m.backend);
        self.record_attempt_outcome(
            &attempt,
            &RequestOutcome::Refused,
            at_fault,
        );
        let first = attempt.stages.first().copied();
        self.avoid.extend(at_fault.or(first));
        let retry_after_ms = self.entry.retry_after_ms();
        self.last_refusal = Some(to_failure(m, retry_after_ms));
    }

    /// Ends an attempt that started and cannot continue. Depending on the
    /// reason, the request ends as well or is sent to another chain.
    pub(super) fn fail_attempt(
        &mut self,
        reason: FailureReason,
        backend: &str,
        detail: &str,
    ) {
        self.cancel();
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.may_have_started = true;
        let at_fault = self.job.service.fleet.find(backend);
        let failed_backend = at_fault.or(attempt.stages.first().copied());
        let is_unattributed_deadline =
            reason == FailureReason::Deadline && at_fault.is_none();
        // A deadline that no server is blamed for and a requested cooldown say
        // nothing about the health of a server.
        if is_unattributed_deadline || reason == FailureReason::AtRest {
            self.record_attempt_outcome(
                &attempt,
                &RequestOutcome::Cancelled,
                None,
            );
        } else {
            self.record_attempt_outcome(
                &attempt,
                &RequestOutcome::Failed,
                failed_backend,
            );
        }
        self.avoid.extend(failed_backend);
        let cause = match reason {
            FailureReason::Deadline => Cause::Deadline,
            FailureReason::BadRequest => Cause::Request,
            _ => Cause::Backend,
        };
        let may_resume = self.job.is_idempotent && cause == Cause::Backend;
        if !may_resume {
            let outcome = Outcome::Failed;
            let operator_detail = format!("{backend}: {detail}");
            let detail = failure_message(reason);
            self.fail(
                RequestFailure::new(outcome, cause, detail)
                    .with_operator_detail(&operator_detail),
            );
            return;
        }
        emit(
            Event::RequestResumed,
            &[
                ("request", &self.job.request),
                ("position", &self.next_position),
                ("reason", &reason.as_str_name()),
                ("backend", &backend),
            ],
        );
        self.phase = Phase::Idle;
    }
}

/// The failure of a request whose last attempt ends with this refusal.
fn to_failure(m: &wire::Refused, retry_after_ms: u64) -> RequestFailure {
    let reason = match m.reason() {
        RefusalReason::Full | RefusalReason::TableFull => NotRunReason::Full,
        RefusalReason::Share => NotRunReason::ShareUsed,
        RefusalReason::TooLate => NotRunReason::TooLate,
        _ => NotRunReason::NoChain,
    };
    let retry_after_ms = match m.retry_after_ms {
        0 => retry_after_ms,
        known => u64::from(known),
    };
    let operator_detail =
        format!("{} refused: {}", m.backend, m.reason().as_str_name());
    let detail = refusal_message(m.reason());
    RequestFailure::not_run(reason, Some(retry_after_ms), detail)
        .with_operator_detail(&operator_detail)
}
