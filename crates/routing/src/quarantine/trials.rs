//! Which suspects are on trial, and where.
//!
//! Entries tell each other of trials. Two that begin at the same moment hear
//! of each other a moment later: the one whose holder has the lower id
//! stands, at all entries alike.

use std::collections::{BTreeMap, BTreeSet};

use crate::Fingerprint;

/// How long a trial counts if its end is not heard of.
pub const TRIAL_MS: u64 = 4_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Trial {
    /// Short hash of the server's start.
    server: u32,
    /// The process whose request it is.
    holder: u64,
    until_ms: u64,
}

/// The trials of all entries, as far as this one knows.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    by_request: BTreeMap<Fingerprint, Trial>,
}

impl Trials {
    /// None yet.
    pub fn new() -> Trials {
        Trials::default()
    }

    /// Begins a trial, unless the request or another one at this server is
    /// on trial.
    pub fn try_begin(
        &mut self,
        request: Fingerprint,
        server: u32,
        holder: u64,
        now_ms: u64,
    ) -> bool {
        self.forget(now_ms);
        let is_taken = self.by_request.contains_key(&request)
            || self.servers_on_trial(now_ms).contains(&server);
        if is_taken {
            return false;
        }
        self.insert(request, server, holder, now_ms);
        true
    }

    /// Takes that another entry begins a trial.
    pub fn apply_remote(
        &mut self,
        request: Fingerprint,
        server: u32,
        holder: u64,
        now_ms: u64,
    ) {
        self.forget(now_ms);
        let is_other = |(other, trial): &(&Fingerprint, &Trial)| {
            (**other == request || trial.server == server)
                && trial.holder != holder
        };
        let others = self.by_request.iter().filter(is_other);
        let others: Vec<(Fingerprint, u64)> =
            others.map(|(other, trial)| (*other, trial.holder)).collect();
        if others.iter().any(|(_, other)| *other < holder) {
            return;
        }
        for (other, _) in others {
            self.by_request.remove(&other);
        }
        self.insert(request, server, holder, now_ms);
    }

    fn insert(
        &mut self,
        request: Fingerprint,
        server: u32,
        holder: u64,
        now_ms: u64,
    ) {
        let until_ms = now_ms + TRIAL_MS;
        let trial = Trial { server, holder, until_ms };
        self.by_request.insert(request, trial);
    }

    /// Whether the trial of a request is this holder's.
    pub fn is_held_by(
        &self,
        request: Fingerprint,
        holder: u64,
        now_ms: u64,
    ) -> bool {
        let trial = self.by_request.get(&request);
        trial.is_some_and(|t| t.holder == holder && now_ms < t.until_ms)
    }

    /// Ends the trial of a request, if it is this holder's.
    pub fn end(&mut self, request: Fingerprint, holder: u64) {
        let trial = self.by_request.get(&request);
        if trial.is_some_and(|t| t.holder == holder) {
            self.by_request.remove(&request);
        }
    }

    /// Servers at which a suspect is on trial.
    pub fn servers_on_trial(&self, now_ms: u64) -> BTreeSet<u32> {
        let open = self.by_request.values().filter(|t| now_ms < t.until_ms);
        open.map(|trial| trial.server).collect()
    }

    fn forget(&mut self, now_ms: u64) {
        self.by_request.retain(|_, trial| now_ms < trial.until_ms);
    }
}
