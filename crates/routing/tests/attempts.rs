//! A request's attempts against backend servers that lie to nobody but lose
//! answers, end and come back.

use std::collections::{BTreeMap, BTreeSet};

use chestnutreach_routing::{Attempts, CountedBackends};
use proptest::prelude::*;
use rstest::rstest;

const BACKENDS: usize = 4;

/// What becomes of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    /// It runs, and a failure is answered.
    Fails,
    /// It runs, and its answer is lost.
    RunsLost,
    /// It is lost before it runs; nobody can tell.
    LostBefore,
    /// The backend server states that it did not run.
    Refused,
}

/// What is left out, to see that the play notices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    Whole,
    /// A lost answer is taken for a refusal.
    LostIsRefused,
    /// The bound on backend servers is not asked.
    NoBound,
    /// A backend server that will end later is taken for ended now.
    EndsAreForeseen,
}

#[derive(Clone, Debug)]
struct Step {
    backend: usize,
    fate: Fate,
    /// Whether its process ends before the next attempt.
    ends: bool,
}

#[derive(Clone, Debug)]
struct Case {
    may_repeat: bool,
    most: usize,
    counted: CountedBackends,
    steps: Vec<Step>,
}

/// Plays a case; what was broken.
fn play(case: &Case, variant: Variant) -> Result<(), String> {
    let mut attempts = Attempts::new(case.may_repeat, case.most, case.counted);
    let mut runs = 0;
    let mut ran_at: BTreeSet<usize> = BTreeSet::new();
    let mut handed: BTreeMap<usize, u32> = BTreeMap::new();
    for step in &case.steps {
        let may_go_on = attempts.may_retry()
            || variant == Variant::NoBound
                && (case.may_repeat || !attempts.may_have_run());
        if !may_go_on {
            break;
        }
        let name = step.backend.to_string();
        attempts.begin(&name);
        *handed.entry(step.backend).or_default() += 1;
        let does_run = matches!(step.fate, Fate::Fails | Fate::RunsLost);
        if does_run {
            runs += 1;
            ran_at.insert(step.backend);
        }
        let is_lost = matches!(step.fate, Fate::RunsLost | Fate::LostBefore);
        if step.fate == Fate::Refused
            || is_lost && variant == Variant::LostIsRefused
        {
            attempts.record_not_run();
        }
        if step.ends {
            attempts.record_backend_exit(&name);
            ran_at.remove(&step.backend);
        } else if variant == Variant::EndsAreForeseen && is_lost {
            attempts.record_backend_exit(&name);
        }
    }
    if !case.may_repeat && runs > 1 {
        return Err(format!("ran {runs} times"));
    }
    if runs > 0 && !attempts.may_have_run() {
        return Err("it ran and may not have".to_owned());
    }
    let counted = match case.counted {
        CountedBackends::Contacted => handed.len(),
        CountedBackends::MayHaveRun => ran_at.len(),
    };
    if counted > case.most {
        return Err(format!(
            "{counted} backend servers, {} at most",
            case.most
        ));
    }
    Ok(())
}

fn any_case() -> impl Strategy<Value = Case> {
    let fate = prop::sample::select(vec![
        Fate::Fails,
        Fate::RunsLost,
        Fate::LostBefore,
        Fate::Refused,
    ]);
    let step = (0..BACKENDS, fate, prop::bool::weighted(0.2))
        .prop_map(|(backend, fate, ends)| Step { backend, fate, ends });
    let counted = prop::sample::select(vec![
        CountedBackends::Contacted,
        CountedBackends::MayHaveRun,
    ]);
    let steps = prop::collection::vec(step, 1..12);
    (any::<bool>(), 1_usize..4, counted, steps).prop_map(
        |(may_repeat, most, counted, steps)| Case {
            may_repeat,
            most,
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
    fn what_must_hold_holds(case in any_case()) {
        prop_assert_eq!(play(&case, Variant::Whole), Ok(()));
    }
}

#[rstest]
#[case::lost_is_refused(Variant::LostIsRefused)]
#[case::no_bound(Variant::NoBound)]
#[case::ends_are_foreseen(Variant::EndsAreForeseen)]
fn a_broken_variant_is_noticed(#[case] variant: Variant) {
    let config = config();
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(
        config,
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    let broken = runner.run(&any_case(), |case| {
        prop_assert_eq!(play(&case, variant), Ok(()));
        Ok(())
    });
    assert!(broken.is_err(), "{variant:?}");
}

#[test]
fn a_backend_that_refuses_again_does_not_count() {
    let mut attempts = Attempts::new(true, 1, CountedBackends::MayHaveRun);
    attempts.begin("a");
    attempts.record_not_run();
    assert!(attempts.may_retry());
    assert!(!attempts.may_have_run());
    attempts.begin("a");
    // It may have run there, and a refusal of the next one changes nothing.
    assert!(!attempts.may_retry());
    attempts.record_backend_exit("a");
    attempts.begin("b");
    attempts.record_not_run();
    assert!(attempts.may_have_run());
    assert!(attempts.may_retry());
    assert_eq!(attempts.count(), 3);
}
