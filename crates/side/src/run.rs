//! A request whose first stage is here.
//!
//! This process keeps the request's step state: it reserves the other
//! stages, feeds each token back into the first stage, hands the tokens to
//! the entry, and ends the request on every stage. It is moved on by frames
//! and engine answers, never by a task that waits.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
};

use chestnutreach_engine::{
    EngineError, SequenceError, SequenceId, SequenceOutput, SequenceStep,
    StepInput, StepOutput,
};
use chestnutreach_protocol::{
    Link, RequestId,
    link::BusyGuard,
    wire::{
        self, Accepted, FailureReason, FinishReason, Output, RefusalReason,
        Refused, Stage, frame::Body, output::Part,
    },
};
use chestnutreach_routing::{Priority, chain::Shape};
use chestnutreach_state::{Admission, run_once};
use chestnutreach_telemetry::{Event, emit};

use crate::{
    backend::{Assigned, Backend},
    gate::Offer,
    node::{Shared, Target},
    steps::{Owner, QueuedStep},
};

/// Tokens that a plain call counts as.
const PLAIN_COST_TOKENS: u64 = 1;
/// Bytes counted for a kept token beside its text.
const TOKEN_OVERHEAD_BYTES: usize = 64;

/// What is to be done.
pub(crate) enum Work {
    /// Tokens from a model.
    Generate(wire::Generate),
    /// One call of a plain service.
    PlainCall(wire::PlainCall),
}

/// One attempt of a request at its first stage.
pub(crate) struct Run {
    pub(crate) id: u128,
    pub(crate) attempt: u32,
    pub(crate) service: String,
    pub(crate) account: String,
    pub(crate) is_idempotent: bool,
    pub(crate) is_kept: bool,
    pub(crate) deadline_at_ms: u64,
    pub(crate) generation: u64,
    pub(crate) chain: Vec<Stage>,
    pub(crate) work: Work,
    pub(crate) shape: Shape,
    pub(crate) cost_tokens: u64,
    pub(crate) backend: Arc<Backend>,
    is_ended: AtomicBool,
    state: Mutex<State>,
}

/// Where a run stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Waits for a place on its backend server.
    Queued,
    /// Holds its place, waits for the other stages.
    Reserving,
    /// Has begun.
    Running,
    /// Ran to its end.
    Finished,
    /// Ended early; failed if it had begun.
    Stopped,
}

pub(crate) struct State {
    pub(crate) phase: Phase,
    pub(crate) entry: Option<(Link, BusyGuard)>,
    /// When the request is given up unless an entry asks for it.
    pub(crate) orphan_until_ms: Option<u64>,
    /// Links to stages 1.. in order.
    stages: Vec<(Link, BusyGuard)>,
    missing: BTreeSet<u32>,
    /// Positions of the first step: prompt and delivered tokens.
    first_span: Option<u32>,
    prompt_tokens: u32,
    cached_tokens: u32,
    produced: u32,
    outputs: Vec<Output>,
    answer_bytes: usize,
    finished: Option<wire::Finished>,
    failure: Option<FailureReason>,
}

impl Run {
    /// Whether nothing more will be done for it.
    pub(crate) fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::Acquire)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    pub(crate) fn wire_id(&self) -> Option<wire::RequestId> {
        Some(RequestId::from_u128(self.id).into())
    }

    fn sequence(&self) -> SequenceId {
        SequenceId { request: self.id, attempt: self.attempt }
    }

    /// Tokens the caller had before this attempt.
    fn delivered(&self) -> u32 {
        match &self.work {
            Work::Generate(g) => g.delivered_tokens.len() as u32,
            Work::PlainCall(_) => 0,
        }
    }

    fn max_tokens(&self) -> u32 {
        match &self.work {
            Work::Generate(g) => g.max_tokens,
            Work::PlainCall(_) => 0,
        }
    }
}

impl State {
    /// Sends to the entry if one is there; a lost entry is noticed by its
    /// link's close.
    fn send_entry(&self, body: Body) {
        if let Some((link, _)) = &self.entry {
            let _ = link.send(body);
        }
    }

