//! Requests and parts of prompts under which engines crashed, shared among all
//! entries.
//!
//! [`chestnutreach_routing::quarantine`] makes the decisions. This module
//! connects them to the clock, the logs and the messages between entries. The
//! request path checks without a lock whether any suspect exists at all, since
//! usually there is none.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash as _, Hasher as _},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use chestnutreach_protocol::peers::{
    EngineCrash, PeerState, RequestTrial, SuspectRequest,
};
use chestnutreach_routing::{
    Fingerprint, RequestKeys, RunCrash, RunPoint, RunProgress, RunSuspicion,
    SuspectReport, Suspects, Trials, Verdict,
    quarantine::{CrashReport, TRIAL_MS},
};
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use crate::{
    clock::now_ms,
    cluster::{engine::Engine, lost_runs, probe, suspect_rows::SuspectRows},
    core::Core,
};

/// Pause before the check for a crash of an engine that a request left.
const LATE_CRASH_CHECK_PAUSE: Duration = Duration::from_millis(200);

/// Crashes from which on the store keeps a request.
const MIN_STORED_CRASHES: usize = 2;
/// Interval at which a trial is renewed.
const TRIAL_RENEWAL_INTERVAL: Duration = Duration::from_millis(TRIAL_MS / 3);

/// A trial whose request an entry does not state.
const UNNAMED_TRIAL: u32 = 1;

/// What engines crashed under, and the trials.
#[derive(Debug, Default)]
pub(crate) struct SuspectTable {
    state: Mutex<State>,
    /// Number of recorded requests; read without the lock.
    count: AtomicUsize,
    /// What is to change in the store.
    pub(crate) rows: SuspectRows,
}

#[derive(Debug, Default)]
struct State {
    suspects: Suspects,
    trials: Trials,
}

/// Effect of an update on the verdict of a fingerprint.
struct VerdictChange {
    fingerprint: Fingerprint,
    before: Verdict,
    now: Verdict,
}

/// A run of a request that failed.
#[derive(Clone, Debug)]
pub(crate) struct FailedRun {
    /// Id of the request.
    pub(crate) request: String,
    /// Parts of its prompt that others may share, for logs.
    pub(crate) parts: String,
    pub(crate) keys: RequestKeys,
    pub(crate) engine: Arc<Engine>,
    pub(crate) progress: RunProgress,
    pub(crate) failed_ms: u64,
    pub(crate) suspicion: RunSuspicion,
    pub(crate) is_in_trial: bool,
    /// Whether the run went on with a stream that had events already.
    pub(crate) is_resumed: bool,
}

/// A trial by this entry, which ends when the guard is dropped.
pub(crate) struct TrialGuard {
    core: Arc<Core>,
    fingerprint: Fingerprint,
    /// Short hash of the engine.
    engine: u32,
    /// Ends the renewal when it is dropped.
    _renewed: Sender<()>,
}

impl TrialGuard {
    /// Queues an alert that announces the trial to the other entries.
    pub(crate) fn announce(&self) {
        self.core.alerts.queue_trial(self.fingerprint, Some(self.engine));
    }

    /// Whether this trial takes precedence over those of other entries.
    pub(crate) fn is_held(&self) -> bool {
        let holder = self.core.boot_id;
        let trials = &self.core.suspects.lock().trials;
        trials.is_held_by(self.fingerprint, holder, now_ms())
    }
}

