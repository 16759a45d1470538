//! The runs behind each table.

use serde::Serialize;

use crate::{
    case::{Case, Demand, LaterStagePolicy, Strategy},
    deployment::{Deployment, Site},
    figures::Figures,
    world,
};

/// Loads of the table, in percent of the flow bound.
pub const LOADS_PERCENT: [u32; 5] = [50, 80, 100, 150, 200];
/// Settings of the operators' weight in the sweep.
pub const WEIGHTS_PERCENT: [u32; 5] = [0, 20, 50, 80, 100];
/// Loads of the sweep and of the single effects, in percent of the bound.
const HALF_PERCENT: u32 = 50;
const MODERATE_PERCENT: u32 = 80;
const OVERLOAD_PERCENT: u32 = 200;

/// What all runs of a table have in common.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Seed of everything random.
    pub seed: u64,
    /// Time before the measured part.
    pub warm_up_ms: u64,
    /// Length of the measured part.
    pub measure_ms: u64,
    /// What a later stage does that has no place free.
    pub later_stage_policy: LaterStagePolicy,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            seed: 1,
            warm_up_ms: 20_000,
            measure_ms: 40_000,
            later_stage_policy: LaterStagePolicy::Wait,
        }
    }
}

impl Settings {
    pub(crate) fn apply(&self, case: Case) -> Case {
        case.seed(self.seed)
            .warm_up_ms(self.warm_up_ms)
            .measure_ms(self.measure_ms)
            .later_stage_policy(self.later_stage_policy)
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
    settings: &Settings,
    strategies: &[Strategy],
    loads_percent: &[u32],
) -> Vec<LoadRow> {
    let mut rows = Vec::new();
    for &load_percent in loads_percent {
        for &strategy in strategies {
            let case = settings.apply(Case::new(strategy, load_percent));
            let figures = world::run(deployment, &case);
            rows.push(LoadRow { way: strategy.name(), load_percent, figures });
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
pub fn weights(
    deployment: &Deployment,
    settings: &Settings,
) -> Vec<WeightRow> {
    let mut rows = Vec::new();
    for load_percent in [HALF_PERCENT, MODERATE_PERCENT] {
        for percent in WEIGHTS_PERCENT {
            let case = Case::new(Strategy::Sampled, load_percent)
                .recovery_weight_percent(percent);
            let figures = world::run(deployment, &settings.apply(case));
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
    /// One account at ten times its share, at half of the bound.
    pub harm_at_half: Harm,
    /// The same at a load that alone takes nearly all the fleet gives.
    pub harm_at_most: Harm,
    /// Share of the bound at a load of twice the bound over that at once.
    pub useful_at_overload: f64,
    /// The same where nothing is refused for lack of time.
    pub useful_at_overload_unrefused: f64,
    /// What a new server was sent, in times its likes.
    pub newcomer_times: f64,
    /// Most requests that it held or queued.
    pub newcomer_peak: u32,
}

/// What one account at ten times its share does to the others.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Harm {
    /// 95th percentile of the others while it asks for its share.
    pub before_ms: u64,
    /// 95th percentile of the others beside its flood.
    pub beside_ms: u64,
    /// How much larger the second is, in percent.
    pub percent: f64,
}

/// Fairness, harm, overload and a new server, for each way.
pub fn effects(
    deployment: &Deployment,
    settings: &Settings,
    strategies: &[Strategy],
) -> Vec<EffectsRow> {
    strategies
        .iter()
        .map(|strategy| effects_of(deployment, settings, *strategy))
        .collect()
}

fn effects_of(
    deployment: &Deployment,
    settings: &Settings,
    strategy: Strategy,
) -> EffectsRow {
    let run = |case: Case| world::run(deployment, &settings.apply(case));
    let case = |load_percent| Case::new(strategy, load_percent);
    let skewed = run(case(OVERLOAD_PERCENT).demand(Demand::Skewed));
    let full = run(case(100));
    let over = run(case(OVERLOAD_PERCENT));
    let unrefused = run(case(OVERLOAD_PERCENT).refuses_late(false));
    let with_new_server = run(case(MODERATE_PERCENT).adds_server(true));
    EffectsRow {
        way: strategy.name(),
        jain_backlogged: skewed.jain,
        harm_at_half: harm(deployment, &run, case(HALF_PERCENT)),
        harm_at_most: harm(deployment, &run, case(MODERATE_PERCENT)),
        useful_at_overload: over.share_of_bound / full.share_of_bound,
        useful_at_overload_unrefused: unrefused.share_of_bound
            / full.share_of_bound,
        newcomer_times: with_new_server.newcomer_times,
        newcomer_peak: with_new_server.newcomer_peak,
    }
}

fn harm(
    deployment: &Deployment,
    run: &dyn Fn(Case) -> Figures,
    case: Case,
) -> Harm {
    let greedy_account = greedy_account(deployment);
    let baseline = run(case.clone());
    let flood = run(case.demand(Demand::Greedy(greedy_account)));
    let before_ms = baseline.p95_ms_excluding(greedy_account);
    let beside_ms = flood.p95_ms_excluding(greedy_account);
    let percent = (beside_ms as f64 / before_ms as f64 - 1.0) * 100.0;
    Harm { before_ms, beside_ms, percent }
}

/// The first of the accounts of the least weight.
fn greedy_account(deployment: &Deployment) -> usize {
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
pub fn all(site: Site, settings: &Settings) -> anyhow::Result<Tables> {
    let deployment = Deployment::try_new(site)?;
    Ok(Tables {
        deployment: site.name(),
        loads: loads(&deployment, settings, &Strategy::ALL, &LOADS_PERCENT),
        effects: effects(&deployment, settings, &Strategy::ALL),
        weights: weights(&deployment, settings),
    })
}
