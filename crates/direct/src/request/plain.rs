//! Requests with one whole answer.
//!
//! The answer is read whole before it is passed on, so that one that breaks
//! off can be replaced: an idempotent request goes to another backend server,
//! within its attempts and the shared bound. One that may run once is sent
//! on only while it surely has not run. An answer comes whole at the end of a
//! run, so whatever was sent may be why its backend server crashes.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_http::relay::{
    Inbound, Outbound, RelayRequest, ResponseHead,
};
use chestnutreach_routing::{Attempts, CountedBackends, RunProgress};
use chestnutreach_site::Reuse;
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use crate::{
    clock::now_ms,
    cluster::{
        engine::{Engine, Reservation},
        notices::{self, ResponseContext},
    },
    core::Core,
    request::{
        admit::Admitted,
        answer::{
            Framing, Reason, passed_head, promises_not_run, usual_come_back_ms,
        },
        ended::{After, Ended, refuse, refuse_until},
        exchange::{self, Addressed},
        isolation::{Suspicion, Trial},
        room::RunningTokens,
    },
};

mod seek;

/// Longest answer that is passed on.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// An idempotent request is sent elsewhere when its first backend server has
/// not answered within this many times the route's target.
const HEDGE_FACTOR: f64 = 0.9;
/// Share of that target that an attempt has at least: one that begins late,
/// since it waited, would else be left while it runs.
const LEAST_ATTEMPT: f64 = 0.3;
/// How long a backend server that failed is avoided, for each failure in a
/// row.
const AVOID_MS: u64 = 150;
/// Longest time that one is avoided.
const MAX_AVOID_MS: u64 = 2_000;

/// What one attempt gave.
enum Attempt {
    /// A whole answer.
    Answered(ResponseHead, Vec<u8>),
    /// It surely did not run.
    NotRun,
    /// It may have run.
    Lost,
    /// The attempt's time is over, and it may have run.
    TimeOver,
    /// The client has gone.
    CallerGone,
}

/// A request, with what became of it so far.
struct Run<'a> {
    core: &'a Arc<Core>,
    request: &'a RelayRequest,
    admitted: &'a Admitted,
    suspicion: Suspicion<'a>,
    attempts: Attempts,
    /// Backend servers that were tried, by incarnation.
    tried: BTreeSet<String>,
    /// The last answer of one.
    kept: Option<(ResponseHead, Vec<u8>)>,
    /// Tells it from others that want a permit.
    key: u64,
    /// Why it was not let wait, and when its client is to come back.
    refusal: Option<(Reason, u64)>,
    is_caller_gone: bool,
    running: Option<RunningTokens>,
}

/// Passes a request on and its answer back.
pub(crate) async fn relay(
    core: &Arc<Core>,
    inbound: &mut Inbound,
    request: &RelayRequest,
    admitted: &Admitted,
    is_last: bool,
) -> (Ended, After) {
    let mut run = Run::new(core, request, admitted);
    run.note_asked();
    while let Some((engine, trial)) = run.next_engine().await {
        let result = run.attempt(inbound, &engine, trial).await;
        if run.is_over_after(result) {
            break;
        }
    }
    let (mut ended, after) = run.answer(inbound, is_last).await;
    ended.attempts = run.attempts.count();
    (ended, after)
}

