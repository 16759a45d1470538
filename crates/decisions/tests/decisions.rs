//! The benchmark is deterministic and stays within its committed bounds.

use std::collections::BTreeMap;

use chestnutreach_decisions::{
    bounds::{self, Bound},
    case::{Case, Strategy},
    deployment::{Deployment, Site},
    world,
};
use rstest::rstest;

#[test]
fn figures_stay_within_the_committed_bounds() {
    let figures =
        bounds::figures().expect("the example deployments are valid");
    let bounds = bounds::committed().expect("bounds.json is valid");
    let violations = bounds::violations(&figures, &bounds);
    let lines: Vec<String> =
        violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{}", lines.join("\n"));
}

#[rstest]
#[case::sampled(Strategy::Sampled)]
#[case::in_turn(Strategy::RoundRobin)]
#[case::counted(Strategy::SharedCounters)]
fn the_same_seed_yields_the_same_figures(#[case] way: Strategy) {
    let deployment =
        Deployment::try_new(Site::Sofia).expect("the manifest is valid");
    let case = Case::new(way, 120).warm_up_ms(1_000).measure_ms(3_000);
    let run = || {
        let figures = world::run(&deployment, &case);
        serde_json::to_string(&figures).expect("figures as JSON")
    };
    assert_eq!(run(), run());
}

struct Bounded {
    value: Option<f64>,
    bound: Bound,
    message: Option<&'static str>,
}

#[rstest]
#[case::within(Bounded {
    value: Some(1.5),
    bound: Bound { at_least: Some(1.0), at_most: Some(2.0) },
    message: None,
})]
#[case::below(Bounded {
    value: Some(0.5),
    bound: Bound { at_least: Some(1.0), at_most: None },
    message: Some("figure is 0.5000, 0.5000 below 1.0000"),
})]
#[case::above(Bounded {
    value: Some(2.5),
    bound: Bound { at_least: Some(1.0), at_most: Some(2.0) },
    message: Some("figure is 2.5000, 0.5000 above 2.0000"),
})]
#[case::missing(Bounded {
    value: None,
    bound: Bound { at_least: None, at_most: Some(2.0) },
    message: Some("figure was not measured"),
})]
fn a_violation_states_the_difference_from_the_bound(#[case] case: Bounded) {
    let name = "figure".to_string();
    let figures: BTreeMap<String, f64> =
        case.value.map(|value| (name.clone(), value)).into_iter().collect();
    let bounds = BTreeMap::from([(name, case.bound)]);
    let violations = bounds::violations(&figures, &bounds);
    let message = violations.first().map(ToString::to_string);
    assert_eq!(message.as_deref(), case.message);
}
