//! Seeded mixes of faults against the promises.
//!
//! From a seed come the faults, their times and the load. Faults come in
//! series and overlap, also while entries stop and start. Afterwards the
//! site must serve again, and no promise may have been broken.

use std::{path::Path, sync::Arc, time::Duration};

use async_executor::Executor;

use crate::{
    caller::RequestKind,
    experiment::{Experiment, Fault, FaultKind},
    load::Load,
    report::Report,
    running::{RECOVER, start},
    site::Site,
};

mod checks;

/// Further arrivals that are free, so few that the bound is met.
const SOAK_RETRY_SLACK: f64 = 10.0;
/// Faults of a seeded run.
const FAULTS: usize = 6;
/// Seeds from here on have links that fail as well; those before stay what
/// they are.
const LINK_SEEDS: u64 = 1 << 20;
/// Seeds from here on have starts under the same id and foreign rows as well.
const IDENTITY_SEEDS: u64 = 1 << 21;
/// Seeds from which on entries of one data centre share what they learn.
const SHARED_SEEDS: u64 = 1 << 22;
/// Seeds from here on have requests that crash engines as well.
const CRASH_SEEDS: u64 = 1 << 23;
/// Seeds from here on have servers that tell of a need as well.
const NEED_SEEDS: u64 = 1 << 24;
/// Seeds from here on have servers that ask for rest, or say that they leave.
const TAKING_SEEDS: u64 = 1 << 25;
/// Load of a seeded run.
const LENGTH: Duration = Duration::from_secs(6);

/// The experiment of a seed.
pub fn experiment(seed: u64) -> Experiment {
    let mut rng = fastrand::Rng::with_seed(seed);
    let has_links = seed >= LINK_SEEDS;
    let base = match seed >= SHARED_SEEDS {
        true => Site::with_shared_feeds(),
        false => Site::small(),
    };
    let site =
        Site { events: 60, retry_slack: SOAK_RETRY_SLACK, has_links, ..base };
    let kinds: Vec<FaultKind> = FaultKind::all()
        .filter(|kind| has_links || !kind.affects_link())
        .filter(|kind| seed >= IDENTITY_SEEDS || !kind.affects_identity())
        .filter(|kind| seed >= CRASH_SEEDS || !kind.is_crashing_request())
        .filter(|kind| seed >= NEED_SEEDS || !kind.is_announced_limit())
        .filter(|kind| seed >= TAKING_SEEDS || !kind.is_admission_notice())
        .collect();
    let mut faults: Vec<Fault> = (0..FAULTS)
        .map(|_| Fault {
            at: LENGTH.mul_f64(0.1 + 0.8 * rng.f64()),
            kind: kinds[rng.usize(..kinds.len())],
            duration: Duration::from_millis(rng.u64(300..2_500)),
        })
        .collect();
    if seed >= TAKING_SEEDS {
        faults[1].kind = FaultKind::RestAsked;
        faults[2].kind = FaultKind::EngineSaysLeaving;
    } else if seed >= NEED_SEEDS {
        faults[1].kind = FaultKind::LimitNamed;
    } else if seed >= CRASH_SEEDS {
        faults[0].kind = FaultKind::RequestCrashes;
    }
    faults.sort_by_key(|fault| fault.at);
    let load = Load {
        per_s: [
            (RequestKind::Stream, 20.0),
            (RequestKind::Idempotent, 8.0),
            (RequestKind::Once, 8.0),
        ]
        .into(),
        duration: LENGTH,
        events: site.events,
        seed,
    };
    Experiment { site, load, faults }
}

/// What a seeded run broke; empty when nothing. Logs of entries are kept in
/// a directory when something was.
///
/// # Errors
///
/// The site could not be started.
pub async fn run_seed(
    executor: &Arc<Executor<'static>>,
    binary: &Path,
    seed: u64,
    logs: Option<&Path>,
) -> anyhow::Result<(Report, Vec<String>)> {
    let experiment = experiment(seed);
    let running = start(executor, binary, &experiment.site).await?;
    let report = running.run(&experiment.load, &experiment.faults).await;
    let mut broken = report.violations();
    if !running.recovers().await {
        broken.push(format!("not served again within {RECOVER:?}"));
    }
    let slack = experiment.site.retry_slack;
    broken.extend(checks::broken(&report, &running, slack));
    if let Some(dir) = logs.filter(|_| !broken.is_empty()) {
        running.entries().copy_logs(&dir.join(seed.to_string()))?;
    }
    Ok((report, broken))
}