impl<'a> Run<'a> {
    fn new(
        core: &'a Arc<Core>,
        request: &'a RelayRequest,
        admitted: &'a Admitted,
    ) -> Run<'a> {
        Run {
            core,
            request,
            admitted,
            suspicion: Suspicion::new(core, request, admitted),
            attempts: admitted.attempts(CountedBackends::Contacted),
            tried: BTreeSet::new(),
            kept: None,
            key: fastrand::u64(..),
            refusal: None,
            is_caller_gone: false,
            running: None,
        }
    }

    /// The backend server of the next attempt; none where there is to be no
    /// further one.
    async fn next_engine(&mut self) -> Option<(Arc<Engine>, Option<Trial>)> {
        if self.suspicion.quarantine_left_ms().is_some() {
            return None;
        }
        let service = &self.admitted.service.name;
        let is_further = self.attempts.count() > 0;
        if is_further && !self.core.take_retry(service) {
            let id = self.admitted.id_text();
            self.core.note_retry_denied(service, id);
            return None;
        }
        self.seek_engine().await
    }

    async fn attempt(
        &mut self,
        inbound: &Inbound,
        engine: &Arc<Engine>,
        trial: Option<Trial>,
    ) -> Attempt {
        self.attempts.begin(&engine.incarnation);
        self.tried.insert(engine.incarnation.clone());
        let made = self.attempts.count();
        // A trial is seen to its end: what it would show is lost else.
        let limit_ms = match trial {
            Some(_) => self.admitted.end_ms,
            None => attempt_end_ms(self.admitted, made),
        };
        let sent = Sent {
            engine,
            attempt: made,
            limit_ms,
            suspicion: &self.suspicion,
        };
        let caller = inbound.stream().clone();
        let gone = async {
            caller.peer_closed().await;
            Attempt::CallerGone
        };
        let work = attempt(self.core, self.request, self.admitted, &sent);
        let result = work.or(gone).await;
        note_result(engine, &result);
        let asked_for_rest = matches!(result, Attempt::NotRun)
            && engine.lock().is_in_cooldown(now_ms());
        if asked_for_rest {
            self.tried.remove(&engine.incarnation);
        }
        let is_in_trial = trial.is_some();
        let suspicion = &mut self.suspicion;
        note_suspicion(suspicion, engine, &result, is_in_trial).await;
        result
    }

    /// Takes what an attempt gave; whether it was the last.
    fn is_over_after(&mut self, result: Attempt) -> bool {
        match result {
            Attempt::Answered(head, body) => {
                let is_failure = head.status >= 500;
                if exchange::is_not_run(&head) {
                    self.attempts.record_not_run();
                }
                self.kept = Some((head, body));
                if !is_failure {
                    return true;
                }
            }
            Attempt::CallerGone => {
                self.is_caller_gone = true;
                return true;
            }
            Attempt::NotRun => self.attempts.record_not_run(),
            Attempt::Lost | Attempt::TimeOver => {}
        }
        self.admitted.left_ms(now_ms()) == 0 || !self.attempts.may_retry()
    }

    /// Answers the client with what there is.
    async fn answer(
        &mut self,
        inbound: &mut Inbound,
        is_last: bool,
    ) -> (Ended, After) {
        if self.is_caller_gone {
            let outcome = "caller_gone";
            return (Ended { outcome, ..Ended::default() }, After::Cut);
        }
        let may_have_run = self.attempts.may_have_run();
        match self.kept.take() {
            Some((head, body)) => {
                let request = self.request;
                pass_on(inbound, request, &head, &body, may_have_run, is_last)
                    .await
            }
            None => self.give_up(inbound, may_have_run, is_last).await,
        }
    }

    /// Ends a request for which nothing more can be done.
    async fn give_up(
        &self,
        inbound: &mut Inbound,
        may_have_run: bool,
        is_last: bool,
    ) -> (Ended, After) {
        let left_ms = self.admitted.left_ms(now_ms());
        let quarantine = self.suspicion.refusal(may_have_run);
        let (reason, come_back_ms) = match (quarantine, self.refusal) {
            (Some(quarantine), _) => quarantine,
            (None, Some(refusal)) if !may_have_run => refusal,
            (None, _) => {
                let reason = Reason::at_end(may_have_run, left_ms);
                (reason, usual_come_back_ms())
            }
        };
        refuse_until(inbound, self.request, reason, come_back_ms, is_last)
            .await
    }
}

/// Takes what an attempt says of the request: an answer that it crashed
/// nothing, a broken one that it may have.
async fn note_suspicion(
    suspicion: &mut Suspicion<'_>,
    engine: &Arc<Engine>,
    result: &Attempt,
    is_in_trial: bool,
) {
    match result {
        Attempt::Answered(head, _) if !exchange::is_not_run(head) => {
            suspicion.note_lasted();
        }
        Attempt::Lost => {
            let start = RunProgress::new();
            suspicion.note_broken(engine, start, is_in_trial).await;
        }
        Attempt::TimeOver | Attempt::CallerGone => {
            suspicion.note_left(engine, RunProgress::new(), is_in_trial);
        }
        _ => {}
    }
}

/// When an attempt is given up: at the end, or while there is time for
/// another one.
fn attempt_end_ms(admitted: &Admitted, attempts: u32) -> u64 {
    let is_repeatable = admitted.route.reuse == Reuse::Idempotent;
    if !is_repeatable || attempts >= admitted.route.max_attempts {
        return admitted.end_ms;
    }
    let target_ms = admitted.route.target_ms as f64;
    let hedge_ms = admitted.received_ms + (HEDGE_FACTOR * target_ms) as u64;
    let least_ms = now_ms() + (LEAST_ATTEMPT * target_ms) as u64;
    admitted.end_ms.min(hedge_ms.max(least_ms))
}

struct Sent<'a> {
    engine: &'a Arc<Engine>,
    attempt: u32,
    /// When the attempt is given up.
    limit_ms: u64,
    suspicion: &'a Suspicion<'a>,
}

