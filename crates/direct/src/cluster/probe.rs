//! Noticing that a backend server is dead, slow, or back.
//!
//! An idle connection to each engine shows at once that its process ended.
//! An engine that falls silent shows only by what waits for it: when a
//! stream pauses for longer than its pace explains, every engine of its path
//! through which nothing else flows is dialled, and who does not answer in
//! time is suspected. A dial costs far less than a report and is not as old.
//! Reports are asked for when dials explain nothing: they name engines that
//! others wait for, and those that are slow.

use std::{io, sync::Arc, sync::atomic::Ordering::Relaxed, time::Duration};

use async_io::Timer;
use chestnutreach_adapter::engine::{Report, parse_report};
use chestnutreach_http::relay::Outbound;
use chestnutreach_protocol::peers::EngineUse;
use chestnutreach_routing::{
    ExitStatus, detect_exit, exit_detection::SILENCE_TIMEOUT_MS,
};
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    cluster::{
        alerts::percent,
        engine::{Engine, FLOWING_MS, FailureEvidence, StartOrder, Suspicion},
    },
    core::Core,
    request::{exchange, path::Path},
};

/// Time for a dial; ways are below 2 ms and engines accept within 1 ms.
const DIAL: Duration = Duration::from_millis(25);
/// Dials before silence counts: a lost packet is sent again only after 1 s.
const DIALS: usize = 2;
/// Time for a report.
const REPORT: Duration = Duration::from_millis(250);
/// Shortest time between two reports of an engine.
const REPORT_EVERY_MS: u64 = 1_500;
/// Time between looks at suspected engines.
const RECHECK: Duration = Duration::from_millis(400);
/// Rounds of such looks until an entry looks at an engine that others watch:
/// they tell when it is back.
const OTHERS_EVERY: u32 = 5;
/// What others said of a slow engine is asked anew after so long.
const SLOW_HEARD_MS: u64 = 4_000;
/// An alert of another entry so recent need not be repeated.
const ALERTED_MS: u64 = 1_000;
/// Share of engines that are silent from which on no more are suspected: more
/// than a data centre's fault takes away.
const OWN_FAULT_SHARE: f64 = 0.4;
/// Slowness below it is told as none.
const SLOW_FROM: f64 = 1.2;

pub(crate) fn record_unreachable(
    core: &Core,
    engine: &Engine,
    error: &io::Error,
) {
    let evidence = match error.kind() {
        io::ErrorKind::TimedOut => FailureEvidence::Silent,
        _ => FailureEvidence::Refused,
    };
    if evidence == FailureEvidence::Silent && is_own_fault(core) {
        return;
    }
    suspect(core, engine, evidence);
}

/// Whether so many engines are silent that rather this VM is cut off, or too
/// slow to dial in time.
fn is_own_fault(core: &Core) -> bool {
    let engines = core.fleet.all();
    let is_silent = |engine: &&Arc<Engine>| {
        let suspicion = engine.lock().suspicion;
        suspicion.is_some_and(|s| s.evidence == FailureEvidence::Silent)
    };
    let silent = engines.iter().filter(is_silent).count();
    silent as f64 >= OWN_FAULT_SHARE * engines.len() as f64
}

/// Takes an engine out of new paths and tells the streams on it.
pub(crate) fn suspect(
    core: &Core,
    engine: &Engine,
    evidence: FailureEvidence,
) {
    let now_ms = now_ms();
    let least_ms = match evidence {
        // Others may wait for it that long before that shows.
        FailureEvidence::Stalled => core.settings.bounds.stall_ms,
        FailureEvidence::Refused | FailureEvidence::Silent => 0,
    };
    {
        let mut state = engine.lock();
        if state.is_removed || state.suspicion.is_some() {
            return;
        }
        state.suspicion = Some(Suspicion {
            since_ms: now_ms,
            until_ms: now_ms + least_ms,
            evidence,
        });
    }
    emit(
        Event::BackendSuspected,
        &[
            ("backend", &engine.id),
            ("address", &engine.address),
            ("evidence", &evidence.as_str()),
            ("quiet_ms", &engine.quiet_ms(now_ms)),
        ],
    );
    core.stream_subscribers.notify_all();
    // Others that wait for an engine may not reach those that they need.
    if evidence != FailureEvidence::Stalled {
        alert(core, engine, EngineUse { is_suspect: true, ..news(engine) });
    }
}

fn news(engine: &Engine) -> EngineUse {
    EngineUse { engine: engine.hash, ..EngineUse::default() }
}

