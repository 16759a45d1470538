//! Decides where and when a request may run that may crash its engines.
//!
//! A request under which engines crashed runs in a trial. The trial takes
//! place at the engine with the fewest requests, where a crash does the least
//! harm.

use std::{
    collections::BTreeSet,
    sync::{Arc, OnceLock},
    time::Duration,
};

use async_io::Timer;
use chestnutreach_adapter::caller;
use chestnutreach_http::relay::RelayRequest;
use chestnutreach_routing::{Fingerprint, RunProgress, Verdict};
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    cluster::{
        engine::Engine,
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
/// Limit on parts of a prompt in one log line.
const MAX_LOGGED_PARTS: usize = 16;

/// A trial that may run now. No other trial of the request or at the engine
/// begins until this value is dropped.
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
    /// Not at all: the request is quarantined, or no trial could begin in
    /// time.
    Denied,
}

/// Tracks whether a request may crash its engines.
pub(crate) struct RequestSuspicion<'a> {
    core: &'a Arc<Core>,
    request: &'a RelayRequest,
    admitted: &'a AdmittedRequest,
    /// Computed only if some request is suspect.
    fingerprint: OnceLock<Fingerprint>,
    /// Whether the request has run for so long that it crashes no engine.
    has_survived: bool,
    /// Whether an engine has just crashed under the request, and the reports
    /// of other entries about that crash may still be in transit.
    has_just_crashed: bool,
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
            fingerprint: OnceLock::new(),
            has_survived: false,
            has_just_crashed: false,
        }
    }

    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let account = self.admitted.account.as_deref().unwrap_or_default();
        let of = || fingerprint::of(self.request, account);
        *self.fingerprint.get_or_init(of)
    }

    /// Ids of the parts of the prompt that other prompts may share, for logs.
    pub(crate) fn parts_text(&self) -> String {
        let value = self.request.header(caller::PROMPT_PARTS);
        let parts = caller::shared_prompt_parts(value.unwrap_or_default());
        let parts: Vec<&str> = parts.take(MAX_LOGGED_PARTS).collect();
        parts.join(",")
    }

    /// Whether the request has run for so long that it crashes no engine.
    pub(crate) fn has_survived(&self) -> bool {
        self.has_survived
    }

    fn verdict(&self) -> Verdict {
        if self.has_survived || self.core.suspects.is_empty() {
            return Verdict::Free;
        }
        self.core.suspects.verdict(self.fingerprint())
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
            let crashes = match self.verdict() {
                Verdict::Free => return RunPermission::Unrestricted,
                Verdict::Suspect { crashes } => crashes,
                Verdict::Quarantined { .. } => return RunPermission::Denied,
            };
            if let Some(trial) = self.try_begin_trial(&choose).await {
                self.log_trial_begun(&trial, crashes, now_ms() - began_ms);
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
        choose: &impl Fn(&BTreeSet<u32>) -> Option<Arc<Engine>>,
    ) -> Option<Trial> {
        let core = self.core;
        let engine = choose(&core.suspects.trial_engines())?;
        let guard = suspects::try_trial(core, self.fingerprint(), &engine)?;
        let trial = Trial { engine, guard };
        Timer::after(PROPAGATION_DELAY / 2).await;
        // A lost announcement would not be repeated otherwise.
        trial.guard.announce();
        Timer::after(PROPAGATION_DELAY / 2).await;
        trial.guard.is_held().then_some(trial)
    }

    /// Records that a run survived, so the request crashes no engine.
    pub(crate) fn record_survived(&mut self) {
        self.has_survived = true;
        if !self.core.suspects.is_empty() {
            let id = self.admitted.id_text();
            suspects::record_survived(self.core, self.fingerprint(), id);
        }
    }

    /// Records that a run failed soon after its start, and checks whether the
    /// engine crashed.
    pub(crate) async fn record_failed_run(
        &mut self,
        engine: &Arc<Engine>,
        start: RunProgress,
        is_in_trial: bool,
    ) {
        if self.has_survived {
            return;
        }
        let run = self.failed_run(engine, start, is_in_trial);
        self.has_just_crashed = suspects::check_crash(self.core, run).await;
    }

    /// Records that the entry abandoned a run soon after its start. The run
    /// may continue for a moment at its engine, so the check for a crash is
    /// later.
    pub(crate) fn record_abandoned_run(
        &self,
        engine: &Arc<Engine>,
        start: RunProgress,
        is_in_trial: bool,
    ) {
        if !self.has_survived {
            let run = self.failed_run(engine, start, is_in_trial);
            suspects::check_crash_later(self.core, run);
        }
    }

    fn failed_run(
        &self,
        engine: &Arc<Engine>,
        progress: RunProgress,
        is_in_trial: bool,
    ) -> FailedRun {
        FailedRun {
            request: self.admitted.id_text().to_owned(),
            parts: self.parts_text(),
            fingerprint: self.fingerprint(),
            engine: engine.clone(),
            progress,
            is_in_trial,
        }
    }

    fn log_trial_begun(&self, trial: &Trial, crashes: usize, waited_ms: u64) {
        emit(
            Event::TrialBegun,
            &[
                ("request", &self.admitted.id_text()),
                ("fingerprint", &self.fingerprint()),
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
        let remaining_ms = self.quarantine_left_ms()?;
        self.record_refusal(remaining_ms);
        Some((ErrorReason::for_quarantined(may_have_run), remaining_ms))
    }

    fn record_refusal(&self, remaining_ms: u64) {
        self.core.metrics.quarantine_refusals.inc();
        emit(
            Event::QuarantineRefused,
            &[
                ("request", &self.admitted.id_text()),
                ("fingerprint", &self.fingerprint()),
                ("left_ms", &remaining_ms),
            ],
        );
    }
}
