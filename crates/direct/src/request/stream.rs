//! Streams of events.
//!
//! A stream is one request to a first engine, which sends it on through the
//! others of its path. While it runs, its pace is watched. When an engine of
//! the path dies, the first one is told another path, which costs a pause
//! while new engines read what was written so far. When the first one dies,
//! a stream that may be resumed goes on elsewhere after its last event. The
//! client sees one answer, with the head of the first engine, and only whole
//! events in their order.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use chestnutreach_adapter::clients;
use chestnutreach_http::relay::{
    Inbound, LAST_CHUNK, RelayRequest, ResponseHead,
};
use chestnutreach_routing::{Attempts, CountedBackends, RunProgress};
use chestnutreach_site::Model;
use futures_lite::FutureExt as _;

use crate::{
    clock::now_ms,
    cluster::{
        engine::{Engine, Reservation},
        probe,
    },
    core::Core,
    request::{
        admit::Admitted,
        answer::{Framing, Reason, passed_head, promises_not_run},
        ended::{After, Ended, refuse, refuse_until},
        isolation::{Suspicion, Trial},
        path::Path,
        room::RunningTokens,
    },
    subscribers::Subscription,
};

mod attempt;
mod pace;
mod room;
mod seek;
mod told;
mod trial;
mod watch;

use pace::Pace;

/// Streams leave an engine that drains one after another over this part of
/// the time for which it surely serves on: the engines that stand in read
/// what each has written so far, and all at once would wait for that.
const LEAVE_WITHIN: f64 = 0.75;
/// How long an engine that had no room or layers is avoided.
const AVOID_MS: u64 = 250;
/// Share of the estimated answer that is planned with: it grows from none.
const ANSWER_SHARE: f64 = 0.8;

/// Cause of the attempt that a request makes as it comes.
const FIRST: &str = "first";

/// How an attempt ended.
enum AttemptEnd {
    /// The stream is whole.
    Whole,
    CallerGone,
    /// It surely did not run; who refused, if that was said.
    NotRun(Option<SocketAddr>),
    /// It broke off, or goes on elsewhere.
    Broken,
    /// The engine answered with a failure.
    Failed(ResponseHead, Vec<u8>),
    TimeOver,
}

struct Stream<'a> {
    core: &'a Arc<Core>,
    request: &'a RelayRequest,
    admitted: &'a Admitted,
    model: &'a Model,
    is_last: bool,
    /// Tokens of the prompt and of what the client has already.
    tokens: u64,
    listed: Subscription,
    /// Engines that may not be used for this request, by incarnation.
    without: BTreeSet<String>,
    /// Engines at which others are on trial, by their short hashes.
    not_first: BTreeSet<u32>,
    attempts: Attempts,
    /// Answers of engines that it is malformed.
    malformed: u32,
    /// First engines that it left and that may live.
    left: Vec<Arc<Engine>>,
    path: Path,
    reservations: Vec<Reservation>,
    running: Option<RunningTokens>,
    suspicion: Suspicion<'a>,
    /// Its trial, if this attempt is one.
    trial: Option<Trial>,
    /// Tells it from others that want a permit.
    key: u64,
    /// Whether it has waited a moment for one.
    has_passed: bool,
    /// When its client is to come back, where all that could be first are at
    /// rest.
    rest_come_back_ms: Option<u64>,
    /// Whether it was not let wait for room.
    is_refused_room: bool,
    is_head_sent: bool,
    last_event: Option<u64>,
    pace: Pace,
    /// Whether the connection to the first engine ended, rather than that the
    /// stream left it.
    is_cut: bool,
    /// How long it stays on an engine that drains.
    leave_after_ms: u64,
    /// Why it left its first engine, which may still run.
    left_because: &'static str,
    /// Why the next attempt is made.
    cause: &'static str,
    ended: Ended,
}

