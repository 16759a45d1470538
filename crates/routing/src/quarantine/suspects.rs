//! Fingerprints under which servers crashed.

use std::collections::BTreeMap;

use super::{
    CrashReport, RequestKeys, RunPoint, RunSuspicion, Verdict,
    crash_record::{Crash, CrashRecord},
};
use crate::Fingerprint;

/// Limit on fingerprints that are kept.
pub const MAX_SUSPECTS: usize = 1_024;
/// How long a change is repeated with each message.
const REPORT_CHANGES_FOR_MS: u64 = 2_000;
/// Limit on changed fingerprints in one message.
const MAX_CHANGED_PER_MESSAGE: usize = 16;
/// How long a suspect is repeated without a change; a quarantine is repeated
/// until its end.
const REPEAT_SUSPECTS_FOR_MS: u64 = 30_000;
/// Reports per second that each entry receives about an unchanged
/// fingerprint, so that entries that have just started or were partitioned
/// learn of it, and the limit for all of them together.
const REPEATS_PER_S: f64 = 3.0;
const MAX_REPEATS_PER_S: f64 = 80.0;

/// Crashes that make a suspect if none does so by itself.
const MIN_WEAK_CRASHES: usize = 2;
/// The same for a part of a prompt, which more of the runs on a server have.
const MIN_WEAK_PART_CRASHES: usize = 3;

/// A crash of a server during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunCrash {
    /// Short hash of the server's incarnation.
    pub server: u32,
    /// Whether the run was a trial.
    pub is_in_trial: bool,
    /// Point that the run had reached.
    pub point: RunPoint,
    /// How much the crash speaks against the run.
    pub suspicion: RunSuspicion,
    /// Whether the run went on with a stream that had events already.
    pub is_resumed: bool,
    /// Short hash of the id of the caller's attempt.
    pub attempt: u32,
}

/// What entries report of a fingerprint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectReport {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Servers that crashed under it.
    pub crashes: Vec<CrashReport>,
}

/// All fingerprints under which servers crashed.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: BTreeMap<Fingerprint, CrashRecord>,
    /// The next unchanged fingerprint to report.
    next_repeated: Option<Fingerprint>,
}

impl Suspects {
    /// Starts without fingerprints.
    pub fn new() -> Suspects {
        Suspects::default()
    }

    /// Number of fingerprints that are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no fingerprint is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How a request may be run. The strictest verdict on one of its
    /// fingerprints decides.
    pub fn verdict(&self, keys: &RequestKeys, now_ms: u64) -> Verdict {
        let of_key = |key| {
            let record = self.records.get(&key);
            record.map_or(Verdict::Free, |record| {
                self.verdict_for(keys, key, record, now_ms)
            })
        };
        // A later part is shared by fewer requests. If it goes first among
        // equals, harmless requests that share an earlier part do not wait for
        // the trials of those with the later part.
        keys.iter().map(of_key).fold(Verdict::Free, Verdict::stricter)
    }

    /// The verdict on one fingerprint of a request, given what the request
    /// does not have. It is free if something else that meets the conditions
    /// of a quarantine explains all the crashes and more. It is not
    /// quarantined if such things explain those in trials, or if only requests
    /// of another account crashed servers.
    fn verdict_for(
        &self,
        keys: &RequestKeys,
        key: Fingerprint,
        record: &CrashRecord,
        now_ms: u64,
    ) -> Verdict {
        let verdict = self.verdict_of(key, record, now_ms);
        if verdict == Verdict::Free || self.is_bystander(keys, key, record) {
            return Verdict::Free;
        }
        let others = self.records.iter().filter(|(other, record)| {
            record.has_quarantine_score() && !keys.contains(**other)
        });
        let others: Vec<&CrashRecord> = others.map(|(_, r)| r).collect();
        let crashes = record.count();
        let is_explained = |other: &&CrashRecord| {
            other.count() > crashes && record.is_covered_by(other)
        };
        if others.iter().any(is_explained) {
            return Verdict::Free;
        }
        let has_own_trial = record.trials().any(|(server, _)| {
            others.iter().all(|other| !other.has_valid(server))
        });
        match has_own_trial && record.concerns(keys.account()) {
            true => verdict,
            false => Verdict::Suspect { cause: key, crashes },
        }
    }

