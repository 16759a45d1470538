//! Requests under which engines crashed, as all entries know them.
//!
//! The decisions are in [`chestnutreach_routing::quarantine`]; here they meet
//! the clock, the logs and the other entries. Requests on the way look here
//! first without a lock: most of the time nothing is known of any.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use async_io::Timer;
use chestnutreach_protocol::peers::{
    EngineCrash, PeerState, RequestTrial, SuspectRequest,
};
use chestnutreach_routing::{
    Fingerprint, RunProgress, SuspectReport, Suspects, Trials, Verdict,
    quarantine::CrashReport,
};
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    cluster::{engine::Engine, probe},
    core::Core,
};

/// Pauses before looks at whether an engine has crashed.
const CRASH_CHECK_PAUSES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(8), Duration::from_millis(20)];
/// Pause before the last one.
const LATE_CRASH_CHECK_PAUSE: Duration = Duration::from_millis(200);

/// Requests under which engines crashed, and their trials.
#[derive(Debug, Default)]
pub(crate) struct SuspectTable {
    state: Mutex<State>,
    /// Requests that are remembered.
    count: AtomicUsize,
}

#[derive(Debug, Default)]
struct State {
    suspects: Suspects,
    trials: Trials,
}

/// What a change came to for its request.
struct VerdictChange {
    is_new: bool,
    before: Verdict,
    now: Verdict,
}

/// A run that broke off when it had just begun.
#[derive(Clone, Debug)]
pub(crate) struct FailedRun {
    /// Id of the request.
    pub(crate) request: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) engine: Arc<Engine>,
    pub(crate) start: RunProgress,
    pub(crate) is_in_trial: bool,
}

/// A trial of a request of this entry, until it is dropped.
pub(crate) struct TrialGuard {
    core: Arc<Core>,
    fingerprint: Fingerprint,
    /// Short hash of the engine.
    engine: u32,
}

impl TrialGuard {
    /// Tells the other entries of it.
    pub(crate) fn announce(&self) {
        self.core.alerts.queue_trial(self.fingerprint, Some(self.engine));
    }

    /// Whether no trial of another entry goes before it.
    pub(crate) fn is_held(&self) -> bool {
        let holder = self.core.boot_id;
        let trials = &self.core.suspects.lock().trials;
        trials.is_held_by(self.fingerprint, holder, now_ms())
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let core = &self.core;
        let mut state = core.suspects.lock();
        state.trials.end(self.fingerprint, core.boot_id);
        drop(state);
        core.alerts.queue_trial(self.fingerprint, None);
    }
}

impl SuspectTable {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Changes what is known of a request; true from `change` is news.
    fn update(
        &self,
        of: Fingerprint,
        change: impl FnOnce(&mut Suspects, u64) -> bool,
    ) -> VerdictChange {
        let now_ms = now_ms();
        let mut state = self.lock();
        let suspects = &mut state.suspects;
        let before = suspects.verdict(of, now_ms);
        let is_news = change(suspects, now_ms);
        let now = suspects.verdict(of, now_ms);
        self.count.store(suspects.len(), Relaxed);
        VerdictChange { is_new: is_news, before, now }
    }

    /// Whether nothing is known of any request.
    pub(crate) fn is_empty(&self) -> bool {
        self.count.load(Relaxed) == 0
    }

    /// What may be done with a request.
    pub(crate) fn verdict(&self, request: Fingerprint) -> Verdict {
        self.lock().suspects.verdict(request, now_ms())
    }

    /// Engines at which a suspect is on trial, by their short hashes.
    pub(crate) fn trial_engines(&self) -> BTreeSet<u32> {
        if self.is_empty() {
            return BTreeSet::new();
        }
        self.lock().trials.servers_on_trial(now_ms())
    }

    /// What is told of requests with the next state, of which each entry hears
    /// so many a second; what has expired is forgotten.
    pub(crate) fn reports(&self, states_per_s: f64) -> Vec<SuspectRequest> {
        let now_ms = now_ms();
        let mut rng = fastrand::Rng::new();
        let mut state = self.lock();
        let suspects = &mut state.suspects;
        suspects.remove_expired(now_ms);
        self.count.store(suspects.len(), Relaxed);
        let news = suspects.next_reports(now_ms, states_per_s, &mut rng);
        news.into_iter().map(to_message).collect()
    }