/// Passes a stream on.
pub(crate) async fn relay(
    core: &Arc<Core>,
    inbound: &mut Inbound,
    request: &RelayRequest,
    admitted: &Admitted,
    is_last: bool,
) -> (Ended, After) {
    let Some(model) = &admitted.service.model else {
        return refuse(inbound, request, Reason::NoBackend, is_last).await;
    };
    let mut stream = Stream {
        core,
        request,
        admitted,
        model,
        is_last,
        tokens: needed_tokens(request, model),
        listed: core.stream_subscribers.subscribe(),
        without: BTreeSet::new(),
        not_first: BTreeSet::new(),
        attempts: admitted.attempts(CountedBackends::MayHaveRun),
        malformed: 0,
        left: Vec::new(),
        path: Path::default(),
        reservations: Vec::new(),
        running: None,
        suspicion: Suspicion::new(core, request, admitted),
        trial: None,
        key: fastrand::u64(..),
        has_passed: false,
        rest_come_back_ms: None,
        is_refused_room: false,
        is_head_sent: false,
        last_event: last_event(request),
        pace: Pace::new(admitted.route.gap_target_ms),
        is_cut: false,
        leave_after_ms: leave_after_ms(core),
        left_because: "",
        cause: FIRST,
        ended: Ended::default(),
    };
    let metrics = core.metrics.service(&admitted.service.name);
    metrics.requests_in_flight.inc();
    stream.note_asked();
    let after = stream.run(inbound).await;
    stream.ended.attempts = stream.attempts.count();
    metrics.requests_in_flight.dec();
    stream.note_waiting();
    (stream.ended, after)
}

/// A random part of the time for which an engine that drains serves on.
fn leave_after_ms(core: &Core) -> u64 {
    let drain_ms = core.settings.bounds.drain_ms as f64;
    (drain_ms * LEAVE_WITHIN * fastrand::f64()) as u64
}

fn last_event(request: &RelayRequest) -> Option<u64> {
    request.header(clients::LAST_EVENT_ID)?.trim().parse().ok()
}

/// Tokens that a request is expected to hold in memory.
fn needed_tokens(request: &RelayRequest, model: &Model) -> u64 {
    let stated = request.header(clients::TOKENS);
    let (prompt, most) = stated
        .and_then(clients::tokens_of)
        .unwrap_or((model.usual_prompt_tokens, model.usual_answer_tokens));
    let hint = request.header(clients::LENGTH_HINT);
    let hint = hint.and_then(|value| value.trim().parse::<f64>().ok());
    let hint = hint.unwrap_or(f64::from(most)).min(f64::from(most));
    u64::from(prompt) + (ANSWER_SHARE * hint) as u64
}

