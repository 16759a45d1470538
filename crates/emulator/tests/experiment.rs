//! Experiments are read, with all that is wrong with them at once.

use chestnutreach_emulator::{
    caller::Kind,
    experiment::{Experiment, FaultKind},
    soak,
};

#[test]
fn the_example_is_read() {
    let text = include_str!("../../../examples/experiment.ini");
    let experiment = Experiment::try_parse(text).unwrap();
    assert_eq!(experiment.load.per_s[&Kind::Stream], 20.0);
    let kinds: Vec<FaultKind> =
        experiment.faults.iter().map(|fault| fault.kind).collect();
    assert_eq!(kinds[0], FaultKind::EngineEnds);
    assert_eq!(kinds.len(), 3);
}

#[test]
fn all_faults_of_a_file_are_told() {
    let text = "[site]\nentries = many\n[load]\nstream = 1\nodd = 2\n\
                [faults]\nsoon = engine-ends\n1 = nothing\n[more]\na = 1\n";
    let findings = Experiment::try_parse(text).unwrap_err().0;
    assert_eq!(findings.len(), 5, "{findings:?}");
}

#[test]
fn a_seed_gives_the_same_experiment() {
    assert_eq!(soak::experiment(7), soak::experiment(7));
    assert_ne!(soak::experiment(7), soak::experiment(8));
}
