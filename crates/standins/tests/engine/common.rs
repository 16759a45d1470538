//! A chain of engines driven step by step.

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
    pub running: StandinThread,
    pub client: EngineClient,
    pub layers: Range<u32>,
}

impl Stage {
    pub fn start(options: EngineOptions, layers: Range<u32>) -> Stage {
        let running = StandinThread::engine(options).unwrap();
        let client = EngineClient::new(running.address(), MODEL);
        Stage { running, client, layers }
    }

    pub async fn run(&self, steps: &[SequenceStep]) -> Vec<Outcome> {
        let Range { start, end } = self.layers;
        self.client.infer(start, end, steps, TIMEOUT).await.unwrap()
    }

    pub async fn run_one(&self, step: SequenceStep) -> Outcome {
        self.run(&[step]).await.remove(0)
    }
}

/// A token of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    pub token: u32,
    pub text: String,
    pub is_stop: bool,
}

impl Chain {
    pub fn start(cuts: &[u32]) -> Chain {
        let stages = cuts.windows(2).map(|cut| {
            let layers = cut[0]..cut[1];
            Stage::start(options(layers.clone()), layers)
        });
        Chain { stages: stages.collect() }
    }

    /// Tokens that follow `delivered`, up to `count` in all.
    pub async fn answer(
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
        panic!("the last stage gave no token");
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
