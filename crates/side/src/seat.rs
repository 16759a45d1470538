//! A request whose later stage is here.
//!
//! The first stage's process reserves a place, for which the request may wait
//! a while; the stage before sends the steps, and each is taken only in its
//! order. A place is freed by a release from the first stage, or when the
//! connection to it is lost.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicBool, Ordering},
};

use chestnutreach_engine::{
    EngineError, SequenceError, SequenceId, SequenceOutput, SequenceStep,
    StepInput, StepOutput,
};
use chestnutreach_protocol::{
    Link, RequestId,
    link::BusyGuard,
    wire::{
        self, FailureReason, FinishReason, RefusalReason, Stage, StepFailed,
        frame::Body,
    },
};
use chestnutreach_routing::{Shape, gate::LATER_WAIT_LIMIT_MS};
use chestnutreach_state::{Admission, StepGate, StepRefusal};
use chestnutreach_telemetry::{Event, emit};

use crate::{
    backend::Backend,
    gate::Offer,
    node::{Shared, Target},
    priority::{step_priority, to_priority},
    steps::{Owner, QueuedStep},
};

/// A place held for one attempt of a request.
pub(crate) struct Seat {
    pub(crate) request: u128,
    pub(crate) attempt: u32,
    stage_index: u32,
    pub(crate) stage_count: u32,
    stage: Stage,
    next: Option<Stage>,
    priority: u8,
    pub(crate) account: String,
    pub(crate) shape: Shape,
    pub(crate) cost_tokens: u64,
    pub(crate) wait_until_ms: u64,
    pub(crate) deadline_at_ms: u64,
    pub(crate) backend: Arc<Backend>,
    first: Link,
    _first_guard: BusyGuard,
    is_released: AtomicBool,
    state: Mutex<State>,
}

/// Where a seat stands with its backend server's gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    /// Waits for a place.
    Waiting,
    /// Holds one.
    Held,
    /// Wants none any more.
    Freed,
}

struct State {
    place: Place,
    gate: StepGate,
    next_link: Option<(Link, BusyGuard)>,
    /// Sampling settings, handed to the engine with the first step.
    parameters_json: Vec<u8>,
}

impl Seat {
    pub(crate) fn is_released(&self) -> bool {
        self.is_released.load(Ordering::Acquire)
    }

    /// Whether it waits for a place.
    pub(crate) fn is_waiting(&self) -> bool {
        self.lock().place == Place::Waiting
    }

    /// Whether the place is of no use once this link is lost.
    pub(crate) fn is_held_by(&self, link: &Link) -> bool {
        self.first.id() == link.id()
    }

    /// Whether steps leave over this link.
    pub(crate) fn sends_over(&self, link: &Link) -> bool {
        let state = self.lock();
        state.next_link.as_ref().is_some_and(|(l, _)| l.id() == link.id())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn wire_id(&self) -> Option<wire::RequestId> {
        Some(RequestId::from_u128(self.request).into())
    }

    fn sequence(&self) -> SequenceId {
        SequenceId { request: self.request, attempt: self.attempt }
    }

    fn key(&self) -> (u128, u32) {
        (self.request, self.stage.first_layer)
    }
}

impl Shared {
    /// Holds a place for a later stage, or refuses.
    pub(crate) fn handle_reserve(
        self: &Arc<Self>,
        link: &Link,
        m: wire::Reserve,
    ) {
        let (request, attempt) = (m.request, m.attempt);
        let metrics = self.metrics.service(&m.service);
        match self.try_seat(link, m) {
            Ok(seat) => self.offer_seat(&seat),
            Err(refusal) => {
                let reason = refusal.reason;
                metrics.attempt_refused(reason.as_str_name());
                let _ = link.send(Body::Refused(wire::Refused {
                    request,
                    attempt,
                    reason: reason.into(),
                    backend: refusal.backend,
                    retry_after_ms: refusal.retry_after_ms as u32,
                    load: None,
                }));
            }
        }
    }