    /// Keeps a part of the answer and sends it on.
    fn output(&mut self, output: Output, bytes: usize) {
        self.answer_bytes += bytes;
        self.send_entry(Body::Output(output.clone()));
        self.outputs.push(output);
    }

    /// Parts of the answer from a position on.
    fn outputs_from(&self, position: u32) -> Vec<Output> {
        let from = self.outputs.partition_point(|o| o.position < position);
        self.outputs[from..].to_vec()
    }

    /// Fills in what there is of the answer.
    fn fill_answer(
        &self,
        run: &Run,
        m: &wire::Query,
        answer: &mut wire::QueryAnswer,
    ) {
        answer.attempt = run.attempt;
        answer.outputs = self.outputs_from(m.from_position);
        answer.finished = self.finished.clone();
        answer.failure = self.failure.unwrap_or_default().into();
    }

    /// Whether another entry than the asker still takes the answer.
    fn is_taken_by_another(&self, asker: &Link) -> bool {
        self.entry.as_ref().is_some_and(|(link, _)| {
            !link.is_closed() && link.peer().boot_id != asker.peer().boot_id
        })
    }

    /// Index of the stage that a link leads to.
    pub(crate) fn stage_of(&self, link_id: u64) -> Option<usize> {
        let at = self.stages.iter().position(|(l, _)| l.id() == link_id)?;
        Some(at + 1)
    }
}

/// Parts of a run known before anything is decided.
struct Asked {
    message: wire::Run,
    work: Work,
}

impl Shared {
    /// Takes a request from an entry.
    pub(crate) fn handle_run(self: &Arc<Self>, link: &Link, m: wire::Run) {
        let reply = RefusalReply::to_run(&m);
        let Some(asked) = Asked::from_message(m) else {
            reply.send(link, RefusalReason::WrongTarget, 0);
            return;
        };
        let target = Target {
            stage: &asked.message.chain[0],
            service: &asked.message.service,
            account: &asked.message.account,
        };
        let backend = match self.find_target(&target) {
            Ok(backend) => backend,
            Err(reason) => {
                let retry_after_ms = self.retry_after_ms(reason);
                reply.send(link, reason, retry_after_ms);
                return;
            }
        };
        let run = Arc::new(self.new_run(asked, backend, link));
        match self.admit(&run) {
            Ok(()) => self.offer(&run),
            Err(reason) => reply.send(link, reason, 0),
        }
    }

    fn new_run(
        &self,
        asked: Asked,
        backend: Arc<Backend>,
        entry: &Link,
    ) -> Run {
        let Asked { message: m, work } = asked;
        let (shape, cost_tokens) = shape_of(&m, &work);
        let id = m.request.map_or(0, |id| RequestId::from(id).as_u128());
        let deadline_ms = u64::from(m.deadline_ms);
        let state = State {
            phase: Phase::Queued,
            entry: Some((entry.clone(), entry.busy())),
            orphan_until_ms: None,
            stages: Vec::new(),
            missing: (1..m.chain.len() as u32).collect(),
            first_span: None,
            prompt_tokens: 0,
            cached_tokens: 0,
            produced: 0,
            outputs: Vec::new(),
            answer_bytes: 0,
            finished: None,
            failure: None,
        };
        Run {
            id,
            attempt: m.attempt,
            service: m.service,
            account: m.account,
            is_idempotent: m.is_idempotent,
            is_kept: m.is_kept,
            deadline_at_ms: self.clock.now_ms() + deadline_ms,
            generation: m.generation,
            chain: m.chain,
            work,
            shape,
            cost_tokens,
            backend,
            is_ended: AtomicBool::new(false),
            state: Mutex::new(state),
        }
    }

