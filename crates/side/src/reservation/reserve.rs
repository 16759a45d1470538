//! From the reserve message of the first stage to an admitted reservation.

use std::sync::{Arc, Mutex, atomic::AtomicBool};

use chestnutreach_protocol::{
    Link, RequestId,
    wire::{self, RefusalReason, Stage, frame::Body},
};
use chestnutreach_routing::{
    RequestShape, slot_queue::LATER_STAGE_MAX_WAIT_MS,
};
use chestnutreach_state::{Admission, StepGate};

use super::{Reservation, SlotState, State};
use crate::{
    backend::Backend,
    node::Shared,
    priority::{step_priority, to_priority},
    slot_queue::SlotAdmission,
    target::Target,
};

impl Shared {
    /// Handles a reserve message: creates a reservation or refuses.
    pub(crate) fn handle_reserve(
        self: &Arc<Self>,
        link: &Link,
        m: wire::Reserve,
    ) {
        let (request, attempt) = (m.request, m.attempt);
        let metrics = self.metrics.service(&m.service);
        match self.create_reservation(link, m) {
            Ok(reservation) => self.request_reservation_slot(&reservation),
            Err(refusal) => {
                let reason = refusal.reason;
                metrics.record_attempt_refused(reason.as_str_name());
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

    fn create_reservation(
        self: &Arc<Self>,
        link: &Link,
        m: wire::Reserve,
    ) -> Result<Arc<Reservation>, ReservationRefusal> {
        let index = m.stage_index as usize;
        let (Some(stage), Some(request)) = (m.chain.get(index), m.request)
        else {
            return Err(ReservationRefusal::new(
                RefusalReason::WrongTarget,
                "",
            ));
        };
        let target =
            Target { stage, service: &m.service, account: &m.account };
        let backend = self.find_target(&target).map_err(|reason| {
            let retry_after_ms = self.retry_after_ms(stage, reason);
            ReservationRefusal {
                retry_after_ms,
                ..ReservationRefusal::at(reason, stage)
            }
        })?;
        let id = RequestId::from(request).as_u128();
        self.admit_reservation(&backend, id, &m)
            .map_err(|reason| ReservationRefusal::at(reason, stage))?;
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
            slot: SlotState::Waiting,
            step_gate: StepGate::new(m.attempt, stage.first_layer),
            next_link: None,
            parameters_json: m.parameters_json,
        };
        let reservation = Arc::new(Reservation {
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
            first_stage: link.clone(),
            _busy_guard: link.track_request(),
            is_released: AtomicBool::new(false),
            state: Mutex::new(state),
        });
        self.lock_reservations()
            .insert(reservation.key(), reservation.clone());
        Ok(reservation)
    }

    fn request_reservation_slot(
        self: &Arc<Self>,
        reservation: &Arc<Reservation>,
    ) {
        let now_ms = self.clock.now_ms();
        match reservation
            .backend
            .slots
            .request_later_stage(reservation, now_ms)
        {
            SlotAdmission::Admitted => self.reservation_admitted(reservation),
            SlotAdmission::Queued => {}
            SlotAdmission::Full { retry_after_ms } => {
                let reason = RefusalReason::Full;
                let name = &reservation.stage.backend;
                self.refuse_reservation(
                    reservation,
                    reason,
                    name,
                    retry_after_ms,
                );
            }
            SlotAdmission::TooLate { retry_after_ms } => {
                let reason = RefusalReason::TooLate;
                let name = &reservation.stage.backend;
                self.refuse_reservation(
                    reservation,
                    reason,
                    name,
                    retry_after_ms,
                );
            }
        }
    }

    /// Handles the admission of a reservation to a slot.
    pub(crate) fn reservation_admitted(
        self: &Arc<Self>,
        reservation: &Arc<Reservation>,
    ) {
        let is_admitted = {
            let mut state = reservation.lock();
            let is_waiting = state.slot == SlotState::Waiting;
            if is_waiting {
                state.slot = SlotState::Held;
            }
            is_waiting
        };
        if is_admitted {
            self.connect_next(reservation.clone());
        } else {
            self.release_slot(&reservation.backend, reservation.cost_tokens);
        }
    }

    /// Refuses a reservation that got no slot in time.
    pub(crate) fn refuse_full(
        self: &Arc<Self>,
        reservation: &Arc<Reservation>,
    ) {
        let retry_after_ms = reservation.backend.slots.retry_after_ms();
        let reason = RefusalReason::Full;
        let name = &reservation.stage.backend;
        self.refuse_reservation(reservation, reason, name, retry_after_ms);
    }

    /// Registers the request in the run-once table of the backend server and
    /// releases the reservations of a superseded attempt.
    fn admit_reservation(
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
                self.release_reservations(id, old);
                Ok(())
            }
            Admission::Fenced => Err(RefusalReason::Fenced),
            Admission::AlreadyRun => Err(RefusalReason::AlreadyRun),
            Admission::TableFull => Err(RefusalReason::TableFull),
        }
    }

    /// Connects to the next stage, if there is one, and confirms the
    /// reservation.
    fn connect_next(self: &Arc<Self>, reservation: Arc<Reservation>) {
        let Some(next) = &reservation.next else {
            self.confirm(&reservation);
            return;
        };
        let stages = std::slice::from_ref(next);
        if let Some(links) = self.existing_links(stages) {
            self.set_next_link(&reservation, &links[0]);
            return;
        }
        let side = self.clone();
        self.spawn(async move {
            let Some(next) = reservation.next.clone() else {
                return;
            };
            match side.connect_links(std::slice::from_ref(&next)).await {
                Ok(links) => side.set_next_link(&reservation, &links[0]),
                Err(backend) => {
                    let reason = RefusalReason::StageUnreachable;
                    side.refuse_reservation(&reservation, reason, &backend, 0);
                }
            }
        });
    }

    fn set_next_link(
        self: &Arc<Self>,
        reservation: &Arc<Reservation>,
        link: &Link,
    ) {
        reservation.lock().next_link =
            Some((link.clone(), link.track_request()));
        self.confirm(reservation);
    }

    fn confirm(&self, reservation: &Reservation) {
        let _ = reservation.first_stage.send(Body::Reserved(wire::Reserved {
            request: reservation.wire_id(),
            attempt: reservation.attempt,
            stage_index: reservation.stage_index,
        }));
    }

    pub(crate) fn refuse_reservation(
        self: &Arc<Self>,
        reservation: &Arc<Reservation>,
        reason: RefusalReason,
        backend: &str,
        retry_after_ms: u64,
    ) {
        let _ = reservation.first_stage.send(Body::Refused(wire::Refused {
            request: reservation.wire_id(),
            attempt: reservation.attempt,
            reason: reason.into(),
            backend: backend.to_owned(),
            retry_after_ms: retry_after_ms.min(u32::MAX.into()) as u32,
            load: Some(self.backend_load(&reservation.backend)),
        }));
        self.release_reservation(reservation);
    }
}

/// Why a reservation was refused.
struct ReservationRefusal {
    reason: RefusalReason,
    backend: String,
    retry_after_ms: u64,
}

impl ReservationRefusal {
    fn new(reason: RefusalReason, backend: &str) -> ReservationRefusal {
        let backend = backend.to_owned();
        ReservationRefusal { reason, backend, retry_after_ms: 0 }
    }

    fn at(reason: RefusalReason, stage: &Stage) -> ReservationRefusal {
        ReservationRefusal::new(reason, &stage.backend)
    }
}
