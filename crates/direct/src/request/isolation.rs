//! Decides where and when a request may run that may crash its engines.
//!
//! A request runs in a trial if engines crashed under it, or under others with
//! a part of its prompt. The trial takes place at the engine with the fewest
//! requests, where a crash does the least harm.

use std::{
    collections::BTreeSet,
    sync::{Arc, OnceLock},
    time::Duration,
};

use async_channel::Receiver;
use async_io::Timer;
use chestnutreach_http::relay::RelayRequest;
use chestnutreach_routing::{
    Fingerprint, RequestKeys, RunProgress, RunSuspicion, Verdict,
    quarantine::MAX_PARTS,
};
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    cluster::{
        engine::Engine,
        lost_runs::{self, Finding},
        suspects::{self, FailedRun, TrialGuard},
    },
    core::Core,
    request::{admit::AdmittedRequest, fingerprint, response::ErrorReason},
};

/// Time in which entries that begin a trial, or observe a crash, at the same
/// moment learn of each other.
const PROPAGATION_DELAY: Duration = Duration::from_millis(20);
/// Interval between searches for an engine without a trial.
const SEARCH_INTERVAL: Duration = Duration::from_millis(15);

/// Trials in which one request may crash its engine.
const MAX_TRIAL_CRASHES: u32 = 2;
/// Events between two looks at what is known against a running request.
const PROGRESS_STEP: u64 = 4;

/// A trial that may run now. No other trial of the same suspect or at the
/// engine begins until this value is dropped.
pub(crate) struct Trial {
    pub(crate) engine: Arc<Engine>,
    guard: TrialGuard,
}

/// How a request may run.
pub(crate) enum RunPermission {
    /// Without restrictions.
    Unrestricted,
    /// In a trial.
    Trial(Trial),
    /// Not at all: the request is quarantined, or crashed an engine in a
    /// trial, or no trial could begin in time.
    Denied,
}

/// Tracks whether a request may crash its engines.
pub(crate) struct RequestSuspicion<'a> {
    core: &'a Arc<Core>,
    request: &'a RelayRequest,
    admitted: &'a AdmittedRequest,
    /// Computed only if there is any suspect.
    keys: OnceLock<RequestKeys>,
    /// Whether the present run goes on with a stream that had events already.
    is_resumed: bool,
    /// Whether the present run did not crash its engine when it began.
    has_run_survived: bool,
    /// Whether the present run has come well past the points at which engines
    /// crashed under the request.
    has_run_passed: bool,
    /// Whether an engine has just crashed under the request, and the reports
    /// of other entries about that crash may still be in transit.
    has_just_crashed: bool,
    /// Closes once it is known whether the engine of the last trial crashed;
    /// `None` if that is known.
    unproven_trial: Option<Receiver<Finding>>,
    /// Number of engines that crashed under the request in trials.
    trial_crashes: u32,
    /// Whether the entry spends no other engine on the request.
    is_given_up: bool,
}