/// Renews a trial until its guard is dropped: a run may crash its engine late.
async fn renew_trial(
    core: Arc<Core>,
    fingerprint: Fingerprint,
    engine: u32,
    dropped: Receiver<()>,
) {
    loop {
        let is_dropped = async {
            // Nothing is sent; `recv` returns when the guard is dropped.
            let _ = dropped.recv().await;
            true
        };
        let is_due = async {
            Timer::after(TRIAL_RENEWAL_INTERVAL).await;
            false
        };
        if is_dropped.or(is_due).await {
            return;
        }
        let holder = core.boot_id;
        core.suspects.lock().trials.renew(fingerprint, holder, now_ms());
        core.alerts.queue_trial(fingerprint, Some(engine));
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

    /// Updates records. `change` returns the fingerprints whose records
    /// changed; the effect on the verdict of each is returned.
    fn update(
        &self,
        keys: impl IntoIterator<Item = Fingerprint>,
        change: impl FnOnce(&mut Suspects, u64) -> Vec<Fingerprint>,
    ) -> Vec<VerdictChange> {
        let now_ms = now_ms();
        let mut state = self.lock();
        let suspects = &mut state.suspects;
        let verdict = |suspects: &Suspects, key| {
            (key, suspects.fingerprint_verdict(key, now_ms))
        };
        let before: BTreeMap<Fingerprint, Verdict> =
            keys.into_iter().map(|key| verdict(suspects, key)).collect();
        let changed = change(suspects, now_ms);
        let to_change = |fingerprint: Fingerprint| VerdictChange {
            fingerprint,
            before: before.get(&fingerprint).copied().unwrap_or(Verdict::Free),
            now: suspects.fingerprint_verdict(fingerprint, now_ms),
        };
        let changes = changed.into_iter().map(to_change).collect();
        self.count.store(suspects.len(), Relaxed);
        changes
    }

    /// Updates one record. `change` returns whether the record changed.
    fn update_one(
        &self,
        fingerprint: Fingerprint,
        change: impl FnOnce(&mut Suspects, u64) -> bool,
    ) -> Option<VerdictChange> {
        let change = |suspects: &mut Suspects, now_ms| {
            let is_changed = change(suspects, now_ms);
            is_changed.then_some(fingerprint).into_iter().collect()
        };
        self.update([fingerprint], change).pop()
    }

    /// Whether no request is recorded.
    pub(crate) fn is_empty(&self) -> bool {
        self.count.load(Relaxed) == 0
    }

    /// Whether a request is no suspect because of its own crashes.
    pub(crate) fn is_free(&self, request: Fingerprint) -> bool {
        let state = self.lock();
        let verdict = state.suspects.fingerprint_verdict(request, now_ms());
        verdict == Verdict::Free
    }

    /// Whether a run that came to a point has passed all crashes under a
    /// fingerprint.
    pub(crate) fn has_passed(
        &self,
        fingerprint: Fingerprint,
        point: RunPoint,
    ) -> bool {
        self.lock().suspects.has_passed(fingerprint, point)
    }

    /// Whether a run that came to a point has passed all crashes for which the
    /// request is a suspect.
    pub(crate) fn has_passed_all(
        &self,
        keys: &RequestKeys,
        point: RunPoint,
    ) -> bool {
        let state = self.lock();
        let suspects = &state.suspects;
        let now_ms = now_ms();
        keys.iter().all(|key| {
            suspects.fingerprint_verdict(key, now_ms) == Verdict::Free
                || suspects.has_passed(key, point)
        })
    }

    pub(crate) fn verdict(&self, keys: &RequestKeys) -> Verdict {
        self.lock().suspects.verdict(keys, now_ms())
    }

    fn is_sole_explanation(&self, fingerprint: Fingerprint) -> bool {
        self.lock().suspects.is_sole_explanation(fingerprint)
    }

    /// Short hashes of the engines at which a suspect is on trial.
    pub(crate) fn trial_engines(&self) -> BTreeSet<u32> {
        if self.is_empty() {
            return BTreeSet::new();
        }
        self.lock().trials.servers_on_trial(now_ms())
    }

    /// Removes expired records, and returns those to report in the next state
    /// message. Each entry receives `states_per_s` such messages a second.
    pub(crate) fn reports(&self, states_per_s: f64) -> Vec<SuspectRequest> {
        let now_ms = now_ms();
        let mut rng = fastrand::Rng::new();
        let mut state = self.lock();
        let suspects = &mut state.suspects;
        suspects.remove_expired(now_ms);
        self.count.store(suspects.len(), Relaxed);
        let reports = suspects.next_reports(now_ms, states_per_s, &mut rng);
        reports.into_iter().map(to_message).collect()
    }

    /// Report of one request for an alert.
    pub(crate) fn report_of(
        &self,
        fingerprint: Fingerprint,
    ) -> Option<SuspectRequest> {
        let report = self.lock().suspects.report_of(fingerprint, now_ms());
        report.map(to_message)
    }

    /// Status of all recorded requests, for operators.
    pub(crate) fn status(&self) -> Vec<serde_json::Value> {
        let now_ms = now_ms();
        let state = self.lock();
        let suspects = &state.suspects;
        let of_request = |request| {
            let report = suspects.report_of(request, now_ms)?;
            let verdict = suspects.fingerprint_verdict(request, now_ms);
            let name = match verdict {
                Verdict::Free => "free",
                Verdict::Suspect { .. } => "suspect",
                Verdict::Quarantined { .. } => "quarantined",
            };
            let left_ms = verdict.quarantine_left_ms(now_ms);
            Some(serde_json::json!({
                "fingerprint": request.to_string(),
                "kind": if request.is_part() { "part" } else { "request" },
                "verdict": name,
                "left_ms": left_ms.unwrap_or(0),
                "crashes": crashes_json(&report),
            }))
        };
        suspects.fingerprints().filter_map(of_request).collect()
    }
}

fn crashes_json(report: &SuspectReport) -> Vec<serde_json::Value> {
    let crash = |crash: &CrashReport| {
        serde_json::json!({
            "backend_hash": format!("{:08x}", crash.server),
            "age_ms": crash.age_ms,
            "is_in_trial": crash.trial != 0,
            "is_void": crash.is_void,
            "account_hash": format!("{:08x}", crash.account),
        })
    };
    report.crashes.iter().map(crash).collect()
}

fn to_message(report: SuspectReport) -> SuspectRequest {
    let crash = |crash: CrashReport| EngineCrash {
        engine: crash.server,
        age_ms: crash.age_ms,
        is_in_trial: crash.trial != 0,
        is_void: crash.is_void,
        trial: crash.trial,
        account: crash.account,
        is_weak: crash.is_weak,
        run_ms: crash.point.age_ms,
        run_events: crash.point.events,
        attempt: crash.attempt,
    };
    SuspectRequest {
        fingerprint: report.fingerprint.0,
        crashes: report.crashes.into_iter().map(crash).collect(),
    }
}

fn from_message(message: &SuspectRequest) -> SuspectReport {
    let crash = |crash: &EngineCrash| CrashReport {
        server: crash.engine,
        age_ms: crash.age_ms,
        trial: match crash.is_in_trial {
            true => crash.trial.max(UNNAMED_TRIAL),
            false => 0,
        },
        account: crash.account,
        is_void: crash.is_void,
        is_weak: crash.is_weak,
        point: RunPoint { age_ms: crash.run_ms, events: crash.run_events },
        attempt: crash.attempt,
    };
    SuspectReport {
        fingerprint: Fingerprint(message.fingerprint),
        crashes: message.crashes.iter().map(crash).collect(),
    }
}

/// Checks after a pause whether the engine of a run has crashed that the
/// request left.
pub(crate) fn check_crash_later(core: &Arc<Core>, run: FailedRun) {
    let task_core = core.clone();
    let left_ms = now_ms();
    let check = async move {
        Timer::after(LATE_CRASH_CHECK_PAUSE).await;
        if probe::confirm_crash(&task_core, &run.engine).await {
            lost_runs::log_lost_run(&run, left_ms, "crashed", "left before");
            record_crash(&task_core, &run);
        }
    };
    core.executor.spawn(check).detach();
}

/// Records that an engine crashed during a run.
pub(crate) fn record_crash(core: &Core, run: &FailedRun) {
    let keys = &run.keys;
    let crash = RunCrash {
        server: run.engine.hash,
        is_in_trial: run.is_in_trial,
        point: run.progress.point(run.failed_ms),
        suspicion: run.suspicion,
        is_resumed: run.is_resumed,
        attempt: short_hash(&run.request),
    };
    let changes = core.suspects.update(keys.iter(), |suspects, now_ms| {
        suspects.record_run_crash(keys, crash, now_ms)
    });
    let verdict = core.suspects.verdict(keys);
    if verdict != Verdict::Free {
        log_suspected(run, verdict.crashes());
    }
    let cause = verdict.cause();
    for change in changes {
        core.alerts.queue_suspect(change.fingerprint);
        if change.now.crashes() >= MIN_STORED_CRASHES {
            core.suspects.rows.queue(change.fingerprint);
        }
        let is_cause = cause == Some(change.fingerprint);
        apply_quarantine(core, &change, is_cause.then_some("own"));
    }
}

/// Short hash of a request id.
fn short_hash(id: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() as u32
}

fn log_suspected(run: &FailedRun, crashes: usize) {
    let begun_ms = run.progress.age_ms(run.failed_ms);
    let begun_ms = begun_ms.map_or_else(String::new, |ms| ms.to_string());
    emit(
        Event::RequestSuspected,
        &[
            ("request", &run.request),
            ("fingerprint", &run.keys.request()),
            ("parts", &run.parts),
            ("backend", &run.engine.id),
            ("begun_ms", &begun_ms),
            ("attempt_events", &run.progress.events()),
            ("is_in_trial", &run.is_in_trial),
            ("crashes", &crashes),
        ],
    );
}

/// Records that the engine of a run did not crash after all.
pub(crate) fn withdraw_crash(core: &Core, run: &FailedRun) {
    let server = run.engine.hash;
    let changes = core.suspects.update(run.keys.iter(), |suspects, now_ms| {
        suspects.withdraw_crash(&run.keys, server, now_ms)
    });
    for change in changes {
        announce_cleared(core, &change, &run.request, "withdrawn");
    }
}

/// Records that a run of a request completed, which voids its crashes.
pub(crate) fn record_completed(core: &Core, keys: &RequestKeys, id: &str) {
    record_harmless(core, keys, id, "completed", |suspects, now_ms| {
        suspects.record_completed(keys, now_ms)
    });
}

/// Records that a run did not crash its engine when it began, which voids the
/// crashes of such runs under the parts of its prompt.
pub(crate) fn record_begun(core: &Core, keys: &RequestKeys, id: &str) {
    record_harmless(core, keys, id, "lasted", |suspects, now_ms| {
        suspects.record_begun(keys, now_ms)
    });
}

/// Records that a run of a request came to a point, which voids the crashes
/// at points before.
pub(crate) fn record_progress(
    core: &Core,
    keys: &RequestKeys,
    point: RunPoint,
    id: &str,
) {
    record_harmless(core, keys, id, "lasted", |suspects, now_ms| {
        suspects.record_progress(keys, point, now_ms)
    });
}

/// Voids crashes and announces the fingerprints that `void` returns.
fn record_harmless(
    core: &Core,
    keys: &RequestKeys,
    id: &str,
    cause: &str,
    void: impl FnOnce(&mut Suspects, u64) -> Vec<Fingerprint>,
) {
    for change in core.suspects.update(keys.iter(), void) {
        announce_cleared(core, &change, id, cause);
    }
}

/// Voids the crashes under a fingerprint; returns whether any counted.
pub(crate) fn clear(
    core: &Core,
    fingerprint: Fingerprint,
    cause: &str,
) -> bool {
    let clear =
        |suspects: &mut Suspects, now_ms| suspects.clear(fingerprint, now_ms);
    let change = core.suspects.update_one(fingerprint, clear);
    if let Some(change) = &change {
        announce_cleared(core, change, "", cause);
    }
    change.is_some()
}

fn announce_cleared(
    core: &Core,
    change: &VerdictChange,
    request: &str,
    cause: &str,
) {
    if change.before != Verdict::Free {
        emit(
            Event::RequestCleared,
            &[
                ("request", &request),
                ("fingerprint", &change.fingerprint),
                ("crashes", &change.before.crashes()),
                ("cause", &cause),
            ],
        );
    }
    core.alerts.queue_suspect(change.fingerprint);
    queue_deletion(core, change);
}

/// Queues the deletion of the row of a request that is no suspect any more.
fn queue_deletion(core: &Core, change: &VerdictChange) {
    if change.before != Verdict::Free && change.now == Verdict::Free {
        core.suspects.rows.queue(change.fingerprint);
    }
}

/// Notifies the streams that a fingerprint has been quarantined, so that those
/// that have it leave their engines. Logs a quarantine with its source, if
/// there is one. Does nothing unless the quarantine is new.
fn apply_quarantine(
    core: &Core,
    change: &VerdictChange,
    source: Option<&str>,
) {
    let Some(left_ms) = change.now.quarantine_left_ms(now_ms()) else {
        return;
    };
    if matches!(change.before, Verdict::Quarantined { .. }) {
        return;
    }
    core.stream_subscribers.notify_all();
    let Some(source) = source else { return };
    core.metrics.requests_quarantined.inc();
    emit(
        Event::RequestQuarantined,
        &[
            ("fingerprint", &change.fingerprint),
            ("crashes", &change.now.crashes()),
            ("left_ms", &left_ms),
            ("source", &source),
        ],
    );
}

/// Begins a trial of a suspect at an engine. Returns `None` if either is
/// already on trial.
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
    let (renewed, dropped) = async_channel::bounded(1);
    let guard = TrialGuard {
        core: core.clone(),
        fingerprint,
        engine: server,
        _renewed: renewed,
    };
    guard.announce();
    let renew = renew_trial(core.clone(), fingerprint, server, dropped);
    core.executor.spawn(renew).detach();
    Some(guard)
}