    fn try_seat(
        self: &Arc<Self>,
        link: &Link,
        m: wire::Reserve,
    ) -> Result<Arc<Seat>, SeatRefusal> {
        let index = m.stage_index as usize;
        let (Some(stage), Some(request)) = (m.chain.get(index), m.request)
        else {
            return Err(SeatRefusal::new(RefusalReason::WrongTarget, ""));
        };
        let target =
            Target { stage, service: &m.service, account: &m.account };
        let backend = self.find_target(&target).map_err(|reason| {
            let retry_after_ms = self.retry_after_ms(reason);
            SeatRefusal { retry_after_ms, ..SeatRefusal::at(reason, stage) }
        })?;
        let id = RequestId::from(request).as_u128();
        self.admit_seat(&backend, id, &m)
            .map_err(|reason| SeatRefusal::at(reason, stage))?;
        let cost_tokens =
            u64::from(m.prompt_tokens_estimate) + u64::from(m.max_tokens);
        let priority = to_priority(m.priority());
        let shape = Shape {
            prompt_tokens: m.prompt_tokens_estimate,
            output_tokens: m.max_tokens,
            deadline_ms: u64::from(m.deadline_ms),
            priority,
            prefix: None,
        };
        let now_ms = self.clock.now_ms();
        let deadline_at_ms = now_ms + shape.deadline_ms;
        let state = State {
            place: Place::Waiting,
            gate: StepGate::new(m.attempt, stage.first_layer),
            next_link: None,
            parameters_json: m.parameters_json,
        };
        let seat = Arc::new(Seat {
            request: id,
            attempt: m.attempt,
            stage_index: m.stage_index,
            stage_count: m.chain.len() as u32,
            stage: stage.clone(),
            next: m.chain.get(index + 1).cloned(),
            priority: step_priority(priority),
            account: m.account,
            shape,
            cost_tokens,
            wait_until_ms: deadline_at_ms.min(now_ms + LATER_WAIT_LIMIT_MS),
            deadline_at_ms,
            backend,
            first: link.clone(),
            _first_guard: link.busy(),
            is_released: AtomicBool::new(false),
            state: Mutex::new(state),
        });
        self.lock_seats().insert(seat.key(), seat.clone());
        Ok(seat)
    }

    fn offer_seat(self: &Arc<Self>, seat: &Arc<Seat>) {
        let now_ms = self.clock.now_ms();
        match seat.backend.gate.offer_later(seat, now_ms) {
            Offer::Admitted => self.seat_placed(seat),
            Offer::Queued => {}
            Offer::Full { retry_after_ms } => {
                let reason = RefusalReason::Full;
                let name = &seat.stage.backend;
                self.refuse_seat(seat, reason, name, retry_after_ms);
            }
            Offer::TooLate { retry_after_ms } => {
                let reason = RefusalReason::TooLate;
                let name = &seat.stage.backend;
                self.refuse_seat(seat, reason, name, retry_after_ms);
            }
        }
    }

    /// A place has been taken for a seat.
    pub(crate) fn seat_placed(self: &Arc<Self>, seat: &Arc<Seat>) {
        let is_wanted = {
            let mut state = seat.lock();
            let is_waiting = state.place == Place::Waiting;
            if is_waiting {
                state.place = Place::Held;
            }
            is_waiting
        };
        if is_wanted {
            self.connect_next(seat.clone());
        } else {
            self.free_place(&seat.backend, seat.cost_tokens);
        }
    }

    /// No place came free for a seat in its time.
    pub(crate) fn refuse_full(self: &Arc<Self>, seat: &Arc<Seat>) {
        let retry_after_ms = seat.backend.gate.retry_after_ms();
        let reason = RefusalReason::Full;
        let name = &seat.stage.backend;
        self.refuse_seat(seat, reason, name, retry_after_ms);
    }

    /// Passes the run-once table of the backend server.
    fn admit_seat(
        self: &Arc<Self>,
        backend: &Arc<Backend>,
        id: u128,
        m: &wire::Reserve,
    ) -> Result<(), RefusalReason> {
        let now_ms = self.clock.now_ms();
        let admission =
            backend.table().admit(id, m.attempt, m.is_idempotent, now_ms);
        match admission {
            Admission::Run { superseded: None } => Ok(()),
            Admission::Run { superseded: Some(old) } => {
                self.release_seats(id, old);
                Ok(())
            }
            Admission::Fenced => Err(RefusalReason::Fenced),
            Admission::AlreadyRun => Err(RefusalReason::AlreadyRun),
            Admission::TableFull => Err(RefusalReason::TableFull),
        }
    }

