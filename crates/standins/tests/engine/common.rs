//! Starts a chain of engine stand-ins and runs sequences on them step by step.

use std::{ops::Range, time::Duration};

use chestnutreach_engine::{
    EngineClient, SequenceError, SequenceId, SequenceOutput, SequenceStep,
    StepInput, StepOutput,
};
use chestnutreach_standins::{
    engine::EngineOptions, standin_thread::StandinThread,
};

pub const LAYER_COUNT: u32 = 24;
pub const MODEL: &str = "desk-llm";
pub const TIMEOUT: Duration = Duration::from_secs(10);

pub type Outcome = Result<SequenceOutput, SequenceError>;

pub fn options(layers: Range<u32>) -> EngineOptions {
    EngineOptions::new(MODEL, layers.start, layers.end, LAYER_COUNT).unwrap()
}

pub struct Chain {
    pub stages: Vec<Stage>,
}

pub struct Stage {
    pub standin: StandinThread,
    pub client: EngineClient,
    pub layers: Range<u32>,
}

impl Stage {
    pub fn start(options: EngineOptions, layers: Range<u32>) -> Stage {
        let standin = StandinThread::engine(options).unwrap();
        let client = EngineClient::new(standin.address(), MODEL);
        Stage { standin, client, layers }
    }

    pub async fn run(&self, steps: &[SequenceStep]) -> Vec<Outcome> {
        let Range { start, end } = self.layers;
        self.client.infer(start, end, steps, TIMEOUT).await.unwrap()
    }

    pub async fn run_one(&self, step: SequenceStep) -> Outcome {
        self.run(&[step]).await.remove(0)
    }
}

/// A generated token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    pub token: u32,
    pub text: String,
    pub is_stop: bool,
}

impl Chain {
    pub fn start(bounds: &[u32]) -> Chain {
        let stages = bounds.windows(2).map(|pair| {
            let layers = pair[0]..pair[1];
            Stage::start(options(layers.clone()), layers)
        });
        Chain { stages: stages.collect() }
    }

    /// Generates the tokens that follow `delivered`, up to `count` tokens
    /// including `delivered`.
    pub async fn generate(
        &self,
        sequence: SequenceId,
        request_json: &str,
        delivered: &[u32],
        count: usize,
    ) -> Vec<Token> {
        let mut input = StepInput::Prompt {
            request_json: request_json.into(),
            delivered_tokens: delivered.to_vec(),
        };
        let mut position = 0;
        let mut tokens = Vec::new();
        while delivered.len() + tokens.len() < count {
            let (span, token) = self.step(sequence, position, input).await;
            position += span;
            input = StepInput::Token(token.token);
            tokens.push(token);
        }
        tokens
    }

    async fn step(
        &self,
        sequence: SequenceId,
        position: u32,
        mut input: StepInput,
    ) -> (u32, Token) {
        for stage in &self.stages {
            let output = stage
                .run_one(step(sequence, position, input.clone()))
                .await
                .unwrap();
            let span = output.span;
            match output.output {
                StepOutput::Activation(bytes) => {
                    input = StepInput::Activation { span, bytes };
                }
                StepOutput::Token { token, text, is_stop } => {
                    return (span, Token { token, text, is_stop });
                }
            }
        }
        panic!("the last stage returned no token");
    }
}

pub fn step(
    sequence: SequenceId,
    position: u32,
    input: StepInput,
) -> SequenceStep {
    let parameters_json = Vec::new();
    SequenceStep { sequence, position, priority: 2, input, parameters_json }
}

pub fn prompt(text: &str) -> StepInput {
    StepInput::Prompt {
        request_json: format!("{{\"prompt\":\"{text}\"}}").into(),
        delivered_tokens: Vec::new(),
    }
}

pub fn id(request: u128) -> SequenceId {
    SequenceId { request, attempt: 0 }
}
