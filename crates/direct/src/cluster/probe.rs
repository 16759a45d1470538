//! Detection of backend servers that fail, are slow, or recover.
//!
//! An idle connection to each engine shows immediately that the process has
//! exited. An engine that stops responding shows only by the requests that
//! wait for it: when a stream stalls for longer than its pace explains, the
//! entry connects to every engine of the path that no other stream shows to
//! be alive, and suspects those that do not accept in time. A connect costs
//! far less than a report, and its result is newer. Reports are requested if
//! connects do not explain a stall: they name slow engines, and engines that
//! other engines wait for.

use std::{
    fmt::Display,
    io,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use async_io::Timer;
use chestnutreach_adapter::engine::{Report, parse_report};
use chestnutreach_http::relay::Outbound;
use chestnutreach_protocol::peers::EngineUse;
use chestnutreach_routing::FailedConnect;
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    cluster::{
        alerts::percent,
        engine::{
            Engine, FailureEvidence, Probe, RECENT_PROGRESS_MS, StartOrder,
            Suspicion,
        },
    },
    core::Core,
    request::{exchange, path::Path},
};

/// Network delays are below 2 ms, and engines accept within 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(25);
/// Two, because TCP retransmits a lost packet only after 1 s.
const CONNECT_ATTEMPTS: usize = 2;
/// Interval between checks of a probe that is under way.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum time between two requests for an engine's report.
const MIN_REPORT_INTERVAL_MS: u64 = 1_500;
/// Time between checks of suspected and slow engines.
const RECHECK_INTERVAL: Duration = Duration::from_millis(400);
/// An entry checks suspected engines that it does not watch only in every
/// fifth round: the entries that watch them report a recovery.
const UNWATCHED_RECHECK_ROUNDS: u32 = 5;
/// An alert is not repeated if another entry sent one within this time.
const MIN_ALERT_INTERVAL_MS: u64 = 1_000;
/// Share of silent engines at which this VM counts as partitioned. The share
/// exceeds what the failure of one data centre takes away.
const PARTITION_SILENT_SHARE: f64 = 0.4;
/// A smaller slowness counts as none.
const MIN_SLOWNESS: f64 = 1.2;

/// Records a failed connect to an engine and suspects the engine, unless the
/// failure shows nothing about the engine or this VM seems to be partitioned.
pub(crate) fn record_unreachable(
    core: &Core,
    engine: &Engine,
    failed: &FailedConnect,
) {
    let Some(evidence) = failed.evidence(engine.quiet_ms(now_ms())) else {
        return;
    };
    if evidence == FailureEvidence::Silent && is_partitioned(core) {
        return;
    }
    suspect(core, engine, evidence, &failed.kind);
}

/// Whether so many engines are silent that this VM itself is more likely
/// partitioned, or too slow to connect within the timeout.
fn is_partitioned(core: &Core) -> bool {
    let engines = core.fleet.all();
    let is_silent = |engine: &&Arc<Engine>| {
        let suspicion = engine.lock().suspicion;
        suspicion.is_some_and(|s| s.evidence == FailureEvidence::Silent)
    };
    let silent = engines.iter().filter(is_silent).count();
    silent as f64 >= PARTITION_SILENT_SHARE * engines.len() as f64
}

/// Excludes an engine from new paths and notifies the streams. `error` is the
/// cause in the log.
pub(crate) fn suspect(
    core: &Core,
    engine: &Engine,
    evidence: FailureEvidence,
    error: &dyn Display,
) {
    let now_ms = now_ms();
    let min_ms = match evidence {
        // A repeated stall takes that long to show at the engines that wait.
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
            until_ms: now_ms + min_ms,
            evidence,
        });
    }
    emit(
        Event::BackendSuspected,
        &[
            ("backend", &engine.id),
            ("address", &engine.address),
            ("evidence", &evidence.as_str()),
            ("error", error),
            ("quiet_ms", &engine.quiet_ms(now_ms)),
        ],
    );
    core.stream_subscribers.notify_all();
    // A stall is not alerted: the engine that reported it may itself be unable
    // to reach the engines that it needs.
    if evidence != FailureEvidence::Stalled {
        queue_alert(
            core,
            engine,
            EngineUse { is_suspect: true, ..empty_update(engine) },
        );
    }
}

/// An update of an engine in which nothing is set yet.
fn empty_update(engine: &Engine) -> EngineUse {
    EngineUse { engine: engine.hash, ..EngineUse::default() }
}

/// Queues an alert, unless another entry has sent one just before.
fn queue_alert(core: &Core, engine: &Engine, update: EngineUse) {
    let alerted_ms = engine.lock().alerted_ms;
    if now_ms().saturating_sub(alerted_ms) >= MIN_ALERT_INTERVAL_MS {
        core.alerts.queue_engine(update);
    }
}

