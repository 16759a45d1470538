//! Attempts of a plain request side by side.
//!
//! The first attempt goes on until the deadline. An idempotent request that
//! waits for longer than another server would take is sent there as well (a
//! hedge). The first whole answer wins, and the others are cancelled. A wait
//! that the entry ended itself says that the server is slower, not that it
//! failed.

use std::{
    future::poll_fn,
    sync::Arc,
    task::Poll,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_http::relay::Inbound;
use chestnutreach_routing::{
    AnswerTimes,
    hedging::{hedge_after_ms, is_silent},
};
use chestnutreach_site::RouteKind;
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use super::{
    PlainRequest,
    attempt::{AttemptEnd, AttemptResult, RunningAttempt},
};
use crate::{
    clock::now_ms,
    cluster::engine::Engine,
    request::{exchange, isolation::Trial},
};

/// Interval between looks at whether a hedge is due that had no server or was
/// denied.
const CHECK_INTERVAL_MS: u64 = 100;
/// Back-off of a failing backend server for each failure in a row after the
/// first.
const BACKOFF_MS: u64 = 150;
/// Maximum back-off of a backend server.
const MAX_BACKOFF_MS: u64 = 2_000;

/// What happens next to the attempts in progress.
enum RaceStep {
    /// The attempt with this index ended.
    Ended(usize, AttemptEnd),
    CallerDisconnected,
    /// A hedge may be due.
    HedgeCheck,
}

/// A server for a hedge.
struct HedgeTarget {
    engine: Arc<Engine>,
    /// What its answers usually take; `None` if it has not answered yet.
    usual_ms: Option<u64>,
}

/// When the entry looks again whether a hedge is due.
struct HedgePlan {
    /// `None` if the request gets no hedge any more.
    check_at_ms: Option<u64>,
    /// Whether the limits denied one; then only a silent server gets it.
    was_denied: bool,
}

/// How a hedge ended.
#[derive(Clone, Copy)]
enum HedgeOutcome {
    Won,
    Lost,
    Failed,
    Denied,
}

impl HedgeOutcome {
    fn as_str(self) -> &'static str {
        match self {
            HedgeOutcome::Won => "won",
            HedgeOutcome::Lost => "lost",
            HedgeOutcome::Failed => "failed",
            HedgeOutcome::Denied => "denied",
        }
    }

    fn of(result: &AttemptResult) -> HedgeOutcome {
        match result {
            AttemptResult::Cancelled | AttemptResult::CallerDisconnected => {
                HedgeOutcome::Lost
            }
            result if result.is_final() => HedgeOutcome::Won,
            _ => HedgeOutcome::Failed,
        }
    }
}

impl<'a> PlainRequest<'a> {
    /// Sends the request to a server, and to others beside it if it answers
    /// late. Returns the first whole answer, or how the last attempt ended.
    pub(super) async fn race(
        &mut self,
        inbound: &Inbound,
        engine: &Arc<Engine>,
        trial: Option<Trial>,
    ) -> AttemptResult {
        let result = self.run_attempts(inbound, engine, trial.is_some()).await;
        if let Some(trial) = trial {
            self.suspicion.end_trial(trial);
        }
        result
    }

    async fn run_attempts(
        &mut self,
        inbound: &Inbound,
        engine: &Arc<Engine>,
        is_in_trial: bool,
    ) -> AttemptResult {
        let caller = inbound.stream().clone();
        let mut attempts = vec![self.begin_attempt(engine)];
        let mut plan = self.first_plan(is_in_trial);
        loop {
            let ended = async {
                let (index, end) = next_end(&mut attempts).await;
                RaceStep::Ended(index, end)
            };
            let disconnected = async {
                caller.peer_closed().await;
                RaceStep::CallerDisconnected
            };
            let check = wait_for_check(plan.check_at_ms);
            match ended.or(disconnected).or(check).await {
                RaceStep::Ended(index, end) => {
                    let attempt = attempts.remove(index);
                    let result =
                        self.end_attempt(attempt, end, is_in_trial).await;
                    if result.is_final() {
                        self.cancel(attempts, is_in_trial).await;
                        return result;
                    }
                    if attempts.is_empty() {
                        return result;
                    }
                    self.keep_response(result);
                }
                RaceStep::CallerDisconnected => {
                    self.cancel(attempts, is_in_trial).await;
                    return AttemptResult::CallerDisconnected;
                }
                RaceStep::HedgeCheck => {
                    let last = attempts.last().expect("one is in progress");
                    let hedge = self.try_hedge(last, &mut plan);
                    attempts.extend(hedge);
                }
            }
        }
    }

