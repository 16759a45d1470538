//! Requests and tokens a second that one core of an entry or a side carries.
//!
//! Two loads of the same rate with different counts of tokens, less what the
//! processes use when idle, give the cost of a request and of a token apart.

use std::{collections::BTreeMap, sync::Arc, thread, time::Duration};

use anyhow::ensure;
use chestnutreach_fleet::Fleet;
use serde::Serialize;

use crate::{
    load::{Load, Routed},
    machine::{Rate, Snapshot},
    overhead::plan,
    report::{Show, Table, places},
};

/// Time for which idle processes are watched.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Stages that a request crosses: each is work for one side.
const STAGES: f64 = 2.0;

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    pub(crate) rate_per_s: f64,
    pub(crate) few_tokens: u32,
    pub(crate) many_tokens: u32,
    pub(crate) time: Duration,
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

/// What one role spends, in microseconds of a core. Those of a side are of
/// one stage.
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
    let fleet = Fleet::start(plan(options.entries, options.chains))?;
    let routed = Arc::new(Routed::new(&fleet, options.entries));
    let warm_up = Load::new(options.rate_per_s).max_tokens(2);
    warm_up.time(Duration::from_secs(1)).run(&routed);
    let idle = idle(&fleet);
    let few = loaded(&fleet, options, options.few_tokens, &routed)?;
    let many = loaded(&fleet, options, options.many_tokens, &routed)?;
    let roles = ["entry", "side"].map(|role| {
        let used = [&idle, &few, &many].map(|m| m[role].cores);
        (role, cost(options, role, used))
    });
    Ok(Core {
        rate_per_s: options.rate_per_s,
        few_tokens: options.few_tokens,
        many_tokens: options.many_tokens,
        roles: roles.into(),
    })
}

fn idle(fleet: &Fleet) -> BTreeMap<&'static str, Rate> {
    let before = Snapshot::take(fleet);
    thread::sleep(IDLE_TIME);
    before.rates_until(&Snapshot::take(fleet))
}

fn loaded(
    fleet: &Fleet,
    options: Options,
    max_tokens: u32,
    routed: &Arc<Routed>,
) -> anyhow::Result<BTreeMap<&'static str, Rate>> {
    let load = Load::new(options.rate_per_s)
        .time(options.time)
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

fn cost(options: Options, role: &str, used: [f64; 3]) -> RoleCost {
    let [idle_cores, cores_with_few, cores_with_many] = used;
    let stages = if role == "side" { STAGES } else { 1.0 };
    let each = options.rate_per_s * stages;
    let few = (cores_with_few - idle_cores) / each;
    let many = (cores_with_many - idle_cores) / each;
    let more_tokens = f64::from(options.many_tokens - options.few_tokens);
    let token_s = (many - few) / more_tokens;
    let request_s = few - token_s * f64::from(options.few_tokens);
    RoleCost {
        idle_cores,
        cores_with_few,
        cores_with_many,
        request_us: request_s * 1e6,
        token_us: token_s * 1e6,
        requests_per_core_s: 1.0 / few,
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
            table.row(vec![
                (*role).to_owned(),
                places(cost.idle_cores, 4),
                places(cost.cores_with_few, 3),
                places(cost.cores_with_many, 3),
                places(cost.request_us, 1),
                places(cost.token_us, 2),
                places(cost.requests_per_core_s, 0),
                places(cost.tokens_per_core_s, 0),
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