/// Applies what the store keeps of a request.
pub(crate) fn apply_row(core: &Core, suspect: &SuspectRequest) {
    let report = from_message(suspect);
    let change =
        core.suspects.update_one(report.fingerprint, |suspects, now_ms| {
            suspects.apply_report(&report, now_ms)
        });
    if let Some(change) = change {
        apply_quarantine(core, &change, Some("read"));
    }
}

/// Handles the suspects and trials in a message of another entry.
pub(crate) fn handle_message(core: &Core, message: &PeerState) {
    let apply_report = |suspect: &SuspectRequest| {
        let report = from_message(suspect);
        let apply = |suspects: &mut Suspects, now_ms| {
            suspects.apply_report(&report, now_ms)
        };
        core.suspects.update_one(report.fingerprint, apply)
    };
    // All reports are applied first, since one may explain another.
    let changes: Vec<VerdictChange> =
        message.suspects.iter().filter_map(apply_report).collect();
    for change in changes {
        queue_deletion(core, &change);
        let is_cause = core.suspects.is_sole_explanation(change.fingerprint);
        apply_quarantine(core, &change, is_cause.then_some("told"));
    }
    for trial in &message.trials {
        apply_trial(core, message.boot_id, trial);
    }
}

fn apply_trial(core: &Core, holder: u64, message: &RequestTrial) {
    let fingerprint = Fingerprint(message.fingerprint);
    let trials = &mut core.suspects.lock().trials;
    match message.engine {
        0 => trials.end(fingerprint, holder),
        server => trials.apply_remote(fingerprint, server, holder, now_ms()),
    }
}