impl Stream<'_> {
    async fn run(&mut self, inbound: &mut Inbound) -> After {
        loop {
            let caller = inbound.stream().clone();
            let gone = async {
                caller.peer_closed().await;
                None
            };
            let sought = async { Some(self.find_path().await) };
            match sought.or(gone).await {
                Some(true) => {}
                Some(false) => return self.give_up(inbound).await,
                // Nothing may be sent for a client that has left.
                None => return self.note_caller_gone(),
            }
            let end = self.attempt(inbound).await;
            self.note_answer(&end);
            match end {
                AttemptEnd::Whole => {
                    self.suspicion.note_lasted();
                    return self.finish(inbound).await;
                }
                AttemptEnd::CallerGone => return self.note_caller_gone(),
                AttemptEnd::NotRun(at) => self.avoid(at),
                AttemptEnd::Broken => self.leave_first().await,
                AttemptEnd::Failed(head, body) => {
                    let first = self.path.first();
                    self.without.insert(first.incarnation.clone());
                    self.cause = "failed";
                    let is_final = head.status < 500 || !self.can_move();
                    if is_final && !self.is_head_sent {
                        return self.pass_failure(inbound, &head, &body).await;
                    }
                }
                AttemptEnd::TimeOver => return self.give_up(inbound).await,
            }
            self.release_path();
            self.trial = None;
            self.pace.run = RunProgress::new();
        }
    }

    /// Takes what the end of an attempt says of its first engine; that it
    /// has begun was noted then.
    fn note_answer(&self, end: &AttemptEnd) {
        let first = self.path.first();
        match end {
            AttemptEnd::Failed(head, _) if head.status >= 500 => {
                first.circuit.record_failure(now_ms());
            }
            // One further on that died speaks against no first engine.
            AttemptEnd::Broken
                if !self.pace.has_begun && !self.has_dead_stage() =>
            {
                first.circuit.record_failure(now_ms());
            }
            _ => first.circuit.record_neutral(),
        }
    }

    fn note_caller_gone(&mut self) -> After {
        if self.pace.run.may_have_crashed_server(now_ms()) {
            let (first, is_in_trial) =
                (self.path.first(), self.trial.is_some());
            self.suspicion.note_left(first, self.pace.run, is_in_trial);
        }
        self.ended.outcome = "caller_gone";
        After::Cut
    }

    /// Whether it may go to another first engine.
    fn can_move(&self) -> bool {
        self.admitted.left_ms(now_ms()) > 0 && self.attempts.may_retry()
    }

    /// Takes that the first engine no longer answers this request. It does
    /// not count as one that ran it if it has ended, which a dial shows now;
    /// one that ends later has still run it, and one that the list lacks may
    /// live. Where only its silence speaks for an end, that is asked again
    /// once the bound of the route forbids another attempt.
    async fn leave_first(&mut self) {
        let first = self.path.first().clone();
        self.without.insert(first.incarnation.clone());
        self.cause = "resumed";
        let may_crash = self.pace.run.may_have_crashed_server(now_ms())
            && (self.is_cut || first.is_suspect());
        match probe::has_ended(self.core, &first, false).await {
            true => self.attempts.record_backend_exit(&first.incarnation),
            false => self.left.push(first.clone()),
        }
        if may_crash {
            let is_in_trial = self.trial.is_some();
            let run = self.pace.run;
            self.suspicion.note_broken(&first, run, is_in_trial).await;
        }
        if self.attempts.may_retry() {
            return;
        }
        for left in std::mem::take(&mut self.left) {
            if probe::has_ended(self.core, &left, true).await {
                self.attempts.record_backend_exit(&left.incarnation);
            }
        }
    }

    /// Leaves out who refused; its rest does so for one that asked for it.
    fn avoid(&mut self, at: Option<SocketAddr>) {
        self.cause = "refused";
        let first = self.path.first();
        let named = at.and_then(|at| self.core.fleet.by_address(at));
        let engine = named.unwrap_or_else(|| first.clone());
        let now_ms = now_ms();
        let mut state = engine.lock();
        if state.is_in_cooldown(now_ms) {
            return;
        }
        state.back_off(now_ms, AVOID_MS);
        drop(state);
        self.without.insert(engine.incarnation.clone());
    }

    async fn finish(&mut self, inbound: &mut Inbound) -> After {
        self.ended.outcome = "completed";
        let is_sent = inbound.write(LAST_CHUNK).await.is_ok();
        After::answer(is_sent, self.is_last)
    }

    /// Ends a stream for which nothing more can be done.
    async fn give_up(&mut self, inbound: &mut Inbound) -> After {
        let left_ms = self.admitted.left_ms(now_ms());
        let may_have_run = self.attempts.may_have_run();
        let refusal = self.suspicion.refusal(may_have_run);
        let reason = match Reason::at_end(may_have_run, left_ms) {
            _ if let Some((reason, _)) = refusal => reason,
            Reason::NoBackend if self.rest_come_back_ms.is_some() => {
                Reason::ServersRest
            }
            Reason::NoBackend if self.is_refused_room => Reason::NoRoom,
            reason => reason,
        };
        if self.is_head_sent {
            self.ended.outcome = "failed";
            self.ended.reason = reason.name().to_owned();
            return After::Cut;
        }
        let come_back_ms = match (refusal, self.rest_come_back_ms) {
            (Some((_, left_ms)), _) => left_ms,
            (None, Some(come_back_ms)) => come_back_ms,
            (None, None) => self.come_back_ms(),
        };
        let (ended, after) = refuse_until(
            inbound,
            self.request,
            reason,
            come_back_ms,
            self.is_last,
        )
        .await;
        self.ended.outcome = ended.outcome;
        self.ended.status = ended.status;
        self.ended.reason = ended.reason;
        after
    }

    async fn pass_failure(
        &mut self,
        inbound: &mut Inbound,
        head: &ResponseHead,
        body: &[u8],
    ) -> After {
        if self.attempts.may_have_run() && promises_not_run(head.status) {
            return self.give_up(inbound).await;
        }
        let framing = Framing::Length(body.len());
        let mut bytes = passed_head(head, framing, self.is_last);
        bytes.extend_from_slice(body);
        self.ended.outcome = "failed";
        self.ended.status = head.status;
        self.ended.reason = "engine".to_owned();
        let is_sent = inbound.write(&bytes).await.is_ok();
        After::answer(is_sent, self.is_last)
    }
}
