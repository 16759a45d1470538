//! A request whose later stage is here.
//!
//! The first stage's process reserves a place, for which the request may wait
//! a while; the stage before sends the steps, and each is taken only in its
//! order. A place is freed by a release from the first stage, or when the
//! connection to it is lost.
//!
//! | module | what it holds |
//! |---|---|
//! | `reserve` | from the first stage's frame to a held place |
//! | `steps` | steps through this stage |
//! | `release` | the ends of a place |

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
    pub(crate) shape: RequestShape,
    pub(crate) cost_tokens: u64,
    pub(crate) wait_until_ms: u64,
    pub(crate) deadline_at_ms: u64,
    pub(crate) backend: Arc<Backend>,
    first: Link,
    _first_guard: RequestGuard,
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
    next_link: Option<(Link, RequestGuard)>,
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
