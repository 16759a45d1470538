//! Whether a request can finish in time, decided at the side process.
//!
//! Speeds are learned by the length of the prompt, because long prompts run
//! at another speed than short ones on the same hardware. A length that was
//! never seen takes the nearest one learned, and the first guess until then.

use std::fmt;

use crate::{cost::step_share, request_shape::RequestShape};

const MS_PER_S: f64 = 1_000.0;
const SMOOTHING: f64 = 0.1;
/// Prompts up to these lengths are learned apart from longer ones.
const PROMPT_CLASSES_TOKENS: [u32; 3] = [256, 2_048, 16_384];
const CLASS_COUNT: usize = PROMPT_CLASSES_TOKENS.len() + 1;
/// Fewest prompt tokens in a call whose speed is learned.
const MIN_PROMPT_TOKENS: u64 = 64;
/// Tokens over which the mix of prompts and output is learned.
const MIX_TOKENS: f64 = 1_000_000.0;
const MIN_TOKENS_PER_S: f64 = 0.001;
const MIN_RETRY_MS: u64 = 100;
const MAX_RETRY_MS: u64 = 60_000;

/// Learned speeds of one backend server through its own layers.
#[derive(Clone, Debug)]
pub struct LearnedSpeed {
    guess: Pair,
    places: u32,
    prompt: [Option<f64>; CLASS_COUNT],
    output: [Option<f64>; CLASS_COUNT],
    seen: Pair,
}

/// Of prompts and of output.
#[derive(Clone, Copy, Debug)]
struct Pair {
    prompt: f64,
    output: f64,
}

impl LearnedSpeed {
    /// A first guess: prompt tokens a second, and output tokens a second of
    /// all sequences together.
    pub fn new(
        prompt_tokens_per_s: f64,
        output_tokens_per_s: f64,
    ) -> LearnedSpeed {
        let guess = Pair {
            prompt: prompt_tokens_per_s.max(MIN_TOKENS_PER_S),
            output: output_tokens_per_s.max(MIN_TOKENS_PER_S),
        };
        LearnedSpeed {
            guess,
            places: 1,
            prompt: [None; CLASS_COUNT],
            output: [None; CLASS_COUNT],
            seen: Pair { prompt: 0.0, output: 0.0 },
        }
    }

    /// How many requests the server runs at the same time; 0 counts as 1.
    pub fn slots(mut self, max_running: u32) -> LearnedSpeed {
        self.places = max_running.max(1);
        self
    }

    /// Learns from `tokens` of prompts of about `prompt_tokens` length, which
    /// kept the server busy for `busy_ms`. A call with few tokens only tells
    /// what a call costs, so its speed is not learned.
    pub fn learn_prompt(
        &mut self,
        prompt_tokens: u32,
        tokens: u64,
        busy_ms: f64,
    ) {
        if tokens >= MIN_PROMPT_TOKENS {
            let slot = &mut self.prompt[class(prompt_tokens)];
            learn(slot, tokens as f64, busy_ms);
        }
        self.seen.prompt += tokens as f64;
        self.forget();
    }

    /// Learns from a step that gave each of `batch` requests, with prompts of
    /// about `prompt_tokens` length, one token while `held` requests held a
    /// place. The others have their token at another stage of their chain or
    /// read their prompt, and would if every place were taken too: so a full
    /// step has as many more tokens as there are places for each one held.
    /// It takes hardly longer than a small one, see [`step_share`].
    pub fn learn_step(
        &mut self,
        prompt_tokens: u32,
        batch: u32,
        held: u32,
        step_ms: f64,
    ) {
        let places = f64::from(self.places);
        let held = f64::from(held.max(batch).max(1));
        let in_use = (held / places).min(1.0);
        let full_ms = step_ms / step_share(places, in_use);
        let tokens = f64::from(batch) / in_use;
        learn(&mut self.output[class(prompt_tokens)], tokens, full_ms);
        self.seen.output += f64::from(batch);
        self.forget();
    }