/// Records a successful connect to an engine and clears its suspicion if that
/// proves that the engine responds.
pub(crate) fn record_connected(core: &Core, engine: &Engine) {
    let now_ms = now_ms();
    let mut state = engine.lock();
    state.connected_ms = now_ms;
    state.connects_without_progress += 1;
    let Some(suspicion) = state.suspicion else {
        return;
    };
    // After a refused connect, a port that accepts belongs to a new process.
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
    queue_alert(
        core,
        engine,
        EngineUse { is_cleared: true, ..empty_update(engine) },
    );
}

/// Connects to an engine and records the result.
pub(crate) async fn probe(core: Arc<Core>, engine: Arc<Engine>) {
    probe_with_attempts(core, engine, CONNECT_ATTEMPTS).await;
}

/// Probes an engine to which another entry has just failed to connect. One
/// attempt suffices: a second lost packet is less likely than a failed engine,
/// and a stall of streams is to end within 300 ms.
pub(crate) async fn probe_after_alert(core: Arc<Core>, engine: Arc<Engine>) {
    probe_with_attempts(core, engine, 1).await;
}

async fn probe_with_attempts(
    core: Arc<Core>,
    engine: Arc<Engine>,
    max_attempts: usize,
) {
    if engine.is_probing.swap(true, Relaxed) {
        return;
    }
    let began_ms = now_ms();
    let connected = connect(&engine, max_attempts).await;
    let result = connected.as_ref().map(|_| ()).map_err(|e| e.kind);
    engine.lock().last_probe = Some(Probe { began_ms, result });
    engine.is_probing.store(false, Relaxed);
    match connected {
        Ok(()) => record_connected(&core, &engine),
        Err(e) => record_unreachable(&core, &engine, &e),
    }
}

/// The result of a probe that begins now or later. All who ask meanwhile get
/// the result of one probe.
pub(crate) async fn look(
    core: &Arc<Core>,
    engine: &Arc<Engine>,
    not_before_ms: u64,
) -> Result<(), io::ErrorKind> {
    loop {
        let last = engine.lock().last_probe;
        if let Some(last) = last
            && last.began_ms >= not_before_ms
        {
            return last.result;
        }
        if engine.is_probing.load(Relaxed) {
            Timer::after(LOOK_INTERVAL).await;
        } else {
            probe(core.clone(), engine.clone()).await;
        }
    }
}

/// Whether an engine has crashed; connects to it if that is not known yet.
pub(crate) async fn confirm_crash(
    core: &Arc<Core>,
    engine: &Arc<Engine>,
) -> bool {
    if !has_crashed(engine) && !engine.lock().is_removed {
        // What the probe shows is recorded in the state of the engine.
        let _ = look(core, engine, now_ms()).await;
    }
    has_crashed(engine)
}

/// Whether an engine is known to have crashed: its process exited while it was
/// not draining. A silent engine does not count, since it may be partitioned.
fn has_crashed(engine: &Engine) -> bool {
    let state = engine.lock();
    let evidence = state.suspicion.map(|suspicion| suspicion.evidence);
    let has_exited =
        state.is_replaced || evidence == Some(FailureEvidence::Refused);
    has_exited && state.leaving_since_ms.is_none()
}

/// Connects to an engine, with another attempt after each timeout.
async fn connect(
    engine: &Engine,
    max_attempts: usize,
) -> Result<(), FailedConnect> {
    let mut connected = Ok(());
    for _ in 0..max_attempts {
        connected = connect_once(engine, CONNECT_TIMEOUT).await.map(drop);
        let is_silent = |e: &FailedConnect| e.kind == io::ErrorKind::TimedOut;
        if !connected.as_ref().is_err_and(is_silent) {
            break;
        }
    }
    connected
}

/// Connects to an engine once.
pub(crate) async fn connect_once(
    engine: &Engine,
    timeout: Duration,
) -> Result<Outbound, FailedConnect> {
    let began_ms = now_ms();
    let connected = Outbound::connect(engine.address, timeout).await;
    connected.map_err(|e| FailedConnect {
        kind: e.kind(),
        timeout_ms: timeout.as_millis() as u64,
        waited_ms: now_ms().saturating_sub(began_ms),
    })
}

/// Probes the engines of a path that no other evidence shows to respond.
pub(crate) fn probe_path(core: &Arc<Core>, path: &Path) {
    let now_ms = now_ms();
    for stage in &path.stages {
        let engine = &stage.engine;
        if !engine.lock().is_connect_due(now_ms, engine.quiet_ms(now_ms)) {
            continue;
        }
        let task = probe(core.clone(), engine.clone());
        core.executor.spawn(task).detach();
    }
}