    /// Passes the run-once table, stopping an older attempt if need be.
    fn admit(self: &Arc<Self>, run: &Arc<Run>) -> Result<(), RefusalReason> {
        let admission = run.backend.table().admit(
            run.id,
            run.attempt,
            run.is_idempotent,
            self.clock.now_ms(),
        );
        match admission {
            Admission::Run { superseded: None } => {}
            Admission::Run { superseded: Some(_) } => {
                if let Some(old) = self.find_run(run.id) {
                    self.stop(&old, FailureReason::Cancelled, "", "");
                }
                self.release_seats(run.id, run.attempt - 1);
            }
            Admission::Fenced => return Err(RefusalReason::Fenced),
            Admission::AlreadyRun => {
                return Err(RefusalReason::AlreadyRun);
            }
            Admission::TableFull => {
                emit(
                    Event::RunOnceTableFull,
                    &[("backend", &run.backend.name)],
                );
                return Err(RefusalReason::TableFull);
            }
        }
        self.lock_runs().insert(run.id, run.clone());
        Ok(())
    }

    fn offer(self: &Arc<Self>, run: &Arc<Run>) {
        let now_ms = self.clock.now_ms();
        match run.backend.gate.offer(run, now_ms) {
            Offer::Admitted => self.reserve(run),
            Offer::Queued => {}
            Offer::Full { retry_after_ms } => {
                self.refuse(run, RefusalReason::Full, "", retry_after_ms);
            }
            Offer::TooLate { retry_after_ms } => {
                self.refuse(run, RefusalReason::TooLate, "", retry_after_ms);
            }
        }
    }

    /// The run holds its place: asks the other stages for theirs.
    pub(crate) fn reserve(self: &Arc<Self>, run: &Arc<Run>) {
        {
            let mut state = run.lock();
            if state.phase != Phase::Queued {
                drop(state);
                self.give_back(run);
                return;
            }
            state.phase = Phase::Reserving;
        }
        if run.chain.len() == 1 {
            self.accept(run);
            return;
        }
        match self.existing_links(&run.chain[1..]) {
            Some(links) => self.send_reserves(run, &links),
            None => {
                let (side, run) = (self.clone(), run.clone());
                self.spawn(async move {
                    match side.dial_links(&run.chain[1..]).await {
                        Ok(links) => side.send_reserves(&run, &links),
                        Err(backend) => {
                            let reason = RefusalReason::StageUnreachable;
                            side.refuse(&run, reason, &backend, 0);
                        }
                    }
                });
            }
        }
    }

    fn send_reserves(self: &Arc<Self>, run: &Arc<Run>, links: &[Link]) {
        let now_ms = self.clock.now_ms();
        let mut unreached = None;
        {
            // The lock is held while sending: a refusal that comes meanwhile
            // must not send its releases before the last reservation.
            let mut state = run.lock();
            if state.phase != Phase::Reserving {
                return;
            }
            state.stages =
                links.iter().map(|l| (l.clone(), l.busy())).collect();
            for (at, link) in links.iter().enumerate() {
                let message = reserve_message(run, at as u32 + 1, now_ms);
                if link.send(Body::Reserve(message)).is_err() {
                    unreached = Some(at + 1);
                    break;
                }
            }
        }
        if let Some(at) = unreached {
            let reason = RefusalReason::StageUnreachable;
            self.refuse(run, reason, &run.chain[at].backend, 0);
        }
    }

    /// A later stage holds its reservation.
    pub(crate) fn handle_reserved(self: &Arc<Self>, m: &wire::Reserved) {
        let Some(run) = self.current_run(m.request, m.attempt) else {
            return;
        };
        let mut state = run.lock();
        if state.phase != Phase::Reserving {
            return;
        }
        state.missing.remove(&m.stage_index);
        let is_complete = state.missing.is_empty();
        drop(state);
        if is_complete {
            self.accept(&run);
        }
    }

    /// A later stage has refused: nothing has run.
    pub(crate) fn handle_stage_refused(
        self: &Arc<Self>,
        link: &Link,
        m: &Refused,
    ) {
        let Some(run) = self.current_run(m.request, m.attempt) else {
            return;
        };
        let is_stage = run.lock().stage_of(link.id()).is_some();
        if is_stage {
            let retry_after_ms = u64::from(m.retry_after_ms);
            self.refuse(&run, m.reason(), &m.backend, retry_after_ms);
        }
    }

