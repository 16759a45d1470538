//! Attempts of a request at backend servers that lose responses, exit and
//! return.

use std::collections::{BTreeMap, BTreeSet};

use chestnutreach_routing::{Attempts, CountedBackends};
use proptest::prelude::*;
use rstest::rstest;

const BACKEND_COUNT: usize = 4;

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// The request runs and the response reports a failure.
    Failure,
    /// The request runs and the response is lost.
    ResponseLost,
    /// The request is lost before it runs, which the entry cannot see.
    RequestLost,
    /// The backend server states that the request did not run.
    Refused,
}

/// Faults put into the simulation, to show that the check detects them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    Correct,
    /// A lost response counts as a refusal.
    LossCountsAsRefusal,
    /// The limit on backend servers is ignored.
    NoLimit,
    /// A backend server counts as exited before it exits.
    ExitsAreForeseen,
}

#[derive(Clone, Debug)]
struct Step {
    backend: usize,
    outcome: Outcome,
    /// Whether the process of the server exits before the next attempt.
    exits: bool,
}

#[derive(Clone, Debug)]
struct Case {
    may_repeat: bool,
    max_backends: usize,
    counted: CountedBackends,
    steps: Vec<Step>,
}

/// Simulates a case and returns the rule that it broke, if any.
fn simulate(case: &Case, variant: Variant) -> Result<(), String> {
    let mut attempts =
        Attempts::new(case.may_repeat, case.max_backends, case.counted);
    let mut runs = 0;
    let mut ran_at: BTreeSet<usize> = BTreeSet::new();
    let mut contacted: BTreeMap<usize, u32> = BTreeMap::new();
    for step in &case.steps {
        let may_retry = attempts.may_retry()
            || variant == Variant::NoLimit
                && (case.may_repeat || !attempts.may_have_run());
        if !may_retry {
            break;
        }
        let name = step.backend.to_string();
        attempts.begin(&name);
        *contacted.entry(step.backend).or_default() += 1;
        let does_run =
            matches!(step.outcome, Outcome::Failure | Outcome::ResponseLost);
        if does_run {
            runs += 1;
            ran_at.insert(step.backend);
        }
        let is_lost = matches!(
            step.outcome,
            Outcome::ResponseLost | Outcome::RequestLost
        );
        if step.outcome == Outcome::Refused
            || is_lost && variant == Variant::LossCountsAsRefusal
        {
            attempts.record_not_run();
        }
        if step.exits {
            attempts.record_backend_exit(&name);
            ran_at.remove(&step.backend);
        } else if variant == Variant::ExitsAreForeseen && is_lost {
            attempts.record_backend_exit(&name);
        }
    }
    if !case.may_repeat && runs > 1 {
        return Err(format!("ran {runs} times"));
    }
    if runs > 0 && !attempts.may_have_run() {
        return Err("the request ran, but may_have_run() is false".to_owned());
    }
    let counted = match case.counted {
        CountedBackends::Contacted => contacted.len(),
        CountedBackends::MayHaveRun => ran_at.len(),
    };
    if counted > case.max_backends {
        return Err(format!(
            "{counted} backend servers, {} at most",
            case.max_backends
        ));
    }
    Ok(())
}

fn any_case() -> impl Strategy<Value = Case> {
    let outcome = prop::sample::select(vec![
        Outcome::Failure,
        Outcome::ResponseLost,
        Outcome::RequestLost,
        Outcome::Refused,
    ]);
    let step =
        (0..BACKEND_COUNT, outcome, prop::bool::weighted(0.2)).prop_map(
            |(backend, outcome, exits)| Step { backend, outcome, exits },
        );
    let counted = prop::sample::select(vec![
        CountedBackends::Contacted,
        CountedBackends::MayHaveRun,
    ]);
    let steps = prop::collection::vec(step, 1..12);
    (any::<bool>(), 1_usize..4, counted, steps).prop_map(
        |(may_repeat, max_backends, counted, steps)| Case {
            may_repeat,
            max_backends,
            counted,
            steps,
        },
    )
}

fn config() -> ProptestConfig {
    ProptestConfig { failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]
    #[test]
    fn a_request_stays_within_the_limits_of_its_route(case in any_case()) {
        prop_assert_eq!(simulate(&case, Variant::Correct), Ok(()));
    }
}

#[rstest]
#[case::loss_counts_as_refusal(Variant::LossCountsAsRefusal)]
#[case::no_limit(Variant::NoLimit)]
#[case::exits_are_foreseen(Variant::ExitsAreForeseen)]
fn a_broken_variant_fails_the_check(#[case] variant: Variant) {
    let config = config();
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(
        config,
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    let broken = runner.run(&any_case(), |case| {
        prop_assert_eq!(simulate(&case, variant), Ok(()));
        Ok(())
    });
    assert!(broken.is_err(), "{variant:?}");
}

#[test]
fn a_refusal_undoes_only_its_own_attempt() {
    let mut attempts = Attempts::new(true, 1, CountedBackends::MayHaveRun);
    attempts.begin("a");
    attempts.record_not_run();
    assert!(attempts.may_retry());
    assert!(!attempts.may_have_run());
    attempts.begin("a");
    // The request may have run at "a"; a later refusal does not change that.
    assert!(!attempts.may_retry());
    attempts.record_backend_exit("a");
    attempts.begin("b");
    attempts.record_not_run();
    assert!(attempts.may_have_run());
    assert!(attempts.may_retry());
    assert_eq!(attempts.count(), 3);
}