    fn begin_attempt(&mut self, engine: &Arc<Engine>) -> RunningAttempt<'a> {
        self.attempts.begin(&engine.incarnation);
        self.tried.insert(engine.incarnation.clone());
        let number = self.attempts.count();
        RunningAttempt::begin(
            self.core,
            self.request,
            self.admitted,
            engine,
            number,
        )
    }

    fn first_plan(&self, is_in_trial: bool) -> HedgePlan {
        // A trial tells nothing if another attempt runs beside it.
        let may_hedge = !is_in_trial
            && self.admitted.route.kind == RouteKind::Idempotent
            && self.attempts.may_retry();
        let least_ms = hedge_after_ms(self.admitted.route.target_ms, Some(0));
        HedgePlan {
            check_at_ms: may_hedge.then(|| now_ms() + least_ms),
            was_denied: false,
        }
    }

    /// Sends a hedge if one is due beside the last attempt, or sets when the
    /// entry looks again.
    fn try_hedge(
        &mut self,
        last: &RunningAttempt<'_>,
        plan: &mut HedgePlan,
    ) -> Option<RunningAttempt<'a>> {
        plan.check_at_ms = Some(now_ms() + CHECK_INTERVAL_MS);
        let target = self.hedge_target()?;
        let waited_ms = last.elapsed_ms();
        let due_ms =
            hedge_after_ms(self.admitted.route.target_ms, target.usual_ms);
        if waited_ms < due_ms {
            plan.check_at_ms = Some(last.began_ms + due_ms);
            return None;
        }
        if !self.take_hedge(&target, waited_ms, plan) {
            return None;
        }
        if !target.engine.try_admit(self.permit_key, now_ms()) {
            return None;
        }
        let service = &self.admitted.service.name;
        self.core.metrics.service(service).hedges_sent.inc();
        let attempt = self.begin_attempt(&target.engine);
        *plan = self.first_plan(false);
        Some(RunningAttempt { is_hedge: true, ..attempt })
    }

    /// Takes a hedge from the limits; false if they deny it.
    fn take_hedge(
        &self,
        target: &HedgeTarget,
        waited_ms: u64,
        plan: &mut HedgePlan,
    ) -> bool {
        let target_ms = self.admitted.route.target_ms;
        let is_silent = target
            .usual_ms
            .is_some_and(|usual_ms| is_silent(target_ms, usual_ms, waited_ms));
        if plan.was_denied && !is_silent {
            return false;
        }
        let service = &self.admitted.service.name;
        if self.core.try_take_hedge(service, is_silent) {
            return true;
        }
        if !std::mem::replace(&mut plan.was_denied, true) {
            self.log_hedge(&target.engine, waited_ms, HedgeOutcome::Denied);
        }
        false
    }

    /// The server that would get a hedge now.
    fn hedge_target(&self) -> Option<HedgeTarget> {
        let is_allowed = self.attempts.may_retry()
            && self.core.stop.may_send(self.admitted)
            && !self.suspicion.is_suspect();
        let engine = is_allowed.then(|| self.untried_engine()).flatten()?;
        let usual_ms = engine.usual_answer_ms(&self.admitted.route.name);
        Some(HedgeTarget { engine, usual_ms })
    }

    /// Cancels the attempts that are left.
    async fn cancel(
        &mut self,
        attempts: Vec<RunningAttempt<'a>>,
        is_in_trial: bool,
    ) {
        for attempt in attempts {
            let end = AttemptResult::Cancelled.into();
            self.end_attempt(attempt, end, is_in_trial).await;
        }
    }

    /// Records what the end of an attempt shows about its server and about the
    /// request.
    async fn end_attempt(
        &mut self,
        attempt: RunningAttempt<'a>,
        end: AttemptEnd,
        is_in_trial: bool,
    ) -> AttemptResult {
        attempt.log_interruption(&end, self.admitted, &self.suspicion);
        let RunningAttempt { engine, is_hedge, began_ms, work, .. } = attempt;
        // Closes the connection of a cancelled attempt.
        drop(work);
        let result = end.result;
        let waited_ms = now_ms().saturating_sub(began_ms);
        self.record_answer_time(&engine, &result, waited_ms);
        record_result(&engine, &result);
        if is_hedge {
            self.log_hedge(&engine, waited_ms, HedgeOutcome::of(&result));
        }
        let is_in_cooldown = matches!(result, AttemptResult::NotRun)
            && engine.lock().is_in_cooldown(now_ms());
        if is_in_cooldown {
            self.tried.remove(&engine.incarnation);
        }
        self.record_crash_evidence(&engine, &result, is_in_trial).await;
        result
    }

    fn record_answer_time(
        &self,
        engine: &Engine,
        result: &AttemptResult,
        waited_ms: u64,
    ) {
        let record = |times: &mut AnswerTimes| match result {
            result if result.is_final() => times.record(waited_ms),
            AttemptResult::TimedOut
            | AttemptResult::Cancelled
            | AttemptResult::CallerDisconnected => {
                times.record_unanswered(waited_ms);
            }
            AttemptResult::Responded(..)
            | AttemptResult::NotRun
            | AttemptResult::ResponseLost => {}
        };
        let route = &self.admitted.route.name;
        engine.answer_times.update(route, record);
    }

    /// Records what an attempt shows about crashes: after a response the
    /// request has crashed nothing, after a lost response it may have.
    async fn record_crash_evidence(
        &mut self,
        engine: &Arc<Engine>,
        result: &AttemptResult,
        is_in_trial: bool,
    ) {
        let suspicion = &mut self.suspicion;
        match result {
            AttemptResult::Responded(head, _)
                if !exchange::is_not_run(head) =>
            {
                suspicion.record_completed();
            }
            AttemptResult::ResponseLost => {
                suspicion.record_lost_response(engine, is_in_trial).await;
            }
            AttemptResult::TimedOut
            | AttemptResult::CallerDisconnected
            | AttemptResult::Cancelled => {
                suspicion.record_abandoned_request(engine, is_in_trial);
            }
            AttemptResult::Responded(..) | AttemptResult::NotRun => {}
        }
    }

    fn log_hedge(
        &self,
        engine: &Engine,
        waited_ms: u64,
        outcome: HedgeOutcome,
    ) {
        let service = &self.admitted.service.name;
        let metrics = self.core.metrics.service(service);
        match outcome {
            HedgeOutcome::Won => metrics.hedges_won.inc(),
            HedgeOutcome::Denied => metrics.hedges_denied.inc(),
            HedgeOutcome::Lost | HedgeOutcome::Failed => {}
        }
        let usual_ms = engine.usual_answer_ms(&self.admitted.route.name);
        emit(
            Event::HedgeEnded,
            &[
                ("request", &self.admitted.id_text()),
                ("service", service),
                ("backend", &engine.id),
                ("waited_ms", &waited_ms),
                ("usual_ms", &usual_ms.unwrap_or(0)),
                ("outcome", &outcome.as_str()),
            ],
        );
    }
}

/// The first attempt to end: its index, and its end.
async fn next_end(attempts: &mut [RunningAttempt<'_>]) -> (usize, AttemptEnd) {
    poll_fn(|context| {
        for (index, attempt) in attempts.iter_mut().enumerate() {
            if let Poll::Ready(end) = attempt.work.as_mut().poll(context) {
                return Poll::Ready((index, end));
            }
        }
        Poll::Pending
    })
    .await
}

async fn wait_for_check(check_at_ms: Option<u64>) -> RaceStep {
    match check_at_ms {
        Some(at_ms) => {
            let wait_ms = at_ms.saturating_sub(now_ms());
            Timer::at(Instant::now() + Duration::from_millis(wait_ms)).await;
            RaceStep::HedgeCheck
        }
        None => std::future::pending().await,
    }
}

fn record_result(engine: &Engine, result: &AttemptResult) {
    let mut state = engine.lock();
    let is_failure = match result {
        AttemptResult::Responded(head, _) => head.status >= 500,
        AttemptResult::CallerDisconnected | AttemptResult::Cancelled => {
            return;
        }
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
