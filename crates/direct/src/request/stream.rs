//! Streams of events.
//!
//! A stream is one request to a first engine, which passes the request through
//! the other engines of its path. The entry monitors the gaps between events.
//! When a later engine fails, the entry orders the first engine to use another
//! path, which causes a pause while the new engines prefill all tokens so far.
//! When the first engine fails, a resumable stream continues at another first
//! engine after its last event. The caller receives one response, with the
//! head of the first engine that sent an event, and only complete events in
//! order.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use chestnutreach_adapter::caller;
use chestnutreach_http::relay::{
    Inbound, LAST_CHUNK, RelayRequest, ResponseHead,
};
use chestnutreach_routing::{Attempts, CountedBackends, RunProgress};
use chestnutreach_site::Model;
use futures_lite::FutureExt as _;

use crate::{
    clock::now_ms,
    cluster::{
        engine::Reservation,
        exit_check::{self, LeftRun},
    },
    core::Core,
    request::{
        admit::AdmittedRequest,
        capacity_control::{StreamDemand, StreamUse, account_hash},
        exchange::HeldBody,
        isolation::{RequestSuspicion, Trial},
        outcome::{
            ConnectionAction, RequestSummary, is_last_request, refuse,
            refuse_with_retry_after,
        },
        path::Path,
        response::{ErrorReason, Framing, forwarded_head, guarantees_not_run},
        running_tokens::RunningTokens,
    },
    subscribers::Subscription,
};

mod attempt;
mod capacity;
mod logging;
mod pace;
mod search;
mod supervise;
mod trial;

use pace::Pace;

/// Streams leave a draining engine at random times within this fraction of the
/// time for which the engine certainly serves. The replacement engines prefill
/// all tokens of each stream, and streams that leave together would wait for
/// each other's prefill.
const LEAVE_WINDOW_SHARE: f64 = 0.75;
/// Minimum back-off of an engine that lacked capacity or layers.
const BACKOFF_MS: u64 = 250;
/// Fraction of the estimated answer for which memory is reserved, since the
/// answer grows from zero tokens.
const RESERVED_ANSWER_SHARE: f64 = 0.8;

/// Cause of the first attempt of a request.
const FIRST_ATTEMPT: &str = "first";

/// Result of an attempt.
enum AttemptResult {
    /// The stream is complete.
    Completed,
    CallerDisconnected,
    /// The request certainly did not run; the address of the engine that
    /// refused the request, if known.
    NotRun(Option<SocketAddr>),
    /// The stream was interrupted, or left its first engine.
    Interrupted,
    /// The engine responded with an error.
    Failed(ResponseHead, HeldBody),
    DeadlineExceeded,
}

struct Stream<'a> {
    core: &'a Arc<Core>,
    request: &'a RelayRequest,
    admitted: &'a AdmittedRequest,
    model: &'a Model,
    /// Tokens of the prompt and of the expected answer.
    tokens: u64,
    demand: StreamDemand,
    subscription: Subscription,
    /// Incarnations of the engines that must not be used for this request.
    excluded: BTreeSet<String>,
    /// Short hashes of the engines that run trials of other requests.
    excluded_first: BTreeSet<u32>,
    attempts: Attempts,
    /// Number of responses that call the request malformed.
    malformed_responses: u32,
    /// First engines that the stream left and whose processes may still run.
    abandoned: Vec<LeftRun>,
    path: Path,
    reservations: Vec<Reservation>,
    running: Option<(RunningTokens, StreamUse)>,
    suspicion: RequestSuspicion<'a>,
    /// The trial, if this attempt is one.
    trial: Option<Trial>,
    /// Identifies this request among those that wait for a permit.
    permit_key: u64,
    /// Whether the stream has already waited briefly for a permit.
    has_awaited_permit: bool,
    /// When the caller may retry, if all engines that could be first are in
    /// cooldown.
    cooldown_retry_after_ms: Option<u64>,
    /// Whether the stream was refused a wait for capacity.
    is_refused_capacity: bool,
    is_head_sent: bool,
    last_event_id: Option<u64>,
    /// Id of the last event of the current attempt.
    last_id_of_run: Option<u64>,
    pace: Pace,
    /// Whether the first engine ended the connection, as opposed to the stream
    /// leaving that engine.
    is_connection_lost: bool,
    /// How long the stream stays on a draining engine.
    leave_after_ms: u64,
    /// Why the stream left its first engine, which may still run.
    leave_reason: &'static str,
    /// Why the next attempt is made.
    cause: &'static str,
    summary: RequestSummary,
}

