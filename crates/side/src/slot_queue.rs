//! Slots of a backend server, and the queue of requests that wait for them.
//!
//! The decisions are those of [`chestnutreach_routing::slot_queue`]; this
//! module adds a lock.

use std::sync::{Arc, Mutex, MutexGuard};

use chestnutreach_routing::slot_queue::{self, SlotQueueLoad, SlotRequest};
pub(crate) use chestnutreach_routing::slot_queue::{
    ServerCapacity, SlotAdmission,
};

use crate::{reservation::Reservation, run::Run};

/// A request that waits for a slot.
#[derive(Clone)]
pub(crate) enum Waiting {
    /// The first stage of the request runs here.
    Run(Arc<Run>),
    /// A later stage of the request runs here.
    Reservation(Arc<Reservation>),
}

/// Slots and queue of one backend server.
pub(crate) struct SlotQueue {
    inner: Mutex<slot_queue::SlotQueue<Waiting>>,
}

impl SlotQueue {
    /// Creates a queue without slots; see [`SlotQueue::set_capacity`].
    pub(crate) fn new(queue_limit_tokens: u64) -> SlotQueue {
        SlotQueue {
            inner: Mutex::new(slot_queue::SlotQueue::new(queue_limit_tokens)),
        }
    }

    /// Sets the number of slots and the initial speed.
    pub(crate) fn set_capacity(&self, capacity: ServerCapacity) {
        self.lock().set_capacity(capacity);
    }

    /// Sets the weight of a client account.
    pub(crate) fn set_weight(&self, account: &str, weight: u32) {
        self.lock().set_weight(account, weight);
    }

    /// Requests a slot for a run: admits, queues or refuses the run.
    pub(crate) fn request(
        &self,
        run: &Arc<Run>,
        now_ms: u64,
    ) -> SlotAdmission {
        let request = SlotRequest {
            account: &run.account,
            shape: &run.shape,
            cost_tokens: run.cost_tokens,
            deadline_at_ms: run.deadline_at_ms,
            stage_count: run.chain.len() as u32,
        };
        let mut rng = fastrand::Rng::new();
        let item = Waiting::Run(run.clone());
        self.lock().request(&request, item, now_ms, &mut rng)
    }

    /// Requests a slot for a later stage. The reservation is refused if the
    /// wait would be long.
    pub(crate) fn request_later_stage(
        &self,
        reservation: &Arc<Reservation>,
        now_ms: u64,
    ) -> SlotAdmission {
        let request = SlotRequest {
            account: &reservation.account,
            shape: &reservation.shape,
            cost_tokens: reservation.cost_tokens,
            deadline_at_ms: reservation.deadline_at_ms,
            stage_count: reservation.stage_count,
        };
        let mut rng = fastrand::Rng::new();
        let item = Waiting::Reservation(reservation.clone());
        self.lock().request_later_stage(&request, item, now_ms, &mut rng)
    }

    /// Time after which a refused caller should retry.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        self.lock().retry_after_ms(&mut fastrand::Rng::new())
    }

    /// Releases a slot and returns the next request to admit, if any.
    pub(crate) fn release(
        &self,
        cost_tokens: u64,
        now_ms: u64,
    ) -> Option<Waiting> {
        self.lock().release(cost_tokens, now_ms)
    }

    /// Removes a run from the queue.
    pub(crate) fn remove_run(&self, run: &Run) {
        self.lock().remove(|queued| {
            matches!(queued, Waiting::Run(r) if std::ptr::eq(&**r, run))
        });
    }

    /// Removes a reservation from the queue.
    pub(crate) fn remove_reservation(&self, reservation: &Reservation) {
        self.lock().remove(|queued| {
            matches!(
                queued,
                Waiting::Reservation(r) if std::ptr::eq(&**r, reservation)
            )
        });
    }

    /// Removes all requests from the queue.
    pub(crate) fn remove_all(&self) -> Vec<Waiting> {
        self.lock().remove(|_| true)
    }

    /// Removes the requests whose deadline has passed.
    pub(crate) fn remove_expired(&self, now_ms: u64) -> Vec<Waiting> {
        self.lock().expire(now_ms)
    }

    /// Learns the prefill speed from a call with first steps: `longest` is the
    /// largest number of tokens of a step, `tokens` the sum.
    pub(crate) fn learn_prompt(&self, longest: u32, tokens: u64, ms: f64) {
        self.lock().learn_prompt(longest, tokens, ms);
    }

    /// Learns the speed of output tokens from a call that ran one token of
    /// each of `batch` requests.
    pub(crate) fn learn_step(&self, batch: u32, ms: f64) {
        self.lock().learn_step(batch, ms);
    }

    /// Charges an account for the difference between used and estimated
    /// tokens.
    pub(crate) fn charge(&self, account: &str, tokens: i64) {
        self.lock().charge(account, tokens);
    }

    /// Current load.
    pub(crate) fn load(&self) -> SlotQueueLoad {
        self.lock().load()
    }

    fn lock(&self) -> MutexGuard<'_, slot_queue::SlotQueue<Waiting>> {
        self.inner.lock().expect("no holder panics")
    }
}
