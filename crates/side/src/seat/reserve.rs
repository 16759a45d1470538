//! From the first stage's frame to a held place.

use std::sync::{Arc, Mutex, atomic::AtomicBool};

use chestnutreach_protocol::{
    Link, RequestId,
    wire::{self, RefusalReason, Stage, frame::Body},
};
use chestnutreach_routing::{
    RequestShape, slot_queue::LATER_STAGE_MAX_WAIT_MS,
};
use chestnutreach_state::{Admission, StepGate};

use super::{Place, Seat, State};
use crate::{
    backend::Backend,
    gate::SlotAdmission,
    node::Shared,
    priority::{step_priority, to_priority},
    target::Target,
};

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
            let retry_after_ms = self.retry_after_ms(stage, reason);
            SeatRefusal { retry_after_ms, ..SeatRefusal::at(reason, stage) }
        })?;
        let id = RequestId::from(request).as_u128();
        self.admit_seat(&backend, id, &m)
            .map_err(|reason| SeatRefusal::at(reason, stage))?;
        let cost_tokens =
            u64::from(m.prompt_tokens_estimate) + u64::from(m.max_tokens);
        let priority = to_priority(m.priority());
        let shape = RequestShape {
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
            wait_until_ms: deadline_at_ms
                .min(now_ms + LATER_STAGE_MAX_WAIT_MS),
            deadline_at_ms,
            backend,
            first: link.clone(),
            _first_guard: link.track_request(),
            is_released: AtomicBool::new(false),
            state: Mutex::new(state),
        });
        self.lock_seats().insert(seat.key(), seat.clone());
        Ok(seat)
    }

    fn offer_seat(self: &Arc<Self>, seat: &Arc<Seat>) {
        let now_ms = self.clock.now_ms();
        match seat.backend.gate.offer_later(seat, now_ms) {
            SlotAdmission::Admitted => self.seat_placed(seat),
            SlotAdmission::Queued => {}
            SlotAdmission::Full { retry_after_ms } => {
                let reason = RefusalReason::Full;
                let name = &seat.stage.backend;
                self.refuse_seat(seat, reason, name, retry_after_ms);
            }
            SlotAdmission::TooLate { retry_after_ms } => {
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
        seat.lock().next_link = Some((link.clone(), link.track_request()));
        self.confirm(seat);
    }

    fn confirm(&self, seat: &Seat) {
        let _ = seat.first.send(Body::Reserved(wire::Reserved {
            request: seat.wire_id(),
            attempt: seat.attempt,
            stage_index: seat.stage_index,
        }));
    }

    pub(crate) fn refuse_seat(
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