    /// Every stage is held: the request begins.
    fn accept(self: &Arc<Self>, run: &Arc<Run>) {
        if !run.backend.table().begin(run.id, run.attempt) {
            self.refuse(run, RefusalReason::Fenced, "", 0);
            return;
        }
        {
            let mut state = run.lock();
            if state.phase != Phase::Reserving {
                return;
            }
            state.phase = Phase::Running;
            let request = run.wire_id();
            let attempt = run.attempt;
            state.send_entry(Body::Accepted(Accepted { request, attempt }));
        }
        match &run.work {
            Work::Generate(generate) => {
                let input = StepInput::Prompt {
                    request_json: generate.request_json.clone(),
                    delivered_tokens: generate.delivered_tokens.clone(),
                };
                self.push_own_step(run, 0, input, true);
            }
            Work::PlainCall(_) => self.spawn_plain_call(run),
        }
    }

    fn push_own_step(
        &self,
        run: &Arc<Run>,
        position: u32,
        input: StepInput,
        is_first: bool,
    ) {
        let step = SequenceStep {
            sequence: run.sequence(),
            position,
            priority: step_priority(run.shape.priority),
            input,
            parameters_json: Vec::new(),
        };
        let owner = Owner::Run(run.clone());
        run.backend.steps.push(QueuedStep { owner, step, is_first });
    }

    /// The engine of the first stage has answered a step.
    pub(crate) fn own_step_done(
        self: &Arc<Self>,
        run: &Arc<Run>,
        position: u32,
        result: Result<SequenceOutput, SequenceError>,
    ) {
        let output = match result {
            Ok(output) => output,
            Err(e) => {
                let (reason, detail) = sequence_failure(&e);
                self.stop(run, reason, &run.backend.name, &detail);
                return;
            }
        };
        let mut state = run.lock();
        if state.phase != Phase::Running {
            return;
        }
        if state.first_span.is_none() {
            state.first_span = Some(output.span);
            state.prompt_tokens = output.prompt_tokens;
            state.cached_tokens = output.cached_tokens;
        }
        match output.output {
            StepOutput::Activation(activation) => {
                let Some(next) = run.chain.get(1) else {
                    drop(state);
                    let detail = "no token from a whole model";
                    let reason = FailureReason::Sequence;
                    self.stop(run, reason, &run.backend.name, detail);
                    return;
                };
                let message = wire::Step {
                    request: run.wire_id(),
                    attempt: run.attempt,
                    position,
                    span: output.span,
                    first_layer: next.first_layer,
                    activation,
                };
                // A lost link is noticed by its close.
                let _ = state.stages[0].0.send(Body::Step(message));
            }
            StepOutput::Token { token, text, is_stop } => {
                drop(state);
                let at = position + output.span;
                self.token(run, at, Token { token, text, is_stop });
            }
        }
    }

    /// The engine of the first stage gave no answer.
    pub(crate) fn own_step_lost(
        self: &Arc<Self>,
        run: &Arc<Run>,
        is_first: bool,
        error: &EngineError,
    ) {
        let name = &run.backend.name;
        if is_first && !error.may_have_run() {
            // Nothing of the request has run anywhere.
            self.refuse(run, RefusalReason::BackendDown, name, 0);
            return;
        }
        let reason = match error {
            EngineError::Timeout(..) => FailureReason::BackendSilent,
            _ => FailureReason::BackendError,
        };
        self.stop(run, reason, name, &error.to_string());
    }

    /// The last stage has a token.
    pub(crate) fn handle_step_result(self: &Arc<Self>, m: wire::StepResult) {
        let Some(run) = self.current_run(m.request, m.attempt) else {
            self.note_refused_step("no_run");
            return;
        };
        let is_stop = m.finish() == FinishReason::Stop;
        let token = Token { token: m.token, text: m.text, is_stop };
        self.token(&run, m.position, token);
    }