    /// What is told at once of a request.
    pub(crate) fn report_of(&self, of: Fingerprint) -> Option<SuspectRequest> {
        let news = self.lock().suspects.report_of(of, now_ms());
        news.map(to_message)
    }

    /// All requests that are remembered, for operators.
    pub(crate) fn status(&self) -> Vec<serde_json::Value> {
        let now_ms = now_ms();
        let state = self.lock();
        let suspects = &state.suspects;
        let of_request = |request| {
            let news = suspects.report_of(request, now_ms)?;
            let verdict = suspects.verdict(request, now_ms);
            let name = match verdict {
                Verdict::Free => "free",
                Verdict::Suspect { .. } => "suspect",
                Verdict::Quarantined { .. } => "quarantined",
            };
            let left_ms = verdict.quarantine_left_ms(now_ms);
            Some(serde_json::json!({
                "fingerprint": request.to_string(),
                "verdict": name,
                "left_ms": left_ms.unwrap_or(0),
                "crashes": crashes_json(&news),
            }))
        };
        suspects.fingerprints().filter_map(of_request).collect()
    }
}

fn crashes_json(news: &SuspectReport) -> Vec<serde_json::Value> {
    let crash = |crash: &CrashReport| {
        serde_json::json!({
            "backend_hash": format!("{:08x}", crash.server),
            "age_ms": crash.age_ms,
            "is_in_trial": crash.is_in_trial,
            "is_void": crash.is_void,
        })
    };
    news.crashes.iter().map(crash).collect()
}

fn to_message(news: SuspectReport) -> SuspectRequest {
    let crash = |crash: CrashReport| EngineCrash {
        engine: crash.server,
        age_ms: crash.age_ms,
        is_in_trial: crash.is_in_trial,
        is_void: crash.is_void,
    };
    SuspectRequest {
        fingerprint: news.fingerprint.0,
        crashes: news.crashes.into_iter().map(crash).collect(),
    }
}

fn from_message(told: &SuspectRequest) -> SuspectReport {
    let crash = |crash: &EngineCrash| CrashReport {
        server: crash.engine,
        age_ms: crash.age_ms,
        is_in_trial: crash.is_in_trial,
        is_void: crash.is_void,
    };
    SuspectReport {
        fingerprint: Fingerprint(told.fingerprint),
        crashes: told.crashes.iter().map(crash).collect(),
    }
}

/// Finds whether the engine of a run that broke off has crashed; true if it
/// has. The connection may end before the port is closed, so that is looked
/// at again, the last time without the request waiting for it. One that is
/// silent is not waited for.
pub(crate) async fn check_crash(core: &Arc<Core>, run: FailedRun) -> bool {
    for pause in CRASH_CHECK_PAUSES {
        Timer::after(pause).await;
        if probe::confirm_crash(core, &run.engine).await {
            record_crash(core, &run);
            return true;
        }
        if run.engine.is_suspect() {
            break;
        }
    }
    check_crash_later(core, run);
    false
}

/// Finds a moment later whether the engine of a run has crashed that broke
/// off, or was left.
pub(crate) fn check_crash_later(core: &Arc<Core>, run: FailedRun) {
    let core_here = core.clone();
    let look = async move {
        Timer::after(LATE_CRASH_CHECK_PAUSE).await;
        if probe::confirm_crash(&core_here, &run.engine).await {
            record_crash(&core_here, &run);
        }
    };
    core.executor.spawn(look).detach();
}

