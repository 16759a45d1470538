//! Checks whether a request can finish within its deadline.
//!
//! The side process learns speeds by class of prompt length, because long
//! prompts run at a different speed than short ones on the same hardware. A
//! class without a measurement uses the nearest learned class, or the
//! configured estimate while no class is learned.

use std::fmt;

use crate::{cost::step_share, request_shape::RequestShape};

const MS_PER_S: f64 = 1_000.0;
const SMOOTHING: f64 = 0.1;
/// Upper limits of the prompt length classes; a last class has no limit.
const PROMPT_CLASS_LIMITS_TOKENS: [u32; 3] = [256, 2_048, 16_384];
const CLASS_COUNT: usize = PROMPT_CLASS_LIMITS_TOKENS.len() + 1;
/// Calls with fewer prompt tokens do not update the prompt speed.
const MIN_PROMPT_TOKENS: u64 = 64;
/// Window over which the mix of prompt and output tokens is learned.
const MIX_WINDOW_TOKENS: f64 = 1_000_000.0;
const MIN_TOKENS_PER_S: f64 = 0.001;
const MIN_RETRY_MS: u64 = 100;
const MAX_RETRY_MS: u64 = 60_000;

/// Learned speeds of one backend server through its own layers.
#[derive(Clone, Debug)]
pub struct LearnedSpeed {
    configured: PerPhase,
    slots: u32,
    prompt: [Option<f64>; CLASS_COUNT],
    output: [Option<f64>; CLASS_COUNT],
    observed: PerPhase,
}

/// A value for the prompt phase and one for the output phase.
#[derive(Clone, Copy, Debug)]
struct PerPhase {
    prompt: f64,
    output: f64,
}

impl LearnedSpeed {
    /// Starts from configured estimates: prompt tokens per second, and output
    /// tokens per second of all sequences together.
    pub fn new(
        prompt_tokens_per_s: f64,
        output_tokens_per_s: f64,
    ) -> LearnedSpeed {
        let configured = PerPhase {
            prompt: prompt_tokens_per_s.max(MIN_TOKENS_PER_S),
            output: output_tokens_per_s.max(MIN_TOKENS_PER_S),
        };
        LearnedSpeed {
            configured,
            slots: 1,
            prompt: [None; CLASS_COUNT],
            output: [None; CLASS_COUNT],
            observed: PerPhase { prompt: 0.0, output: 0.0 },
        }
    }

    /// Sets the number of requests that the server runs at a time; 0 counts
    /// as 1.
    pub fn slots(mut self, max_running: u32) -> LearnedSpeed {
        self.slots = max_running.max(1);
        self
    }

    /// Learns from a call that processed `tokens` prompt tokens, of prompts
    /// of about `prompt_tokens` length, in `busy_ms`. The time of a call with
    /// few tokens is mostly fixed cost, so its speed is not learned.
    pub fn learn_prompt(
        &mut self,
        prompt_tokens: u32,
        tokens: u64,
        busy_ms: f64,
    ) {
        if tokens >= MIN_PROMPT_TOKENS {
            let slot = &mut self.prompt[length_class(prompt_tokens)];
            update_average(slot, tokens as f64, busy_ms);
        }
        self.observed.prompt += tokens as f64;
        self.decay_mix();
    }

    /// Learns from a step that gave each of `batch` requests one token while
    /// requests held `busy_slots` slots. Their prompts are of about
    /// `prompt_tokens` length.
    ///
    /// The other requests that hold a slot run at another stage of their
    /// chain or are in prefill, and so would requests in the free slots.
    /// A step of a full server therefore has `batch * slots / busy_slots`
    /// tokens; `step_share` gives the time it takes.
    pub fn learn_step(
        &mut self,
        prompt_tokens: u32,
        batch: u32,
        busy_slots: u32,
        step_ms: f64,
    ) {
        let slots = f64::from(self.slots);
        let busy_slots = f64::from(busy_slots.max(batch).max(1));
        let utilisation = (busy_slots / slots).min(1.0);
        let full_ms = step_ms / step_share(slots, utilisation);
        let tokens = f64::from(batch) / utilisation;
        update_average(
            &mut self.output[length_class(prompt_tokens)],
            tokens,
            full_ms,
        );
        self.observed.output += f64::from(batch);
        self.decay_mix();
    }

    /// Speed of a prompt of this length. A longer prompt is assumed to be at
    /// least as fast as a shorter one, because the fixed cost of the call is
    /// spread over more tokens.
    pub fn prompt_tokens_per_s(&self, prompt_tokens: u32) -> f64 {
        let length_class = length_class(prompt_tokens);
        if let Some(learned) = self.prompt[length_class] {
            return learned;
        }
        let shorter = self.prompt[..length_class].iter().flatten();
        match shorter.copied().reduce(f64::max) {
            Some(shorter) => shorter.max(self.configured.prompt),
            None => nearest_learned(&self.prompt, length_class)
                .unwrap_or(self.configured.prompt),
        }
    }