/// Tells all others, unless one of them just did.
fn alert(core: &Core, engine: &Engine, news: EngineUse) {
    let alerted_ms = engine.lock().alerted_ms;
    if now_ms().saturating_sub(alerted_ms) >= ALERTED_MS {
        core.alerts.queue_engine(news);
    }
}

pub(crate) fn clear(core: &Core, engine: &Engine) {
    let now_ms = now_ms();
    let mut state = engine.lock();
    state.reached_ms = now_ms;
    state.dials_in_vain += 1;
    let Some(suspicion) = state.suspicion else {
        return;
    };
    // A port that answers again after its process ended is a new process.
    let is_over = suspicion.until_ms <= now_ms
        && suspicion.evidence != FailureEvidence::Refused;
    if !is_over {
        return;
    }
    state.suspicion = None;
    drop(state);
    emit(
        Event::BackendCleared,
        &[
            ("backend", &engine.id),
            ("address", &engine.address),
            ("suspected_ms", &(now_ms - suspicion.since_ms)),
        ],
    );
    alert(core, engine, EngineUse { is_cleared: true, ..news(engine) });
}

/// Dials an engine and takes what that shows.
pub(crate) async fn probe(core: Arc<Core>, engine: Arc<Engine>) {
    probe_within(core, engine, DIALS).await;
}

/// The same where another entry has dialled it in vain just now: a packet
/// that is lost here as well is less likely than that it is dead, and what
/// streams pause for is to end within 300 ms.
pub(crate) async fn probe_alerted(core: Arc<Core>, engine: Arc<Engine>) {
    probe_within(core, engine, 1).await;
}

async fn probe_within(core: Arc<Core>, engine: Arc<Engine>, dials: usize) {
    if engine.is_probing.swap(true, Relaxed) {
        return;
    }
    let dialled = dial(&engine, dials).await;
    engine.is_probing.store(false, Relaxed);
    match dialled {
        Ok(()) => clear(&core, &engine),
        Err(e) => record_unreachable(&core, &engine, &e),
    }
}

/// Whether the process of an engine has surely ended, or is out of reach, as
/// far as dials show; those that would show it are awaited if `is_patient`.
/// What is there at the address of one that has left the list may be another
/// process; it is taken for the same.
pub(crate) async fn has_ended(
    core: &Arc<Core>,
    engine: &Arc<Engine>,
    is_patient: bool,
) -> bool {
    if !engine.lock().is_removed {
        probe(core.clone(), engine.clone()).await;
    }
    let (is_gone, is_replaced, suspicion) = {
        let state = engine.lock();
        (state.is_removed, state.is_replaced, state.suspicion)
    };
    let lasted_ms = suspicion.map_or(0, |s| now_ms() - s.since_ms);
    match detect_exit(suspicion.map(|s| s.evidence), lasted_ms) {
        ExitStatus::Exited => true,
        _ if is_replaced => true,
        ExitStatus::Unknown => {
            let limit = Duration::from_millis(SILENCE_TIMEOUT_MS);
            is_patient
                && Outbound::connect(engine.address, limit).await.is_err()
        }
        ExitStatus::Alive => is_gone && dial(engine, DIALS).await.is_err(),
    }
}

/// Whether an engine has crashed, as a dial shows if it is not known.
pub(crate) async fn confirm_crash(
    core: &Arc<Core>,
    engine: &Arc<Engine>,
) -> bool {
    if !has_crashed(engine) && !engine.lock().is_removed {
        probe(core.clone(), engine.clone()).await;
    }
    has_crashed(engine)
}

/// Whether an engine has crashed, as far as is known now: its process ended,
/// and it was not leaving. One that is silent may be cut off.
fn has_crashed(engine: &Engine) -> bool {
    let state = engine.lock();
    let evidence = state.suspicion.map(|suspicion| suspicion.evidence);
    let has_ended =
        state.is_replaced || evidence == Some(FailureEvidence::Refused);
    has_ended && state.leaving_since_ms.is_none()
}

/// Dials; a lost packet alone is no failure.
async fn dial(engine: &Engine, dials: usize) -> io::Result<()> {
    let mut dialled = Ok(());
    for _ in 0..dials {
        dialled = Outbound::connect(engine.address, DIAL).await.map(|_| ());
        let is_silent = |e: &io::Error| e.kind() == io::ErrorKind::TimedOut;
        if !dialled.as_ref().is_err_and(is_silent) {
            break;
        }
    }
    dialled
}

