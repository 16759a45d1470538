//! Compares the figures of a short suite with committed regression bounds.
//!
//! All figures are counts, virtual times or ratios, so they are the same on
//! every machine.

use std::{collections::BTreeMap, fmt};

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

use crate::{
    case::{Case, LaterStagePolicy, Strategy},
    decision_cost,
    deployment::{Deployment, Site},
    suite::{self, Settings},
    world,
};

const COMMITTED: &str = include_str!("../bounds.json");
/// Short enough to run with every build.
const SETTINGS: Settings = Settings {
    seed: 1,
    warm_up_ms: 10_000,
    measure_ms: 20_000,
    later_stage_policy: LaterStagePolicy::Wait,
};

/// Allowed range of one figure.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Lower bound, if any.
    pub at_least: Option<f64>,
    /// Upper bound, if any.
    pub at_most: Option<f64>,
}

/// A figure outside its bound.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Name of the figure.
    pub figure: String,
    /// Value of the figure, or `None` if it was not measured.
    pub value: Option<f64>,
    /// Bound that the value violates.
    pub bound: f64,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Violation { figure, value, bound } = self;
        let Some(value) = value else {
            return write!(f, "{figure} was not measured");
        };
        let side = if value < bound { "below" } else { "above" };
        let by = (value - bound).abs();
        write!(f, "{figure} is {value:.4}, {by:.4} {side} {bound:.4}")
    }
}

/// Parses the committed bounds.
pub fn committed() -> Result<BTreeMap<String, Bound>> {
    serde_json::from_str(COMMITTED).context("bounds.json")
}

/// Figures outside their bounds. A bound without a figure is a violation,
/// because a renamed or missing figure would otherwise go unchecked.
pub fn violations(
    figures: &BTreeMap<String, f64>,
    bounds: &BTreeMap<String, Bound>,
) -> Vec<Violation> {
    let mut all = Vec::new();
    for (figure, bound) in bounds {
        let value = figures.get(figure).copied();
        let mut push = |bound| {
            all.push(Violation { figure: figure.clone(), value, bound });
        };
        if let Some(min) = bound.at_least
            && value.is_none_or(|value| value < min)
        {
            push(min);
        }
        if let Some(max) = bound.at_most
            && value.is_none_or(|value| value > max)
        {
            push(max);
        }
    }
    all
}

/// Measures the figures that have bounds.
pub fn figures() -> Result<BTreeMap<String, f64>> {
    let mut figures = BTreeMap::new();
    for site in Site::ALL {
        let deployment = Deployment::try_new(site)?;
        push_loads(&deployment, site, &mut figures);
        push_effects(&deployment, site, &mut figures);
    }
    for row in decision_cost::rows() {
        let name = format!("work.{}.servers_looked_at", row.servers);
        figures.insert(name, row.looked_at);
        let name = format!("work.{}.cost_times_full_scan", row.servers);
        figures.insert(name, row.cost_times_full_scan);
    }
    Ok(figures)
}

fn push_loads(
    deployment: &Deployment,
    site: Site,
    figures: &mut BTreeMap<String, f64>,
) {
    for load_percent in [50, 100] {
        let case = SETTINGS.apply(Case::new(Strategy::Sampled, load_percent));
        let run = world::run(deployment, &case);
        let values = [
            ("share_of_bound", run.share_of_bound),
            ("in_time_share", run.in_time_share),
            ("busy_micros_per_1000_tokens", run.busy_micros_per_1000_tokens),
        ];
        for (name, value) in values {
            figures.insert(format!("{site}.{load_percent}.{name}"), value);
        }
    }
}

fn push_effects(
    deployment: &Deployment,
    site: Site,
    figures: &mut BTreeMap<String, f64>,
) {
    for row in suite::effects(deployment, &SETTINGS, &[Strategy::Sampled]) {
        let values = [
            ("jain_backlogged", row.jain_backlogged),
            ("harm_percent_at_half", row.harm_at_half.percent),
            ("harm_percent_at_most", row.harm_at_most.percent),
            ("useful_at_overload", row.useful_at_overload),
            ("newcomer_times", row.newcomer_times),
        ];
        for (name, value) in values {
            figures.insert(format!("{site}.{name}"), value);
        }
    }
}
