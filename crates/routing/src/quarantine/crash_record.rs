//! Crashes of servers during runs with one fingerprint.

use std::collections::{BTreeMap, BTreeSet, btree_map::Entry};

use super::{
    PROBATION_MS, QUARANTINE_CRASHES, QUARANTINE_MS, run_progress::RunPoint,
};

/// Score needed for a quarantine: each crash scores 1, or 2 if it happened in
/// a trial while no other request was on trial there. So one of three crashes
/// may be due to another request; copies that ran on several servers that
/// failed together still need a crash in a trial.
const QUARANTINE_SCORE: usize = 5;
/// Requests that must have crashed a server in a trial for the quarantine of a
/// part, since a request may have crashed it by something else.
const PART_TRIAL_REQUESTS: usize = 2;
/// The same from which on a part stays in quarantine for long although runs
/// with it survived before.
const SURVIVED_PART_TRIAL_REQUESTS: usize = 3;
/// Attempts of callers that must have crashed a server in a trial, if the runs
/// had not just begun.
const LATE_TRIAL_ATTEMPTS: usize = 2;
/// Score needed for the quarantine of a part, if the runs had not just begun:
/// each server counts 1, and each request that crashed one in a trial.
const LATE_PART_SCORE: usize = 7;
/// Limit on doublings of the quarantine, one for each crash after one.
const MAX_DOUBLINGS: usize = 2;
/// How long a suspect is kept, and what was quarantined after its quarantine.
const RETENTION_MS: u64 = 600_000;
/// The same for a request that was never a suspect and has completed.
const HARMLESS_RETENTION_MS: u64 = 10_000;
/// Limit on crashes that are kept.
const MAX_CRASHES: usize = 16;
/// Client accounts whose requests crashed servers, from which on a quarantine
/// holds for all accounts. One account alone can't block what others send.
const ACCOUNTS_FOR_ALL: usize = 3;

/// A crash as reported between entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// Short hash of the server's incarnation.
    pub server: u32,
    /// Time since the crash.
    pub age_ms: u64,
    /// Identifies the request that was on trial there; 0 for none.
    pub trial: u32,
    /// Short hash of the client account.
    pub account: u32,
    /// Whether a run has survived since, or an operator cleared the
    /// fingerprint.
    pub is_void: bool,
    /// Whether the crash alone makes no suspect.
    pub is_weak: bool,
    /// Point of the run at the crash.
    pub point: RunPoint,
    /// Short hash of the id of the caller's attempt; 0 if it is not known.
    pub attempt: u32,
}

/// A crash of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Crash {
    /// Earliest known time of the crash.
    pub(super) at_ms: u64,
    /// Identifies the request that was on trial there; 0 for none.
    pub(super) trial: u32,
    pub(super) account: u32,
    pub(super) is_void: bool,
    pub(super) is_weak: bool,
    pub(super) point: RunPoint,
    pub(super) attempt: u32,
}

impl Crash {
    pub(super) fn from_report(report: &CrashReport, now_ms: u64) -> Crash {
        Crash {
            at_ms: now_ms.saturating_sub(report.age_ms),
            trial: report.trial,
            account: report.account,
            is_void: report.is_void,
            is_weak: report.is_weak,
            point: report.point,
            attempt: report.attempt,
        }
    }

    fn to_report(self, server: u32, now_ms: u64) -> CrashReport {
        CrashReport {
            server,
            age_ms: now_ms.saturating_sub(self.at_ms),
            trial: self.trial,
            account: self.account,
            is_void: self.is_void,
            is_weak: self.is_weak,
            point: self.point,
            attempt: self.attempt,
        }
    }
}

/// Which runs a crash speaks against.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CrashKey {
    /// Short hash of the server's incarnation.
    server: u32,
    /// Whether the runs had lasted. Several runs on a server may have a part,
    /// and a run that begins clears only those that had just begun.
    had_lasted: bool,
}