    /// Takes the next token: hands it on and begins the next step.
    fn token(self: &Arc<Self>, run: &Arc<Run>, position: u32, token: Token) {
        let mut state = run.lock();
        if state.phase != Phase::Running {
            return;
        }
        let expected = state.first_span.map(|span| span + state.produced);
        if expected != Some(position) {
            let is_repeat = expected.is_some_and(|e| position < e);
            drop(state);
            self.note_refused_step(if is_repeat { "repeated" } else { "gap" });
            if !is_repeat {
                let detail = "a token came before the one it follows";
                self.stop(run, FailureReason::Sequence, "", detail);
            }
            return;
        }
        state.produced += 1;
        let number = run.delivered() + state.produced - 1;
        let bytes = token.text.len() + TOKEN_OVERHEAD_BYTES;
        let wire_token = wire::Token { token: token.token, text: token.text };
        let output = Output {
            request: run.wire_id(),
            attempt: run.attempt,
            position: number,
            part: Some(Part::Token(wire_token)),
        };
        state.output(output, bytes);
        drop(state);
        if token.is_stop {
            self.finish(run, FinishReason::Stop);
        } else if number + 1 >= run.max_tokens() {
            self.finish(run, FinishReason::Length);
        } else {
            let input = StepInput::Token(token.token);
            self.push_own_step(run, position, input, false);
        }
    }

    /// A part of a plain answer.
    pub(crate) fn plain_part(&self, run: &Run, part: Part, bytes: usize) {
        let mut state = run.lock();
        let output = Output {
            request: run.wire_id(),
            attempt: run.attempt,
            position: state.outputs.len() as u32,
            part: Some(part),
        };
        state.output(output, bytes);
        state.produced += 1;
    }

    /// The answer is whole.
    pub(crate) fn finish(
        self: &Arc<Self>,
        run: &Arc<Run>,
        finish: FinishReason,
    ) {
        let now_ms = self.clock.now_ms();
        let load = self.backend_load(&run.backend);
        let mut state = run.lock();
        if state.phase != Phase::Running {
            return;
        }
        state.phase = Phase::Finished;
        let finished = wire::Finished {
            request: run.wire_id(),
            attempt: run.attempt,
            output_count: run.delivered() + state.produced,
            finish: finish.into(),
            prompt_tokens: state.prompt_tokens,
            cached_tokens: state.cached_tokens,
            load: Some(load),
        };
        state.finished = Some(finished.clone());
        // The table first: whoever sees the answer finds it recorded.
        run.backend.table().finish(run.id, run.attempt, now_ms);
        state.send_entry(Body::Finished(finished));
        self.charge(run, &state);
        drop(state);
        self.end(run);
    }

    /// Ends a run early: failed if it has begun, refused otherwise.
    pub(crate) fn stop(
        self: &Arc<Self>,
        run: &Arc<Run>,
        reason: FailureReason,
        backend: &str,
        detail: &str,
    ) {
        let now_ms = self.clock.now_ms();
        let mut state = run.lock();
        match state.phase {
            Phase::Finished | Phase::Stopped => return,
            Phase::Queued | Phase::Reserving => {
                drop(state);
                let reason = match reason {
                    FailureReason::Deadline => RefusalReason::TooLate,
                    FailureReason::StageLost => {
                        RefusalReason::StageUnreachable
                    }
                    FailureReason::Stopped => RefusalReason::Leaving,
                    _ => RefusalReason::Fenced,
                };
                self.refuse(run, reason, backend, 0);
                return;
            }
            Phase::Running => {}
        }
        state.phase = Phase::Stopped;
        state.failure = Some(reason);
        run.backend.table().fail(run.id, run.attempt, now_ms);
        state.send_entry(Body::Failed(wire::Failed {
            request: run.wire_id(),
            attempt: run.attempt,
            reason: reason.into(),
            backend: backend.to_owned(),
            detail: detail.to_owned(),
        }));
        drop(state);
        emit(
            Event::AttemptFailed,
            &[
                ("request", &RequestId::from_u128(run.id)),
                ("attempt", &run.attempt),
                ("reason", &reason.as_str_name()),
                ("backend", &backend),
                ("detail", &detail),
            ],
        );
        self.end(run);
    }

