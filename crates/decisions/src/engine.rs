//! Speed model of a backend server.
//!
//! An engine runs iterations. An iteration takes at most [`MAX_BATCH`] decode
//! steps and a chunk of prefill tokens, prompts of the highest priority first.
//! Its duration is the sum of the times of the batch and of the chunk:
//!
//! ```text
//! batch:  B / rate * max(1/2 + b / (2 B), b / B)
//! chunk:  tokens / prompt rate
//! ```
//!
//! `b` is the size of the batch. `rate` and `prompt rate` are the speeds of
//! the manifest, scaled to the layers of the server. `B` is the batch of a
//! server with half of its slots in use: a request that holds a slot has its
//! token at this server for the server's share of the layers, so `B` is half
//! of `max_running` times that share. The factor is one half because operators
//! leave slots for requests in prefill or in a queue. The fixed part of an
//! iteration, which reads the weights, is half of the time of a full batch; an
//! iteration without decode steps has no batch time.
//! Past `B` the time grows with the tokens, so the engine never exceeds `rate`
//! and the throughput bound is a true upper bound.
//!
//! The model leaves out KV cache memory, prefix reuse, preemption, bandwidth
//! shared between links, and speeds that differ from the manifest.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
};

use chestnutreach_routing::{BackendSpec, Priority};

use crate::events::RequestIndex;

const US_PER_S: f64 = 1e6;
/// Default of `max-batch` of the side process.
const MAX_BATCH: usize = 32;
const PREFILL_CHUNK_TOKENS: u32 = 512;
/// Share of the slots in use at which the batch is full.
const FULL_BATCH_SLOT_SHARE: f64 = 0.5;
/// Fixed time of an iteration, as a share of the time of a full batch.
const EMPTY_BATCH_TIME_SHARE: f64 = 0.5;

/// A decode step in transit or queued.
#[derive(Clone, Copy, Debug)]
struct Token {
    ready_us: u64,
    request: RequestIndex,
}

/// A prompt in prefill, queued or in transit.
#[derive(Clone, Copy, Debug)]
struct Prompt {
    request: RequestIndex,
    tokens: u32,
    remaining: u32,
    ready_us: u64,
    started_us: Option<u64>,
}

/// A prompt whose prefill has finished.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FinishedPrompt {
    pub(crate) request: RequestIndex,
    pub(crate) tokens: u32,
    pub(crate) duration_us: u64,
}

/// The modelled engine of a backend server.
#[derive(Debug)]
pub(crate) struct Engine {
    full_batch: f64,
    full_step_us: f64,
    us_per_prompt_token: f64,
    tokens: VecDeque<Token>,
    prompts: BTreeMap<(Reverse<Priority>, u64), Prompt>,
    next_number: u64,
    batch: Vec<RequestIndex>,
    chunk: Vec<((Reverse<Priority>, u64), u32)>,
    started_us: Option<u64>,
    wake_us: Option<u64>,
    busy_us: u64,
}

/// Event that an engine needs next.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EngineEvent {
    /// The current iteration ends.
    IterationEnds {
        /// Time of the event.
        at_us: u64,
    },
    /// The next step or prompt arrives.
    Wakes {
        /// Time of the event.
        at_us: u64,
    },
    /// Nothing is in transit, or the event is scheduled already.
    Unchanged,
}

impl Engine {
    pub(crate) fn new(spec: &BackendSpec, layer_count: u32) -> Engine {
        let layers = f64::from(spec.end_layer - spec.first_layer);
        let share = layers / f64::from(layer_count);
        let rate = f64::from(spec.output_tokens_per_s) / share;
        let prompt_rate = f64::from(spec.prompt_tokens_per_s) / share;
        let slots = f64::from(spec.max_running);
        let full_batch = (slots * share * FULL_BATCH_SLOT_SHARE).max(1.0);
        Engine {
            full_batch,
            full_step_us: full_batch / rate * US_PER_S,
            us_per_prompt_token: US_PER_S / prompt_rate,
            tokens: VecDeque::new(),
            prompts: BTreeMap::new(),
            next_number: 0,
            batch: Vec::new(),
            chunk: Vec::new(),
            started_us: None,
            wake_us: None,
            busy_us: 0,
        }
    }

    /// Adds a decode step that arrives at `ready_us`.
    pub(crate) fn push_token(&mut self, request: RequestIndex, ready_us: u64) {
        self.tokens.push_back(Token { ready_us, request });
    }

