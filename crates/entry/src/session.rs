//! One request over all its attempts.
//!
//! A session chooses a chain, sends the request to the first stage and hands
//! on what comes back, position by position. When an attempt breaks, it goes
//! on where it can be done without running anything twice that must not be:
//!
//! - "not run" frees it to try another chain, whatever the request;
//! - an idempotent request goes to another chain and resumes after the last
//!   position delivered;
//! - a non-idempotent one is never sent again after an ambiguous point: the
//!   session asks the side process what it knows until it answers or the
//!   time for that has passed.
//!
//! Nobody waits on an old connection, and a request that cannot go on ends
//! at once.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_io::Timer;
use chestnutreach_platform::claims::Claim;
use chestnutreach_protocol::{
    Link, RequestId,
    link::BusyGuard,
    wire::{
        self, FailureReason, RefusalReason, RunState, frame::Body,
        output::Part,
    },
};
use chestnutreach_routing::{
    Priority,
    chain::{self, NoChainReason, Shape},
    fleet::BackendIndex,
    live::{Ended, Presence},
};
use chestnutreach_state::{NotRunReason, Outcome};
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use crate::{
    keyed::{Hold, KeyedRequest, in_progress_ms},
    node::Shared,
    recent::Choices,
    view::ServiceView,
};

/// Part of the time left that a side process is not given, so that its own
/// answer at the deadline comes before the caller's time is over.
const DEADLINE_MARGIN_MS: u64 = 20;
/// Wait between two questions to a side process that does not answer.
const ASK_AGAIN: Duration = Duration::from_millis(200);
/// When to come back if nothing tells.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// What reaches a session from links.
// A box would cost an allocation for each token.
#[allow(clippy::large_enum_variant)]
pub(crate) enum SessionEvent {
    /// A frame of the request.
    Frame {
        /// Link it came over.
        link_id: u64,
        /// The frame.
        body: Body,
    },
    /// A link has closed.
    Closed {
        /// Its number.
        link_id: u64,
    },
}

/// What a request is, for all its attempts.
pub(crate) struct Job {
    pub(crate) request: RequestId,
    pub(crate) service: Arc<ServiceView>,
    pub(crate) account: String,
    pub(crate) priority: Priority,
    pub(crate) is_idempotent: bool,
    pub(crate) deadline: Instant,
    pub(crate) work: JobWork,
}

/// What is asked for.
pub(crate) enum JobWork {
    /// Tokens from a model.
    Generate {
        model: String,
        request_json: Vec<u8>,
        max_tokens: u32,
        prompt_tokens_estimate: u32,
    },
    /// One call of a plain service.
    PlainCall(wire::PlainCall),
}

/// The next thing that happened to a request.
pub(crate) enum Progress {
    /// The next token.
    Token(wire::Token),
    /// The head of a plain answer.
    Head(wire::PlainHead),
    /// The next bytes of a plain answer.
    Data(Vec<u8>),
    /// The answer is whole.
    Whole(wire::Finished),
    /// It ended without a whole answer.
    Ended(Ending),
    /// Its key is held by an earlier request.
    Held(Box<Claim>),
}

/// Why a request has no whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Ending {
    pub(crate) outcome: Outcome,
    pub(crate) cause: Cause,
    pub(crate) detail: String,
}

/// What ended a request that may have begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cause {
    /// Its time was over.
    Deadline,
    /// The request itself is wrong.
    Request,
    /// Backend servers or connections failed.
    Backend,
}

impl Ending {
    pub(crate) fn not_run(
        reason: NotRunReason,
        retry_after_ms: Option<u64>,
        detail: &str,
    ) -> Ending {
        let outcome = Outcome::NotRun { reason, retry_after_ms };
        Ending::new(outcome, Cause::Backend, detail)
    }

    pub(crate) fn failed(detail: &str) -> Ending {
        Ending::new(Outcome::Failed, Cause::Backend, detail)
    }

