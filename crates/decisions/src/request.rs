//! One caller's request on its way.

use chestnutreach_routing::{BackendIndex, RequestShape};

use crate::workload::Arrival;

/// Where a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// At its caller or its entry.
    Idle,
    /// On its way to the first stage, or waits there.
    Dispatched,
    /// Holds the first stage and asks for the others, or was refused: its
    /// entry hears of it soon.
    Reserving,
    /// Holds its first stages and waits for a place at the next.
    Waiting,
    /// Holds all stages.
    Running,
    /// All tokens are there; the last is on its way to the entry.
    Generated,
    /// Answered, given up or out of time.
    Done,
}

/// One caller's request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) entry: usize,
    pub(crate) phase: Phase,
    pub(crate) stages: Vec<BackendIndex>,
    pub(crate) avoid: Vec<BackendIndex>,
    /// Attempts since the caller asked last.
    pub(crate) attempts: u32,
    pub(crate) caller_retries: u32,
    /// How many stages it holds, from the first.
    pub(crate) held: usize,
    /// How often it has waited at a later stage.
    pub(crate) waits: u32,
    /// Place in the chain of the step that is under way.
    pub(crate) at_stage: usize,
    pub(crate) produced: u32,
    /// When the chain that runs it was chosen.
    pub(crate) sent_us: u64,
    pub(crate) last_retry_after_ms: Option<u64>,
}

impl Request {
    pub(crate) fn new(arrival: Arrival, entry: usize) -> Request {
        Request {
            arrival,
            entry,
            phase: Phase::Idle,
            stages: Vec::new(),
            avoid: Vec::new(),
            attempts: 0,
            caller_retries: 0,
            held: 0,
            waits: 0,
            at_stage: 0,
            produced: 0,
            sent_us: 0,
            last_retry_after_ms: None,
        }
    }

    pub(crate) fn deadline_us(&self) -> u64 {
        self.arrival.at_us + self.arrival.deadline_ms * 1_000
    }

    /// As the entry states it.
    pub(crate) fn shape(&self, now_us: u64, is_bounded: bool) -> RequestShape {
        let arrival = &self.arrival;
        let shape = RequestShape::new(
            arrival.prompt_tokens,
            arrival.max_output_tokens,
        )
        .priority(arrival.kind.priority());
        if !is_bounded {
            return shape;
        }
        let remaining_us = self.deadline_us().saturating_sub(now_us);
        shape.deadline_ms(remaining_us / 1_000)
    }

    /// What its account is charged before it runs.
    pub(crate) fn cost_tokens(&self) -> u32 {
        self.arrival.prompt_tokens + self.arrival.max_output_tokens
    }

    /// What an answer takes.
    pub(crate) fn used_tokens(&self) -> u32 {
        self.arrival.prompt_tokens + self.arrival.output_tokens
    }

    pub(crate) fn is_last_stage(&self) -> bool {
        self.at_stage + 1 == self.stages.len()
    }
}