    /// Adds a prompt that arrives at `ready_us`.
    pub(crate) fn push_prompt(
        &mut self,
        request: RequestIndex,
        priority: Priority,
        tokens: u32,
        ready_us: u64,
    ) {
        let key = (Reverse(priority), self.next_number);
        self.next_number += 1;
        let remaining = tokens;
        let started_us = None;
        let prompt =
            Prompt { request, tokens, remaining, ready_us, started_us };
        self.prompts.insert(key, prompt);
    }

    /// Starts an iteration if the engine is idle and has work.
    pub(crate) fn start(
        &mut self,
        now_us: u64,
        is_active: impl Fn(RequestIndex) -> bool,
    ) -> EngineEvent {
        if self.started_us.is_some() {
            return EngineEvent::Unchanged;
        }
        self.wake_us = self.wake_us.filter(|&at| at > now_us);
        self.fill_batch(now_us, &is_active);
        self.fill_chunk(now_us, &is_active);
        if self.batch.is_empty() && self.chunk.is_empty() {
            return self.next_wake();
        }
        self.started_us = Some(now_us);
        EngineEvent::IterationEnds { at_us: now_us + self.iteration_us() }
    }

    /// Ends the iteration and returns its decode steps and the prompts
    /// whose prefill has finished.
    pub(crate) fn end(
        &mut self,
        now_us: u64,
    ) -> (Vec<RequestIndex>, Vec<FinishedPrompt>) {
        let duration_us = self.running_us(now_us);
        self.busy_us += duration_us;
        self.started_us = None;
        let mut done = Vec::new();
        for (key, tokens) in std::mem::take(&mut self.chunk) {
            let Some(prompt) = self.prompts.get_mut(&key) else { continue };
            prompt.remaining -= tokens;
            if prompt.remaining == 0 {
                let started_us = prompt.started_us.unwrap_or(now_us);
                done.push(FinishedPrompt {
                    request: prompt.request,
                    tokens: prompt.tokens,
                    duration_us: now_us - started_us,
                });
                self.prompts.remove(&key);
            }
        }
        (std::mem::take(&mut self.batch), done)
    }

    /// Time since the current iteration started.
    pub(crate) fn running_us(&self, now_us: u64) -> u64 {
        self.started_us.map_or(0, |started_us| now_us - started_us)
    }

    /// Total time in iterations until now.
    pub(crate) fn busy_us(&self, now_us: u64) -> u64 {
        self.busy_us + self.running_us(now_us)
    }

    fn fill_batch(
        &mut self,
        now_us: u64,
        is_active: impl Fn(RequestIndex) -> bool,
    ) {
        let batch = &mut self.batch;
        self.tokens.retain(|token| {
            if !is_active(token.request) {
                return false;
            }
            let is_taken = token.ready_us <= now_us && batch.len() < MAX_BATCH;
            if is_taken {
                batch.push(token.request);
            }
            !is_taken
        });
    }

    fn fill_chunk(
        &mut self,
        now_us: u64,
        is_active: impl Fn(RequestIndex) -> bool,
    ) {
        self.prompts.retain(|_, prompt| is_active(prompt.request));
        let mut remaining_tokens = PREFILL_CHUNK_TOKENS;
        let has_arrived = |prompt: &Prompt| prompt.ready_us <= now_us;
        for (key, prompt) in &mut self.prompts {
            if !has_arrived(prompt) {
                continue;
            }
            let tokens = prompt.remaining.min(remaining_tokens);
            prompt.started_us.get_or_insert(now_us);
            self.chunk.push((*key, tokens));
            remaining_tokens -= tokens;
            if remaining_tokens == 0 {
                return;
            }
        }
    }

    fn iteration_us(&self) -> u64 {
        let fill_ratio = self.batch.len() as f64 / self.full_batch;
        let share = if self.batch.is_empty() {
            0.0
        } else {
            (EMPTY_BATCH_TIME_SHARE
                + (1.0 - EMPTY_BATCH_TIME_SHARE) * fill_ratio)
                .max(fill_ratio)
        };
        let tokens: u32 = self.chunk.iter().map(|(_, tokens)| tokens).sum();
        let prompt_us = f64::from(tokens) * self.us_per_prompt_token;
        (self.full_step_us * share + prompt_us).ceil() as u64
    }

    fn next_wake(&mut self) -> EngineEvent {
        let tokens = self.tokens.iter().map(|token| token.ready_us);
        let prompts = self.prompts.values().map(|prompt| prompt.ready_us);
        let first_us = tokens.chain(prompts).min();
        match first_us {
            Some(at_us) if self.wake_us.is_none_or(|wake| at_us < wake) => {
                self.wake_us = Some(at_us);
                EngineEvent::Wakes { at_us }
            }
            _ => EngineEvent::Unchanged,
        }
    }
}
