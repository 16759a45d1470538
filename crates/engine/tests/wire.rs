//! Messages keep their contents through JSON, and invalid messages are
//! rejected.

use chestnutreach_engine::{
    SequenceError, SequenceId, SequenceOutput, SequenceStep, StepInput,
    StepOutput,
    wire::{
        InferResult, decode_request, decode_response, encode_request,
        encode_response,
    },
};
use rstest::rstest;

fn id(request: u128) -> SequenceId {
    SequenceId { request, attempt: 2 }
}

fn step(request: u128, input: StepInput) -> SequenceStep {
    SequenceStep {
        sequence: id(request),
        position: u32::MAX,
        priority: 3,
        input,
        parameters_json: b"{\"temperature\":0.5}".to_vec(),
    }
}

fn steps() -> Vec<SequenceStep> {
    let request_json = "{\"prompt\":\"né à \\\"Kaolack\\\"\"}".into();
    let delivered_tokens = vec![0, 7, u32::MAX];
    let span = 3;
    vec![
        step(u128::MAX, StepInput::Prompt { request_json, delivered_tokens }),
        step(0, StepInput::Token(u32::MAX)),
        step(1, StepInput::Activation { span, bytes: vec![0, 255, 3] }),
    ]
}

fn output(output: StepOutput) -> InferResult {
    let prompt_tokens = 6;
    Ok(SequenceOutput { span: 9, prompt_tokens, cached_tokens: 3, output })
}

fn results() -> Vec<InferResult> {
    let text = "né \"w1\"\n".to_owned();
    vec![
        output(StepOutput::Token { token: 1, text, is_stop: true }),
        output(StepOutput::Activation(vec![1, 2, 3, 4])),
        Err(SequenceError::OutOfOrder("position 3: expected 4".to_owned())),
    ]
}

fn response(id: &str, of: &[SequenceStep]) -> Vec<u8> {
    let ids = of.iter().map(|step| step.sequence);
    let rows: Vec<_> = ids.zip(results()).collect();
    encode_response("desk-llm", id, &rows)
}

#[test]
fn requests_round_trip() {
    let steps = steps();
    let call = decode_request(&encode_request("c", 3, 9, &steps)).unwrap();
    assert_eq!(
        (call.id.as_str(), call.first_layer, call.end_layer),
        ("c", 3, 9)
    );
    let received: Result<Vec<_>, _> =
        call.rows.into_iter().map(|row| row.step).collect();
    assert_eq!(received, Ok(steps));
}

#[test]
fn responses_round_trip() {
    let steps = steps();
    let body = response("c", &steps);
    assert_eq!(decode_response(&body, "c", &steps).unwrap(), results());
}

#[test]
fn every_error_round_trips() {
    let errors = [
        SequenceError::BadRequest("a: b".to_owned()),
        SequenceError::OutOfOrder(String::new()),
        SequenceError::NoMemory,
        SequenceError::Other("bad_request: not one".to_owned()),
    ];
    for error in errors {
        let row = (id(1), Err(error.clone()));
        let body = encode_response("desk-llm", "c", &[row]);
        let step = step(1, StepInput::Token(1));
        let results = decode_response(&body, "c", &[step]).unwrap();
        assert_eq!(results, [Err(error)]);
    }
}

#[test]
fn responses_to_other_calls_or_sequences_are_rejected() {
    let steps = steps();
    let body = response("c", &steps);
    assert!(decode_response(&body, "d", &steps).is_err());
    assert!(decode_response(&body, "c", &steps[..2]).is_err());
    let mut swapped = steps.clone();
    swapped.swap(0, 1);
    assert!(decode_response(&body, "c", &swapped).is_err());
}

struct Replacement {
    from: &'static str,
    to: &'static str,
    error: &'static str,
}

#[rstest]
#[case::row_count(Replacement {
    from: r#""data":[3,3,3]"#, to: r#""data":[3,3]"#,
    error: "tensor \"priority\" has 2 elements, not 3",
})]
#[case::name(Replacement {
    from: r#""name":"kind""#, to: r#""name":"sort""#,
    error: "no tensor \"kind\"",
})]
#[case::sequence(Replacement {
    from: "/2", to: "/-2", error: "is not \"<request in hex>/<attempt>\"",
})]
#[case::layers(Replacement {
    from: r#""first_layer":3"#, to: r#""first_layer":9"#,
    error: "layers 9..9 are no range",
})]
#[case::number(Replacement {
    from: "4294967295", to: "4294967296",
    error: "a string, or a number of 32 bits",
})]
#[case::truncated(Replacement { from: "}]}", to: "}", error: "EOF" })]
fn invalid_requests_are_rejected(#[case] case: Replacement) {
    let body = encode_request("c", 3, 9, &steps());
    let text = String::from_utf8(body).unwrap();
    assert!(text.contains(case.from), "{text}");
    let changed = text.replace(case.from, case.to);
    let error = decode_request(changed.as_bytes()).unwrap_err().to_string();
    assert!(error.contains(case.error), "{error}");
}

#[rstest]
#[case::priority(Replacement {
    from: r#""data":[3,3,3]"#, to: r#""data":[3,0,3]"#,
    error: "priority 0 is not in 1..=3",
})]
#[case::kind(Replacement {
    from: r#""token","activation""#, to: r#""tokens","activation""#,
    error: "no kind of step \"tokens\"",
})]
#[case::type_of_column(Replacement {
    from: r#""data":[0,4294967295,0]"#, to: r#""data":[0,"1",0]"#,
    error: "tensor \"token\" is not UINT32",
})]
fn an_invalid_row_does_not_affect_other_rows(#[case] case: Replacement) {
    let body = encode_request("c", 3, 9, &steps());
    let text = String::from_utf8(body).unwrap();
    assert!(text.contains(case.from), "{text}");
    let changed = text.replace(case.from, case.to);
    let rows = decode_request(changed.as_bytes()).unwrap().rows;
    assert!(rows[0].step.is_ok() && rows[2].step.is_ok());
    let error = rows[1].step.clone().unwrap_err().to_string();
    assert!(error.contains(case.error), "{error}");
}
