//! Failure and release of reservations.

use std::sync::{Arc, atomic::Ordering};

use chestnutreach_protocol::{
    RequestId,
    wire::{FailureReason, StepFailed, frame::Body},
};
use chestnutreach_telemetry::{Event, emit};

use super::{Reservation, SlotState};
use crate::node::Shared;

impl Shared {
    /// Fails a reservation whose link to the next stage was lost.
    pub(crate) fn next_stage_lost(
        self: &Arc<Self>,
        reservation: &Arc<Reservation>,
    ) {
        let backend =
            reservation.next.as_ref().map_or("", |next| &next.backend);
        let detail = "the connection to the next stage was lost";
        self.fail_reservation(
            reservation,
            FailureReason::StageLost,
            backend,
            detail,
        );
    }

    /// Fails all reservations when the process stops.
    pub(crate) fn abort_reservations(self: &Arc<Self>, detail: &str) {
        let reservations: Vec<Arc<Reservation>> =
            self.lock_reservations().values().cloned().collect();
        for reservation in reservations {
            let backend = &reservation.stage.backend;
            self.fail_reservation(
                &reservation,
                FailureReason::Stopped,
                backend,
                detail,
            );
        }
    }

    /// Reports a failure to the first stage and releases the reservation.
    pub(super) fn fail_reservation(
        self: &Arc<Self>,
        reservation: &Arc<Reservation>,
        reason: FailureReason,
        backend: &str,
        detail: &str,
    ) {
        if reservation.is_released() {
            return;
        }
        emit(
            Event::AttemptFailed,
            &[
                ("request", &RequestId::from_u128(reservation.request)),
                ("attempt", &reservation.attempt),
                ("reason", &reason.as_str_name()),
                ("backend", &backend),
                ("detail", &detail),
            ],
        );
        let _ = reservation.first_stage.send(Body::StepFailed(StepFailed {
            request: reservation.wire_id(),
            attempt: reservation.attempt,
            reason: reason.into(),
            backend: backend.to_owned(),
            detail: detail.to_owned(),
        }));
        self.release_reservation(reservation);
    }

    /// Releases the reservations of a request for every attempt up to
    /// `attempt`.
    pub(crate) fn release_reservations(
        self: &Arc<Self>,
        id: u128,
        attempt: u32,
    ) {
        let held: Vec<Arc<Reservation>> = self
            .lock_reservations()
            .range((id, 0)..=(id, u32::MAX))
            .map(|(_, reservation)| reservation.clone())
            .filter(|reservation| reservation.attempt <= attempt)
            .collect();
        for reservation in held {
            self.release_reservation(&reservation);
        }
    }

    /// Releases a reservation and its slot.
    pub(crate) fn release_reservation(
        self: &Arc<Self>,
        reservation: &Arc<Reservation>,
    ) {
        if reservation.is_released.swap(true, Ordering::AcqRel) {
            return;
        }
        let now_ms = self.clock.now_ms();
        {
            let mut reservations = self.lock_reservations();
            let is_current = reservations
                .get(&reservation.key())
                .is_some_and(|held| Arc::ptr_eq(held, reservation));
            if is_current {
                reservations.remove(&reservation.key());
            }
        }
        // Only the first stage knows whether the request has finished. This
        // table only needs to know that the request has begun.
        reservation.backend.table().fail(
            reservation.request,
            reservation.attempt,
            now_ms,
        );
        let slot = {
            let mut state = reservation.lock();
            state.next_link = None;
            std::mem::replace(&mut state.slot, SlotState::Released)
        };
        reservation.backend.release_sequence(reservation.sequence());
        match slot {
            SlotState::Held => self
                .release_slot(&reservation.backend, reservation.cost_tokens),
            SlotState::Waiting => {
                reservation.backend.slots.remove_reservation(reservation)
            }
            SlotState::Released => {}
        }
    }
}