    /// Refuses a run of which nothing has run.
    pub(crate) fn refuse(
        self: &Arc<Self>,
        run: &Arc<Run>,
        reason: RefusalReason,
        backend: &str,
        retry_after_ms: u64,
    ) {
        let now_ms = self.clock.now_ms();
        let mut state = run.lock();
        let was_queued = match state.phase {
            Phase::Finished | Phase::Stopped => return,
            Phase::Queued => true,
            Phase::Reserving | Phase::Running => false,
        };
        state.phase = Phase::Stopped;
        run.backend.table().refuse(run.id, run.attempt, now_ms);
        let backend =
            if backend.is_empty() { &run.backend.name } else { backend };
        let load = (backend == run.backend.name)
            .then(|| self.backend_load(&run.backend));
        state.send_entry(Body::Refused(Refused {
            request: run.wire_id(),
            attempt: run.attempt,
            reason: reason.into(),
            backend: backend.to_owned(),
            retry_after_ms: retry_after_ms.min(u32::MAX.into()) as u32,
            load,
        }));
        drop(state);
        let metrics = self.metrics.service(&run.service);
        metrics.attempt_refused(reason.as_str_name());
        if was_queued {
            run.backend.gate.remove(run);
            run.is_ended.store(true, Ordering::Release);
            self.forget_run(run);
            return;
        }
        self.end(run);
    }

    /// Frees what an ended run holds, here and on the other stages.
    fn end(self: &Arc<Self>, run: &Arc<Run>) {
        run.is_ended.store(true, Ordering::Release);
        let (stages, answer_bytes) = {
            let mut state = run.lock();
            state.entry = None;
            (std::mem::take(&mut state.stages), state.answer_bytes)
        };
        let request = run.wire_id();
        let attempt = run.attempt;
        for (link, _guard) in &stages {
            let release = wire::Release { request, attempt };
            let _ = link.send(Body::Release(release));
        }
        run.backend.release_sequence(run.sequence());
        self.forget_run(run);
        self.keep_answer(run, answer_bytes);
        self.give_back(run);
    }

    fn keep_answer(&self, run: &Arc<Run>, answer_bytes: usize) {
        let keep_ms = if run.is_kept {
            self.settings.run_once_retention_ms
        } else {
            self.settings.orphan_limit_ms
        };
        let until_ms = self.clock.now_ms() + keep_ms;
        self.lock_ended().insert(run.clone(), answer_bytes, until_ms);
    }

    /// Gives the place back and begins what waited for it.
    fn give_back(self: &Arc<Self>, run: &Arc<Run>) {
        let now_ms = self.clock.now_ms();
        let gate = &run.backend.gate;
        if let Some(next) = gate.give_back(run.cost_tokens, now_ms) {
            self.reserve(&next);
        }
    }

    /// Corrects what the account was charged by what was really used.
    fn charge(&self, run: &Run, state: &State) {
        let used = state.prompt_tokens + state.produced;
        let missed = i64::from(used) - run.cost_tokens as i64;
        run.backend.gate.charge(&run.account, missed);
    }

    /// The entry has given the attempt up.
    pub(crate) fn handle_cancel(self: &Arc<Self>, m: &wire::Cancel) {
        let Some(run) = self.any_run(m.request) else {
            return;
        };
        if run.attempt <= m.attempt {
            self.stop(&run, FailureReason::Cancelled, "", "");
        }
    }

    /// A later stage cannot go on.
    pub(crate) fn handle_step_failed(self: &Arc<Self>, m: &wire::StepFailed) {
        if let Some(run) = self.current_run(m.request, m.attempt) {
            self.stop(&run, m.reason(), &m.backend, &m.detail);
        }
    }

    /// What is known of a request; an entry may take over its answer.
    pub(crate) fn handle_query(
        self: &Arc<Self>,
        link: &Link,
        m: &wire::Query,
    ) {
        let Some(request) = m.request else {
            return;
        };
        let id = RequestId::from(request).as_u128();
        let is_meant = |run: &Arc<Run>| {
            m.backend.is_empty() || run.backend.name == m.backend
        };
        match self.find_run(id).filter(is_meant) {
            Some(run) => answer_query(&run, link, m),
            None => {
                let answer = self.query_ended(id, m);
                let _ = link.send(Body::QueryAnswer(answer));
            }
        }
    }