    fn new(outcome: Outcome, cause: Cause, detail: &str) -> Ending {
        Ending { outcome, cause, detail: detail.to_owned() }
    }
}

/// The attempt that a session is at.
struct Attempt {
    stages: Vec<BackendIndex>,
    chain: Vec<wire::Stage>,
    link: Option<(Link, BusyGuard)>,
    is_accepted: bool,
    cost_tokens: u32,
    started: Instant,
    first_output: Option<Instant>,
    first_position: u32,
    /// Whether an earlier attempt may have begun.
    has_begun_before: bool,
}

enum Phase {
    /// No attempt is under way.
    Idle,
    /// An attempt is under way.
    Waiting,
    /// The connection to the first stage is lost.
    Lost,
    /// Nothing more will come.
    Over,
}

/// One request under way.
pub(crate) struct Session {
    entry: Arc<Shared>,
    job: Job,
    keyed: Option<KeyedRequest>,
    events: async_channel::Receiver<SessionEvent>,
    deadline: Timer,
    phase: Phase,
    attempt_number: u32,
    attempt_count: u32,
    attempt: Option<Attempt>,
    /// Whether any attempt may have begun.
    may_have_begun: bool,
    avoid: Vec<BackendIndex>,
    last_refusal: Option<Ending>,
    tokens: Vec<u32>,
    next_position: u32,
    ready: VecDeque<Progress>,
    choices: Choices,
}

impl Session {
    /// A session that has not been sent anywhere.
    pub(crate) fn new(
        entry: &Arc<Shared>,
        job: Job,
        keyed: Option<KeyedRequest>,
    ) -> Session {
        let (sender, events) = async_channel::unbounded();
        entry.register(job.request, sender);
        job.service.budget.note_request();
        Session {
            entry: entry.clone(),
            deadline: Timer::at(job.deadline),
            choices: entry.recent.begin(&job),
            job,
            keyed,
            events,
            phase: Phase::Idle,
            attempt_number: 0,
            attempt_count: 0,
            attempt: None,
            may_have_begun: false,
            avoid: Vec::new(),
            last_refusal: None,
            tokens: Vec::new(),
            next_position: 0,
            ready: VecDeque::new(),
        }
    }

    /// The key and its claim, to note how the request ended.
    pub(crate) fn take_keyed(&mut self) -> Option<KeyedRequest> {
        self.keyed.take()
    }

    /// Goes on in place of an earlier request of the same key that surely
    /// did not run.
    pub(crate) fn take_over(&mut self, held: Claim) {
        if let Some(keyed) = &mut self.keyed {
            keyed.replace_claim(held, self.job.request);
        }
        self.phase = Phase::Idle;
    }

    /// Goes on as an earlier request of the same key whose entry has gone:
    /// asks the side process that its claim names.
    pub(crate) fn ask_for(&mut self, held: Claim) {
        self.entry.unregister(self.job.request);
        self.job.request = RequestId::from_u128(held.request);
        let (sender, events) = async_channel::unbounded();
        self.entry.register(self.job.request, sender);
        self.events = events;
        // Above every attempt that the other entry can have made.
        self.attempt_number = unix_s();
        let first = wire::Stage {
            side_address: held.side_address.to_string(),
            side_boot_id: held.side_boot_id,
            ..wire::Stage::default()
        };
        self.attempt = Some(Attempt {
            stages: Vec::new(),
            chain: vec![first],
            link: None,
            is_accepted: false,
            cost_tokens: 0,
            started: Instant::now(),
            first_output: None,
            first_position: 0,
            has_begun_before: false,
        });
        if let Some(keyed) = &mut self.keyed {
            keyed.replace_claim(held, self.job.request);
        }
        self.phase = Phase::Lost;
    }

