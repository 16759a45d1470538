//! What a stream does that may crash its engines: seek a path in a trial, and
//! tell what came of it.

use chestnutreach_routing::{Fingerprint, Verdict};

use super::{Stream, seek::Look};
use crate::{
    clock::now_ms,
    known::{
        engine::Engine,
        probe,
        suspects::{self, CrashedRun},
    },
    request::{
        fingerprint,
        isolation::{self, Asker, Turn},
        route::least_used_first,
    },
};

/// Time to find a path from the engine of a trial; another one may have room.
const TRIAL_PATH_MS: u64 = 250;

impl Stream<'_> {
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let account = self.admitted.account.as_deref();
        let of = || fingerprint::of(self.request, account.unwrap_or_default());
        *self.fingerprint.get_or_init(of)
    }

    /// Whether engines crashed under it, and it has not run without since.
    fn is_suspect(&self) -> bool {
        let suspects = &self.core.suspects;
        !self.has_lasted
            && !suspects.is_empty()
            && suspects.verdict(self.fingerprint()) != Verdict::Free
    }

    /// Time left of its quarantine; none where it is in none.
    pub(super) fn quarantine_left_ms(&self) -> Option<u64> {
        if self.has_lasted || self.core.suspects.is_empty() {
            return None;
        }
        isolation::quarantine_left_ms(self.core, self.fingerprint())
    }

    /// Finds a path, in a trial for a suspect; false if there is none.
    pub(super) async fn find_path(&mut self) -> bool {
        let until_ms = self.seek_until_ms();
        loop {
            if !self.is_suspect() {
                if !self.seek_path().await {
                    return false;
                }
                if !self.is_suspect() {
                    return true;
                }
                self.release_path();
            }
            if !self.can_move() {
                return false;
            }
            match self.turn(until_ms).await {
                Turn::Free => continue,
                Turn::Quarantined | Turn::None => return false,
                Turn::Trial(trial) => self.trial = Some(trial),
            }
            let path_until_ms = until_ms.min(now_ms() + TRIAL_PATH_MS);
            match self.look_until(path_until_ms).await {
                Look::Found => return true,
                Look::Denied => return false,
                Look::None => self.trial = None,
            }
            if now_ms() >= until_ms {
                return false;
            }
        }
    }

    async fn turn(&self, until_ms: u64) -> Turn {
        let asker = Asker {
            core: self.core,
            request: self.admitted.id_text(),
            fingerprint: self.fingerprint(),
            until_ms,
        };
        let fleet = &self.core.fleet;
        let choose =
            |outside: &_| least_used_first(fleet, &self.need(), outside);
        asker.turn(choose).await
    }

    /// Takes that the engine of a run that had just begun has crashed.
    pub(super) fn note_crash(&self, engine: &Engine) {
        if self.has_lasted || !probe::has_crashed(engine) {
            return;
        }
        let run = CrashedRun {
            request: self.admitted.id_text(),
            fingerprint: self.fingerprint(),
            engine,
            start: self.pace.run,
            is_in_trial: self.trial.is_some(),
        };
        suspects::note_crash(self.core, &run);
    }

    /// Takes that its run has lasted long enough to be harmless.
    pub(super) fn note_lasted(&mut self) {
        self.has_lasted = true;
        self.trial = None;
        if !self.core.suspects.is_empty() {
            let id = self.admitted.id_text();
            suspects::note_lasted(self.core, self.fingerprint(), id);
        }
    }
}