/// Forwards a request and the events of its response.
pub(crate) async fn relay(
    core: &Arc<Core>,
    inbound: &mut Inbound,
    request: &RelayRequest,
    admitted: &AdmittedRequest,
) -> (RequestSummary, ConnectionAction) {
    let Some(model) = &admitted.service.model else {
        let is_last = is_last_request(core, request);
        let reason = ErrorReason::NoBackend;
        return refuse(inbound, request, reason, is_last).await;
    };
    let tokens = needed_tokens(request, model);
    let account = admitted.account.as_deref().unwrap_or("");
    let mut stream = Stream {
        core,
        request,
        admitted,
        model,
        tokens,
        demand: StreamDemand {
            class: admitted.class,
            account: account_hash(account),
            tokens,
        },
        subscription: core.stream_subscribers.subscribe(),
        excluded: BTreeSet::new(),
        excluded_first: BTreeSet::new(),
        attempts: admitted.attempts(CountedBackends::MayHaveRun),
        malformed_responses: 0,
        abandoned: Vec::new(),
        path: Path::default(),
        reservations: Vec::new(),
        running: None,
        suspicion: RequestSuspicion::new(core, request, admitted),
        trial: None,
        permit_key: fastrand::u64(..),
        has_awaited_permit: false,
        cooldown_retry_after_ms: None,
        is_refused_capacity: false,
        is_head_sent: false,
        last_event_id: last_event_id(request),
        last_id_of_run: None,
        pace: Pace::new(admitted.route.gap_target_ms),
        is_connection_lost: false,
        leave_after_ms: leave_after_ms(core),
        leave_reason: "",
        cause: FIRST_ATTEMPT,
        summary: RequestSummary::default(),
    };
    let metrics = core.metrics.service(&admitted.service.name);
    metrics.requests_in_flight.inc();
    stream.record_capacity_request();
    let action = stream.run(inbound).await;
    stream.summary.attempts = stream.attempts.count();
    metrics.requests_in_flight.dec();
    stream.update_waiting_metric();
    (stream.summary, action)
}

/// A random time after which a stream leaves a draining engine.
fn leave_after_ms(core: &Core) -> u64 {
    let drain_ms = core.settings.bounds.drain_ms as f64;
    (drain_ms * LEAVE_WINDOW_SHARE * fastrand::f64()) as u64
}

fn last_event_id(request: &RelayRequest) -> Option<u64> {
    request.header(caller::LAST_EVENT_ID)?.trim().parse().ok()
}

/// Estimated tokens that a request holds in memory.
fn needed_tokens(request: &RelayRequest, model: &Model) -> u64 {
    let stated = request.header(caller::TOKEN_COUNT);
    let (prompt, max_tokens) = stated
        .and_then(caller::parse_token_counts)
        .unwrap_or((model.typical_prompt_tokens, model.typical_output_tokens));
    let length_hint = request.header(caller::LENGTH_HINT);
    let length_hint =
        length_hint.and_then(|value| value.trim().parse::<f64>().ok());
    let length_hint = length_hint
        .unwrap_or(f64::from(max_tokens))
        .min(f64::from(max_tokens));
    u64::from(prompt) + (RESERVED_ANSWER_SHARE * length_hint) as u64
}

