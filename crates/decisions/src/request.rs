//! State of a simulated request.

use chestnutreach_routing::{BackendIndex, RequestShape};

use crate::workload::Arrival;

/// Progress of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// At the caller or the entry.
    Idle,
    /// In transit to the first stage or queued there.
    Dispatched,
    /// Holds the first stage and requests the others, or the refusal is in
    /// transit to the entry.
    Reserving,
    /// Holds its first stages and is queued at the next.
    Waiting,
    /// Holds all stages.
    Running,
    /// All tokens are generated; the last is in transit to the entry.
    Generated,
    /// Completed, refused for good or past the deadline.
    Done,
}

/// A simulated request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) entry: usize,
    pub(crate) phase: Phase,
    pub(crate) stages: Vec<BackendIndex>,
    pub(crate) avoid: Vec<BackendIndex>,
    /// Attempts since the last arrival from the caller.
    pub(crate) attempts: u32,
    pub(crate) caller_retries: u32,
    /// Number of stages that the request holds, from the first.
    pub(crate) held: usize,
    /// Number of waits at later stages; identifies the current wait.
    pub(crate) waits: u32,
    /// Index of the stage that runs the current step.
    pub(crate) at_stage: usize,
    pub(crate) produced: u32,
    /// Time at which the current chain was chosen.
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

    /// The request as the entry describes it to the router.
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

    /// Tokens charged to the account before the request runs.
    pub(crate) fn cost_tokens(&self) -> u32 {
        self.arrival.prompt_tokens + self.arrival.max_output_tokens
    }

    /// Tokens that the request uses in total.
    pub(crate) fn used_tokens(&self) -> u32 {
        self.arrival.prompt_tokens + self.arrival.output_tokens
    }

    pub(crate) fn is_last_stage(&self) -> bool {
        self.at_stage + 1 == self.stages.len()
    }
}
