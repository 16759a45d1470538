//! Who may run on a backend server now, and who waits.
//!
//! The decisions are those of [`chestnutreach_routing::slot_queue`], under a lock.

use std::sync::{Arc, Mutex, MutexGuard};

use chestnutreach_routing::slot_queue::{self, SlotQueueLoad, SlotRequest};
pub(crate) use chestnutreach_routing::slot_queue::{
    ServerCapacity, SlotAdmission,
};

use crate::{run::Run, seat::Seat};

/// A request that waits for a place, or may have one now.
#[derive(Clone)]
pub(crate) enum Waiting {
    /// Its first stage is here.
    Run(Arc<Run>),
    /// A later stage is here.
    Seat(Arc<Seat>),
}

/// Places and queue of one backend server.
pub(crate) struct Gate {
    inner: Mutex<slot_queue::SlotQueue<Waiting>>,
}

impl Gate {
    /// A gate without places; see [`Gate::set_places`].
    pub(crate) fn new(queue_limit_tokens: u64) -> Gate {
        Gate {
            inner: Mutex::new(slot_queue::SlotQueue::new(queue_limit_tokens)),
        }
    }

    /// Sets the count of places and the first guess of the speed.
    pub(crate) fn set_places(&self, places: ServerCapacity) {
        self.lock().set_capacity(places);
    }

    /// Sets an account's share.
    pub(crate) fn set_weight(&self, account: &str, weight: u32) {
        self.lock().set_weight(account, weight);
    }

    /// Gives a request a place, lets it wait or refuses it.
    pub(crate) fn offer(&self, run: &Arc<Run>, now_ms: u64) -> SlotAdmission {
        let asked = SlotRequest {
            account: &run.account,
            shape: &run.shape,
            cost_tokens: run.cost_tokens,
            deadline_at_ms: run.deadline_at_ms,
            stage_count: run.chain.len() as u32,
        };
        let mut rng = fastrand::Rng::new();
        let item = Waiting::Run(run.clone());
        self.lock().request(&asked, item, now_ms, &mut rng)
    }

    /// Likewise for a later stage, unless the wait would be long.
    pub(crate) fn offer_later(
        &self,
        seat: &Arc<Seat>,
        now_ms: u64,
    ) -> SlotAdmission {
        let asked = SlotRequest {
            account: &seat.account,
            shape: &seat.shape,
            cost_tokens: seat.cost_tokens,
            deadline_at_ms: seat.deadline_at_ms,
            stage_count: seat.stage_count,
        };
        let mut rng = fastrand::Rng::new();
        let item = Waiting::Seat(seat.clone());
        self.lock().request_later_stage(&asked, item, now_ms, &mut rng)
    }

    /// When a refused caller should come back.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        self.lock().retry_after_ms(&mut fastrand::Rng::new())
    }

    /// Gives a place back; what waited and may run now, if any.
    pub(crate) fn give_back(
        &self,
        cost_tokens: u64,
        now_ms: u64,
    ) -> Option<Waiting> {
        self.lock().release(cost_tokens, now_ms)
    }

    /// Takes a request out of the queue.
    pub(crate) fn remove_run(&self, run: &Run) {
        self.lock().remove(|queued| {
            matches!(queued, Waiting::Run(r) if std::ptr::eq(&**r, run))
        });
    }

    /// Takes a later stage's request out of the queue.
    pub(crate) fn remove_seat(&self, seat: &Seat) {
        self.lock().remove(|queued| {
            matches!(queued, Waiting::Seat(s) if std::ptr::eq(&**s, seat))
        });
    }

    /// Takes out all that wait.
    pub(crate) fn take_waiting(&self) -> Vec<Waiting> {
        self.lock().remove(|_| true)
    }

    /// Takes out the requests whose deadline has passed.
    pub(crate) fn expire(&self, now_ms: u64) -> Vec<Waiting> {
        self.lock().expire(now_ms)
    }

    /// Learns from a call that ran first steps with these tokens.
    pub(crate) fn learn_prompt(&self, longest: u32, tokens: u64, ms: f64) {
        self.lock().learn_prompt(longest, tokens, ms);
    }

    /// Learns from a call that ran one token of each of `batch` requests.
    pub(crate) fn learn_step(&self, batch: u32, ms: f64) {
        self.lock().learn_step(batch, ms);
    }

    /// Charges an account for tokens that the estimate missed.
    pub(crate) fn charge(&self, account: &str, tokens: i64) {
        self.lock().charge(account, tokens);
    }

    /// Load at this moment.
    pub(crate) fn load(&self) -> SlotQueueLoad {
        self.lock().load()
    }

    fn lock(&self) -> MutexGuard<'_, slot_queue::SlotQueue<Waiting>> {
        self.inner.lock().expect("no holder panics")
    }
}