    /// Output speed of all sequences together, for prompts of this length.
    pub fn output_tokens_per_s(&self, prompt_tokens: u32) -> f64 {
        let learned =
            nearest_learned(&self.output, length_class(prompt_tokens));
        learned.unwrap_or(self.configured.output)
    }

    /// Mean time per token of queued work. Assumes output only until a mix
    /// has been observed.
    fn mean_token_ms(&self) -> f64 {
        let total = self.observed.prompt + self.observed.output;
        let prompt_share =
            if total > 0.0 { self.observed.prompt / total } else { 0.0 };
        let prompt_ms = MS_PER_S / self.prompt_tokens_per_s(0);
        let output_ms = MS_PER_S / self.output_tokens_per_s(0);
        prompt_share * prompt_ms + (1.0 - prompt_share) * output_ms
    }

    /// Halves the observed counts so that the mix stays recent.
    fn decay_mix(&mut self) {
        if self.observed.prompt + self.observed.output > MIX_WINDOW_TOKENS {
            self.observed.prompt /= 2.0;
            self.observed.output /= 2.0;
        }
    }

    /// Whether any output speed has been measured.
    pub fn is_learned(&self) -> bool {
        self.output.iter().any(Option::is_some)
    }
}

/// Expected wait behind `pending_tokens` of work of the learned mix.
pub fn expected_wait_ms(pending_tokens: u64, speed: &LearnedSpeed) -> u64 {
    (pending_tokens as f64 * speed.mean_token_ms()).ceil() as u64
}

/// Time that a request takes on a server with this utilisation, from 0 to 1.
pub fn run_ms(
    shape: &RequestShape,
    speed: &LearnedSpeed,
    utilisation: f64,
) -> u64 {
    let prompt_tokens = shape.prompt_tokens;
    let prompt_s =
        f64::from(prompt_tokens) / speed.prompt_tokens_per_s(prompt_tokens);
    let slots = f64::from(speed.slots);
    let full_step_s = slots / speed.output_tokens_per_s(prompt_tokens);
    let step_s = full_step_s * step_share(slots, utilisation);
    let output_s = f64::from(shape.output_tokens) * step_s;
    ((prompt_s + output_s) * MS_PER_S).ceil() as u64
}

/// The error for a request that cannot finish within its deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeadlineTooShort {
    /// Time that the request would need.
    pub needed_ms: u64,
}

impl fmt::Display for DeadlineTooShort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the request needs {} ms", self.needed_ms)
    }
}

impl std::error::Error for DeadlineTooShort {}

/// Checks that a request that waits for `wait_ms` and runs for `run_ms`
/// finishes within the remaining `deadline_ms`.
pub fn can_finish(
    run_ms: u64,
    wait_ms: u64,
    deadline_ms: u64,
) -> Result<(), DeadlineTooShort> {
    let needed_ms = wait_ms.saturating_add(run_ms);
    if needed_ms > deadline_ms {
        return Err(DeadlineTooShort { needed_ms });
    }
    Ok(())
}

/// Time after which a refused caller may retry: when about half of the queue
/// has drained, plus up to as long again so that callers do not retry
/// together.
pub fn retry_after_ms(
    pending_tokens: u64,
    speed: &LearnedSpeed,
    rng: &mut fastrand::Rng,
) -> u64 {
    let half_wait_ms = expected_wait_ms(pending_tokens, speed) / 2;
    let base_ms = half_wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
    base_ms + rng.u64(0..=base_ms)
}

fn length_class(prompt_tokens: u32) -> usize {
    PROMPT_CLASS_LIMITS_TOKENS
        .iter()
        .position(|&limit| prompt_tokens <= limit)
        .unwrap_or(PROMPT_CLASS_LIMITS_TOKENS.len())
}

fn update_average(slot: &mut Option<f64>, tokens: f64, busy_ms: f64) {
    if tokens == 0.0 || busy_ms.is_nan() || busy_ms <= 0.0 {
        return;
    }
    let observed = tokens * MS_PER_S / busy_ms;
    *slot = Some(match *slot {
        Some(old) => old + SMOOTHING * (observed - old),
        None => observed,
    });
}

fn nearest_learned(
    learned: &[Option<f64>],
    length_class: usize,
) -> Option<f64> {
    let distance = |at: &usize| at.abs_diff(length_class);
    (0..learned.len())
        .filter(|&at| learned[at].is_some())
        .min_by_key(distance)
        .and_then(|at| learned[at])
}