    /// Speed of a prompt of that length. Longer prompts are no slower than
    /// shorter ones, as the cost of the call is spread over more tokens.
    pub fn prompt_tokens_per_s(&self, prompt_tokens: u32) -> f64 {
        let class = class(prompt_tokens);
        if let Some(learned) = self.prompt[class] {
            return learned;
        }
        let shorter = self.prompt[..class].iter().flatten();
        match shorter.copied().reduce(f64::max) {
            Some(shorter) => shorter.max(self.guess.prompt),
            None => nearest(&self.prompt, class).unwrap_or(self.guess.prompt),
        }
    }

    /// Speed of all output together, beside a prompt of that length.
    pub fn output_tokens_per_s(&self, prompt_tokens: u32) -> f64 {
        let learned = nearest(&self.output, class(prompt_tokens));
        learned.unwrap_or(self.guess.output)
    }

    /// Mean time of a token of queued work; all output until a mix is seen.
    fn mean_token_ms(&self) -> f64 {
        let total = self.seen.prompt + self.seen.output;
        let prompt_share =
            if total > 0.0 { self.seen.prompt / total } else { 0.0 };
        let prompt_ms = MS_PER_S / self.prompt_tokens_per_s(0);
        let output_ms = MS_PER_S / self.output_tokens_per_s(0);
        prompt_share * prompt_ms + (1.0 - prompt_share) * output_ms
    }

    /// Halves what was seen from time to time, so that the mix stays recent.
    fn forget(&mut self) {
        if self.seen.prompt + self.seen.output > MIX_TOKENS {
            self.seen.prompt /= 2.0;
            self.seen.output /= 2.0;
        }
    }

    /// Whether any output was measured.
    pub fn is_learned(&self) -> bool {
        self.output.iter().any(Option::is_some)
    }
}

/// Wait behind `pending_tokens` of work of the learned mix.
pub fn expected_wait_ms(pending_tokens: u64, speed: &LearnedSpeed) -> u64 {
    (pending_tokens as f64 * speed.mean_token_ms()).ceil() as u64
}

/// Time that a request takes on a server of which the share `in_use`, 0 to
/// 1, is taken.
pub fn run_ms(shape: &RequestShape, speed: &LearnedSpeed, in_use: f64) -> u64 {
    let prompt_tokens = shape.prompt_tokens;
    let prompt_s =
        f64::from(prompt_tokens) / speed.prompt_tokens_per_s(prompt_tokens);
    let places = f64::from(speed.places);
    let full_step_s = places / speed.output_tokens_per_s(prompt_tokens);
    let step_s = full_step_s * step_share(places, in_use);
    let output_s = f64::from(shape.output_tokens) * step_s;
    ((prompt_s + output_s) * MS_PER_S).ceil() as u64
}

/// A request that cannot finish within its deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeadlineTooShort {
    /// What it would need.
    pub needed_ms: u64,
}

impl fmt::Display for DeadlineTooShort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the request needs {} ms", self.needed_ms)
    }
}

impl std::error::Error for DeadlineTooShort {}

/// Whether a request that waits for `wait_ms` and runs for `run_ms` can
/// finish within the `deadline_ms` that are left to it.
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

/// When a refused caller should come back: when about half of the queue is
/// done, and spread over as long again so that callers don't come together.
pub fn retry_after_ms(
    pending_tokens: u64,
    speed: &LearnedSpeed,
    rng: &mut fastrand::Rng,
) -> u64 {
    let half_ms = expected_wait_ms(pending_tokens, speed) / 2;
    let base_ms = half_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
    base_ms + rng.u64(0..=base_ms)
}

fn class(prompt_tokens: u32) -> usize {
    PROMPT_CLASSES_TOKENS
        .iter()
        .position(|&limit| prompt_tokens <= limit)
        .unwrap_or(PROMPT_CLASSES_TOKENS.len())
}

fn learn(slot: &mut Option<f64>, tokens: f64, busy_ms: f64) {
    if tokens == 0.0 || busy_ms.is_nan() || busy_ms <= 0.0 {
        return;
    }
    let seen = tokens * MS_PER_S / busy_ms;
    *slot = Some(match *slot {
        Some(old) => old + SMOOTHING * (seen - old),
        None => seen,
    });
}

fn nearest(learned: &[Option<f64>], class: usize) -> Option<f64> {
    let distance = |at: &usize| at.abs_diff(class);
    (0..learned.len())
        .filter(|&at| learned[at].is_some())
        .min_by_key(distance)
        .and_then(|at| learned[at])
}
