//! Who may run on one backend server now, and who waits.
//!
//! A request is refused at once when it cannot finish in time: after the wait
//! of its own account (another's flood does not count against it), over as
//! many stages as its chain has, at the speed of a server as full as this
//! one. It leaves the queue when it could no longer begin in time, so that
//! no place is spent on an answer that comes too late.
//!
//! The places of a backend server, the fair queue before them and the learned
//! speed, in one. A request waits at the first stage of its chain, and at a
//! later one for a while ([`SlotQueue::request_later_stage`]). A request that waits holds
//! its earlier stages, so a chain has to ask its stages in the order of their
//! layers: then whoever waits holds only servers with lower first layers, and
//! no two requests can wait for each other.
//!
//! [`SlotQueue::try_acquire`] takes or refuses instead, so that all later stages could
//! be asked at the same time; only the benchmark of decisions uses it, to
//! compare the two ways.

use crate::{
    admission::{self, LearnedSpeed},
    drain_rate::DrainRate,
    fair_queue::FairQueue,
    request_shape::RequestShape,
};

/// Longest wait for a later stage: the earlier ones stand idle meanwhile.
pub const LATER_STAGE_MAX_WAIT_MS: u64 = 500;

/// What the manifest says of a backend server's size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerCapacity {
    /// Requests it runs at once.
    pub max_running: u32,
    /// First guess through its own layers.
    pub prompt_tokens_per_s: f64,
    /// First guess through its own layers, all sequences together.
    pub output_tokens_per_s: f64,
}

impl ServerCapacity {
    fn speed(&self) -> LearnedSpeed {
        LearnedSpeed::new(self.prompt_tokens_per_s, self.output_tokens_per_s)
            .slots(self.max_running)
    }
}

/// A request for a place.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    /// Whose it is.
    pub account: &'a str,
    /// What it takes.
    pub shape: &'a RequestShape,
    /// What its account is charged.
    pub cost_tokens: u64,
    /// When its caller gives up.
    pub deadline_at_ms: u64,
    /// Length of its chain; the other stages are taken to be like this one.
    pub stage_count: u32,
}

/// What became of a request at the gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotAdmission {
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

/// Load of a gate.
#[derive(Clone, Copy, Debug)]
pub struct SlotQueueLoad {
    /// Requests that hold a place.
    pub running: u32,
    /// Requests that wait for one.
    pub queued: u32,
    /// Work that both were taken for.
    pub pending_tokens: u64,
    /// Learned through the server's own layers.
    pub prompt_tokens_per_s: f32,
    /// Likewise, all sequences together.
    pub output_tokens_per_s: f32,
    /// Expected wait of a new request.
    pub queue_wait_ms: u64,
}

/// Places and queue of one backend server; used by one thread at a time.
#[derive(Debug)]
pub struct SlotQueue<T> {
    running: u32,
    places: ServerCapacity,
    running_tokens: u64,
    queue: FairQueue<T>,
    speed: LearnedSpeed,
    drain: DrainRate,
}

impl<T> SlotQueue<T> {
    /// A gate without places; see [`SlotQueue::set_capacity`].
    pub fn new(queue_limit_tokens: u64) -> SlotQueue<T> {
        SlotQueue {
            running: 0,
            places: ServerCapacity::default(),
            running_tokens: 0,
            queue: FairQueue::new(queue_limit_tokens),
            speed: ServerCapacity::default().speed(),
            drain: DrainRate::default(),
        }
    }

    /// Sets the count of places and the first guess of the speed. What has
    /// been learned is kept while neither changes.
    pub fn set_capacity(&mut self, places: ServerCapacity) {
        if self.places != places {
            self.speed = places.speed();
            self.places = places;
        }
    }

    /// Sets an account's share.
    pub fn set_weight(&mut self, account: &str, weight: u32) {
        self.queue.set_weight(account, weight);
    }

    /// Gives a request a place, lets it wait or refuses it.
    pub fn request(
        &mut self,
        asked: &SlotRequest<'_>,
        item: T,
        now_ms: u64,
        rng: &mut fastrand::Rng,
    ) -> SlotAdmission {
        let run_ms = self.run_ms(asked);
        let wait_ms = self.wait_ms_of(asked);
        let rest_ms = asked.deadline_at_ms.saturating_sub(now_ms);
        if admission::can_finish(run_ms, wait_ms, rest_ms).is_err() {
            let retry_after_ms = self.retry_after_ms(rng);
            return SlotAdmission::TooLate { retry_after_ms };
        }
        if self.running < self.places.max_running && self.queue.is_empty() {
            self.take(asked.cost_tokens);
            return SlotAdmission::Admitted;
        }
        let pushed = self.queue.push(
            asked.account,
            asked.shape.priority,
            asked.cost_tokens,
            asked.deadline_at_ms.saturating_sub(run_ms),
            item,
            now_ms,
        );
        match pushed {
            Ok(()) => SlotAdmission::Queued,
            Err(_) => SlotAdmission::Full {
                retry_after_ms: self.retry_after_ms(rng),
            },
        }
    }

