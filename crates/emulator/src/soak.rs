//! Seeded random faults, checked against the invariants.
//!
//! The seed determines the faults, their times and the load. Faults follow
//! each other and overlap, also while entries stop and start. Afterwards the
//! site must serve all requests again, and no invariant may be violated.

use std::{collections::BTreeMap, path::Path, sync::Arc, time::Duration};

use async_executor::Executor;

use crate::{
    caller::RequestKind,
    experiment::{Experiment, Fault, FaultKind},
    load::Load,
    report::Report,
    running::{RECOVERY_TIMEOUT, start},
    site::{MEMORY_MB, Site},
};

mod checks;

/// Retries allowed regardless of the number of requests; so few that runs
/// reach the retry limit.
const SOAK_RETRY_SLACK: f64 = 10.0;
/// Number of faults of a seeded run.
const FAULT_COUNT: usize = 6;
/// First seed with faults of links. Like the other first seeds below, this
/// keeps the experiments of lower seeds unchanged.
const FIRST_LINK_SEED: u64 = 1 << 20;
/// First seed with restarts under the same id and with foreign rows.
const FIRST_IDENTITY_SEED: u64 = 1 << 21;
/// First seed with a site whose entries share the store's feeds.
const FIRST_SHARED_FEEDS_SEED: u64 = 1 << 22;
/// First seed with requests that crash engines.
const FIRST_CRASH_SEED: u64 = 1 << 23;
/// First seed with servers that announce a limit.
const FIRST_LIMIT_SEED: u64 = 1 << 24;
/// First seed with servers that request a cooldown or announce that they
/// leave.
const FIRST_ADMISSION_SEED: u64 = 1 << 25;
/// First seed with a store that loses changes.
const FIRST_RESTORE_SEED: u64 = 1 << 26;
/// First seed whose streams compete for too little capacity.
const FIRST_COMPETITION_SEED: u64 = 1 << 27;
/// First seed with a configuration of many routes, and with links on which it
/// takes seconds.
const FIRST_LARGE_CONFIGURATION_SEED: u64 = 1 << 28;
/// First seed with different requests that share a part that crashes engines.
const FIRST_CRASHING_PART_SEED: u64 = 1 << 29;
/// First seed with servers that send bytes without an end.
const FIRST_UNENDING_SEED: u64 = 1 << 30;
/// First seed with entries that do not hear each other.
const FIRST_PARTED_SEED: u64 = 1 << 31;
/// First seed with faults of all entries at the same moment.
const FIRST_ALL_ENTRIES_SEED: u64 = 1 << 32;
/// Most memory that an entry may hold in such a run: the platform kills
/// processes that exceed the memory of their machine.
const MAX_MEMORY_BYTES: u64 = MEMORY_MB << 20;
const EXTRA_ROUTES: usize = 1_500;
/// Streams per second where streams compete, urgent and others: about one and
/// a half times as many as fit.
const COMPETING_PER_S: [f64; 2] = [20.0, 40.0];
/// Duration of the load of a seeded run.
const LOAD_DURATION: Duration = Duration::from_secs(6);

