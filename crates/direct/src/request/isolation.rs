//! Where and when a request may run that may crash its engines.
//!
//! A request under which engines crashed runs in a trial. Of several engines
//! the one with the fewest requests takes it, where a crash does least harm.

use std::{
    collections::BTreeSet,
    sync::{Arc, OnceLock},
    time::Duration,
};

use async_io::Timer;
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

/// Time in which entries that begin a trial, or lose an engine, at the same
/// moment hear of each other.
const SETTLE: Duration = Duration::from_millis(20);
/// Pause before looking again for an engine without a trial.
const LOOK_AGAIN: Duration = Duration::from_millis(15);

/// A trial that may be made now. Others are kept from it until it is dropped.
pub(crate) struct Trial {
    pub(crate) engine: Arc<Engine>,
    hold: TrialGuard,
}

/// How a request may run.
pub(crate) enum Turn {
    /// Like any other.
    Free,
    /// In a trial.
    Trial(Trial),
    /// Not now: it is quarantined, or no trial could begin in its time.
    None,
}

/// What is known of a request that may crash its engines.
pub(crate) struct Suspicion<'a> {
    core: &'a Arc<Core>,
    request: &'a RelayRequest,
    admitted: &'a AdmittedRequest,
    /// Taken only where something is known of requests.
    fingerprint: OnceLock<Fingerprint>,
    /// It has run for so long that it crashes none.
    has_lasted: bool,
    /// An engine has just crashed under it, and what other entries say of
    /// that crash has not come yet.
    has_just_crashed: bool,
}

impl<'a> Suspicion<'a> {
    pub(crate) fn new(
        core: &'a Arc<Core>,
        request: &'a RelayRequest,
        admitted: &'a AdmittedRequest,
    ) -> Suspicion<'a> {
        Suspicion {
            core,
            request,
            admitted,
            fingerprint: OnceLock::new(),
            has_lasted: false,
            has_just_crashed: false,
        }
    }

    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let account = self.admitted.account.as_deref().unwrap_or_default();
        let of = || fingerprint::of(self.request, account);
        *self.fingerprint.get_or_init(of)
    }

    /// Whether it has run for so long that it crashes none.
    pub(crate) fn has_lasted(&self) -> bool {
        self.has_lasted
    }

    fn verdict(&self) -> Verdict {
        if self.has_lasted || self.core.suspects.is_empty() {
            return Verdict::Free;
        }
        self.core.suspects.verdict(self.fingerprint())
    }

    /// Whether it may not run like any other.
    pub(crate) fn is_suspect(&self) -> bool {
        self.verdict() != Verdict::Free
    }

    /// Time left of its quarantine; none where it is in none.
    pub(crate) fn quarantine_left_ms(&self) -> Option<u64> {
        self.verdict().quarantine_left_ms(now_ms())
    }

    /// Waits until it may run, but not beyond a time; `choose` names an
    /// engine outside of a set of short hashes.
    pub(crate) async fn turn(
        &mut self,
        until_ms: u64,
        choose: impl Fn(&BTreeSet<u32>) -> Option<Arc<Engine>>,
    ) -> Turn {
        let asked_ms = now_ms();
        if std::mem::take(&mut self.has_just_crashed) {
            Timer::after(SETTLE).await;
        }
        loop {
            let crashes = match self.verdict() {
                Verdict::Free => return Turn::Free,
                Verdict::Suspect { crashes } => crashes,
                Verdict::Quarantined { .. } => return Turn::None,
            };
            if let Some(trial) = self.try_trial(&choose).await {
                self.note_trial(&trial, crashes, now_ms() - asked_ms);
                return Turn::Trial(trial);
            }
            if now_ms() >= until_ms {
                return Turn::None;
            }
            Timer::after(LOOK_AGAIN).await;
        }
    }

    async fn try_trial(
        &self,
        choose: &impl Fn(&BTreeSet<u32>) -> Option<Arc<Engine>>,
    ) -> Option<Trial> {
        let core = self.core;
        let engine = choose(&core.suspects.trial_engines())?;
        let hold = suspects::try_trial(core, self.fingerprint(), &engine)?;
        let trial = Trial { engine, hold };
        Timer::after(SETTLE / 2).await;
        // A claim that is lost is not made up for.
        trial.hold.announce();
        Timer::after(SETTLE / 2).await;
        trial.hold.is_held().then_some(trial)
    }

    /// Takes that a run has lasted: it crashes nothing.
    pub(crate) fn note_lasted(&mut self) {
        self.has_lasted = true;
        if !self.core.suspects.is_empty() {
            let id = self.admitted.id_text();
            suspects::record_survived(self.core, self.fingerprint(), id);
        }
    }

    /// Takes that a run that had just begun broke off at an engine, which
    /// may have crashed.
    pub(crate) async fn note_broken(
        &mut self,
        engine: &Arc<Engine>,
        start: RunProgress,
        is_in_trial: bool,
    ) {
        if self.has_lasted {
            return;
        }
        let run = self.broken_run(engine, start, is_in_trial);
        self.has_just_crashed = suspects::check_crash(self.core, run).await;
    }

    /// Takes that a run that had just begun was left, which may go on for a
    /// moment at its engine.
    pub(crate) fn note_left(
        &self,
        engine: &Arc<Engine>,
        start: RunProgress,
        is_in_trial: bool,
    ) {
        if !self.has_lasted {
            let run = self.broken_run(engine, start, is_in_trial);
            suspects::check_crash_later(self.core, run);
        }
    }

    fn broken_run(
        &self,
        engine: &Arc<Engine>,
        start: RunProgress,
        is_in_trial: bool,
    ) -> FailedRun {
        FailedRun {
            request: self.admitted.id_text().to_owned(),
            fingerprint: self.fingerprint(),
            engine: engine.clone(),
            start,
            is_in_trial,
        }
    }

    fn note_trial(&self, trial: &Trial, crashes: usize, waited_ms: u64) {
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

    /// Why it ends, and when it may come back, where it is quarantined.
    pub(crate) fn refusal(
        &self,
        may_have_run: bool,
    ) -> Option<(ErrorReason, u64)> {
        let remaining_ms = self.quarantine_left_ms()?;
        self.note_refused(remaining_ms);
        Some((ErrorReason::for_quarantined(may_have_run), remaining_ms))
    }

    fn note_refused(&self, remaining_ms: u64) {
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
