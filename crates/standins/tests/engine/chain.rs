//! The answer of a chain doesn't depend on the layer ranges of its stages or
//! on the token at which it was resumed, and every layer runs once at every
//! position.

use async_io::block_on;
use chestnutreach_engine::{SequenceId, StepInput, StepOutput};
use chestnutreach_http::{Client, ClientOptions};
use chestnutreach_standins::{
    engine::{RunRecord, expected_answer},
    record::Numbered,
};
use http_types::{Method, Request};
use rstest::rstest;

use crate::common::{
    Chain, LAYER_COUNT, Stage, TIMEOUT, Token, id, options, prompt, step,
};

const REQUEST: &str = r#"{"messages":[
    {"role":"system","content":"You write letters."},
    {"role":"user","content":[{"type":"text","text":"Letter for Fatou"}]}
]}"#;
const PROMPT: &str = "You write letters. Letter for Fatou";
const PROMPT_TOKENS: u32 = 6;

struct Case {
    bounds: &'static [u32],
    delivered_tokens: usize,
}

#[rstest]
#[case::halves(Case { bounds: &[0, 12, 24], delivered_tokens: 0 })]
#[case::whole(Case { bounds: &[0, 24], delivered_tokens: 0 })]
#[case::uneven(Case { bounds: &[0, 1, 7, 23, 24], delivered_tokens: 0 })]
#[case::resumed_early(Case { bounds: &[0, 12, 24], delivered_tokens: 1 })]
#[case::resumed_late(Case { bounds: &[0, 5, 24], delivered_tokens: 7 })]
fn gives_the_expected_answer(#[case] case: Case) {
    let expected = expected_answer(PROMPT, LAYER_COUNT, 9);
    let delivered: Vec<u32> = expected[..case.delivered_tokens]
        .iter()
        .map(|(token, _)| *token)
        .collect();
    let chain = Chain::start(case.bounds);
    let sequence = SequenceId { request: 5 << 100, attempt: 3 };
    let answer = block_on(chain.generate(
        sequence,
        REQUEST,
        &delivered,
        expected.len(),
    ));
    let answer: Vec<(u32, String)> =
        answer.into_iter().map(|t| (t.token, t.text)).collect();
    assert_eq!(answer, expected[case.delivered_tokens..]);
    for stage in &chain.stages {
        let record = block_on(record(stage.standin.address()));
        check_record(&record, sequence, &stage.layers, 8 + PROMPT_TOKENS);
    }
}

async fn record(address: std::net::SocketAddr) -> Vec<Numbered<RunRecord>> {
    let client = Client::new(address, ClientOptions::new());
    let url = client.url("/record?since=0").unwrap();
    let request = Request::new(Method::Get, url);
    let (_, body) = client.send(request, TIMEOUT).await.unwrap();
    let lines = body.split(|byte| *byte == b'\n');
    lines
        .filter(|line| !line.is_empty())
        .map(|line| serde_json::from_slice(line).unwrap())
        .collect()
}

/// Asserts that the record covers each position once, in order, with all
/// layers of the stage.
fn check_record(
    record: &[Numbered<RunRecord>],
    sequence: SequenceId,
    layers: &std::ops::Range<u32>,
    positions: u32,
) {
    let mut next_position = 0;
    for (seq, run) in (0..).zip(record) {
        assert_eq!(run.seq, seq);
        let run = &run.entry;
        assert_eq!(run.request, format!("{:032x}", sequence.request));
        assert_eq!(run.attempt, sequence.attempt);
        assert_eq!(run.first_layer..run.end_layer, *layers);
        assert_eq!(run.position, next_position);
        next_position += run.span;
    }
    assert_eq!(next_position, positions);
}

#[test]
fn stops_after_the_requested_token() {
    let chain = Chain::start(&[0, 12, 24]);
    let request = r#"{"prompt":"a b c","x_stop_after":3}"#;
    let stop_flags = |tokens: Vec<Token>| {
        tokens.iter().map(|t| t.is_stop).collect::<Vec<_>>()
    };
    let whole = block_on(chain.generate(id(1), request, &[], 3));
    let first = whole[0].token;
    assert_eq!(stop_flags(whole), [false, false, true]);
    let resumed = block_on(chain.generate(id(2), request, &[first], 3));
    assert_eq!(stop_flags(resumed), [false, true]);
}

#[test]
fn answers_differ_by_prompt_and_layer_count() {
    let cases = [("a b", 24), ("b a", 24), ("a b c", 24), ("a b", 23)];
    let answers: std::collections::BTreeSet<_> = cases
        .iter()
        .map(|(prompt, layers)| expected_answer(prompt, *layers, 4))
        .collect();
    assert_eq!(answers.len(), cases.len());
}

struct LayerRanges {
    first: std::ops::Range<u32>,
    second: std::ops::Range<u32>,
}

#[rstest]
#[case::missing(LayerRanges { first: 0..11, second: 12..24 })]
#[case::repeated(LayerRanges { first: 0..13, second: 12..24 })]
fn missing_or_repeated_layers_change_the_answer(#[case] case: LayerRanges) {
    let start_stage = |layers: &std::ops::Range<u32>| {
        Stage::start(options(layers.clone()), layers.clone())
    };
    let (first, second) =
        (start_stage(&case.first), start_stage(&case.second));
    let output = block_on(async {
        let output = first.run_one(step(id(1), 0, prompt("a b"))).await;
        let StepOutput::Activation(bytes) = output.unwrap().output else {
            panic!("the first stage returned no activation");
        };
        let input = StepInput::Activation { span: 2, bytes };
        second.run_one(step(id(1), 0, input)).await.unwrap().output
    });
    let StepOutput::Token { token, .. } = output else {
        panic!("the second stage returned no token");
    };
    assert_ne!(token, expected_answer("a b", LAYER_COUNT, 1)[0].0);
}