/// Crashes under one fingerprint.
#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    is_part: bool,
    crashes: BTreeMap<CrashKey, Crash>,
    /// Number of servers whose crashes count.
    count: usize,
    /// Whether one of them makes a suspect by itself.
    is_strong: bool,
    /// Whether any crash happened in a trial.
    has_trial: bool,
    /// When the quarantine by all trials ends or ended.
    until_ms: Option<u64>,
    pub(super) changed_ms: u64,
}

impl CrashRecord {
    pub(super) fn new(is_part: bool) -> CrashRecord {
        CrashRecord {
            is_part,
            crashes: BTreeMap::new(),
            count: 0,
            is_strong: false,
            has_trial: false,
            until_ms: None,
            changed_ms: 0,
        }
    }

    /// Servers whose crashes count; a server may come twice.
    pub(super) fn servers(&self) -> impl Iterator<Item = u32> {
        self.valid().map(|(server, _)| server)
    }

    /// Known crashes of a server.
    fn at(&self, server: u32) -> impl Iterator<Item = &Crash> {
        let key = |had_lasted| CrashKey { server, had_lasted };
        self.crashes.range(key(false)..=key(true)).map(|(_, crash)| crash)
    }

    fn valid(&self) -> impl Iterator<Item = (u32, &Crash)> {
        let crashes = self.crashes.iter();
        let valid = crashes.filter(|(_, crash)| !crash.is_void);
        valid.map(|(key, crash)| (key.server, crash))
    }

    /// Number of crashes that count.
    pub(super) fn count(&self) -> usize {
        self.count
    }

    /// Whether a crash that counts makes a suspect by itself.
    pub(super) fn is_strong(&self) -> bool {
        self.is_strong
    }

    /// The farthest point at which any known server crashed.
    fn farthest_point(&self) -> RunPoint {
        let points = self.crashes.values().map(|crash| crash.point);
        points.fold(RunPoint::default(), RunPoint::max)
    }

    /// Whether all crashes that count here count in `other` as well.
    pub(super) fn is_covered_by(&self, other: &CrashRecord) -> bool {
        self.servers().all(|server| other.has_valid(server))
    }

    /// Whether all crashes that count here count in `other` as well, and say as
    /// much there.
    pub(super) fn is_explained_by(&self, other: &CrashRecord) -> bool {
        self.is_covered_by(other)
            && self.servers().all(|server| {
                !self.is_strong_at(server) || other.is_strong_at(server)
            })
    }

    /// Whether the crash of a server counts.
    pub(super) fn has_valid(&self, server: u32) -> bool {
        self.at(server).any(|crash| !crash.is_void)
    }

    /// Whether the crash of a server counts and makes a suspect by itself.
    pub(super) fn is_strong_at(&self, server: u32) -> bool {
        self.at(server).any(|crash| !crash.is_void && !crash.is_weak)
    }

    /// Trials in which a server crashed: server and trial.
    pub(super) fn trials(&self) -> impl Iterator<Item = (u32, u32)> {
        let in_trials = self.valid().filter(|(_, crash)| crash.trial != 0);
        in_trials.map(|(server, crash)| (server, crash.trial))
    }

    /// The request that was on trial at a server that crashed.
    pub(super) fn trial_at(&self, server: u32) -> Option<u32> {
        if !self.has_trial {
            return None;
        }
        let mut trials = self.at(server).map(|crash| crash.trial);
        trials.find(|trial| *trial != 0)
    }

    /// Whether the crashes are evidence against requests of an account.
    pub(super) fn concerns(&self, account: u32) -> bool {
        let accounts: BTreeSet<u32> =
            self.valid().map(|(_, crash)| crash.account).collect();
        accounts.contains(&account) || accounts.len() >= ACCOUNTS_FOR_ALL
    }

    pub(super) fn last_crash_ms(&self) -> u64 {
        let times = self.crashes.values().map(|crash| crash.at_ms);
        times.max().unwrap_or(0)
    }

