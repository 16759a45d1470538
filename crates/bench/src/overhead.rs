//! Latency that entries and sides add to the first token and between tokens.
//!
//! The same engines receive requests through the router (routed) and straight
//! from the load generator (direct). The rounds of both routes alternate, so
//! that background load affects both.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use chestnutreach_fleet::{Fleet, Plan};
use serde::Serialize;

use crate::{
    load::{DirectTarget, Load, Quantiles, RoutedTarget, Samples, Target},
    machine::{CpuRate, Snapshot},
    report::{Show, Table, decimals},
};

/// Bounds of the layers of each stage.
pub(crate) const LAYER_BOUNDS: [u32; 3] = [0, 12, 24];
/// Concurrent requests per backend server; too high to be reached.
const MAX_RUNNING: u32 = 1_024;
/// Rate and duration of the load that opens connections.
const WARM_UP: (f64, Duration) = (200.0, Duration::from_secs(1));

/// Parameters of the benchmark.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) rates_per_s: Vec<f64>,
    pub(crate) max_tokens: u32,
    pub(crate) round_time: Duration,
    pub(crate) rounds: usize,
    pub(crate) entries: usize,
    pub(crate) chains: usize,
    pub(crate) engine_arguments: Vec<String>,
    /// The setting `engine-calls` of the sides; `None` keeps the default.
    pub(crate) engine_calls: Option<u64>,
}

/// Figures of all rates.
#[derive(Debug, Serialize)]
pub(crate) struct Overhead {
    pub(crate) entries: usize,
    pub(crate) chains: usize,
    pub(crate) max_tokens: u32,
    pub(crate) rows: Vec<Row>,
}

/// Figures of one rate.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) rate_per_s: f64,
    pub(crate) direct: RouteFigures,
    pub(crate) routed: RouteFigures,
    pub(crate) first_token_added: Quantiles,
    pub(crate) first_token_ratio: Quantiles,
    pub(crate) between_tokens_added: Quantiles,
    pub(crate) between_tokens_ratio: Quantiles,
}

/// Figures of one route to the engines.
#[derive(Debug, Serialize)]
pub(crate) struct RouteFigures {
    pub(crate) first_token: Quantiles,
    pub(crate) between_tokens: Quantiles,
    /// Delay of requests after their scheduled start, caused by the load
    /// generator itself.
    pub(crate) lateness: Quantiles,
    pub(crate) begun: u64,
    pub(crate) whole: u64,
    pub(crate) failed: u64,
    pub(crate) first_error: Option<String>,
    /// Cores in use by role, including the load generator and the engines.
    pub(crate) cores: BTreeMap<&'static str, CpuRate>,
}

/// Plans a fleet with `chains` chains of two stages.
pub(crate) fn fleet_plan(entries: usize, chains: usize) -> Plan {
    Plan::new()
        .entries(entries)
        .stages(&LAYER_BOUNDS, chains)
        .plain_servers(0)
        .max_running(MAX_RUNNING)
}

/// Measures all rates.
pub(crate) fn measure(options: &Options) -> anyhow::Result<Overhead> {
    let mut plan = fleet_plan(options.entries, options.chains);
    for argument in &options.engine_arguments {
        plan = plan.engine_argument(argument);
    }
    if let Some(calls) = options.engine_calls {
        plan = plan.setting("side", "engine-calls", &calls.to_string());
    }
    let names = [plan.stage_names(0), plan.stage_names(1)];
    let fleet = Fleet::start(plan)?;
    let direct = Arc::new(DirectTarget::new(&fleet, &names, &LAYER_BOUNDS));
    let routed = Arc::new(RoutedTarget::new(&fleet, options.entries));
    warm_up(options, &direct);
    warm_up(options, &routed);
    let rates = options.rates_per_s.iter();
    let rows =
        rates.map(|r| measure_row(options, &fleet, *r, &direct, &routed));
    Ok(Overhead {
        entries: options.entries,
        chains: options.chains,
        max_tokens: options.max_tokens,
        rows: rows.collect(),
    })
}

fn warm_up<T: Target>(options: &Options, target: &Arc<T>) {
    let (rate, duration) = WARM_UP;
    let load =
        Load::new(rate).duration(duration).max_tokens(options.max_tokens);
    load.run(target);
}

fn measure_row(
    options: &Options,
    fleet: &Fleet,
    rate_per_s: f64,
    direct: &Arc<DirectTarget>,
    routed: &Arc<RoutedTarget>,
) -> Row {
    let load = Load::new(rate_per_s)
        .duration(options.round_time)
        .max_tokens(options.max_tokens);
    let mut direct_rounds = RouteRounds::new();
    let mut routed_rounds = RouteRounds::new();
    for _ in 0..options.rounds {
        direct_rounds.run_round(fleet, load, direct);
        routed_rounds.run_round(fleet, load, routed);
    }
    let (direct, routed) =
        (direct_rounds.into_figures(), routed_rounds.into_figures());
    let first = (routed.first_token, direct.first_token);
    let between = (routed.between_tokens, direct.between_tokens);
    Row {
        rate_per_s,
        first_token_added: first.0.minus(&first.1),
        first_token_ratio: first.0.ratio(&first.1),
        between_tokens_added: between.0.minus(&between.1),
        between_tokens_ratio: between.0.ratio(&between.1),
        direct,
        routed,
    }
}

