//! From the run message of an entry to the first step.

use std::sync::{Arc, Mutex, OnceLock, atomic::AtomicBool};

use chestnutreach_engine::StepInput;
use chestnutreach_protocol::{
    Link, RequestId,
    wire::{
        self, Accepted, FailureReason, RefusalReason, Refused, frame::Body,
    },
};
use chestnutreach_routing::RequestShape;
use chestnutreach_state::Admission;
use chestnutreach_telemetry::{Event, emit};

use super::{Phase, Run, State, Work};
use crate::{
    backend::Backend,
    node::Shared,
    priority::{to_priority, to_wire_priority},
    slot_queue::SlotAdmission,
    target::Target,
};

/// Cost of a plain call, in tokens.
const PLAIN_COST_TOKENS: u64 = 1;

/// A validated run message.
struct RunRequest {
    message: wire::Run,
    work: Work,
}

impl RunRequest {
    fn from_message(mut message: wire::Run) -> Option<RunRequest> {
        let work = match message.work.take()? {
            wire::run::Work::Generate(g) => Work::Generate(g),
            wire::run::Work::PlainCall(c) => Work::PlainCall(c),
        };
        let is_valid = message.request.is_some() && !message.chain.is_empty();
        is_valid.then_some(RunRequest { message, work })
    }
}

impl Shared {
    /// Handles a request from an entry.
    pub(crate) fn handle_run(self: &Arc<Self>, link: &Link, m: wire::Run) {
        let reply = RefusalReply::to_run(&m);
        let Some(request) = RunRequest::from_message(m) else {
            reply.send(link, RefusalReason::WrongTarget, 0);
            return;
        };
        let target = Target {
            stage: &request.message.chain[0],
            service: &request.message.service,
            account: &request.message.account,
        };
        let backend = match self.find_target(&target) {
            Ok(backend) => backend,
            Err(reason) => {
                let retry_after_ms = self.retry_after_ms(target.stage, reason);
                reply.send(link, reason, retry_after_ms);
                return;
            }
        };
        let run = Arc::new(self.new_run(request, backend, link));
        match self.admit(&run) {
            Ok(()) => self.request_slot(&run),
            Err(reason) => reply.send(link, reason, 0),
        }
    }

    fn new_run(
        &self,
        request: RunRequest,
        backend: Arc<Backend>,
        entry: &Link,
    ) -> Run {
        let RunRequest { message: m, work } = request;
        let (shape, cost_tokens) = shape_of(&m, &work);
        let id = m.request.map_or(0, |id| RequestId::from(id).as_u128());
        let deadline_ms = u64::from(m.deadline_ms);
        let state = State {
            phase: Phase::Queued,
            entry: Some((entry.clone(), entry.track_request())),
            orphan_until_ms: None,
            stages: Vec::new(),
            reserved: 0,
            first_span: None,
            prompt_tokens: 0,
            cached_tokens: 0,
            produced: 0,
            outputs: Vec::new(),
            output_bytes: 0,
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
            parameters_json: OnceLock::new(),
            is_ended: AtomicBool::new(false),
            state: Mutex::new(state),
        }
    }

    /// Registers the run in the run-once table and stops a superseded attempt.
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
                self.release_reservations(run.id, run.attempt - 1);
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

    fn request_slot(self: &Arc<Self>, run: &Arc<Run>) {
        let now_ms = self.clock.now_ms();
        match run.backend.slots.request(run, now_ms) {
            SlotAdmission::Admitted => self.reserve(run),
            SlotAdmission::Queued => {}
            SlotAdmission::Full { retry_after_ms } => {
                self.refuse(run, RefusalReason::Full, "", retry_after_ms);
            }
            SlotAdmission::TooLate { retry_after_ms } => {
                self.refuse(run, RefusalReason::TooLate, "", retry_after_ms);
            }
        }
    }

    /// Handles the admission of a run to a slot: reserves the other stages.
    pub(crate) fn reserve(self: &Arc<Self>, run: &Arc<Run>) {
        {
            let mut state = run.lock();
            if state.phase != Phase::Queued {
                drop(state);
                self.release_run_slot(run);
                return;
            }
            state.phase = Phase::Reserving;
        }
        if run.chain.len() == 1 {
            self.accept(run);
            return;
        }
        match self.existing_links(&run.chain[1..]) {
            Some(links) => self.begin_reserving(run, &links),
            None => {
                let (side, run) = (self.clone(), run.clone());
                self.spawn(async move {
                    match side.connect_links(&run.chain[1..]).await {
                        Ok(links) => side.begin_reserving(&run, &links),
                        Err(backend) => {
                            let reason = RefusalReason::StageUnreachable;
                            side.refuse(&run, reason, &backend, 0);
                        }
                    }
                });
            }
        }
    }