    /// When the quarantine ends or ended, where servers crashed in `trials` of
    /// one request alone; `None` without a quarantine.
    pub(super) fn quarantined_until_ms(
        &self,
        trials: impl Iterator<Item = (u32, u32)>,
    ) -> Option<u64> {
        if self.count < QUARANTINE_CRASHES || !self.has_trial {
            return None;
        }
        let trials: Vec<(u32, u32)> = trials.collect();
        let requests: BTreeSet<u32> =
            trials.iter().map(|(_server, trial)| *trial).collect();
        let requests = requests.len();
        let min_requests = if self.is_part { PART_TRIAL_REQUESTS } else { 1 };
        let has_early_score = self.has_early_score(&trials);
        let has_late_score = match self.is_part {
            true => self.count + requests >= LATE_PART_SCORE,
            false => self.has_score_of_attempts(&trials),
        };
        if requests < min_requests || !(has_early_score || has_late_score) {
            return None;
        }
        let is_on_probation = self.is_part
            && requests < SURVIVED_PART_TRIAL_REQUESTS
            && self.has_survived_crash(!has_early_score);
        let length_ms = match is_on_probation {
            true => PROBATION_MS,
            false => {
                let further = self.count - QUARANTINE_CRASHES;
                QUARANTINE_MS << further.min(MAX_DOUBLINGS)
            }
        };
        Some(self.last_crash_ms() + length_ms)
    }

    /// Whether the crashes of runs that had just begun suffice. Few runs on a
    /// server have, so that chance explains several of them badly.
    fn has_early_score(&self, trials: &[(u32, u32)]) -> bool {
        let early: BTreeSet<u32> = self
            .valid()
            .filter(|(_, crash)| crash.point.is_early())
            .map(|(server, _)| server)
            .collect();
        let is_early = |(server, _): &&(u32, u32)| early.contains(server);
        let in_trials = trials.iter().filter(is_early).count();
        early.len() >= QUARANTINE_CRASHES
            && in_trials > 0
            && early.len() + in_trials >= QUARANTINE_SCORE
    }

    /// Whether all crashes suffice, of which several attempts of callers had
    /// one in a trial. A long run may meet several servers that fail by
    /// themselves, but not each copy of it.
    fn has_score_of_attempts(&self, trials: &[(u32, u32)]) -> bool {
        let in_trials = self.valid().filter(|(server, crash)| {
            trials.contains(&(*server, crash.trial))
        });
        let attempts: BTreeSet<u32> =
            in_trials.map(|(_, crash)| crash.attempt).collect();
        attempts.len() >= LATE_TRIAL_ATTEMPTS
            && self.count + trials.len() >= QUARANTINE_SCORE
    }

    /// Whether a run has passed a known crash of runs that had lasted, or of
    /// those that had not.
    fn has_survived_crash(&self, had_lasted: bool) -> bool {
        let mut crashes = self.crashes.iter();
        crashes
            .any(|(key, crash)| crash.is_void && key.had_lasted == had_lasted)
    }

    /// Whether enough crashes happened in trials for a quarantine.
    pub(super) fn has_quarantine_score(&self) -> bool {
        self.until_ms.is_some()
    }

    pub(super) fn is_expired(&self, now_ms: u64) -> bool {
        let retained_from_ms = self.until_ms.unwrap_or(self.last_crash_ms());
        now_ms >= retained_from_ms + RETENTION_MS
    }

    /// Whether the request was never a suspect, and the others have heard that
    /// its crashes no longer count.
    pub(super) fn is_forgettable(&self, now_ms: u64) -> bool {
        self.count == 0
            && self.crashes.values().all(|crash| crash.is_weak)
            && now_ms >= self.changed_ms + HARMLESS_RETENTION_MS
    }

    fn update_count(&mut self) {
        let mut last = None;
        let is_new = |server: &u32| last.replace(*server) != Some(*server);
        // The crashes are in the order of their servers.
        self.count = self.servers().filter(is_new).count();
        let is_strong = self.valid().any(|(_, crash)| !crash.is_weak);
        self.is_strong = is_strong;
        self.has_trial = self.crashes.values().any(|crash| crash.trial != 0);
        self.until_ms = self.quarantined_until_ms(self.trials());
    }