/// Dials the engines of a path that nothing speaks for.
pub(crate) fn probe_path(core: &Arc<Core>, path: &Path) {
    let now_ms = now_ms();
    for stage in &path.stages {
        let engine = &stage.engine;
        if !engine.lock().is_dial_due(now_ms, engine.quiet_ms(now_ms)) {
            continue;
        }
        let task = probe(core.clone(), engine.clone());
        core.executor.spawn(task).detach();
    }
}

/// Asks the engines of a path for reports, where that was not done of late.
pub(crate) fn request_path_reports(core: &Arc<Core>, path: &Path) {
    for stage in &path.stages {
        ask_one(core, &stage.engine);
    }
}

fn ask_one(core: &Arc<Core>, engine: &Arc<Engine>) {
    let now_ms = now_ms();
    let mut state = engine.lock();
    let is_asked_of_late =
        now_ms.saturating_sub(state.asked_ms) < REPORT_EVERY_MS;
    if is_asked_of_late || state.is_in_cooldown(now_ms) {
        return;
    }
    state.asked_ms = now_ms;
    drop(state);
    let task = request_report(core.clone(), engine.clone());
    core.executor.spawn(task).detach();
}

pub(crate) async fn request_report(core: Arc<Core>, engine: Arc<Engine>) {
    let body = exchange::fetch_report(&engine);
    let Ok(Ok((200, body))) = exchange::with_timeout(REPORT, body).await
    else {
        return;
    };
    match parse_report(&body) {
        Ok(report) => take_report(&core, &engine, &report),
        Err(error) => emit(
            Event::RelayAnswered,
            &[("backend", &engine.id), ("at", &error)],
        ),
    }
}

fn take_report(core: &Core, engine: &Engine, report: &Report) {
    match told_by(engine, report) {
        StartOrder::Same => {}
        // It came late, or is of another writer.
        StartOrder::Earlier => return,
        // What runs there now has a row of its own, or soon will.
        StartOrder::Later => {
            return suspect(core, engine, FailureEvidence::Refused);
        }
    }
    let slowness = match report.slowness {
        slowness if slowness < SLOW_FROM => 1.0,
        slowness => slowness,
    };
    if take_slowness(engine, slowness, now_ms()) {
        let slowness_percent = percent(slowness);
        core.alerts
            .queue_engine(EngineUse { slowness_percent, ..news(engine) });
    }
    engine.lock().orders_begun = report.orders_begun;
    for stalled in &report.stalled {
        let Some(dead) = core.fleet.by_address(stalled.engine_address) else {
            continue;
        };
        // It may be back, while the report is of before.
        let is_flowing = dead.quiet_ms(now_ms()) < FLOWING_MS;
        if !is_flowing && dead.incarnation != engine.incarnation {
            suspect(core, &dead, FailureEvidence::Stalled);
        }
    }
}

/// Of which start a report tells.
fn told_by(engine: &Engine, report: &Report) -> StartOrder {
    match engine.started_unix_ms {
        Some(known) => StartOrder::of(report.started_unix_ms, Some(known)),
        None => StartOrder::Same,
    }
}

/// Takes how slow an engine said that it is; true if that is new.
pub(crate) fn take_slowness(
    engine: &Engine,
    slowness: f64,
    now_ms: u64,
) -> bool {
    let mut state = engine.lock();
    let is_same = (state.slowness - slowness).abs() < 0.1;
    state.slowness = slowness;
    state.slow_heard_ms = now_ms;
    drop(state);
    if !is_same {
        emit(
            Event::BackendSlow,
            &[
                ("backend", &engine.id),
                ("slowness", &slowness),
                ("age_ms", &0),
            ],
        );
    }
    !is_same
}

/// Looks again at engines that are suspected or slow: those that this entry
/// watches at once, the others where nobody tells of them.
pub(crate) async fn recheck(core: Arc<Core>) {
    for round in 0_u32.. {
        Timer::after(RECHECK).await;
        let is_round_of_all = round % OTHERS_EVERY == 0;
        for engine in core.fleet.all() {
            let is_watched = engine.is_watched.load(Relaxed);
            let (is_suspect, is_slow, heard_ms) = {
                let state = engine.lock();
                let is_slow = state.slowness > 1.0;
                (state.suspicion.is_some(), is_slow, state.slow_heard_ms)
            };
            if is_suspect && (is_watched || is_round_of_all) {
                let task = probe(core.clone(), engine.clone());
                core.executor.spawn(task).detach();
            } else if is_slow && !is_suspect {
                let heard_for_ms = now_ms().saturating_sub(heard_ms);
                if is_watched || heard_for_ms >= SLOW_HEARD_MS {
                    ask_one(&core, &engine);
                }
            }
        }
    }
}