/// Accumulated results of the rounds of one route.
struct RouteRounds {
    samples: Samples,
    cores: Vec<BTreeMap<&'static str, CpuRate>>,
}

impl RouteRounds {
    fn new() -> RouteRounds {
        RouteRounds { samples: Samples::new(), cores: Vec::new() }
    }

    fn run_round<T: Target>(
        &mut self,
        fleet: &Fleet,
        load: Load,
        target: &Arc<T>,
    ) {
        let before = Snapshot::take(fleet);
        self.samples.merge(&load.run(target));
        let after = Snapshot::take(fleet);
        self.cores.push(before.rates_until(&after));
    }

    fn into_figures(self) -> RouteFigures {
        let samples = self.samples;
        RouteFigures {
            first_token: samples.first_token(),
            between_tokens: samples.between_tokens(),
            lateness: samples.lateness(),
            begun: samples.begun,
            whole: samples.whole,
            failed: samples.failed,
            first_error: samples.first_error,
            cores: mean_rates(&self.cores),
        }
    }
}

fn mean_rates(
    rounds: &[BTreeMap<&'static str, CpuRate>],
) -> BTreeMap<&'static str, CpuRate> {
    let mut means: BTreeMap<&'static str, CpuRate> = BTreeMap::new();
    for round in rounds {
        for (role, rate) in round {
            let mean = means.entry(role).or_default();
            mean.cores += rate.cores / rounds.len() as f64;
            mean.processes = rate.processes;
        }
    }
    means
}

impl Show for Overhead {
    fn show(&self) -> String {
        let mut text = format!(
            "{} entries, {} chains of 2 stages, {} tokens a request; \
             times in us: direct / routed / added (times)\n\n",
            self.entries, self.chains, self.max_tokens
        );
        text += &self.times_table();
        text.push('\n');
        text += &self.cores_table();
        for row in &self.rows {
            for route in [&row.direct, &row.routed] {
                if let Some(error) = &route.first_error {
                    text += &format!(
                        "{}/s: {} of {} failed: {error}\n",
                        row.rate_per_s, route.failed, route.begun
                    );
                }
            }
        }
        text
    }
}

impl Overhead {
    fn times_table(&self) -> String {
        let mut table = Table::new(&[
            "requests/s",
            "what",
            "p50",
            "p95",
            "p99",
            "late p99 d/r",
            "whole d/r",
        ]);
        for row in &self.rows {
            let (direct, routed) = (&row.direct, &row.routed);
            let late = format!(
                "{:.0}/{:.0}",
                direct.lateness.p99_us, routed.lateness.p99_us
            );
            let whole = format!(
                "{}/{} {}/{}",
                direct.whole, direct.begun, routed.whole, routed.begun
            );
            let rate = decimals(row.rate_per_s, 0);
            let first = cells(
                [&direct.first_token, &routed.first_token],
                &row.first_token_added,
                &row.first_token_ratio,
            );
            let mut line = vec![rate.clone(), "first token".to_owned()];
            line.extend(first);
            line.extend([late, whole]);
            table.push_row(line);
            let between = cells(
                [&direct.between_tokens, &routed.between_tokens],
                &row.between_tokens_added,
                &row.between_tokens_ratio,
            );
            let mut line = vec![rate, "between tokens".to_owned()];
            line.extend(between);
            table.push_row(line);
        }
        table.to_text()
    }

    fn cores_table(&self) -> String {
        let mut table = Table::new(&[
            "requests/s",
            "way",
            "entry",
            "side",
            "engine",
            "load generator",
            "all cores",
        ]);
        for row in &self.rows {
            for (name, route) in
                [("direct", &row.direct), ("routed", &row.routed)]
            {
                let cores_of =
                    |role| route.cores.get(role).map_or(0.0, |r| r.cores);
                let all: f64 = route.cores.values().map(|r| r.cores).sum();
                let mut line =
                    vec![decimals(row.rate_per_s, 0), name.to_owned()];
                let roles = ["entry", "side", "engine", "load generator"];
                line.extend(roles.map(|role| decimals(cores_of(role), 2)));
                line.push(decimals(all, 2));
                table.push_row(line);
            }
        }
        table.to_text()
    }
}

fn cells(
    [direct, routed]: [&Quantiles; 2],
    added: &Quantiles,
    ratio: &Quantiles,
) -> Vec<String> {
    let cell = |d: f64, r: f64, a: f64, x: f64| {
        format!("{d:.0} / {r:.0} / {a:.0} ({x:.2})")
    };
    vec![
        cell(direct.p50_us, routed.p50_us, added.p50_us, ratio.p50_us),
        cell(direct.p95_us, routed.p95_us, added.p95_us, ratio.p95_us),
        cell(direct.p99_us, routed.p99_us, added.p99_us, ratio.p99_us),
    ]
}
