//! Which steps and orders an engine rejects, and how its KV memory and prefix
//! cache behave.

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
    is_expected: fn(&SequenceError) -> bool,
}

fn is_out_of_order(e: &SequenceError) -> bool {
    matches!(e, SequenceError::OutOfOrder(_))
}

fn is_bad_request(e: &SequenceError) -> bool {
    matches!(e, SequenceError::BadRequest(_))
}

#[rstest]
#[case::repeated_prompt(StepCase {
    position: 0, input: prompt("a b c"), is_expected: is_out_of_order,
})]
#[case::repeated_token(StepCase {
    position: 3, input: StepInput::Token(1), is_expected: is_out_of_order,
})]
#[case::gap(StepCase {
    position: 5, input: StepInput::Token(1), is_expected: is_out_of_order,
})]
#[case::late_prompt(StepCase {
    position: 4, input: prompt("a b c"), is_expected: is_bad_request,
})]
#[case::activation_at_the_first_layer(StepCase {
    position: 4,
    input: StepInput::Activation { span: 1, bytes: vec![0; 16] },
    is_expected: is_bad_request,
})]
fn rejected_step_leaves_the_sequence_unchanged(#[case] case: StepCase) {
    let engine = whole_engine();
    block_on(async {
        let first = step(id(1), 0, prompt("a b c"));
        assert_eq!(engine.run_one(first).await.unwrap().span, 3);
        let second = step(id(1), 3, StepInput::Token(7));
        let expected = engine.run_one(second).await.unwrap();
        assert_eq!(expected.span, 1);
        let rejected = step(id(1), case.position, case.input);
        let error = engine.run_one(rejected).await.unwrap_err();
        assert!((case.is_expected)(&error), "{error:?}");
        let next = step(id(1), 4, StepInput::Token(7));
        assert_eq!(engine.run_one(next).await.unwrap().span, 1);
    });
}

#[test]
fn invalid_rows_do_not_affect_other_rows_of_the_batch() {
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
fn step_for_layers_that_are_not_loaded_is_rejected() {
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
        let result = engine.run_one(second.clone()).await;
        assert_eq!(result, Err(SequenceError::NoMemory));
        assert_eq!(engine.client.load().await.unwrap().cache_used_tokens, 3);
        engine.client.release(&[id(1), id(9)]).await.unwrap();
        assert_eq!(engine.run_one(second).await.unwrap().span, 2);
        let released = step(id(1), 3, StepInput::Token(1));
        let error = engine.run_one(released).await.unwrap_err();
        assert!(is_out_of_order(&error));
    });
}

#[test]
fn idle_sequences_are_evicted_when_memory_is_full() {
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
fn cached_prefix_does_not_change_the_output() {
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
    is_rejected: bool,
}

#[rstest]
#[case::checked(OrderCase { checks_fencing: true, is_rejected: true })]
#[case::ignored(OrderCase { checks_fencing: false, is_rejected: false })]
fn old_fencing_number_is_rejected_only_if_checked(#[case] case: OrderCase) {
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
        let is_rejected = matches!(
            old,
            Err(EngineError::OldFencingNumber { sent: 6, held: 7 })
        );
        assert_eq!(is_rejected, case.is_rejected, "{old:?}");
        let output = engine.run_one(step(id(1), 0, prompt("a"))).await;
        assert!(matches!(output.unwrap().output, StepOutput::Activation(_)));
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
        let check = async {
            async_io::Timer::after(TIMEOUT / 100).await;
            engine.client.is_ready().await
        };
        let (loaded, was_ready) = futures_lite::future::zip(load, check).await;
        loaded.unwrap();
        assert!(!was_ready);
        assert!(engine.client.is_ready().await);
    });
}
