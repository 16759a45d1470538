//! Which suspects are on trial, and where. A trial is a run of a request that
//! has the suspect.
//!
//! Entries announce their trials to each other. Two entries that begin
//! conflicting trials at the same moment learn of each other a moment later;
//! at all entries, the trial whose holder has the lower id remains.

use std::collections::{BTreeMap, BTreeSet};

use crate::Fingerprint;

/// How long a trial counts if its end is not reported.
pub const TRIAL_MS: u64 = 4_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Trial {
    /// Short hash of the server's incarnation.
    server: u32,
    /// The process that runs the trial.
    holder: u64,
    until_ms: u64,
}

/// The trials of all entries, as far as this entry knows them.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    by_suspect: BTreeMap<Fingerprint, Trial>,
}

impl Trials {
    /// Starts without trials.
    pub fn new() -> Trials {
        Trials::default()
    }

    /// Begins a trial, unless the suspect is on trial or another one is on
    /// trial at this server.
    pub fn try_begin(
        &mut self,
        suspect: Fingerprint,
        server: u32,
        holder: u64,
        now_ms: u64,
    ) -> bool {
        self.remove_expired(now_ms);
        let is_occupied = self.by_suspect.contains_key(&suspect)
            || self.servers_on_trial(now_ms).contains(&server);
        if is_occupied {
            return false;
        }
        self.insert(suspect, server, holder, now_ms);
        true
    }

    /// Applies the announcement that another entry begins a trial.
    pub fn apply_remote(
        &mut self,
        suspect: Fingerprint,
        server: u32,
        holder: u64,
        now_ms: u64,
    ) {
        self.remove_expired(now_ms);
        let conflicts = |(other, trial): &(&Fingerprint, &Trial)| {
            (**other == suspect || trial.server == server)
                && trial.holder != holder
        };
        let conflicting = self.by_suspect.iter().filter(conflicts);
        let conflicting: Vec<(Fingerprint, u64)> =
            conflicting.map(|(other, trial)| (*other, trial.holder)).collect();
        if conflicting.iter().any(|(_, other)| *other < holder) {
            return;
        }
        for (other, _) in conflicting {
            self.by_suspect.remove(&other);
        }
        self.insert(suspect, server, holder, now_ms);
    }

    fn insert(
        &mut self,
        suspect: Fingerprint,
        server: u32,
        holder: u64,
        now_ms: u64,
    ) {
        let until_ms = now_ms + TRIAL_MS;
        let trial = Trial { server, holder, until_ms };
        self.by_suspect.insert(suspect, trial);
    }

    /// Renews the trial of a suspect, if `holder` holds it.
    pub fn renew(&mut self, suspect: Fingerprint, holder: u64, now_ms: u64) {
        if let Some(trial) = self.by_suspect.get_mut(&suspect)
            && trial.holder == holder
        {
            trial.until_ms = now_ms + TRIAL_MS;
        }
    }

    /// Whether `holder` holds the trial of a suspect.
    pub fn is_held_by(
        &self,
        suspect: Fingerprint,
        holder: u64,
        now_ms: u64,
    ) -> bool {
        let trial = self.by_suspect.get(&suspect);
        trial.is_some_and(|t| t.holder == holder && now_ms < t.until_ms)
    }

    /// Ends the trial of a suspect, if `holder` holds it.
    pub fn end(&mut self, suspect: Fingerprint, holder: u64) {
        let trial = self.by_suspect.get(&suspect);
        if trial.is_some_and(|t| t.holder == holder) {
            self.by_suspect.remove(&suspect);
        }
    }

    /// Servers at which a suspect is on trial.
    pub fn servers_on_trial(&self, now_ms: u64) -> BTreeSet<u32> {
        let active = self.by_suspect.values().filter(|t| now_ms < t.until_ms);
        active.map(|trial| trial.server).collect()
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.by_suspect.retain(|_, trial| now_ms < trial.until_ms);
    }
}
