//! Who may run on a backend server now, and who waits.
//!
//! Requests wait only at the first stage of their chain. A later stage takes
//! a request at once or refuses it: a request that waited for one stage
//! while it held another could wait for a request that does the reverse.

use std::sync::{Arc, Mutex, MutexGuard};

use chestnutreach_routing::{
    FairQueue, PushRefusal,
    admission::{self, Speed},
};

use crate::run::Run;

/// What became of a request at the gate.
pub(crate) enum Offer {
    /// It holds a place.
    Admitted,
    /// It waits for a place.
    Queued,
    /// The queue has no room.
    Full {
        /// When room is expected.
        retry_after_ms: u64,
    },
    /// It could not finish within its deadline.
    TooLate {
        /// When room is expected.
        retry_after_ms: u64,
    },
}

/// Places and queue of one backend server.
pub(crate) struct Gate {
    state: Mutex<State>,
}

/// What the manifest says of a backend server's size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Places {
    /// Requests it runs at once.
    pub(crate) max_running: u32,
    /// First guess through its own layers.
    pub(crate) prompt_tokens_per_s: f64,
    /// First guess through its own layers, all sequences together.
    pub(crate) output_tokens_per_s: f64,
}

impl Places {
    fn speed(&self) -> Speed {
        Speed::new(self.prompt_tokens_per_s, self.output_tokens_per_s)
            .places(self.max_running)
    }
}

struct State {
    running: u32,
    places: Places,
    running_tokens: u64,
    queue: FairQueue<Arc<Run>>,
    speed: Speed,
}

/// Load of a gate.
pub(crate) struct GateLoad {
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) pending_tokens: u64,
    pub(crate) prompt_tokens_per_s: f32,
    pub(crate) output_tokens_per_s: f32,
    pub(crate) queue_wait_ms: u64,
}

impl Gate {
    /// A gate without places; see [`Gate::set_places`].
    pub(crate) fn new(queue_limit_tokens: u64) -> Gate {
        let state = State {
            running: 0,
            places: Places::default(),
            running_tokens: 0,
            queue: FairQueue::new(queue_limit_tokens),
            speed: Places::default().speed(),
        };
        Gate { state: Mutex::new(state) }
    }

    /// Sets the count of places and the first guess of the speed. What has
    /// been learned is kept while neither changes.
    pub(crate) fn set_places(&self, places: Places) {
        let mut state = self.lock();
        if state.places != places {
            state.speed = places.speed();
            state.places = places;
        }
    }

    /// Sets an account's share.
    pub(crate) fn set_weight(&self, account: &str, weight: u32) {
        self.lock().queue.set_weight(account, weight);
    }

    /// Gives a request a place, lets it wait or refuses it.
    pub(crate) fn offer(&self, run: &Arc<Run>, now_ms: u64) -> Offer {
        let mut state = self.lock();
        let shape = &run.shape;
        let wait_ms = state.wait_ms();
        let rest_ms = run.deadline_at_ms.saturating_sub(now_ms);
        let can_finish =
            admission::can_finish(shape, wait_ms, &state.speed, rest_ms);
        if can_finish.is_err() {
            let retry_after_ms = state.retry_after_ms();
            return Offer::TooLate { retry_after_ms };
        }
        if state.running < state.places.max_running && state.queue.is_empty() {
            state.take(run.cost_tokens);
            return Offer::Admitted;
        }
        let pushed = state.queue.push(
            &run.account,
            shape.priority,
            run.cost_tokens,
            run.deadline_at_ms,
            run.clone(),
            now_ms,
        );
        match pushed {
            Ok(()) => Offer::Queued,
            Err(PushRefusal { .. }) => {
                let retry_after_ms = state.retry_after_ms();
                Offer::Full { retry_after_ms }
            }
        }
    }

    /// Takes a place for a later stage; the time until one is expected if
    /// there is none.
    pub(crate) fn try_take(&self, cost_tokens: u64) -> Result<(), u64> {
        let mut state = self.lock();
        if state.running >= state.places.max_running {
            return Err(state.retry_after_ms());
        }
        state.take(cost_tokens);
        Ok(())
    }

    /// Gives a place back; what waited and may run now, if any.
    pub(crate) fn give_back(
        &self,
        cost_tokens: u64,
        now_ms: u64,
    ) -> Option<Arc<Run>> {
        let mut state = self.lock();
        state.running = state.running.saturating_sub(1);
        state.running_tokens =
            state.running_tokens.saturating_sub(cost_tokens);
        if state.running >= state.places.max_running {
            return None;
        }
        let next = state.queue.pop(now_ms)?;
        state.take(next.item.cost_tokens);
        Some(next.item)
    }

    /// Takes a request out of the queue.
    pub(crate) fn remove(&self, run: &Run) {
        self.lock().queue.remove(|queued| std::ptr::eq(&**queued, run));
    }

    /// Takes out the requests whose deadline has passed.
    pub(crate) fn expire(&self, now_ms: u64) -> Vec<Arc<Run>> {
        self.lock().queue.expire(now_ms)
    }

    /// Learns from a call that ran first steps with these tokens.
    pub(crate) fn learn_prompt(&self, longest: u32, tokens: u64, ms: f64) {
        self.lock().speed.learn_prompt(longest, tokens, ms);
    }

    /// Learns from a call that ran one token of each of `batch` requests.
    pub(crate) fn learn_step(&self, batch: u32, ms: f64) {
        self.lock().speed.learn_step(0, batch, ms);
    }

    /// Charges an account for tokens that the estimate missed.
    pub(crate) fn charge(&self, account: &str, tokens: i64) {
        self.lock().queue.charge(account, tokens);
    }

    /// Load at this moment.
    pub(crate) fn load(&self) -> GateLoad {
        let state = self.lock();
        GateLoad {
            running: state.running,
            queued: state.queue.len() as u32,
            pending_tokens: state.queue.pending_tokens()
                + state.running_tokens,
            prompt_tokens_per_s: state.speed.prompt_tokens_per_s(0) as f32,
            output_tokens_per_s: state.speed.output_tokens_per_s(0) as f32,
            queue_wait_ms: state.wait_ms(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

impl State {
    fn take(&mut self, cost_tokens: u64) {
        self.running += 1;
        self.running_tokens += cost_tokens;
    }

    fn wait_ms(&self) -> u64 {
        if self.running < self.places.max_running && self.queue.is_empty() {
            return 0;
        }
        let pending_tokens = self.queue.pending_tokens();
        admission::expected_wait_ms(pending_tokens, &self.speed)
    }

    fn retry_after_ms(&self) -> u64 {
        let pending_tokens = self.queue.pending_tokens() + self.running_tokens;
        let mut rng = fastrand::Rng::new();
        admission::retry_after_ms(pending_tokens, &self.speed, &mut rng)
    }
}
