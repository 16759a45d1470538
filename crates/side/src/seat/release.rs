//! The ends of a place.

use std::sync::{Arc, atomic::Ordering};

use chestnutreach_protocol::{
    RequestId,
    wire::{FailureReason, StepFailed, frame::Body},
};
use chestnutreach_telemetry::{Event, emit};

use super::{Place, Seat};
use crate::node::Shared;

impl Shared {
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
    pub(super) fn fail_seat(
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
