//! The runs behind each table.

use serde::Serialize;

use crate::{
    case::{Case, Demand, LaterStagePolicy, Strategy},
    deployment::{Deployment, Site},
    figures::Figures,
    world,
};

/// Loads of the table, in percent of the throughput bound.
pub const LOADS_PERCENT: [u32; 5] = [50, 80, 100, 150, 200];
/// Values of the recovery weight in the sweep.
pub const WEIGHTS_PERCENT: [u32; 5] = [0, 20, 50, 80, 100];
/// Loads of the sweep and of the effects, in percent of the throughput bound.
const HALF_PERCENT: u32 = 50;
const MODERATE_PERCENT: u32 = 80;
const OVERLOAD_PERCENT: u32 = 200;

/// Settings that all runs of a table share.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Virtual time before the measurement.
    pub warm_up_ms: u64,
    /// Virtual time of the measurement.
    pub measure_ms: u64,
    /// What a later stage without a free slot does.
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
    /// Name of the strategy.
    pub way: &'static str,
    /// Load, in percent of the throughput bound.
    pub load_percent: u32,
    /// Results of the run.
    pub figures: Figures,
}

/// Runs every strategy at every load.
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

/// One row of the sweep over the recovery weight.
#[derive(Clone, Debug, Serialize)]
pub struct WeightRow {
    /// Recovery weight of the run.
    pub recovery_weight_percent: u32,
    /// Load, in percent of the throughput bound.
    pub load_percent: u32,
    /// Results of the run.
    pub figures: Figures,
}

/// Runs the sampled strategy at every value of the recovery weight.
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

/// Effects measured for one strategy.
#[derive(Clone, Debug, Serialize)]
pub struct EffectsRow {
    /// Name of the strategy.
    pub way: &'static str,
    /// Jain's index while every account is backlogged by a different factor.
    pub jain_backlogged: f64,
    /// Effect of one account at ten times its share, at 50 % load.
    pub harm_at_half: Harm,
    /// The same effect at 80 % load, which nearly saturates the fleet.
    pub harm_at_most: Harm,
    /// Throughput at 200 % load over throughput at 100 % load.
    pub useful_at_overload: f64,
    /// The same ratio while no request is refused because of its deadline.
    pub useful_at_overload_unrefused: f64,
    /// Requests sent to a new server over the mean of similar servers.
    pub newcomer_times: f64,
    /// Peak of requests that the new server held or queued.
    pub newcomer_peak: u32,
}

/// Effect of one account at ten times its share on the other accounts.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Harm {
    /// 95th percentile of the others while the account stays at its share.
    pub before_ms: u64,
    /// 95th percentile of the others while the account exceeds its share.
    pub beside_ms: u64,
    /// Increase from the first to the second, in percent.
    pub percent: f64,
}

/// Measures fairness, harm, overload and a new server for each strategy.
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

/// The first account of the lowest weight.
fn greedy_account(deployment: &Deployment) -> usize {
    let accounts = deployment.accounts.iter().enumerate();
    accounts.min_by_key(|(_, account)| account.weight).map_or(0, |(at, _)| at)
}

/// All tables of a deployment.
#[derive(Clone, Debug, Serialize)]
pub struct Tables {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Every strategy at every load.
    pub loads: Vec<LoadRow>,
    /// Effects by strategy.
    pub effects: Vec<EffectsRow>,
    /// Sweep over the recovery weight.
    pub weights: Vec<WeightRow>,
}

/// Runs all tables of a deployment.
pub fn all(site: Site, settings: &Settings) -> anyhow::Result<Tables> {
    let deployment = Deployment::try_new(site)?;
    Ok(Tables {
        deployment: site.name(),
        loads: loads(&deployment, settings, &Strategy::ALL, &LOADS_PERCENT),
        effects: effects(&deployment, settings, &Strategy::ALL),
        weights: weights(&deployment, settings),
    })
}
