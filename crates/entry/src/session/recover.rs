//! Recovery after the connection to the first stage was lost.

use std::time::{Duration, Instant};

use async_io::Timer;
use chestnutreach_protocol::{
    Link,
    wire::{self, FailureReason, RefusalReason, RunState, frame::Body},
};
use chestnutreach_routing::live_state::RequestOutcome;
use chestnutreach_state::{NotRunReason, Outcome};
use futures_lite::FutureExt as _;

use super::{Cause, Phase, RequestFailure, Session, SessionEvent};
use crate::key_claim::in_progress_retry_ms;

/// Delay between queries to a side process that does not respond.
const QUERY_RETRY_INTERVAL: Duration = Duration::from_millis(200);

enum QueryResult {
    Response(wire::QueryAnswer),
    /// The side process was restarted and has no record of the request.
    OtherIncarnation,
    NoResponse,
}

impl Session {
    /// Queries the first stage over a new connection and continues, retries or
    /// ends the request accordingly.
    pub(super) async fn recover(&mut self) {
        let limit_ms = self.entry.settings.recover_limit_ms;
        let limit = Instant::now() + Duration::from_millis(limit_ms);
        let until = limit.min(self.job.deadline);
        loop {
            match self.query_side().await {
                QueryResult::Response(response) => {
                    self.handle_query_response(response);
                    return;
                }
                QueryResult::OtherIncarnation => break,
                QueryResult::NoResponse if self.job.is_idempotent => break,
                QueryResult::NoResponse if Instant::now() >= until => break,
                QueryResult::NoResponse
                    if self.entry.shutdown.is_aborting() =>
                {
                    return;
                }
                QueryResult::NoResponse => {
                    Timer::after(QUERY_RETRY_INTERVAL).await;
                }
            }
        }
        if self.job.is_idempotent {
            let detail = "the connection to the first stage was lost";
            let backend = self.first_backend();
            self.fail_attempt(FailureReason::StageLost, &backend, detail);
            return;
        }
        let is_accepted = self.attempt.as_ref().is_some_and(|a| a.is_accepted);
        if let Some(attempt) = self.attempt.take() {
            let first = attempt.stages.first().copied();
            self.record_attempt_outcome(
                &attempt,
                &RequestOutcome::Failed,
                first,
            );
        }
        let outcome =
            if is_accepted { Outcome::Failed } else { Outcome::Unknown };
        let detail = "the connection to the backend server was lost";
        self.fail(RequestFailure::new(outcome, Cause::Backend, detail));
    }

    fn first_backend(&self) -> String {
        let attempt = self.attempt.as_ref();
        attempt.map_or_else(String::new, |a| a.chain[0].backend.clone())
    }

    /// Queries the side process of the first stage for the state of the
    /// request, and attaches to its output.
    async fn query_side(&mut self) -> QueryResult {
        let Some(attempt) = &mut self.attempt else {
            return QueryResult::OtherIncarnation;
        };
        let first = &attempt.chain[0];
        let Ok(address) = first.side_address.parse() else {
            return QueryResult::OtherIncarnation;
        };
        let Ok(link) = self.entry.links().connect(address).await else {
            return QueryResult::NoResponse;
        };
        if link.peer().boot_id != first.side_boot_id {
            return QueryResult::OtherIncarnation;
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
            return QueryResult::NoResponse;
        }
        self.await_query_response(&link).await
    }

    async fn await_query_response(&mut self, link: &Link) -> QueryResult {
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
                    if let Body::QueryAnswer(response) = body {
                        return QueryResult::Response(response);
                    }
                    // Output arrives on this link only after the response.
                }
                Some(SessionEvent::LinkClosed { link_id })
                    if link_id == link.id() =>
                {
                    return QueryResult::NoResponse;
                }
                Some(_) => {}
                None => return QueryResult::NoResponse,
            }
        }
    }

    fn handle_query_response(&mut self, response: wire::QueryAnswer) {
        self.phase = Phase::InAttempt;
        let has_run = !matches!(
            response.state(),
            RunState::NeverSeen | RunState::Refused
        );
        if has_run && self.attempt_count == 0 {
            // The attempt was made by the entry that held the claim.
            self.attempt_number = response.attempt;
        }
        match response.state() {
            RunState::NeverSeen | RunState::Refused => {
                let backend = self.first_backend();
                let reason = RefusalReason::StageUnreachable.into();
                self.handle_refused(&wire::Refused {
                    backend,
                    reason,
                    ..wire::Refused::default()
                });
            }
            RunState::Running if response.is_attached => {
                self.handle_outputs(response.outputs);
            }
            RunState::Finished => {
                self.handle_outputs(response.outputs);
                match response.finished {
                    Some(finished) => self.handle_finished(finished),
                    None => self.fail_response_lost(),
                }
            }
            RunState::Failed => {
                let backend = self.first_backend();
                let reason = response.failure();
                self.handle_outputs(response.outputs);
                self.fail_attempt(reason, &backend, "the attempt had failed");
            }
            RunState::Running if self.attempt_count == 0 => {
                let detail = "a request with this idempotency key runs now";
                let failure = RequestFailure::not_run(
                    NotRunReason::InProgress,
                    Some(in_progress_retry_ms()),
                    detail,
                );
                self.keyed = None;
                self.fail(failure);
            }
            RunState::CannotTell if !self.job.is_idempotent => {
                let detail = "the side process cannot tell whether it ran";
                let outcome = Outcome::Unknown;
                self.fail(RequestFailure::new(
                    outcome,
                    Cause::Backend,
                    detail,
                ));
            }
            RunState::Running
            | RunState::CannotTell
            | RunState::Unspecified => self.fail_response_lost(),
        }
    }

    fn handle_outputs(&mut self, outputs: Vec<wire::Output>) {
        for output in outputs {
            self.handle_output(output);
        }
    }

    /// Fails the attempt: the request ran or is running, but its output cannot
    /// be retrieved.
    fn fail_response_lost(&mut self) {
        let backend = self.first_backend();
        let detail = "the answer is no longer kept";
        self.fail_attempt(FailureReason::StageLost, &backend, detail);
    }
}