    fn query_ended(&self, id: u128, m: &wire::Query) -> wire::QueryAnswer {
        let now_ms = self.clock.now_ms();
        let ended = self.lock_ended().find(id);
        let mut answer = wire::QueryAnswer {
            request: m.request,
            attempt: m.attempt,
            ..wire::QueryAnswer::default()
        };
        let mut known = self.query_tables(id, m, now_ms);
        if let Some(run) = ended {
            let state = run.lock();
            state.fill_answer(&run, m, &mut answer);
            if state.phase == Phase::Finished {
                known = run_once::RunState::Finished;
            }
        }
        answer.state = to_wire_state(known).into();
        answer
    }
}

/// Answers a question about a request that is in the map of open ones, and
/// has the rest of its answer go to the asker.
fn answer_query(run: &Arc<Run>, link: &Link, m: &wire::Query) {
    let mut answer = wire::QueryAnswer {
        request: m.request,
        attempt: run.attempt,
        state: wire::RunState::Running.into(),
        ..wire::QueryAnswer::default()
    };
    // The answer is sent under the lock, so that no later part of the
    // request's answer can go before it.
    let mut state = run.lock();
    match state.phase {
        Phase::Finished => {
            answer.state = wire::RunState::Finished.into();
            state.fill_answer(run, m, &mut answer);
        }
        Phase::Stopped => {
            let is_failed = state.failure.is_some();
            let known = if is_failed {
                wire::RunState::Failed
            } else {
                wire::RunState::Refused
            };
            answer.state = known.into();
            state.fill_answer(run, m, &mut answer);
        }
        Phase::Queued | Phase::Reserving | Phase::Running => {
            answer.is_attached =
                m.is_attach && !state.is_taken_by_another(link);
            if answer.is_attached {
                state.entry = Some((link.clone(), link.busy()));
                state.orphan_until_ms = None;
                answer.outputs = state.outputs_from(m.from_position);
            }
        }
    }
    let _ = link.send(Body::QueryAnswer(answer));
}

impl Shared {
    /// Asks the table of the backend server meant, or of all if none is
    /// named, and takes the answer that says most.
    fn query_tables(
        &self,
        id: u128,
        m: &wire::Query,
        now_ms: u64,
    ) -> run_once::RunState {
        self.backends
            .values()
            .filter(|b| m.backend.is_empty() || b.name == m.backend)
            .map(|b| b.table().query(id, m.attempt, now_ms))
            .max_by_key(|state| match state {
                run_once::RunState::NeverSeen => 0,
                run_once::RunState::Refused => 1,
                run_once::RunState::Failed => 2,
                run_once::RunState::CannotTell => 3,
                run_once::RunState::Finished => 4,
                run_once::RunState::Admitted | run_once::RunState::Running => {
                    5
                }
            })
            // A backend server that was never beside this process has run
            // nothing here.
            .unwrap_or(run_once::RunState::NeverSeen)
    }
}

/// A token as an engine gave it.
struct Token {
    token: u32,
    text: String,
    is_stop: bool,
}

impl Asked {
    fn from_message(mut message: wire::Run) -> Option<Asked> {
        let work = match message.work.take()? {
            wire::run::Work::Generate(g) => Work::Generate(g),
            wire::run::Work::PlainCall(c) => Work::PlainCall(c),
        };
        let is_sound = message.request.is_some() && !message.chain.is_empty();
        is_sound.then_some(Asked { message, work })
    }
}

/// Answers a request that is refused before it is anything here.
struct RefusalReply {
    request: Option<wire::RequestId>,
    attempt: u32,
    backend: String,
}

impl RefusalReply {
    fn to_run(m: &wire::Run) -> RefusalReply {
        let backend = m.chain.first().map_or("", |stage| &stage.backend);
        RefusalReply {
            request: m.request,
            attempt: m.attempt,
            backend: backend.to_owned(),
        }
    }

    fn send(self, link: &Link, reason: RefusalReason, retry_after_ms: u64) {
        let _ = link.send(Body::Refused(Refused {
            request: self.request,
            attempt: self.attempt,
            reason: reason.into(),
            backend: self.backend,
            retry_after_ms: retry_after_ms as u32,
            load: None,
        }));
    }
}