    /// Reserves the first of the later stages. Stages are reserved in the
    /// order of their layers: a request that waits for a stage holds only
    /// earlier stages, which rules out deadlocks between requests.
    fn begin_reserving(self: &Arc<Self>, run: &Arc<Run>, links: &[Link]) {
        {
            let mut state = run.lock();
            if state.phase != Phase::Reserving {
                return;
            }
            state.stages =
                links.iter().map(|l| (l.clone(), l.track_request())).collect();
        }
        self.send_reserve(run, 1);
    }

    fn send_reserve(self: &Arc<Self>, run: &Arc<Run>, index: usize) {
        let now_ms = self.clock.now_ms();
        let message = reserve_message(run, index as u32, now_ms);
        let is_sent = {
            // The lock is held while sending: a concurrent refusal must not
            // send its releases before this reserve message.
            let state = run.lock();
            if state.phase != Phase::Reserving {
                return;
            }
            state.stages[index - 1].0.send(Body::Reserve(message)).is_ok()
        };
        if !is_sent {
            let reason = RefusalReason::StageUnreachable;
            self.refuse(run, reason, &run.chain[index].backend, 0);
        }
    }

    /// Handles the confirmation of a later stage and reserves the next one.
    pub(crate) fn handle_reserved(self: &Arc<Self>, m: &wire::Reserved) {
        let Some(run) = self.current_run(m.request, m.attempt) else {
            return;
        };
        {
            let mut state = run.lock();
            let is_expected = state.phase == Phase::Reserving
                && m.stage_index == state.reserved + 1;
            if !is_expected {
                return;
            }
            state.reserved = m.stage_index;
        }
        let next = m.stage_index as usize + 1;
        if next < run.chain.len() {
            self.send_reserve(&run, next);
        } else {
            self.accept(&run);
        }
    }

    /// Handles the refusal of a later stage. No step has run yet.
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

    /// Starts a request after all stages are reserved.
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
                self.push_first_stage_step(run, 0, input, true);
            }
            Work::PlainCall(_) => self.spawn_plain_call(run),
        }
    }
}

/// Reply to a request that is refused before a run is registered for it.
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

fn shape_of(m: &wire::Run, work: &Work) -> (RequestShape, u64) {
    let (prompt_tokens, output_tokens) = match work {
        Work::Generate(g) => {
            let delivered = g.delivered_tokens.len() as u32;
            let remaining = g.max_tokens.saturating_sub(delivered);
            (g.prompt_tokens_estimate + delivered, remaining)
        }
        Work::PlainCall(_) => (0, 0),
    };
    let shape = RequestShape {
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
    let remaining_ms = run.deadline_at_ms.saturating_sub(now_ms);
    let (model, parameters_json) = match &run.work {
        Work::Generate(g) => {
            // The prompt may be long, so the request is parsed once for all
            // stages.
            let parameters = run
                .parameters_json
                .get_or_init(|| parameters_of(&g.request_json));
            (g.model.clone(), parameters.clone())
        }
        Work::PlainCall(_) => (String::new(), Vec::new()),
    };
    wire::Reserve {
        request: run.wire_id(),
        attempt: run.attempt,
        service: run.service.clone(),
        account: run.account.clone(),
        priority: to_wire_priority(run.shape.priority).into(),
        is_idempotent: run.is_idempotent,
        deadline_ms: remaining_ms.min(u32::MAX.into()) as u32,
        generation: run.generation,
        chain: run.chain.clone(),
        stage_index,
        prompt_tokens_estimate: run.shape.prompt_tokens,
        max_tokens: run.max_tokens(),
        model,
        parameters_json,
    }
}

/// Returns the caller's request without its prompt.
fn parameters_of(request_json: &[u8]) -> Vec<u8> {
    let parsed = serde_json::from_slice::<serde_json::Value>(request_json);
    let Ok(serde_json::Value::Object(mut object)) = parsed else {
        return Vec::new();
    };
    object.remove("messages");
    object.remove("prompt");
    serde_json::to_vec(&object).unwrap_or_default()
}
