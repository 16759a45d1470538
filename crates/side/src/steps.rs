//! Queue of the steps for an engine, and their batches.
//!
//! Steps of many requests are sent to the engine in one call, since an engine
//! runs a batch in about the time of a single step. A call contains either
//! first steps or single tokens: a first step runs a whole prompt and would
//! delay every token in the same call. The number of concurrent calls with
//! first steps is limited, so that the other calls remain for tokens.
//!
//! An engine starts each iteration with the calls that are pending at that
//! time. A step that waits here for a call to return just misses the start and
//! is delayed by a whole iteration. Therefore more calls run concurrently than
//! the engine has iterations in progress.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use chestnutreach_engine::{EngineError, SequenceStep};
use chestnutreach_protocol::wire::FailureReason;

use crate::{reservation::Reservation, run::Run};

/// Maximum number of concurrent calls with first steps. More calls would fill
/// the engine's iterations with prompts, and every token waits for an
/// iteration.
const MAX_FIRST_STEP_CALLS: usize = 3;

/// The request that a step belongs to.
#[derive(Clone)]
pub(crate) enum Owner {
    /// A request whose first stage runs here.
    Run(Arc<Run>),
    /// A request of which a later stage runs here.
    Reservation(Arc<Reservation>),
}

impl Owner {
    /// Whether the result of the step is still needed.
    pub(crate) fn is_needed(&self) -> bool {
        match self {
            Owner::Run(run) => !run.is_ended(),
            Owner::Reservation(reservation) => !reservation.is_released(),
        }
    }
}

/// A step that waits for a call to its engine.
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
    /// Steps of single tokens, by falling priority and then by arrival.
    token_steps: BTreeMap<(u8, u64), QueuedStep>,
    /// First steps, in the same order.
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
    /// Creates a queue for an engine with `engine_calls` concurrent calls.
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
            state.token_steps.insert(key, step);
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
            // The queue owns both ends of the channel, so the channel never
            // closes.
            let _ = self.wake_receiver.recv().await;
        }
    }

    /// Records the end of a call with first steps.
    pub(crate) fn first_step_call_ended(&self) {
        self.lock().first_step_calls -= 1;
        let _ = self.wake_sender.try_send(());
    }

    fn take(&self, limit: usize) -> Option<Batch> {
        let mut state = self.lock();
        let is_first = state.token_steps.is_empty();
        if is_first && state.first_step_calls >= self.max_first_step_calls {
            return None;
        }
        let queue = if is_first {
            &mut state.first_steps
        } else {
            &mut state.token_steps
        };
        let mut steps = Vec::new();
        while steps.len() < limit
            && let Some((_, step)) = queue.pop_first()
        {
            if step.owner.is_needed() {
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

/// Failure reason of a request whose step got no result from the engine.
pub(crate) fn failure_reason(error: &EngineError) -> FailureReason {
    match error {
        EngineError::Timeout(..) => FailureReason::BackendSilent,
        _ if error.cooldown().is_some() => FailureReason::AtRest,
        _ => FailureReason::BackendError,
    }
}
