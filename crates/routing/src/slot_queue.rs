//! Slots of one backend server: which requests may run now, and which wait.
//!
//! A [`SlotQueue`] combines the slots of a server, the fair queue before them
//! and the learned speed. A request is refused at once when it cannot finish
//! within its deadline. The estimate covers the queued work of its own account
//! (a flood of another account does not count against it) and all stages of
//! its chain, at the speed of a server as full as this server. A queued
//! request leaves the queue when it could no longer finish within its
//! deadline, so that no slot is spent on a late response.
//!
//! A request waits at the first stage of its chain, and for a limited time at
//! a later stage ([`SlotQueue::request_later_stage`]). While it waits it holds
//! the slots of its earlier stages, so a chain must request its stages in the
//! order of their layers. Each waiting request then holds only servers with
//! lower first layers, and no two requests can wait for each other.
//!
//! [`SlotQueue::try_acquire`] never waits, so that all later stages could be
//! requested at the same time. Only the benchmark of decisions uses it, to
//! compare the two strategies.

use crate::{
    admission::{self, LearnedSpeed},
    drain_rate::DrainRate,
    fair_queue::FairQueue,
    request_shape::RequestShape,
};

/// Longest wait for a later stage, because earlier stages idle meanwhile.
pub const LATER_STAGE_MAX_WAIT_MS: u64 = 500;

/// Capacity of a backend server by the manifest.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerCapacity {
    /// Requests that the server runs at a time.
    pub max_running: u32,
    /// Configured prompt speed through the server's own layers.
    pub prompt_tokens_per_s: f64,
    /// Configured output speed through the server's own layers, all sequences
    /// together.
    pub output_tokens_per_s: f64,
}

impl ServerCapacity {
    fn speed(&self) -> LearnedSpeed {
        LearnedSpeed::new(self.prompt_tokens_per_s, self.output_tokens_per_s)
            .slots(self.max_running)
    }
}

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    /// Client account of the request.
    pub account: &'a str,
    /// Token counts and priority of the request.
    pub shape: &'a RequestShape,
    /// Tokens charged to the account.
    pub cost_tokens: u64,
    /// Time at which the caller gives up.
    pub deadline_at_ms: u64,
    /// Length of the chain; its other stages are assumed to be like this one.
    pub stage_count: u32,
}

/// Result of a request for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotAdmission {
    /// The request holds a slot.
    Admitted,
    /// The request waits for a slot.
    Queued,
    /// The queue is full.
    Full {
        /// Time after which a slot is expected to be free.
        retry_after_ms: u64,
    },
    /// The request could not finish within its deadline.
    TooLate {
        /// Time after which a slot is expected to be free.
        retry_after_ms: u64,
    },
}

/// Load of a slot queue.
#[derive(Clone, Copy, Debug)]
pub struct SlotQueueLoad {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Estimated work of running and queued requests.
    pub pending_tokens: u64,
    /// Learned prompt speed through the server's own layers; 0 if not known.
    pub prompt_tokens_per_s: f32,
    /// Learned output speed through the server's own layers, all sequences
    /// together; 0 if not known.
    pub output_tokens_per_s: f32,
    /// Expected wait of a new request.
    pub queue_wait_ms: u64,
}

/// Slots and queue of one backend server; used by one thread at a time.
#[derive(Debug)]
pub struct SlotQueue<T> {
    running: u32,
    capacity: ServerCapacity,
    running_tokens: u64,
    queue: FairQueue<T>,
    speed: LearnedSpeed,
    drain_rate: DrainRate,
}

impl<T> SlotQueue<T> {
    /// Creates a queue without slots; see [`SlotQueue::set_capacity`].
    pub fn new(queue_limit_tokens: u64) -> SlotQueue<T> {
        SlotQueue {
            running: 0,
            capacity: ServerCapacity::default(),
            running_tokens: 0,
            queue: FairQueue::new(queue_limit_tokens),
            speed: ServerCapacity::default().speed(),
            drain_rate: DrainRate::default(),
        }
    }

    /// Sets the number of slots and the configured speed. The learned speed
    /// is reset if they change.
    pub fn set_capacity(&mut self, capacity: ServerCapacity) {
        if self.capacity != capacity {
            self.speed = capacity.speed();
            self.capacity = capacity;
        }
    }

    /// Sets an account's weight.
    pub fn set_weight(&mut self, account: &str, weight: u32) {
        self.queue.set_weight(account, weight);
    }

