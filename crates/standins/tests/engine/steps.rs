//! What an engine refuses, and what its memory and cache do.

use async_io::block_on;
use chestnutreach_engine::{
    EngineError, LoadOrder, SequenceError, StepInput, StepOutput,
};
use rstest::rstest;

use crate::common::{
    LAYER_COUNT, MODEL, Stage, TIMEOUT, id, options, prompt, step,
};

fn whole_engine() -> Stage {
    Stage::start(options(0..LAYER_COUNT), 0..LAYER_COUNT)
}

struct StepCase {
    position: u32,
    input: StepInput,
    refusal: fn(&SequenceError) -> bool,
}

fn is_out_of_order(e: &SequenceError) -> bool {
    matches!(e, SequenceError::OutOfOrder(_))
}

fn is_bad_request(e: &SequenceError) -> bool {
    matches!(e, SequenceError::BadRequest(_))
}

#[rstest]
#[case::repeated_prompt(StepCase {
    position: 0, input: prompt("a b c"), refusal: is_out_of_order,
})]
#[case::repeated_token(StepCase {
    position: 3, input: StepInput::Token(1), refusal: is_out_of_order,
})]
#[case::gap(StepCase {
    position: 5, input: StepInput::Token(1), refusal: is_out_of_order,
})]
#[case::late_prompt(StepCase {
    position: 4, input: prompt("a b c"), refusal: is_bad_request,
})]
#[case::activation_at_the_first_layer(StepCase {
    position: 4,
    input: StepInput::Activation { span: 1, bytes: vec![0; 16] },
    refusal: is_bad_request,
})]
fn refuses_and_goes_on(#[case] case: StepCase) {
    let engine = whole_engine();
    block_on(async {
        let first = step(id(1), 0, prompt("a b c"));
        assert_eq!(engine.run_one(first).await.unwrap().span, 3);
        let second = step(id(1), 3, StepInput::Token(7));
        let expected = engine.run_one(second).await.unwrap();
        assert_eq!(expected.span, 1);
        let refused = step(id(1), case.position, case.input);
        let error = engine.run_one(refused).await.unwrap_err();
        assert!((case.refusal)(&error), "{error:?}");
        let next = step(id(1), 4, StepInput::Token(7));
        assert_eq!(engine.run_one(next).await.unwrap().span, 1);
    });
}

#[test]
fn a_bad_row_does_not_spoil_its_batch() {
    let engine = whole_engine();
    let mut bad_priority = step(id(1), 0, prompt("a"));
    bad_priority.priority = 4;
    let batch = [
        bad_priority,
        step(id(2), 0, prompt("a b")),
        step(id(3), 0, StepInput::Token(1)),
        step(id(4), 0, prompt("a b c")),
    ];
    let results = block_on(engine.run(&batch));
    let spans: Vec<Option<u32>> =
        results.iter().map(|r| r.as_ref().ok().map(|o| o.span)).collect();
    assert_eq!(spans, [None, Some(2), None, Some(3)]);
}

#[test]
fn other_layers_are_refused() {
    let engine = Stage::start(options(0..12), 0..13);
    let error = block_on(engine.run_one(step(id(1), 0, prompt("a"))));
    assert!(is_bad_request(&error.unwrap_err()));
}

#[test]
fn release_frees_memory() {
    let small = options(0..LAYER_COUNT).cache_tokens(4);
    let engine = Stage::start(small, 0..LAYER_COUNT);
    block_on(async {
        let first = step(id(1), 0, prompt("a b c"));
        engine.run_one(first).await.unwrap();
        let second = step(id(2), 0, prompt("d e"));
        let full = engine.run_one(second.clone()).await;
        assert_eq!(full, Err(SequenceError::NoMemory));
        assert_eq!(engine.client.load().await.unwrap().cache_used_tokens, 3);
        engine.client.release(&[id(1), id(9)]).await.unwrap();
        assert_eq!(engine.run_one(second).await.unwrap().span, 2);
        let gone = step(id(1), 3, StepInput::Token(1));
        let error = engine.run_one(gone).await.unwrap_err();
        assert!(is_out_of_order(&error));
    });
}

#[test]
fn idle_sequences_give_way() {
    let small = options(0..LAYER_COUNT).cache_tokens(4).sequence_idle_ms(0);
    let engine = Stage::start(small, 0..LAYER_COUNT);
    block_on(async {
        for request in 1..4 {
            let step = step(id(request), 0, prompt("a b c"));
            assert_eq!(engine.run_one(step).await.unwrap().span, 3);
        }
    });
}

#[test]
fn cached_prefix_changes_no_answer() {
    let engine = whole_engine();
    let text = "word ".repeat(40);
    block_on(async {
        let first = engine.run_one(step(id(1), 0, prompt(&text))).await;
        let second = engine.run_one(step(id(2), 0, prompt(&text))).await;
        let (first, second) = (first.unwrap(), second.unwrap());
        assert_eq!((first.cached_tokens, first.prompt_tokens), (0, 40));
        assert_eq!((second.cached_tokens, second.span), (32, 40));
        assert_eq!(first.output, second.output);
        assert!(matches!(first.output, StepOutput::Token { .. }));
    });
}

struct OrderCase {
    checks_fencing: bool,
    is_refused: bool,
}

#[rstest]
#[case::checked(OrderCase { checks_fencing: true, is_refused: true })]
#[case::ignored(OrderCase { checks_fencing: false, is_refused: false })]
fn old_fencing_numbers(#[case] case: OrderCase) {
    let options = options(0..LAYER_COUNT).checks_fencing(case.checks_fencing);
    let engine = Stage::start(options, 0..12);
    let order = |fencing_number| LoadOrder {
        model: MODEL.to_owned(),
        version: "2".to_owned(),
        adapter: None,
        first_layer: 0,
        end_layer: 12,
        fencing_number,
    };
    block_on(async {
        engine.client.order(&order(7)).await.unwrap();
        engine.client.order(&order(7)).await.unwrap();
        let old = engine.client.order(&order(6)).await;
        let is_refused = matches!(
            old,
            Err(EngineError::OldFencingNumber { sent: 6, held: 7 })
        );
        assert_eq!(is_refused, case.is_refused, "{old:?}");
        let out = engine.run_one(step(id(1), 0, prompt("a"))).await;
        assert!(matches!(out.unwrap().output, StepOutput::Activation(_)));
    });
}

#[test]
fn not_ready_while_weights_load() {
    let slow = options(0..LAYER_COUNT).load_ms_per_layer(20);
    let engine = Stage::start(slow, 0..12);
    let order = LoadOrder {
        model: MODEL.to_owned(),
        version: "2".to_owned(),
        adapter: Some("letters".to_owned()),
        first_layer: 0,
        end_layer: 12,
        fencing_number: 1,
    };
    block_on(async {
        assert!(engine.client.is_ready().await);
        let load = engine.client.order(&order);
        let look = async {
            async_io::Timer::after(TIMEOUT / 100).await;
            engine.client.is_ready().await
        };
        let (loaded, was_ready) = futures_lite::future::zip(load, look).await;
        loaded.unwrap();
        assert!(!was_ready);
        assert!(engine.client.is_ready().await);
    });
}