/// Takes that an engine crashed under a run that had only just begun.
fn record_crash(core: &Core, run: &FailedRun) {
    let fingerprint = run.fingerprint;
    let changed = core.suspects.update(fingerprint, |suspects, now_ms| {
        let server = run.engine.hash;
        suspects.record_crash(fingerprint, server, run.is_in_trial, now_ms)
    });
    let begun_ms = run.start.age_ms(now_ms());
    let begun_ms = begun_ms.map_or_else(String::new, |ms| ms.to_string());
    emit(
        Event::RequestSuspected,
        &[
            ("request", &run.request),
            ("fingerprint", &fingerprint),
            ("backend", &run.engine.id),
            ("begun_ms", &begun_ms),
            ("attempt_events", &run.start.events()),
            ("is_in_trial", &run.is_in_trial),
            ("crashes", &changed.now.crashes()),
        ],
    );
    if changed.is_new {
        core.alerts.queue_suspect(fingerprint);
        announce_quarantine(core, fingerprint, &changed, "own");
    }
}

/// Takes that a run of a request has lasted: it crashes nothing.
pub(crate) fn record_survived(
    core: &Core,
    fingerprint: Fingerprint,
    id: &str,
) {
    if core.suspects.verdict(fingerprint) != Verdict::Free {
        clear(core, fingerprint, id, "lasted");
    }
}

/// Has crashes under a request no longer count; true if some did.
pub(crate) fn clear(
    core: &Core,
    fingerprint: Fingerprint,
    request: &str,
    cause: &str,
) -> bool {
    let clear =
        |suspects: &mut Suspects, now_ms| suspects.clear(fingerprint, now_ms);
    let changed = core.suspects.update(fingerprint, clear);
    if !changed.is_new {
        return false;
    }
    emit(
        Event::RequestCleared,
        &[
            ("request", &request),
            ("fingerprint", &fingerprint),
            ("crashes", &changed.before.crashes()),
            ("cause", &cause),
        ],
    );
    core.alerts.queue_suspect(fingerprint);
    true
}

/// Tells of a request that is quarantined now and was not before, and has
/// the streams that run it leave their engines.
fn announce_quarantine(
    core: &Core,
    fingerprint: Fingerprint,
    changed: &VerdictChange,
    source: &str,
) {
    let now_ms = now_ms();
    let Some(left_ms) = changed.now.quarantine_left_ms(now_ms) else { return };
    if matches!(changed.before, Verdict::Quarantined { .. }) {
        return;
    }
    core.metrics.requests_quarantined.inc();
    emit(
        Event::RequestQuarantined,
        &[
            ("fingerprint", &fingerprint),
            ("crashes", &changed.now.crashes()),
            ("left_ms", &left_ms),
            ("source", &source),
        ],
    );
    core.stream_subscribers.notify_all();
}

/// Begins a trial of a request at an engine, unless one of them is on trial.
pub(crate) fn try_trial(
    core: &Arc<Core>,
    fingerprint: Fingerprint,
    engine: &Engine,
) -> Option<TrialGuard> {
    let mut state = core.suspects.lock();
    let (server, holder) = (engine.hash, core.boot_id);
    if !state.trials.try_begin(fingerprint, server, holder, now_ms()) {
        return None;
    }
    drop(state);
    let hold = TrialGuard { core: core.clone(), fingerprint, engine: server };
    hold.announce();
    Some(hold)
}

/// Takes what another entry tells of requests and their trials.
pub(crate) fn handle_message(core: &Core, told: &PeerState) {
    for suspect in &told.suspects {
        let news = from_message(suspect);
        let fingerprint = news.fingerprint;
        let hear = |suspects: &mut Suspects, now_ms| {
            suspects.apply_report(&news, now_ms)
        };
        let changed = core.suspects.update(fingerprint, hear);
        if changed.is_new {
            announce_quarantine(core, fingerprint, &changed, "told");
        }
    }
    for trial in &told.trials {
        apply_trial(core, told.boot_id, trial);
    }
}

fn apply_trial(core: &Core, holder: u64, told: &RequestTrial) {
    let fingerprint = Fingerprint(told.fingerprint);
    let trials = &mut core.suspects.lock().trials;
    match told.engine {
        0 => trials.end(fingerprint, holder),
        server => trials.apply_remote(fingerprint, server, holder, now_ms()),
    }
}