    /// Takes a place for a later stage; the time until one is expected if
    /// there is none.
    pub fn try_acquire(
        &mut self,
        cost_tokens: u64,
        rng: &mut fastrand::Rng,
    ) -> Result<(), u64> {
        if self.running >= self.places.max_running {
            return Err(self.retry_after_ms(rng));
        }
        self.take(cost_tokens);
        Ok(())
    }

    /// Gives a request that holds its earlier stages a place, lets it wait
    /// for up to [`LATER_STAGE_MAX_WAIT_MS`] or refuses it.
    pub fn request_later_stage(
        &mut self,
        asked: &SlotRequest<'_>,
        item: T,
        now_ms: u64,
        rng: &mut fastrand::Rng,
    ) -> SlotAdmission {
        if self.wait_ms_of(asked) > LATER_STAGE_MAX_WAIT_MS {
            return SlotAdmission::Full {
                retry_after_ms: self.retry_after_ms(rng),
            };
        }
        self.request(asked, item, now_ms, rng)
    }

    /// Gives a place back; what waited and may run now, if any.
    pub fn release(&mut self, cost_tokens: u64, now_ms: u64) -> Option<T> {
        self.drain.note(cost_tokens, !self.queue.is_empty(), now_ms);
        self.running = self.running.saturating_sub(1);
        self.running_tokens = self.running_tokens.saturating_sub(cost_tokens);
        if self.running >= self.places.max_running {
            return None;
        }
        let next = self.queue.pop(now_ms)?;
        self.take(next.cost_tokens);
        Some(next.item)
    }

    /// Takes requests out of the queue.
    pub fn remove(&mut self, matches: impl FnMut(&T) -> bool) -> Vec<T> {
        self.queue.remove(matches)
    }

    /// Takes out the requests that can no longer begin in time.
    pub fn expire(&mut self, now_ms: u64) -> Vec<T> {
        self.queue.expire(now_ms)
    }

    /// Learns from a call that ran first steps with these tokens.
    pub fn learn_prompt(&mut self, longest: u32, tokens: u64, ms: f64) {
        self.speed.learn_prompt(longest, tokens, ms);
    }

    /// Learns from a call that ran one token of each of `batch` requests.
    pub fn learn_step(&mut self, batch: u32, ms: f64) {
        self.speed.learn_step(0, batch, self.running, ms);
    }

    /// Charges an account for tokens that the estimate missed.
    pub fn charge(&mut self, account: &str, tokens: i64) {
        self.queue.charge(account, tokens);
    }

    /// Load at this moment.
    pub fn load(&self) -> SlotQueueLoad {
        SlotQueueLoad {
            running: self.running,
            queued: self.queue.len() as u32,
            pending_tokens: self.queue.pending_tokens() + self.running_tokens,
            prompt_tokens_per_s: self.speed.prompt_tokens_per_s(0) as f32,
            output_tokens_per_s: self.speed.output_tokens_per_s(0) as f32,
            queue_wait_ms: self.wait_ms(),
        }
    }

    fn take(&mut self, cost_tokens: u64) {
        self.running += 1;
        self.running_tokens += cost_tokens;
    }

    /// Time that a request takes over all stages of its chain.
    fn run_ms(&self, asked: &SlotRequest<'_>) -> u64 {
        let places = f64::from(self.places.max_running.max(1));
        let in_use = f64::from(self.running) / places;
        let stage_ms = admission::run_ms(asked.shape, &self.speed, in_use);
        stage_ms.saturating_mul(asked.stage_count.max(1).into())
    }

    /// Wait of a request, behind its account's own and its share of others.
    fn wait_ms_of(&self, asked: &SlotRequest<'_>) -> u64 {
        let SlotRequest { account, cost_tokens, .. } = *asked;
        self.wait_behind_ms(self.queue.tokens_before(account, cost_tokens))
    }

    /// Wait of a request that goes last.
    fn wait_ms(&self) -> u64 {
        self.wait_behind_ms(self.queue.pending_tokens())
    }

    fn wait_behind_ms(&self, tokens: u64) -> u64 {
        if self.running < self.places.max_running && self.queue.is_empty() {
            return 0;
        }
        let learned_ms = self.drain.wait_ms(tokens);
        learned_ms.unwrap_or_else(|| {
            admission::expected_wait_ms(tokens, &self.speed)
        })
    }

    /// When a refused caller should come back.
    pub fn retry_after_ms(&self, rng: &mut fastrand::Rng) -> u64 {
        let pending_tokens = self.queue.pending_tokens() + self.running_tokens;
        admission::retry_after_ms(pending_tokens, &self.speed, rng)
    }
}
