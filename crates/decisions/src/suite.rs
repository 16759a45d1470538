//! The runs behind each table.

use serde::Serialize;

use crate::{
    case::{Case, Demand, Way},
    deployment::{Deployment, Site},
    figures::Figures,
    world,
};

/// Loads of the table, in percent of the flow bound.
pub const LOADS_PERCENT: [u32; 5] = [50, 80, 100, 150, 200];
/// Settings of the operators' weight in the sweep.
pub const WEIGHTS_PERCENT: [u32; 5] = [0, 20, 50, 80, 100];
/// Load of the sweep and of the single effects, in percent of the bound.
const MODERATE_PERCENT: u32 = 80;
const OVERLOAD_PERCENT: u32 = 200;

/// Length and seed of every run of a table.
#[derive(Clone, Copy, Debug)]
pub struct Lengths {
    /// Seed of everything random.
    pub seed: u64,
    /// Time before the measured part.
    pub warm_up_ms: u64,
    /// Length of the measured part.
    pub measure_ms: u64,
}

impl Default for Lengths {
    fn default() -> Lengths {
        Lengths { seed: 1, warm_up_ms: 20_000, measure_ms: 40_000 }
    }
}

impl Lengths {
    pub(crate) fn apply(&self, case: Case) -> Case {
        case.seed(self.seed)
            .warm_up_ms(self.warm_up_ms)
            .measure_ms(self.measure_ms)
    }
}

/// One row of the table of loads.
#[derive(Clone, Debug, Serialize)]
pub struct LoadRow {
    /// Way of choosing.
    pub way: &'static str,
    /// Load, in percent of the bound.
    pub load_percent: u32,
    /// What it came to.
    pub figures: Figures,
}

/// Every way at every load.
pub fn loads(
    deployment: &Deployment,
    lengths: &Lengths,
    ways: &[Way],
    loads_percent: &[u32],
) -> Vec<LoadRow> {
    let mut rows = Vec::new();
    for &load_percent in loads_percent {
        for &way in ways {
            let case = lengths.apply(Case::new(way, load_percent));
            let figures = world::run(deployment, &case);
            rows.push(LoadRow { way: way.name(), load_percent, figures });
        }
    }
    rows
}

/// One row of the sweep over the operators' weight.
#[derive(Clone, Debug, Serialize)]
pub struct WeightRow {
    /// The setting.
    pub recovery_weight_percent: u32,
    /// Load, in percent of the bound.
    pub load_percent: u32,
    /// What it came to.
    pub figures: Figures,
}

/// The router's own choice at every setting of the operators' weight.
pub fn weights(deployment: &Deployment, lengths: &Lengths) -> Vec<WeightRow> {
    let mut rows = Vec::new();
    for load_percent in [50, MODERATE_PERCENT] {
        for percent in WEIGHTS_PERCENT {
            let case = Case::new(Way::Sampled, load_percent)
                .recovery_weight_percent(percent);
            let figures = world::run(deployment, &lengths.apply(case));
            rows.push(WeightRow {
                recovery_weight_percent: percent,
                load_percent,
                figures,
            });
        }
    }
    rows
}

/// Single effects of one way of choosing.
#[derive(Clone, Debug, Serialize)]
pub struct EffectsRow {
    /// Way of choosing.
    pub way: &'static str,
    /// Jain's index where every account is backlogged, each by another
    /// factor.
    pub jain_backlogged: f64,
    /// 95th percentile of the others, in ms, beside a quiet account.
    pub others_p95_ms: u64,
    /// The same beside that account at ten times its share.
    pub others_p95_ms_beside_greedy: u64,
    /// How much larger the second is, in percent.
    pub harm_percent: f64,
    /// Useful tokens a second at twice the bound over those at the bound.
    pub useful_at_overload: f64,
    /// The same where nothing is refused for lack of time.
    pub useful_at_overload_unrefused: f64,
    /// What a new server was sent, in times its likes.
    pub newcomer_times: f64,
    /// Most requests that it held or queued.
    pub newcomer_peak: u32,
}

/// Fairness, harm, overload and a new server, for each way.
pub fn effects(
    deployment: &Deployment,
    lengths: &Lengths,
    ways: &[Way],
) -> Vec<EffectsRow> {
    ways.iter().map(|way| effects_of(deployment, lengths, *way)).collect()
}

fn effects_of(
    deployment: &Deployment,
    lengths: &Lengths,
    way: Way,
) -> EffectsRow {
    let run = |case: Case| world::run(deployment, &lengths.apply(case));
    let case = |load_percent| Case::new(way, load_percent);
    let greedy = greedy(deployment);
    let skewed = run(case(OVERLOAD_PERCENT).demand(Demand::Skewed));
    let quiet = run(case(MODERATE_PERCENT));
    let flood = run(case(MODERATE_PERCENT).demand(Demand::Greedy(greedy)));
    let full = run(case(100));
    let over = run(case(OVERLOAD_PERCENT));
    let unrefused = run(case(OVERLOAD_PERCENT).refuses_late(false));
    let joined = run(case(MODERATE_PERCENT).joins(true));
    let before_ms = quiet.p95_ms_without(greedy);
    let beside_ms = flood.p95_ms_without(greedy);
    EffectsRow {
        way: way.name(),
        jain_backlogged: skewed.jain,
        others_p95_ms: before_ms,
        others_p95_ms_beside_greedy: beside_ms,
        harm_percent: (beside_ms as f64 / before_ms as f64 - 1.0) * 100.0,
        useful_at_overload: over.tokens_per_s / full.tokens_per_s,
        useful_at_overload_unrefused: unrefused.tokens_per_s
            / full.tokens_per_s,
        newcomer_times: joined.newcomer_times,
        newcomer_peak: joined.newcomer_peak,
    }
}

/// The first of the accounts of the least weight.
fn greedy(deployment: &Deployment) -> usize {
    let accounts = deployment.accounts.iter().enumerate();
    accounts.min_by_key(|(_, account)| account.weight).map_or(0, |(at, _)| at)
}

/// All tables of a deployment.
#[derive(Clone, Debug, Serialize)]
pub struct Tables {
    /// Which deployment.
    pub deployment: &'static str,
    /// Every way at every load.
    pub loads: Vec<LoadRow>,
    /// Single effects.
    pub effects: Vec<EffectsRow>,
    /// The operators' weight.
    pub weights: Vec<WeightRow>,
}

/// All tables of a deployment.
pub fn all(site: Site, lengths: &Lengths) -> anyhow::Result<Tables> {
    let deployment = Deployment::try_new(site)?;
    Ok(Tables {
        deployment: site.name(),
        loads: loads(&deployment, lengths, &Way::ALL, &LOADS_PERCENT),
        effects: effects(&deployment, lengths, &Way::ALL),
        weights: weights(&deployment, lengths),
    })
}
