//! Requests with a single response.
//!
//! The entry reads the whole response before forwarding it, so that an
//! incomplete response can be replaced: an idempotent request is retried at
//! another backend server within its attempts and the retry limit, or sent
//! there beside an attempt that answers late. A request
//! that may run only once is retried only if it certainly has not run. The
//! response arrives at the end of a run, so any request in flight may be the
//! cause of a crash of its backend server.

use std::{collections::BTreeSet, sync::Arc};

use chestnutreach_http::relay::{Inbound, RelayRequest, ResponseHead};
use chestnutreach_routing::{Attempts, CountedBackends};

use self::attempt::AttemptResult;
use crate::{
    clock::now_ms,
    cluster::engine::Engine,
    core::Core,
    request::{
        admit::AdmittedRequest,
        exchange::{self, HeldBody},
        isolation::{RequestSuspicion, Trial},
        outcome::{
            ConnectionAction, RequestSummary, is_last_request, refuse,
            refuse_with_retry_after,
        },
        response::{
            ErrorReason, Framing, default_retry_after_ms, forwarded_head,
            guarantees_not_run,
        },
        running_tokens::RunningTokens,
    },
};

mod attempt;
mod race;
mod search;

/// Maximum size of a body that is copied behind the head.
const MAX_JOINED_BYTES: usize = 16 << 10;

/// A request and the state of its attempts.
struct PlainRequest<'a> {
    core: &'a Arc<Core>,
    request: &'a RelayRequest,
    admitted: &'a AdmittedRequest,
    suspicion: RequestSuspicion<'a>,
    attempts: Attempts,
    /// Incarnations of the backend servers that were tried.
    tried: BTreeSet<String>,
    last_response: Option<(ResponseHead, HeldBody)>,
    /// Identifies this request among those that wait for a permit.
    permit_key: u64,
    /// Why the request may not wait, and when its caller may retry.
    refusal: Option<(ErrorReason, u64)>,
    is_caller_disconnected: bool,
    running: Option<RunningTokens>,
}

/// Forwards a request and its response.
pub(crate) async fn relay(
    core: &Arc<Core>,
    inbound: &mut Inbound,
    request: &RelayRequest,
    admitted: &AdmittedRequest,
) -> (RequestSummary, ConnectionAction) {
    let mut plain_request = PlainRequest::new(core, request, admitted);
    plain_request.record_capacity_request();
    core.record_plain_request(&admitted.service.name);
    while let Some((engine, trial)) = plain_request.next_engine().await {
        if !core.stop.may_send(admitted) {
            plain_request.refusal = Some((ErrorReason::Stopping, 0));
            break;
        }
        let result = plain_request.race(inbound, &engine, trial).await;
        if plain_request.handle_result(result) {
            break;
        }
    }
    let (mut summary, action) = plain_request.respond(inbound).await;
    summary.attempts = plain_request.attempts.count();
    (summary, action)
}

