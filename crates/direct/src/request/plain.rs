//! Requests with a single response.
//!
//! The entry reads the whole response before forwarding it, so that an
//! incomplete response can be replaced: an idempotent request is retried at
//! another backend server within its attempts and the retry limit. A request
//! that may run only once is retried only if it certainly has not run. The
//! response arrives at the end of a run, so any request in flight may be the
//! cause of a crash of its backend server.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_http::relay::{
    Inbound, Outbound, OutboundError, RelayRequest, ResponseHead,
};
use chestnutreach_routing::{Attempts, CountedBackends};
use chestnutreach_site::RouteKind;
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use crate::{
    clock::now_ms,
    cluster::{
        end_check,
        engine::{Engine, Reservation},
        notices::{self, ResponseContext},
    },
    core::Core,
    request::{
        admit::AdmittedRequest,
        exchange::{self, BackendHeaders, HeldBody},
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

mod search;

/// Maximum size of a body that is copied behind the head.
const MAX_JOINED_BYTES: usize = 16 << 10;
/// An idempotent request is retried elsewhere if it has no response within
/// this multiple of the route's target.
const HEDGE_FACTOR: f64 = 0.9;
/// Minimum duration of an attempt as a fraction of that target. An attempt
/// that starts late because the request waited would otherwise be abandoned
/// while it runs.
const MIN_ATTEMPT_SHARE: f64 = 0.3;
/// Back-off of a failing backend server for each failure in a row after the
/// first.
const BACKOFF_MS: u64 = 150;
/// Maximum back-off of a backend server.
const MAX_BACKOFF_MS: u64 = 2_000;

/// Result of one attempt.
enum AttemptResult {
    /// The whole response was received.
    Responded(ResponseHead, HeldBody),
    /// The request certainly did not run.
    NotRun,
    /// The response is lost; the request may have run.
    ResponseLost,
    /// The attempt timed out; the request may have run.
    TimedOut,
    CallerDisconnected,
}

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
    while let Some((engine, trial)) = plain_request.next_engine().await {
        if !core.stop.may_send(admitted) {
            plain_request.refusal = Some((ErrorReason::Stopping, 0));
            break;
        }
        let result = plain_request.attempt(inbound, &engine, trial).await;
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

    async fn attempt(
        &mut self,
        inbound: &Inbound,
        engine: &Arc<Engine>,
        trial: Option<Trial>,
    ) -> AttemptResult {
        self.attempts.begin(&engine.incarnation);
        self.tried.insert(engine.incarnation.clone());
        let attempt_number = self.attempts.count();
        // A trial is never cut short, since its result would be lost.
        let timeout_at_ms = match trial {
            Some(_) => self.admitted.deadline_ms,
            None => attempt_timeout_at_ms(self.admitted, attempt_number),
        };
        let context = AttemptContext {
            engine,
            attempt: attempt_number,
            timeout_at_ms,
            suspicion: &self.suspicion,
        };
        let caller = inbound.stream().clone();
        let disconnected = async {
            caller.peer_closed().await;
            AttemptResult::CallerDisconnected
        };
        let work = attempt(self.core, self.request, self.admitted, &context);
        let result = work.or(disconnected).await;
        record_result(engine, &result);
        let is_in_cooldown = matches!(result, AttemptResult::NotRun)
            && engine.lock().is_in_cooldown(now_ms());
        if is_in_cooldown {
            self.tried.remove(&engine.incarnation);
        }
        let is_in_trial = trial.is_some();
        let suspicion = &mut self.suspicion;
        record_crash_evidence(suspicion, engine, &result, is_in_trial).await;
        result
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
            AttemptResult::ResponseLost | AttemptResult::TimedOut => {}
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

/// Records what an attempt shows about crashes: after a response the request
/// has crashed nothing, after a lost response it may have.
async fn record_crash_evidence(
    suspicion: &mut RequestSuspicion<'_>,
    engine: &Arc<Engine>,
    result: &AttemptResult,
    is_in_trial: bool,
) {
    match result {
        AttemptResult::Responded(head, _) if !exchange::is_not_run(head) => {
            suspicion.record_completed();
        }
        AttemptResult::ResponseLost => {
            suspicion.record_lost_response(engine, is_in_trial).await;
        }
        AttemptResult::TimedOut | AttemptResult::CallerDisconnected => {
            suspicion.record_abandoned_request(engine, is_in_trial);
        }
        _ => {}
    }
}

/// When an attempt times out: at the deadline, or earlier if another attempt
/// may follow.
fn attempt_timeout_at_ms(admitted: &AdmittedRequest, attempts: u32) -> u64 {
    let is_repeatable = admitted.route.kind == RouteKind::Idempotent;
    if !is_repeatable || attempts >= admitted.route.max_attempts {
        return admitted.deadline_ms;
    }
    let target_ms = admitted.route.target_ms as f64;
    let hedge_ms = admitted.received_ms + (HEDGE_FACTOR * target_ms) as u64;
    let min_end_ms = now_ms() + (MIN_ATTEMPT_SHARE * target_ms) as u64;
    admitted.deadline_ms.min(hedge_ms.max(min_end_ms))
}

/// Parameters of an attempt.
struct AttemptContext<'a> {
    engine: &'a Arc<Engine>,
    attempt: u32,
    timeout_at_ms: u64,
    suspicion: &'a RequestSuspicion<'a>,
}

async fn attempt(
    core: &Arc<Core>,
    request: &RelayRequest,
    admitted: &AdmittedRequest,
    context: &AttemptContext<'_>,
) -> AttemptResult {
    let engine = context.engine;
    let _reservation = Reservation::new(engine, 0, true);
    let started_ms = now_ms();
    let mut connection =
        match Outbound::connect(engine.address, exchange::CONNECT_TIMEOUT)
            .await
        {
            Ok(connection) => connection,
            Err(e) => {
                log_interrupted(admitted, context, &e, started_ms);
                return AttemptResult::NotRun;
            }
        };
    let remaining_ms = admitted.remaining_ms(now_ms());
    let bytes = exchange::request_bytes(
        request,
        &BackendHeaders {
            instance: &engine.id,
            account: admitted.account.as_deref(),
            remaining_ms,
            path: None,
            priority: Some(admitted.urgency),
            last_event_id: None,
        },
    );
    record_sent(core, admitted, context, remaining_ms);
    let sent_ms = now_ms();
    engine.notices.record_sent(sent_ms);
    let exchange = async {
        let sent = connection.send(&bytes).await;
        drop(bytes);
        sent?;
        let id = admitted.id.as_deref();
        let head =
            exchange::read_matching_head(&mut connection, id, &request.method)
                .await?;
        let response = ResponseContext {
            request: admitted.id_text(),
            sent_ms,
            head: &head,
        };
        notices::apply_response(core, engine, &response);
        let body = head.body(&request.method);
        let memory = &core.fleet.response_memory;
        let body = exchange::read_body(&mut connection, body, memory).await?;
        let is_cut_off = head.ends_with_connection(&request.method)
            && end_check::is_cut_off(core, engine).await;
        match is_cut_off {
            true => Err(OutboundError::new("the server crashed at the end")),
            false => Ok((head, body)),
        }
    };
    let exchange = async {
        match exchange.await {
            Ok((head, body)) => {
                classify_response(admitted, context, head, body)
            }
            Err(e) => {
                log_interrupted(admitted, context, &e, started_ms);
                exchange::record_cut(core, engine, admitted.id_text(), &e);
                AttemptResult::ResponseLost
            }
        }
    };
    let wait_ms = context.timeout_at_ms.saturating_sub(now_ms());
    let limit = async {
        Timer::at(Instant::now() + Duration::from_millis(wait_ms)).await;
        AttemptResult::TimedOut
    };
    let result = exchange.or(limit).await;
    connection.abort();
    result
}

/// Classifies a response. A response that states that the request did not run
/// counts as no response.
fn classify_response(
    admitted: &AdmittedRequest,
    context: &AttemptContext<'_>,
    head: ResponseHead,
    body: HeldBody,
) -> AttemptResult {
    let is_not_run = exchange::is_not_run(&head);
    if head.status >= 400 {
        emit(
            Event::RelayAnswered,
            &[
                ("request", &admitted.id_text()),
                ("attempt", &context.attempt),
                ("backend", &context.engine.id),
                ("status", &head.status),
                ("is_not_run", &is_not_run),
            ],
        );
    }
    let is_bad_request = head.status == 400;
    if is_not_run && !is_bad_request {
        return AttemptResult::NotRun;
    }
    AttemptResult::Responded(head, body)
}

fn record_result(engine: &Engine, result: &AttemptResult) {
    let mut state = engine.lock();
    let is_failure = match result {
        AttemptResult::Responded(head, _) => head.status >= 500,
        AttemptResult::CallerDisconnected => return,
        AttemptResult::NotRun if state.is_in_cooldown(now_ms()) => return,
        AttemptResult::NotRun
        | AttemptResult::ResponseLost
        | AttemptResult::TimedOut => true,
    };
    if !is_failure {
        state.failures = 0;
        return;
    }
    state.failures += 1;
    let backoff_ms = BACKOFF_MS * u64::from(state.failures.saturating_sub(1));
    state.backoff_until_ms = now_ms() + backoff_ms.min(MAX_BACKOFF_MS);
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

fn record_sent(
    core: &Core,
    admitted: &AdmittedRequest,
    context: &AttemptContext<'_>,
    remaining_ms: u64,
) {
    admitted.record_sent();
    core.metrics.service(&admitted.service.name).attempts.inc();
    let waited_ms = now_ms().saturating_sub(admitted.received_ms);
    emit(
        Event::RelaySent,
        &[
            ("request", &admitted.id_text()),
            ("attempt", &context.attempt),
            ("backends", &context.engine.id),
            ("waited_ms", &waited_ms),
            ("left_ms", &remaining_ms),
        ],
    );
}

fn log_interrupted(
    admitted: &AdmittedRequest,
    context: &AttemptContext<'_>,
    error: &dyn std::fmt::Display,
    started_ms: u64,
) {
    emit(
        Event::RelayBroken,
        &[
            ("request", &admitted.id_text()),
            ("attempt", &context.attempt),
            ("backend", &context.engine.id),
            ("error", &error),
            ("gap_ms", &now_ms().saturating_sub(started_ms)),
            ("fingerprint", &context.suspicion.fingerprint()),
            ("parts", &context.suspicion.parts_text()),
        ],
    );
}
