//! Requests sent straight to the engines: the baseline without a router.
//!
//! Each request picks one engine of each stage at random and runs its steps
//! itself, with one call per step and stage, through the engine client that
//! sides use. Without queues, limits, batching and records, this is the
//! minimum of work between a caller and the engines.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::{bail, ensure};
use chestnutreach_engine::{
    EngineClient, SequenceId, SequenceStep, StepInput, StepOutput,
};
use chestnutreach_fleet::Fleet;

use super::{Target, request_json};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Sampling parameters passed on with the first step.
const SAMPLING_PARAMETERS: &[u8] = b"{}";

/// The engines of a fleet, grouped by stage.
pub(crate) struct DirectTarget {
    stages: Vec<Vec<EngineClient>>,
    layer_bounds: Vec<u32>,
}

impl DirectTarget {
    /// Creates clients of the named engines of each stage. Stage `i` has the
    /// layers from `layer_bounds[i]` up to, but not including,
    /// `layer_bounds[i + 1]`.
    pub(crate) fn new(
        fleet: &Fleet,
        names: &[Vec<String>],
        layer_bounds: &[u32],
    ) -> DirectTarget {
        let address =
            |name: &String| -> SocketAddr { fleet.standin_address(name) };
        let client = |name| EngineClient::new(address(name), "desk-llm");
        let stages = names.iter().map(|s| s.iter().map(client).collect());
        DirectTarget {
            stages: stages.collect(),
            layer_bounds: layer_bounds.to_vec(),
        }
    }

    /// Runs one step through all stages and returns its token, with the count
    /// of positions that the step covered.
    async fn step(
        &self,
        chain: &[&EngineClient],
        mut step: SequenceStep,
    ) -> anyhow::Result<Token> {
        for (stage, engine) in chain.iter().enumerate() {
            let (first, end) =
                (self.layer_bounds[stage], self.layer_bounds[stage + 1]);
            let steps = std::slice::from_ref(&step);
            let results =
                engine.infer(first, end, steps, CALL_TIMEOUT).await?;
            let Some(result) = results.into_iter().next() else {
                bail!("an engine returned no result for the step");
            };
            let output = result?;
            let span = output.span;
            match output.output {
                StepOutput::Activation(bytes) => {
                    step.input = StepInput::Activation { span, bytes };
                    if step.position == 0 {
                        step.parameters_json = SAMPLING_PARAMETERS.to_vec();
                    }
                }
                StepOutput::Token { token, is_stop, .. } => {
                    return Ok(Token { token, span, is_stop });
                }
            }
        }
        bail!("none of the {} stages returned a token", chain.len())
    }
}

struct Token {
    token: u32,
    span: u32,
    is_stop: bool,
}

impl Target for DirectTarget {
    async fn request(
        &self,
        scheduled: Instant,
        max_tokens: u32,
    ) -> anyhow::Result<Vec<Duration>> {
        let random_index =
            |engines: &'_ Vec<EngineClient>| fastrand::usize(..engines.len());
        let chain: Vec<&EngineClient> =
            self.stages.iter().map(|s| &s[random_index(s)]).collect();
        let request = fastrand::u128(..);
        let sequence = SequenceId { request, attempt: 1 };
        let mut input = StepInput::Prompt {
            request_json: request_json(max_tokens).into_bytes(),
            delivered_tokens: Vec::new(),
        };
        let mut position = 0;
        let mut times = Vec::with_capacity(max_tokens as usize);
        for _ in 0..max_tokens {
            let step = SequenceStep {
                sequence,
                position,
                priority: 2,
                input,
                parameters_json: Vec::new(),
            };
            let token = self.step(&chain, step).await?;
            times.push(scheduled.elapsed());
            position += token.span;
            input = StepInput::Token(token.token);
            ensure!(!token.is_stop, "the answer stopped before max_tokens");
        }
        for engine in chain {
            engine.release(&[sequence]).await?;
        }
        Ok(times)
    }
}
