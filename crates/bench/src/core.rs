//! Requests and tokens per second that one core of an entry or a side handles.
//!
//! Two loads with the same request rate and different counts of tokens are
//! measured, and the CPU usage of idle processes is subtracted. The difference
//! of the loads separates the cost of a request from that of a token.

use std::{collections::BTreeMap, sync::Arc, thread, time::Duration};

use anyhow::ensure;
use chestnutreach_fleet::Fleet;
use serde::Serialize;

use crate::{
    load::{Load, RoutedTarget},
    machine::{CpuRate, Snapshot},
    overhead::fleet_plan,
    report::{Show, Table, decimals},
};

/// Measurement time of the idle processes.
const IDLE_DURATION: Duration = Duration::from_secs(4);
/// Stages of a chain; each stage of a request is served by one side.
const STAGES: f64 = 2.0;

/// Parameters of the benchmark.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    pub(crate) rate_per_s: f64,
    pub(crate) few_tokens: u32,
    pub(crate) many_tokens: u32,
    pub(crate) load_time: Duration,
    pub(crate) entries: usize,
    pub(crate) chains: usize,
}

/// Figures of both roles.
#[derive(Debug, Serialize)]
pub(crate) struct Core {
    pub(crate) rate_per_s: f64,
    pub(crate) few_tokens: u32,
    pub(crate) many_tokens: u32,
    pub(crate) roles: BTreeMap<&'static str, RoleCost>,
}

/// CPU cost of one role. The costs of a side are per stage.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct RoleCost {
    pub(crate) idle_cores: f64,
    pub(crate) cores_with_few: f64,
    pub(crate) cores_with_many: f64,
    pub(crate) request_us: f64,
    pub(crate) token_us: f64,
    pub(crate) requests_per_core_s: f64,
    pub(crate) tokens_per_core_s: f64,
}

/// Measures both roles.
pub(crate) fn measure(options: Options) -> anyhow::Result<Core> {
    let fleet = Fleet::start(fleet_plan(options.entries, options.chains))?;
    let routed = Arc::new(RoutedTarget::new(&fleet, options.entries));
    let warm_up = Load::new(options.rate_per_s).max_tokens(2);
    warm_up.duration(Duration::from_secs(1)).run(&routed);
    let idle = measure_idle(&fleet);
    let few = measure_load(&fleet, options, options.few_tokens, &routed)?;
    let many = measure_load(&fleet, options, options.many_tokens, &routed)?;
    let roles = ["entry", "side"].map(|role| {
        let cores = [&idle, &few, &many].map(|rates| rates[role].cores);
        (role, role_cost(options, role, cores))
    });
    Ok(Core {
        rate_per_s: options.rate_per_s,
        few_tokens: options.few_tokens,
        many_tokens: options.many_tokens,
        roles: roles.into(),
    })
}

fn measure_idle(fleet: &Fleet) -> BTreeMap<&'static str, CpuRate> {
    let before = Snapshot::take(fleet);
    thread::sleep(IDLE_DURATION);
    before.rates_until(&Snapshot::take(fleet))
}

fn measure_load(
    fleet: &Fleet,
    options: Options,
    max_tokens: u32,
    routed: &Arc<RoutedTarget>,
) -> anyhow::Result<BTreeMap<&'static str, CpuRate>> {
    let load = Load::new(options.rate_per_s)
        .duration(options.load_time)
        .max_tokens(max_tokens);
    let before = Snapshot::take(fleet);
    let samples = load.run(routed);
    let after = Snapshot::take(fleet);
    ensure!(
        samples.whole == samples.begun,
        "{} of {} requests were not whole: {:?}",
        samples.begun - samples.whole,
        samples.begun,
        samples.first_error
    );
    Ok(before.rates_until(&after))
}

fn role_cost(options: Options, role: &str, cores: [f64; 3]) -> RoleCost {
    let [idle_cores, cores_with_few, cores_with_many] = cores;
    let stages = if role == "side" { STAGES } else { 1.0 };
    let stage_requests_per_s = options.rate_per_s * stages;
    let few_s = (cores_with_few - idle_cores) / stage_requests_per_s;
    let many_s = (cores_with_many - idle_cores) / stage_requests_per_s;
    let extra_tokens = f64::from(options.many_tokens - options.few_tokens);
    let token_s = (many_s - few_s) / extra_tokens;
    let request_s = few_s - token_s * f64::from(options.few_tokens);
    RoleCost {
        idle_cores,
        cores_with_few,
        cores_with_many,
        request_us: request_s * 1e6,
        token_us: token_s * 1e6,
        requests_per_core_s: 1.0 / few_s,
        tokens_per_core_s: 1.0 / token_s,
    }
}

impl Show for Core {
    fn show(&self) -> String {
        let mut table = Table::new(&[
            "role",
            "idle cores",
            "cores, few tokens",
            "cores, many",
            "us a request",
            "us a token",
            "requests/s a core",
            "tokens/s a core",
        ]);
        for (role, cost) in &self.roles {
            table.push_row(vec![
                (*role).to_owned(),
                decimals(cost.idle_cores, 4),
                decimals(cost.cores_with_few, 3),
                decimals(cost.cores_with_many, 3),
                decimals(cost.request_us, 1),
                decimals(cost.token_us, 2),
                decimals(cost.requests_per_core_s, 0),
                decimals(cost.tokens_per_core_s, 0),
            ]);
        }
        format!(
            "{} requests/s of {} and {} tokens; requests/s a core are those \
             of {} tokens; a side's figures are of one stage\n\n{}",
            self.rate_per_s,
            self.few_tokens,
            self.many_tokens,
            self.few_tokens,
            table.to_text()
        )
    }
}
