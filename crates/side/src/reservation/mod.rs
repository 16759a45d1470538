//! Requests of which a later stage runs here.
//!
//! The process of the first stage reserves a slot, for which the reservation
//! may wait a limited time. The previous stage sends the steps, which are
//! accepted only in order. A release message from the first stage, or the loss
//! of the link to the first stage, ends the reservation.
//!
//! | module | contents |
//! |---|---|
//! | `reserve` | from the reserve message to an admitted reservation |
//! | `steps` | steps through this stage |
//! | `release` | failure and release of reservations |

mod release;
mod reserve;
mod steps;

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicBool, Ordering},
};

use chestnutreach_engine::SequenceId;
use chestnutreach_protocol::{
    Link, RequestId,
    link::RequestGuard,
    wire::{self, Stage},
};
use chestnutreach_routing::RequestShape;
use chestnutreach_state::StepGate;

use crate::backend::Backend;

/// A slot that is held or requested for one attempt of a request.
pub(crate) struct Reservation {
    pub(crate) request: u128,
    pub(crate) attempt: u32,
    stage_index: u32,
    pub(crate) stage_count: u32,
    stage: Stage,
    next: Option<Stage>,
    priority: u8,
    pub(crate) account: String,
    pub(crate) shape: RequestShape,
    pub(crate) cost_tokens: u64,
    pub(crate) wait_until_ms: u64,
    pub(crate) deadline_at_ms: u64,
    pub(crate) backend: Arc<Backend>,
    first_stage: Link,
    _busy_guard: RequestGuard,
    is_released: AtomicBool,
    state: Mutex<State>,
}

/// State of a reservation in the slot queue of its backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SlotState {
    /// Waits for a slot.
    Waiting,
    /// Holds a slot.
    Held,
    /// Needs no slot any more.
    Released,
}

struct State {
    slot: SlotState,
    step_gate: StepGate,
    next_link: Option<(Link, RequestGuard)>,
    /// Sampling parameters, sent to the engine with the first step.
    parameters_json: Vec<u8>,
}

impl Reservation {
    pub(crate) fn is_released(&self) -> bool {
        self.is_released.load(Ordering::Acquire)
    }

    /// Whether the reservation waits for a slot.
    pub(crate) fn is_waiting(&self) -> bool {
        self.lock().slot == SlotState::Waiting
    }

    /// Whether the first stage is connected over this link. The reservation is
    /// useless once the link is lost.
    pub(crate) fn is_requested_over(&self, link: &Link) -> bool {
        self.first_stage.id() == link.id()
    }

    /// Whether steps are forwarded over this link.
    pub(crate) fn forwards_over(&self, link: &Link) -> bool {
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
