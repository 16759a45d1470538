//! Order of the steps at a stage.

use chestnutreach_state::{StepGate, StepRefusal};
use proptest::prelude::*;
use rstest::rstest;

const ATTEMPT: u32 = 3;
const FIRST_LAYER: u32 = 8;

struct Case {
    /// Spans of the steps that were accepted before.
    accepted: &'static [u32],
    /// Attempt, first layer, position and span of the next step.
    step: (u32, u32, u32, u32),
    outcome: Result<(), StepRefusal>,
    next_position: u32,
}

#[rstest]
#[case::first(Case {
    accepted: &[],
    step: (ATTEMPT, FIRST_LAYER, 0, 5),
    outcome: Ok(()),
    next_position: 5,
})]
#[case::next(Case {
    accepted: &[5],
    step: (ATTEMPT, FIRST_LAYER, 5, 1),
    outcome: Ok(()),
    next_position: 6,
})]
#[case::repeated(Case {
    accepted: &[5],
    step: (ATTEMPT, FIRST_LAYER, 0, 5),
    outcome: Err(StepRefusal::Repeated),
    next_position: 5,
})]
#[case::overlapping(Case {
    accepted: &[5],
    step: (ATTEMPT, FIRST_LAYER, 4, 2),
    outcome: Err(StepRefusal::Repeated),
    next_position: 5,
})]
#[case::gap(Case {
    accepted: &[5],
    step: (ATTEMPT, FIRST_LAYER, 6, 1),
    outcome: Err(StepRefusal::Gap),
    next_position: 5,
})]
#[case::older_attempt(Case {
    accepted: &[5],
    step: (ATTEMPT - 1, FIRST_LAYER, 5, 1),
    outcome: Err(StepRefusal::OtherAttempt),
    next_position: 5,
})]
#[case::newer_attempt(Case {
    accepted: &[5],
    step: (ATTEMPT + 1, FIRST_LAYER, 5, 1),
    outcome: Err(StepRefusal::OtherAttempt),
    next_position: 5,
})]
#[case::wrong_layer(Case {
    accepted: &[5],
    step: (ATTEMPT, FIRST_LAYER + 1, 5, 1),
    outcome: Err(StepRefusal::WrongLayer),
    next_position: 5,
})]
#[case::empty(Case {
    accepted: &[5],
    step: (ATTEMPT, FIRST_LAYER, 5, 0),
    outcome: Err(StepRefusal::BadSpan),
    next_position: 5,
})]
#[case::last_position(Case {
    accepted: &[u32::MAX - 1],
    step: (ATTEMPT, FIRST_LAYER, u32::MAX - 1, 1),
    outcome: Ok(()),
    next_position: u32::MAX,
})]
#[case::beyond_the_last_position(Case {
    accepted: &[u32::MAX],
    step: (ATTEMPT, FIRST_LAYER, u32::MAX, 1),
    outcome: Err(StepRefusal::BadSpan),
    next_position: u32::MAX,
})]
fn only_the_next_step_is_accepted(#[case] case: Case) {
    let mut gate = StepGate::new(ATTEMPT, FIRST_LAYER);
    for span in case.accepted {
        let position = gate.next_position();
        gate.accept(ATTEMPT, FIRST_LAYER, position, *span).unwrap();
    }
    let (attempt, first_layer, position, span) = case.step;
    let outcome = gate.accept(attempt, first_layer, position, span);
    assert_eq!(outcome, case.outcome);
    assert_eq!(gate.next_position(), case.next_position);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        // Use the same cases in every run.
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Each position is accepted once and in order, whatever steps arrive.
    #[test]
    fn no_position_is_repeated_or_skipped(
        steps in proptest::collection::vec((0u32..3, 0u32..12, 0u32..4), 0..60)
    ) {
        let mut gate = StepGate::new(1, FIRST_LAYER);
        let mut accepted = Vec::new();
        for (attempt, position, span) in steps {
            if gate.accept(attempt, FIRST_LAYER, position, span).is_ok() {
                prop_assert_eq!(attempt, 1);
                accepted.extend(position..position + span);
            }
        }
        let expected: Vec<u32> = (0..gate.next_position()).collect();
        prop_assert_eq!(accepted, expected);
    }
}
