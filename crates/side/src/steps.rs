//! Steps that wait for an engine, and the calls that run them.
//!
//! Steps of many requests go to the engine in one call, since an engine runs
//! a batch in about the time of one. A call holds either first steps or
//! single tokens: a first step runs a whole prompt and would hold up every
//! token behind it. Few calls are first steps, the rest is left for tokens.
//!
//! An engine begins its next iteration with the calls that wait there. A
//! step that waits here for a call to return misses it by an instant and is
//! late by a whole iteration, so there are more calls than an engine has
//! iterations under way.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use chestnutreach_engine::{EngineError, SequenceStep};
use chestnutreach_protocol::wire::FailureReason;

use crate::{reservation::Reservation, run::Run};

/// Calls with first steps at once. More would fill the engine's iterations
/// with prompts, and each iteration is a token's wait.
const MAX_FIRST_STEP_CALLS: usize = 3;

/// Whose step it is.
#[derive(Clone)]
pub(crate) enum Owner {
    /// A request whose first stage is here.
    Run(Arc<Run>),
    /// A request whose later stage is here.
    Reservation(Arc<Reservation>),
}

impl Owner {
    /// Whether the step would still be used.
    pub(crate) fn is_wanted(&self) -> bool {
        match self {
            Owner::Run(run) => !run.is_ended(),
            Owner::Reservation(reservation) => !reservation.is_released(),
        }
    }
}

/// A step that waits for its engine.
pub(crate) struct QueuedStep {
    pub(crate) owner: Owner,
    pub(crate) step: SequenceStep,
    pub(crate) is_first: bool,
}

/// The waiting steps of one engine.
pub(crate) struct StepQueue {
    state: Mutex<State>,
    wake_sender: async_channel::Sender<()>,
    wake_receiver: async_channel::Receiver<()>,
    max_first_step_calls: usize,
}

#[derive(Default)]
struct State {
    /// By falling priority and then by arrival.
    tokens: BTreeMap<(u8, u64), QueuedStep>,
    first_steps: BTreeMap<(u8, u64), QueuedStep>,
    next_number: u64,
    first_step_calls: usize,
}

/// Steps for one call to the engine.
pub(crate) struct Batch {
    pub(crate) steps: Vec<QueuedStep>,
    pub(crate) is_first: bool,
}

impl StepQueue {
    /// A queue for an engine that takes `engine_calls` calls at once.
    pub(crate) fn new(engine_calls: usize) -> StepQueue {
        let (wake_sender, wake_receiver) = async_channel::unbounded();
        StepQueue {
            state: Mutex::default(),
            wake_sender,
            wake_receiver,
            max_first_step_calls: engine_calls
                .saturating_sub(1)
                .clamp(1, MAX_FIRST_STEP_CALLS),
        }
    }

    /// Adds a step.
    pub(crate) fn push(&self, step: QueuedStep) {
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        let key = (u8::MAX - step.step.priority, number);
        if step.is_first {
            state.first_steps.insert(key, step);
        } else {
            state.tokens.insert(key, step);
        }
        drop(state);
        let _ = self.wake_sender.try_send(());
    }

    /// Waits for steps and takes up to `limit` of them.
    pub(crate) async fn next(&self, limit: usize) -> Batch {
        loop {
            if let Some(batch) = self.take(limit) {
                return batch;
            }
            // The queue holds both ends of the channel, so it cannot close.
            let _ = self.wake_receiver.recv().await;
        }
    }

    /// Says that a call with first steps has ended.
    pub(crate) fn first_step_call_ended(&self) {
        self.lock().first_step_calls -= 1;
        let _ = self.wake_sender.try_send(());
    }

    fn take(&self, limit: usize) -> Option<Batch> {
        let mut state = self.lock();
        let is_first = state.tokens.is_empty();
        if is_first && state.first_step_calls >= self.max_first_step_calls {
            return None;
        }
        let queue =
            if is_first { &mut state.first_steps } else { &mut state.tokens };
        let mut steps = Vec::new();
        while steps.len() < limit
            && let Some((_, step)) = queue.pop_first()
        {
            if step.owner.is_wanted() {
                steps.push(step);
            }
        }
        if steps.is_empty() {
            return None;
        }
        if is_first {
            state.first_step_calls += 1;
        }
        Some(Batch { steps, is_first })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Why a request cannot go on whose step an engine did not run.
pub(crate) fn failure_reason(error: &EngineError) -> FailureReason {
    match error {
        EngineError::Timeout(..) => FailureReason::BackendSilent,
        _ if error.cooldown().is_some() => FailureReason::AtRest,
        _ => FailureReason::BackendError,
    }
}