fn shape_of(m: &wire::Run, work: &Work) -> (Shape, u64) {
    let (prompt_tokens, output_tokens) = match work {
        Work::Generate(g) => {
            let delivered = g.delivered_tokens.len() as u32;
            let rest = g.max_tokens.saturating_sub(delivered);
            (g.prompt_tokens_estimate + delivered, rest)
        }
        Work::PlainCall(_) => (0, 0),
    };
    let shape = Shape {
        prompt_tokens,
        output_tokens,
        deadline_ms: u64::from(m.deadline_ms),
        priority: to_priority(m.priority()),
        prefix: None,
    };
    let cost = u64::from(prompt_tokens) + u64::from(output_tokens);
    (shape, cost.max(PLAIN_COST_TOKENS))
}

fn reserve_message(run: &Run, stage_index: u32, now_ms: u64) -> wire::Reserve {
    let rest_ms = run.deadline_at_ms.saturating_sub(now_ms);
    let (model, parameters_json) = match &run.work {
        Work::Generate(g) => (g.model.clone(), parameters_of(&g.request_json)),
        Work::PlainCall(_) => (String::new(), Vec::new()),
    };
    wire::Reserve {
        request: run.wire_id(),
        attempt: run.attempt,
        service: run.service.clone(),
        account: run.account.clone(),
        priority: to_wire_priority(run.shape.priority).into(),
        is_idempotent: run.is_idempotent,
        deadline_ms: rest_ms.min(u32::MAX.into()) as u32,
        generation: run.generation,
        chain: run.chain.clone(),
        stage_index,
        prompt_tokens_estimate: run.shape.prompt_tokens,
        max_tokens: run.max_tokens(),
        model,
        parameters_json,
    }
}

/// The caller's request without its prompt.
fn parameters_of(request_json: &[u8]) -> Vec<u8> {
    let parsed = serde_json::from_slice::<serde_json::Value>(request_json);
    let Ok(serde_json::Value::Object(mut object)) = parsed else {
        return Vec::new();
    };
    object.remove("messages");
    object.remove("prompt");
    serde_json::to_vec(&object).unwrap_or_default()
}

fn sequence_failure(error: &SequenceError) -> (FailureReason, String) {
    match error {
        SequenceError::BadRequest(why) => {
            (FailureReason::BadRequest, why.clone())
        }
        SequenceError::OutOfOrder(why) => {
            (FailureReason::Sequence, why.clone())
        }
        other => (FailureReason::BackendError, format!("{other:?}")),
    }
}

fn to_wire_state(state: run_once::RunState) -> wire::RunState {
    match state {
        run_once::RunState::NeverSeen => wire::RunState::NeverSeen,
        run_once::RunState::Refused => wire::RunState::Refused,
        run_once::RunState::Finished => wire::RunState::Finished,
        run_once::RunState::Failed => wire::RunState::Failed,
        run_once::RunState::CannotTell => wire::RunState::CannotTell,
        run_once::RunState::Admitted | run_once::RunState::Running => {
            wire::RunState::Running
        }
    }
}

/// A priority as engines take it, higher first.
pub(crate) fn step_priority(priority: Priority) -> u8 {
    match priority {
        Priority::Low => 1,
        Priority::Normal => 2,
        Priority::High => 3,
    }
}

/// A priority from the wire; none given is an ordinary one.
pub(crate) fn to_priority(priority: wire::Priority) -> Priority {
    match priority {
        wire::Priority::Low => Priority::Low,
        wire::Priority::High => Priority::High,
        wire::Priority::Normal | wire::Priority::Unspecified => {
            Priority::Normal
        }
    }
}

fn to_wire_priority(priority: Priority) -> wire::Priority {
    match priority {
        Priority::Low => wire::Priority::Low,
        Priority::Normal => wire::Priority::Normal,
        Priority::High => wire::Priority::High,
    }
}

/// The service that a backend server answers, when it is the one asked for.
pub(crate) fn serves(assigned: &Assigned, service: &str) -> bool {
    assigned.service == service
}