/// Generates the experiment of a seed.
pub fn experiment(seed: u64) -> Experiment {
    let mut rng = fastrand::Rng::with_seed(seed);
    let has_links = seed >= FIRST_LINK_SEED;
    let base = match seed {
        FIRST_PARTED_SEED.. => Site { entries: 6, ..Site::small() },
        FIRST_CRASHING_PART_SEED.. => {
            Site { engines_each: 8, ..Site::small() }
        }
        FIRST_LARGE_CONFIGURATION_SEED.. => {
            Site { extra_routes: EXTRA_ROUTES, ..Site::with_shared_feeds() }
        }
        FIRST_COMPETITION_SEED.. => Site::with_competition(),
        FIRST_SHARED_FEEDS_SEED.. => Site::with_shared_feeds(),
        _ => Site::small(),
    };
    let site = Site {
        events: 60,
        retry_slack: SOAK_RETRY_SLACK,
        has_links,
        has_peer_links: seed >= FIRST_PARTED_SEED,
        ..base
    };
    let kinds: Vec<FaultKind> = FaultKind::all()
        .filter(|kind| has_links || !kind.affects_link())
        .filter(|kind| seed >= FIRST_IDENTITY_SEED || !kind.affects_identity())
        .filter(|kind| seed >= FIRST_CRASH_SEED || !kind.is_crashing_request())
        .filter(|kind| seed >= FIRST_LIMIT_SEED || !kind.is_announced_limit())
        .filter(|kind| {
            seed >= FIRST_ADMISSION_SEED || !kind.is_admission_notice()
        })
        .filter(|kind| seed >= FIRST_RESTORE_SEED || !kind.loses_changes())
        .filter(|kind| {
            seed >= FIRST_LARGE_CONFIGURATION_SEED || !kind.slows_transfers()
        })
        .filter(|kind| {
            seed >= FIRST_CRASHING_PART_SEED || !kind.is_crashing_part()
        })
        .filter(|kind| {
            seed >= FIRST_UNENDING_SEED || !kind.sends_without_end()
        })
        .filter(|kind| seed >= FIRST_PARTED_SEED || !kind.parts_entries())
        .filter(|kind| {
            seed >= FIRST_ALL_ENTRIES_SEED || !kind.affects_all_entries()
        })
        .collect();
    let mut faults: Vec<Fault> = (0..FAULT_COUNT)
        .map(|_| Fault {
            at: LOAD_DURATION.mul_f64(0.1 + 0.8 * rng.f64()),
            kind: kinds[rng.usize(..kinds.len())],
            duration: Duration::from_millis(rng.u64(300..2_500)),
        })
        .collect();
    if seed >= FIRST_ALL_ENTRIES_SEED {
        faults[0].kind = FaultKind::EntriesKilled;
        faults[1].kind = FaultKind::EntriesKilled;
        faults[2].kind = FaultKind::StreamsReset;
        faults[3].kind = FaultKind::AnswersLost;
        faults[4].kind = FaultKind::EntriesPause;
    } else if seed >= FIRST_PARTED_SEED {
        faults[0] = Fault {
            at: Duration::ZERO,
            kind: FaultKind::EntriesParted,
            duration: LOAD_DURATION,
        };
        faults[1].kind = FaultKind::StreamsReset;
        faults[2].kind = FaultKind::AnswersLost;
    } else if seed >= FIRST_UNENDING_SEED {
        faults[0].kind = FaultKind::AnswersUnending;
        faults[1].kind = FaultKind::AnswersUnending;
        faults[2].kind = FaultKind::EntryStops;
    } else if seed >= FIRST_CRASHING_PART_SEED {
        faults[0].kind = FaultKind::PartCrashes;
        faults[1].kind = FaultKind::EntryKilled;
    } else if seed >= FIRST_LARGE_CONFIGURATION_SEED {
        let narrow = kinds.iter().find(|kind| kind.slows_transfers());
        faults[1].kind = *narrow.expect("a fault of all seeds from here on");
        faults[2].kind = FaultKind::Configuration;
        faults[3].kind = FaultKind::Configuration;
    } else if seed >= FIRST_COMPETITION_SEED {
        faults[1].kind = FaultKind::EntryKilled;
        faults[2].kind = FaultKind::EntryPauses;
    } else if seed >= FIRST_RESTORE_SEED {
        faults[1].kind = FaultKind::StoreRestored;
        faults[2].kind = FaultKind::Configuration;
        faults[3].kind = FaultKind::StoreRestored;
    } else if seed >= FIRST_ADMISSION_SEED {
        faults[1].kind = FaultKind::RestAsked;
        faults[2].kind = FaultKind::EngineSaysLeaving;
    } else if seed >= FIRST_LIMIT_SEED {
        faults[1].kind = FaultKind::LimitNamed;
    } else if seed >= FIRST_CRASH_SEED {
        faults[0].kind = FaultKind::RequestCrashes;
    }
    faults.sort_by_key(|fault| fault.at);
    let mut per_s = BTreeMap::from([
        (RequestKind::Stream, 20.0),
        (RequestKind::Idempotent, 8.0),
        (RequestKind::Once, 8.0),
    ]);
    if site.has_competition {
        per_s.insert(RequestKind::UrgentStream, COMPETING_PER_S[0]);
        per_s.insert(RequestKind::Stream, COMPETING_PER_S[1]);
    }
    let load =
        Load { per_s, duration: LOAD_DURATION, events: site.events, seed };
    Experiment { site, load, faults }
}

/// Runs the experiment of a seed and returns the report with all violations.
/// If there are any, the logs of the entries are copied to a directory.
///
/// # Errors
///
/// The site can't be started, or the logs can't be copied.
pub async fn run_seed(
    executor: &Arc<Executor<'static>>,
    binary: &Path,
    seed: u64,
    logs: Option<&Path>,
) -> anyhow::Result<(Report, Vec<String>)> {
    let experiment = experiment(seed);
    let running = start(executor, binary, &experiment.site).await?;
    let report = running.run(&experiment.load, &experiment.faults).await;
    let mut violations = report.violations();
    if !running.recovers().await {
        violations
            .push(format!("not served again within {RECOVERY_TIMEOUT:?}"));
    }
    let outdated = running.entries_with_outdated_configuration().await;
    if !outdated.is_empty() {
        violations.push(format!("{outdated:?} have an older configuration"));
    }
    let peak_bytes = running.peak_memory_bytes();
    if peak_bytes > MAX_MEMORY_BYTES {
        violations.push(format!("an entry held {peak_bytes} bytes"));
    }
    let slack = experiment.site.retry_slack;
    violations.extend(checks::violations(&report, &running, slack));
    if let Some(dir) = logs.filter(|_| !violations.is_empty()) {
        running.entries().copy_logs(&dir.join(seed.to_string()))?;
    }
    Ok((report, violations))
}