impl<'a> PlainRequest<'a> {
    fn new(
        core: &'a Arc<Core>,
        request: &'a RelayRequest,
        admitted: &'a AdmittedRequest,
    ) -> PlainRequest<'a> {
        PlainRequest {
            core,
            request,
            admitted,
            suspicion: RequestSuspicion::new(core, request, admitted),
            attempts: admitted.attempts(CountedBackends::Contacted),
            tried: BTreeSet::new(),
            last_response: None,
            permit_key: fastrand::u64(..),
            refusal: None,
            is_caller_disconnected: false,
            running: None,
        }
    }

    /// The backend server of the next attempt; `None` if there is no further
    /// attempt.
    async fn next_engine(&mut self) -> Option<(Arc<Engine>, Option<Trial>)> {
        if self.suspicion.quarantine_left_ms().is_some() {
            return None;
        }
        let service = &self.admitted.service.name;
        let is_retry = self.attempts.count() > 0;
        if is_retry && !self.core.try_take_retry(service) {
            let id = self.admitted.id_text();
            self.core.record_retry_denied(service, id);
            return None;
        }
        self.find_engine().await
    }

    /// Keeps a failed response, which the caller gets if there is no better
    /// one.
    fn keep_response(&mut self, result: AttemptResult) {
        if let AttemptResult::Responded(head, body) = result {
            self.last_response = Some((head, body));
        }
    }

    /// Handles the result of an attempt; true if that was the last attempt.
    fn handle_result(&mut self, result: AttemptResult) -> bool {
        match result {
            AttemptResult::Responded(head, body) => {
                let is_failure = head.status >= 500;
                if exchange::is_not_run(&head) {
                    self.attempts.record_not_run();
                }
                self.last_response = Some((head, body));
                if !is_failure {
                    return true;
                }
            }
            AttemptResult::CallerDisconnected => {
                self.is_caller_disconnected = true;
                return true;
            }
            AttemptResult::NotRun => self.attempts.record_not_run(),
            AttemptResult::ResponseLost
            | AttemptResult::TimedOut
            | AttemptResult::Cancelled => {}
        }
        self.admitted.remaining_ms(now_ms()) == 0 || !self.attempts.may_retry()
    }

    /// Sends the best available response to the caller.
    async fn respond(
        &mut self,
        inbound: &mut Inbound,
    ) -> (RequestSummary, ConnectionAction) {
        let is_last_request = is_last_request(self.core, self.request);
        if self.is_caller_disconnected {
            let outcome = "caller_gone";
            return (
                RequestSummary { outcome, ..RequestSummary::default() },
                ConnectionAction::Abort,
            );
        }
        let may_have_run = self.attempts.may_have_run();
        match self.last_response.take() {
            Some((head, body)) => {
                let request = self.request;
                forward_response(
                    inbound,
                    request,
                    &head,
                    body.as_slice(),
                    may_have_run,
                    is_last_request,
                )
                .await
            }
            None => self.give_up(inbound, may_have_run, is_last_request).await,
        }
    }

    /// Ends a request that can't be sent again with an error response.
    async fn give_up(
        &self,
        inbound: &mut Inbound,
        may_have_run: bool,
        is_last_request: bool,
    ) -> (RequestSummary, ConnectionAction) {
        let remaining_ms = self.admitted.remaining_ms(now_ms());
        let quarantine = self.suspicion.refusal(may_have_run);
        let (reason, retry_after_ms) = match (quarantine, self.refusal) {
            (Some(quarantine), _) => quarantine,
            (None, Some(refusal)) if !may_have_run => refusal,
            (None, _) => {
                let reason =
                    ErrorReason::for_exhausted(may_have_run, remaining_ms);
                (reason, default_retry_after_ms())
            }
        };
        refuse_with_retry_after(
            inbound,
            self.request,
            reason,
            retry_after_ms,
            is_last_request,
        )
        .await
    }
}

async fn forward_response(
    inbound: &mut Inbound,
    request: &RelayRequest,
    head: &ResponseHead,
    body: &[u8],
    may_have_run: bool,
    is_last_request: bool,
) -> (RequestSummary, ConnectionAction) {
    if may_have_run && guarantees_not_run(head.status) {
        return refuse(
            inbound,
            request,
            ErrorReason::ResponseLost,
            is_last_request,
        )
        .await;
    }
    let has_no_body =
        request.method == "HEAD" || matches!(head.status, 204 | 304);
    let framing = match has_no_body {
        true => Framing::None,
        false => Framing::Length(body.len()),
    };
    let mut bytes = forwarded_head(head, framing, is_last_request);
    // A short body goes into one packet with the head; a long one is not
    // copied.
    let (joined, rest) = match body.len() <= MAX_JOINED_BYTES {
        true => (body, &[][..]),
        false => (&[][..], body),
    };
    bytes.extend_from_slice(joined);
    let is_sent = inbound.write(&bytes).await.is_ok()
        && inbound.write(rest).await.is_ok();
    let outcome = match head.status {
        ..400 => "completed",
        _ => "failed",
    };
    let summary = RequestSummary {
        outcome,
        status: head.status,
        events: 1,
        ..RequestSummary::default()
    };
    let action = ConnectionAction::after_response(is_sent, is_last_request);
    (summary, action)
}