    /// Waits for the next thing that happens.
    pub(crate) async fn next(&mut self) -> Progress {
        loop {
            if let Some(progress) = self.ready.pop_front() {
                return progress;
            }
            match self.phase {
                Phase::Idle => self.dispatch().await,
                Phase::Waiting => self.wait().await,
                Phase::Lost => self.recover().await,
                Phase::Over => {
                    let ending = Ending::failed("the request has ended");
                    return Progress::Ended(ending);
                }
            }
        }
    }

    fn end(&mut self, ending: Ending) {
        self.phase = Phase::Over;
        self.attempt = None;
        self.choices.ended(Some(ending.outcome), &ending.detail);
        self.ready.push_back(Progress::Ended(ending));
    }

    /// Ends a request that cannot be tried again: "not run" if that is a
    /// fact, with the last refusal's reason.
    fn give_up(&mut self, cause: Cause, detail: &str) {
        if self.may_have_begun {
            let outcome = Outcome::Failed;
            self.end(Ending::new(outcome, cause, detail));
            return;
        }
        let ending = self.last_refusal.take().unwrap_or_else(|| {
            let reason = match cause {
                Cause::Deadline => NotRunReason::TooLate,
                Cause::Request => NotRunReason::BadRequest,
                Cause::Backend => NotRunReason::NoChain,
            };
            let retry_after_ms = Some(DEFAULT_RETRY_AFTER_MS);
            Ending::not_run(reason, retry_after_ms, detail)
        });
        self.end(ending);
    }

    fn rest_ms(&self) -> u64 {
        let rest = self.job.deadline.saturating_duration_since(Instant::now());
        rest.as_millis() as u64
    }

    /// Chooses a chain and sends the request to its first stage.
    async fn dispatch(&mut self) {
        if self.rest_ms() <= DEADLINE_MARGIN_MS {
            self.give_up(Cause::Deadline, "the time was over");
            return;
        }
        if self.attempt_count > 0 && !self.may_try_again() {
            self.give_up(Cause::Backend, "no attempts are left");
            return;
        }
        let shape = self.shape();
        let Some(stages) = self.choose(&shape) else {
            return;
        };
        let Some((link, chain)) = self.connect(&stages).await else {
            return;
        };
        if !self.hold_claim(&chain[0]).await {
            return;
        }
        self.attempt_number += 1;
        self.attempt_count += 1;
        let run = self.run_message(&chain);
        let guard = link.busy();
        if link.send(Body::Run(run)).is_err() {
            // A frame that the link did not take has reached nobody.
            self.avoid.push(stages[0]);
            return;
        }
        let cost_tokens = shape.prompt_tokens + shape.output_tokens;
        let now_ms = self.entry.clock.now_ms();
        for stage in &stages {
            let live = &self.job.service.live;
            live.dispatched(*stage, cost_tokens, now_ms);
        }
        self.attempt = Some(Attempt {
            stages,
            chain,
            link: Some((link, guard)),
            is_accepted: false,
            cost_tokens,
            started: Instant::now(),
            first_output: None,
            first_position: self.next_position,
            has_begun_before: self.may_have_begun,
        });
        self.phase = Phase::Waiting;
    }

    fn may_try_again(&self) -> bool {
        self.attempt_count < self.entry.settings.max_attempts
            && self.job.service.budget.take()
    }

    fn shape(&self) -> Shape {
        let delivered = self.tokens.len() as u32;
        let (prompt_tokens, output_tokens) = match &self.job.work {
            JobWork::Generate {
                max_tokens, prompt_tokens_estimate, ..
            } => (
                prompt_tokens_estimate + delivered,
                max_tokens.saturating_sub(delivered),
            ),
            JobWork::PlainCall(_) => (0, 0),
        };
        Shape {
            prompt_tokens,
            output_tokens,
            deadline_ms: self.rest_ms(),
            priority: self.job.priority,
            prefix: None,
        }
    }