    /// Connects to the next stage if there is one, then confirms.
    fn connect_next(self: &Arc<Self>, seat: Arc<Seat>) {
        let Some(next) = &seat.next else {
            self.confirm(&seat);
            return;
        };
        let stages = std::slice::from_ref(next);
        if let Some(links) = self.existing_links(stages) {
            self.set_next(&seat, &links[0]);
            return;
        }
        let side = self.clone();
        self.spawn(async move {
            let Some(next) = seat.next.clone() else {
                return;
            };
            match side.dial_links(std::slice::from_ref(&next)).await {
                Ok(links) => side.set_next(&seat, &links[0]),
                Err(backend) => {
                    let reason = RefusalReason::StageUnreachable;
                    side.refuse_seat(&seat, reason, &backend, 0);
                }
            }
        });
    }

    fn set_next(self: &Arc<Self>, seat: &Arc<Seat>, link: &Link) {
        seat.lock().next_link = Some((link.clone(), link.busy()));
        self.confirm(seat);
    }

    fn confirm(&self, seat: &Seat) {
        let _ = seat.first.send(Body::Reserved(wire::Reserved {
            request: seat.wire_id(),
            attempt: seat.attempt,
            stage_index: seat.stage_index,
        }));
    }

    fn refuse_seat(
        self: &Arc<Self>,
        seat: &Arc<Seat>,
        reason: RefusalReason,
        backend: &str,
        retry_after_ms: u64,
    ) {
        let _ = seat.first.send(Body::Refused(wire::Refused {
            request: seat.wire_id(),
            attempt: seat.attempt,
            reason: reason.into(),
            backend: backend.to_owned(),
            retry_after_ms: retry_after_ms.min(u32::MAX.into()) as u32,
            load: Some(self.backend_load(&seat.backend)),
        }));
        self.release_seat(seat);
    }

    /// Takes a step from the stage before.
    pub(crate) fn handle_step(self: &Arc<Self>, m: wire::Step) {
        let id = m.request.map_or(0, |id| RequestId::from(id).as_u128());
        let seat = self.lock_seats().get(&(id, m.first_layer)).cloned();
        let Some(seat) = seat else {
            self.note_refused_step("no_reservation");
            return;
        };
        let (taken, is_first, parameters_json) = {
            let mut state = seat.lock();
            let is_first = state.gate.next_position() == 0;
            let taken =
                state.gate.take(m.attempt, m.first_layer, m.position, m.span);
            let parameters = if taken.is_ok() {
                std::mem::take(&mut state.parameters_json)
            } else {
                Vec::new()
            };
            (taken, is_first, parameters)
        };
        if let Err(refusal) = taken {
            self.note_refused_step(refusal.as_str());
            if refusal == StepRefusal::Gap {
                let detail = format!("position {} after a gap", m.position);
                let reason = FailureReason::Sequence;
                self.fail_seat(&seat, reason, &seat.stage.backend, &detail);
            }
            return;
        }
        if is_first && !seat.backend.table().begin(id, m.attempt) {
            self.note_refused_step("fenced");
            return;
        }
        let step = SequenceStep {
            sequence: seat.sequence(),
            position: m.position,
            priority: seat.priority,
            input: StepInput::Activation { span: m.span, bytes: m.activation },
            parameters_json,
        };
        let owner = Owner::Seat(seat.clone());
        seat.backend.steps.push(QueuedStep { owner, step, is_first });
    }

    /// The engine has answered a step of a later stage.
    pub(crate) fn seat_step_done(
        self: &Arc<Self>,
        seat: &Arc<Seat>,
        position: u32,
        result: Result<SequenceOutput, SequenceError>,
    ) {
        if seat.is_released() {
            return;
        }
        let output = match result {
            Ok(output) => output,
            Err(e) => {
                let reason = FailureReason::BackendError;
                let detail = format!("{e:?}");
                self.fail_seat(seat, reason, &seat.stage.backend, &detail);
                return;
            }
        };
        match output.output {
            StepOutput::Activation(activation) => {
                self.send_next(seat, position, output.span, activation);
            }
            StepOutput::Token { token, text, is_stop } => {
                let finish = if is_stop {
                    FinishReason::Stop
                } else {
                    FinishReason::Unspecified
                };
                let result = wire::StepResult {
                    request: seat.wire_id(),
                    attempt: seat.attempt,
                    position: position + output.span,
                    token,
                    text,
                    finish: finish.into(),
                };
                let _ = seat.first.send(Body::StepResult(result));
            }
        }
    }