    /// Applies a crash; true if anything changed.
    pub(super) fn apply(&mut self, server: u32, crash: Crash) -> bool {
        let is_changed = self.merge(server, crash);
        self.update_count();
        is_changed
    }

    fn merge(&mut self, server: u32, crash: Crash) -> bool {
        let had_lasted = self.is_part && !crash.point.is_early();
        let key = CrashKey { server, had_lasted };
        match self.crashes.entry(key) {
            Entry::Vacant(vacant) => {
                vacant.insert(crash);
                while self.crashes.len() > MAX_CRASHES {
                    self.evict_oldest();
                }
                self.crashes.contains_key(&key)
            }
            Entry::Occupied(mut occupied) => {
                let known = occupied.get_mut();
                let old = *known;
                // A report that travelled for longer seems to be about a
                // later crash.
                known.at_ms = known.at_ms.min(crash.at_ms);
                known.trial = known.trial.max(crash.trial);
                known.account = known.account.max(crash.account);
                known.is_void |= crash.is_void;
                known.is_weak &= crash.is_weak;
                known.point = known.point.max(crash.point);
                known.attempt = known.attempt.max(crash.attempt);
                Crash { at_ms: old.at_ms, ..*known } != old
            }
        }
    }

    fn evict_oldest(&mut self) {
        let age = |(key, crash): (&CrashKey, &Crash)| {
            (!crash.is_void, crash.at_ms, *key)
        };
        let oldest = self.crashes.iter().map(age).min();
        if let Some((_, _, key)) = oldest {
            self.crashes.remove(&key);
        }
    }

    /// Voids the known crashes if a run came well past the points at which
    /// servers crashed; true if any counted.
    pub(super) fn void_passed(&mut self, point: RunPoint) -> bool {
        point.passes(self.farthest_point()) && self.void()
    }

    /// Voids the known crashes of runs that had just begun; true if any
    /// counted.
    pub(super) fn void_early(&mut self) -> bool {
        self.void_where(|_, crash| crash.is_early())
    }

    /// Voids the known crashes of runs that had lasted, if `point` is well past
    /// them; true if any counted.
    pub(super) fn void_late_before(&mut self, point: RunPoint) -> bool {
        self.void_where(|_, crash| !crash.is_early() && point.passes(crash))
    }

    /// Voids the known crashes of runs that had lasted; true if any counted.
    pub(super) fn void_late(&mut self) -> bool {
        self.void_where(|_, crash| !crash.is_early())
    }

    /// Whether a run that came to a point has passed all crashes that count.
    pub(super) fn is_passed(&self, point: RunPoint) -> bool {
        self.valid().all(|(_, crash)| point.passes(crash.point))
    }

    /// Whether a server other than `server` crashed before a time, at a point
    /// that a run has not passed.
    pub(super) fn has_crash_ahead(
        &self,
        server: u32,
        point: RunPoint,
        before_ms: u64,
    ) -> bool {
        self.valid().any(|(other, crash)| {
            other != server
                && crash.at_ms <= before_ms
                && !point.passes(crash.point)
        })
    }

    /// Voids the known crashes; true if any counted.
    pub(super) fn void(&mut self) -> bool {
        self.void_where(|_, _| true)
    }

    fn void_where(
        &mut self,
        is_meant: impl Fn(CrashKey, RunPoint) -> bool,
    ) -> bool {
        let mut is_changed = false;
        for (key, crash) in &mut self.crashes {
            if is_meant(*key, crash.point) {
                is_changed |= !std::mem::replace(&mut crash.is_void, true);
            }
        }
        self.update_count();
        is_changed
    }

    /// Voids the crashes of one server; true if any counted.
    pub(super) fn void_server(&mut self, server: u32) -> bool {
        self.void_where(|key, _| key.server == server)
    }

    pub(super) fn reports(&self, now_ms: u64) -> Vec<CrashReport> {
        let report = |(key, crash): (&CrashKey, &Crash)| {
            crash.to_report(key.server, now_ms)
        };
        self.crashes.iter().map(report).collect()
    }
}
