//! Where and when a suspect may run.
//!
//! A request under which engines crashed runs in a trial. Of several engines
//! the one with the fewest requests takes it, where a crash does least harm.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use async_io::Timer;
use chestnutreach_routing::{Fingerprint, Verdict};
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    core::Core,
    known::{
        engine::Engine,
        suspects::{self, TrialHold},
    },
};

/// Time in which entries that begin a trial at the same moment hear of each
/// other.
const SETTLE: Duration = Duration::from_millis(20);
/// Pause before looking again for an engine without a trial.
const LOOK_AGAIN: Duration = Duration::from_millis(15);

/// A trial that may be made now.
pub(crate) struct Trial {
    pub(crate) engine: Arc<Engine>,
    /// Keeps others from it.
    pub(crate) _hold: TrialHold,
}

/// How a request may run.
pub(crate) enum Turn {
    /// Like any other.
    Free,
    /// In a trial.
    Trial(Trial),
    /// Not before its quarantine is over.
    Quarantined,
    /// No trial could begin in its time.
    None,
}

/// A request that wants to run.
pub(crate) struct Asker<'a> {
    pub(crate) core: &'a Arc<Core>,
    /// Id of the request.
    pub(crate) request: &'a str,
    pub(crate) fingerprint: Fingerprint,
    /// Until when it may wait for a trial.
    pub(crate) until_ms: u64,
}

/// Time left of the quarantine of a request; none where it is in none.
pub(crate) fn quarantine_left_ms(
    core: &Core,
    fingerprint: Fingerprint,
) -> Option<u64> {
    match core.suspects.verdict(fingerprint) {
        Verdict::Quarantined { until_ms, .. } => {
            Some(until_ms.saturating_sub(now_ms()))
        }
        Verdict::Free | Verdict::Suspect { .. } => None,
    }
}

impl Asker<'_> {
    /// Waits until it may run; `choose` names an engine outside of a set of
    /// short hashes.
    pub(crate) async fn turn(
        &self,
        choose: impl Fn(&BTreeSet<u32>) -> Option<Arc<Engine>>,
    ) -> Turn {
        let suspects = &self.core.suspects;
        let asked_ms = now_ms();
        loop {
            let crashes = match suspects.verdict(self.fingerprint) {
                Verdict::Free => return Turn::Free,
                Verdict::Suspect { crashes } => crashes,
                Verdict::Quarantined { .. } => return Turn::Quarantined,
            };
            if let Some(trial) = self.try_trial(&choose).await {
                self.note_trial(&trial, crashes, now_ms() - asked_ms);
                return Turn::Trial(trial);
            }
            if now_ms() >= self.until_ms {
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
        let hold = suspects::try_trial(core, self.fingerprint, &engine)?;
        Timer::after(SETTLE).await;
        let suspects = &core.suspects;
        let is_held = suspects.is_trial_held(self.fingerprint, core.boot_id);
        is_held.then_some(Trial { engine, _hold: hold })
    }

    fn note_trial(&self, trial: &Trial, crashes: usize, waited_ms: u64) {
        emit(
            Event::TrialBegun,
            &[
                ("request", &self.request),
                ("fingerprint", &self.fingerprint),
                ("backend", &trial.engine.id),
                ("crashes", &crashes),
                ("waited_ms", &waited_ms),
            ],
        );
    }
}

/// Tells that a request is refused since it is quarantined.
pub(crate) fn note_refused(
    core: &Core,
    request: &str,
    fingerprint: Fingerprint,
    left_ms: u64,
) {
    core.metrics.quarantine_refusals.inc();
    emit(
        Event::QuarantineRefused,
        &[
            ("request", &request),
            ("fingerprint", &fingerprint),
            ("left_ms", &left_ms),
        ],
    );
}