    fn send_next(
        self: &Arc<Self>,
        seat: &Arc<Seat>,
        position: u32,
        span: u32,
        activation: Vec<u8>,
    ) {
        let state = seat.lock();
        let Some((link, _)) = &state.next_link else {
            drop(state);
            let detail = "no token from the last stage";
            let reason = FailureReason::Sequence;
            self.fail_seat(seat, reason, &seat.stage.backend, detail);
            return;
        };
        let message = wire::Step {
            request: seat.wire_id(),
            attempt: seat.attempt,
            position,
            span,
            first_layer: seat.stage.end_layer,
            activation,
        };
        // A lost link is noticed by its close.
        let _ = link.send(Body::Step(message));
    }

    /// The engine gave no answer to a step of a later stage.
    pub(crate) fn seat_step_lost(
        self: &Arc<Self>,
        seat: &Arc<Seat>,
        error: &EngineError,
    ) {
        let reason = match error {
            EngineError::Timeout(..) => FailureReason::BackendSilent,
            _ => FailureReason::BackendError,
        };
        let detail = error.to_string();
        self.fail_seat(seat, reason, &seat.stage.backend, &detail);
    }

    /// The link to the next stage was lost.
    pub(crate) fn seat_next_lost(self: &Arc<Self>, seat: &Arc<Seat>) {
        let backend = seat.next.as_ref().map_or("", |next| &next.backend);
        let detail = "the connection to the next stage was lost";
        self.fail_seat(seat, FailureReason::StageLost, backend, detail);
    }

    /// The process stops and gives no seat more time.
    pub(crate) fn cut_seats(self: &Arc<Self>, detail: &str) {
        let seats: Vec<Arc<Seat>> =
            self.lock_seats().values().cloned().collect();
        for seat in seats {
            let backend = &seat.stage.backend;
            self.fail_seat(&seat, FailureReason::Stopped, backend, detail);
        }
    }

    /// Tells the first stage that this one cannot go on, and frees the place.
    fn fail_seat(
        self: &Arc<Self>,
        seat: &Arc<Seat>,
        reason: FailureReason,
        backend: &str,
        detail: &str,
    ) {
        if seat.is_released() {
            return;
        }
        emit(
            Event::AttemptFailed,
            &[
                ("request", &RequestId::from_u128(seat.request)),
                ("attempt", &seat.attempt),
                ("reason", &reason.as_str_name()),
                ("backend", &backend),
                ("detail", &detail),
            ],
        );
        let _ = seat.first.send(Body::StepFailed(StepFailed {
            request: seat.wire_id(),
            attempt: seat.attempt,
            reason: reason.into(),
            backend: backend.to_owned(),
            detail: detail.to_owned(),
        }));
        self.release_seat(seat);
    }

    /// Frees the places of a request for every attempt up to this one.
    pub(crate) fn release_seats(self: &Arc<Self>, id: u128, attempt: u32) {
        let held: Vec<Arc<Seat>> = self
            .lock_seats()
            .range((id, 0)..=(id, u32::MAX))
            .map(|(_, seat)| seat.clone())
            .filter(|seat| seat.attempt <= attempt)
            .collect();
        for seat in held {
            self.release_seat(&seat);
        }
    }

    /// Frees one place.
    pub(crate) fn release_seat(self: &Arc<Self>, seat: &Arc<Seat>) {
        if seat.is_released.swap(true, Ordering::AcqRel) {
            return;
        }
        let now_ms = self.clock.now_ms();
        {
            let mut seats = self.lock_seats();
            let is_current = seats
                .get(&seat.key())
                .is_some_and(|held| Arc::ptr_eq(held, seat));
            if is_current {
                seats.remove(&seat.key());
            }
        }
        // Whether the request was whole is the first stage's to know; here
        // it only counts that it began.
        seat.backend.table().fail(seat.request, seat.attempt, now_ms);
        let place = {
            let mut state = seat.lock();
            state.next_link = None;
            std::mem::replace(&mut state.place, Place::Freed)
        };
        seat.backend.release_sequence(seat.sequence());
        match place {
            Place::Held => self.free_place(&seat.backend, seat.cost_tokens),
            Place::Waiting => seat.backend.gate.remove_seat(seat),
            Place::Freed => {}
        }
    }
}

/// Why no place is held.
struct SeatRefusal {
    reason: RefusalReason,
    backend: String,
    retry_after_ms: u64,
}

impl SeatRefusal {
    fn new(reason: RefusalReason, backend: &str) -> SeatRefusal {
        let backend = backend.to_owned();
        SeatRefusal { reason, backend, retry_after_ms: 0 }
    }

    fn at(reason: RefusalReason, stage: &Stage) -> SeatRefusal {
        SeatRefusal::new(reason, &stage.backend)
    }
}