    /// Whether something that a request does not have was at all crashes of
    /// one of its fingerprints, and at more, so that this one is more likely to
    /// have been beside it. Only asked where no crash makes a suspect by
    /// itself.
    fn is_bystander(
        &self,
        keys: &RequestKeys,
        key: Fingerprint,
        record: &CrashRecord,
    ) -> bool {
        if record.is_strong() {
            return false;
        }
        let mut others = self.records.iter().filter(|(other, _)| {
            !keys.contains(**other) && (key.is_part() || !other.is_part())
        });
        others.any(|(_, other)| {
            other.count() > record.count() && record.is_covered_by(other)
        })
    }

    /// How a request with this fingerprint may be run if nothing else explains
    /// the crashes.
    pub fn fingerprint_verdict(
        &self,
        key: Fingerprint,
        now_ms: u64,
    ) -> Verdict {
        let record = self.records.get(&key);
        record.map_or(Verdict::Free, |r| self.verdict_of(key, r, now_ms))
    }

    /// Whether the crashes under a fingerprint have no other explanation: the
    /// same servers crashed under no other part of a prompt.
    pub fn is_sole_explanation(&self, key: Fingerprint) -> bool {
        let Some(record) = self.records.get(&key) else { return false };
        let mut others =
            self.records.iter().filter(|(k, _)| **k != key && k.is_part());
        !others.any(|(_, other)| record.is_covered_by(other))
    }

    fn verdict_of(
        &self,
        cause: Fingerprint,
        record: &CrashRecord,
        now_ms: u64,
    ) -> Verdict {
        let crashes = record.count();
        let min = match (record.is_strong(), cause.is_part()) {
            (true, _) => 1,
            (false, false) => MIN_WEAK_CRASHES,
            (false, true) => MIN_WEAK_PART_CRASHES,
        };
        if crashes < min {
            return Verdict::Free;
        }
        let suspect = Verdict::Suspect { cause, crashes };
        // Fewer trials make no quarantine where all of them don't.
        if !record.has_quarantine_score() {
            return suspect;
        }
        // A part that is refused wrongly concerns far more requests.
        let rivals = match cause.is_part() {
            true => self.rivals(record),
            false => Vec::new(),
        };
        let sole_trials = record.trials().filter(|(server, trial)| {
            !self.is_other_on_trial(*server, *trial)
                && !is_rival_beside_trial(&rivals, *server, *trial)
        });
        match record.quarantined_until_ms(sole_trials) {
            Some(until_ms) if now_ms < until_ms => {
                Verdict::Quarantined { cause, crashes, until_ms }
            }
            _ => suspect,
        }
    }

    /// Whether another request was on trial at a server that crashed, in which
    /// case either may have caused the crash.
    fn is_other_on_trial(&self, server: u32, trial: u32) -> bool {
        let mut records = self.records.values();
        records.any(|record| {
            record.trial_at(server).is_some_and(|other| other != trial)
        })
    }

    /// Records that explain all crashes of one as well, itself among them.
    fn rivals(&self, record: &CrashRecord) -> Vec<&CrashRecord> {
        let others = self.records.values();
        let is_rival = |other: &&CrashRecord| {
            other.count() >= record.count() && record.is_explained_by(other)
        };
        others.filter(is_rival).collect()
    }

    /// Records that a server crashed under a request that had just begun;
    /// returns the fingerprints whose records changed.
    pub fn record_crash(
        &mut self,
        keys: &RequestKeys,
        server: u32,
        is_in_trial: bool,
        now_ms: u64,
    ) -> Vec<Fingerprint> {
        let crash = RunCrash {
            server,
            is_in_trial,
            point: RunPoint::default(),
            suspicion: RunSuspicion::Strong,
            is_resumed: false,
            attempt: 0,
        };
        self.record_run_crash(keys, crash, now_ms)
    }

    /// Records that a server crashed during a run; returns the fingerprints
    /// whose records changed.
    pub fn record_run_crash(
        &mut self,
        keys: &RequestKeys,
        run: RunCrash,
        now_ms: u64,
    ) -> Vec<Fingerprint> {
        let mut changed = Vec::new();
        for key in keys.iter() {
            let is_on_trial =
                run.is_in_trial && self.may_explain(key, &run, now_ms);
            // What crashes a server late crashes the one that resumes early.
            let point = match key.is_part() && run.is_resumed {
                true => run.point.at_least_lasted(),
                false => run.point,
            };
            let crash = Crash {
                at_ms: now_ms,
                trial: if is_on_trial { keys.trial_id() } else { 0 },
                account: keys.account(),
                is_void: false,
                is_weak: !is_on_trial && run.suspicion == RunSuspicion::Weak,
                point,
                attempt: run.attempt,
            };
            if self.apply(key, [(run.server, crash)], now_ms) {
                changed.push(key);
            }
        }
        changed
    }

