//! Requests straight to the engines: the baseline without a router.
//!
//! Each request picks one engine of each stage and drives its steps itself,
//! one call a step, over the same client that side processes use. There is
//! no queue, no limit, no batch and no record, which is as little as can be
//! done between a caller and the engines.

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

/// Longest wait for a call.
const CALL_LIMIT: Duration = Duration::from_secs(10);
/// Sampling settings that go with the first step.
const PARAMETERS: &[u8] = b"{}";

/// The engines of a fleet, by stage.
pub(crate) struct Direct {
    stages: Vec<Vec<EngineClient>>,
    bounds: Vec<u32>,
}

impl Direct {
    /// The engines with these names, for layers between these bounds.
    pub(crate) fn new(
        fleet: &Fleet,
        names: &[Vec<String>],
        bounds: &[u32],
    ) -> Direct {
        let address =
            |name: &String| -> SocketAddr { fleet.standin_address(name) };
        let client = |name| EngineClient::new(address(name), "desk-llm");
        let stages = names.iter().map(|s| s.iter().map(client).collect());
        Direct { stages: stages.collect(), bounds: bounds.to_vec() }
    }

    /// One step through all stages; the token and how many positions the
    /// step covered.
    async fn step(
        &self,
        chain: &[&EngineClient],
        mut step: SequenceStep,
    ) -> anyhow::Result<Token> {
        for (at, engine) in chain.iter().enumerate() {
            let (first, end) = (self.bounds[at], self.bounds[at + 1]);
            let steps = std::slice::from_ref(&step);
            let results = engine.infer(first, end, steps, CALL_LIMIT).await?;
            let Some(result) = results.into_iter().next() else {
                bail!("an engine answered no row");
            };
            let output = result?;
            let span = output.span;
            match output.output {
                StepOutput::Activation(bytes) => {
                    step.input = StepInput::Activation { span, bytes };
                    if step.position == 0 {
                        step.parameters_json = PARAMETERS.to_vec();
                    }
                }
                StepOutput::Token { token, is_stop, .. } => {
                    return Ok(Token { token, span, is_stop });
                }
            }
        }
        bail!("no token from {} stages", chain.len())
    }
}

struct Token {
    token: u32,
    span: u32,
    is_stop: bool,
}

impl Target for Direct {
    async fn request(
        &self,
        intended: Instant,
        max_tokens: u32,
    ) -> anyhow::Result<Vec<Duration>> {
        let pick =
            |engines: &'_ Vec<EngineClient>| fastrand::usize(..engines.len());
        let chain: Vec<&EngineClient> =
            self.stages.iter().map(|s| &s[pick(s)]).collect();
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
            times.push(intended.elapsed());
            position += token.span;
            input = StepInput::Token(token.token);
            ensure!(!token.is_stop, "the answer ended early");
        }
        for engine in chain {
            engine.release(&[sequence]).await?;
        }
        Ok(times)
    }
}