impl Stream<'_> {
    async fn run(&mut self, inbound: &mut Inbound) -> ConnectionAction {
        loop {
            let caller = inbound.stream().clone();
            let disconnected = async {
                caller.peer_closed().await;
                None
            };
            let found = async { Some(self.find_path().await) };
            match found.or(disconnected).await {
                Some(true) if self.is_sent_too_late() => {
                    return self.give_up(inbound).await;
                }
                Some(true) => {}
                Some(false) => return self.give_up(inbound).await,
                // Nothing may be sent for a caller that has disconnected.
                None => return self.handle_caller_disconnect(),
            }
            let result = self.attempt(inbound).await;
            self.record_result(&result);
            match result {
                AttemptResult::Completed => {
                    self.suspicion.record_completed();
                    return self.finish(inbound).await;
                }
                AttemptResult::CallerDisconnected => {
                    self.record_abandoned_run();
                    return self.handle_caller_disconnect();
                }
                AttemptResult::NotRun(at) => self.exclude_refusing_engine(at),
                AttemptResult::Interrupted => self.leave_first_engine().await,
                AttemptResult::Failed(head, body) => {
                    let first = self.path.first_engine();
                    self.excluded.insert(first.incarnation.clone());
                    self.cause = "failed";
                    let is_final =
                        head.status < 500 || !self.can_change_first_engine();
                    if is_final && !self.is_head_sent {
                        return self
                            .forward_failure(inbound, &head, body.as_slice())
                            .await;
                    }
                }
                AttemptResult::DeadlineExceeded => {
                    return self.give_up(inbound).await;
                }
            }
            self.release_path();
            if let Some(trial) = self.trial.take() {
                self.suspicion.end_trial(trial);
            }
            self.pace.run_progress = RunProgress::new();
        }
    }

    /// Records the result of an attempt in the circuit breaker of the first
    /// engine. A success was recorded at the first event.
    fn record_result(&self, result: &AttemptResult) {
        let first = self.path.first_engine();
        match result {
            AttemptResult::Failed(head, _) if head.status >= 500 => {
                first.circuit.record_failure(now_ms());
            }
            // A later engine that failed doesn't count against the first.
            AttemptResult::Interrupted
                if !self.pace.has_begun && !self.has_failed_stage() =>
            {
                first.circuit.record_failure(now_ms());
            }
            _ => first.circuit.record_neutral(),
        }
    }

    fn record_abandoned_run(&self) {
        let is_in_trial = self.trial.is_some();
        self.suspicion.record_abandoned_run(
            self.path.first_engine(),
            self.pace.run_progress,
            is_in_trial,
        );
    }

    fn handle_caller_disconnect(&mut self) -> ConnectionAction {
        self.summary.outcome = "caller_gone";
        ConnectionAction::Abort
    }

    /// Whether the stream may go to another first engine.
    fn can_change_first_engine(&self) -> bool {
        self.admitted.remaining_ms(now_ms()) > 0 && self.attempts.may_retry()
    }

    /// Leaves a first engine that no longer responds to this request. The
    /// engine doesn't count as having run the request if its process has
    /// exited, which a connection attempt shows now. An engine that exits
    /// later still counts, and an engine that is no longer listed may be
    /// running. If only silence indicates an exit, the check is repeated once
    /// the limit of the route forbids another attempt.
    async fn leave_first_engine(&mut self) {
        let first = self.path.first_engine().clone();
        self.excluded.insert(first.incarnation.clone());
        self.cause = "resumed";
        let id = self.admitted.id_text();
        let run = LeftRun {
            engine: first.clone(),
            has_connection_ended: self.is_connection_lost,
        };
        match exit_check::has_exited(self.core, &run, id, false).await {
            true => self.attempts.record_backend_exit(&first.incarnation),
            false => self.abandoned.push(run),
        }
        // The kernel closes the connections of a process that crashes.
        if self.is_connection_lost {
            let is_in_trial = self.trial.is_some();
            let run = self.pace.run_progress;
            self.suspicion.record_lost_run(&first, run, is_in_trial).await;
        }
        if self.attempts.may_retry() {
            return;
        }
        for run in std::mem::take(&mut self.abandoned) {
            if self.attempts.may_retry() {
                return;
            }
            if exit_check::has_exited(self.core, &run, id, true).await {
                self.attempts.record_backend_exit(&run.engine.incarnation);
            }
        }
    }

    /// Backs off from the engine that refused the stream, unless the engine is
    /// in cooldown, which excludes it already.
    fn exclude_refusing_engine(&mut self, at: Option<SocketAddr>) {
        self.cause = "refused";
        let first = self.path.first_engine();
        let refusing = at.and_then(|at| self.core.fleet.by_address(at));
        let engine = refusing.unwrap_or_else(|| first.clone());
        let now_ms = now_ms();
        let mut state = engine.lock();
        if state.is_in_cooldown(now_ms) {
            return;
        }
        state.back_off(now_ms, BACKOFF_MS);
        drop(state);
        self.excluded.insert(engine.incarnation.clone());
    }

    async fn finish(&mut self, inbound: &mut Inbound) -> ConnectionAction {
        self.summary.outcome = "completed";
        let is_sent = inbound.write(LAST_CHUNK).await.is_ok();
        ConnectionAction::after_response(is_sent, self.is_last_request())
    }

    /// Whether the entry stops before a stream that begins now ends.
    fn is_sent_too_late(&self) -> bool {
        !self.is_head_sent && !self.core.stop.may_send(self.admitted)
    }

    fn is_last_request(&self) -> bool {
        is_last_request(self.core, self.request)
    }

    /// Ends a stream that can't be continued.
    async fn give_up(&mut self, inbound: &mut Inbound) -> ConnectionAction {
        let remaining_ms = self.admitted.remaining_ms(now_ms());
        let may_have_run = self.attempts.may_have_run();
        let refusal = self.suspicion.refusal(may_have_run);
        let reason =
            match ErrorReason::for_exhausted(may_have_run, remaining_ms) {
                _ if let Some((reason, _)) = refusal => reason,
                ErrorReason::NoBackend if self.is_sent_too_late() => {
                    ErrorReason::Stopping
                }
                ErrorReason::NoBackend
                    if self.cooldown_retry_after_ms.is_some() =>
                {
                    ErrorReason::ServersInCooldown
                }
                ErrorReason::NoBackend if self.is_refused_capacity => {
                    ErrorReason::NoCapacity
                }
                reason => reason,
            };
        if self.is_head_sent {
            self.summary.outcome = "failed";
            self.summary.reason = reason.as_str().to_owned();
            return ConnectionAction::Abort;
        }
        let retry_after_ms = match (refusal, self.cooldown_retry_after_ms) {
            (Some((_, remaining_ms)), _) => remaining_ms,
            (None, _) if reason == ErrorReason::Stopping => 0,
            (None, Some(retry_after_ms)) => retry_after_ms,
            (None, None) => self.retry_after_ms(),
        };
        let (summary, action) = refuse_with_retry_after(
            inbound,
            self.request,
            reason,
            retry_after_ms,
            self.is_last_request(),
        )
        .await;
        self.summary.outcome = summary.outcome;
        self.summary.status = summary.status;
        self.summary.reason = summary.reason;
        action
    }

    async fn forward_failure(
        &mut self,
        inbound: &mut Inbound,
        head: &ResponseHead,
        body: &[u8],
    ) -> ConnectionAction {
        if self.attempts.may_have_run() && guarantees_not_run(head.status) {
            return self.give_up(inbound).await;
        }
        let framing = Framing::Length(body.len());
        let mut bytes = forwarded_head(head, framing, self.is_last_request());
        bytes.extend_from_slice(body);
        self.summary.outcome = "failed";
        self.summary.status = head.status;
        self.summary.reason = "engine".to_owned();
        let is_sent = inbound.write(&bytes).await.is_ok();
        ConnectionAction::after_response(is_sent, self.is_last_request())
    }
}