    /// Whether a crash of a run in a trial is what crashes before it under a
    /// fingerprint led to expect. A trial because of one fingerprint shows
    /// nothing about a part that was no suspect, or whose crashes the run has
    /// passed.
    fn may_explain(
        &self,
        key: Fingerprint,
        run: &RunCrash,
        now_ms: u64,
    ) -> bool {
        let begun_ms = now_ms.saturating_sub(run.point.age_ms);
        let is_expected = |record: &CrashRecord| {
            record.has_crash_ahead(run.server, run.point, begun_ms)
        };
        !key.is_part() || self.records.get(&key).is_some_and(is_expected)
    }

    /// Records that a run did not crash its server when it began, which voids
    /// the known crashes of such runs under the parts of its prompt; returns
    /// the fingerprints whose records changed.
    pub fn record_begun(
        &mut self,
        keys: &RequestKeys,
        now_ms: u64,
    ) -> Vec<Fingerprint> {
        self.void_parts(keys, now_ms, CrashRecord::void_early)
    }

    /// Records that a run came to a point, which voids the known crashes at
    /// points before; returns the fingerprints whose records changed.
    pub fn record_progress(
        &mut self,
        keys: &RequestKeys,
        point: RunPoint,
        now_ms: u64,
    ) -> Vec<Fingerprint> {
        let void = |record: &mut CrashRecord| record.void_late_before(point);
        let mut changed = self.void_parts(keys, now_ms, void);
        let void = |record: &mut CrashRecord| record.void_passed(point);
        let request = keys.request();
        if self.void_by(request, now_ms, void) {
            changed.push(request);
        }
        changed
    }

    /// Records that a run completed, which voids the crashes of the request,
    /// and those of runs that had lasted under the parts of its prompt; returns
    /// the fingerprints whose records changed.
    pub fn record_completed(
        &mut self,
        keys: &RequestKeys,
        now_ms: u64,
    ) -> Vec<Fingerprint> {
        let mut changed =
            self.void_parts(keys, now_ms, CrashRecord::void_late);
        if self.clear(keys.request(), now_ms) {
            changed.push(keys.request());
        }
        changed
    }

    fn void_parts(
        &mut self,
        keys: &RequestKeys,
        now_ms: u64,
        void: impl Fn(&mut CrashRecord) -> bool,
    ) -> Vec<Fingerprint> {
        keys.parts().filter(|key| self.void_by(*key, now_ms, &void)).collect()
    }

    /// Whether a run that came to a point has passed all crashes under a
    /// fingerprint.
    pub fn has_passed(&self, key: Fingerprint, point: RunPoint) -> bool {
        self.records.get(&key).is_none_or(|record| record.is_passed(point))
    }

    /// Voids the crash of a server that has not crashed after all; returns the
    /// fingerprints whose records changed.
    pub fn withdraw_crash(
        &mut self,
        keys: &RequestKeys,
        server: u32,
        now_ms: u64,
    ) -> Vec<Fingerprint> {
        let void = |record: &mut CrashRecord| record.void_server(server);
        keys.iter().filter(|key| self.void_by(*key, now_ms, void)).collect()
    }

    /// Voids the known crashes under a fingerprint; true if any counted.
    pub fn clear(&mut self, key: Fingerprint, now_ms: u64) -> bool {
        self.void_by(key, now_ms, CrashRecord::void)
    }

    /// Voids crashes of a record; true if any counted.
    fn void_by(
        &mut self,
        key: Fingerprint,
        now_ms: u64,
        void: impl Fn(&mut CrashRecord) -> bool,
    ) -> bool {
        let Some(record) = self.records.get_mut(&key) else {
            return false;
        };
        let is_changed = void(record);
        if is_changed {
            record.changed_ms = now_ms;
        }
        is_changed
    }

    /// Applies the report of another entry; true if anything changed.
    pub fn apply_report(
        &mut self,
        report: &SuspectReport,
        now_ms: u64,
    ) -> bool {
        let crashes = report.crashes.iter().map(|reported| {
            (reported.server, Crash::from_report(reported, now_ms))
        });
        self.apply(report.fingerprint, crashes, now_ms)
    }

