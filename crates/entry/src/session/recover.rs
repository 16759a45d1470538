//! Going on after the connection to the first stage was lost.

use std::time::{Duration, Instant};

use async_io::Timer;
use chestnutreach_protocol::{
    Link,
    wire::{self, FailureReason, RefusalReason, RunState, frame::Body},
};
use chestnutreach_routing::live_state::RequestOutcome;
use chestnutreach_state::{NotRunReason, Outcome};
use futures_lite::FutureExt as _;

use super::{Cause, Ending, Phase, Session, SessionEvent};
use crate::key_hold::in_progress_ms;

/// Wait between two questions to a side process that does not answer.
const ASK_AGAIN: Duration = Duration::from_millis(200);

enum Asked {
    Answer(wire::QueryAnswer),
    /// The process has been started anew and knows nothing.
    OtherIncarnation,
    NoAnswer,
}

impl Session {
    /// The connection to the first stage is lost: asks over a new one.
    pub(super) async fn recover(&mut self) {
        let limit_ms = self.entry.settings.recover_limit_ms;
        let limit = Instant::now() + Duration::from_millis(limit_ms);
        let until = limit.min(self.job.deadline);
        loop {
            match self.ask().await {
                Asked::Answer(answer) => {
                    self.recovered(answer);
                    return;
                }
                Asked::OtherIncarnation => break,
                Asked::NoAnswer if self.job.is_idempotent => break,
                Asked::NoAnswer if Instant::now() >= until => break,
                Asked::NoAnswer if self.entry.stop.is_cut() => return,
                Asked::NoAnswer => {
                    Timer::after(ASK_AGAIN).await;
                }
            }
        }
        if self.job.is_idempotent {
            let detail = "the connection to the first stage was lost";
            let backend = self.first_backend();
            self.failed(FailureReason::StageLost, &backend, detail);
            return;
        }
        let is_accepted = self.attempt.as_ref().is_some_and(|a| a.is_accepted);
        if let Some(attempt) = self.attempt.take() {
            let first = attempt.stages.first().copied();
            self.note_ended(&attempt, &RequestOutcome::Failed, first);
        }
        let outcome =
            if is_accepted { Outcome::Failed } else { Outcome::Unknown };
        let detail = "the connection to the backend server was lost";
        self.end(Ending::new(outcome, Cause::Backend, detail));
    }

    fn first_backend(&self) -> String {
        let attempt = self.attempt.as_ref();
        attempt.map_or_else(String::new, |a| a.chain[0].backend.clone())
    }

    /// Asks the first stage's process what it knows of the request.
    async fn ask(&mut self) -> Asked {
        let Some(attempt) = &mut self.attempt else {
            return Asked::OtherIncarnation;
        };
        let first = &attempt.chain[0];
        let Ok(address) = first.side_address.parse() else {
            return Asked::OtherIncarnation;
        };
        let Ok(link) = self.entry.links().connect(address).await else {
            return Asked::NoAnswer;
        };
        if link.peer().boot_id != first.side_boot_id {
            return Asked::OtherIncarnation;
        }
        let query = wire::Query {
            request: Some(self.job.request.into()),
            attempt: self.attempt_number,
            is_attach: true,
            from_position: self.next_position,
            backend: first.backend.clone(),
        };
        attempt.link = Some((link.clone(), link.track_request()));
        if link.send(Body::Query(query)).is_err() {
            return Asked::NoAnswer;
        }
        self.await_answer(&link).await
    }

    async fn await_answer(&mut self, link: &Link) -> Asked {
        let timeout = self.entry.settings.node.links.connect_timeout_ms;
        let until = Instant::now() + Duration::from_millis(timeout);
        loop {
            let events = &self.events;
            let event = async { events.recv().await.ok() };
            let limit = async {
                Timer::at(until).await;
                None
            };
            match event.or(limit).await {
                Some(SessionEvent::Frame { link_id, body })
                    if link_id == link.id() =>
                {
                    if let Body::QueryAnswer(answer) = body {
                        return Asked::Answer(answer);
                    }
                    // Outputs can only follow the answer on this link.
                }
                Some(SessionEvent::Closed { link_id })
                    if link_id == link.id() =>
                {
                    return Asked::NoAnswer;
                }
                Some(_) => {}
                None => return Asked::NoAnswer,
            }
        }
    }

    fn recovered(&mut self, answer: wire::QueryAnswer) {
        self.phase = Phase::Waiting;
        let has_run =
            !matches!(answer.state(), RunState::NeverSeen | RunState::Refused);
        if has_run && self.attempt_count == 0 {
            // The attempt of the entry that has gone.
            self.attempt_number = answer.attempt;
        }
        match answer.state() {
            RunState::NeverSeen | RunState::Refused => {
                let backend = self.first_backend();
                let reason = RefusalReason::StageUnreachable.into();
                self.refused(&wire::Refused {
                    backend,
                    reason,
                    ..wire::Refused::default()
                });
            }
            RunState::Running if answer.is_attached => {
                self.outputs(answer.outputs);
            }
            RunState::Finished => {
                self.outputs(answer.outputs);
                match answer.finished {
                    Some(finished) => self.finished(finished),
                    None => self.answer_gone(),
                }
            }
            RunState::Failed => {
                let backend = self.first_backend();
                let reason = answer.failure();
                self.outputs(answer.outputs);
                self.failed(reason, &backend, "the attempt had failed");
            }
            RunState::Running if self.attempt_count == 0 => {
                let detail = "a request with this idempotency key runs now";
                let ending = Ending::not_run(
                    NotRunReason::InProgress,
                    Some(in_progress_ms()),
                    detail,
                );
                self.keyed = None;
                self.attempt = None;
                self.end(ending);
            }
            RunState::CannotTell if !self.job.is_idempotent => {
                self.attempt = None;
                let detail = "the side process cannot tell whether it ran";
                let outcome = Outcome::Unknown;
                self.end(Ending::new(outcome, Cause::Backend, detail));
            }
            RunState::Running
            | RunState::CannotTell
            | RunState::Unspecified => self.answer_gone(),
        }
    }

    fn outputs(&mut self, outputs: Vec<wire::Output>) {
        for output in outputs {
            self.output(output);
        }
    }

    /// It ran or runs, and its answer cannot be had.
    fn answer_gone(&mut self) {
        let backend = self.first_backend();
        let detail = "the answer is no longer kept";
        self.failed(FailureReason::StageLost, &backend, detail);
    }
}