impl<'a> RequestSuspicion<'a> {
    pub(crate) fn new(
        core: &'a Arc<Core>,
        request: &'a RelayRequest,
        admitted: &'a AdmittedRequest,
    ) -> RequestSuspicion<'a> {
        RequestSuspicion {
            core,
            request,
            admitted,
            keys: OnceLock::new(),
            is_resumed: false,
            has_run_survived: false,
            has_run_passed: false,
            has_just_crashed: false,
            unproven_trial: None,
            trial_crashes: 0,
            is_given_up: false,
        }
    }

    fn keys(&self) -> &RequestKeys {
        self.keys.get_or_init(|| {
            let account = self.admitted.account.as_deref().unwrap_or_default();
            fingerprint::keys(self.request, account)
        })
    }

    /// Fingerprint of the whole request.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.keys().request()
    }

    /// Ids of the parts of the prompt that other prompts may share, for logs.
    pub(crate) fn parts_text(&self) -> String {
        let parts = fingerprint::shared_parts(self.request).take(MAX_PARTS);
        parts.collect::<Vec<&str>>().join(",")
    }

    /// Records that a run begins, or goes on with a stream that had events
    /// already.
    pub(crate) fn begin_run(&mut self, is_resumed: bool) {
        self.is_resumed = is_resumed;
        self.has_run_survived = false;
        self.has_run_passed = false;
    }

    /// Whether the present run must end, because the request is quarantined
    /// and the run may still crash its engine.
    pub(crate) fn must_end_run(&self, progress: RunProgress) -> bool {
        match self.verdict() {
            Verdict::Quarantined { cause, .. } => {
                let point = progress.point(now_ms());
                !self.core.suspects.has_passed(cause, point)
            }
            Verdict::Free | Verdict::Suspect { .. } => false,
        }
    }

    fn verdict(&self) -> Verdict {
        if self.core.suspects.is_empty() {
            return Verdict::Free;
        }
        self.core.suspects.verdict(self.keys())
    }

    /// Whether the request may not run without restrictions.
    pub(crate) fn is_suspect(&self) -> bool {
        self.verdict() != Verdict::Free
    }

    /// Time left of the quarantine; `None` if the request is not quarantined.
    pub(crate) fn quarantine_left_ms(&self) -> Option<u64> {
        self.verdict().quarantine_left_ms(now_ms())
    }

    /// Waits until the request may run, at most until `until_ms`. `choose`
    /// returns an engine that is not in a set of short hashes.
    pub(crate) async fn await_permission(
        &mut self,
        until_ms: u64,
        choose: impl Fn(&BTreeSet<u32>) -> Option<Arc<Engine>>,
    ) -> RunPermission {
        let began_ms = now_ms();
        if std::mem::take(&mut self.has_just_crashed) {
            Timer::after(PROPAGATION_DELAY).await;
        }
        loop {
            let (cause, crashes) = match self.verdict() {
                Verdict::Free => return RunPermission::Unrestricted,
                Verdict::Suspect { cause, crashes } if !self.is_given_up => {
                    (cause, crashes)
                }
                Verdict::Suspect { .. } | Verdict::Quarantined { .. } => {
                    return RunPermission::Denied;
                }
            };
            if let Some(trial) = self.try_begin_trial(cause, &choose).await {
                let waited_ms = now_ms() - began_ms;
                self.log_trial_begun(&trial, cause, crashes, waited_ms);
                return RunPermission::Trial(trial);
            }
            if now_ms() >= until_ms {
                return RunPermission::Denied;
            }
            Timer::after(SEARCH_INTERVAL).await;
        }
    }

    async fn try_begin_trial(
        &self,
        cause: Fingerprint,
        choose: &impl Fn(&BTreeSet<u32>) -> Option<Arc<Engine>>,
    ) -> Option<Trial> {
        let core = self.core;
        let engine = choose(&core.suspects.trial_engines())?;
        let guard = suspects::try_trial(core, cause, &engine)?;
        let trial = Trial { engine, guard };
        Timer::after(PROPAGATION_DELAY / 2).await;
        // A lost announcement would not be repeated otherwise.
        trial.guard.announce();
        Timer::after(PROPAGATION_DELAY / 2).await;
        trial.guard.is_held().then_some(trial)
    }

    /// Records that a run completed: the request crashes no engine.
    pub(crate) fn record_completed(&self) {
        if self.core.suspects.is_empty() {
            return;
        }
        let id = self.admitted.id_text();
        // Later, the parts of its prompt may have become harmful since.
        if !self.has_run_survived {
            suspects::record_begun(self.core, self.keys(), id);
        }
        suspects::record_completed(self.core, self.keys(), id);
    }

    /// Records how far the present run has come. Returns whether it has come
    /// so far that no trial is needed.
    pub(crate) fn record_progress(&mut self, progress: RunProgress) -> bool {
        let now_ms = now_ms();
        if !progress.has_survived(now_ms) {
            return false;
        }
        let is_first = !std::mem::replace(&mut self.has_run_survived, true);
        if self.core.suspects.is_empty() {
            return true;
        }
        if !is_first && !progress.events().is_multiple_of(PROGRESS_STEP) {
            return self.has_run_passed;
        }
        let id = self.admitted.id_text();
        if is_first {
            suspects::record_begun(self.core, self.keys(), id);
        }
        let point = progress.point(now_ms);
        suspects::record_progress(self.core, self.keys(), point, id);
        self.has_run_passed =
            self.core.suspects.has_passed_all(self.keys(), point);
        self.has_run_passed
    }

    /// Records that the engine ended the connection of a run, and checks
    /// whether it crashed. A run that has lasted waits for that only if there
    /// are suspects: the crash may be the one that makes it one.
    pub(crate) async fn record_lost_run(
        &mut self,
        engine: &Arc<Engine>,
        progress: RunProgress,
        is_in_trial: bool,
    ) {
        let now_ms = now_ms();
        let suspicion = progress.suspicion(now_ms);
        let run = self.failed_run(engine, progress, suspicion, is_in_trial);
        let finding = lost_runs::report(self.core, run);
        let has_lasted = progress.has_survived(now_ms) && !is_in_trial;
        if has_lasted && self.core.suspects.is_empty() {
            return;
        }
        self.await_finding(finding, is_in_trial).await;
        if is_in_trial && self.has_just_crashed {
            self.trial_crashes += 1;
            // A run with events did not crash its engine when it began to
            // answer: something else may have, which another trial tells.
            let is_last = self.trial_crashes >= MAX_TRIAL_CRASHES;
            self.is_given_up |= is_last || progress.events() == 0;
        }
    }

    /// Records that a plain server ended the connection of a run. Any request
    /// there may be the cause, since the response comes at the end.
    pub(crate) async fn record_lost_response(
        &mut self,
        engine: &Arc<Engine>,
        is_in_trial: bool,
    ) {
        let run = self.plain_run(engine, is_in_trial);
        let finding = lost_runs::report(self.core, run);
        self.await_finding(finding, is_in_trial).await;
        self.is_given_up |= is_in_trial && self.has_just_crashed;
    }

    async fn await_finding(
        &mut self,
        receiver: Receiver<Finding>,
        is_in_trial: bool,
    ) {
        let finding = receiver.recv().await.unwrap_or(Finding::Runs);
        self.has_just_crashed = finding == Finding::Crashed;
        if is_in_trial && finding == Finding::Unproven {
            // Another trial would not know the result of this one.
            self.is_given_up = true;
            self.unproven_trial = Some(receiver);
        }
    }

    /// Ends a trial, once it is known whether its engine crashed.
    pub(crate) fn end_trial(&mut self, trial: Trial) {
        let Some(unproven) = self.unproven_trial.take() else { return };
        let wait = async move {
            // Nothing more is sent; the channel closes with the decision.
            while unproven.recv().await.is_ok() {}
            drop(trial);
        };
        self.core.executor.spawn(wait).detach();
    }

    /// Records that the entry abandoned a run that has not lasted. The run may
    /// continue for a moment at its engine, so the check for a crash is later.
    pub(crate) fn record_abandoned_run(
        &self,
        engine: &Arc<Engine>,
        progress: RunProgress,
        is_in_trial: bool,
    ) {
        let now_ms = now_ms();
        if !progress.has_survived(now_ms) {
            let suspicion = progress.suspicion(now_ms);
            let run =
                self.failed_run(engine, progress, suspicion, is_in_trial);
            suspects::check_crash_later(self.core, run);
        }
    }

    /// The same for a plain request.
    pub(crate) fn record_abandoned_request(
        &self,
        engine: &Arc<Engine>,
        is_in_trial: bool,
    ) {
        let run = self.plain_run(engine, is_in_trial);
        suspects::check_crash_later(self.core, run);
    }

    fn plain_run(&self, engine: &Arc<Engine>, is_in_trial: bool) -> FailedRun {
        let progress = RunProgress::new();
        self.failed_run(engine, progress, RunSuspicion::Strong, is_in_trial)
    }

    fn failed_run(
        &self,
        engine: &Arc<Engine>,
        progress: RunProgress,
        suspicion: RunSuspicion,
        is_in_trial: bool,
    ) -> FailedRun {
        FailedRun {
            request: self.admitted.id_text().to_owned(),
            parts: self.parts_text(),
            keys: self.keys().clone(),
            engine: engine.clone(),
            progress,
            failed_ms: now_ms(),
            suspicion,
            is_in_trial,
            is_resumed: self.is_resumed,
        }
    }

    fn log_trial_begun(
        &self,
        trial: &Trial,
        cause: Fingerprint,
        crashes: usize,
        waited_ms: u64,
    ) {
        emit(
            Event::TrialBegun,
            &[
                ("request", &self.admitted.id_text()),
                ("fingerprint", &cause),
                ("part", &self.part_text(cause)),
                ("backend", &trial.engine.id),
                ("crashes", &crashes),
                ("waited_ms", &waited_ms),
            ],
        );
    }

    /// The reason and the retry time for a quarantined request; `None` for
    /// other requests.
    pub(crate) fn refusal(
        &self,
        may_have_run: bool,
    ) -> Option<(ErrorReason, u64)> {
        let verdict = self.verdict();
        let remaining_ms = verdict.quarantine_left_ms(now_ms())?;
        if let Some(cause) = verdict.cause() {
            self.record_refusal(cause, remaining_ms);
        }
        Some((ErrorReason::for_quarantined(may_have_run), remaining_ms))
    }

    /// Id of the part of the prompt with a fingerprint; empty for the
    /// fingerprint of the whole request.
    fn part_text(&self, cause: Fingerprint) -> &str {
        let mut parts = fingerprint::shared_parts(self.request);
        let part = parts.find(|id| fingerprint::of_part(id) == cause);
        part.unwrap_or("")
    }

    fn record_refusal(&self, cause: Fingerprint, remaining_ms: u64) {
        self.core.metrics.quarantine_refusals.inc();
        emit(
            Event::QuarantineRefused,
            &[
                ("request", &self.admitted.id_text()),
                ("fingerprint", &cause),
                ("part", &self.part_text(cause)),
                ("left_ms", &remaining_ms),
            ],
        );
    }
}