    fn apply(
        &mut self,
        key: Fingerprint,
        crashes: impl IntoIterator<Item = (u32, Crash)>,
        now_ms: u64,
    ) -> bool {
        let record = self.records.remove(&key);
        let mut record =
            record.unwrap_or_else(|| CrashRecord::new(key.is_part()));
        let mut is_changed = false;
        for (server, crash) in crashes {
            is_changed |= record.apply(server, crash);
        }
        if record.is_expired(now_ms) {
            return false;
        }
        if is_changed {
            record.changed_ms = now_ms;
        }
        self.records.insert(key, record);
        if self.records.len() > MAX_SUSPECTS {
            self.evict_one();
        }
        is_changed
    }

    /// Evicts the least relevant record: without a quarantine first, then
    /// without a crash that makes a suspect, fewer crashes first, then the
    /// oldest.
    fn evict_one(&mut self) {
        let rank = |(key, record): (&Fingerprint, &CrashRecord)| {
            let (has_score, is_strong) =
                (record.has_quarantine_score(), record.is_strong());
            let last_ms = record.last_crash_ms();
            (has_score, is_strong, record.count(), last_ms, *key)
        };
        let least = self.records.iter().map(rank).min();
        if let Some((.., key)) = least {
            self.records.remove(&key);
        }
    }

    /// Removes expired records.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.records.retain(|_, record| {
            !record.is_expired(now_ms) && !record.is_forgettable(now_ms)
        });
    }

    /// The report of one fingerprint, if it is kept.
    pub fn report_of(
        &self,
        key: Fingerprint,
        now_ms: u64,
    ) -> Option<SuspectReport> {
        let record = self.records.get(&key)?;
        Some(report(key, record, now_ms))
    }

    /// Reports for the next message: recent changes, most crashes first, and
    /// some unchanged records in turn. Each entry receives `messages_per_s`
    /// such messages.
    pub fn next_reports(
        &mut self,
        now_ms: u64,
        messages_per_s: f64,
        rng: &mut fastrand::Rng,
    ) -> Vec<SuspectReport> {
        let has_changed = |record: &CrashRecord| {
            now_ms.saturating_sub(record.changed_ms) < REPORT_CHANGES_FOR_MS
        };
        let changed =
            self.records.iter().filter(|(_, record)| has_changed(record));
        let mut changed: Vec<_> = changed.collect();
        changed.sort_by_key(|(_, record)| std::cmp::Reverse(record.count()));
        let changed = changed.into_iter().take(MAX_CHANGED_PER_MESSAGE);
        let mut reports: Vec<SuspectReport> = changed
            .map(|(key, record)| report(*key, record, now_ms))
            .collect();
        let needs_repeat = |(_, record): &(&Fingerprint, &CrashRecord)| {
            let age_ms = now_ms.saturating_sub(record.last_crash_ms());
            let is_relevant = age_ms < REPEAT_SUSPECTS_FOR_MS
                || record.has_quarantine_score();
            !has_changed(record) && record.count() > 0 && is_relevant
        };
        let repeated = self.records.iter().filter(needs_repeat).count();
        let per_s = (REPEATS_PER_S * repeated as f64).min(MAX_REPEATS_PER_S);
        let share = per_s / messages_per_s.max(1.0);
        let count = share as usize + usize::from(rng.f64() < share.fract());
        if count == 0 {
            return reports;
        }
        let from = self.next_repeated.unwrap_or(Fingerprint(0));
        let repeatable = self.records.range(from..).filter(needs_repeat);
        let mut unchanged: Vec<_> = repeatable.take(count + 1).collect();
        let next =
            if unchanged.len() > count { unchanged.pop() } else { None };
        self.next_repeated = next.map(|(key, _)| *key);
        let unchanged = unchanged.into_iter();
        reports.extend(
            unchanged.map(|(key, record)| report(*key, record, now_ms)),
        );
        reports
    }

    /// All fingerprints that are kept, for operators.
    pub fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        self.records.keys().copied()
    }
}

/// Whether a rival that was not on trial at a server may have crashed it by
/// itself. It may have been sent there before it was a suspect.
fn is_rival_beside_trial(
    rivals: &[&CrashRecord],
    server: u32,
    trial: u32,
) -> bool {
    rivals.iter().any(|rival| {
        rival.trial_at(server) != Some(trial) && rival.is_strong_at(server)
    })
}

fn report(
    fingerprint: Fingerprint,
    record: &CrashRecord,
    now_ms: u64,
) -> SuspectReport {
    SuspectReport { fingerprint, crashes: record.reports(now_ms) }
}