    fn choose(&mut self, shape: &Shape) -> Option<Vec<BackendIndex>> {
        let service = &self.job.service;
        let choice = chain::choose(
            &service.fleet,
            &service.live,
            shape,
            &self.entry.policy(),
            &self.avoid,
            service.data_centre,
            self.entry.clock.now_ms(),
            &mut fastrand::Rng::new(),
        );
        match choice {
            Ok(choice) => {
                self.choices.chosen(&choice, shape, &self.avoid);
                Some(choice.stages)
            }
            Err(no_chain) => {
                let reason = match no_chain.reason {
                    NoChainReason::TooLate { .. } => NotRunReason::TooLate,
                    _ => NotRunReason::NoChain,
                };
                let retry_after_ms = Some(no_chain.retry_after_ms);
                let detail = no_chain.to_string();
                self.last_refusal.get_or_insert_with(|| {
                    Ending::not_run(reason, retry_after_ms, &detail)
                });
                self.give_up(Cause::Backend, &detail);
                None
            }
        }
    }

    /// The link to the first stage and the chain as it is sent.
    async fn connect(
        &mut self,
        stages: &[BackendIndex],
    ) -> Option<(Link, Vec<wire::Stage>)> {
        let service = self.job.service.clone();
        let first = stages[0];
        let address = service.sides[first.0 as usize];
        let links = self.entry.links();
        let link = match links.existing(address) {
            Some(link) => link,
            None => match links.connect(address).await {
                Ok(link) => link,
                Err(e) => {
                    service.live.set_presence(first, Presence::Absent);
                    self.avoid.push(first);
                    self.last_refusal = Some(Ending::not_run(
                        NotRunReason::NoChain,
                        Some(DEFAULT_RETRY_AFTER_MS),
                        &e.to_string(),
                    ));
                    return None;
                }
            },
        };
        let mut chain: Vec<wire::Stage> =
            stages.iter().map(|s| to_stage(&service, *s)).collect();
        chain[0].side_boot_id = link.peer().boot_id;
        Some((link, chain))
    }

    /// Has the claim of a keyed request name the side process before
    /// anything is sent to it; false when the request has ended.
    async fn hold_claim(&mut self, first: &wire::Stage) -> bool {
        let Some(keyed) = &mut self.keyed else {
            return true;
        };
        match keyed.hold(first).await {
            Hold::Mine => true,
            Hold::Ended(ending) => {
                self.end(ending);
                false
            }
            Hold::Held(claim) => {
                self.phase = Phase::Over;
                self.ready.push_back(Progress::Held(claim));
                false
            }
        }
    }

    fn run_message(&self, chain: &[wire::Stage]) -> wire::Run {
        let work = match &self.job.work {
            JobWork::Generate {
                model,
                request_json,
                max_tokens,
                prompt_tokens_estimate,
            } => wire::run::Work::Generate(wire::Generate {
                model: model.clone(),
                request_json: request_json.clone(),
                max_tokens: *max_tokens,
                delivered_tokens: self.tokens.clone(),
                prompt_tokens_estimate: *prompt_tokens_estimate,
            }),
            JobWork::PlainCall(call) => {
                wire::run::Work::PlainCall(call.clone())
            }
        };
        let deadline_ms = self.rest_ms().saturating_sub(DEADLINE_MARGIN_MS);
        wire::Run {
            request: Some(self.job.request.into()),
            attempt: self.attempt_number,
            service: self.job.service.name.clone(),
            account: self.job.account.clone(),
            priority: to_wire_priority(self.job.priority).into(),
            is_idempotent: self.job.is_idempotent,
            is_kept: self.keyed.is_some(),
            deadline_ms: deadline_ms.min(u32::MAX.into()) as u32,
            generation: self.entry.view.load().generation,
            chain: chain.to_vec(),
            work: Some(work),
        }
    }