    /// Gives a request a slot, queues it or refuses it.
    pub fn request(
        &mut self,
        request: &SlotRequest<'_>,
        item: T,
        now_ms: u64,
        rng: &mut fastrand::Rng,
    ) -> SlotAdmission {
        let run_ms = self.run_ms(request);
        let wait_ms = self.request_wait_ms(request);
        let remaining_ms = request.deadline_at_ms.saturating_sub(now_ms);
        if admission::can_finish(run_ms, wait_ms, remaining_ms).is_err() {
            let retry_after_ms = self.retry_after_ms(rng);
            return SlotAdmission::TooLate { retry_after_ms };
        }
        if self.running < self.capacity.max_running && self.queue.is_empty() {
            self.occupy_slot(request.cost_tokens);
            return SlotAdmission::Admitted;
        }
        let pushed = self.queue.push(
            request.account,
            request.shape.priority,
            request.cost_tokens,
            request.deadline_at_ms.saturating_sub(run_ms),
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

    /// Takes a slot for a later stage. Without a free slot, returns the time
    /// after which a slot is expected.
    pub fn try_acquire(
        &mut self,
        cost_tokens: u64,
        rng: &mut fastrand::Rng,
    ) -> Result<(), u64> {
        if self.running >= self.capacity.max_running {
            return Err(self.retry_after_ms(rng));
        }
        self.occupy_slot(cost_tokens);
        Ok(())
    }

    /// Gives a slot to a request that holds its earlier stages, queues it for
    /// up to [`LATER_STAGE_MAX_WAIT_MS`] or refuses it.
    pub fn request_later_stage(
        &mut self,
        request: &SlotRequest<'_>,
        item: T,
        now_ms: u64,
        rng: &mut fastrand::Rng,
    ) -> SlotAdmission {
        if self.request_wait_ms(request) > LATER_STAGE_MAX_WAIT_MS {
            return SlotAdmission::Full {
                retry_after_ms: self.retry_after_ms(rng),
            };
        }
        self.request(request, item, now_ms, rng)
    }

    /// Releases a slot and returns the queued request that takes it, if any.
    pub fn release(&mut self, cost_tokens: u64, now_ms: u64) -> Option<T> {
        self.drain_rate.record(cost_tokens, !self.queue.is_empty(), now_ms);
        self.running = self.running.saturating_sub(1);
        self.running_tokens = self.running_tokens.saturating_sub(cost_tokens);
        if self.running >= self.capacity.max_running {
            return None;
        }
        let next = self.queue.pop(now_ms)?;
        self.occupy_slot(next.cost_tokens);
        Some(next.item)
    }

    /// Removes matching requests from the queue.
    pub fn remove(&mut self, matches: impl FnMut(&T) -> bool) -> Vec<T> {
        self.queue.remove(matches)
    }

    /// Removes queued requests that can no longer finish within their
    /// deadline.
    pub fn expire(&mut self, now_ms: u64) -> Vec<T> {
        self.queue.expire(now_ms)
    }

    /// Learns from a call that processed `tokens` prompt tokens, of prompts of
    /// up to `max_prompt_tokens` tokens.
    pub fn learn_prompt(
        &mut self,
        max_prompt_tokens: u32,
        tokens: u64,
        ms: f64,
    ) {
        self.speed.learn_prompt(max_prompt_tokens, tokens, ms);
    }

    /// Learns from a call that made one token for each of `batch` requests.
    pub fn learn_step(&mut self, batch: u32, ms: f64) {
        self.speed.learn_step(0, batch, self.running, ms);
    }

    /// Charges an account for tokens that the estimate did not cover.
    pub fn charge(&mut self, account: &str, tokens: i64) {
        self.queue.charge(account, tokens);
    }

    /// Current load.
    pub fn load(&self) -> SlotQueueLoad {
        SlotQueueLoad {
            running: self.running,
            queued: self.queue.len() as u32,
            pending_tokens: self.queue.pending_tokens() + self.running_tokens,
            prompt_tokens_per_s: self
                .known_speed(self.speed.prompt_tokens_per_s(0)),
            output_tokens_per_s: self
                .known_speed(self.speed.output_tokens_per_s(0)),
            queue_wait_ms: self.queue_wait_ms(),
        }
    }

    /// The speed, or 0 while it is neither configured nor learned.
    fn known_speed(&self, tokens_per_s: f64) -> f32 {
        let is_configured = self.capacity.output_tokens_per_s > 0.0;
        match is_configured || self.speed.is_learned() {
            true => tokens_per_s as f32,
            false => 0.0,
        }
    }

    fn occupy_slot(&mut self, cost_tokens: u64) {
        self.running += 1;
        self.running_tokens += cost_tokens;
    }

    /// Time that a request takes over all stages of its chain.
    fn run_ms(&self, request: &SlotRequest<'_>) -> u64 {
        let slots = f64::from(self.capacity.max_running.max(1));
        let utilisation = f64::from(self.running) / slots;
        let stage_ms =
            admission::run_ms(request.shape, &self.speed, utilisation);
        stage_ms.saturating_mul(request.stage_count.max(1).into())
    }

    /// Expected wait of a request behind its account's own work and the share
    /// of other accounts.
    fn request_wait_ms(&self, request: &SlotRequest<'_>) -> u64 {
        let SlotRequest { account, cost_tokens, .. } = *request;
        self.wait_behind_ms(self.queue.tokens_before(account, cost_tokens))
    }

    /// Expected wait of a request that goes last.
    fn queue_wait_ms(&self) -> u64 {
        self.wait_behind_ms(self.queue.pending_tokens())
    }

    fn wait_behind_ms(&self, tokens: u64) -> u64 {
        if self.running < self.capacity.max_running && self.queue.is_empty() {
            return 0;
        }
        let learned_ms = self.drain_rate.wait_ms(tokens);
        learned_ms.unwrap_or_else(|| {
            admission::expected_wait_ms(tokens, &self.speed)
        })
    }

    /// Time after which a refused caller may retry.
    pub fn retry_after_ms(&self, rng: &mut fastrand::Rng) -> u64 {
        let pending_tokens = self.queue.pending_tokens() + self.running_tokens;
        admission::retry_after_ms(pending_tokens, &self.speed, rng)
    }
}
