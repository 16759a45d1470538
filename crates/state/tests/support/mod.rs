//! Runs a state machine test with a fixed seed and reports its failure.

use proptest::test_runner::{
    Config, RngAlgorithm, TestError, TestRng, TestRunner,
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Most transitions of one case.
const MAX_TRANSITIONS: usize = 120;

/// Runs the cases and tells the first failure, if any. `PROPTEST_CASES` sets
/// their number.
pub fn failure<T>() -> Option<String>
where
    T: StateMachineTest,
{
    let config = Config { failure_persistence: None, ..Config::default() };
    let seed = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config.clone(), seed);
    let strategy = T::Reference::sequential_strategy(1..MAX_TRANSITIONS);
    let outcome = runner.run(&strategy, |(state, transitions, seen)| {
        T::test_sequential(config.clone(), state, transitions, seen);
        Ok(())
    });
    match outcome {
        Ok(()) => None,
        Err(TestError::Fail(why, (_, transitions, _))) => {
            Some(format!("{why}, after {transitions:?}"))
        }
        Err(TestError::Abort(why)) => panic!("no cases: {why}"),
    }
}
