//! Runs a state machine test with a fixed seed and returns its failure.

use proptest::test_runner::{
    Config, RngAlgorithm, TestError, TestRng, TestRunner,
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Maximum number of transitions in one case.
const MAX_TRANSITIONS: usize = 120;

/// Number of cases in which a deliberate fault must be detected.
const CASES_FOR_FAULTY: u32 = 5_000;

/// Returns the first failure, if any. `PROPTEST_CASES` sets the number of
/// cases.
pub fn find_failure<T>() -> Option<String>
where
    T: StateMachineTest,
{
    run::<T>(Config::default())
}

/// Returns the failure of code with a deliberate fault.
pub fn find_failure_of_faulty<T>() -> String
where
    T: StateMachineTest,
{
    let cases = CASES_FOR_FAULTY;
    let failure = run::<T>(Config { cases, ..Config::default() });
    failure.expect("the deliberate fault is detected")
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
        Err(TestError::Abort(why)) => {
            panic!("cases can't be generated: {why}")
        }
    }
}
