//! Parsing of experiments, and experiments generated from seeds.

use chestnutreach_emulator::{
    caller::RequestKind,
    experiment::{Experiment, FaultKind},
    soak,
};

#[test]
fn the_example_experiment_parses() {
    let text = include_str!("../../../examples/experiment.ini");
    let experiment = Experiment::try_parse(text).unwrap();
    assert_eq!(experiment.load.per_s[&RequestKind::Stream], 20.0);
    let kinds: Vec<FaultKind> =
        experiment.faults.iter().map(|fault| fault.kind).collect();
    assert_eq!(kinds[0], FaultKind::EngineEnds);
    assert_eq!(kinds.len(), 3);
}

#[test]
fn the_experiment_with_a_restored_store_parses() {
    let text = include_str!("../../../examples/store-restored.ini");
    let experiment = Experiment::try_parse(text).unwrap();
    let faults = experiment.faults.iter();
    let restores = faults.filter(|f| f.kind == FaultKind::StoreRestored);
    assert_eq!(restores.count(), 2);
}

#[test]
fn all_errors_of_an_experiment_are_reported() {
    let text = "[site]\nentries = many\n[load]\nstream = 1\nodd = 2\n\
                [faults]\nsoon = engine-ends\n1 = nothing\n[more]\na = 1\n";
    let findings = Experiment::try_parse(text).unwrap_err().0;
    assert_eq!(findings.len(), 5, "{findings:?}");
}

#[test]
fn a_link_fault_adds_relays_to_the_site() {
    let text = "[load]\nstream = 1\n[faults]\n";
    let cut = "1 = store-link-cut-back for 2\n";
    let has_links =
        |text: &str| Experiment::try_parse(text).unwrap().site.has_links;
    assert!(!has_links(text));
    assert!(has_links(&format!("{text}{cut}")));
}

#[test]
fn seeds_below_the_first_link_seed_have_no_link_faults() {
    let has_link = |seed| {
        let experiment = soak::experiment(seed);
        let affects_link =
            experiment.faults.iter().any(|f| f.kind.affects_link());
        assert!(experiment.site.has_links || !affects_link);
        affects_link
    };
    assert!((2_000..2_100).all(|seed| !has_link(seed)));
    assert!((1 << 20..(1 << 20) + 10).any(has_link));
}

#[test]
fn a_seed_always_gives_the_same_experiment() {
    assert_eq!(soak::experiment(7), soak::experiment(7));
    assert_ne!(soak::experiment(7), soak::experiment(8));
}