/// Requests reports from the engines of a path, except where one was requested
/// recently.
pub(crate) fn request_path_reports(core: &Arc<Core>, path: &Path) {
    for stage in &path.stages {
        request_report_if_due(core, &stage.engine);
    }
}

fn request_report_if_due(core: &Arc<Core>, engine: &Arc<Engine>) {
    let now_ms = now_ms();
    let mut state = engine.lock();
    let is_recently_requested = now_ms
        .saturating_sub(state.report_requested_ms)
        < MIN_REPORT_INTERVAL_MS;
    if is_recently_requested || state.is_in_cooldown(now_ms) {
        return;
    }
    state.report_requested_ms = now_ms;
    drop(state);
    let task = request_report(core.clone(), engine.clone());
    core.executor.spawn(task).detach();
}

pub(crate) async fn request_report(core: Arc<Core>, engine: Arc<Engine>) {
    let memory = &core.fleet.response_memory;
    let body = exchange::fetch_report(memory, &engine);
    let body = match exchange::with_timeout(REPORT_TIMEOUT, body).await {
        Ok(Ok((200, body))) => body,
        Ok(Err(e)) => {
            return exchange::record_cut(&core, &engine, "report", &e);
        }
        _ => return,
    };
    match parse_report(body.as_slice()) {
        Ok(report) => apply_report(&core, &engine, &report),
        Err(error) => emit(
            Event::RelayAnswered,
            &[("backend", &engine.id), ("at", &error)],
        ),
    }
}

fn apply_report(core: &Core, engine: &Engine, report: &Report) {
    match report_start_order(engine, report) {
        StartOrder::Same => {}
        // The report is late, or comes from another process.
        StartOrder::Earlier => return,
        // The new process has its own row, or will have it soon.
        StartOrder::Later => {
            let cause = "another process reports";
            return suspect(core, engine, FailureEvidence::Refused, &cause);
        }
    }
    let slowness = match report.slowness {
        slowness if slowness < MIN_SLOWNESS => 1.0,
        slowness => slowness,
    };
    if record_slowness(engine, slowness, now_ms()) {
        let slowness_percent = percent(slowness);
        core.alerts.queue_engine(EngineUse {
            slowness_percent,
            ..empty_update(engine)
        });
    }
    engine.lock().orders_begun = report.orders_begun;
    for stalled in &report.stalled {
        let Some(target) = core.fleet.by_address(stalled.engine_address)
        else {
            continue;
        };
        // The engine may have recovered since the report was made.
        let has_progress = target.quiet_ms(now_ms()) < RECENT_PROGRESS_MS;
        if !has_progress && target.incarnation != engine.incarnation {
            suspect(core, &target, FailureEvidence::Stalled, &"");
        }
    }
}

/// Order of the report's incarnation relative to the known incarnation.
pub(crate) fn report_start_order(
    engine: &Engine,
    report: &Report,
) -> StartOrder {
    match engine.started_unix_ms {
        Some(known) => StartOrder::of(report.started_unix_ms, Some(known)),
        None => StartOrder::Same,
    }
}

/// Records a reported slowness; returns true if it has changed.
pub(crate) fn record_slowness(
    engine: &Engine,
    slowness: f64,
    now_ms: u64,
) -> bool {
    let mut state = engine.lock();
    let is_same = (state.slowness - slowness).abs() < 0.1;
    state.slowness = slowness;
    state.slowness_received_ms = now_ms;
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

/// Checks suspected and slow engines again: in every round those that this
/// entry watches, less often those that other entries report on.
pub(crate) async fn recheck(core: Arc<Core>) {
    for round in 0_u32.. {
        Timer::after(RECHECK_INTERVAL).await;
        let includes_unwatched = round % UNWATCHED_RECHECK_ROUNDS == 0;
        for engine in core.fleet.all() {
            let is_watched = engine.is_watched.load(Relaxed);
            let (is_suspect, is_slow, received_ms) = {
                let state = engine.lock();
                let is_slow = state.slowness > 1.0;
                (
                    state.suspicion.is_some(),
                    is_slow,
                    state.slowness_received_ms,
                )
            };
            if is_suspect && (is_watched || includes_unwatched) {
                let task = probe(core.clone(), engine.clone());
                core.executor.spawn(task).detach();
            } else if is_slow && !is_suspect {
                let age_ms = now_ms().saturating_sub(received_ms);
                // The watching entries repeat what they found.
                if is_watched || age_ms >= core.peers.repeat_timeout_ms() {
                    request_report_if_due(&core, &engine);
                }
            }
        }
    }
}
