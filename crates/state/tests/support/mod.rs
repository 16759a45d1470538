//! Runs a state machine test with a fixed seed and reports its failure.

use proptest::test_runner::{
    Config, RngAlgorithm, TestError, TestRng, TestRunner,
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Most transitions of one case.
const MAX_TRANSITIONS: usize = 120;

/// Cases after which code broken on purpose must have been caught.
const CASES_OF_BROKEN: u32 = 5_000;

/// Runs the cases and tells the first failure, if any. `PROPTEST_CASES` sets
/// their number.
pub fn failure<T>() -> Option<String>
where
    T: StateMachineTest,
{
    run::<T>(Config::default())
}

/// Runs code broken on purpose until it fails, and tells how.
pub fn failure_of_broken<T>() -> String
where
    T: StateMachineTest,
{
    let cases = CASES_OF_BROKEN;
    let failure = run::<T>(Config { cases, ..Config::default() });
    failure.expect("the broken code is caught")
}

fn run<T>(config: Config) -> Option<String>
where
    T: StateMachineTest,
{
    let config = Config { failure_persistence: None, ..config };
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