async fn attempt(
    core: &Core,
    request: &RelayRequest,
    admitted: &Admitted,
    sent: &Sent<'_>,
) -> Attempt {
    let engine = sent.engine;
    let _hold = Reservation::new(engine, 0, true);
    let started_ms = now_ms();
    let mut connection =
        match Outbound::connect(engine.address, exchange::DIAL).await {
            Ok(connection) => connection,
            Err(e) => {
                note_broken(admitted, sent, &e, started_ms);
                return Attempt::NotRun;
            }
        };
    let left_ms = admitted.left_ms(now_ms());
    let bytes = exchange::request_bytes(
        request,
        &Addressed {
            instance: &engine.id,
            account: admitted.account.as_deref(),
            left_ms,
            path: None,
            priority: Some(admitted.urgency),
            last_event: None,
        },
    );
    note_sent(core, admitted, sent, left_ms);
    let sent_ms = now_ms();
    engine.notices.record_sent(sent_ms);
    let exchange = async {
        connection.send(&bytes).await?;
        let id = admitted.id.as_deref();
        let head =
            exchange::own_head(&mut connection, id, &request.method).await?;
        let answered = ResponseContext {
            request: admitted.id_text(),
            sent_ms,
            head: &head,
        };
        notices::apply_response(core, engine, &answered);
        let body = head.body(&request.method);
        let body = connection.read_body(body, MAX_ANSWER_BYTES).await?;
        Ok((head, body))
    };
    let exchange = async {
        match exchange.await {
            Ok((head, body)) => answered(admitted, sent, head, body),
            Err::<_, chestnutreach_http::relay::OutboundError>(e) => {
                note_broken(admitted, sent, &e, started_ms);
                Attempt::Lost
            }
        }
    };
    let wait_ms = sent.limit_ms.saturating_sub(now_ms());
    let limit = async {
        Timer::at(Instant::now() + Duration::from_millis(wait_ms)).await;
        Attempt::TimeOver
    };
    let result = exchange.or(limit).await;
    connection.abort();
    result
}

/// Sorts an answer: one that states that nothing ran counts as none.
fn answered(
    admitted: &Admitted,
    sent: &Sent<'_>,
    head: ResponseHead,
    body: Vec<u8>,
) -> Attempt {
    let is_not_run = exchange::is_not_run(&head);
    if head.status >= 400 {
        emit(
            Event::RelayAnswered,
            &[
                ("request", &admitted.id_text()),
                ("attempt", &sent.attempt),
                ("backend", &sent.engine.id),
                ("status", &head.status),
                ("is_not_run", &is_not_run),
            ],
        );
    }
    let is_own_fault = head.status == 400;
    if is_not_run && !is_own_fault {
        return Attempt::NotRun;
    }
    Attempt::Answered(head, body)
}

fn note_result(engine: &Engine, result: &Attempt) {
    let mut state = engine.lock();
    let is_failure = match result {
        Attempt::Answered(head, _) => head.status >= 500,
        Attempt::CallerGone => return,
        Attempt::NotRun if state.is_in_cooldown(now_ms()) => return,
        Attempt::NotRun | Attempt::Lost | Attempt::TimeOver => true,
    };
    if !is_failure {
        state.failures = 0;
        return;
    }
    state.failures += 1;
    let avoid_ms = AVOID_MS * u64::from(state.failures.saturating_sub(1));
    state.backoff_until_ms = now_ms() + avoid_ms.min(MAX_AVOID_MS);
}

async fn pass_on(
    inbound: &mut Inbound,
    request: &RelayRequest,
    head: &ResponseHead,
    body: &[u8],
    may_have_run: bool,
    is_last: bool,
) -> (Ended, After) {
    if may_have_run && promises_not_run(head.status) {
        return refuse(inbound, request, Reason::Unknown, is_last).await;
    }
    let has_no_body =
        request.method == "HEAD" || matches!(head.status, 204 | 304);
    let framing = match has_no_body {
        true => Framing::None,
        false => Framing::Length(body.len()),
    };
    let mut bytes = passed_head(head, framing, is_last);
    bytes.extend_from_slice(body);
    let is_sent = inbound.write(&bytes).await.is_ok();
    let outcome = match head.status {
        ..400 => "completed",
        _ => "failed",
    };
    let ended =
        Ended { outcome, status: head.status, events: 1, ..Ended::default() };
    let after = After::answer(is_sent, is_last);
    (ended, after)
}

fn note_sent(core: &Core, admitted: &Admitted, sent: &Sent<'_>, left_ms: u64) {
    core.metrics.service(&admitted.service.name).attempts.inc();
    let waited_ms = now_ms().saturating_sub(admitted.received_ms);
    emit(
        Event::RelaySent,
        &[
            ("request", &admitted.id_text()),
            ("attempt", &sent.attempt),
            ("backends", &sent.engine.id),
            ("waited_ms", &waited_ms),
            ("left_ms", &left_ms),
        ],
    );
}

fn note_broken(
    admitted: &Admitted,
    sent: &Sent<'_>,
    error: &dyn std::fmt::Display,
    started_ms: u64,
) {
    emit(
        Event::RelayBroken,
        &[
            ("request", &admitted.id_text()),
            ("attempt", &sent.attempt),
            ("backend", &sent.engine.id),
            ("error", &error),
            ("gap_ms", &now_ms().saturating_sub(started_ms)),
            ("fingerprint", &sent.suspicion.fingerprint()),
        ],
    );
}