    /// Waits for what the first stage sends, or for the deadline.
    async fn wait(&mut self) {
        match self.next_event().await {
            Some(SessionEvent::Frame { link_id, body }) => {
                if self.is_current(link_id) {
                    self.handle_frame(body);
                }
            }
            Some(SessionEvent::Closed { link_id }) => {
                if self.is_current(link_id) {
                    self.phase = Phase::Lost;
                }
            }
            None => self.time_over(),
        }
    }

    /// The next event; none at the deadline.
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

    fn time_over(&mut self) {
        self.cancel();
        let is_accepted = self.attempt.as_ref().is_some_and(|a| a.is_accepted);
        if is_accepted || self.attempt.is_none() {
            self.give_up(Cause::Deadline, "the time was over");
        } else {
            let detail = "the time was over before the backend server told \
                          whether it began";
            let outcome = Outcome::Unknown;
            self.end(Ending::new(outcome, Cause::Deadline, detail));
        }
    }

    /// Tells the first stage that nobody waits any more.
    fn cancel(&self) {
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
            Body::Accepted(m) if m.attempt == number => self.accepted(),
            Body::Output(m) if m.attempt == number => self.output(m),
            Body::Finished(m) if m.attempt == number => self.finished(m),
            Body::Failed(m) if m.attempt == number => {
                self.failed(m.reason(), &m.backend, &m.detail);
            }
            Body::Refused(m) if m.attempt == number => self.refused(&m),
            // A frame of an older attempt, or a late answer to a question.
            _ => {}
        }
    }

    fn accepted(&mut self) {
        self.may_have_begun = true;
        if let Some(attempt) = &mut self.attempt {
            attempt.is_accepted = true;
        }
    }

    /// Hands on the next position once, and only after the one before it.
    fn output(&mut self, m: wire::Output) {
        if m.position < self.next_position {
            return;
        }
        if m.position > self.next_position {
            let reason = FailureReason::Sequence;
            self.failed(reason, "", "a position of the answer is missing");
            return;
        }
        self.accepted();
        if let Some(attempt) = &mut self.attempt {
            attempt.first_output.get_or_insert_with(Instant::now);
        }
        self.next_position += 1;
        match m.part {
            Some(Part::Token(token)) => {
                self.tokens.push(token.token);
                self.ready.push_back(Progress::Token(token));
            }
            Some(Part::Head(head)) => {
                self.ready.push_back(Progress::Head(head));
            }
            Some(Part::Data(data)) => {
                self.ready.push_back(Progress::Data(data));
            }
            None => {}
        }
    }

    fn finished(&mut self, m: wire::Finished) {
        if m.output_count != self.next_position {
            let reason = FailureReason::Sequence;
            self.failed(reason, "", "the answer has another length");
            return;
        }
        self.note_completed(&m);
        self.choices.ended(Some(Outcome::Completed), "");
        self.phase = Phase::Over;
        self.attempt = None;
        self.ready.push_back(Progress::Whole(m));
    }

    fn note_completed(&self, m: &wire::Finished) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let now = Instant::now();
        let first = attempt.first_output.unwrap_or(now);
        let since = |at: Instant| {
            at.saturating_duration_since(attempt.started).as_millis() as u32
        };
        let ended = Ended::Completed {
            prompt_tokens: m.prompt_tokens,
            output_tokens: m.output_count - attempt.first_position,
            first_token_ms: since(first),
            total_ms: since(now),
        };
        self.note_ended(attempt, &ended, None);
    }

    /// Tells what became of an attempt: `ended` for the backend server at
    /// fault, or for all of them; the others are only freed.
    fn note_ended(
        &self,
        attempt: &Attempt,
        ended: &Ended,
        at_fault: Option<BackendIndex>,
    ) {
        self.choices.attempt_ended(&attempt.stages, ended, at_fault);
        let now_ms = self.entry.clock.now_ms();
        for stage in &attempt.stages {
            let is_meant = at_fault.is_none_or(|at| at == *stage);
            let ended = if is_meant { ended } else { &Ended::Cancelled };
            let live = &self.job.service.live;
            live.ended(*stage, attempt.cost_tokens, ended, now_ms);
        }
    }

    /// The first stage says that nothing has run.
    fn refused(&mut self, m: &wire::Refused) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.phase = Phase::Idle;
        if m.reason() == RefusalReason::AlreadyRun {
            let detail = "the backend server has seen the request before";
            let outcome = Outcome::Unknown;
            self.end(Ending::new(outcome, Cause::Backend, detail));
            return;
        }
        // Nothing of this attempt has run, also if it had been accepted.
        self.may_have_begun = attempt.has_begun_before;
        let at_fault = self.job.service.fleet.find(&m.backend);
        self.note_ended(&attempt, &Ended::Refused, at_fault);
        let first = attempt.stages.first().copied();
        self.avoid.extend(at_fault.or(first));
        self.last_refusal = Some(to_ending(m));
    }

    /// The attempt began and cannot go on.
    fn failed(&mut self, reason: FailureReason, backend: &str, detail: &str) {
        self.cancel();
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.may_have_begun = true;
        let at_fault = self.job.service.fleet.find(backend);
        let fault = at_fault.or(attempt.stages.first().copied());
        self.note_ended(&attempt, &Ended::Failed, fault);
        self.avoid.extend(fault);
        let cause = match reason {
            FailureReason::Deadline => Cause::Deadline,
            FailureReason::BadRequest => Cause::Request,
            _ => Cause::Backend,
        };
        let may_repeat = self.job.is_idempotent && cause == Cause::Backend;
        if !may_repeat {
            let outcome = Outcome::Failed;
            let detail = format!("{}: {detail}", reason.as_str_name());
            self.end(Ending::new(outcome, cause, &detail));
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

    /// The connection to the first stage is lost: asks over a new one.
    async fn recover(&mut self) {
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
            self.note_ended(&attempt, &Ended::Failed, first);
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
        attempt.link = Some((link.clone(), link.busy()));
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

impl Drop for Session {
    fn drop(&mut self) {
        self.entry.unregister(self.job.request);
        if matches!(self.phase, Phase::Waiting | Phase::Lost) {
            self.cancel();
            if let Some(attempt) = &self.attempt {
                self.note_ended(attempt, &Ended::Cancelled, None);
            }
        }
    }
}

enum Asked {
    Answer(wire::QueryAnswer),
    /// The process has been started anew and knows nothing.
    OtherIncarnation,
    NoAnswer,
}

fn to_stage(service: &ServiceView, index: BackendIndex) -> wire::Stage {
    let spec = service.fleet.spec(index);
    wire::Stage {
        backend: spec.name.clone(),
        side_address: service.sides[index.0 as usize].to_string(),
        first_layer: spec.first_layer,
        end_layer: spec.end_layer,
        side_boot_id: 0,
    }
}

fn to_wire_priority(priority: Priority) -> wire::Priority {
    match priority {
        Priority::Low => wire::Priority::Low,
        Priority::Normal => wire::Priority::Normal,
        Priority::High => wire::Priority::High,
    }
}

/// What a caller is told when the last attempt ends with this refusal.
fn to_ending(m: &wire::Refused) -> Ending {
    let reason = match m.reason() {
        RefusalReason::Full | RefusalReason::TableFull => NotRunReason::Full,
        RefusalReason::Share => NotRunReason::Share,
        RefusalReason::TooLate => NotRunReason::TooLate,
        _ => NotRunReason::NoChain,
    };
    let retry_after_ms = match m.retry_after_ms {
        0 => DEFAULT_RETRY_AFTER_MS,
        known => u64::from(known),
    };
    let detail =
        format!("{} refused: {}", m.backend, m.reason().as_str_name());
    Ending::not_run(reason, Some(retry_after_ms), &detail)
}

fn unix_s() -> u32 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs() as u32)
}
